//! What a target said of its limit, and which of two words is the newer one.
//!
//! Answers do not come in the order in which a target made them: the head of one that waited is older than that of
//! a later request. A named limit counts from when it came, since it may have been made then. That none was named
//! counts from when the request was sent: all that is sure is that it was not before that, and an answer to a request
//! that was sent before the limit was named does not show that the limit has ended.
//!
//! Each word has its origin, a host and a number. Told from host to host a word grows a little younger with each
//! step. So the last word of each origin is kept, as old as its oldest telling, and of words of about the same moment
//! the lowest limit counts: two hosts that took the younger one of two such words would hand each other theirs, and
//! take them, for ever.

use super::super::peers::{LimitReport, TargetHash};
use crate::prelude::*;

/// The least limit that is kept: only an answer shows that a limit of 0 has ended, so it is tried now and then.
const MIN_LIMIT: f64 = 0.2;
/// The highest limit that is kept as one; no target takes as much.
const MAX_LIMIT: f64 = 100_000.0;
/// After a limit has ended, hosts send twice as much with each such time. All of them hear of it within a moment,
/// and what comes back at once may bring the next limit.
const DOUBLING: Duration = Duration::from_millis(500);
/// How long that lasts: 64 times the limit, by then no bound any more.
const RAMP_TIME: Duration = Duration::from_secs(3);

/// Words of about the same moment: a word is on its way between hosts for so long at most, or waits for a
/// heartbeat's turn of a busy host.
const CONCURRENT_WINDOW: Duration = Duration::from_millis(250);
/// How long a word is kept beside a newer one, so that it is known again when it is told once more.
const SUPERSEDED_RETENTION: Duration = Duration::from_secs(2);

/// A target's word on its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Advertisement {
    /// Requests a second from all hosts together, as last named.
    limit: f64,
    /// Whether it names none any more.
    ended: bool,
    /// From when the word counts.
    at: Instant,
    /// The host that heard it from the target, and the number of the word there.
    origin: (u32, u32),
}

impl Advertisement {
    /// A limit named in an answer that came at `at`.
    pub(super) fn limited(limit: f64, at: Instant, origin: (u32, u32)) -> Advertisement {
        let limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
        Advertisement { limit, ended: false, at, origin }
    }

    /// The word of an answer that names no limit, to a request that was sent at `sent`; none where that shows
    /// nothing.
    pub(super) fn ended_by(self, sent: Instant, origin: (u32, u32)) -> Option<Advertisement> {
        let shown = !self.ended && sent >= self.at;
        shown.then_some(Advertisement { ended: true, at: sent, origin, ..self })
    }

    /// A word that another host told; none where it makes no sense.
    pub(super) fn from_report(note: &LimitReport, now: Instant) -> Option<Advertisement> {
        let at = now.checked_sub(Duration::from_millis(u64::from(note.age)))?;
        let limit =
            Some(f64::from(note.limit)).filter(|limit| limit.is_finite() && *limit >= 0.0)?;
        Some(Advertisement { ended: note.ended, ..Advertisement::limited(limit, at, note.origin) })
    }

    /// The word for other hosts.
    pub(super) fn report(&self, target: TargetHash, wanted: u16, now: Instant) -> LimitReport {
        let age = now.saturating_duration_since(self.at).as_millis();
        LimitReport {
            target,
            limit: self.limit as f32,
            ended: self.ended,
            age: u32::try_from(age).unwrap_or(u32::MAX),
            origin: self.origin,
            wanted,
        }
    }

    /// The limit that is named; none once it has ended.
    pub(super) fn named_limit(&self) -> Option<f64> {
        (!self.ended).then_some(self.limit)
    }

    /// Requests a second that all hosts may send now; none for no bound.
    pub(super) fn rate(&self, now: Instant) -> Option<f64> {
        if !self.ended {
            return Some(self.limit);
        }
        let since = now.saturating_duration_since(self.at);
        (since < RAMP_TIME).then(|| self.limit * since.div_duration_f64(DOUBLING).exp2())
    }
}

/// The last words of several origins on one target's limit; never empty.
#[derive(Clone, Debug)]
pub(super) struct Advertisements {
    current: Advertisement,
    all: Vec<Advertisement>,
}

impl Advertisements {
    pub(super) fn new(word: Advertisement) -> Advertisements {
        Advertisements { current: word, all: vec![word] }
    }

    /// The word that counts.
    pub(super) fn current(&self) -> Advertisement {
        self.current
    }

    /// Takes a word.
    pub(super) fn add(&mut self, word: Advertisement) {
        let (host, number) = word.origin;
        match self.all.iter_mut().find(|known| known.origin.0 == host) {
            Some(known) if known.origin.1 == number => known.at = known.at.min(word.at),
            Some(known) if known.origin.1 < number => *known = word,
            Some(_) => {}
            None => self.all.push(word),
        }
        let Some(newest) = self.all.iter().map(|known| known.at).max() else { return };
        self.all.retain(|known| known.at + SUPERSEDED_RETENTION > newest);
        let together = self.all.iter().filter(|known| known.at + CONCURRENT_WINDOW > newest);
        let lowest = |a: &&Advertisement, b: &&Advertisement| {
            let limits = a.limit.total_cmp(&b.limit);
            a.ended.cmp(&b.ended).then(limits).then(a.origin.cmp(&b.origin))
        };
        if let Some(word) = together.min_by(lowest) {
            self.current = *word;
        }
    }
}
