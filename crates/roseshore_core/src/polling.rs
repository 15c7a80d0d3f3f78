//! Which daemon polls which target, and when.
//!
//! The first daemon in rendezvous order for a target polls it; the others are told the reports.
//! Whoever has heard nothing of a target for a while polls it too, those further down the order
//! later: that covers a poller that died, and one that lives but whose word does not get here.
//! Each target has at most one poll under way, and all targets together a bounded number.
//!
//! A poll that fails is repeated at once; after the second failure the target is out of use, which
//! is said at once, and it is probed ever more slowly until it answers.

mod cache_cursors;

pub use cache_cursors::CacheCursors;

use crate::prelude::*;
use std::collections::BTreeMap;

/// When to poll.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The time between polls of one target.
    pub period: Duration,
    /// The time to the second try after a poll that failed.
    pub retry_delay: Duration,
    /// The longest time between probes of a target that is out of use.
    pub max_probe: Duration,
    /// Missing reports, in periods, after which the second in order polls.
    pub silent_periods: u32,
    /// What each further place in the order waits more.
    pub stagger: Duration,
    /// Failed polls after which a target is out of use.
    pub max_failures: u32,
    /// How often a target that another daemon polls is looked at.
    pub recheck: Duration,
    /// Polls under way at once.
    pub max_polls: usize,
    /// A poll of which nothing was heard for so long is no longer under way.
    pub poll_timeout: Duration,
    /// The most declared targets of a fleet that every data centre polls in full, so that it can
    /// use the others' when its own are lost; in a larger one it polls its own only.
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

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the target for its report, and come back with [`Polling::on_answer`] or
    /// [`Polling::on_failure`].
    Poll(TargetId),
    /// Tell the router and the peers that the target does not answer.
    Unresponsive(TargetId),
    /// The target is out of use, for the log.
    Down(TargetId),
    /// The target is in use again, for the log.
    Up(TargetId),
}

#[derive(Clone, Debug)]
struct Watch {
    seen: Instant,
    due: Instant,
    asked: Option<Instant>,
    failures: u32,
    lost: bool,
}

/// The polls of one daemon.
pub struct Polling {
    settings: Settings,
    watches: BTreeMap<TargetId, Watch>,
}

impl Polling {
    /// No targets yet.
    pub fn new(settings: Settings) -> Polling {
        Polling { settings, watches: BTreeMap::new() }
    }

    /// Sets the time between polls; it grows with the number of daemons to tell.
    pub fn set_period(&mut self, period: Duration) {
        self.settings.period = period;
    }

    /// Sets the targets; known ones keep their state.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = TargetId>, now: Instant) {
        let mut old = std::mem::take(&mut self.watches);
        for target in targets {
            let watch = old.remove(&target).unwrap_or_else(|| Watch {
                seen: now,
                due: now + self.phase(&target),
                asked: None,
                failures: 0,
                lost: false,
            });
            self.watches.insert(target, watch);
        }
    }

    /// What is due. `place` is this daemon's place in the order for a target, `None` if it is not
    /// to poll at all; call it with a view that is not stale.
    pub fn tick(&mut self, now: Instant, place: impl Fn(&str) -> Option<usize>) -> Vec<Action> {
        for watch in self.watches.values_mut() {
            let timeout = self.settings.poll_timeout;
            watch.asked = watch.asked.filter(|at| now.saturating_duration_since(*at) < timeout);
        }
        let busy = self.watches.values().filter(|w| w.asked.is_some()).count();
        let mut room = self.settings.max_polls.saturating_sub(busy);
        let mut due: Vec<_> = self.watches.iter_mut().filter(|(_, w)| w.ready(now)).collect();
        due.sort_by_key(|(_, w)| w.due);
        let mut actions = Vec::new();
        for (target, watch) in due {
            if !watch.turn(&self.settings, place(target), now) {
                watch.due = now + self.settings.recheck;
                continue;
            }
            if room == 0 {
                break;
            }
            room -= 1;
            watch.asked = Some(now);
            actions.push(Action::Poll(target.clone()));
        }
        actions
    }

    /// A target answered a poll.
    pub fn on_answer(&mut self, target: &TargetId, now: Instant) -> Vec<Action> {
        let period = self.settings.period;
        let Some(watch) = self.watches.get_mut(target) else { return Vec::new() };
        let begun = watch.asked.take().unwrap_or(now);
        watch.due = (begun + period).max(now);
        watch.failures = 0;
        watch.heard(target, false, now)
    }

    /// A poll of a target failed.
    pub fn on_failure(&mut self, target: &TargetId, now: Instant) -> Vec<Action> {
        let Settings { retry_delay, max_probe, max_failures, .. } = self.settings;
        let Some(watch) = self.watches.get_mut(target) else { return Vec::new() };
        watch.asked = None;
        watch.failures += 1;
        if watch.failures < max_failures {
            watch.due = now + retry_delay;
            return Vec::new();
        }
        let doublings = (watch.failures - max_failures).min(MAX_DOUBLINGS);
        watch.due = now + (retry_delay * 2u32.pow(doublings)).min(max_probe);
        let mut actions = watch.heard(target, true, now);
        actions.push(Action::Unresponsive(target.clone()));
        actions
    }

    /// A peer told a report of a target that it polled at `seen`.
    pub fn on_peer_report(
        &mut self,
        target: &TargetId,
        silent: bool,
        seen: Instant,
    ) -> Vec<Action> {
        let Some(watch) = self.watches.get_mut(target) else { return Vec::new() };
        if seen <= watch.seen {
            return Vec::new();
        }
        watch.heard(target, silent, seen)
    }

    /// Whether a target is out of use.
    pub fn is_down(&self, target: &TargetId) -> bool {
        self.watches.get(target).is_some_and(|w| w.lost)
    }

    /// Spreads the first polls of many targets over a period.
    fn phase(&self, target: &str) -> Duration {
        let hash = crate::membership::weight("phase", target);
        self.settings.period.mul_f64(hash as f64 / u64::MAX as f64)
    }
}

/// Bounds the exponent of the probe's wait, far above what [`Settings::max_probe`] lets through.
const MAX_DOUBLINGS: u32 = 16;

impl Watch {
    fn ready(&self, now: Instant) -> bool {
        self.asked.is_none() && self.due <= now
    }

    /// Whether this daemon, with its place in the order, is to poll now.
    fn turn(&self, settings: &Settings, place: Option<usize>, now: Instant) -> bool {
        let Some(place) = place else { return false };
        if place == 0 {
            return true;
        }
        let usual = if self.lost { settings.max_probe } else { settings.period };
        let wait = usual * settings.silent_periods + settings.stagger * (place as u32 - 1);
        now.saturating_duration_since(self.seen) >= wait
    }

    fn heard(&mut self, target: &TargetId, silent: bool, seen: Instant) -> Vec<Action> {
        self.seen = self.seen.max(seen);
        let was = std::mem::replace(&mut self.lost, silent);
        match (was, silent) {
            (false, true) => vec![Action::Down(target.clone())],
            (true, false) => vec![Action::Up(target.clone())],
            _ => Vec::new(),
        }
    }
}
