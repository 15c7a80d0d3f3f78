//! Whether an entry that is missing from the list of targets may be that of a live target.
//!
//! Targets keep their entries alive by heartbeats to the store, so entries lapse during an outage
//! of the store and are listed again soon after it. An outage that only this host sees is no such
//! reason: as long as other hosts confirm the list, the store serves them and the targets.

use super::settings::Bounds;
use super::store_reads::ReadPolicy;
use super::targets::Absence;
use crate::prelude::*;

/// How long after an outage a missing entry may still be that of a live target whose heartbeats
/// lapsed. The operators promise that such targets are listed again within two seconds. Counted
/// from the end of the outage and not from each removal, it never outlasts the drain bound of a
/// target that really leaves.
const RELIST_GRACE: Duration = Duration::from_millis(1900);
/// Outages of the store, as far as they matter to the list of targets.
#[derive(Clone, Copy, Debug)]
pub struct StoreOutage {
    /// Once no host has confirmed the list for this long, the store counts as down for all hosts.
    unconfirmed_after: Duration,
    /// Since when the store has not answered this host.
    down_since: Option<Instant>,
    /// Until when entries may be missing because of an outage that has ended.
    grace_until: Option<Instant>,
    /// When the last read that confirmed the list was sent, by this host or another.
    confirmed: Option<Instant>,
}

/// The end of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Since when the store had not answered this host.
    pub since: Instant,
    /// Whether the store was down for all hosts.
    pub all_hosts: bool,
}

impl Default for StoreOutage {
    fn default() -> StoreOutage {
        StoreOutage::new(&ReadPolicy::new(&Bounds::default()))
    }
}

impl StoreOutage {
    /// No outage so far, among hosts that read the store by this policy.
    pub fn new(policy: &ReadPolicy) -> StoreOutage {
        StoreOutage {
            unconfirmed_after: policy.unconfirmed_after(),
            down_since: None,
            grace_until: None,
            confirmed: None,
        }
    }

    /// Applies the policy by which hosts read the store.
    pub fn set_policy(&mut self, policy: &ReadPolicy) {
        self.unconfirmed_after = policy.unconfirmed_after();
    }

    /// The store did not answer this host; returns whether that begins an outage.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let first = self.down_since.is_none();
        self.down_since.get_or_insert(now);
        first
    }

    /// The store answered this host; returns the outage that ends with that, if there was one.
    pub fn record_success(&mut self, now: Instant) -> Option<Recovery> {
        let all_hosts = self.all_hosts(now);
        let since = self.down_since.take()?;
        if all_hosts {
            self.grace_until = Some(now + RELIST_GRACE);
        }
        Some(Recovery { since, all_hosts })
    }

    /// A read sent at `sent` confirmed the list that this host has.
    pub fn record_confirmation(&mut self, sent: Option<Instant>) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// Another host reports that missing entries may be those of live targets for the time `grace`.
    pub fn receive_grace(&mut self, grace: Duration, now: Instant) {
        if grace > Duration::ZERO {
            self.grace_until = self.grace_until.max(Some(now + grace.min(RELIST_GRACE)));
        }
    }

    /// When the last read that confirmed the list was sent.
    pub fn last_confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Whether the store does not answer this host.
    pub fn is_down(&self) -> bool {
        self.down_since.is_some()
    }

    /// Another host sent its copy of the list, so the store answers again. If no host had confirmed
    /// the list here, this host was cut off, and the targets next to it may have been as well.
    pub fn receive_copy(&mut self, now: Instant) {
        if self.all_hosts(now) {
            self.grace_until = Some(now + RELIST_GRACE);
        }
    }

    /// The store came back with older contents: the entries that it lacks may be those of live
    /// targets, which write them again.
    pub fn record_rollback(&mut self, now: Instant) {
        self.grace_until = Some(now + RELIST_GRACE);
    }

    /// What a missing entry means.
    pub fn absence(&self, now: Instant) -> Absence {
        if self.all_hosts(now) {
            return Absence::Lapsed(now + RELIST_GRACE);
        }
        let grace = self.grace_until.filter(|until| now < *until);
        grace.map_or(Absence::Left, Absence::Lapsed)
    }

    /// For how long missing entries may still be those of live targets, as reported to other hosts.
    pub fn grace_left(&self, now: Instant) -> Duration {
        match self.absence(now) {
            Absence::Left => Duration::ZERO,
            Absence::Lapsed(until) => until.saturating_duration_since(now),
        }
    }

    /// Whether the store is down for all hosts, as far as this one can tell.
    fn all_hosts(&self, now: Instant) -> bool {
        let old = |at| now.saturating_duration_since(at) >= self.unconfirmed_after;
        self.down_since.is_some() && self.confirmed.is_none_or(old)
    }
}
