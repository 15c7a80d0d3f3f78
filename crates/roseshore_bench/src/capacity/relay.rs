//! Counts the bytes of TCP connections on their way to one address.

use parking_lot::RwLock;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// A listener that passes on what it hears; it stands until its process ends.
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
    /// A relay on a free port; connections are closed until [`Relay::point`] is called.
    ///
    /// # Errors
    /// When there is no port or thread.
    pub fn start() -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let shared = Arc::<Shared>::default();
        let heard = Arc::clone(&shared);
        thread::Builder::new().name("relay".into()).spawn(move || {
            for caller in listener.incoming().flatten() {
                let shared = Arc::clone(&heard);
                thread::spawn(move || pass(caller, &shared));
            }
        })?;
        Ok(Relay { addr, shared })
    }

    /// Sets where connections lead.
    pub fn point(&self, to: SocketAddr) {
        *self.shared.to.write() = Some(to);
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Bytes so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }
}

/// Passes on one connection until both ways have ended.
fn pass(caller: TcpStream, shared: &Arc<Shared>) {
    let Some(to) = *shared.to.read() else { return };
    let Ok(target) = TcpStream::connect(to) else { return };
    let (Ok(from), Ok(back)) = (caller.try_clone(), target.try_clone()) else { return };
    let counted = Arc::clone(shared);
    let there = thread::spawn(move || copy(from, target, &counted));
    copy(back, caller, shared);
    // A copy that panicked has only lost its own connection.
    let _ = there.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream, shared: &Shared) {
    let mut chunk = [0; CHUNK];
    // Without delay, so that the relay adds nothing but its own time.
    let _ = to.set_nodelay(true);
    while let Ok(len @ 1..) = from.read(&mut chunk) {
        shared.bytes.fetch_add(len as u64, Ordering::Relaxed);
        if to.write_all(&chunk[..len]).is_err() {
            break;
        }
    }
    // The other end may have closed first.
    let _ = to.shutdown(Shutdown::Write);
}
