//! Sends requests to targets, and handles failed sends: retries on another target, or an error.

use super::exchange::Exchange;
use super::fatal::{ENDS_TARGETS, parts_text};
use super::in_flight::{InFlightSend, Phase};
use super::probes::millis;
use super::relays::via_name;
use super::{EntryHost, Role, Timer, log_event};
use crate::http;
use crate::slab::Key;
use roseshore_core::gateway::failure::{self, Blame, Fault, NextStep};
use roseshore_core::gateway::path::{self, PathRequest};
use roseshore_core::gateway::targets::Claim;
use roseshore_core::gateway::{Hop, Unavailable};
use roseshore_core::prelude::*;
use roseshore_ports::entry::ForwardedFields;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Time-out for a connection to be established: a millisecond between data centres, and the
/// retransmission of one lost packet.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a request without a response waits for capacity. It waits for at most an
/// eighth ([`QUEUE_OBJECTIVE_DIVISOR`]) of its route's latency objective: a later refusal would be
/// late.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(80);
/// See [`MAX_QUEUE_TIME`].
const QUEUE_OBJECTIVE_DIVISOR: u32 = 8;
/// Longest time that a started stream waits for capacity: its caller leaves after two seconds
/// without an event.
const MAX_STREAM_QUEUE_TIME: Duration = Duration::from_millis(1300);
/// How long a request avoids a target after a fault with [`Blame::Unknown`].
const AVOID_UNKNOWN_BLAME: Duration = Duration::from_millis(250);
/// Interval at which a waiting request looks for capacity.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(35);

/// The target or path chosen for a send.
pub(super) struct Choice {
    target: TargetId,
    addr: SocketAddr,
    /// The engines of the chain, in order; empty for a plain service.
    path: Vec<(TargetId, SocketAddr, Hop)>,
    claims: Vec<Claim>,
    /// Predicted time to the first token in milliseconds.
    ttft_ms: f64,
    /// Predicted time between tokens in milliseconds.
    token_ms: f64,
    /// Whether every target has capacity for the whole answer and none failed recently.
    pub(super) suitable: bool,
    /// Expected number of tokens of the answer.
    expected: f64,
    /// The highest cache utilisation on the path as a fraction, and its target.
    utilisation: (f64, TargetId),
    /// A target of the path that failed recently.
    unhealthy: Option<TargetId>,
}

impl Choice {
    /// A choice of a single target of a plain service, without predictions.
    fn plain(target: TargetId, addr: SocketAddr) -> Choice {
        Choice {
            claims: vec![Claim { target: target.clone(), kv_used: 0.0 }],
            target,
            addr,
            path: Vec::new(),
            ttft_ms: 0.0,
            token_ms: 0.0,
            suitable: true,
            expected: 0.0,
            utilisation: (0.0, TargetId::new()),
            unhealthy: None,
        }
    }

    /// The target that receives the request, the first of the path.
    pub(super) fn target(&self) -> &TargetId {
        &self.target
    }

    /// The choice as text of a log line.
    fn log_text(&self) -> String {
        let hops = self.path.iter();
        let hops = hops.map(|(id, _, hop)| format!("{id}={}-{}", hop.layers.0, hop.layers.1));
        format!(
            "target={} path={} first_ms={:.0} token_ms={:.1} expected={:.0} fill={:.2} fullest={}",
            self.target,
            hops.collect::<Vec<_>>().join(","),
            self.ttft_ms,
            self.token_ms,
            self.expected,
            self.utilisation.0,
            self.utilisation.1,
        )
    }
}

impl EntryHost {
    /// Sends a request to the best available target, queues it, or ends it.
    pub(super) fn dispatch(&mut self, key: Key) {
        if self.block_or_wait(key) || self.awaits_permit(key) || self.awaits_loan(key) {
            return;
        }
        let choice = match self.choose(key) {
            Some(choice) if choice.suitable => choice,
            other => return self.wait_for_capacity(key, other),
        };
        if let Some(choice) = self.with_permit(key, choice) {
            self.send_to(key, choice);
        }
    }

