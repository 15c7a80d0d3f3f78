//! Sends requests to targets.

use super::choice::Choice;
use super::ended_runs::RunSubject;
use super::fatal::{ENDS_TARGETS, parts_text};
use super::in_flight::InFlightSend;
use super::probes::millis;
use super::relays::via_name;
use super::{EntryHost, Role, Timer, log_event};
use crate::http;
use crate::net::{Socket, is_exhausted};
use crate::slab::Key;
use roseshore_core::gateway::Hop;
use roseshore_core::gateway::targets::Claim;
use roseshore_core::prelude::*;
use roseshore_ports::entry::ForwardedFields;
use std::net::SocketAddr;

/// Time-out for a connection to be established: a millisecond between data centres, and the
/// retransmission of one lost packet.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Connections of one request that the system may refuse to open. If this host has lost its network,
/// it refuses all.
const MAX_UNDIALLED: u32 = 4;
/// How long a request avoids a target to which no connection can be opened.
const AVOID_UNREACHABLE: Duration = Duration::from_millis(250);
/// Interval at which a request that waits for a diagnosis is looked at again.
const DIAGNOSIS_POLL_INTERVAL: Duration = Duration::from_millis(35);

impl EntryHost {
    /// Sends a request to the best available target, queues it, or ends it.
    pub(super) fn dispatch(&mut self, key: Key) {
        if self.block_or_wait(key)
            || self.awaits_permit(key)
            || self.awaits_loan(key)
            || self.awaits_room(key)
        {
            return;
        }
        let best = self.choose(key);
        if !self.passes_level(key, best.as_ref()) {
            return;
        }
        let choice = match best {
            Some(choice) if choice.suitable && self.may_pass(key) => choice,
            other => return self.wait_for_room(key, other),
        };
        self.send_over(key, choice);
    }

    /// Sends a request over a choice that has room for it, once its engines have responded if need be
    /// and there is a permit.
    pub(super) fn send_over(&mut self, key: Key, choice: Choice) {
        if self.awaits_response(key, &choice) {
            return;
        }
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
        let max = self.connection_limits().with_sends();
        let (socket, reused) = match self.acquire_connection(route, new_only, max) {
            Ok(connection) => connection,
            Err(err) if !is_exhausted(&err) && self.may_dial_again(key) => {
                self.check_alive(&choice.target);
                let until = Some(self.now + AVOID_UNREACHABLE);
                if let Some(exchange) = self.exchanges.get_mut(key) {
                    exchange.avoided.add(choice.target, until);
                }
                return self.dispatch(key);
            }
            Err(err) => {
                self.check_alive(&choice.target);
                let why = format!("no connection to `{}`: {err}", choice.addr);
                return self.end_without(key, Code::TargetUnreachable, &why);
            }
        };
        self.end_room_wait(key, true);
        let urgency = self.urgency(key);
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        exchange.sends += 1;
        exchange.refused_full = false;
        exchange.tried_targets.record(&choice.target);
        let remaining = exchange.deadline.saturating_duration_since(self.now);
        let wire_path: Vec<(SocketAddr, Hop)> =
            choice.path.iter().map(|(_, addr, hop)| (*addr, *hop)).collect();
        let forwarded = ForwardedFields {
            remaining,
            target: &choice.target,
            organisation: exchange.organisation.as_deref(),
            last_event: exchange.delivery.last_id,
            path: &wire_path,
            urgency,
        };
        let fields = self.platform.forwarded_headers(&exchange.head.fields, &forwarded);
        let mut out = Vec::with_capacity(1024);
        let head = &exchange.head;
        http::write_request(&mut out, &head.method, &head.path, &fields, exchange.body.len());
        let body = exchange.body.clone();
        let path: Vec<TargetId> = choice.claims.iter().map(|claim| claim.target.clone()).collect();
        let text = format!(
            "request={} fingerprint={} send={} {} prompt={} parts={} left_ms={} via={} heard_ms={}",
            exchange.request_fields.attempt,
            exchange.suspects.request,
            exchange.sends,
            choice.log_text(),
            exchange.request_fields.prompt_tokens,
            parts_text(&exchange.request_fields.prompt_parts),
            remaining.as_millis(),
            via_name(route),
            millis(self.targets.response_age(&path, self.now)),
        );
        if let Some(hash) = self.targets.hash(&choice.target) {
            self.rate_limits.limits.consume(hash, self.now);
        }
        let spec = exchange.service.engine.as_ref();
        let fill = |claim: &Claim| {
            let fill =
                spec.and_then(|spec| self.targets.kv_fill(&claim.target, spec, claim.kv_used));
            fill.unwrap_or(0.0)
        };
        let fills = choice.claims.iter().map(fill).collect();
        for claim in &choice.claims {
            self.targets.reserve(claim, self.now);
        }
        let slowdown = self.targets.slowdown(&path, self.now);
        let incarnation =
            |claim: &Claim| Some((claim.target.clone(), self.targets.hash(&claim.target)?));
        let incarnations = choice.claims.iter().filter_map(incarnation).collect();
        let account = self.net.account();
        let send = InFlightSend::new(choice, socket, route, account, self.now);
        let subject = RunSubject {
            suspects: exchange.suspects.clone(),
            attempt: exchange.request_fields.attempt.clone(),
            parts: exchange.request_fields.prompt_parts.clone(),
        };
        let send = InFlightSend { incarnations, subject, fills, slowdown, reused, ..send };
        exchange.send = Some(send);
        self.roles.insert(socket, Role::Target(key));
        self.record_retry(key);
        log_event!(self, RouteChosen, "{text}");
        self.net.send_body(socket, &out, &body);
        self.set_timer(self.now + CONNECT_TIMEOUT, Timer::Exchange(key));
    }

