//! Time-outs of requests, and detection of targets without progress: when they are checked, and
//! when a request is sent to another target.

use super::choice::Choice;
use super::dispatch::CONNECT_TIMEOUT;
use super::exchange::Exchange;
use super::in_flight::InFlightSend;
use super::probes::millis;
use super::{EntryHost, Timer, log_event};
use crate::slab::Key;
use roseshore_core::gateway::progress::{self, PathState, RECENT_PROGRESS, Silence};
use roseshore_core::gateway::{CallKind, Fault};
use roseshore_core::prelude::*;

/// Time without a first event after which the liveness of the path's targets is checked, and after
/// which another path is usually tried.
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
/// Time for which a response must have been arriving to count as a failure of its target when the
/// request's time is over before it is complete.
const UNFINISHED_TIME: Duration = Duration::from_secs(1);
/// Interval at which a send that is waited for beyond the usual time is looked at again.
const KEPT_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl EntryHost {
    /// Checks whether a request is beyond its deadline or its target has made no progress for too
    /// long.
    pub(super) fn check_exchange(&mut self, key: Key) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return };
        if now >= exchange.deadline {
            self.record_unfinished(key, UNFINISHED_TIME);
            self.drop_standbys(key);
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
        let Some((check_after, usual)) = progress_timeouts(exchange) else { return };
        let (latest, until) = (send.waited_since(), exchange.deadline);
        let stall_time = now.saturating_duration_since(latest);
        if stall_time < check_after {
            return self.set_timer((latest + check_after).min(until), Timer::Exchange(key));
        }
        let suspects = self.targets.suspects(&send.targets(), latest);
        let empty: Vec<TargetId> =
            suspects.iter().filter(|id| self.targets.holds_no_layers(id)).cloned().collect();
        if !empty.is_empty() && send.resumed_at.is_none() && exchange.may_move(now) {
            return self.send_failed_by(key, Fault::Silent, empty);
        }
        if stall_time < usual {
            self.set_timer((latest + usual).min(until), Timer::Exchange(key));
            for suspect in suspects {
                self.check_alive(&suspect);
            }
            return;
        }
        let Some(silence) = self.silence(key) else { return };
        if progress::give_up_after(&silence).is_none_or(|after| stall_time < after)
            || !self.reroute(key, &silence, stall_time)
        {
            self.keep_send(key, &silence);
        }
    }

    /// What is known of a send without events.
    pub(super) fn silence(&self, key: Key) -> Option<Silence> {
        let now = self.now;
        let exchange = self.exchanges.get(key)?;
        let send = exchange.send.as_ref()?;
        let (_, usual) = progress_timeouts(exchange)?;
        let targets = send.targets();
        let waits_for_first = send.latest_at == send.sent_at;
        let predicted_ms = if waits_for_first { send.ttft_ms } else { step_ms(exchange, send) };
        let first_events = self.targets.longest_first_event(&targets, now);
        let spec = exchange.service.engine.as_ref();
        let load = |id: &TargetId| {
            let first = *id == send.target;
            self.targets.evidence(id, spec, send.fill(id), first, now).load()
        };
        Some(Silence {
            usual,
            predicted: from_ms(predicted_ms),
            slowdown: self.targets.slowdown(&targets, now) / send.slowdown,
            observed: if waits_for_first { first_events } else { Duration::ZERO },
            elsewhere: from_ms(send.ttft_ms).max(first_events),
            load: targets.iter().map(load).fold(0.0, f64::max),
            path: self.path_state(send, &targets),
            patience: progress::patience(exchange.route.objective, exchange.route.max_gap),
        })
    }

    /// What the targets of a send without events show.
    fn path_state(&self, send: &InFlightSend, targets: &[TargetId]) -> PathState {
        let recent = self.now.checked_sub(RECENT_PROGRESS).unwrap_or(self.now);
        let quiet = self.targets.suspects(targets, send.latest_at.max(recent));
        if quiet.is_empty() {
            return PathState::Moving;
        }
        let fails = |id: &TargetId| {
            self.targets.get(id).is_none_or(|t| t.liveness_failure().is_some() || t.is_down())
                || self.check_unanswered(id)
        };
        if quiet.iter().any(fails) { PathState::Suspect } else { PathState::Quiet }
    }

    /// Goes on waiting for a send beyond the usual time.
    fn keep_send(&mut self, key: Key, silence: &Silence) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.as_mut() else { return };
        let (targets, latest) = (send.targets(), send.latest_at);
        let logged = std::mem::replace(&mut send.kept, true);
        let text = format!(
            "request={} target={} events={} silent_ms={} evidence={}{}",
            exchange.request_fields.attempt,
            send.target,
            exchange.delivery.events,
            millis(Some(now.saturating_duration_since(latest))),
            silence.path.name(),
            silence_text(silence),
        );
        let until = exchange.deadline;
        self.set_timer((now + KEPT_POLL_INTERVAL).min(until), Timer::Exchange(key));
        if !logged {
            metrics::counter!("roseshore_sends_kept_total").increment(1);
            log_event!(self, SendKept, "{text}");
        }
        let recent = now.checked_sub(RECENT_PROGRESS).unwrap_or(now);
        for suspect in self.targets.suspects(&targets, latest.max(recent)) {
            self.check_alive(&suspect);
        }
    }

    /// Sends a request to another target, as the send in flight has made no progress for too long.
    /// Returns false if the send is to be waited for: no other target has capacity, an answer from
    /// there would find no caller, too many copies would be read late, or the retry budget does not
    /// permit it.
    fn reroute(&mut self, key: Key, silence: &Silence, silent: Duration) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return true };
        if !exchange.may_move(now) || self.fatal.refused(&exchange.suspects, now).is_some() {
            return false;
        }
        // Which target is at fault is not known, so no fault is recorded. Only this request avoids
        // them.
        let Some(send) = &exchange.send else { return true };
        let (path, caller_waited) =
            (send.targets(), now.saturating_duration_since(send.latest_at).max(silent));
        let previous = exchange.avoided.clone();
        for target in path {
            exchange.avoided.add(target, None);
        }
        let choice = self.choose(key).filter(|choice| choice.suitable);
        let in_time = |choice: &Choice| {
            let predicted = from_ms(choice.ttft_ms);
            let path: Vec<TargetId> = choice.claims.iter().map(|it| it.target.clone()).collect();
            let observed = self.targets.longest_first_event(&path, now);
            silence.arrives_in_time(caller_waited, predicted.max(observed))
        };
        let choice = choice.filter(in_time);
        if choice.is_some_and(|choice| self.responds(key, &choice))
            && self.may_pass(key)
            && self.may_leave_copy(key)
            && self.may_repeat(key)
        {
            self.send_failed_by(key, Fault::Silent, Vec::new());
            return true;
        }
        if let Some(exchange) = self.exchanges.get_mut(key) {
            exchange.avoided = previous;
        }
        false
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
            let step = Duration::from_secs_f64(step_ms(exchange, send) / 1000.0);
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

/// A predicted time; zero if it is no number or none that can be waited for.
fn from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}

/// Predicted time between events in milliseconds.
fn step_ms(exchange: &Exchange, send: &InFlightSend) -> f64 {
    let stride = exchange.service.engine.as_ref().map_or(1.0, |e| e.event_tokens);
    send.token_ms * stride
}

/// The numbers of a silence as text of a log line.
pub(super) fn silence_text(silence: &Silence) -> String {
    format!(
        " predicted_ms={} slowdown={:.2} observed_ms={} elsewhere_ms={} load={:.2} patience_ms={}",
        silence.predicted.as_millis(),
        silence.slowdown,
        silence.observed.as_millis(),
        silence.elsewhere.as_millis(),
        silence.load,
        silence.patience.as_millis(),
    )
}
