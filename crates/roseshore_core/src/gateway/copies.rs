//! What one host has read of the store, handed to another that has read less.
//!
//! A heartbeat shows that a host has a newer configuration, or a list of targets that differs. A copy
//! of that is nearer than the store, costs it nothing, and is to be had when the store is down
//! or turns this host away. One copy is asked for at a time; after one that failed the store is
//! read, as if there were no neighbours.

use super::targets::TargetRecord;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// For a copy to come: some milliseconds between data centres, and a busy host.
pub const COPY_TIME: Duration = Duration::from_millis(400);
/// No copy is asked for so long after one that failed: the store is read in the meantime.
const AFTER_FAILURE: Duration = Duration::from_secs(1);

/// Asks a host for what it has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRequest {
    /// The version of the configuration that is known; 0 for none.
    pub config: u64,
    /// The next offset of the list of targets; 0 before it was read.
    pub list: Offset,
}

/// What a host has read beyond a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCopy {
    /// The configuration as it stands in the store.
    pub config: Option<Vec<u8>>,
    /// The list of targets.
    pub list: Option<ListCopy>,
}

/// The list of targets as a host has read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListCopy {
    /// The offset to read next.
    pub next: Offset,
    /// The targets that are listed.
    pub records: Vec<TargetRecord>,
    /// For so long, entries that dropped out may be live targets' whose heartbeats lapsed while the
    /// store was away, ms.
    pub lapse: u64,
}

/// Whether a copy may be asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Copies {
    /// When the one that is under way is given up.
    until: Option<Instant>,
    failed: Option<Instant>,
}

impl Copies {
    /// Whether a copy may be asked for now; if so, it counts as under way. Returns when it is to be
    /// given up.
    pub fn ask(&mut self, now: Instant) -> Option<Instant> {
        let lately = |at| now.saturating_duration_since(at) < AFTER_FAILURE;
        if self.until.is_some() || self.failed.is_some_and(lately) {
            return None;
        }
        self.until = Some(now + COPY_TIME);
        self.until
    }

    /// Whether one is under way.
    pub fn under_way(&self) -> bool {
        self.until.is_some()
    }

    /// The one under way came, or failed.
    pub fn ended(&mut self, came: bool, now: Instant) {
        self.until = None;
        self.failed = if came { None } else { Some(now) };
    }
}
