//! Targets that an answer's next chain should exclude.
//!
//! A target that is known to have failed is avoided. When it is not known which stage failed, all
//! stages of the chain are suspects. When the router finds no chain, the suspects are allowed again
//! first and then, once per answer, the failed targets too: a target that refused because of an old
//! incarnation or a full queue may accept now, and the alternative is to give the answer up.

use crate::ids::*;

/// Targets that an answer avoids.
#[derive(Clone, Debug, Default)]
pub struct AvoidList {
    failed: Vec<TargetId>,
    suspects: Vec<TargetId>,
    relaxed: bool,
}

impl AvoidList {
    /// Adds a target that is known to have failed.
    pub fn add_failed(&mut self, target: &TargetId) {
        add(&mut self.failed, target);
    }

    /// Adds a target that may have failed.
    pub fn add_suspect(&mut self, target: &TargetId) {
        add(&mut self.suspects, target);
    }

    /// All targets to avoid, failed and suspected.
    pub fn list(&self) -> Vec<TargetId> {
        let mut all = self.failed.clone();
        for target in &self.suspects {
            add(&mut all, target);
        }
        all
    }

    /// Removes all targets. Unlike [`AvoidList::relax`], this is not limited to once per answer.
    pub fn clear(&mut self) {
        self.failed.clear();
        self.suspects.clear();
    }

    /// Allows the suspects again or, if there are none, the failed targets once per answer; `false`
    /// when nothing changed.
    pub fn relax(&mut self) -> bool {
        if !self.suspects.is_empty() {
            self.suspects.clear();
            return true;
        }
        if self.relaxed || self.failed.is_empty() {
            return false;
        }
        self.relaxed = true;
        self.failed.clear();
        true
    }
}

fn add(list: &mut Vec<TargetId>, target: &TargetId) {
    if !list.contains(target) {
        list.push(target.clone());
    }
}
