//! Token streams: one connection and one reader thread for each.
//!
//! The reader hands lines on as they come. It may sit in a read for as long as the deadline
//! allows, so it cannot see that its receiver is gone; one watcher for all streams looks for that
//! and shuts the connection down, which ends the read.

use super::client;
use crate::agent::{Kept, agent, failure};
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, StreamItem};
use roseshore_wire::engine::{Generate, Output};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::thread;
use ureq::Agent;

/// How often the watcher looks for streams whose receiver is gone.
const WATCH_EVERY: Duration = Duration::from_millis(50);
/// Items that wait for the receiver before the reader does, and with it the engine.
const AHEAD: usize = 256;
/// The longest line, bytes.
const MAX_LINE: u64 = 1 << 20;
/// The stack of a reader, bytes; there are hundreds.
const STACK: usize = 256 << 10;

/// The open streams.
pub(super) struct Streams {
    watched: flume::Sender<Watched>,
}

/// A stream that may be abandoned.
struct Watched {
    items: flume::WeakSender<StreamItem>,
    agent: Agent,
}

impl Streams {
    /// Starts the watcher; it ends when this is dropped and the last stream has ended.
    pub(super) fn start() -> Streams {
        let (watched, incoming) = flume::unbounded();
        thread::spawn(move || watch(&incoming));
        Streams { watched }
    }

    /// Opens a stream and returns once its head has come.
    pub(super) fn open(
        &self,
        addr: SocketAddr,
        ask: &Generate,
        deadline: Instant,
    ) -> CallResult<flume::Receiver<StreamItem>> {
        let body = super::body(ask)?;
        let limit = deadline.saturating_duration_since(Instant::now());
        if limit.is_zero() {
            return Err(CallError::Unreached("the deadline passed".to_owned()));
        }
        let agent = agent(Kept::NONE);
        let response = post(&agent, addr, ask, &body, limit)?;
        let (sender, receiver) = flume::bounded(AHEAD);
        let _ = self.watched.send(Watched { items: sender.downgrade(), agent });
        let reader = thread::Builder::new().name("engine-stream".to_owned()).stack_size(STACK);
        let spawned = reader.spawn(move || read(response.into_body().into_reader(), &sender));
        spawned.map_err(|e| CallError::Lost(e.to_string()))?;
        Ok(receiver)
    }
}

fn post(
    agent: &Agent,
    addr: SocketAddr,
    ask: &Generate,
    body: &[u8],
    limit: Duration,
) -> CallResult<ureq::http::Response<ureq::Body>> {
    let mut request = agent
        .post(client::url(addr, "/v1/generate"))
        .content_type("application/json")
        .header("Connection", "close");
    if let Some(trace) = &ask.trace {
        request = request.header("traceparent", trace);
    }
    let request = request.config().timeout_global(Some(limit));
    let request = request.timeout_connect(Some(client::connect(limit))).build();
    let response = request.send(body).map_err(failure)?;
    if response.status().as_u16() == 200 {
        return Ok(response);
    }
    let refusal = client::reply(response)?.accept();
    Err(refusal.err().unwrap_or_else(|| CallError::Garbled("no stream".to_owned())))
}

/// Forwards lines until the stream ends; the end itself is always forwarded.
fn read(body: impl Read, items: &flume::Sender<StreamItem>) {
    let mut lines = BufReader::new(body);
    let mut whole = false;
    let end = loop {
        match line(&mut lines) {
            Ok(Some(output)) => {
                whole = matches!(output, Output::Done { .. } | Output::Lost { .. });
                if items.send(StreamItem::Output(output)).is_err() {
                    return;
                }
            }
            Ok(None) if whole => break Ok(()),
            Ok(None) => break Err(CallError::Lost("the stream was cut".to_owned())),
            Err(error) => break Err(error),
        }
    };
    let _ = items.send(StreamItem::Ended(end));
}

fn line(lines: &mut impl BufRead) -> CallResult<Option<Output>> {
    let mut bytes = Vec::new();
    let read = lines.take(MAX_LINE).read_until(b'\n', &mut bytes);
    read.map_err(|e| CallError::Lost(e.to_string()))?;
    if bytes.is_empty() {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(CallError::Lost("the stream was cut within a line".to_owned()));
    }
    super::parse(&bytes).map(Some)
}

fn watch(incoming: &flume::Receiver<Watched>) {
    let mut open: Vec<Watched> = Vec::new();
    let mut more = true;
    while more || !open.is_empty() {
        more = wait(incoming, &mut open);
        open.retain(|stream| {
            let Some(items) = stream.items.upgrade() else { return false };
            if items.is_disconnected() {
                stream.agent.clone().shutdown();
                return false;
            }
            true
        });
    }
}

/// Takes new streams in for one round; `false` when no more can come.
fn wait(incoming: &flume::Receiver<Watched>, open: &mut Vec<Watched>) -> bool {
    if open.is_empty() {
        let first = incoming.recv();
        open.extend(first.ok());
        return !open.is_empty();
    }
    thread::sleep(WATCH_EVERY);
    open.extend(incoming.try_iter());
    !incoming.is_disconnected()
}
