//! Answers requests of peers over TCP.

use super::Numbered;
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_ports::inside::PeerHandler;
use roseshore_wire::frame;
use roseshore_wire::peer::{PeerReply, PeerRequest};
use std::collections::HashMap;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Maximum number of open connections. Further ones are closed immediately.
const MAX_CONNECTIONS: usize = 256;
/// How long a connection may be idle, or pause within a frame, before it is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// How long writing a reply may block because the peer does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next `accept` after an error, such as too many open file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A running server. Dropping it stops the server and closes its connections.
pub struct Server {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

struct Shared {
    handlers: Vec<Arc<dyn PeerHandler>>,
    connections: Mutex<HashMap<u64, TcpStream>>,
    stopped: AtomicBool,
}

/// Serves peers on a listener. Each request is passed to the handlers in order until one answers it.
///
/// Requests of one connection are answered sequentially, so a handler must not block.
///
/// # Errors
/// If the listener's address cannot be read or the accept thread cannot be started.
pub fn serve(listener: TcpListener, handlers: Vec<Arc<dyn PeerHandler>>) -> io::Result<Server> {
    let addr = listener.local_addr()?;
    let connections = Mutex::new(HashMap::new());
    let shared = Arc::new(Shared { handlers, connections, stopped: AtomicBool::new(false) });
    let server = Server { shared: shared.clone(), addr };
    thread::Builder::new().name("peer-accept".into()).spawn(move || shared.accept(&listener))?;
    Ok(server)
}

impl Server {
    /// The address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        for stream in self.shared.connections.lock().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // A connection to the listener wakes the accept thread.
        let _ = TcpStream::connect_timeout(&self.addr, ACCEPT_RETRY_DELAY);
    }
}

impl Shared {
    fn accept(self: &Arc<Shared>, listener: &TcpListener) {
        for number in 0.. {
            let accepted = listener.accept();
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            match accepted {
                Ok((stream, _)) => self.spawn_connection(number, stream),
                Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
            }
        }
    }

    fn spawn_connection(self: &Arc<Shared>, number: u64, stream: TcpStream) {
        let Ok(handle) = stream.try_clone() else { return };
        let mut connections = self.connections.lock();
        if connections.len() >= MAX_CONNECTIONS {
            metrics::counter!("roseshore_peer_refused_total").increment(1);
            return;
        }
        connections.insert(number, handle);
        drop(connections);
        let shared = self.clone();
        let spawned = thread::Builder::new().name("peer-answer".into()).spawn(move || {
            let guard = ConnectionGuard { shared: &shared, number };
            if let Err(e) = shared.serve_connection(&stream) {
                log::debug!("peer connection closed: {e}");
            }
            drop(guard);
        });
        if spawned.is_err() {
            self.connections.lock().remove(&number);
        }
    }

    fn serve_connection(&self, stream: &TcpStream) -> Result<(), frame::FrameError> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let mut input = BufReader::new(stream);
        let mut out = stream;
        while !self.stopped.load(Ordering::SeqCst) {
            let ask: Numbered<PeerRequest> = frame::read(&mut input)?;
            let body = self.answer(&ask.body);
            frame::write(&mut out, &Numbered { number: ask.number, body })?;
        }
        Ok(())
    }

    fn answer(&self, ask: &PeerRequest) -> PeerReply {
        let reply = self.handlers.iter().find_map(|handler| handler.answer(ask));
        reply.unwrap_or_else(|| PeerReply::Unable { reason: "no part knows this question".into() })
    }
}

/// Removes the connection from the open ones when dropped, also if a handler panics.
struct ConnectionGuard<'a> {
    shared: &'a Shared,
    number: u64,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        if let Some(stream) = self.shared.connections.lock().remove(&self.number) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
