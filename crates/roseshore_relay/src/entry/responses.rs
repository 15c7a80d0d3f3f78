//! Reads responses of targets and forwards them to callers.
//!
//! A response that is not a stream is forwarded once it is complete, so that a caller never gets a
//! part of one. A stream is forwarded by complete events as they arrive; if its target dies,
//! another target resumes it after the last event.

use super::in_flight::Phase;
use super::probes::millis;
use super::target_feedback::MISDIRECTED;
use super::{EntryHost, Timer, log_event};
use crate::http::{self, BodyDecoder, BodyFraming, Framing, LAST_CHUNK, ResponseHead};
use crate::net::MAX_OUTPUT;
use crate::slab::Key;
use crate::sse;
use roseshore_core::gateway::Fault;
use roseshore_core::gateway::memory::{Body, Holder};
use roseshore_core::gateway::partial::PartialElement;
use roseshore_core::prelude::*;
use roseshore_ports::entry::ResponseFields;

/// Maximum bytes of a response head.
const MAX_HEAD: usize = 32 << 10;
/// Maximum bytes of a response body that is forwarded whole: what can be sent with its head.
const MAX_BODY: usize = MAX_OUTPUT - 2 * MAX_HEAD;
/// Maximum bytes of an event of a stream.
const MAX_EVENT: usize = 256 << 10;
/// Maximum bytes of the body of a target's failure that is kept while another target is tried.
const MAX_KEPT_FAILURE: usize = 64 << 10;
/// Maximum number of responses to other requests that may precede the expected one.
const MAX_STALE_RESPONSES: u32 = 8;

/// What to do after a step of reading a response.
enum Step {
    /// More bytes are needed.
    NeedMore,
    /// The phase changed: go on with the buffered bytes.
    Continue,
    /// The exchange ended, or the request was sent to another target.
    Finished,
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

impl EntryHost {
    /// Handles input of a target's connection, or its end.
    pub(super) fn handle_target(&mut self, key: Key, connection: Key) {
        loop {
            let Some(exchange) = self.exchanges.get_mut(key) else { return };
            let send = exchange.send.as_mut().filter(|send| send.socket == connection);
            let Some(send) = send else { return self.handle_standby(key, connection) };
            let step = match send.phase {
                Phase::Head => self.read_head(key),
                Phase::Stale(_) => self.skip_stale(key),
                Phase::Events(..) => self.read_events(key),
                Phase::Whole(..) => self.read_body(key),
            };
            match step {
                Step::Continue => {}
                Step::NeedMore | Step::Finished => return,
            }
        }
    }

