//! Which daemon polls which target, and when.
//!
//! The first daemon in rendezvous order for a target polls it and sends the reports to the others.
//! A daemon that has had no report about a target for a while polls it too, later the further down
//! the order it is. That covers both a poller that has died and one that runs but whose reports do
//! not arrive. Each target has at most one poll in flight, and the number over all targets is
//! bounded.
//!
//! A poll that fails is repeated shortly after. After the second failure the target is down, which
//! is reported at once, and it is probed with increasing intervals until it answers.

mod cache_cursors;

pub use cache_cursors::CacheCursors;

use crate::prelude::*;
use std::collections::BTreeMap;

/// The timing and limits of polling.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The time between polls of one target.
    pub period: Duration,
    /// The time from the first failed poll of a target to the next poll. It doubles with each
    /// further failure once the target is down.
    pub retry_delay: Duration,
    /// The longest time between polls of a target that is down.
    pub max_probe: Duration,
    /// The number of periods without a report after which the second daemon in order polls.
    pub silent_periods: u32,
    /// How much longer each further daemon in order waits.
    pub stagger: Duration,
    /// The number of consecutive failed polls after which a target is down.
    pub max_failures: u32,
    /// How often to check whether a target that another daemon polls needs a poll from here.
    pub recheck: Duration,
    /// The most polls in flight.
    pub max_polls: usize,
    /// How long a poll may be in flight before it is taken for lost.
    pub poll_timeout: Duration,
    /// The most declared targets of a fleet that every data centre polls in full, so that it can
    /// use the targets of others when its own are lost. In a larger fleet it polls its own targets
    /// only.
    pub full_limit: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: Duration::from_millis(250),
            retry_delay: Duration::from_millis(50),
            max_probe: Duration::from_secs(1),
            silent_periods: 3,
            stagger: Duration::from_millis(100),
            max_failures: 2,
            recheck: Duration::from_millis(50),
            max_polls: 16,
            poll_timeout: Duration::from_secs(2),
            full_limit: 256,
        }
    }
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Poll the target, and pass the result to [`Polling::on_answer`] or [`Polling::on_failure`].
    Poll(TargetId),
    /// Tell the router and the peers that the target does not answer.
    Unresponsive(TargetId),
    /// Log that the target is down.
    Down(TargetId),
    /// Log that the target is up again.
    Up(TargetId),
}

/// What this daemon knows of one target.
#[derive(Clone, Debug)]
struct TargetState {
    seen: Instant,
    due: Instant,
    polled_at: Option<Instant>,
    failures: u32,
    down: bool,
}

/// The polls of one daemon.
pub struct Polling {
    settings: Settings,
    targets: BTreeMap<TargetId, TargetState>,
}

impl Polling {
    /// A state without targets.
    pub fn new(settings: Settings) -> Polling {
        Polling { settings, targets: BTreeMap::new() }
    }

    /// Sets the time between polls. It grows with the number of daemons that get the reports.
    pub fn set_period(&mut self, period: Duration) {
        self.settings.period = period;
    }

    /// Sets the targets; those that are already known keep their state.
    pub fn set_targets(&mut self, ids: impl IntoIterator<Item = TargetId>, now: Instant) {
        let mut previous = std::mem::take(&mut self.targets);
        for target in ids {
            let state = previous.remove(&target).unwrap_or_else(|| TargetState {
                seen: now,
                due: now + self.initial_delay(&target),
                polled_at: None,
                failures: 0,
                down: false,
            });
            self.targets.insert(target, state);
        }
    }

