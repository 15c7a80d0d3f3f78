//! A TCP relay that can be cut: a data centre's way to the platform.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Bytes passed on at once.
const CHUNK: usize = 16 << 10;

/// A listening relay; it ends when dropped.
pub struct Relay {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    cut: bool,
    ended: bool,
    open: Vec<TcpStream>,
}

impl Relay {
    /// Relays to an address.
    ///
    /// # Errors
    /// When the system gives no port.
    pub fn start(to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if lock(&shared).ended {
                    return;
                }
                // A connection that cannot be relayed is closed by its drop.
                let _ = relay(&shared, &stream, to);
            }
        });
        Ok(Relay { addr, state })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts every connection, and closes new ones until [`Relay::mend`].
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        state.open.drain(..).for_each(|open| drop(open.shutdown(Shutdown::Both)));
    }

    /// Lets connections through again.
    pub fn mend(&self) {
        lock(&self.state).cut = false;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.cut();
        lock(&self.state).ended = true;
        // The listener's thread looks at the mark when a connection comes.
        let _ = TcpStream::connect(self.addr);
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn relay(state: &Mutex<State>, near: &TcpStream, to: SocketAddr) -> io::Result<()> {
    let far = TcpStream::connect(to)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let mut state = lock(state);
    if state.cut {
        return Ok(());
    }
    state.open.extend([near.try_clone()?, far.try_clone()?]);
    for (from, to) in [(near, &far), (&far, near)] {
        let (from, to) = (from.try_clone()?, to.try_clone()?);
        thread::spawn(move || pass(from, to));
    }
    Ok(())
}

fn pass(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0; CHUNK];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