    /// Reads the response head and decides whether the response is used.
    fn read_head(&mut self, key: Key) -> Step {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Finished };
        let Some(send) = exchange.send.as_mut() else { return Step::Finished };
        let Some(socket) = self.net.get(send.socket) else { return Step::Finished };
        if !socket.input.is_empty() && send.response_since.is_none() {
            send.response_since = Some(now);
            self.pending_retries.settle(send.socket.to_number());
        }
        let head = match socket.input.edit(|input| http::parse_response(input, MAX_HEAD)) {
            Ok(Some(head)) => head,
            Ok(None) if socket.ended.is_none() => {
                if send.partial.record(socket.input.len(), now) {
                    self.send_failed(key, Fault::Garbled, None);
                }
                return Step::NeedMore;
            }
            Ok(None) => {
                let fault = if socket.established() { Fault::Lost } else { Fault::NotSent };
                self.send_failed(key, fault, None);
                return Step::Finished;
            }
            Err(_) => {
                self.send_failed(key, Fault::Garbled, None);
                return Step::Finished;
            }
        };
        send.partial = PartialElement::default();
        self.targets.record_response(&send.target, now);
        let feedback = self.platform.read_response(&head.fields);
        send.status = head.status;
        (send.pause, send.leaving) = (feedback.retry_after, feedback.leaving);
        if let Some((running, waiting, _)) = feedback.load {
            self.targets.record_load(&send.target, running, waiting, now);
        }
        self.apply_feedback(key, head.status, &feedback);
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Finished };
        let Some(send) = exchange.send.as_mut() else { return Step::Finished };
        if feedback.attempt.as_ref().is_some_and(|a| *a != exchange.request_fields.attempt) {
            send.phase = Phase::Stale(BodyDecoder::new(head.framing));
            send.stale_responses += 1;
            if send.stale_responses > MAX_STALE_RESPONSES {
                self.send_failed(key, Fault::Garbled, None);
                return Step::Finished;
            }
            return Step::Continue;
        }
        if head.status == MISDIRECTED || (feedback.not_run && head.status >= 400) {
            self.refused_by_target(key, &head, &feedback);
            return Step::Finished;
        }
        let success = is_success(head.status);
        if success && (feedback.attempt.is_none() || !feedback.sealed) {
            self.send_failed(key, Fault::Garbled, None);
            return Step::Finished;
        }
        if exchange.delivery.started && !success {
            self.send_failed(key, Fault::Failed, None);
            return Step::Finished;
        }
        let streamed = success && exchange.route.kind.is_stream();
        if let Framing::Length(length) = head.framing
            && length > MAX_BODY as u64
            && !streamed
        {
            self.refuse_long_answer(key, length);
            return Step::Finished;
        }
        if !exchange.route.kind.is_stream() || !success {
            send.latest_at = now;
        }
        let decoder = BodyDecoder::new(head.framing);
        send.phase =
            if streamed { Phase::Events(head, decoder) } else { Phase::Whole(head, decoder) };
        Step::Continue
    }

    /// Ends a request whose answer is longer than what can be delivered. Its target has done nothing
    /// wrong, and another one would give the same answer.
    fn refuse_long_answer(&mut self, key: Key, length: u64) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        exchange.verdict = exchange.verdict.join(Verdict::MayHaveRun);
        self.drop_send(key, false);
        let why = format!("the answer has {length} bytes, of which {MAX_BODY} can be delivered");
        self.end_without(key, Code::TargetGarbled, &why);
    }

    /// Handles a response by which a target states that it did not run the request.
    fn refused_by_target(&mut self, key: Key, head: &ResponseHead, feedback: &ResponseFields) {
        let Some(send) = self.exchanges.get(key).and_then(|e| e.send.as_ref()) else { return };
        if head.status == MISDIRECTED {
            let named = feedback.faulty_target.and_then(|addr| send.at(addr));
            if let Some((id, layers)) = named.map(|(id, layers)| (id.clone(), layers)) {
                self.record_not_held(&id, layers);
            } else if feedback.faulty_target.is_none() {
                let target = send.target.clone();
                self.targets.mark_replaced(&target);
                log_event!(self, TargetLeft, "target={target} state=replaced");
            }
        }
        self.send_failed(key, Fault::Refused, feedback.faulty_target);
    }

    /// Discards the response to another request, which precedes the expected one.
    fn skip_stale(&mut self, key: Key) -> Step {
        let Some(send) = self.exchanges.get_mut(key).and_then(|e| e.send.as_mut()) else {
            return Step::Finished;
        };
        let Some(socket) = self.net.get(send.socket) else { return Step::Finished };
        let Phase::Stale(decoder) = &mut send.phase else { return Step::Continue };
        let mut discarded = Vec::new();
        let taken = socket.input.edit(|input| decoder.decode(input, &mut discarded));
        send.stale_bytes += discarded.len();
        if send.stale_bytes > MAX_BODY {
            self.send_failed(key, Fault::Garbled, None);
            return Step::Finished;
        }
        if decoder.done() {
            send.phase = Phase::Head;
            return Step::Continue;
        }
        let fault = taken.is_err().then_some(Fault::Garbled);
        if let Some(fault) = fault.or(socket.ended.map(|_| Fault::Lost)) {
            self.send_failed(key, fault, None);
            return Step::Finished;
        }
        Step::NeedMore
    }

    /// Decodes received bytes. Returns whether the body is complete, or the fault if it is broken.
    fn read_bytes(&mut self, key: Key) -> Option<Result<bool, Fault>> {
        let send = self.exchanges.get_mut(key)?.send.as_mut()?;
        let socket = self.net.get(send.socket)?;
        let (body, events) = (&mut send.body, &mut send.events);
        let taken = socket.input.edit(|input| match &mut send.phase {
            Phase::Whole(_, decoder) => Some((decoder.decode(input, body), decoder)),
            Phase::Events(_, decoder) => {
                Some((events.edit(|events| decoder.decode(input, events)), decoder))
            }
            Phase::Head | Phase::Stale(_) => None,
        });
        let (taken, decoder) = taken?;
        let received = body.len() + events.len();
        self.liveness.link.record_transfer(received, self.now);
        let ends = decoder.ends_with_connection();
        let whole = decoder.done() || (ends && socket.ended_orderly());
        if taken.is_err() || received > MAX_BODY {
            return Some(Err(Fault::Garbled));
        }
        if !whole && socket.ended.is_some() {
            return Some(Err(Fault::Cut));
        }
        Some(Ok(whole))
    }

    /// Reads a response that is forwarded once it is complete.
    fn read_body(&mut self, key: Key) -> Step {
        match self.read_bytes(key) {
            None => return Step::Finished,
            Some(Err(fault)) => {
                self.send_failed(key, fault, None);
                return Step::Finished;
            }
            Some(Ok(false)) => return Step::NeedMore,
            Some(Ok(true)) => {}
        }
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Finished };
        let Some(send) = exchange.send.as_mut() else { return Step::Finished };
        let Phase::Whole(head, _) = &send.phase else { return Step::Finished };
        let head = head.clone();
        let replaceable =
            !exchange.standbys.is_empty() || (exchange.may_move(now) && self.has_alternative(key));
        if head.status >= 500 && replaceable {
            self.keep_own_failure(key, head);
            self.send_failed(key, Fault::Failed, None);
            return Step::Finished;
        }
        self.forward_response(key, &head);
        Step::Finished
    }

    /// Whether the request could be sent to another target within the route's limit on targets.
    fn has_alternative(&self, key: Key) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return false };
        let Some(send) = &exchange.send else { return false };
        if exchange.at_bound() {
            return false;
        }
        let mut avoid = exchange.avoided.list(self.now);
        avoid.push(send.target.clone());
        let local = &self.settings.data_centre;
        let service = &exchange.service;
        service.engine.is_some()
            || self.targets.choose_plain(&service.name, local, &avoid, self.now).is_some()
    }

    /// Forwards a complete response to the caller.
    fn forward_response(&mut self, key: Key, head: &ResponseHead) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.as_mut() else { return };
        let body = send.body.take();
        let target = send.target.clone();
        self.write_whole(key, head, body);
        self.record_success(&target, key);
        self.mark_completed(key);
        self.finish_exchange(key, head.keep_alive, head.status, "whole");
    }

    /// Keeps a target's complete failure, unless it is large.
    fn keep_own_failure(&mut self, key: Key, head: ResponseHead) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.as_mut() else { return };
        if send.body.len() <= MAX_KEPT_FAILURE {
            exchange.own_failure = Some((head, send.body.take()));
        }
    }

    /// Forwards the failure that a target responded with before another one was tried, if there is
    /// one. Returns whether there is.
    pub(super) fn forward_own_failure(&mut self, key: Key) -> bool {
        let Some(exchange) = self.exchanges.get_mut(key) else { return false };
        let Some((head, body)) = exchange.own_failure.take() else { return false };
        self.write_whole(key, &head, body);
        self.finish_exchange(key, false, head.status, "the target's own failure");
        true
    }

    /// Writes a complete response of a target to the caller.
    fn write_whole(&mut self, key: Key, head: &ResponseHead, mut body: Body) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let (caller, keep) = (exchange.caller, exchange.head.keep_alive);
        exchange.verdict = Verdict::Answered;
        exchange.delivery.first_at.get_or_insert(self.now);
        let fields = self.platform.caller_headers(&head.fields);
        let mut out = Vec::with_capacity(512);
        let close = !keep || self.stopping_since.is_some();
        http::write_response(
            &mut out,
            head.status,
            &head.reason,
            &fields,
            BodyFraming::Length(body.len()),
            close,
        );
        if exchange.head.method == "HEAD" {
            self.net.send(caller, &out);
        } else {
            body.pass_to(Holder::Unread);
            self.net.send_whole(caller, &out, body);
        }
    }

    /// Records that a target gave a complete response to the exchange `key`.
    fn record_success(&mut self, target: &str, key: Key) {
        if !self.targets.record_success(target, self.now) {
            return;
        }
        let Some(exchange) = self.exchanges.get(key) else { return };
        let sent =
            exchange.send.as_ref().map(|send| self.now.saturating_duration_since(send.sent_at));
        let (attempt, age) = (&exchange.request_fields.attempt, millis(sent));
        let text = format!("target={target} by=answer request={attempt} sent_ms_ago={age}");
        log_event!(self, TargetBack, "{text}");
    }

    /// Ends an exchange whose response has been forwarded.
    fn finish_exchange(&mut self, key: Key, keep_target: bool, status: u16, why: &str) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let (caller, keep) = (exchange.caller, exchange.head.keep_alive);
        self.drop_send(key, keep_target);
        self.record_unfinished(key, Duration::ZERO);
        self.close_exchange(key, status, why);
        self.response_sent(caller, keep);
        self.resumed_callers.push(caller);
    }

    /// Sends the response head of a stream to the caller, unless the stream is being resumed. This is
    /// done with the first event: until then, another send may bring the answer.
    fn begin_stream(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = &exchange.send else { return };
        let Phase::Events(head, _) = &send.phase else { return };
        if exchange.delivery.started {
            let attempt = exchange.request_fields.attempt.clone();
            let after = exchange.delivery.last_id.unwrap_or(0);
            log_event!(self, AnswerResumed, "request={attempt} after={after}");
            return;
        }
        exchange.delivery.started = true;
        let (caller, keep) = (exchange.caller, exchange.head.keep_alive);
        let fields = self.platform.caller_headers(&head.fields);
        let mut out = Vec::with_capacity(512);
        let close = !keep || self.stopping_since.is_some();
        http::write_response(
            &mut out,
            head.status,
            &head.reason,
            &fields,
            BodyFraming::Chunked,
            close,
        );
        self.net.send(caller, &out);
    }

    /// Reads a stream and forwards its complete events.
    fn read_events(&mut self, key: Key) -> Step {
        let Some(received) = self.read_bytes(key) else { return Step::Finished };
        if received == Err(Fault::Garbled) {
            // What precedes the malformed bytes cannot be trusted either.
            self.send_failed(key, Fault::Garbled, None);
            return Step::Finished;
        }
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Finished };
        let Some(send) = exchange.send.as_mut() else { return Step::Finished };
        let Phase::Events(head, _) = &send.phase else { return Step::Finished };
        let (keep, caller) = (head.keep_alive, exchange.caller);
        let (received_len, searched) = (send.events.len(), send.searched);
        let after = exchange.delivery.last_id;
        let taken = send.events.edit(|events| sse::take_new_events(events, after, searched));
        send.searched = send.events.len();
        if send.searched < received_len {
            send.partial = PartialElement::default();
        }
        let endless = send.partial.record(send.searched, now) || send.searched > MAX_EVENT;
        if taken.gap || (endless && received == Ok(false)) {
            self.send_failed(key, Fault::Garbled, None);
            return Step::Finished;
        }
        if taken.count > 0 {
            if send.first_event.is_none() {
                self.begin_stream(key);
            }
            let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Finished };
            let Some(send) = exchange.send.as_mut() else { return Step::Finished };
            exchange.delivery.last_id = taken.last;
            exchange.delivery.events += taken.count;
            if let Some(before) = exchange.delivery.latest_at {
                let pause = now.saturating_duration_since(before);
                exchange.delivery.max_pause = exchange.delivery.max_pause.max(pause);
            }
            if send.first_event.is_none() {
                send.first_event = Some(now);
                let took = now.saturating_duration_since(send.sent_at);
                self.targets.record_first_event(send.path.iter().map(|(id, ..)| id), took, now);
            }
            let first = exchange.delivery.first_at.is_none();
            exchange.delivery.first_at.get_or_insert(now);
            exchange.delivery.latest_at = Some(now);
            send.latest_at = now;
            send.progress.record_event(now);
            let relayed = send.route.via.is_some();
            self.targets.record_progress(send.path.iter().map(|(id, ..)| id), relayed, now);
            let mut out = Vec::with_capacity(taken.bytes.len() + 16);
            http::write_chunk(&mut out, &taken.bytes);
            self.net.send(caller, &out);
            // Time from the readiness event to the write to the caller's socket.
            let latency = self.clock.now().saturating_duration_since(now);
            metrics::histogram!("roseshore_pass_on_seconds").record(latency.as_secs_f64());
            if first {
                self.set_timer(now, Timer::Exchange(key));
            }
            self.drop_standbys(key);
            self.record_survived(key);
        }
        match received {
            Ok(false) => Step::NeedMore,
            Ok(true) => self.end_stream(key, keep),
            Err(fault) => {
                self.send_failed(key, fault, None);
                Step::Finished
            }
        }
    }

    /// Ends a complete stream; a stream that ends within an event is a fault.
    fn end_stream(&mut self, key: Key, keep: bool) -> Step {
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Finished };
        let Some(send) = exchange.send.as_mut() else { return Step::Finished };
        if !send.events.is_empty() {
            self.send_failed(key, Fault::Cut, None);
            return Step::Finished;
        }
        if !exchange.delivery.started {
            self.begin_stream(key);
        }
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Finished };
        let Some(send) = &exchange.send else { return Step::Finished };
        exchange.verdict = Verdict::Answered;
        let caller = exchange.caller;
        let targets = send.targets();
        self.net.send(caller, LAST_CHUNK);
        for target in &targets {
            self.record_success(target, key);
        }
        self.mark_completed(key);
        self.finish_exchange(key, keep, 200, "whole");
        Step::Finished
    }
}
