//! Sends a request to a target, and decides what follows when that brings no answer.

use super::exchange::Exchange;
use super::fatal::ENDS_TARGETS;
use super::in_flight::{Phase, Send};
use super::probes::millis;
use super::{EntryHost, Role, Timer, note};
use crate::http;
use crate::slab::Key;
use roseshore_core::gateway::failure::{self, Blame, Fault, NextStep};
use roseshore_core::gateway::path::{self, PathRequest};
use roseshore_core::gateway::targets::Claim;
use roseshore_core::gateway::{Hop, Unavailable};
use roseshore_core::prelude::*;
use roseshore_ports::entry::Carried;
use std::net::SocketAddr;

/// For a connection to come up; a millisecond between data centres, and one lost packet.
pub(super) const CONNECT: Duration = Duration::from_millis(250);
/// How long a request that has not begun is kept for want of room, at most an eighth of its
/// route's objective: a refusal after that is late.
const HOLD_FRESH: Duration = Duration::from_millis(80);
const HOLD_PART: u32 = 8;
/// How long a stream that has begun is kept: its caller leaves after two seconds of silence.
const HOLD_BEGUN: Duration = Duration::from_millis(1300);
/// How long a request avoids a target after a fault with [`Blame::Unknown`].
const AVOID_UNKNOWN_BLAME: Duration = Duration::from_millis(250);
/// How often a kept request looks for room.
const HOLD_STEP: Duration = Duration::from_millis(35);

/// Where a send goes.
pub(super) struct Choice {
    target: TargetId,
    addr: SocketAddr,
    path: Vec<(TargetId, SocketAddr, Hop)>,
    claims: Vec<Claim>,
    first_ms: f64,
    token_ms: f64,
    pub(super) roomy: bool,
    /// Tokens expected to be written.
    expected: f64,
    /// The fullest part's cache, as a share, and whose it is.
    fill: (f64, TargetId),
}

impl Choice {
    /// A target of a plain service.
    fn plain(target: TargetId, addr: SocketAddr) -> Choice {
        Choice {
            claims: vec![Claim { target: target.clone(), kv_used: 0.0 }],
            target,
            addr,
            path: Vec::new(),
            first_ms: 0.0,
            token_ms: 0.0,
            roomy: true,
            expected: 0.0,
            fill: (0.0, TargetId::new()),
        }
    }

    /// The target that it is sent to.
    pub(super) fn target(&self) -> &TargetId {
        &self.target
    }

    /// What a log line says of it.
    fn line(&self) -> String {
        let hops = self.path.iter();
        let hops = hops.map(|(id, _, hop)| format!("{id}={}-{}", hop.layers.0, hop.layers.1));
        format!(
            "target={} path={} first_ms={:.0} token_ms={:.1} expected={:.0} fill={:.2} fullest={}",
            self.target,
            hops.collect::<Vec<_>>().join(","),
            self.first_ms,
            self.token_ms,
            self.expected,
            self.fill.0,
            self.fill.1,
        )
    }
}

impl EntryHost {
    /// Sends a request to the best target there is, or ends it.
    pub(super) fn dispatch(&mut self, key: Key) {
        if self.stop_or_wait(key) || self.awaits_permit(key) {
            return;
        }
        let choice = match self.choose(key) {
            Some(choice) if choice.roomy => choice,
            other => return self.hold(key, other),
        };
        if let Some(choice) = self.permitted(key, choice) {
            self.send_to(key, choice);
        }
    }

    /// Sends a request where it was decided to.
    pub(super) fn send_to(&mut self, key: Key, choice: Choice) {
        if !self.may_repeat(key) {
            return self.end_without(key, Code::RetryBudget, "no more sends may be repeated");
        }
        let fresh = self.exchanges.get(key).is_some_and(|e| !e.route.kind.is_idempotent());
        let (socket, kept) = match self.connection(choice.addr, fresh) {
            Ok(connection) => connection,
            Err(err) => {
                let why = format!("no connection to `{}`: {err}", choice.addr);
                return self.end_without(key, Code::TargetUnreachable, &why);
            }
        };
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        exchange.sends += 1;
        exchange.held = None;
        if !exchange.sent_to.contains(&choice.target) {
            exchange.sent_to.push(choice.target.clone());
        }
        let left = exchange.until.saturating_duration_since(self.now);
        let wire_path: Vec<(SocketAddr, Hop)> =
            choice.path.iter().map(|(_, addr, hop)| (*addr, *hop)).collect();
        let carried = Carried {
            left,
            target: &choice.target,
            organisation: exchange.organisation.as_deref(),
            after: exchange.out.last,
            path: &wire_path,
        };
        let fields = self.platform.carried(&exchange.head.fields, &carried);
        let mut out = Vec::with_capacity(1024 + exchange.body.len());
        let head = &exchange.head;
        http::write_request(&mut out, &head.method, &head.path, &fields, exchange.body.len());
        out.extend_from_slice(&exchange.body);
        let text = format!(
            "request={} fingerprint={} send={} {} prompt={} left_ms={}",
            exchange.asked.attempt,
            exchange.fingerprint,
            exchange.sends,
            choice.line(),
            exchange.asked.prompt,
            left.as_millis(),
        );
        if let Some(mark) = self.targets.hash(&choice.target) {
            self.limiting.limits.consume(mark, self.now);
        }
        for claim in &choice.claims {
            self.targets.reserve(claim);
        }
        let life = |claim: &Claim| Some((claim.target.clone(), self.targets.hash(&claim.target)?));
        let lives = choice.claims.iter().filter_map(life).collect();
        exchange.send = Some(Send {
            socket,
            target: choice.target,
            addr: choice.addr,
            path: choice.path,
            claims: choice.claims,
            lives,
            sent: self.now,
            latest: self.now,
            first: None,
            phase: Phase::Head,
            body: Vec::new(),
            token_ms: choice.token_ms,
            kept,
            status: 0,
            rest: None,
            leaving: false,
        });
        self.roles.insert(socket, Role::Target(key));
        note!(self, RouteChosen, "{text}");
        self.net.send(socket, &out);
        self.arm(self.now + CONNECT, Timer::Exchange(key));
    }