    /// Sends a request to a chosen target or path.
    pub(super) fn send_to(&mut self, key: Key, choice: Choice) {
        if !self.charge_retry(key) {
            return self.wait_for_loan(key);
        }
        let new_only = self.exchanges.get(key).is_some_and(|e| !e.route.kind.is_idempotent());
        let route = self.route_to(&choice.target, choice.addr);
        let (socket, reused) = match self.acquire_connection(route, new_only) {
            Ok(connection) => connection,
            Err(err) if err.kind() == ErrorKind::ConnectionRefused => {
                self.check_alive(&choice.target);
                let until = Some(self.now + AVOID_UNKNOWN_BLAME);
                if let Some(exchange) = self.exchanges.get_mut(key) {
                    exchange.avoided.add(choice.target, until);
                }
                return self.dispatch(key);
            }
            Err(err) => {
                let why = format!("no connection to `{}`: {err}", choice.addr);
                return self.end_without(key, Code::TargetUnreachable, &why);
            }
        };
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        exchange.sends += 1;
        exchange.waiting_since = None;
        if !exchange.tried_targets.contains(&choice.target) {
            exchange.tried_targets.push(choice.target.clone());
        }
        let remaining = exchange.deadline.saturating_duration_since(self.now);
        let wire_path: Vec<(SocketAddr, Hop)> =
            choice.path.iter().map(|(_, addr, hop)| (*addr, *hop)).collect();
        let forwarded = ForwardedFields {
            remaining,
            target: &choice.target,
            organisation: exchange.organisation.as_deref(),
            last_event: exchange.delivery.last_id,
            path: &wire_path,
        };
        let fields = self.platform.forwarded_headers(&exchange.head.fields, &forwarded);
        let mut out = Vec::with_capacity(1024 + exchange.body.len());
        let head = &exchange.head;
        http::write_request(&mut out, &head.method, &head.path, &fields, exchange.body.len());
        out.extend_from_slice(&exchange.body);
        let text = format!(
            "request={} fingerprint={} send={} {} prompt={} parts={} left_ms={} via={}",
            exchange.request_fields.attempt,
            exchange.suspects.request,
            exchange.sends,
            choice.log_text(),
            exchange.request_fields.prompt_tokens,
            parts_text(&exchange.request_fields.prompt_parts),
            remaining.as_millis(),
            via_name(route),
        );
        if let Some(hash) = self.targets.hash(&choice.target) {
            self.rate_limits.limits.consume(hash, self.now);
        }
        for claim in &choice.claims {
            self.targets.reserve(claim);
        }
        let incarnation =
            |claim: &Claim| Some((claim.target.clone(), self.targets.hash(&claim.target)?));
        let incarnations = choice.claims.iter().filter_map(incarnation).collect();
        exchange.send = Some(InFlightSend {
            socket,
            target: choice.target,
            route,
            path: choice.path,
            claims: choice.claims,
            incarnations,
            sent_at: self.now,
            latest_at: self.now,
            first_event: None,
            past_beginning: false,
            phase: Phase::Head,
            body: Vec::new(),
            token_ms: choice.token_ms,
            reused,
            status: 0,
            pause: None,
            leaving: false,
        });
        self.roles.insert(socket, Role::Target(key));
        log_event!(self, RouteChosen, "{text}");
        self.net.send(socket, &out);
        self.set_timer(self.now + CONNECT_TIMEOUT, Timer::Exchange(key));
    }

