//! Time-outs of requests, and detection of targets without progress: when they are checked, and
//! when a request is sent to another target.

use super::dispatch::CONNECT_TIMEOUT;
use super::exchange::Exchange;
use super::in_flight::InFlightSend;
use super::{EntryHost, Timer};
use crate::slab::Key;
use roseshore_core::gateway::{CallKind, Fault};
use roseshore_core::prelude::*;

/// Time without a first event after which the liveness of the path's targets is checked, and after
/// which another path is tried. Engines read the largest prompt within a fifth of a second, and a
/// caller leaves after two seconds.
const FIRST_EVENT_TIMEOUTS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_secs(1));
/// Lower bounds of the same two times between events.
const NEXT_EVENT_TIMEOUTS: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(700));
/// The same two times as multiples of the predicted time between events.
const NEXT_EVENT_FACTORS: (f64, f64) = (2.5, 10.0);
/// Fraction of the route's longest acceptable pause after which the path's targets are checked: two
/// checks of 45 ms and reading the prompt on another path have to fit in the rest.
const CHECK_FRACTION: f64 = 1.0 / 3.0;
/// Time after which the path's targets are checked if the route names no longest acceptable pause.
const DEFAULT_CHECK_AFTER: Duration = Duration::from_millis(170);
/// Time without a response of a plain service after which an idempotent request is sent to another
/// target.
const PLAIN_TIMEOUT: Duration = Duration::from_millis(420);

impl EntryHost {
    /// Checks whether a request is beyond its deadline or its target has made no progress for too
    /// long.
    pub(super) fn check_exchange(&mut self, key: Key) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return };
        if now >= exchange.deadline {
            return self.end_without(key, Code::TargetSilent, "the time for the request is over");
        }
        let Some(send) = &exchange.send else {
            return self.dispatch(key);
        };
        let up = self.net.get(send.socket).is_some_and(|s| s.established());
        if !up {
            if now >= send.sent_at + CONNECT_TIMEOUT {
                return self.send_failed(key, Fault::NotSent, None);
            }
            return self.set_timer(send.sent_at + CONNECT_TIMEOUT, Timer::Exchange(key));
        }
        let Some((check_after, give_up)) = progress_timeouts(exchange) else { return };
        let stall_time = now.saturating_duration_since(send.latest_at);
        let (latest, until) = (send.latest_at, exchange.deadline);
        if stall_time < check_after {
            return self.set_timer((latest + check_after).min(until), Timer::Exchange(key));
        }
        let suspects = self.targets.suspects(&send.targets(), latest);
        let empty: Vec<TargetId> =
            suspects.iter().filter(|id| self.targets.holds_no_layers(id)).cloned().collect();
        if !empty.is_empty() && exchange.may_move(now) {
            return self.send_failed_by(key, Fault::Silent, empty);
        }
        if stall_time < give_up {
            self.set_timer((latest + give_up).min(until), Timer::Exchange(key));
            for suspect in suspects {
                self.check_alive(&suspect);
            }
            return;
        }
        self.reroute(key);
    }

    /// Sends a request to another target, as the send in flight has made no progress for too long;
    /// goes on waiting if no other target has capacity.
    fn reroute(&mut self, key: Key) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        if !exchange.may_move(now) {
            return;
        }
        // Which target is at fault is not known, so no fault is recorded. Only this request avoids
        // them.
        let Some(path) = exchange.send.as_ref().map(InFlightSend::targets) else { return };
        let previous = exchange.avoided.clone();
        for target in path {
            exchange.avoided.add(target, None);
        }
        if self.choose(key).is_some_and(|choice| choice.suitable) {
            return self.send_failed_by(key, Fault::Silent, Vec::new());
        }
        if let Some(exchange) = self.exchanges.get_mut(key) {
            exchange.avoided = previous;
        }
    }
}

/// Times without progress after which the targets of a send are checked and after which the send is
/// given up; `None` if the request cannot be sent elsewhere.
fn progress_timeouts(exchange: &Exchange) -> Option<(Duration, Duration)> {
    let send = exchange.send.as_ref()?;
    match exchange.route.kind {
        CallKind::NonIdempotent | CallKind::Stream { resumable: false } => None,
        CallKind::Idempotent => Some((PLAIN_TIMEOUT / 2, PLAIN_TIMEOUT)),
        CallKind::Stream { resumable: true } if send.latest_at == send.sent_at => {
            Some(FIRST_EVENT_TIMEOUTS)
        }
        CallKind::Stream { resumable: true } => {
            let stride = exchange.service.engine.as_ref().map_or(1.0, |e| e.event_tokens);
            let step = Duration::from_secs_f64(send.token_ms * stride / 1000.0);
            let check_pause = exchange
                .route
                .max_gap
                .map_or(DEFAULT_CHECK_AFTER, |pause| pause.mul_f64(CHECK_FRACTION));
            let check_after =
                check_pause.max(NEXT_EVENT_TIMEOUTS.0).max(step.mul_f64(NEXT_EVENT_FACTORS.0));
            Some((check_after, NEXT_EVENT_TIMEOUTS.1.max(step.mul_f64(NEXT_EVENT_FACTORS.1))))
        }
    }
}
