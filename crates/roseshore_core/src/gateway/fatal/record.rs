//! Records of blocked requests in the store.
//!
//! Hosts keep no state on disk, and heartbeats reach only hosts that are alive and not cut off. So
//! the host that reads the store for the others also keeps a record there for each blocked request.
//! When all hosts were lost at once, or a data centre was cut off from the others, the next reader
//! finds it. Without it, a request that had crashed three targets would crash three more after each
//! such loss.

use super::history::SuspectHistory;
use super::{FatalReport, FatalRequests};
use crate::gateway::fingerprint::Fingerprint;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Record of a blocked request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FatalRecord {
    /// When it was written, in Unix milliseconds: wall-clock time is the only clock that outlasts a
    /// host.
    pub written: u64,
    /// The report at that time.
    pub note: FatalReport,
}

impl FatalRecord {
    /// The report with its ages at the given Unix time in milliseconds. If the wall clock went
    /// back, it is no younger than when it was written.
    pub fn aged(&self, wall: u64) -> FatalReport {
        let since = wall.saturating_sub(self.written);
        let older = |age: u32| u32::try_from(u64::from(age) + since).unwrap_or(u32::MAX);
        let mut note = self.note.clone();
        for crash in &mut note.ends {
            crash.age = older(crash.age);
        }
        for survival in &mut note.survived {
            survival.age = older(survival.age);
        }
        note
    }
}

/// Changes that bring the records up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordDiff {
    /// Records to be written.
    pub missing: Vec<FatalRecord>,
    /// Requests that are no longer blocked, whose records are to be removed.
    pub outdated: Vec<Fingerprint>,
}

impl FatalRequests {
    /// Compares the known requests, including those from the records, with the requests that have a
    /// record. `wall` is the Unix time in milliseconds.
    pub fn record_diff(&self, recorded: &[Fingerprint], wall: u64, now: Instant) -> RecordDiff {
        let blocked = |f: &Fingerprint| self.blocked(*f, now).is_some();
        let outdated = recorded.iter().filter(|f| !blocked(f)).copied().collect();
        let missing = self.suspects.iter().filter(|(f, _)| blocked(f) && !recorded.contains(f));
        let record = |(fingerprint, history): (&Fingerprint, &SuspectHistory)| FatalRecord {
            written: wall,
            note: history.report(*fingerprint, now),
        };
        RecordDiff { missing: missing.map(record).collect(), outdated }
    }
}
