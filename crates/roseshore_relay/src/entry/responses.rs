//! Takes targets' answers and passes them on.
//!
//! A plain answer is passed on once it is whole, so a caller never sees part of one. A stream is
//! passed on by whole events as they come; if its target dies, another goes on after the last one.

use super::in_flight::Phase;
use super::probes::millis;
use super::target_feedback::MISDIRECTED;
use super::{EntryHost, Timer, note, orderly};
use crate::http::{self, BodyDecoder, BodyFraming, LAST_CHUNK, ResponseHead};
use crate::slab::Key;
use crate::sse;
use roseshore_core::gateway::Fault;
use roseshore_core::prelude::*;
use roseshore_ports::entry::Answered;

/// Bytes of an answer's head.
const MAX_HEAD: usize = 32 << 10;
/// Bytes of an answer that is not a stream.
const MAX_BODY: usize = 16 << 20;

enum Step {
    /// More bytes are needed.
    Wait,
    /// Look again.
    Go,
    /// The exchange ended or was sent elsewhere.
    Over,
}

impl EntryHost {
    /// A target sent something, or its connection ended.
    pub(super) fn pump_target(&mut self, key: Key) {
        loop {
            let Some(exchange) = self.exchanges.get_mut(key) else { return };
            let Some(send) = exchange.send.as_mut() else { return };
            let step = match send.phase {
                Phase::Head => self.take_head(key),
                Phase::Surplus(_) => self.take_surplus(key),
                Phase::Body(..) if exchange.out.begun || exchange.route.kind.is_stream() => {
                    self.pump_events(key)
                }
                Phase::Body(..) => self.take_body(key),
            };
            match step {
                Step::Go => {}
                Step::Wait | Step::Over => return,
            }
        }
    }

