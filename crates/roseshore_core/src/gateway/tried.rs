//! The targets that one request was sent to, whose number its route limits.
//!
//! A send whose connection was never established reached no target, so it does not count. An earlier
//! send to the same target still does.

use crate::prelude::*;

/// The targets that one request was sent to.
#[derive(Clone, Debug, Default)]
pub struct TriedTargets {
    /// The target of each send that may have reached it.
    sends: Vec<TargetId>,
}

impl TriedTargets {
    /// Records a send.
    pub fn record(&mut self, target: &TargetId) {
        self.sends.push(target.clone());
    }

    /// Withdraws the latest send to a target, which did not reach it.
    pub fn withdraw(&mut self, target: &TargetId) {
        if let Some(place) = self.sends.iter().rposition(|sent| sent == target) {
            self.sends.remove(place);
        }
    }

    /// The targets, one that got several sends more than once.
    pub fn targets(&self) -> &[TargetId] {
        &self.sends
    }

    /// The number of targets.
    pub fn count(&self) -> usize {
        let first = |(n, id): &(usize, &TargetId)| !self.sends[..*n].contains(id);
        self.sends.iter().enumerate().filter(first).count()
    }
}
