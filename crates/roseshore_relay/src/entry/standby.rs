//! Keeps silent sends open until another send has taken their place.
//!
//! A target without progress may go on a moment later, and the send that is to replace it may be
//! refused, find no path or be silent as well. The silent send therefore stands by: its connection
//! stays open. The request goes back to it when data arrives there first, or when it would end
//! without an answer otherwise. The first event of another send, or the head of its response if the
//! caller has none yet, replaces the standby sends for good.

use super::exchange::Exchange;
use super::in_flight::InFlightSend;
use super::{EntryHost, Timer, log_event};
use crate::net::{Ended, Socket};
use crate::slab::Key;
use roseshore_core::prelude::*;

impl EntryHost {
    /// Makes the send in flight stand by, or closes it if its connection is not established.
    pub(super) fn set_aside(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.take() else { return };
        let open = |s: &mut Socket| s.established() && s.ended.is_none();
        if !self.net.get(send.socket).is_some_and(open) {
            return self.release_send(send, false);
        }
        exchange.standbys.push(send);
        metrics::counter!("roseshore_standby_sends_total", "outcome" => "set_aside").increment(1);
    }

    /// Handles input of a standby send's connection, or its end.
    pub(super) fn handle_standby(&mut self, key: Key, connection: Key) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(place) = exchange.standbys.iter().position(|s| s.socket == connection) else {
            return;
        };
        let Some(socket) = self.net.get(connection) else { return };
        // What a broken connection still delivers is no reason to close the send in flight.
        let useless = socket.ended == Some(Ended::Broken) && exchange.send.is_some();
        if !useless && !socket.input.is_empty() {
            self.go_back(key, place, "data");
            self.handle_target(key, connection);
        } else if socket.ended.is_some() {
            let send = exchange.standbys.remove(place);
            self.release_send(send, false);
            metrics::counter!("roseshore_standby_sends_total", "outcome" => "ended").increment(1);
        }
    }

    /// Goes back to a standby send of a request that would end without an answer otherwise. Returns
    /// whether there is one.
    pub(super) fn resume_standby(&mut self, key: Key, code: Code) -> bool {
        let Some(exchange) = self.exchanges.get(key) else { return false };
        let place = exchange.standbys.iter().rposition(|send| self.may_go_on(send));
        let Some(place) = place.filter(|_| code != Code::EndsTargets) else { return false };
        self.go_back(key, place, &code.to_string());
        true
    }

    /// Whether a standby send may still bring an answer: none of the targets behind the first one,
    /// whose connection is open, has ended.
    fn may_go_on(&self, send: &InFlightSend) -> bool {
        let mut later = send.incarnations.iter().filter(|(id, _)| *id != send.target);
        !later.any(|(id, hash)| self.incarnation_ended(id, *hash))
    }

    /// Makes a standby send the send in flight again, and closes the one that was to replace it.
    fn go_back(&mut self, key: Key, place: usize, by: &str) {
        let now = self.now;
        self.end_room_wait(key, false);
        self.drop_send(key, false);
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let mut send = exchange.standbys.remove(place);
        send.resumed_at = Some(now);
        (exchange.permit_wait, exchange.loan_wait, exchange.refused_full) = (None, None, false);
        let text = format!(
            "request={} target={} events={} silent_ms={} sends={} by={by}",
            exchange.request_fields.attempt,
            send.target,
            exchange.delivery.events,
            now.saturating_duration_since(send.latest_at).as_millis(),
            exchange.sends,
        );
        exchange.send = Some(send);
        metrics::counter!("roseshore_standby_sends_total", "outcome" => "resumed").increment(1);
        log_event!(self, StandbyResumed, "{text}");
        self.set_timer(now, Timer::Exchange(key));
    }

    /// Closes the standby sends of a request.
    pub(super) fn drop_standbys(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        for send in std::mem::take(&mut exchange.standbys) {
            self.release_send(send, false);
            metrics::counter!("roseshore_standby_sends_total", "outcome" => "replaced")
                .increment(1);
        }
    }
}

impl Exchange {
    /// The send in flight and those that stand by.
    pub(super) fn open_sends(&self) -> impl Iterator<Item = &InFlightSend> {
        self.send.iter().chain(&self.standbys)
    }
}
