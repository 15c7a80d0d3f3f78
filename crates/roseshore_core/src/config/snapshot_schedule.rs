//! Decides when this daemon writes a snapshot.
//!
//! The log keeps records for a limited time, so a snapshot is due after a number of records, and
//! after some time even without new records. The first daemon of each data centre checks the newest
//! snapshot before it writes one, because a daemon elsewhere may have written it.

use crate::ids::*;
use std::time::{Duration, Instant};

/// Settings of a [`SnapshotSchedule`].
#[derive(Clone, Debug)]
pub struct SnapshotLimits {
    /// Number of records after which a snapshot is due.
    pub max_records: Offset,
    /// Age of the newest snapshot at which another one is due; well below the retention of the log.
    pub max_age: Duration,
    /// Delay after a check or a write has failed.
    pub retry_after: Duration,
}

impl Default for SnapshotLimits {
    fn default() -> SnapshotLimits {
        SnapshotLimits {
            max_records: 256,
            max_age: Duration::from_mins(15),
            retry_after: Duration::from_secs(10),
        }
    }
}

/// Next action of a [`SnapshotSchedule`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotAction {
    /// No snapshot is due.
    Nothing,
    /// Read the newest snapshot, then call [`SnapshotSchedule::found`].
    CheckNewest,
    /// Write a snapshot, then call [`SnapshotSchedule::written`].
    Write,
}

/// Schedule of this daemon's snapshots.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    limits: SnapshotLimits,
    newest: Option<(Offset, Instant)>,
    checked: bool,
    retry_at: Instant,
}

impl SnapshotSchedule {
    /// Creates a schedule that knows no snapshot.
    pub fn new(limits: SnapshotLimits, now: Instant) -> SnapshotSchedule {
        SnapshotSchedule { limits, newest: None, checked: false, retry_at: now }
    }

    /// Returns the action for `now`; `first` tells whether this daemon is the first of its data
    /// centre, and `offset` is one past the last record that it has folded.
    pub fn next(&self, now: Instant, first: bool, offset: Offset) -> SnapshotAction {
        if !first || offset == 0 || now < self.retry_at || !self.due(now, offset) {
            return SnapshotAction::Nothing;
        }
        if self.checked { SnapshotAction::Write } else { SnapshotAction::CheckNewest }
    }

    fn due(&self, now: Instant, offset: Offset) -> bool {
        let Some((newest, at)) = self.newest else { return true };
        let behind = offset.saturating_sub(newest);
        behind >= self.limits.max_records || now.duration_since(at) >= self.limits.max_age
    }

    /// Records the offset and age of the newest snapshot; `None` if there is none.
    pub fn found(&mut self, now: Instant, newest: Option<(Offset, Duration)>) {
        self.checked = true;
        let Some((offset, age)) = newest else { return };
        self.newest = now.checked_sub(age).map(|at| (offset, at));
    }

    /// Records that a snapshot of this offset was written.
    pub fn written(&mut self, now: Instant, offset: Offset) {
        self.newest = Some((offset, now));
        self.checked = false;
    }

    /// Records that a check or a write failed.
    pub fn failed(&mut self, now: Instant) {
        self.checked = false;
        self.retry_at = now + self.limits.retry_after;
    }
}
