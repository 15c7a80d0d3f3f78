//! Actual speed of engines.
//!
//! An engine that runs slower than published slows down every path through it, and the data that
//! passes through a path does not tell which of its engines is at fault. Each engine reports its
//! own pace, so the first host of a data centre polls its engines and informs the other hosts.
//!
//! Polls are limited, so that 1,000 engines do not use up the host. Those that matter for requests
//! are polled in each round, and the rest of the round goes to the others in turn.

use super::hashes::TargetHash;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Interval between batches of polls.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Batches of a round. A round takes a second unless more engines matter than fit.
const BATCHES: usize = 5;
/// Most engines polled in one batch.
const MAX_BATCH: usize = 24;
/// How long a reported pace is valid: three polls, of which two may be lost.
const VALIDITY: Duration = Duration::from_secs(3);
/// Smallest and largest factor that is accepted; others are clamped.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 64.0);
/// Smallest difference from the published pace that is reported to other hosts.
const MIN_DIFFERENCE: f64 = 0.15;

/// Pace that an engine reported, for other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Hash of the engine.
    pub target: TargetHash,
    /// Factor on the published times, in hundredths.
    pub pace: u16,
    /// Time since the engine reported it, in milliseconds.
    pub age: u16,
}

/// Factor by which an engine is slower than published, and when it reported that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EnginePace {
    factor: f64,
    reported_at: Instant,
}

impl EnginePace {
    /// A pace that an engine reported; a factor that is not finite counts as 1.
    pub fn reported(factor: f64, reported_at: Instant) -> EnginePace {
        let factor =
            if factor.is_finite() { factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1) } else { 1.0 };
        EnginePace { factor, reported_at }
    }

    /// A pace reported by another host; `None` if it is too old.
    pub fn from_report(report: &PaceReport, now: Instant) -> Option<EnginePace> {
        let reported_at = now.checked_sub(Duration::from_millis(u64::from(report.age)))?;
        Some(EnginePace::reported(f64::from(report.pace) / 100.0, reported_at))
            .filter(|pace| pace.is_fresh(now))
    }

    /// Whether it was reported later than another one.
    pub fn is_newer(&self, other: Option<EnginePace>) -> bool {
        other.is_none_or(|other| self.reported_at > other.reported_at)
    }

    /// Factor on the engine's published times; 1 without a recent report.
    pub fn factor(&self, now: Instant) -> f64 {
        if self.is_fresh(now) { self.factor } else { 1.0 }
    }

    /// Whether the engine recently reported another pace than the published one.
    pub fn differs(&self, now: Instant) -> bool {
        self.is_fresh(now) && (self.factor - 1.0).abs() >= MIN_DIFFERENCE
    }

    /// Report for other hosts; `None` if it is too old, or differs too little.
    pub fn report(&self, target: TargetHash, now: Instant) -> Option<PaceReport> {
        let age = now.saturating_duration_since(self.reported_at).as_millis() as u16;
        let pace = (self.factor * 100.0).round() as u16;
        self.differs(now).then_some(PaceReport { target, pace, age })
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported_at) < VALIDITY
    }
}

/// An engine that may be polled.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PolledEngine {
    /// Its id.
    pub id: TargetId,
    /// Whether requests run on it, or its pace differed when it was last polled.
    pub matters: bool,
}

/// The rounds in which engines are polled.
#[derive(Clone, Debug, Default)]
pub struct PollRounds {
    queue: VecDeque<TargetId>,
    batch_size: usize,
    /// The last engine that was polled in its turn.
    last_in_turn: Option<TargetId>,
}

impl PollRounds {
    /// Ends the current round.
    pub fn clear(&mut self) {
        self.queue.clear();
    }

    /// The next batch. `engines` is called at the beginning of a round.
    pub fn next_batch(&mut self, engines: impl FnOnce() -> Vec<PolledEngine>) -> Vec<TargetId> {
        if self.queue.is_empty() {
            self.begin(engines());
        }
        let count = self.batch_size.min(self.queue.len());
        self.queue.drain(..count).collect()
    }

    fn begin(&mut self, mut engines: Vec<PolledEngine>) {
        engines.sort();
        let (first, mut others): (Vec<_>, Vec<_>) = engines.into_iter().partition(|e| e.matters);
        let last = self.last_in_turn.take();
        let next = others.partition_point(|e| last.as_ref().is_some_and(|last| e.id <= *last));
        others.rotate_left(next);
        others.truncate((MAX_BATCH * BATCHES).saturating_sub(first.len()));
        self.last_in_turn = others.last().map(|e| e.id.clone()).or(last);
        self.queue = first.into_iter().chain(others).map(|e| e.id).collect();
        self.batch_size = self.queue.len().div_ceil(BATCHES).min(MAX_BATCH);
    }
}
