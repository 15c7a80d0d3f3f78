//! Callers' connections: requests in, final answers out.

use super::{EntryHost, Role, Timer, note};
use crate::http::{self, BodyDecoder, BodyFraming, Framing, HttpError, RequestHead};
use crate::slab::Key;
use roseshore_core::gateway::RequestLimits;
use roseshore_core::prelude::*;
use roseshore_ports::entry::Field;
use std::cmp::Reverse;

/// A caller's connection.
pub(super) struct Caller {
    phase: Phase,
    /// When the connection began to wait for a request.
    since: Instant,
    /// When the first byte of the request that is being read came.
    first: Option<Instant>,
}

enum Phase {
    /// Between requests, or within a head.
    Head,
    /// Within a body.
    Body(Box<Reading>),
    /// A request is being worked on.
    Busy(Key),
    /// The last answer is leaving.
    Closing,
}

struct Reading {
    head: RequestHead,
    decoder: BodyDecoder,
    body: Vec<u8>,
}

impl Caller {
    pub(super) fn new(now: Instant) -> Caller {
        Caller { phase: Phase::Head, since: now, first: None }
    }
}

impl EntryHost {
    fn limits(&self) -> RequestLimits {
        self.snapshot.as_ref().map_or_else(RequestLimits::default, |s| s.limits().clone())
    }

