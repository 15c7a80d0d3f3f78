//! A TCP relay that can be cut; simulates a network partition between a data centre and the platform.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Size of the copy buffer in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// A listening relay; it stops on drop.
pub struct Relay {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    cut: bool,
    stopped: bool,
    open: Vec<TcpStream>,
}

impl Relay {
    /// Starts a relay on a free loopback port that forwards every connection to `to`.
    ///
    /// # Errors
    /// If no listening socket can be bound.
    pub fn start(to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if lock(&shared).stopped {
                    return;
                }
                // A connection that cannot be relayed is closed when the stream is dropped.
                let _ = relay(&shared, &stream, to);
            }
        });
        Ok(Relay { addr, state })
    }

    /// The address that the relay listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes every open connection, and closes new ones at once until [`Relay::mend`].
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        state.open.drain(..).for_each(|open| drop(open.shutdown(Shutdown::Both)));
    }

    /// Accepts new connections again after [`Relay::cut`].
    pub fn mend(&self) {
        lock(&self.state).cut = false;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.cut();
        lock(&self.state).stopped = true;
        // The listener thread checks the flag only when it accepts a connection.
        let _ = TcpStream::connect(self.addr);
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn relay(state: &Mutex<State>, client: &TcpStream, to: SocketAddr) -> io::Result<()> {
    let upstream = TcpStream::connect(to)?;
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let mut state = lock(state);
    if state.cut {
        return Ok(());
    }
    state.open.extend([client.try_clone()?, upstream.try_clone()?]);
    for (from, to) in [(client, &upstream), (&upstream, client)] {
        let (from, to) = (from.try_clone()?, to.try_clone()?);
        thread::spawn(move || copy(from, to));
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
