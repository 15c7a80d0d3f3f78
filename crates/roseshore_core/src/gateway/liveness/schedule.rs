//! When a target that may be lost is checked again.
//!
//! Each check is a connection that the target has to take, and all hosts of a data centre hear of a
//! lost target at once. So only the hosts that speak for the data centre check it without pause;
//! they end the report for all others when the target answers. A host that has a use for the target
//! does not wait for them, but checks less and less often while the report stands. The rest take
//! turns, in case no speaker reaches a sound target.

use crate::gateway::hashes::TargetHash;
use crate::prelude::*;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Interval between checks of a target that fails them.
const FAILING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks of a target that is reached through another host.
const RELAYED_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between checks of a target that others report to fail.
const REPORTED_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval while a report stands.
const MAX_INTERVAL: Duration = Duration::from_secs(8);
/// Interval between checks of a reported target by all hosts that take turns.
const TURN_INTERVAL: Duration = Duration::from_millis(250);

/// Most checks in [`LINK_PERIOD`] while a host's links are in doubt.
const MAX_LINK_CHECKS: usize = 32;
/// Period in which these are counted.
const LINK_PERIOD: Duration = Duration::from_secs(1);

/// What a host knows of a target that may be lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Doubt {
    /// Hash of the target.
    pub target: TargetHash,
    /// Since when other hosts have reported that it fails their checks; `None` if they don't.
    pub reported: Option<Instant>,
    /// Whether it fails this host's checks.
    pub failing: bool,
    /// Whether another host reaches it for this one.
    pub relayed: bool,
    /// Whether this host has a use for it.
    pub used: bool,
    /// When it was last alive by this host's own observation.
    pub alive: Option<Instant>,
}

/// The part that a host takes in the checks of its data centre.
#[derive(Clone, Copy, Debug)]
pub struct CheckDuty {
    /// Whether it speaks for its data centre.
    pub speaks: bool,
    /// Number of hosts that may take turns.
    pub hosts: usize,
    /// Address of the host.
    pub addr: SocketAddr,
}

impl CheckDuty {
    /// Whether to check a target now that was last checked at `last`.
    pub fn is_due(&self, doubt: &Doubt, last: Option<Instant>, now: Instant) -> bool {
        let waited = |interval| last.is_none_or(|last| now >= last + interval);
        if doubt.relayed {
            return waited(RELAYED_INTERVAL);
        }
        let Some(reported) = doubt.reported else {
            return doubt.failing && waited(FAILING_INTERVAL);
        };
        // What was seen before the report does not refute it.
        let alive = doubt.alive.filter(|_| !doubt.failing);
        let Some(seen) = last.max(alive).filter(|seen| *seen >= reported) else {
            return self.speaks || doubt.used || now >= reported + self.first_turn(doubt.target);
        };
        let usual = if doubt.failing { FAILING_INTERVAL } else { REPORTED_INTERVAL };
        let interval = match (self.speaks, doubt.used) {
            (true, _) => usual,
            (false, true) => seen.saturating_duration_since(reported).clamp(usual, MAX_INTERVAL),
            (false, false) => self.round(),
        };
        now >= seen + interval
    }

    /// Time in which each host has one turn.
    fn round(&self) -> Duration {
        TURN_INTERVAL * u32::try_from(self.hosts).unwrap_or(u32::MAX)
    }

    /// Time from a report to this host's first turn.
    fn first_turn(&self, target: TargetHash) -> Duration {
        let hash = xxh3_64_with_seed(self.addr.to_string().as_bytes(), target.into());
        self.round().mul_f64(hash as f64 / u64::MAX as f64)
    }
}

/// Bounds the checks of targets that are made because a host's links may be lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkChecks {
    /// Start of the current period, and checks made in it.
    period: Option<(Instant, usize)>,
}

impl LinkChecks {
    /// How many of the `wanted` checks may be made now; they count as made.
    pub fn take(&mut self, wanted: usize, now: Instant) -> usize {
        let current = |(start, _): &(Instant, usize)| now < *start + LINK_PERIOD;
        let (start, made) = self.period.filter(current).unwrap_or((now, 0));
        let taken = wanted.min(MAX_LINK_CHECKS - made);
        self.period = Some((start, made + taken));
        taken
    }
}
