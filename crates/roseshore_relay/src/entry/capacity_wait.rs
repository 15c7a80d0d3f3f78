//! Requests that wait for a target with capacity.

use super::choice::Choice;
use super::{EntryHost, Timer};
use crate::slab::Key;
use roseshore_core::gateway::Unavailable;
use roseshore_core::prelude::*;

/// Longest time that a request without a response waits for capacity. It waits for at most an
/// eighth ([`QUEUE_OBJECTIVE_DIVISOR`]) of its route's latency objective: a later refusal would be
/// late.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(80);
/// See [`MAX_QUEUE_TIME`].
const QUEUE_OBJECTIVE_DIVISOR: u32 = 8;
/// Longest time that a started stream waits for capacity: its caller leaves after two seconds
/// without an event.
const MAX_STREAM_QUEUE_TIME: Duration = Duration::from_millis(1300);
/// Interval at which a waiting request looks for capacity.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(35);

impl EntryHost {
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
}
