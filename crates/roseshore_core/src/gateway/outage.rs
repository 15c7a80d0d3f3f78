//! Whether an entry that is missing from the list of targets may be a live target's.
//!
//! Targets keep their entries by heartbeats to the store, so entries lapse while the store is away
//! and are back soon after it. An outage for this host alone says nothing of that: as long as
//! other hosts confirm the list, the store serves them, and the targets.

use super::targets::Absence;
use crate::prelude::*;

/// After the store is back, dropped targets may be live ones whose heartbeats lapsed; those are
/// listed again within two seconds, as the operators promise. Counted from the return and not from
/// each drop, it never outlasts the drain bound of a target that really leaves.
const LAPSE: Duration = Duration::from_millis(1900);
/// Without a word from any host for so long, the store is away for all: the last of them reads for
/// itself by then.
const UNCONFIRMED: Duration = Duration::from_millis(1800);

/// The store's absences as far as they concern the list of targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    /// Since when the store has not answered this host.
    lost: Option<Instant>,
    /// Until when entries may still be missing by an outage that is over.
    lapse: Option<Instant>,
    /// When the read that last showed the list was sent, by this host or another.
    confirmed: Option<Instant>,
}

/// The store answers again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Since when it had not answered this host.
    pub since: Instant,
    /// Whether it was away for all.
    pub all_hosts: bool,
}

impl StoreOutage {
    /// The store did not answer; returns whether that is news.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let news = self.lost.is_none();
        self.lost.get_or_insert(now);
        news
    }

    /// The store answered; returns what ends with that, if it had been away.
    pub fn record_success(&mut self, now: Instant) -> Option<Recovery> {
        let all_hosts = self.for_all(now);
        let since = self.lost.take()?;
        if all_hosts {
            self.lapse = Some(now + LAPSE);
        }
        Some(Recovery { since, all_hosts })
    }

    /// A read that was sent at `sent` showed the list at hand.
    pub fn record_confirmation(&mut self, sent: Option<Instant>) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// Another host holds missing entries for lapsed for so long.
    pub fn receive_grace(&mut self, lapse: Duration, now: Instant) {
        if lapse > Duration::ZERO {
            self.lapse = self.lapse.max(Some(now + lapse.min(LAPSE)));
        }
    }

    /// When the list at hand was last confirmed.
    pub fn last_confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Whether the store does not answer this host.
    pub fn is_down(&self) -> bool {
        self.lost.is_some()
    }

    /// Another host's copy came, which says that the store answers again. Where nobody had confirmed
    /// the list here, this host was cut off, and the targets beside it may have been as well.
    pub fn receive_copy(&mut self, now: Instant) {
        if self.for_all(now) {
            self.lapse = Some(now + LAPSE);
        }
    }

    /// The store came back from an older copy: entries that it lacks may be of live targets that write them
    /// again.
    pub fn record_rollback(&mut self, now: Instant) {
        self.lapse = Some(now + LAPSE);
    }

    /// What follows from an entry that is missing.
    pub fn absence(&self, now: Instant) -> Absence {
        if self.for_all(now) {
            return Absence::Lapsed(now + LAPSE);
        }
        let lapse = self.lapse.filter(|until| now < *until);
        lapse.map_or(Absence::Left, Absence::Lapsed)
    }

    /// How long missing entries are held for lapsed, for other hosts.
    pub fn grace_left(&self, now: Instant) -> Duration {
        match self.absence(now) {
            Absence::Left => Duration::ZERO,
            Absence::Lapsed(until) => until.saturating_duration_since(now),
        }
    }

    fn for_all(&self, now: Instant) -> bool {
        let old = |at| now.saturating_duration_since(at) >= UNCONFIRMED;
        self.lost.is_some() && self.confirmed.is_none_or(old)
    }
}
