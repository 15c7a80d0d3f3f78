//! A TCP relay to one address that counts the bytes it forwards.

use parking_lot::RwLock;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Size of the copy buffer, bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// A relay whose listener stays open until the process ends.
pub struct Relay {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    to: RwLock<Option<SocketAddr>>,
    bytes: AtomicU64,
}

impl Relay {
    /// Starts a relay on a free port. Connections are closed at once until [`Relay::forward_to`] is called.
    ///
    /// # Errors
    /// If no port can be bound or no thread can be started.
    pub fn start() -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let shared = Arc::<Shared>::default();
        let thread_shared = Arc::clone(&shared);
        thread::Builder::new().name("relay".into()).spawn(move || {
            for caller in listener.incoming().flatten() {
                let shared = Arc::clone(&thread_shared);
                thread::spawn(move || forward(caller, &shared));
            }
        })?;
        Ok(Relay { addr, shared })
    }

    /// Sets the address to which new connections are forwarded.
    pub fn forward_to(&self, to: SocketAddr) {
        *self.shared.to.write() = Some(to);
    }

    /// The address on which the relay listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Bytes forwarded so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }
}

/// Forwards one connection until both directions have ended.
fn forward(caller: TcpStream, shared: &Arc<Shared>) {
    let Some(to) = *shared.to.read() else { return };
    let Ok(target) = TcpStream::connect(to) else { return };
    let (Ok(from), Ok(back)) = (caller.try_clone(), target.try_clone()) else { return };
    let counted = Arc::clone(shared);
    let there = thread::spawn(move || copy(from, target, &counted));
    copy(back, caller, shared);
    // A panic in the copy thread affects only this connection.
    let _ = there.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream, shared: &Shared) {
    let mut chunk = [0; CHUNK_BYTES];
    // Without this, Nagle's algorithm could add delays that a direct connection does not have.
    let _ = to.set_nodelay(true);
    while let Ok(len @ 1..) = from.read(&mut chunk) {
        shared.bytes.fetch_add(len as u64, Ordering::Relaxed);
        if to.write_all(&chunk[..len]).is_err() {
            break;
        }
    }
    // Fails if the other end has already closed the connection.
    let _ = to.shutdown(Shutdown::Write);
}
