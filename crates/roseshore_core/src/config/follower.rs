//! Folds records in order, whatever order they arrive in.

use super::snapshot::Snapshot;
use super::state::{FoldedRecord, State};
use crate::ids::*;
use std::collections::BTreeMap;

/// Largest number of records that wait for earlier ones to arrive.
pub const MAX_WAITING: usize = 4096;

/// Folded state with the records that wait for earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    state: State,
    waiting: BTreeMap<Offset, String>,
}

impl Follower {
    /// State after the records folded so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether records wait for earlier ones that are missing.
    pub fn gap(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds one record, and returns the results of the records folded because of it.
    pub fn take(&mut self, offset: Offset, data: &str) -> Vec<FoldedRecord> {
        if offset < self.state.offset() {
            return Vec::new();
        }
        if offset > self.state.offset() {
            self.buffer(offset, data);
            return Vec::new();
        }
        let mut out: Vec<FoldedRecord> = self.state.fold(offset, data).into_iter().collect();
        self.fold_waiting(&mut out);
        out
    }

    /// Advances to a snapshot; one at the current offset or an earlier one is ignored.
    ///
    /// Returns the results of the waiting records folded after it, or `None` if the snapshot was
    /// ignored.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Option<Vec<FoldedRecord>> {
        let state = snapshot.state();
        if state.offset() <= self.state.offset() {
            return None;
        }
        self.state = state.clone();
        self.waiting = self.waiting.split_off(&self.state.offset());
        let mut out = Vec::new();
        self.fold_waiting(&mut out);
        Some(out)
    }

    fn fold_waiting(&mut self, out: &mut Vec<FoldedRecord>) {
        while let Some(data) = self.waiting.remove(&self.state.offset()) {
            out.extend(self.state.fold(self.state.offset(), &data));
        }
    }

    fn buffer(&mut self, offset: Offset, data: &str) {
        self.waiting.entry(offset).or_insert_with(|| data.to_owned());
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_last();
        }
    }
}