    /// Ends a request that is blocked, or makes it wait while it is not known whether it crashes
    /// its targets. Returns whether it did either.
    fn block_or_wait(&mut self, key: Key) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return true };
        if self.fatal.refused(&exchange.suspects, self.now).is_some() {
            self.end_without(key, Code::EndsTargets, ENDS_TARGETS);
            return true;
        }
        let must_wait = self.awaits_diagnosis(exchange);
        if must_wait {
            self.set_timer(self.now + QUEUE_POLL_INTERVAL, Timer::Exchange(key));
        }
        must_wait
    }

    /// Queues a request until a target has capacity, and ends it if that takes too long. A started
    /// stream waits longer, since cutting it off helps nobody.
    pub(super) fn wait_for_capacity(&mut self, key: Key, best: Option<Choice>) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let since = *exchange.waiting_since.get_or_insert(now);
        let queue_limit = MAX_QUEUE_TIME.min(exchange.route.objective / QUEUE_OBJECTIVE_DIVISOR);
        let started = exchange.delivery.started;
        let max_wait = if started { MAX_STREAM_QUEUE_TIME } else { queue_limit };
        let engine = exchange.service.engine.is_some();
        let left = (since + max_wait).saturating_duration_since(now);
        if best.is_none() && !started {
            match self.unavailable_reason(key) {
                Unavailable::BackingOff(pause) if !engine || pause >= left => {
                    return self.end_paused(key, pause);
                }
                Unavailable::RateLimited => return self.end_limited(key),
                Unavailable::BackingOff(_) | Unavailable::Other => {}
            }
        }
        if !engine || left.is_zero() {
            let why = self.shortage_reason(best);
            return self.end_without(key, Code::NoTarget, &why);
        }
        self.set_timer(now + QUEUE_POLL_INTERVAL, Timer::Exchange(key));
    }

    /// Why a request cannot be sent, given the best choice that there is.
    fn shortage_reason(&self, best: Option<Choice>) -> String {
        let Some(choice) = best else { return "no target takes the request".to_owned() };
        let out_of_use =
            choice.unhealthy.and_then(|id| Some((self.targets.out_of_use(&id, self.now)?, id)));
        match (out_of_use, choice.utilisation) {
            (Some((reason, id)), _) => format!("no path: target `{id}` {reason}"),
            (None, (utilisation, bottleneck)) => {
                format!("no room: target `{bottleneck}` would be {utilisation:.2} full")
            }
        }
    }

    /// Why no target can be chosen for a request.
    fn unavailable_reason(&mut self, key: Key) -> Unavailable {
        let Some(exchange) = self.exchanges.get(key) else { return Unavailable::Other };
        let pause_ends = self.targets.pause_ends(&exchange.service.name, self.now);
        let limited = self.limited_targets(&exchange.service.name);
        Unavailable::of(pause_ends, !limited.is_empty(), self.now, |attempt| {
            let excluded = if attempt.enforce_limits { limited.as_slice() } else { &[] };
            self.choose_at(key, attempt.at, excluded).is_some()
        })
    }

    /// The best target or path for a request now, which may lack capacity.
    pub(super) fn choose(&mut self, key: Key) -> Option<Choice> {
        let exchange = self.exchanges.get(key)?;
        let limited = self.limited_targets(&exchange.service.name);
        self.choose_at(key, self.now, &limited)
    }

    /// Like [`EntryHost::choose`], by the expected state at a time `at`, and without starting at
    /// the targets in `excluded_first`.
    fn choose_at(&mut self, key: Key, at: Instant, excluded_first: &[TargetId]) -> Option<Choice> {
        let exchange = self.exchanges.get(key)?;
        let data_centre = self.settings.data_centre.as_str();
        let bound = exchange.at_bound();
        let allowed_first = bound.then_some(exchange.tried_targets.as_slice());
        let avoid = exchange.avoided.list(at);
        let Some(spec) = exchange.service.engine.as_ref() else {
            if bound {
                return None;
            }
            let avoid = [&avoid, excluded_first].concat();
            let target = self.targets.choose_plain(&exchange.service.name, data_centre, &avoid, at);
            let record = &target?.record;
            return Some(Choice::plain(record.id.clone(), record.addr));
        };
        let written = f64::from(exchange.delivery.events) * spec.event_tokens;
        let expected = expected_tokens(exchange, spec.mean_answer);
        let path_request = PathRequest {
            layers: spec.layers,
            prompt_tokens: f64::from(exchange.request_fields.prompt_tokens) + written,
            answer_tokens: (expected - written).max(spec.event_tokens),
            data_centre,
            avoided: &avoid,
            excluded_first,
            allowed_first,
        };
        let parts = self.targets.parts(&exchange.service.name, spec, &path_request, at);
        let path = path::choose(&parts, &path_request, &mut self.rng)?;
        let tokens = path_request.kv_tokens();
        let claim = |(id, _, hop): &(TargetId, SocketAddr, Hop)| {
            let kv_used = tokens * f64::from(hop.layers.1 - hop.layers.0);
            Claim { target: id.clone(), kv_used }
        };
        let claims = path.hops.iter().map(claim).collect();
        let (target, addr, _) = path.hops.first().cloned()?;
        let (ttft_ms, token_ms, suitable) = (path.ttft_ms, path.token_ms, path.suitable);
        let (utilisation, expected) =
            ((path.utilisation, path.bottleneck), path_request.answer_tokens);
        let (path, unhealthy) = (path.hops, path.unhealthy);
        Some(Choice {
            target,
            addr,
            path,
            claims,
            ttft_ms,
            token_ms,
            suitable,
            expected,
            utilisation,
            unhealthy,
        })
    }

    /// Handles a failed send; `culprit` is the target at fault if it is not the one that the
    /// request was sent to.
    pub(super) fn send_failed(&mut self, key: Key, fault: Fault, culprit: Option<SocketAddr>) {
        let Some(send) = self.exchanges.get(key).and_then(|e| e.send.as_ref()) else { return };
        let named = culprit.and_then(|addr| send.at(addr));
        let culprit = named.map_or(&send.target, |(id, _)| id).clone();
        self.send_failed_by(key, fault, vec![culprit]);
    }

    /// Handles a failed send that is the fault of these targets; none if it is not known whose.
    pub(super) fn send_failed_by(&mut self, key: Key, fault: Fault, culprits: Vec<TargetId>) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = &exchange.send else { return };
        exchange.verdict = exchange.verdict.join(fault.verdict());
        let waited = now.saturating_duration_since(send.sent_at).as_millis();
        let (first, via) = (send.target.clone(), send.route.via);
        let blame = fault.blame(send.path.len());
        let path = send.targets().join(",");
        let text = format!(
            "request={} fingerprint={} target={} path={path} fault={} verdict={} sends={} \
             waited_ms={waited} events={} kept={} status={} rest_ms={} leaving={} via={} suspects={}",
            exchange.request_fields.attempt,
            exchange.suspects.request,
            send.target,
            fault.name(),
            exchange.verdict.name(),
            exchange.sends,
            exchange.delivery.events,
            send.reused,
            send.status,
            millis(send.pause),
            send.leaving,
            via_name(send.route),
            culprits.join(","),
        );
        exchange.refused_sends += u32::from(fault == Fault::Refused);
        if fault == Fault::NotSent {
            exchange.tried_targets.retain(|sent| *sent != first);
        } else {
            exchange.reached_target = true;
        }
        metrics::counter!("roseshore_sends_failed_total", "fault" => fault.name()).increment(1);
        log_event!(self, SendFailed, "{text}");
        self.remember_interrupted(key, fault, &culprits);
        if let Some(host) = via.filter(|_| fault == Fault::NotSent) {
            self.relay_failed(&first, host);
        }
        for culprit in &culprits {
            // A response of the first target does not show that a later one is alive.
            if !(fault.proves_alive() && *culprit == first) {
                self.check_alive(culprit);
            }
            if self.is_link_fault(culprit, via, fault) {
                continue;
            }
            let until = self.record_fault(culprit, blame, fault);
            if let Some(exchange) = self.exchanges.get_mut(key) {
                exchange.avoided.add(culprit.clone(), until);
            }
        }
        self.drop_send(key, false);
        self.retry_or_end(key, fault);
    }

    /// Records a fault of a target, unless the blame is unknown. Returns the time until which the
    /// request avoids the target, or `None` if it avoids the target until the request ends.
    fn record_fault(&mut self, culprit: &TargetId, blame: Blame, fault: Fault) -> Option<Instant> {
        let now = self.now;
        if blame == Blame::Unknown {
            return Some(now + AVOID_UNKNOWN_BLAME);
        }
        if self.targets.record_failure(culprit, now) {
            log_event!(self, TargetLost, "target={culprit} fault={}", fault.name());
        }
        // A busy target may be the only one that holds its layers, and has capacity again when
        // other requests end.
        self.targets.quarantine_end(culprit).filter(|_| blame == Blame::Busy)
    }

    /// Sends a request again after a fault, or ends it.
    fn retry_or_end(&mut self, key: Key, fault: Fault) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return };
        if failure::next_step(&exchange.retry_state(now)) == NextStep::Retry {
            return self.dispatch(key);
        }
        let (code, why) = match fault {
            Fault::NotSent => (Code::TargetUnreachable, "the target could not be reached"),
            Fault::Refused => (Code::QueueFull, "the target takes no more"),
            Fault::Lost | Fault::Cut => (Code::TargetLost, "the target broke off"),
            Fault::Silent => (Code::TargetSilent, "the target fell silent"),
            Fault::Garbled | Fault::Failed => (Code::TargetGarbled, "the target's answer is bad"),
        };
        self.end_without(key, code, why);
    }

    /// Removes the send in flight, with its load on the targets. With `keep`, its connection is
    /// reused if it has no pending input.
    pub(super) fn drop_send(&mut self, key: Key, keep: bool) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.take() else { return };
        for claim in &send.claims {
            self.targets.release(claim);
        }
        if keep && self.net.get(send.socket).is_some_and(|s| s.reusable()) {
            self.keep_idle(send.socket, send.route);
        } else {
            self.close(send.socket);
        }
    }
}

/// Expected number of tokens of an answer: the caller's estimate or else the usual number, within
/// the caller's maximum.
fn expected_tokens(exchange: &Exchange, default: f64) -> f64 {
    let guess = exchange.request_fields.length_hint.map_or(default, f64::from);
    let max_tokens = f64::from(exchange.request_fields.max_tokens);
    if max_tokens > 0.0 { guess.min(max_tokens) } else { guess }
}
