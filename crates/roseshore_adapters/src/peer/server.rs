//! Answers questions of peers over TCP.

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

/// Connections held at once; further ones are closed at once.
const MAX_CONNECTIONS: usize = 256;
/// How long a connection may say nothing, or stop within a frame.
const MAX_SILENCE: Duration = Duration::from_secs(30);
/// How long a peer may take to read a reply.
const MAX_WRITE: Duration = Duration::from_secs(2);
/// How long accepting rests after an error such as a lack of descriptors.
const ACCEPT_REST: Duration = Duration::from_millis(50);

/// A running server; it ends when dropped.
pub struct Server {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

struct Shared {
    answers: Vec<Arc<dyn PeerHandler>>,
    open: Mutex<HashMap<u64, TcpStream>>,
    stopped: AtomicBool,
}

/// Serves peers on a listener; every part is asked in turn until one answers.
///
/// Questions of one connection are answered one after the other, so an answer must not wait.
///
/// # Errors
/// When the listener does not say its address or the thread cannot be started.
pub fn serve(listener: TcpListener, answers: Vec<Arc<dyn PeerHandler>>) -> io::Result<Server> {
    let addr = listener.local_addr()?;
    let open = Mutex::new(HashMap::new());
    let shared = Arc::new(Shared { answers, open, stopped: AtomicBool::new(false) });
    let server = Server { shared: shared.clone(), addr };
    thread::Builder::new().name("peer-accept".into()).spawn(move || shared.accept(&listener))?;
    Ok(server)
}

impl Server {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        for stream in self.shared.open.lock().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // A connection to itself wakes the accepting thread.
        let _ = TcpStream::connect_timeout(&self.addr, ACCEPT_REST);
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
                Ok((stream, _)) => self.start(number, stream),
                Err(_) => thread::sleep(ACCEPT_REST),
            }
        }
    }

    fn start(self: &Arc<Shared>, number: u64, stream: TcpStream) {
        let Ok(handle) = stream.try_clone() else { return };
        let mut open = self.open.lock();
        if open.len() >= MAX_CONNECTIONS {
            metrics::counter!("roseshore_peer_refused_total").increment(1);
            return;
        }
        open.insert(number, handle);
        drop(open);
        let shared = self.clone();
        let spawned = thread::Builder::new().name("peer-answer".into()).spawn(move || {
            let closed = Closed { shared: &shared, number };
            if let Err(e) = shared.converse(&stream) {
                log::debug!("peer link closed: {e}");
            }
            drop(closed);
        });
        if spawned.is_err() {
            self.open.lock().remove(&number);
        }
    }

    fn converse(&self, stream: &TcpStream) -> Result<(), frame::FrameError> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(MAX_SILENCE))?;
        stream.set_write_timeout(Some(MAX_WRITE))?;
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
        let known = self.answers.iter().find_map(|part| part.answer(ask));
        known.unwrap_or_else(|| PeerReply::Unable { reason: "no part knows this question".into() })
    }
}

/// Gives the connection's place back, after a panic of an answer too.
struct Closed<'a> {
    shared: &'a Shared,
    number: u64,
}

impl Drop for Closed<'_> {
    fn drop(&mut self) {
        if let Some(stream) = self.shared.open.lock().remove(&self.number) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