    fn take_head(&mut self, key: Key) -> Step {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Over };
        let Some(send) = exchange.send.as_mut() else { return Step::Over };
        let Some(socket) = self.net.get(send.socket) else { return Step::Over };
        let head = match http::parse_response(&mut socket.input, MAX_HEAD) {
            Ok(Some(head)) => head,
            Ok(None) if socket.ended.is_none() => return Step::Wait,
            Ok(None) => {
                let fault = if socket.connected { Fault::Lost } else { Fault::NotSent };
                self.failed(key, fault, None);
                return Step::Over;
            }
            Err(_) => {
                self.failed(key, Fault::Garbled, None);
                return Step::Over;
            }
        };
        let said = self.platform.answered(&head.fields);
        send.status = head.status;
        (send.rest, send.leaving) = (said.rest, said.leaving);
        if let Some((running, waiting, _)) = said.load {
            self.targets.record_load(&send.target, running, waiting, now);
        }
        self.heed_answer(key, head.status, &said);
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Over };
        let Some(send) = exchange.send.as_mut() else { return Step::Over };
        if said.attempt.as_ref().is_some_and(|a| *a != exchange.asked.attempt) {
            send.phase = Phase::Surplus(BodyDecoder::new(head.framing));
            return Step::Go;
        }
        if head.status == MISDIRECTED || (said.not_run && head.status >= 400) {
            self.refused_by_target(key, &head, &said);
            return Step::Over;
        }
        let success = (200..300).contains(&head.status);
        if success && (said.attempt.is_none() || !said.sealed) {
            self.failed(key, Fault::Garbled, None);
            return Step::Over;
        }
        if exchange.out.begun && !success {
            self.failed(key, Fault::Failed, None);
            return Step::Over;
        }
        if success && exchange.route.kind.is_stream() {
            self.begin_stream(key, &head);
        }
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Over };
        let Some(send) = exchange.send.as_mut() else { return Step::Over };
        if !exchange.route.kind.is_stream() || !success {
            send.latest = now;
        }
        let decoder = BodyDecoder::new(head.framing);
        send.phase = Phase::Body(head, decoder);
        Step::Go
    }

    /// A target says that it did not run the request.
    fn refused_by_target(&mut self, key: Key, head: &ResponseHead, said: &Answered) {
        let Some(send) = self.exchanges.get(key).and_then(|e| e.send.as_ref()) else { return };
        if head.status == MISDIRECTED {
            let named = said.faulty.and_then(|addr| send.at(addr));
            if let Some((id, layers)) = named.map(|(id, layers)| (id.clone(), layers)) {
                self.disprove_held(&id, layers);
            } else if said.faulty.is_none() {
                let target = send.target.clone();
                self.targets.mark_replaced(&target);
                note!(self, TargetLeft, "target={target} state=replaced");
            }
        }
        self.failed(key, Fault::Refused, said.faulty);
    }

    fn take_surplus(&mut self, key: Key) -> Step {
        let Some(send) = self.exchanges.get_mut(key).and_then(|e| e.send.as_mut()) else {
            return Step::Over;
        };
        let Some(socket) = self.net.get(send.socket) else { return Step::Over };
        let Phase::Surplus(decoder) = &mut send.phase else { return Step::Go };
        let mut passed_over = Vec::new();
        let taken = decoder.decode(&mut socket.input, &mut passed_over);
        if decoder.done() {
            send.phase = Phase::Head;
            return Step::Go;
        }
        if taken.is_err() || socket.ended.is_some() {
            self.failed(key, Fault::Lost, None);
            return Step::Over;
        }
        Step::Wait
    }

    /// Moves what came from the socket to the body; says whether the body is whole or broken.
    fn take_bytes(&mut self, key: Key) -> Option<Result<bool, Fault>> {
        let send = self.exchanges.get_mut(key)?.send.as_mut()?;
        let socket = self.net.get(send.socket)?;
        let Phase::Body(_, decoder) = &mut send.phase else { return None };
        let taken = decoder.decode(&mut socket.input, &mut send.body);
        let ends = decoder.ends_with_connection();
        let whole = decoder.done() || (ends && orderly(socket.ended));
        if taken.is_err() || send.body.len() > MAX_BODY {
            return Some(Err(Fault::Garbled));
        }
        if !whole && socket.ended.is_some() {
            return Some(Err(Fault::Cut));
        }
        Some(Ok(whole))
    }

    fn take_body(&mut self, key: Key) -> Step {
        match self.take_bytes(key) {
            None => return Step::Over,
            Some(Err(fault)) => {
                self.failed(key, fault, None);
                return Step::Over;
            }
            Some(Ok(false)) => return Step::Wait,
            Some(Ok(true)) => {}
        }
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Over };
        let Some(send) = exchange.send.as_mut() else { return Step::Over };
        let Phase::Body(head, _) = &send.phase else { return Step::Over };
        let head = head.clone();
        if head.status >= 500 && exchange.may_move(now) && self.has_other(key) {
            self.failed(key, Fault::Failed, None);
            return Step::Over;
        }
        self.pass_whole(key, &head);
        Step::Over
    }

    /// Whether another target could be tried, within the route's bound on targets.
    fn has_other(&self, key: Key) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return false };
        let Some(send) = &exchange.send else { return false };
        if exchange.at_bound() {
            return false;
        }
        let mut avoid = exchange.avoid.list(self.now);
        avoid.push(send.target.clone());
        let near = &self.settings.data_centre;
        let service = &exchange.service;
        service.engine.is_some()
            || self.targets.choose_plain(&service.name, near, &avoid, self.now).is_some()
    }

    /// Passes a whole answer on.
    fn pass_whole(&mut self, key: Key, head: &ResponseHead) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.as_mut() else { return };
        let body = std::mem::take(&mut send.body);
        let target = send.target.clone();
        let (caller, keep) = (exchange.caller, exchange.head.keep_alive);
        exchange.verdict = Verdict::Answered;
        exchange.out.first.get_or_insert(self.now);
        let fields = self.platform.returned(&head.fields);
        let mut out = Vec::with_capacity(512 + body.len());
        let close = !keep || self.stopping.is_some();
        http::write_response(
            &mut out,
            head.status,
            &head.reason,
            &fields,
            BodyFraming::Length(body.len()),
            close,
        );
        if exchange.head.method != "HEAD" {
            out.extend_from_slice(&body);
        }
        self.net.send(caller, &out);
        let fingerprint = exchange.fingerprint;
        self.worked(&target, key);
        self.ended_whole(fingerprint);
        self.finish(key, head.keep_alive, head.status, "whole");
    }

    /// A whole answer came from a target; `key` is the request's.
    fn worked(&mut self, target: &str, key: Key) {
        if !self.targets.record_success(target, self.now) {
            return;
        }
        let Some(exchange) = self.exchanges.get(key) else { return };
        let sent = exchange.send.as_ref().map(|send| self.now.saturating_duration_since(send.sent));
        let (attempt, age) = (&exchange.asked.attempt, millis(sent));
        let text = format!("target={target} by=answer request={attempt} sent_ms_ago={age}");
        note!(self, TargetBack, "{text}");
    }

    /// Ends an exchange whose answer has been passed on.
    fn finish(&mut self, key: Key, keep_target: bool, status: u16, why: &str) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let (caller, keep) = (exchange.caller, exchange.head.keep_alive);
        self.drop_send(key, keep_target);
        self.close_exchange(key, status, why);
        self.after_answer(caller, keep);
        self.pump_caller(caller);
    }

    /// Sends the head of a stream to the caller, if it has none yet.
    fn begin_stream(&mut self, key: Key, head: &ResponseHead) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        if exchange.out.begun {
            let attempt = exchange.asked.attempt.clone();
            let after = exchange.out.last.unwrap_or(0);
            note!(self, AnswerResumed, "request={attempt} after={after}");
            return;
        }
        exchange.out.begun = true;
        let (caller, keep) = (exchange.caller, exchange.head.keep_alive);
        let fields = self.platform.returned(&head.fields);
        let mut out = Vec::with_capacity(512);
        let close = !keep || self.stopping.is_some();
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

    fn pump_events(&mut self, key: Key) -> Step {
        let Some(came) = self.take_bytes(key) else { return Step::Over };
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Over };
        let Some(send) = exchange.send.as_mut() else { return Step::Over };
        let Phase::Body(head, _) = &send.phase else { return Step::Over };
        if !exchange.out.begun {
            // A stream's route with an answer that is no success: passed on whole.
            return self.take_failure(key, came);
        }
        let (keep, caller) = (head.keep_alive, exchange.caller);
        let taken = sse::take_events(&mut send.body, exchange.out.last);
        if taken.gap {
            self.failed(key, Fault::Garbled, None);
            return Step::Over;
        }
        if taken.count > 0 {
            exchange.out.last = taken.last;
            exchange.out.events += taken.count;
            if let Some(before) = exchange.out.latest {
                let pause = now.saturating_duration_since(before);
                exchange.out.pause = exchange.out.pause.max(pause);
            }
            send.first.get_or_insert(now);
            let first = exchange.out.first.is_none();
            exchange.out.first.get_or_insert(now);
            exchange.out.latest = Some(now);
            send.latest = now;
            self.targets.record_progress(send.path.iter().map(|(id, ..)| id), now);
            let mut out = Vec::with_capacity(taken.bytes.len() + 16);
            http::write_chunk(&mut out, &taken.bytes);
            self.net.send(caller, &out);
            // From the notice that bytes are there to the socket that they leave by.
            let passed = self.clock.now().saturating_duration_since(now);
            metrics::histogram!("roseshore_pass_on_seconds").record(passed.as_secs_f64());
            if first {
                self.arm(now, Timer::Exchange(key));
            }
        }
        match came {
            Ok(false) => Step::Wait,
            Ok(true) => self.end_stream(key, keep),
            Err(fault) => {
                self.failed(key, fault, None);
                Step::Over
            }
        }
    }

    fn take_failure(&mut self, key: Key, came: Result<bool, Fault>) -> Step {
        match came {
            Ok(false) => Step::Wait,
            Ok(true) => self.take_body(key),
            Err(fault) => {
                self.failed(key, fault, None);
                Step::Over
            }
        }
    }

    fn end_stream(&mut self, key: Key, keep: bool) -> Step {
        let Some(exchange) = self.exchanges.get_mut(key) else { return Step::Over };
        let Some(send) = exchange.send.as_mut() else { return Step::Over };
        if !send.body.is_empty() {
            self.failed(key, Fault::Cut, None);
            return Step::Over;
        }
        exchange.verdict = Verdict::Answered;
        let (caller, fingerprint) = (exchange.caller, exchange.fingerprint);
        let targets = send.targets();
        self.net.send(caller, LAST_CHUNK);
        for target in &targets {
            self.worked(target, key);
        }
        self.ended_whole(fingerprint);
        self.finish(key, keep, 200, "whole");
        Step::Over
    }
}
