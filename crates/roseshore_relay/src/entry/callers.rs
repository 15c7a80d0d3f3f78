//! Connections of callers: reads requests and sends responses.

use super::exchange::RETRY_AFTER;
use super::{EntryHost, Role, Timer, log_event};
use crate::http::{self, BodyDecoder, BodyFraming, Framing, HttpError, RequestHead};
use crate::net::MAX_INPUT;
use crate::slab::Key;
use roseshore_core::gateway::RequestLimits;
use roseshore_core::gateway::memory::{Body, Holder};
use roseshore_core::gateway::shutdown::IdleConnection;
use roseshore_core::prelude::*;
use roseshore_ports::entry::Field;
use std::cmp::Reverse;

/// Time after which a caller that takes in nothing of a response is taken to be gone, unless
/// connections may be idle for longer.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the rest of a refused request is read.
const REFUSED_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of the rest of a refused request that are read.
const REFUSED_BYTES: usize = 1 << 20;
/// Bytes that are read of what a caller sends before it has the response to an earlier request.
const MAX_AHEAD: usize = 16 << 10;

/// A caller's connection.
pub(super) struct Caller {
    phase: Phase,
    /// Since when the connection has waited for a request, or taken in nothing of a response.
    idle_since: Instant,
    /// Bytes of responses that had not been written when this was last checked.
    unwritten: usize,
    /// When the first byte of the request that is being read arrived.
    first_byte: Option<Instant>,
    /// Requests that were read from it.
    requests: u32,
}

/// What a caller's connection is doing.
enum Phase {
    /// Waiting for a request, or reading its head.
    Head,
    /// Reading the body of a request.
    Body(Box<PartialRequest>),
    /// A request is being processed, as the exchange with this key.
    Busy(Key),
    /// The last response is being written.
    Closing,
    /// A request was refused before all of it had come; so many bytes of the rest are still read,
    /// since closing the connection with unread bytes could cost the caller the refusal.
    Refused(usize),
}

/// A request whose body is being read.
struct PartialRequest {
    head: RequestHead,
    decoder: BodyDecoder,
    body: Body,
}

impl Caller {
    /// Whether it never sent a whole request; `None` while one is in progress, or after the last
    /// response.
    pub(super) fn is_replaceable(&self) -> Option<bool> {
        match self.phase {
            Phase::Head | Phase::Body(_) => Some(self.requests == 0),
            Phase::Refused(_) => Some(true),
            Phase::Busy(_) | Phase::Closing => None,
        }
    }

    /// Memory that the request takes which is being read; `None` if no further one is read.
    pub(super) fn partial_bytes(&self) -> Option<usize> {
        match &self.phase {
            Phase::Head | Phase::Busy(_) => Some(0),
            Phase::Body(partial) => Some(partial.body.charged()),
            Phase::Closing | Phase::Refused(_) => None,
        }
    }

    /// The request that is being processed.
    pub(super) fn exchange(&self) -> Option<Key> {
        match self.phase {
            Phase::Busy(exchange) => Some(exchange),
            _ => None,
        }
    }

    /// Until when its connection is kept although nothing happens on it.
    fn idle_until(&self, limits: &RequestLimits) -> Instant {
        let least = if self.unwritten > 0 { UNREAD_TIMEOUT } else { Duration::ZERO };
        self.idle_since + limits.idle_timeout.max(least)
    }

    pub(super) fn new(now: Instant) -> Caller {
        Caller { phase: Phase::Head, idle_since: now, unwritten: 0, first_byte: None, requests: 0 }
    }
}

impl EntryHost {
    /// Limits on requests in the configuration, or defaults while there is none. No body is larger
    /// than the memory for requests.
    fn request_limits(&self) -> RequestLimits {
        let limits = self.snapshot.as_ref().map(|snapshot| snapshot.limits().clone());
        let limits = limits.unwrap_or_default();
        let body_bytes = limits.body_bytes.min(self.memory_limits().max_body());
        RequestLimits { body_bytes, ..limits }
    }

