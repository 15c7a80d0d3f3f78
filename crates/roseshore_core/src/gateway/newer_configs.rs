//! Since when other hosts have had a configuration that this host lacks.
//!
//! Each version has its own time. While the operators change the configuration several times a
//! second, a host may always lack the newest version and still have each of them soon after the
//! others.

use crate::prelude::*;
use std::collections::VecDeque;

/// Number of versions that are kept apart.
const MAX_VERSIONS: usize = 16;

/// Versions that other hosts have and this host lacks, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct NewerConfigs {
    heard: VecDeque<(u64, Instant)>,
}

impl NewerConfigs {
    /// Records the version in force here and the newest version of any live host.
    pub fn update(&mut self, known: u64, newest: u64, now: Instant) {
        self.heard.retain(|(version, _)| *version > known && *version <= newest);
        let last = self.heard.back().map_or(known, |(version, _)| *version);
        if newest <= last {
            return;
        }
        let since = if self.heard.len() < MAX_VERSIONS { None } else { self.heard.pop_back() };
        self.heard.push_back((newest, since.map_or(now, |(_, at)| at)));
    }

    /// Since when this host has lacked the oldest of these versions; `None` if it lacks none.
    pub fn outdated_since(&self) -> Option<Instant> {
        self.heard.front().map(|(_, at)| *at)
    }
}
