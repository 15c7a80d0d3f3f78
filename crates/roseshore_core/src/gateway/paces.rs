//! How fast engines really run.
//!
//! An engine that runs slower than published makes every path through it slow, and nothing that passes
//! through a path says which of its engines it is. Each reports its own pace, so the first host of a data
//! centre asks the engines of its own in turn and tells the others.

use super::peers::TargetMark;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Each engine is asked once in this time.
pub const ASK_EVERY: Duration = Duration::from_secs(1);
/// Engines that are asked in one turn at most, so that 1,000 of them do not take the whole host.
pub const MOST_ASKED: usize = 24;
/// What was reported is believed for so long: three questions, of which two may be lost.
const BELIEVED: Duration = Duration::from_secs(3);
/// Bounds of what is believed.
const BOUNDS: (f64, f64) = (0.5, 64.0);
/// A pace that differs from what is published by less than this is not worth a word.
const WORTH_TELLING: f64 = 0.15;

/// What an engine reported, for other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceNote {
    /// The engine.
    pub target: TargetMark,
    /// How many times slower it runs than published, hundredths.
    pub pace: u16,
    /// How long ago it reported that, ms.
    pub age: u16,
}

/// How many times slower an engine runs than published, and when it said so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    factor: f64,
    told: Instant,
}

impl Pace {
    /// What an engine reported at a moment.
    pub fn reported(factor: f64, told: Instant) -> Pace {
        let factor = if factor.is_finite() { factor.clamp(BOUNDS.0, BOUNDS.1) } else { 1.0 };
        Pace { factor, told }
    }

    /// What another host told; `None` when it is too old.
    pub fn heard(note: &PaceNote, now: Instant) -> Option<Pace> {
        let told = now.checked_sub(Duration::from_millis(u64::from(note.age)))?;
        Some(Pace::reported(f64::from(note.pace) / 100.0, told)).filter(|pace| pace.fresh(now))
    }

    /// Whether it was reported later than another.
    pub fn newer(&self, other: Option<Pace>) -> bool {
        other.is_none_or(|other| self.told > other.told)
    }

    /// The factor on an engine's published times; 1 when nothing was said of late.
    pub fn factor(&self, now: Instant) -> f64 {
        if self.fresh(now) { self.factor } else { 1.0 }
    }

    /// The word for other hosts; `None` for one that is not worth it.
    pub fn note(&self, target: TargetMark, now: Instant) -> Option<PaceNote> {
        let differs = (self.factor - 1.0).abs() >= WORTH_TELLING;
        let age = now.saturating_duration_since(self.told).as_millis() as u16;
        let pace = (self.factor * 100.0).round() as u16;
        (differs && self.fresh(now)).then_some(PaceNote { target, pace, age })
    }

    fn fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.told) < BELIEVED
    }
}