    /// Ends a request that is held to end its targets, or keeps one until that is known; returns whether it
    /// did either.
    fn stop_or_wait(&mut self, key: Key) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return true };
        if self.fatal.blocked(exchange.fingerprint, self.now).is_some() {
            self.end_without(key, Code::EndsTargets, ENDS_TARGETS);
            return true;
        }
        let waits = self.waits_for_verdict(exchange);
        if waits {
            self.arm(self.now + HOLD_STEP, Timer::Exchange(key));
        }
        waits
    }

    /// Whether the allowance permits a send, which is counted if it is a repeat. A send whose
    /// connection never came up reached no target, so the next one is none.
    fn may_repeat(&mut self, key: Key) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key).filter(|e| e.arrived) else { return true };
        let service = exchange.service.name.clone();
        self.allowance(&service).try_retry(now)
    }

    /// Keeps a request until a target has room; a stream that has begun for longer, since breaking
    /// it off helps nobody.
    pub(super) fn hold(&mut self, key: Key, best: Option<Choice>) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let since = *exchange.held.get_or_insert(now);
        let fresh = HOLD_FRESH.min(exchange.route.objective / HOLD_PART);
        let begun = exchange.out.begun;
        let most = if begun { HOLD_BEGUN } else { fresh };
        let engine = exchange.service.engine.is_some();
        let left = (since + most).saturating_duration_since(now);
        if best.is_none() && !begun {
            match self.hindrance(key) {
                Unavailable::BackingOff(rest) if !engine || rest >= left => {
                    return self.end_by_rest(key, rest);
                }
                Unavailable::RateLimited => return self.end_by_limit(key),
                Unavailable::BackingOff(_) | Unavailable::Other => {}
            }
        }
        if !engine || left.is_zero() {
            let why = best.map_or("no target takes the request".to_owned(), |choice| {
                let (fill, fullest) = choice.fill;
                format!("no room: target `{fullest}` would be {fill:.2} full")
            });
            return self.end_without(key, Code::NoTarget, &why);
        }
        self.arm(now + HOLD_STEP, Timer::Exchange(key));
    }

    /// Why nothing can be chosen for a request.
    fn hindrance(&mut self, key: Key) -> Unavailable {
        let Some(exchange) = self.exchanges.get(key) else { return Unavailable::Other };
        let rests = self.targets.pause_ends(&exchange.service.name, self.now);
        let shut = self.shut(&exchange.service.name);
        Unavailable::of(rests, !shut.is_empty(), self.now, |wish| {
            let heeded = if wish.enforce_limits { shut.as_slice() } else { &[] };
            self.choose_at(key, wish.at, heeded).is_some()
        })
    }

    /// The best target or path for a request as it stands; it may lack room.
    pub(super) fn choose(&mut self, key: Key) -> Option<Choice> {
        let exchange = self.exchanges.get(key)?;
        let shut = self.shut(&exchange.service.name);
        self.choose_at(key, self.now, &shut)
    }

    /// The same by what is known now of a moment, and without the targets that take no more.
    fn choose_at(&mut self, key: Key, at: Instant, excluded_first: &[TargetId]) -> Option<Choice> {
        let exchange = self.exchanges.get(key)?;
        let data_centre = self.settings.data_centre.as_str();
        let bound = exchange.at_bound();
        let allowed_first = bound.then_some(exchange.sent_to.as_slice());
        let avoid = exchange.avoid.list(at);
        let Some(spec) = exchange.service.engine.as_ref() else {
            if bound {
                return None;
            }
            let avoid = [&avoid, excluded_first].concat();
            let target = self.targets.choose_plain(&exchange.service.name, data_centre, &avoid, at);
            let record = &target?.record;
            return Some(Choice::plain(record.id.clone(), record.addr));
        };
        let written = f64::from(exchange.out.events) * spec.event_tokens;
        let expected = expected_tokens(exchange, spec.mean_answer);
        let need = PathRequest {
            layers: spec.layers,
            prompt_tokens: f64::from(exchange.asked.prompt) + written,
            answer_tokens: (expected - written).max(spec.event_tokens),
            data_centre,
            avoided: &avoid,
            excluded_first,
            allowed_first,
        };
        let parts = self.targets.parts(&exchange.service.name, spec, &need, at);
        let path = path::choose(&parts, &need, &mut self.random)?;
        let tokens = need.kv_tokens();
        let claim = |(id, _, hop): &(TargetId, SocketAddr, Hop)| {
            let kv_used = tokens * f64::from(hop.layers.1 - hop.layers.0);
            Claim { target: id.clone(), kv_used }
        };
        let claims = path.hops.iter().map(claim).collect();
        let (target, addr, _) = path.hops.first().cloned()?;
        let (first_ms, token_ms, roomy) = (path.ttft_ms, path.token_ms, path.suitable);
        let (fill, expected) = ((path.utilisation, path.bottleneck), need.answer_tokens);
        let path = path.hops;
        Some(Choice { target, addr, path, claims, first_ms, token_ms, roomy, expected, fill })
    }

    /// A send failed; `culprit` is the target at fault if it is not the one it was sent to.
    pub(super) fn failed(&mut self, key: Key, fault: Fault, culprit: Option<SocketAddr>) {
        let Some(send) = self.exchanges.get(key).and_then(|e| e.send.as_ref()) else { return };
        let named = culprit.and_then(|addr| send.at(addr));
        let culprit = named.map_or(&send.target, |(id, _)| id).clone();
        self.failed_by(key, fault, vec![culprit]);
    }

    /// A send failed by these targets, or by none that is known.
    pub(super) fn failed_by(&mut self, key: Key, fault: Fault, culprits: Vec<TargetId>) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = &exchange.send else { return };
        exchange.verdict = exchange.verdict.join(fault.verdict());
        let waited = now.saturating_duration_since(send.sent).as_millis();
        let first = send.target.clone();
        let blame = fault.blame(send.path.len());
        let path = send.targets().join(",");
        let text = format!(
            "request={} fingerprint={} target={} path={path} fault={} verdict={} sends={} \
             waited_ms={waited} events={} kept={} status={} rest_ms={} leaving={} suspects={}",
            exchange.asked.attempt,
            exchange.fingerprint,
            send.target,
            fault.name(),
            exchange.verdict.name(),
            exchange.sends,
            exchange.out.events,
            send.kept,
            send.status,
            millis(send.rest),
            send.leaving,
            culprits.join(","),
        );
        exchange.refused += u32::from(fault == Fault::Refused);
        if fault == Fault::NotSent {
            exchange.sent_to.retain(|sent| *sent != first);
        } else {
            exchange.arrived = true;
        }
        metrics::counter!("roseshore_sends_failed_total", "fault" => fault.name()).increment(1);
        note!(self, SendFailed, "{text}");
        self.look_into(key, fault, &culprits);
        for culprit in &culprits {
            // What the first target says of a later one does not show that that one lives.
            if !(fault.proves_alive() && *culprit == first) {
                self.check_alive(culprit);
            }
            let until = self.record_fault(culprit, blame, fault);
            if let Some(exchange) = self.exchanges.get_mut(key) {
                exchange.avoid.add(culprit.clone(), until);
            }
        }
        self.drop_send(key, false);
        self.follow_fault(key, fault);
    }

    /// Records a fault of a target, unless the blame is unknown. Returns the time until which the request avoids the
    /// target, or `None` if it avoids the target until the request ends.
    fn record_fault(&mut self, culprit: &TargetId, blame: Blame, fault: Fault) -> Option<Instant> {
        let now = self.now;
        if blame == Blame::Unknown {
            return Some(now + AVOID_UNKNOWN_BLAME);
        }
        if self.targets.record_failure(culprit, now) {
            note!(self, TargetLost, "target={culprit} fault={}", fault.name());
        }
        // A busy target may be the only one that holds its layers, and has room again when other requests end.
        self.targets.quarantine_end(culprit).filter(|_| blame == Blame::Busy)
    }

    /// Sends a request again or ends it.
    fn follow_fault(&mut self, key: Key, fault: Fault) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return };
        if failure::next_step(&exchange.standing(now)) == NextStep::Retry {
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

    /// Gives a send's targets back; keeps its connection where that is safe.
    pub(super) fn drop_send(&mut self, key: Key, keep: bool) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.take() else { return };
        for claim in &send.claims {
            self.targets.release(claim);
        }
        if keep && self.net.get(send.socket).is_some_and(|s| s.reusable()) {
            self.keep(send.socket, send.addr);
        } else {
            self.close(send.socket);
        }
    }
}

/// Tokens that an answer is expected to have: the caller's guess, or the usual, within its bound.
fn expected_tokens(exchange: &Exchange, usual: f64) -> f64 {
    let guess = exchange.asked.hint.map_or(usual, f64::from);
    let most = f64::from(exchange.asked.longest);
    if most > 0.0 { guess.min(most) } else { guess }
}