    /// Sets the timer for a caller that is slow or rests.
    pub(super) fn watch_caller(&mut self, key: Key) {
        let limits = self.limits();
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return };
        let at = caller
            .first
            .map_or(caller.since + limits.idle_timeout, |first| first + limits.receive_timeout);
        self.arm(at, Timer::Caller(key));
    }

    /// A caller's timer fired: too slow, too long at rest, or neither.
    pub(super) fn check_caller(&mut self, key: Key) {
        let limits = self.limits();
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return };
        if matches!(caller.phase, Phase::Busy(_) | Phase::Closing) {
            return;
        }
        match caller.first {
            Some(first) if self.now >= first + limits.receive_timeout => {
                self.refuse_connection(key, Code::SlowCaller, "the request did not come in time");
            }
            None if self.now >= caller.since + limits.idle_timeout => self.close(key),
            _ => self.watch_caller(key),
        }
    }

    /// Reads what a caller sent.
    pub(super) fn pump_caller(&mut self, key: Key) {
        loop {
            let limits = self.limits();
            let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
            let Some(socket) = self.net.get(key) else {
                self.roles.remove(&key);
                return;
            };
            let ended = socket.ended.is_some();
            match &mut caller.phase {
                Phase::Busy(exchange) => {
                    let exchange = *exchange;
                    if ended {
                        self.caller_left(exchange);
                        self.close(key);
                    }
                    return;
                }
                Phase::Closing => {
                    socket.input.clear();
                    if ended {
                        self.close(key);
                    }
                    return;
                }
                Phase::Head => {
                    // Empty lines before a request are to be passed over.
                    let blank = socket.input.iter().take_while(|b| b"\r\n".contains(b)).count();
                    socket.input.drain(..blank);
                    if !socket.input.is_empty() && caller.first.is_none() {
                        caller.first = Some(self.now);
                        let late = self.now + limits.receive_timeout;
                        self.timers.push(Reverse((late, Timer::Caller(key))));
                    }
                    match http::parse_request(&mut socket.input, limits.head_bytes) {
                        Ok(Some(head)) => self.begin_body(key, head, &limits),
                        Ok(None) if ended => return self.close(key),
                        Ok(None) => return,
                        Err(err) => return self.refuse_bytes(key, err),
                    }
                }
                Phase::Body(reading) => {
                    let Reading { decoder, body, .. } = &mut **reading;
                    let taken = decoder.decode(&mut socket.input, body);
                    let (done, large) = (decoder.done(), body.len() > limits.body_bytes);
                    if let Err(err) = taken {
                        return self.refuse_bytes(key, err);
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
                        // Its caller left while this host was busy: nothing is sent on for it.
                        note!(self, CallerLeft, "request=- events=0 held_ms=0");
                        return self.close(key);
                    }
                    self.whole_request(key);
                }
            }
        }
    }

    fn begin_body(&mut self, key: Key, head: RequestHead, limits: &RequestLimits) {
        if let Framing::Length(length) = head.framing
            && length > limits.body_bytes as u64
        {
            return self.refuse_connection(key, Code::BodyTooLarge, "the body is too large");
        }
        let expects = http::field(&head.fields, "expect");
        if expects.is_some_and(|e| e.eq_ignore_ascii_case("100-continue")) {
            self.net.send(key, b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let decoder = BodyDecoder::new(head.framing);
        if let Some(Role::Caller(caller)) = self.roles.get_mut(&key) {
            caller.phase = Phase::Body(Box::new(Reading { head, decoder, body: Vec::new() }));
        }
    }

    fn whole_request(&mut self, key: Key) {
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        caller.first = None;
        caller.since = self.now;
        let phase = std::mem::replace(&mut caller.phase, Phase::Head);
        let Phase::Body(reading) = phase else { return };
        let Reading { head, body, .. } = *reading;
        let keep = head.keep_alive;
        match self.begin_exchange(key, head, body) {
            Ok(exchange) => {
                if let Some(Role::Caller(caller)) = self.roles.get_mut(&key) {
                    caller.phase = Phase::Busy(exchange);
                }
                self.dispatch(exchange);
            }
            Err(refused) => {
                let fields = refusal_fields(&refused.refusal, refused.attempt.as_deref());
                let text = refused.refusal.message.clone();
                self.answer_caller(
                    key,
                    refused.refusal.code.status(),
                    &fields,
                    text.as_bytes(),
                    keep,
                );
                self.after_answer(key, keep);
            }
        }
    }

    /// Sends a whole answer of this daemon's own.
    pub(super) fn answer_caller(
        &mut self,
        key: Key,
        status: u16,
        fields: &[Field],
        body: &[u8],
        keep: bool,
    ) {
        let mut out = Vec::with_capacity(256 + body.len());
        let close = !keep || self.stopping.is_some();
        let (reason, sent) = (http::reason(status), BodyFraming::Length(body.len()));
        http::write_response(&mut out, status, reason, fields, sent, close);
        out.extend_from_slice(body);
        self.net.send(key, &out);
    }

    /// The answer to a caller's request has been sent: the next one may come.
    pub(super) fn after_answer(&mut self, key: Key, keep: bool) {
        let Some(Role::Caller(caller)) = self.roles.get_mut(&key) else { return };
        caller.since = self.now;
        caller.first = None;
        if keep && self.stopping.is_none() {
            caller.phase = Phase::Head;
            self.watch_caller(key);
            return;
        }
        caller.phase = Phase::Closing;
        self.finish_socket(key);
    }

    fn refuse_bytes(&mut self, key: Key, err: HttpError) {
        let code = match err {
            HttpError::HeadTooLarge => Code::HeadTooLarge,
            HttpError::Malformed | HttpError::Ambiguous => Code::BadRequest,
        };
        self.refuse_connection(key, code, &err.to_string());
    }

    /// Refuses what cannot be read as a request, and closes.
    fn refuse_connection(&mut self, key: Key, code: Code, text: &str) {
        note!(self, RequestRefused, "code={code} verdict=not_run why={text:?}");
        let fields = refusal_fields(&Refusal::not_run(code, text), None);
        self.answer_caller(key, code.status(), &fields, text.as_bytes(), false);
        self.after_answer(key, false);
    }

    /// Whether a caller's connection waits for its next request.
    pub(super) fn caller_rests(&self, key: Key) -> bool {
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return false };
        matches!(caller.phase, Phase::Head) && caller.first.is_none()
    }
}

/// The fields of a refusal.
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