    /// The polls to start now. `rank` gives this daemon's position in the order for a target, or
    /// `None` if it must not poll. Call it only with a current view of the members.
    pub fn tick(&mut self, now: Instant, rank: impl Fn(&str) -> Option<usize>) -> Vec<Action> {
        for state in self.targets.values_mut() {
            let timeout = self.settings.poll_timeout;
            state.polled_at =
                state.polled_at.filter(|at| now.saturating_duration_since(*at) < timeout);
        }
        let in_flight = self.targets.values().filter(|w| w.polled_at.is_some()).count();
        let mut free = self.settings.max_polls.saturating_sub(in_flight);
        let mut due: Vec<_> = self.targets.iter_mut().filter(|(_, w)| w.is_due(now)).collect();
        due.sort_by_key(|(_, w)| w.due);
        let mut actions = Vec::new();
        for (target, state) in due {
            if !state.should_poll(&self.settings, rank(target), now) {
                state.due = now + self.settings.recheck;
                continue;
            }
            if free == 0 {
                break;
            }
            free -= 1;
            state.polled_at = Some(now);
            actions.push(Action::Poll(target.clone()));
        }
        actions
    }

    /// Handles a poll that the target answered.
    pub fn on_answer(&mut self, target: &TargetId, now: Instant) -> Vec<Action> {
        let period = self.settings.period;
        let Some(state) = self.targets.get_mut(target) else { return Vec::new() };
        let started = state.polled_at.take().unwrap_or(now);
        state.due = (started + period).max(now);
        state.failures = 0;
        state.record_report(target, false, now)
    }

    /// Handles a poll that failed.
    pub fn on_failure(&mut self, target: &TargetId, now: Instant) -> Vec<Action> {
        let Settings { retry_delay, max_probe, max_failures, .. } = self.settings;
        let Some(state) = self.targets.get_mut(target) else { return Vec::new() };
        state.polled_at = None;
        state.failures += 1;
        if state.failures < max_failures {
            state.due = now + retry_delay;
            return Vec::new();
        }
        let doublings = (state.failures - max_failures).min(MAX_DOUBLINGS);
        state.due = now + (retry_delay * 2u32.pow(doublings)).min(max_probe);
        let mut actions = state.record_report(target, true, now);
        actions.push(Action::Unresponsive(target.clone()));
        actions
    }

    /// Handles a report of a peer, which polled the target at `seen`.
    pub fn on_peer_report(
        &mut self,
        target: &TargetId,
        unresponsive: bool,
        seen: Instant,
    ) -> Vec<Action> {
        let Some(state) = self.targets.get_mut(target) else { return Vec::new() };
        if seen <= state.seen {
            return Vec::new();
        }
        state.record_report(target, unresponsive, seen)
    }

    /// Whether a target is down.
    pub fn is_down(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|w| w.down)
    }

    /// Spreads the first polls of many targets over one period.
    fn initial_delay(&self, target: &str) -> Duration {
        let hash = crate::membership::weight("phase", target);
        self.settings.period.mul_f64(hash as f64 / u64::MAX as f64)
    }
}

/// Bounds the exponent of the probe interval, far above what [`Settings::max_probe`] allows.
const MAX_DOUBLINGS: u32 = 16;

impl TargetState {
    fn is_due(&self, now: Instant) -> bool {
        self.polled_at.is_none() && self.due <= now
    }

    /// Whether this daemon, at its position in the order, must poll now.
    fn should_poll(&self, settings: &Settings, rank: Option<usize>, now: Instant) -> bool {
        let Some(rank) = rank else { return false };
        if rank == 0 {
            return true;
        }
        let interval = if self.down { settings.max_probe } else { settings.period };
        let wait = interval * settings.silent_periods + settings.stagger * (rank as u32 - 1);
        now.saturating_duration_since(self.seen) >= wait
    }

    fn record_report(
        &mut self,
        target: &TargetId,
        unresponsive: bool,
        seen: Instant,
    ) -> Vec<Action> {
        self.seen = self.seen.max(seen);
        let was_down = std::mem::replace(&mut self.down, unresponsive);
        match (was_down, unresponsive) {
            (false, true) => vec![Action::Down(target.clone())],
            (true, false) => vec![Action::Up(target.clone())],
            _ => Vec::new(),
        }
    }
}
