//! Targets that say nothing: when they are doubted, and when a request goes elsewhere.

use super::dispatch::CONNECT;
use super::exchange::Exchange;
use super::in_flight::Send;
use super::{EntryHost, Timer};
use crate::slab::Key;
use roseshore_core::gateway::{CallKind, Fault};
use roseshore_core::prelude::*;

/// Silence before the first event after which the path's targets are checked for life, and after which
/// another path is tried: engines read the largest prompt in a fifth of a second, and a caller
/// leaves after two.
const FIRST_SILENT: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));
/// The same between events, at least.
const NEXT_SILENT: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(700));
/// The same as multiples of the predicted time between events.
const NEXT_SILENT_STEPS: (f64, f64) = (2.5, 10.0);
/// The part of the longest pause that a caller bears after which the path's targets are checked: two checks of
/// 45 ms and the prompt's reading elsewhere have to fit in the rest.
const DOUBT: f64 = 1.0 / 3.0;
/// The same where the route names no such pause.
const USUAL_DOUBT: Duration = Duration::from_millis(170);
/// Silence of a plain service after which a request that may be repeated goes elsewhere.
const PLAIN_SILENT: Duration = Duration::from_millis(420);

impl EntryHost {
    /// Looks whether a request's time is over or its target has been silent for too long.
    pub(super) fn check_exchange(&mut self, key: Key) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return };
        if now >= exchange.until {
            return self.end_without(key, Code::TargetSilent, "the time for the request is over");
        }
        let Some(send) = &exchange.send else {
            return self.dispatch(key);
        };
        let up = self.net.get(send.socket).is_some_and(|s| s.connected);
        if !up {
            if now >= send.sent + CONNECT {
                return self.failed(key, Fault::NotSent, None);
            }
            return self.arm(send.sent + CONNECT, Timer::Exchange(key));
        }
        let Some((doubt, give_up)) = silence_limits(exchange) else { return };
        let silence = now.saturating_duration_since(send.latest);
        let (latest, until) = (send.latest, exchange.until);
        if silence < doubt {
            return self.arm((latest + doubt).min(until), Timer::Exchange(key));
        }
        let suspects = self.targets.suspects(&send.targets(), latest);
        let empty: Vec<TargetId> =
            suspects.iter().filter(|id| self.targets.holds_no_layers(id)).cloned().collect();
        if !empty.is_empty() && exchange.may_move(now) {
            return self.failed_by(key, Fault::Silent, empty);
        }
        if silence < give_up {
            self.arm((latest + give_up).min(until), Timer::Exchange(key));
            for suspect in suspects {
                self.check_alive(&suspect);
            }
            return;
        }
        self.silent(key);
    }

    /// A target has been silent for too long: go elsewhere if there is a way, else go on waiting.
    fn silent(&mut self, key: Key) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        if !exchange.may_move(now) {
            return;
        }
        // None of them is known to be at fault, so none is held to be: only this request avoids
        // them.
        let Some(path) = exchange.send.as_ref().map(Send::targets) else { return };
        let known = exchange.avoid.clone();
        for target in path {
            exchange.avoid.add(target, None);
        }
        if self.choose(key).is_some_and(|choice| choice.roomy) {
            return self.failed_by(key, Fault::Silent, Vec::new());
        }
        if let Some(exchange) = self.exchanges.get_mut(key) {
            exchange.avoid = known;
        }
    }
}

/// How long a target may be silent before it is doubted, and before it is given up; `None` where
/// nothing else could be done.
fn silence_limits(exchange: &Exchange) -> Option<(Duration, Duration)> {
    let send = exchange.send.as_ref()?;
    match exchange.route.kind {
        CallKind::NonIdempotent | CallKind::Stream { resumable: false } => None,
        CallKind::Idempotent => Some((PLAIN_SILENT / 2, PLAIN_SILENT)),
        CallKind::Stream { resumable: true } if send.latest == send.sent => Some(FIRST_SILENT),
        CallKind::Stream { resumable: true } => {
            let stride = exchange.service.engine.as_ref().map_or(1.0, |e| e.event_tokens);
            let step = Duration::from_secs_f64(send.token_ms * stride / 1000.0);
            let borne = exchange.route.max_gap.map_or(USUAL_DOUBT, |pause| pause.mul_f64(DOUBT));
            let doubt = borne.max(NEXT_SILENT.0).max(step.mul_f64(NEXT_SILENT_STEPS.0));
            Some((doubt, NEXT_SILENT.1.max(step.mul_f64(NEXT_SILENT_STEPS.1))))
        }
    }
}
