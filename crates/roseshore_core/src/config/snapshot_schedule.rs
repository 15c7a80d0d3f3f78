//! Who writes a snapshot, and when.
//!
//! The log keeps records for a limited time, so a snapshot is due after some records, and also
//! after some time without any. The first daemon of each data centre looks at the newest snapshot
//! before it writes one, since another may have done so.

use crate::ids::*;
use std::time::{Duration, Instant};

/// The settings of a [`SnapshotSchedule`].
#[derive(Clone, Debug)]
pub struct SnapshotLimits {
    /// A snapshot is due after so many records.
    pub records: Offset,
    /// A snapshot is due after so long; well below the log's retention.
    pub age: Duration,
    /// The pause after a look or a write that failed.
    pub pause: Duration,
}

impl Default for SnapshotLimits {
    fn default() -> SnapshotLimits {
        SnapshotLimits {
            records: 256,
            age: Duration::from_mins(15),
            pause: Duration::from_secs(10),
        }
    }
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotAction {
    /// Nothing is due.
    Nothing,
    /// Look at the newest snapshot, then tell [`SnapshotSchedule::found`].
    Look,
    /// Write a snapshot.
    Write,
}

/// When this daemon writes a snapshot.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    limits: SnapshotLimits,
    newest: Option<(Offset, Instant)>,
    looked: bool,
    quiet: Instant,
}

impl SnapshotSchedule {
    /// A keeper that knows of no snapshot.
    pub fn new(limits: SnapshotLimits, now: Instant) -> SnapshotSchedule {
        SnapshotSchedule { limits, newest: None, looked: false, quiet: now }
    }

    /// What to do now, as the `first` daemon of the data centre or not, with so much folded.
    pub fn next(&self, now: Instant, first: bool, offset: Offset) -> SnapshotAction {
        if !first || offset == 0 || now < self.quiet || !self.due(now, offset) {
            return SnapshotAction::Nothing;
        }
        if self.looked { SnapshotAction::Write } else { SnapshotAction::Look }
    }

    fn due(&self, now: Instant, offset: Offset) -> bool {
        let Some((newest, at)) = self.newest else { return true };
        let behind = offset.saturating_sub(newest);
        behind >= self.limits.records || now.duration_since(at) >= self.limits.age
    }

    /// A look found a snapshot of this offset and age, or none.
    pub fn found(&mut self, now: Instant, newest: Option<(Offset, Duration)>) {
        self.looked = true;
        let Some((offset, age)) = newest else { return };
        self.newest = now.checked_sub(age).map(|at| (offset, at));
    }

    /// A snapshot of this offset was written.
    pub fn written(&mut self, now: Instant, offset: Offset) {
        self.newest = Some((offset, now));
        self.looked = false;
    }

    /// A look or a write failed.
    pub fn failed(&mut self, now: Instant) {
        self.looked = false;
        self.quiet = now + self.limits.pause;
    }
}
