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
//! What a target said is told to the other hosts ([`word`]), so that one which has not heard it keeps it too.

pub mod issuer;
pub mod share;
mod word;

use super::peers::{AskNote, GrantNote, LimitNote, TargetMark};
use crate::prelude::*;
pub use issuer::Issuer;
pub use share::{Share, Wants};
use std::collections::HashMap;
use word::{Word, Words};

/// How long an unused permit may be used: less than a second of a target's limit is late by it.
const VALID: Duration = Duration::from_secs(1);
/// How long nothing more is asked for after a question that was not answered: the issuer is busy, or lost.
const UNANSWERED: Duration = Duration::from_millis(200);
/// How long the word of a target that is not known (any more) is kept: entries that lapse are back after seconds.
const KEPT: Duration = Duration::from_mins(1);
/// A change of a limit by less than this part of it is no news for the log.
const NEWS: f64 = 0.1;

/// What an answer says of its target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Naming {
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
pub struct Change {
    /// What it was.
    pub before: Option<f64>,
    /// What it is.
    pub after: Option<f64>,
}

/// What this host knows of one limit.
#[derive(Clone, Debug)]
struct Limited {
    words: Words,
    /// When something was last heard of it.
    heard: Instant,
    /// Unused permits, and until when they may be used.
    permits: u32,
    valid: Instant,
    /// Until when the issuer is not to be asked.
    closed: Instant,
}

/// All limits, by the lives of their targets.
#[derive(Clone, Debug)]
pub struct Limits {
    /// This host as the origin of words.
    origin: u32,
    /// Of its last word.
    number: u32,
    all: HashMap<TargetMark, Limited>,
    /// Counts the heartbeats that told only some of the words.
    turn: usize,
}

impl Limits {
    /// No limit is known; `origin` tells this life of this host from others.
    pub fn new(origin: u32) -> Limits {
        Limits { origin, number: 0, all: HashMap::new(), turn: 0 }
    }

    /// A target named its limit in an answer that came now; returns whether that is news.
    pub fn named(&mut self, target: TargetMark, limit: f64, now: Instant) -> Option<Change> {
        self.number += 1;
        self.take(target, Word::named(limit, now, (self.origin, self.number)), now)
    }

    /// A target named no limit in the answer to a request that was sent at `sent`; returns whether that is news.
    pub fn unnamed(&mut self, target: TargetMark, sent: Instant, now: Instant) -> Option<Change> {
        let known = self.all.get(&target)?.words.current();
        self.number += 1;
        let word = known.ended_by(sent, (self.origin, self.number))?;
        self.take(target, word, now)
    }

    /// Another host told of a target's word; returns whether that is news.
    pub fn heard(&mut self, note: &LimitNote, now: Instant) -> Option<Change> {
        self.take(note.target, Word::heard(note, now)?, now)
    }

    fn take(&mut self, target: TargetMark, word: Word, now: Instant) -> Option<Change> {
        if let Some(known) = self.all.get_mut(&target) {
            known.heard = now;
            let before = known.words.current().named_limit();
            known.words.take(word);
            return Change { before, after: known.words.current().named_limit() }.news();
        }
        word.rate(now)?;
        let words = Words::new(word);
        let limited = Limited { words, heard: now, permits: 0, valid: now, closed: now };
        self.all.insert(target, limited);
        Change { before: None, after: word.named_limit() }.news()
    }

    /// Requests a second that a target takes from all hosts now; none where it names no limit.
    pub fn rate(&self, target: TargetMark, now: Instant) -> Option<f64> {
        self.all.get(&target)?.rate(now)
    }

    /// Whether a request may be sent to a target.
    pub fn permit(&self, target: TargetMark, now: Instant) -> Permit {
        let Some(known) = self.all.get(&target).filter(|known| known.rate(now).is_some()) else {
            return Permit::Unlimited;
        };
        if known.permits > 0 && now < known.valid {
            Permit::Held
        } else if now < known.closed {
            Permit::None
        } else {
            Permit::Ask
        }
    }

    /// The targets to which nothing may be sent now.
    pub fn shut(&self, now: Instant) -> impl Iterator<Item = TargetMark> {
        let none = move |target: &TargetMark| self.permit(*target, now) == Permit::None;
        self.all.keys().copied().filter(none)
    }

    /// A request is sent to a target; returns whether that was permitted.
    pub fn spend(&mut self, target: TargetMark, now: Instant) -> bool {
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
    pub fn ask(&self, target: TargetMark, number: u64, now: Instant) -> Option<AskNote> {
        let word = self.all.get(&target)?.words.current();
        Some(AskNote { number, limit: word.note(target, 0, now) })
    }

    /// The issuer's answer came.
    pub fn granted(&mut self, grant: &GrantNote, now: Instant) {
        let Some(known) = self.all.get_mut(&grant.target) else { return };
        if now >= known.valid {
            known.permits = 0;
        }
        if grant.permits > 0 {
            known.permits += u32::from(grant.permits);
            known.valid = now + VALID;
        }
        known.closed = now + Duration::from_millis(u64::from(grant.wait));
    }

    /// The issuer's answer did not come.
    pub fn unanswered(&mut self, target: TargetMark, now: Instant) {
        if let Some(known) = self.all.get_mut(&target) {
            known.closed = now + UNANSWERED;
        }
    }

    /// What is told to other hosts, so many at most, others with each turn; `wanted` says what this host, as the
    /// issuer, was asked for, and none for a target that is not to be told of.
    pub fn notes(
        &mut self,
        most: usize,
        wanted: impl Fn(TargetMark) -> Option<u16>,
        now: Instant,
    ) -> Vec<LimitNote> {
        let lasting = self.all.iter().filter(|(_, known)| known.rate(now).is_some());
        let note = |(target, known): (&TargetMark, &Limited)| {
            Some(known.words.current().note(*target, wanted(*target)?, now))
        };
        let mut notes: Vec<LimitNote> = lasting.filter_map(note).collect();
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
    pub fn forget(&mut self, known: impl Fn(TargetMark) -> bool, now: Instant) {
        self.all.retain(|target, limited| {
            let late = now.saturating_duration_since(limited.heard) >= KEPT;
            let lasts = limited.rate(now).is_some();
            if known(*target) { lasts || !late } else { !late }
        });
    }
}

impl Limited {
    fn rate(&self, now: Instant) -> Option<f64> {
        self.words.current().rate(now)
    }
}

impl Change {
    /// The change, where it is worth a line in the log.
    fn news(self) -> Option<Change> {
        let small = match (self.before, self.after) {
            (Some(before), Some(after)) => (after - before).abs() <= NEWS * before,
            (None, None) => true,
            _ => false,
        };
        (!small).then_some(self)
    }
}
