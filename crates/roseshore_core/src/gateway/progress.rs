//! Which part of a silent path is at fault.
//!
//! A stream that falls silent does not say which of its targets died. Other streams do: a target
//! that brought events a moment ago through another path is alive. What is left is suspected.

use crate::prelude::*;
use std::collections::HashMap;

/// When each target last took part in something that came.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    seen: HashMap<TargetId, Instant>,
}

impl Progress {
    /// Something came through these targets.
    pub fn note<'a>(&mut self, path: impl Iterator<Item = &'a TargetId>, now: Instant) {
        for target in path {
            match self.seen.get_mut(target) {
                Some(at) => *at = now,
                None => drop(self.seen.insert(target.clone(), now)),
            }
        }
    }

    /// The targets of a silent path that nothing has come through since `since`.
    pub fn suspects<'a>(&self, path: &'a [TargetId], since: Instant) -> Vec<&'a TargetId> {
        let quiet = |t: &&TargetId| self.seen.get(*t).is_none_or(|at| *at <= since);
        path.iter().filter(quiet).collect()
    }

    /// Forgets a target that is gone.
    pub fn forget(&mut self, target: &TargetId) {
        self.seen.remove(target);
    }
}