    /// Sets the timer for reading a request, or for an idle connection.
    pub(super) fn watch_caller(&mut self, key: Key) {
        let limits = self.request_limits();
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return };
        let at = caller
            .first_byte
            .map_or(caller.idle_until(&limits), |first_byte| first_byte + limits.receive_timeout);
        self.set_timer(at, Timer::Caller(key));
    }

    /// Refuses a request that arrives too slowly, or closes a connection that was idle for too
    /// long.
    pub(super) fn check_caller(&mut self, key: Key) {
        let limits = self.request_limits();
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        if matches!(caller.phase, Phase::Busy(_)) {
            return;
        }
        let unwritten = self.net.get(key).map_or(0, |socket| socket.unwritten());
        if std::mem::replace(&mut caller.unwritten, unwritten) != unwritten {
            caller.idle_since = self.now;
        }
        if matches!(caller.phase, Phase::Refused(_)) {
            if self.now < caller.idle_since + REFUSED_TIMEOUT {
                let until = caller.idle_since + REFUSED_TIMEOUT;
                return self.set_timer(until, Timer::Caller(key));
            }
            return self.close(key);
        }
        match caller.first_byte {
            Some(first_byte) if self.now >= first_byte + limits.receive_timeout => {
                self.refuse_connection(key, Code::SlowCaller, "the request did not come in time");
            }
            None if self.now >= caller.idle_until(&limits) => {
                let why = if unwritten > 0 { "unread" } else { "idle" };
                self.close_caller(key, why);
            }
            _ => self.watch_caller(key),
        }
    }

    /// Handles input of a caller's connection, or its end.
    pub(super) fn handle_caller(&mut self, key: Key) {
        loop {
            let limits = self.request_limits();
            let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
            let Some(socket) = self.net.get(key) else {
                self.roles.remove(&key);
                return;
            };
            let ended = socket.ended.is_some();
            match &mut caller.phase {
                Phase::Busy(exchange) => {
                    let exchange = *exchange;
                    if self.exchanges.get(exchange).is_some_and(|e| !e.head.keep_alive) {
                        // No further request of this connection is served.
                        socket.input.edit(Vec::clear);
                    }
                    if ended {
                        self.caller_left(exchange);
                        self.close(key);
                    }
                    return;
                }
                Phase::Refused(left) => {
                    *left = left.saturating_sub(socket.input.len());
                    let over = *left == 0;
                    socket.input.edit(Vec::clear);
                    if ended || over {
                        self.close(key);
                    }
                    return;
                }
                Phase::Closing => {
                    socket.input.edit(Vec::clear);
                    if ended {
                        self.close(key);
                    }
                    return;
                }
                // The next request is read once the response to the one before has been written, which
                // bounds what is buffered for the caller.
                Phase::Head if !ended && !socket.flushed() => return,
                Phase::Head => {
                    socket.set_max_input(MAX_INPUT);
                    // Empty lines before a request are to be ignored (RFC 9112, section 2.2).
                    let blank = socket.input.iter().take_while(|b| b"\r\n".contains(b)).count();
                    socket.input.edit(|input| drop(input.drain(..blank)));
                    if !socket.input.is_empty() && caller.first_byte.is_none() {
                        caller.first_byte = Some(self.now);
                        let timeout = self.now + limits.receive_timeout;
                        self.timers.push(Reverse((timeout, Timer::Caller(key))));
                    }
                    let head_bytes = limits.head_bytes;
                    match socket.input.edit(|input| http::parse_request(input, head_bytes)) {
                        Ok(Some(head)) => self.start_body(key, head, &limits),
                        Ok(None) if ended => return self.close(key),
                        Ok(None) => return,
                        Err(err) => return self.refuse_malformed(key, err),
                    }
                }
                Phase::Body(partial) => {
                    let PartialRequest { decoder, body, .. } = &mut **partial;
                    let taken = socket.input.edit(|input| decoder.decode(input, body));
                    self.liveness.link.record_transfer(body.len(), self.now);
                    let (done, large) = (decoder.done(), body.len() > limits.body_bytes);
                    if let Err(err) = taken {
                        return self.refuse_malformed(key, err);
                    }
                    if large {
                        let text = "the body is too large";
                        return self.refuse_connection(key, Code::BodyTooLarge, text);
                    }
                    if !done {
                        if ended {
                            self.close(key);
                        }
                        return;
                    }
                    if ended {
                        // The caller left before this host read the request: it is not sent to a
                        // target.
                        log_event!(self, CallerLeft, "request=- events=0 held_ms=0");
                        return self.close(key);
                    }
                    self.request_complete(key);
                }
            }
        }
    }

    /// Handles requests that were received before the response to an earlier one.
    pub(super) fn handle_resumed_callers(&mut self) {
        while let Some(key) = self.resumed_callers.pop() {
            self.handle_caller(key);
        }
    }

    /// Starts to read the body of a request, unless its announced length is too large.
    fn start_body(&mut self, key: Key, head: RequestHead, limits: &RequestLimits) {
        if let Framing::Length(length) = head.framing
            && length > limits.body_bytes as u64
        {
            return self.refuse_connection(key, Code::BodyTooLarge, "the body is too large");
        }
        if let Framing::Length(length) = head.framing
            && self.memory_limits().lacks_room(self.net.account(), length as usize)
        {
            return self.refuse_incoming(key);
        }
        let expects = http::field(&head.fields, "expect");
        if expects.is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
            self.net.send(key, b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let decoder = BodyDecoder::new(head.framing);
        let body = self.net.account().body(Holder::Receiving);
        if let Some(Role::Caller(caller)) = self.roles.get_mut(&key) {
            caller.phase = Phase::Body(Box::new(PartialRequest { head, decoder, body }));
        }
    }

    /// Creates and dispatches the exchange of a complete request, or refuses the request.
    fn request_complete(&mut self, key: Key) {
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        caller.first_byte = None;
        caller.idle_since = self.now;
        caller.requests += 1;
        let phase = std::mem::replace(&mut caller.phase, Phase::Head);
        let Phase::Body(partial) = phase else { return };
        let PartialRequest { head, mut body, .. } = *partial;
        body.pass_to(Holder::Requests);
        let keep = head.keep_alive;
        match self.begin_exchange(key, head, body) {
            Ok(exchange) => {
                if let Some(Role::Caller(caller)) = self.roles.get_mut(&key) {
                    caller.phase = Phase::Busy(exchange);
                }
                if let Some(socket) = self.net.get(key) {
                    socket.set_max_input(MAX_AHEAD);
                }
                self.dispatch(exchange);
            }
            Err(refused) => {
                let fields = refusal_fields(&refused.refusal, refused.attempt.as_deref());
                let text = refused.refusal.message.clone();
                self.respond(key, refused.refusal.code.status(), &fields, text.as_bytes(), keep);
                self.response_sent(key, keep);
            }
        }
    }

    /// Sends a complete response that this host made itself.
    pub(super) fn respond(
        &mut self,
        key: Key,
        status: u16,
        fields: &[Field],
        body: &[u8],
        keep: bool,
    ) {
        let mut out = Vec::with_capacity(256 + body.len());
        let close = !keep || self.stopping_since.is_some();
        let (reason, sent) = (http::reason(status), BodyFraming::Length(body.len()));
        http::write_response(&mut out, status, reason, fields, sent, close);
        out.extend_from_slice(body);
        self.net.send(key, &out);
    }

    /// Prepares the connection for the next request after a response, or closes it.
    pub(super) fn response_sent(&mut self, key: Key, keep: bool) {
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        caller.idle_since = self.now;
        caller.first_byte = None;
        caller.unwritten = self.net.get(key).map_or(0, |socket| socket.unwritten());
        if keep && self.stopping_since.is_none() {
            caller.phase = Phase::Head;
            self.watch_caller(key);
            return;
        }
        self.close_written(key, if keep { "stopping" } else { "last_response" });
    }

    /// Closes a caller's connection once all that was sent on it has been written.
    pub(super) fn close_written(&mut self, key: Key, why: &str) {
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        caller.phase = Phase::Closing;
        self.log_caller_closed(key, why);
        self.close_flushed(key);
        self.watch_caller(key);
    }

    /// Closes a caller's connection now, which the caller has not closed.
    pub(super) fn close_caller(&mut self, key: Key, why: &str) {
        self.log_caller_closed(key, why);
        self.close(key);
    }

    /// Logs that this host closes a caller's connection, with what it has not read or written.
    fn log_caller_closed(&mut self, key: Key, why: &str) {
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return };
        let (requests, idle_since) = (caller.requests, caller.idle_since);
        self.net.read_arrived(key);
        let Some(socket) = self.net.get(key) else { return };
        let (unread, unwritten) = (socket.input.len(), socket.unwritten());
        let addr = socket.peer_addr().map_or("-".to_owned(), |addr| addr.to_string());
        let idle = self.now.saturating_duration_since(idle_since).as_millis();
        let text = format!(
            "caller={addr} why={why} requests={requests} idle_ms={idle} unread_bytes={unread} \
             unwritten_bytes={unwritten} config_version={}",
            self.config_version()
        );
        log_event!(self, CallerClosed, "{text}");
        metrics::counter!("roseshore_callers_closed_total", "why" => why.to_owned()).increment(1);
    }

    fn refuse_malformed(&mut self, key: Key, err: HttpError) {
        let code = match err {
            HttpError::HeadTooLarge => Code::HeadTooLarge,
            HttpError::Malformed | HttpError::Ambiguous => Code::BadRequest,
        };
        self.refuse_connection(key, code, &err.to_string());
    }

    /// Refuses input that is not an acceptable request, and closes the connection.
    fn refuse_connection(&mut self, key: Key, code: Code, text: &str) {
        self.refuse_partial(key, &Refusal::not_run(code, text));
    }

    /// Refuses a request of which a part may not have come yet, and closes the connection.
    fn refuse_partial(&mut self, key: Key, refusal: &Refusal) {
        let (code, text) = (refusal.code, &refusal.message);
        log_event!(self, RequestRefused, "code={code} verdict=not_run why={text:?}");
        metrics::counter!("roseshore_refused_total", "code" => code.to_string()).increment(1);
        let fields = refusal_fields(refusal, None);
        self.respond(key, code.status(), &fields, text.as_bytes(), false);
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        caller.first_byte = None;
        caller.idle_since = self.now;
        caller.phase = Phase::Refused(REFUSED_BYTES);
        self.log_caller_closed(key, "refused");
        self.net.finish_output(key);
        if let Some(socket) = self.net.get(key) {
            socket.input.edit(Vec::clear);
        }
        self.set_timer(self.now + REFUSED_TIMEOUT, Timer::Caller(key));
    }

    /// Gives up what a caller has sent of a request that is not complete, for want of memory.
    pub(super) fn refuse_incoming(&mut self, key: Key) {
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return };
        if let Some(exchange) = caller.exchange() {
            // The connection is closed after the response, which its caller takes as not read.
            if let Some(exchange) = self.exchanges.get_mut(exchange) {
                exchange.head.keep_alive = false;
            }
            return self.handle_caller(key);
        }
        let retry_after = self.with_jitter(RETRY_AFTER);
        let text = "this host has no memory for the request";
        self.refuse_partial(key, &Refusal::not_run(Code::MemoryFull, text).after(retry_after));
    }

    /// A caller's connection if it is idle: all responses have been written, and no byte of a next
    /// request has arrived.
    pub(super) fn idle_connection(&mut self, key: Key) -> Option<IdleConnection> {
        let written = self.net.get(key).is_some_and(|socket| socket.flushed());
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return None };
        let idle = matches!(caller.phase, Phase::Head) && caller.first_byte.is_none() && written;
        idle.then_some(IdleConnection { requests: caller.requests, since: caller.idle_since })
    }

    /// Closes the idle connections of callers that a stopping host need not keep.
    pub(super) fn close_idle_callers(&mut self) {
        let now = self.now;
        let is_closable = |entry: &mut EntryHost, key| {
            entry.idle_connection(key).is_some_and(|idle| idle.may_close(now))
        };
        let connections: Vec<Key> = self.roles.keys().copied().collect();
        for key in connections {
            if !is_closable(self, key) {
                continue;
            }
            // A request that has come since the last poll is served.
            self.net.read_arrived(key);
            self.handle_caller(key);
            if is_closable(self, key) {
                self.close_caller(key, "stopping");
            }
        }
    }
}

/// Header fields of a refusal.
pub(super) fn refusal_fields(refusal: &Refusal, attempt: Option<&str>) -> Vec<Field> {
    let mut fields: Vec<Field> = vec![
        ("Content-Type".to_owned(), b"text/plain".to_vec()),
        ("x-code".to_owned(), refusal.code.to_string().into_bytes()),
        ("x-verdict".to_owned(), refusal.verdict.name().as_bytes().to_vec()),
    ];
    if let Some(wait) = refusal.retry_after {
        let text = format!("{:.2}", wait.as_secs_f64());
        fields.push(("Retry-After".to_owned(), text.into_bytes()));
    }
    if let Some(attempt) = attempt {
        fields.push(("x-request-id".to_owned(), attempt.as_bytes().to_vec()));
    }
    fields
}
