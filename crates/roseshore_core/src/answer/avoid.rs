//! What an answer's next chain should do without.
//!
//! A target that is known to have failed is avoided; when it is not known which stage failed, all
//! stages of the chain are suspects. When the router finds no chain, suspects are relaxed first,
//! then, once per answer, the failed ones too: a target refused for an old incarnation or a full
//! queue may well serve now, and the alternative is to give the answer up.

use crate::ids::*;

/// Targets to avoid.
#[derive(Clone, Debug, Default)]
pub struct AvoidList {
    failed: Vec<TargetId>,
    suspects: Vec<TargetId>,
    relaxed: bool,
}

impl AvoidList {
    /// A target failed.
    pub fn add_failed(&mut self, target: &TargetId) {
        add(&mut self.failed, target);
    }

    /// A target may have failed.
    pub fn add_suspect(&mut self, target: &TargetId) {
        add(&mut self.suspects, target);
    }

    /// All of them.
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

    /// Forgives some; false when there is nothing left to relax.
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