    /// Whether a request may go to another target after a connection that the system refused to
    /// open. Counts these.
    fn may_dial_again(&mut self, key: Key) -> bool {
        let Some(exchange) = self.exchanges.get_mut(key) else { return false };
        exchange.undialled += 1;
        exchange.undialled < MAX_UNDIALLED
    }

    /// Ends a request that is blocked, or makes it wait while it is not known whether it crashes
    /// its targets. Returns whether it did either.
    pub(super) fn block_or_wait(&mut self, key: Key) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return true };
        if let Some(refused) = self.fatal.refused(&exchange.suspects, self.now) {
            self.close_endangered(key, refused.stage);
            self.end_without(key, Code::EndsTargets, ENDS_TARGETS);
            return true;
        }
        let must_wait = self.awaits_diagnosis(exchange);
        if must_wait {
            self.set_timer(self.now + DIAGNOSIS_POLL_INTERVAL, Timer::Exchange(key));
        }
        must_wait
    }

    /// Removes the send in flight, with its load on the targets. With `keep`, its connection is
    /// reused if it has no pending input.
    pub(super) fn drop_send(&mut self, key: Key, keep: bool) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.take() else { return };
        self.release_send(send, keep);
    }

    /// Closes a send that was removed from its request, like [`EntryHost::drop_send`]. A copy of the
    /// request that is still on its way would arrive late, so it is taken back.
    pub(super) fn release_send(&mut self, mut send: InFlightSend, keep: bool) {
        let kept = keep && self.net.get(send.socket).is_some_and(|s| s.reusable());
        self.remember_ended(&mut send, kept);
        for claim in &send.claims {
            self.targets.release(claim, send.sent_at, self.now);
        }
        // What was not sent never arrives. A target that has ended its connection reads no more of
        // it; the end of a tunnel does not show that.
        let direct = send.route.via.is_none();
        let is_settled = |s: &mut Socket| !s.established() || (direct && s.ended.is_some());
        if self.net.get(send.socket).is_some_and(is_settled) {
            self.pending_retries.settle(send.socket.to_number());
        }
        self.room_changed();
        if kept {
            self.keep_idle(send.socket, send.route);
        } else {
            self.abort(send.socket);
        }
    }
}
