//! Limits that targets name for all hosts together.
//!
//! A target in need says in its answers how many requests a second it takes from all hosts. No host sees that sum,
//! so none may go by its own count: hosts that each obeyed the limit alone would send several times as much. The first
//! host of each data centre therefore issues permits from one token bucket ([`issuer`]), and a host that wants to
//! send there asks for one, which takes a millisecond or two. Data centres divide the limit by what their hosts
//! have asked for of late ([`share`]).
//!
//! Permits are asked for one by one, since most hosts send a target little: dealt out ahead, each for a part of the
//! limit, they lie with hosts that have no request for them. The host that issues is the first by rank, as for other
//! duties; nothing that it knows has to outlive it.
//!
//! What a target said is told to the other hosts ([`advertisement`]), so that one which has not heard it keeps it too.

mod advertisement;
pub mod issuer;
pub mod share;

use super::peers::{LimitReport, PermitGrant, PermitRequest, TargetHash};
use crate::prelude::*;
use advertisement::{Advertisement, Advertisements};
pub use issuer::Issuer;
pub use share::{PermitShare, RecentDemand};
use std::collections::HashMap;

/// How long an unused permit may be used: less than a second of a target's limit is late by it.
const PERMIT_VALIDITY: Duration = Duration::from_secs(1);
/// How long nothing more is asked for after a question that was not answered: the issuer is busy, or lost.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(200);
/// How long the word of a target that is not known (any more) is kept: entries that lapse are back after seconds.
const RETENTION: Duration = Duration::from_mins(1);
/// A change of a limit by less than this part of it is no news for the log.
const LOGGED_CHANGE: f64 = 0.1;

/// What an answer says of its target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// It names none.
    #[default]
    None,
    /// Requests a second that the target takes from all hosts together; finite, not negative.
    Limit(f64),
    /// It names something that cannot be read, which says neither that there is a limit nor that there is none.
    Unreadable,
}

/// Whether a request may be sent to a target as far as its limit goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The target names no limit.
    Unlimited,
    /// This host has a permit.
    Held,
    /// The issuer is to be asked.
    Ask,
    /// The issuer has just said that there is none, or does not answer.
    None,
}

/// A limit that changed, requests a second; none for no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// What it was.
    pub before: Option<f64>,
    /// What it is.
    pub after: Option<f64>,
}

/// What this host knows of one limit.
#[derive(Clone, Debug)]
struct LimitState {
    advertisements: Advertisements,
    /// When something was last heard of it.
    last_heard: Instant,
    /// Unused permits, and until when they may be used.
    permits: u32,
    valid_until: Instant,
    /// Until when the issuer is not to be asked.
    closed_until: Instant,
}

/// All limits, by the lives of their targets.
#[derive(Clone, Debug)]
pub struct TargetLimits {
    /// This host as the origin of words.
    origin: u32,
    /// Of its last word.
    number: u32,
    all: HashMap<TargetHash, LimitState>,
    /// Counts the heartbeats that told only some of the words.
    turn: usize,
}

impl TargetLimits {
    /// No limit is known; `origin` tells this life of this host from others.
    pub fn new(origin: u32) -> TargetLimits {
        TargetLimits { origin, number: 0, all: HashMap::new(), turn: 0 }
    }

    /// A target named its limit in an answer that came now; returns whether that is news.
    pub fn advertised(
        &mut self,
        target: TargetHash,
        limit: f64,
        now: Instant,
    ) -> Option<LimitChange> {
        self.number += 1;
        self.apply(target, Advertisement::limited(limit, now, (self.origin, self.number)), now)
    }

    /// A target named no limit in the answer to a request that was sent at `sent`; returns whether that is news.
    pub fn not_advertised(
        &mut self,
        target: TargetHash,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.all.get(&target)?.advertisements.current();
        self.number += 1;
        let word = known.ended_by(sent, (self.origin, self.number))?;
        self.apply(target, word, now)
    }

    /// Another host told of a target's word; returns whether that is news.
    pub fn receive(&mut self, note: &LimitReport, now: Instant) -> Option<LimitChange> {
        self.apply(note.target, Advertisement::from_report(note, now)?, now)
    }

    fn apply(
        &mut self,
        target: TargetHash,
        word: Advertisement,
        now: Instant,
    ) -> Option<LimitChange> {
        if let Some(known) = self.all.get_mut(&target) {
            known.last_heard = now;
            let before = known.advertisements.current().named_limit();
            known.advertisements.add(word);
            return LimitChange { before, after: known.advertisements.current().named_limit() }
                .significant();
        }
        word.rate(now)?;
        let advertisements = Advertisements::new(word);
        let limited = LimitState {
            advertisements,
            last_heard: now,
            permits: 0,
            valid_until: now,
            closed_until: now,
        };
        self.all.insert(target, limited);
        LimitChange { before: None, after: word.named_limit() }.significant()
    }

