//! Keeps silent sends open until another send has taken their place.
//!
//! A target without progress may go on a moment later, and the send that is to replace it may be
//! refused, find no path or be silent as well. The silent send therefore stands by: its connection
//! stays open. The request goes back to it when data arrives there first, or when it would end
//! without an answer otherwise; a send that is in flight then stands by in its turn. The first
//! event or complete response of one of them closes the others.

use super::exchange::Exchange;
use super::in_flight::InFlightSend;
use super::{EntryHost, Timer, log_event};
use crate::net::{Ended, Socket};
use crate::slab::Key;
use roseshore_core::gateway::Fault;
use roseshore_core::gateway::fatal::Stage;
use roseshore_core::gateway::peers::TargetHash;
use roseshore_core::prelude::*;

impl EntryHost {
    /// Makes the send in flight stand by, or closes it if its connection is not established or one
    /// of its targets has restarted.
    pub(super) fn set_aside(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.take() else { return };
        let open = |s: &mut Socket| s.established() && s.ended.is_none();
        if !self.net.get(send.socket).is_some_and(open) || self.has_restarted(&send) {
            return self.release_send(send, false);
        }
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        exchange.standbys.push(send);
        metrics::counter!("roseshore_standby_sends_total", "outcome" => "set_aside").increment(1);
    }

    /// Handles input of a standby send's connection, or its end.
    pub(super) fn handle_standby(&mut self, key: Key, connection: Key) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let Some(place) = exchange.standbys.iter().position(|s| s.socket == connection) else {
            return;
        };
        let replaced = exchange.send.is_some();
        let restarted = exchange.standbys.get(place).is_some_and(|send| self.has_restarted(send));
        let Some(socket) = self.net.get(connection) else { return };
        // What a broken connection still delivers is no reason to leave the send in flight, and what
        // a former incarnation has sent none either.
        let useless = (socket.ended == Some(Ended::Broken) || restarted) && replaced;
        if !useless && !socket.input.is_empty() {
            self.forget_interrupted(connection);
            self.switch_to(key, place, "data");
            self.handle_target(key, connection);
        } else if socket.ended.is_some() || useless {
            let Some(exchange) = self.exchanges.get_mut(key) else { return };
            let send = exchange.standbys.remove(place);
            let attempt = exchange.request_fields.attempt.clone();
            let text = format!("request={attempt} target={} open=false", send.target);
            self.release_send(send, false);
            log_event!(self, StandbyEnded, "{text}");
            metrics::counter!("roseshore_standby_sends_total", "outcome" => "ended").increment(1);
        }
    }

    /// Goes back to a standby send of a request that would end without an answer otherwise. Returns
    /// whether there is one.
    pub(super) fn resume_standby(&mut self, key: Key, code: Code) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return false };
        let place = exchange.standbys.iter().rposition(|send| self.may_go_on(send));
        let Some(place) = place else { return false };
        self.switch_to(key, place, &code.to_string());
        true
    }

    /// Goes back to the send that a standby send had displaced before it failed. Returns whether
    /// there is one.
    pub(super) fn resume_displaced(&mut self, key: Key, fault: Fault) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return false };
        let place = exchange.standbys.iter().rposition(|send| send.displaced);
        let Some(place) = place else { return false };
        self.switch_to(key, place, fault.name());
        true
    }

    /// Whether a standby send may still bring an answer: its first target, whose connection is open,
    /// has not restarted, and no later one has ended.
    fn may_go_on(&self, send: &InFlightSend) -> bool {
        let ended = |(id, hash): &(TargetId, TargetHash)| {
            *id != send.target && self.incarnation_ended(id, *hash)
        };
        !self.has_restarted(send) && !send.incarnations.iter().any(ended)
    }

    /// Whether a target of a send has restarted since.
    fn has_restarted(&self, send: &InFlightSend) -> bool {
        let restarted = |(id, hash): &(TargetId, TargetHash)| {
            self.targets.hash(id).is_some_and(|current| current != *hash)
        };
        send.incarnations.iter().any(restarted)
    }

    /// Makes a standby send the send in flight, in place of the one that is.
    fn switch_to(&mut self, key: Key, place: usize, by: &str) {
        let now = self.now;
        self.end_room_wait(key, false);
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let mut send = exchange.standbys.remove(place);
        (send.resumed_at, send.displaced) = (Some(now), false);
        for target in send.targets() {
            exchange.avoided.remove(&target);
        }
        (exchange.permit_wait, exchange.loan_wait, exchange.refused_full) = (None, None, false);
        let text = format!(
            "request={} target={} events={} silent_ms={} sends={} by={by}",
            exchange.request_fields.attempt,
            send.target,
            exchange.delivery.events,
            now.saturating_duration_since(send.latest_at).as_millis(),
            exchange.sends,
        );
        if let Some(mut displaced) = exchange.send.replace(send) {
            displaced.displaced = true;
            exchange.standbys.push(displaced);
        }
        metrics::counter!("roseshore_standby_sends_total", "outcome" => "resumed").increment(1);
        log_event!(self, StandbyResumed, "{text}");
        self.set_timer(now, Timer::Exchange(key));
    }

    /// Closes the sends of a blocked request that have not got beyond the point at which it crashes
    /// its targets. Those beyond that may still complete, which shows that it is harmless.
    pub(super) fn close_endangered(&mut self, key: Key, blocked: Stage) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let endangered = |send: &InFlightSend| send.progress.stage(now) <= blocked;
        let standbys: Vec<InFlightSend> =
            exchange.standbys.extract_if(.., |send| endangered(send)).collect();
        let current = exchange.send.as_ref().is_some_and(endangered);
        for send in standbys {
            self.release_send(send, false);
        }
        if current {
            self.drop_send(key, false);
        }
    }

    /// Closes the standby sends of a request that got an event from another one, or has ended.
    pub(super) fn drop_standbys(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        for send in std::mem::take(&mut exchange.standbys) {
            self.release_send(send, false);
            metrics::counter!("roseshore_standby_sends_total", "outcome" => "closed").increment(1);
        }
    }
}

impl Exchange {
    /// The send in flight and those that stand by.
    pub(super) fn open_sends(&self) -> impl Iterator<Item = &InFlightSend> {
        self.send.iter().chain(&self.standbys)
    }

    /// When any of them last made progress.
    pub(super) fn silent_since(&self) -> Option<Instant> {
        self.open_sends().map(|send| send.latest_at).max()
    }
}
