//! Availability that targets report about themselves, by incarnation.
//!
//! A target states in its responses that it is leaving, or that it wants no requests from this host
//! for a while. The statement is the target's own, so neither the list nor a response that ends
//! later revokes it. It is stored apart from the list's records, because an entry may disappear, or
//! be read from an older copy of the store, and come back with the same incarnation. It is not a
//! failure either, which the next complete response would clear.

use super::{Target, Targets};
use crate::gateway::hashes::TargetHash;
use crate::prelude::*;

/// Longest pause granted at once. A target that asks for more is tried once after it: a time far
/// above that of any load is more likely a mistake than intended, and would lose the target for
/// good.
const MAX_PAUSE: Duration = Duration::from_hours(1);
/// How long a statement is kept for a target that is unknown, or no longer known. Entries that
/// lapsed are back within seconds, and a target that leaves has ended by then.
const RETENTION: Duration = Duration::from_mins(1);

/// What a target has stated about the work that it accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// Whether it is leaving; once set, this holds until the end of the incarnation.
    pub leaving: bool,
    /// End of the pause in which it wants no requests from this host.
    pub paused_until: Option<Instant>,
}

impl Availability {
    /// Whether it wants no requests from this host now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}

/// Availability of one incarnation, and when the target last stated it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredAvailability {
    availability: Availability,
    heard_at: Instant,
}

impl Targets {
    /// Records that a target is leaving. Returns whether that is new.
    pub fn mark_leaving(&mut self, hash: TargetHash, now: Instant) -> bool {
        let availability = self.availability_entry(hash, now);
        let new = !availability.leaving;
        availability.leaving = true;
        self.apply_availability(hash);
        new
    }

    /// Records that a target wants no requests from this host for `time`. Returns the pause granted
    /// if it ends later than the one known before.
    pub fn pause(&mut self, hash: TargetHash, time: Duration, now: Instant) -> Option<Duration> {
        let time = time.min(MAX_PAUSE);
        let availability = self.availability_entry(hash, now);
        let until = now + time;
        if availability.paused_until.is_some_and(|known| known >= until) {
            return None;
        }
        availability.paused_until = Some(until);
        self.apply_availability(hash);
        Some(time)
    }

    /// Ends of the pauses of a service's targets.
    pub fn pause_ends(&self, service: &str, now: Instant) -> Vec<Instant> {
        let paused =
            self.of_service(service).filter(|t| t.is_available() && t.availability.is_paused(now));
        paused.filter_map(|t| t.availability.paused_until).collect()
    }

    fn availability_entry(&mut self, hash: TargetHash, now: Instant) -> &mut Availability {
        let availability = Availability::default();
        let entry = self
            .availability
            .entry(hash)
            .or_insert(StoredAvailability { availability, heard_at: now });
        entry.heard_at = now;
        &mut entry.availability
    }

    /// Copies the stored availability to the target.
    fn apply_availability(&mut self, hash: TargetHash) {
        let availability = self.availability_of(hash);
        let known = self.ids.get(&hash).and_then(|id| self.all.get_mut(id));
        if let Some(target) = known {
            target.availability = availability;
        }
    }

    /// Availability stated by the incarnation with this hash.
    pub(super) fn availability_of(&self, hash: TargetHash) -> Availability {
        self.availability.get(&hash).map_or(Availability::default(), |entry| entry.availability)
    }

    /// Drops statements that no longer apply.
    pub(super) fn expire_availability(&mut self, now: Instant) {
        let ids = &self.ids;
        self.availability.retain(|hash, entry| {
            let late = now.saturating_duration_since(entry.heard_at) >= RETENTION;
            let known = ids.contains_key(hash) && entry.availability.leaving;
            known || entry.availability.is_paused(now) || !late
        });
    }
}

impl Target {
    /// Whether anything may be sent to the target now, by the list and the target's own statements.
    /// Everything that sends checks this: each attempt of a request, including the last resort, as
    /// well as reports and orders.
    pub fn accepts_work(&self, now: Instant) -> bool {
        self.is_available() && !self.availability.is_paused(now)
    }
}