    /// Requests a second that a target takes from all hosts now; none where it names no limit.
    pub fn rate(&self, target: TargetHash, now: Instant) -> Option<f64> {
        self.all.get(&target)?.rate(now)
    }

    /// Whether a request may be sent to a target.
    pub fn permit(&self, target: TargetHash, now: Instant) -> Permit {
        let Some(known) = self.all.get(&target).filter(|known| known.rate(now).is_some()) else {
            return Permit::Unlimited;
        };
        if known.permits > 0 && now < known.valid_until {
            Permit::Held
        } else if now < known.closed_until {
            Permit::None
        } else {
            Permit::Ask
        }
    }

    /// The targets to which nothing may be sent now.
    pub fn without_permit(&self, now: Instant) -> impl Iterator<Item = TargetHash> {
        let none = move |target: &TargetHash| self.permit(*target, now) == Permit::None;
        self.all.keys().copied().filter(none)
    }

    /// A request is sent to a target; returns whether that was permitted.
    pub fn consume(&mut self, target: TargetHash, now: Instant) -> bool {
        match self.permit(target, now) {
            Permit::Unlimited => true,
            Permit::Held => {
                self.all.entry(target).and_modify(|known| known.permits -= 1);
                true
            }
            Permit::Ask | Permit::None => false,
        }
    }

    /// The question for a permit; none where the target names no limit.
    pub fn permit_request(
        &self,
        target: TargetHash,
        number: u64,
        now: Instant,
    ) -> Option<PermitRequest> {
        let word = self.all.get(&target)?.advertisements.current();
        Some(PermitRequest { number, limit: word.report(target, 0, now) })
    }

    /// The issuer's answer came.
    pub fn apply_grant(&mut self, grant: &PermitGrant, now: Instant) {
        let Some(known) = self.all.get_mut(&grant.target) else { return };
        if now >= known.valid_until {
            known.permits = 0;
        }
        if grant.permits > 0 {
            known.permits += u32::from(grant.permits);
            known.valid_until = now + PERMIT_VALIDITY;
        }
        known.closed_until = now + Duration::from_millis(u64::from(grant.wait));
    }

    /// The issuer's answer did not come.
    pub fn request_failed(&mut self, target: TargetHash, now: Instant) {
        if let Some(known) = self.all.get_mut(&target) {
            known.closed_until = now + UNANSWERED_BACKOFF;
        }
    }

    /// What is told to other hosts, so many at most, others with each turn; `wanted` says what this host, as the
    /// issuer, was asked for, and none for a target that is not to be told of.
    pub fn reports(
        &mut self,
        most: usize,
        wanted: impl Fn(TargetHash) -> Option<u16>,
        now: Instant,
    ) -> Vec<LimitReport> {
        let lasting = self.all.iter().filter(|(_, known)| known.rate(now).is_some());
        let note = |(target, known): (&TargetHash, &LimitState)| {
            Some(known.advertisements.current().report(*target, wanted(*target)?, now))
        };
        let mut notes: Vec<LimitReport> = lasting.filter_map(note).collect();
        notes.sort_unstable_by_key(|note| note.target);
        if notes.len() > most {
            self.turn = self.turn.wrapping_add(1);
            let first = (self.turn * most) % notes.len();
            notes.rotate_left(first);
            notes.truncate(most);
        }
        notes
    }

    /// Forgets limits that have ended, and those of lives that are not `known` any more.
    pub fn expire(&mut self, known: impl Fn(TargetHash) -> bool, now: Instant) {
        self.all.retain(|target, limited| {
            let late = now.saturating_duration_since(limited.last_heard) >= RETENTION;
            let lasts = limited.rate(now).is_some();
            if known(*target) { lasts || !late } else { !late }
        });
    }
}

impl LimitState {
    fn rate(&self, now: Instant) -> Option<f64> {
        self.advertisements.current().rate(now)
    }
}

impl LimitChange {
    /// The change, where it is worth a line in the log.
    fn significant(self) -> Option<LimitChange> {
        let small = match (self.before, self.after) {
            (Some(before), Some(after)) => (after - before).abs() <= LOGGED_CHANGE * before,
            (None, None) => true,
            _ => false,
        };
        (!small).then_some(self)
    }
}
