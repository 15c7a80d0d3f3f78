//! Targets that a request is not sent to again.
//!
//! A target that failed a request is avoided for the rest of that request. One that only had no
//! capacity is avoided until its quarantine ends. The first engine of a path is avoided for a short
//! fixed time when a later engine may be the cause of its broken-off answer. In both cases it may
//! be the only engine that holds some layers, so avoiding it for longer would break off streams
//! that it can serve again.

use crate::prelude::*;

/// The targets that one request avoids.
#[derive(Clone, Debug, Default)]
pub struct AvoidedTargets {
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    target: TargetId,
    /// End of the time for which it is avoided; `None` for the rest of the request.
    until: Option<Instant>,
}

impl AvoidedTargets {
    /// Avoids a target until a moment, or for the rest of the request.
    pub fn add(&mut self, target: TargetId, until: Option<Instant>) {
        self.entries.push(Entry { target, until });
    }

    /// Uses a target again: its failure was the fault of a link.
    pub fn remove(&mut self, target: &str) {
        self.entries.retain(|entry| entry.target != target);
    }

    /// The targets that are avoided at `now`; a target that was added twice may occur twice.
    pub fn list(&self, now: Instant) -> Vec<TargetId> {
        let active = self.entries.iter().filter(|it| it.until.is_none_or(|until| now < until));
        active.map(|it| it.target.clone()).collect()
    }
}
