//! Sends requests to peers over TCP, with one connection per peer.
//!
//! A connection is opened on first use and reopened after a failure, with exponential backoff, so
//! that requests to an unavailable peer fail at once. A reader thread passes each reply to the
//! request with its number. A request that times out removes its number, and its late reply is
//! dropped.

use super::Numbered;
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, Peers};
use roseshore_wire::frame::{self, FrameError};
use roseshore_wire::peer::{PeerReply, PeerRequest};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;

/// Limits of [`TcpPeers`].
#[derive(Clone, Debug)]
pub struct PeerLimits {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Backoff after the first failure. It doubles with each further one.
    pub initial_backoff: Duration,
    /// Upper bound of the backoff.
    pub max_backoff: Duration,
    /// Requests that may await replies on one connection.
    pub max_pending: usize,
}

impl Default for PeerLimits {
    fn default() -> PeerLimits {
        PeerLimits {
            connect_timeout: Duration::from_millis(300),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
            max_pending: 256,
        }
    }
}

/// Bounds the exponent of the backoff, far above the point where [`PeerLimits::max_backoff`] applies.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Number of consecutive request timeouts after which a connection is considered dead.
const MAX_TIMEOUTS: u32 = 3;

/// Client for requests to all peers.
pub struct TcpPeers {
    limits: PeerLimits,
    links: Mutex<HashMap<SocketAddr, Arc<Mutex<Link>>>>,
}

/// The connection to one peer and its backoff.
#[derive(Default)]
struct Link {
    connection: Option<Arc<Connection>>,
    failures: u32,
    retry_at: Option<Instant>,
}

/// One open connection.
struct Connection {
    stream: TcpStream,
    state: Mutex<ConnectionState>,
    /// Held while a frame is written, so that frames do not interleave.
    writing: Mutex<()>,
}

#[derive(Default)]
struct ConnectionState {
    next: u64,
    replies: HashMap<u64, flume::Sender<CallResult<PeerReply>>>,
    broken: bool,
    answered: bool,
    timeouts: u32,
}

impl TcpPeers {
    /// Creates a client without open connections.
    pub fn new(limits: PeerLimits) -> TcpPeers {
        TcpPeers { limits, links: Mutex::new(HashMap::new()) }
    }

    /// Returns the open connection to `addr`, or opens one unless the backoff is still running.
    fn connection(&self, addr: SocketAddr, deadline: Instant) -> CallResult<Arc<Connection>> {
        let shared = self.links.lock().entry(addr).or_default().clone();
        let Some(mut link) = shared.try_lock_until(deadline) else {
            return Err(CallError::Unreached(format!(
                "a connection to `{addr}` is still being opened"
            )));
        };
        if let Some(connection) = link.connection.clone() {
            let state = connection.state.lock();
            if !state.broken {
                if state.answered {
                    link.failures = 0;
                }
                drop(state);
                return Ok(connection);
            }
            let unanswered = !state.answered;
            drop(state);
            link.connection = None;
            if unanswered {
                link.back_off(&self.limits);
            }
        }
        let now = Instant::now();
        if link.retry_at.is_some_and(|at| now < at) {
            return Err(CallError::Unreached(format!(
                "`{addr}` failed recently and its backoff has not ended"
            )));
        }
        let limit = self.limits.connect_timeout.min(deadline.saturating_duration_since(now));
        match Connection::open(addr, limit) {
            Ok(open) => {
                link.connection = Some(open.clone());
                Ok(open)
            }
            Err(e) => {
                link.back_off(&self.limits);
                Err(CallError::Unreached(e.to_string()))
            }
        }
    }
}

impl Link {
    fn back_off(&mut self, limits: &PeerLimits) {
        let backoff =
            limits.initial_backoff * 2u32.saturating_pow(self.failures.min(MAX_BACKOFF_DOUBLINGS));
        self.retry_at = Some(Instant::now() + backoff.min(limits.max_backoff));
        self.failures += 1;
    }
}

impl Peers for TcpPeers {
    fn ask(&self, addr: SocketAddr, ask: &PeerRequest, limit: Duration) -> CallResult<PeerReply> {
        let deadline = Instant::now() + limit;
        let connection = self.connection(addr, deadline)?;
        let reply = connection.ask(ask, deadline, self.limits.max_pending);
        if let Err(e) = &reply {
            metrics::counter!("roseshore_peer_asks_failed_total").increment(1);
            log::debug!("peer `{addr}`: {e}");
        }
        reply
    }
}

