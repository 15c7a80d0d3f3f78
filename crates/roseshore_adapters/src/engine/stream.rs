//! Token streams. Each has its own connection and reader thread.
//!
//! The reader forwards lines as they arrive. It may block in a read until the deadline and does not
//! notice meanwhile that its receiver was dropped. A single watcher thread polls all streams for
//! dropped receivers and shuts down their connections, which ends the read.

use super::client;
use crate::agent::{self, PoolLimits};
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, StreamItem};
use roseshore_wire::engine::{Generate, Output};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::thread;
use ureq::Agent;

/// How often the watcher checks for streams whose receiver was dropped.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Items buffered for the receiver. If the buffer is full, the reader blocks and the engine sees
/// backpressure.
const MAX_BUFFERED_ITEMS: usize = 256;
/// Limit for the length of a line.
const MAX_LINE_BYTES: u64 = 1 << 20;
/// Stack size of a reader thread, kept small because there are hundreds of them.
const STACK_BYTES: usize = 256 << 10;

/// Opens streams and closes those whose receiver was dropped.
pub(super) struct Streams {
    opened: flume::Sender<OpenStream>,
}

/// What the watcher needs to close a stream whose receiver was dropped.
struct OpenStream {
    items: flume::WeakSender<StreamItem>,
    agent: Agent,
}

impl Streams {
    /// Starts the watcher thread. It ends once this value is dropped and the last stream has ended.
    pub(super) fn start() -> Streams {
        let (opened, incoming) = flume::unbounded();
        thread::spawn(move || watch(&incoming));
        Streams { opened }
    }

    /// Opens a stream and returns once the response head has arrived.
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
        let agent = agent::agent(PoolLimits::NONE);
        let response = post(&agent, addr, ask, &body, limit)?;
        let (sender, receiver) = flume::bounded(MAX_BUFFERED_ITEMS);
        let _ = self.opened.send(OpenStream { items: sender.downgrade(), agent });
        let reader =
            thread::Builder::new().name("engine-stream".to_owned()).stack_size(STACK_BYTES);
        let spawned =
            reader.spawn(move || forward_lines(response.into_body().into_reader(), &sender));
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
    let request = request.timeout_connect(Some(client::connect_timeout(limit))).build();
    let response = agent::response(request.send(body))?;
    if response.status().as_u16() == 200 {
        return Ok(response);
    }
    let refusal = client::read_reply(response)?.into_body();
    Err(refusal.err().unwrap_or_else(|| CallError::Garbled("no stream".to_owned())))
}

/// Forwards lines until the stream ends, followed by [`StreamItem::Ended`].
fn forward_lines(body: impl Read, items: &flume::Sender<StreamItem>) {
    let mut lines = BufReader::new(body);
    let mut complete = false;
    let end = loop {
        match read_line(&mut lines) {
            Ok(Some(output)) => {
                complete = matches!(output, Output::Done { .. } | Output::Lost { .. });
                if items.send(StreamItem::Output(output)).is_err() {
                    return;
                }
            }
            Ok(None) if complete => break Ok(()),
            Ok(None) => break Err(CallError::Lost("the stream was cut".to_owned())),
            Err(error) => break Err(error),
        }
    };
    let _ = items.send(StreamItem::Ended(end));
}

/// Reads the next line; `None` at the end of the stream.
fn read_line(lines: &mut impl BufRead) -> CallResult<Option<Output>> {
    let mut bytes = Vec::new();
    let read = lines.take(MAX_LINE_BYTES).read_until(b'\n', &mut bytes);
    read.map_err(|e| CallError::Lost(e.to_string()))?;
    if bytes.is_empty() {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(CallError::Lost("the stream was cut within a line".to_owned()));
    }
    super::parse(&bytes).map(Some)
}

/// Shuts down the connections of streams whose receiver was dropped.
fn watch(incoming: &flume::Receiver<OpenStream>) {
    let mut open: Vec<OpenStream> = Vec::new();
    let mut more = true;
    while more || !open.is_empty() {
        more = receive_opened(incoming, &mut open);
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

/// Waits for one poll interval, or for the first stream if none is open, and adds the streams
/// opened meanwhile. Returns `false` once no more can be opened.
fn receive_opened(incoming: &flume::Receiver<OpenStream>, open: &mut Vec<OpenStream>) -> bool {
    if open.is_empty() {
        let first = incoming.recv();
        open.extend(first.ok());
        return !open.is_empty();
    }
    thread::sleep(WATCH_INTERVAL);
    open.extend(incoming.try_iter());
    !incoming.is_disconnected()
}
