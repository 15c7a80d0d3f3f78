//! Asks peers over TCP, one connection per pair.
//!
//! A connection is made when it is first needed and again after it broke, but not before a rest
//! that doubles with every failure: a peer that is down costs its askers nothing. A reader thread
//! hands each reply to the question with its number; a question given up on takes its number
//! along, and its late reply is dropped.

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

/// The bounds of the client.
#[derive(Clone, Debug)]
pub struct Limits {
    /// How long a connection may take to be made.
    pub connect: Duration,
    /// The rest after the first failure; it doubles with each.
    pub rest: Duration,
    /// The longest rest.
    pub longest: Duration,
    /// Questions that may wait for replies on one connection.
    pub pending: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect: Duration::from_millis(300),
            rest: Duration::from_millis(50),
            longest: Duration::from_secs(1),
            pending: 256,
        }
    }
}

/// Bounds the exponent of the rest, far above what [`Limits::longest`] lets through.
const MAX_DOUBLINGS: u32 = 16;
/// Replies missed one after the other, after which a connection is taken for dead.
const MAX_MISSED: u32 = 3;

/// The links to all peers.
pub struct TcpPeers {
    limits: Limits,
    links: Mutex<HashMap<SocketAddr, Arc<Mutex<Link>>>>,
}

/// The way to one peer.
#[derive(Default)]
struct Link {
    line: Option<Arc<Line>>,
    failures: u32,
    rest: Option<Instant>,
}

/// One open connection.
struct Line {
    stream: TcpStream,
    state: Mutex<Waiting>,
    writing: Mutex<()>,
}

#[derive(Default)]
struct Waiting {
    next: u64,
    replies: HashMap<u64, flume::Sender<CallResult<PeerReply>>>,
    broken: bool,
    answered: bool,
    missed: u32,
}

impl TcpPeers {
    /// No connections yet.
    pub fn new(limits: Limits) -> TcpPeers {
        TcpPeers { limits, links: Mutex::new(HashMap::new()) }
    }

    fn line(&self, addr: SocketAddr, deadline: Instant) -> CallResult<Arc<Line>> {
        let shared = self.links.lock().entry(addr).or_default().clone();
        let Some(mut link) = shared.try_lock_until(deadline) else {
            return Err(CallError::Unreached(format!("`{addr}` is still being connected to")));
        };
        if let Some(line) = link.line.clone() {
            let state = line.state.lock();
            if !state.broken {
                if state.answered {
                    link.failures = 0;
                }
                drop(state);
                return Ok(line);
            }
            let useless = !state.answered;
            drop(state);
            link.line = None;
            if useless {
                link.failed(&self.limits);
            }
        }
        let now = Instant::now();
        if link.rest.is_some_and(|rest| now < rest) {
            return Err(CallError::Unreached(format!("`{addr}` failed just now")));
        }
        let limit = self.limits.connect.min(deadline.saturating_duration_since(now));
        match Line::open(addr, limit) {
            Ok(open) => {
                link.line = Some(open.clone());
                Ok(open)
            }
            Err(e) => {
                link.failed(&self.limits);
                Err(CallError::Unreached(e.to_string()))
            }
        }
    }
}

impl Link {
    fn failed(&mut self, limits: &Limits) {
        let rest = limits.rest * 2u32.saturating_pow(self.failures.min(MAX_DOUBLINGS));
        self.rest = Some(Instant::now() + rest.min(limits.longest));
        self.failures += 1;
    }
}

impl Peers for TcpPeers {
    fn ask(&self, addr: SocketAddr, ask: &PeerRequest, limit: Duration) -> CallResult<PeerReply> {
        let deadline = Instant::now() + limit;
        let line = self.line(addr, deadline)?;
        let reply = line.ask(ask, deadline, self.limits.pending);
        if let Err(e) = &reply {
            metrics::counter!("roseshore_peer_asks_failed_total").increment(1);
            log::debug!("peer `{addr}`: {e}");
        }
        reply
    }
}

