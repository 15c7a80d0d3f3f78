//! How fast engines really run.
//!
//! An engine that runs slower than published makes every path through it slow, and nothing that passes
//! through a path says which of its engines it is. Each reports its own pace, so the first host of a data
//! centre asks the engines of its own in turn and tells the others.

use super::peers::TargetHash;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Each engine is asked once in this time.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Engines that are asked in one turn at most, so that 1,000 of them do not take the whole host.
pub const MAX_POLLED: usize = 24;
/// What was reported is believed for so long: three questions, of which two may be lost.
const VALIDITY: Duration = Duration::from_secs(3);
/// Bounds of what is believed.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 64.0);
/// A pace that differs from what is published by less than this is not worth a word.
const MIN_DIFFERENCE: f64 = 0.15;

/// What an engine reported, for other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The engine.
    pub target: TargetHash,
    /// How many times slower it runs than published, hundredths.
    pub pace: u16,
    /// How long ago it reported that, ms.
    pub age: u16,
}

/// How many times slower an engine runs than published, and when it said so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePace {
    factor: f64,
    reported_at: Instant,
}

impl EnginePace {
    /// What an engine reported at a moment.
    pub fn reported(factor: f64, reported_at: Instant) -> EnginePace {
        let factor =
            if factor.is_finite() { factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1) } else { 1.0 };
        EnginePace { factor, reported_at }
    }

    /// What another host told; `None` when it is too old.
    pub fn from_report(note: &PaceReport, now: Instant) -> Option<EnginePace> {
        let told = now.checked_sub(Duration::from_millis(u64::from(note.age)))?;
        Some(EnginePace::reported(f64::from(note.pace) / 100.0, told))
            .filter(|pace| pace.is_fresh(now))
    }

    /// Whether it was reported later than another.
    pub fn is_newer(&self, other: Option<EnginePace>) -> bool {
        other.is_none_or(|other| self.reported_at > other.reported_at)
    }

    /// The factor on an engine's published times; 1 when nothing was said of late.
    pub fn factor(&self, now: Instant) -> f64 {
        if self.is_fresh(now) { self.factor } else { 1.0 }
    }

    /// The word for other hosts; `None` for one that is not worth it.
    pub fn report(&self, target: TargetHash, now: Instant) -> Option<PaceReport> {
        let differs = (self.factor - 1.0).abs() >= MIN_DIFFERENCE;
        let age = now.saturating_duration_since(self.reported_at).as_millis() as u16;
        let pace = (self.factor * 100.0).round() as u16;
        (differs && self.is_fresh(now)).then_some(PaceReport { target, pace, age })
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported_at) < VALIDITY
    }
}