impl Connection {
    fn open(addr: SocketAddr, limit: Duration) -> std::io::Result<Arc<Connection>> {
        if limit.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        let stream = TcpStream::connect_timeout(&addr, limit)?;
        stream.set_nodelay(true)?;
        let input = stream.try_clone()?;
        let state = Mutex::new(ConnectionState::default());
        let connection = Arc::new(Connection { stream, state, writing: Mutex::new(()) });
        let reader = connection.clone();
        thread::Builder::new().name("peer-reply".into()).spawn(move || reader.read(&input))?;
        Ok(connection)
    }

    fn ask(
        &self,
        ask: &PeerRequest,
        deadline: Instant,
        max_pending: usize,
    ) -> CallResult<PeerReply> {
        let (send, reply) = flume::bounded(1);
        let number = self.register(send, max_pending)?;
        let message = frame::encode(&Numbered { number, body: ask }, frame::MAX_FRAME);
        let Ok(bytes) = message else {
            self.state.lock().replies.remove(&number);
            return Err(CallError::Unreached("the request exceeds the maximum frame size".into()));
        };
        if let Err(e) = self.write(&bytes, deadline) {
            self.state.lock().replies.remove(&number);
            return Err(e);
        }
        reply.recv_deadline(deadline).unwrap_or_else(|_| Err(self.time_out(number)))
    }

    /// Removes a request that was not answered in time. Closes the connection if too many in a row
    /// were not.
    fn time_out(&self, number: u64) -> CallError {
        let why = CallError::Lost("no reply in time".into());
        let mut state = self.state.lock();
        state.replies.remove(&number);
        state.timeouts += 1;
        let dead = state.timeouts >= MAX_TIMEOUTS;
        drop(state);
        if dead {
            self.fail(&why);
        }
        why
    }

    fn register(
        &self,
        send: flume::Sender<CallResult<PeerReply>>,
        max_pending: usize,
    ) -> CallResult<u64> {
        let mut state = self.state.lock();
        if state.broken {
            return Err(CallError::Unreached("the connection is closed".into()));
        }
        if state.replies.len() >= max_pending {
            return Err(CallError::Unreached(
                "too many requests are pending on the connection".into(),
            ));
        }
        let number = state.next;
        state.next += 1;
        state.replies.insert(number, send);
        Ok(number)
    }

    fn write(&self, bytes: &[u8], deadline: Instant) -> CallResult<()> {
        let Some(_turn) = self.writing.try_lock_until(deadline) else {
            return Err(CallError::Unreached(
                "another request is still being written to the connection".into(),
            ));
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(CallError::Unreached(
                "the deadline passed before the request was written".into(),
            ));
        }
        let len = (bytes.len() as u32).to_be_bytes();
        let mut out = &self.stream;
        let _ = self.stream.set_write_timeout(Some(left));
        let written = out.write_all(&[&len, bytes].concat());
        written.map_err(|e| {
            // Part of a frame may have been sent, so the connection cannot be used any more.
            self.fail(&CallError::Lost(e.to_string()));
            CallError::Lost(e.to_string())
        })
    }

    /// Delivers replies until the connection fails.
    fn read(&self, input: &TcpStream) {
        let mut input = BufReader::new(input);
        loop {
            match frame::read::<Numbered<PeerReply>>(&mut input) {
                Ok(reply) => self.deliver(reply),
                Err(FrameError::Io(e)) => return self.fail(&CallError::Lost(e.to_string())),
                Err(e) => return self.fail(&CallError::Garbled(e.to_string())),
            }
        }
    }

    fn deliver(&self, reply: Numbered<PeerReply>) {
        let mut state = self.state.lock();
        state.answered = true;
        state.timeouts = 0;
        match state.replies.remove(&reply.number) {
            Some(waiter) => drop(waiter.send(Ok(reply.body))),
            None => metrics::counter!("roseshore_peer_replies_late_total").increment(1),
        }
    }

    /// Closes the connection and fails all requests that await replies.
    fn fail(&self, why: &CallError) {
        let mut state = self.state.lock();
        state.broken = true;
        for (_, waiter) in state.replies.drain() {
            let _ = waiter.send(Err(why.clone()));
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Drop for TcpPeers {
    fn drop(&mut self) {
        for link in self.links.lock().values() {
            if let Some(connection) = &link.lock().connection {
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
        }
    }
}