impl Line {
    fn open(addr: SocketAddr, limit: Duration) -> std::io::Result<Arc<Line>> {
        if limit.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        let stream = TcpStream::connect_timeout(&addr, limit)?;
        stream.set_nodelay(true)?;
        let input = stream.try_clone()?;
        let state = Mutex::new(Waiting::default());
        let line = Arc::new(Line { stream, state, writing: Mutex::new(()) });
        let reader = line.clone();
        thread::Builder::new().name("peer-reply".into()).spawn(move || reader.read(&input))?;
        Ok(line)
    }

    fn ask(&self, ask: &PeerRequest, deadline: Instant, pending: usize) -> CallResult<PeerReply> {
        let (send, reply) = flume::bounded(1);
        let number = self.enrol(send, pending)?;
        let message = frame::encode(&Numbered { number, body: ask }, frame::MAX_FRAME);
        let Ok(bytes) = message else {
            self.state.lock().replies.remove(&number);
            return Err(CallError::Unreached("the question exceeds the bound".into()));
        };
        if let Err(e) = self.write(&bytes, deadline) {
            self.state.lock().replies.remove(&number);
            return Err(e);
        }
        reply.recv_deadline(deadline).unwrap_or_else(|_| Err(self.give_up(number)))
    }

    fn give_up(&self, number: u64) -> CallError {
        let why = CallError::Lost("no reply in time".into());
        let mut state = self.state.lock();
        state.replies.remove(&number);
        state.missed += 1;
        let dead = state.missed >= MAX_MISSED;
        drop(state);
        if dead {
            self.fail(&why);
        }
        why
    }

    fn enrol(&self, send: flume::Sender<CallResult<PeerReply>>, pending: usize) -> CallResult<u64> {
        let mut state = self.state.lock();
        if state.broken {
            return Err(CallError::Unreached("the connection broke".into()));
        }
        if state.replies.len() >= pending {
            return Err(CallError::Unreached("too many questions wait for replies".into()));
        }
        let number = state.next;
        state.next += 1;
        state.replies.insert(number, send);
        Ok(number)
    }

    fn write(&self, bytes: &[u8], deadline: Instant) -> CallResult<()> {
        let Some(_turn) = self.writing.try_lock_until(deadline) else {
            return Err(CallError::Unreached("the connection is busy".into()));
        };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(CallError::Unreached("no time left to write".into()));
        }
        let len = (bytes.len() as u32).to_be_bytes();
        let mut out = &self.stream;
        let _ = self.stream.set_write_timeout(Some(left));
        let written = out.write_all(&[&len, bytes].concat());
        written.map_err(|e| {
            // Part of a frame may be out: nothing more can be said on this connection.
            self.fail(&CallError::Lost(e.to_string()));
            CallError::Lost(e.to_string())
        })
    }

    fn read(&self, input: &TcpStream) {
        let mut input = BufReader::new(input);
        loop {
            match frame::read::<Numbered<PeerReply>>(&mut input) {
                Ok(reply) => self.hand(reply),
                Err(FrameError::Io(e)) => return self.fail(&CallError::Lost(e.to_string())),
                Err(e) => return self.fail(&CallError::Garbled(e.to_string())),
            }
        }
    }

    fn hand(&self, reply: Numbered<PeerReply>) {
        let mut state = self.state.lock();
        state.answered = true;
        state.missed = 0;
        match state.replies.remove(&reply.number) {
            Some(asker) => drop(asker.send(Ok(reply.body))),
            None => metrics::counter!("roseshore_peer_replies_late_total").increment(1),
        }
    }

    fn fail(&self, why: &CallError) {
        let mut state = self.state.lock();
        state.broken = true;
        for (_, asker) in state.replies.drain() {
            let _ = asker.send(Err(why.clone()));
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Drop for TcpPeers {
    fn drop(&mut self) {
        for link in self.links.lock().values() {
            if let Some(line) = &link.lock().line {
                let _ = line.stream.shutdown(Shutdown::Both);
            }
        }
    }
}
