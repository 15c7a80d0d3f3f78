//! What targets say that they take, each for its life.
//!
//! A target says in its answers that it leaves, or that it wants nothing from this host for a while. That is
//! its own word, so neither the list nor an answer that ends later undoes it, and it is kept apart from the
//! list's records: an entry may drop out, or be read from an older copy of the store, and come back in the
//! same life. It is no failure either, which the next whole answer would make good.

use super::{Target, Targets};
use crate::gateway::peers::TargetHash;
use crate::prelude::*;

/// The longest rest that is given at once. A target that asks for more is tried once after it, since a time
/// far above that of any load is more likely a mistake than a wish, and would lose the target for good.
const MAX_PAUSE: Duration = Duration::from_hours(1);
/// How long a word is kept for a target that is not known (any more): entries that lapse are back after some
/// seconds, and a target that leaves has ended by then.
const RETENTION: Duration = Duration::from_mins(1);

/// What a target takes by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// Whether it leaves; true until its life ends.
    pub leaving: bool,
    /// Until when it wants nothing from this host.
    pub paused_until: Option<Instant>,
}

impl Availability {
    /// Whether it wants nothing from this host now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}

/// A target's word, and when it was last heard.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredAvailability {
    availability: Availability,
    heard_at: Instant,
}

impl Targets {
    /// A target says that it leaves; returns whether that is news.
    pub fn mark_leaving(&mut self, mark: TargetHash, now: Instant) -> bool {
        let intake = self.availability_entry(mark, now);
        let news = !intake.leaving;
        intake.leaving = true;
        self.apply_availability(mark);
        news
    }

    /// A target wants nothing from this host for a time; returns how long it gets that if it is longer than
    /// what it asked for before.
    pub fn pause(&mut self, mark: TargetHash, time: Duration, now: Instant) -> Option<Duration> {
        let time = time.min(MAX_PAUSE);
        let intake = self.availability_entry(mark, now);
        let until = now + time;
        if intake.paused_until.is_some_and(|known| known >= until) {
            return None;
        }
        intake.paused_until = Some(until);
        self.apply_availability(mark);
        Some(time)
    }

    /// When the targets of a service that rest take work again.
    pub fn pause_ends(&self, service: &str, now: Instant) -> Vec<Instant> {
        let resting =
            self.of_service(service).filter(|t| t.is_available() && t.availability.is_paused(now));
        resting.filter_map(|t| t.availability.paused_until).collect()
    }

    fn availability_entry(&mut self, mark: TargetHash, now: Instant) -> &mut Availability {
        let availability = Availability::default();
        let heard = self
            .availability
            .entry(mark)
            .or_insert(StoredAvailability { availability, heard_at: now });
        heard.heard_at = now;
        &mut heard.availability
    }

    /// Gives a target what is known of its word.
    fn apply_availability(&mut self, mark: TargetHash) {
        let intake = self.availability_of(mark);
        let known = self.ids.get(&mark).and_then(|id| self.all.get_mut(id));
        if let Some(target) = known {
            target.availability = intake;
        }
    }

    /// What the target with a mark said that it takes.
    pub(super) fn availability_of(&self, mark: TargetHash) -> Availability {
        self.availability.get(&mark).map_or(Availability::default(), |heard| heard.availability)
    }

    /// Forgets words that bind no longer.
    pub(super) fn expire_availability(&mut self, now: Instant) {
        let marks = &self.ids;
        self.availability.retain(|mark, heard| {
            let late = now.saturating_duration_since(heard.heard_at) >= RETENTION;
            let known = marks.contains_key(mark) && heard.availability.leaving;
            known || heard.availability.is_paused(now) || !late
        });
    }
}

impl Target {
    /// Whether anything may be sent to it now by what the list and the target itself say. All that sends asks
    /// this: requests in every try, the last resort among them, reports and orders.
    pub fn accepts_work(&self, now: Instant) -> bool {
        self.is_available() && !self.availability.is_paused(now)
    }
}
