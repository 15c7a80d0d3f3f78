//! Which requests are blocked, as it is kept in the store.
//!
//! Hosts keep nothing, and heartbeats reach only who lives and is not cut off. So the host that reads the
//! store for the others also keeps a record there for each blocked request: when all hosts were lost at once, or
//! a data centre was parted from the others, the next reader finds it. Without it, a request that had ended three
//! targets would end three more after each such loss.

use super::{FatalReport, FatalRequests, RequestHistory};
use crate::gateway::fingerprint::Fingerprint;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// A blocked request in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FatalRecord {
    /// When it was written, Unix milliseconds: the only clock that outlasts a host.
    pub written: u64,
    /// What was known then.
    pub note: FatalReport,
}

impl FatalRecord {
    /// What it tells at a later time. A time of day that went back makes it no younger than when it was
    /// written.
    pub fn aged(&self, wall: u64) -> FatalReport {
        let since = wall.saturating_sub(self.written);
        let older = |age: u32| u32::try_from(u64::from(age) + since).unwrap_or(u32::MAX);
        let mut note = self.note.clone();
        for end in &mut note.ends {
            end.age = older(end.age);
        }
        note.well = note.well.map(older);
        note
    }
}

/// What the records lack.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordDiff {
    /// To be written.
    pub missing: Vec<FatalRecord>,
    /// No longer blocked.
    pub outdated: Vec<Fingerprint>,
}

impl FatalRequests {
    /// Compares what is known, the records' words included, with the requests that have a record.
    pub fn record_diff(&self, recorded: &[Fingerprint], wall: u64, now: Instant) -> RecordDiff {
        let blocked = |f: &Fingerprint| self.blocked(*f, now).is_some();
        let outdated = recorded.iter().filter(|f| !blocked(f)).copied().collect();
        let missing = self.requests.iter().filter(|(f, _)| blocked(f) && !recorded.contains(f));
        let record = |(fingerprint, case): (&Fingerprint, &RequestHistory)| FatalRecord {
            written: wall,
            note: case.report(*fingerprint, now),
        };
        RecordDiff { missing: missing.map(record).collect(), outdated }
    }
}
