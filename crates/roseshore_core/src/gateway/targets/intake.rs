//! What targets say that they take, each for its life.
//!
//! A target says in its answers that it leaves, or that it wants nothing from this host for a while. That is
//! its own word, so neither the list nor an answer that ends later undoes it, and it is kept apart from the
//! list's records: an entry may drop out, or be read from an older copy of the store, and come back in the
//! same life. It is no failure either, which the next whole answer would make good.

use super::{Target, Targets};
use crate::gateway::peers::TargetMark;
use crate::prelude::*;

/// The longest rest that is given at once. A target that asks for more is tried once after it, since a time
/// far above that of any load is more likely a mistake than a wish, and would lose the target for good.
const MOST_REST: Duration = Duration::from_hours(1);
/// How long a word is kept for a target that is not known (any more): entries that lapse are back after some
/// seconds, and a target that leaves has ended by then.
const KEPT: Duration = Duration::from_mins(1);

/// What a target takes by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Intake {
    /// Whether it leaves; true until its life ends.
    pub leaving: bool,
    /// Until when it wants nothing from this host.
    pub rest: Option<Instant>,
}

impl Intake {
    /// Whether it wants nothing from this host now.
    pub fn rests(&self, now: Instant) -> bool {
        self.rest.is_some_and(|until| now < until)
    }
}

/// A target's word, and when it was last heard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heard {
    intake: Intake,
    at: Instant,
}

impl Targets {
    /// A target says that it leaves; returns whether that is news.
    pub fn leaves(&mut self, mark: TargetMark, now: Instant) -> bool {
        let intake = self.said(mark, now);
        let news = !intake.leaving;
        intake.leaving = true;
        self.apply(mark);
        news
    }

    /// A target wants nothing from this host for a time; returns how long it gets that if it is longer than
    /// what it asked for before.
    pub fn wants_rest(
        &mut self,
        mark: TargetMark,
        time: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let time = time.min(MOST_REST);
        let intake = self.said(mark, now);
        let until = now + time;
        if intake.rest.is_some_and(|known| known >= until) {
            return None;
        }
        intake.rest = Some(until);
        self.apply(mark);
        Some(time)
    }

    /// When the targets of a service that rest take work again.
    pub fn rest_ends(&self, service: &str, now: Instant) -> Vec<Instant> {
        let resting = self.of(service).filter(|t| t.open() && t.intake.rests(now));
        resting.filter_map(|t| t.intake.rest).collect()
    }

    fn said(&mut self, mark: TargetMark, now: Instant) -> &mut Intake {
        let intake = Intake::default();
        let heard = self.heard.entry(mark).or_insert(Heard { intake, at: now });
        heard.at = now;
        &mut heard.intake
    }

    /// Gives a target what is known of its word.
    fn apply(&mut self, mark: TargetMark) {
        let intake = self.intake_of(mark);
        let known = self.marks.get(&mark).and_then(|id| self.all.get_mut(id));
        if let Some(target) = known {
            target.intake = intake;
        }
    }

    /// What the target with a mark said that it takes.
    pub(super) fn intake_of(&self, mark: TargetMark) -> Intake {
        self.heard.get(&mark).map_or(Intake::default(), |heard| heard.intake)
    }

    /// Forgets words that bind no longer.
    pub(super) fn forget_intakes(&mut self, now: Instant) {
        let marks = &self.marks;
        self.heard.retain(|mark, heard| {
            let late = now.saturating_duration_since(heard.at) >= KEPT;
            let known = marks.contains_key(mark) && heard.intake.leaving;
            known || heard.intake.rests(now) || !late
        });
    }
}

impl Target {
    /// Whether anything may be sent to it now by what the list and the target itself say. All that sends asks
    /// this: requests in every try, the last resort among them, reports and orders.
    pub fn takes(&self, now: Instant) -> bool {
        self.open() && !self.intake.rests(now)
    }
}
