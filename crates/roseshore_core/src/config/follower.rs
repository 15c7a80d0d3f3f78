//! Folding records in order, however they arrive.

use super::snapshot::Snapshot;
use super::state::{Folded, State};
use crate::ids::*;
use std::collections::BTreeMap;

/// The most records that wait for a hole before them to be filled.
pub const MAX_WAITING: usize = 4096;

/// A state with the records that wait for their turn.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    state: State,
    waiting: BTreeMap<Offset, String>,
}

impl Follower {
    /// The state so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether records wait for a hole before them.
    pub fn gap(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes one record; what can be folded is, in order.
    pub fn take(&mut self, offset: Offset, data: &str) -> Vec<Folded> {
        if offset < self.state.offset() {
            return Vec::new();
        }
        if offset > self.state.offset() {
            self.wait(offset, data);
            return Vec::new();
        }
        let mut out: Vec<Folded> = self.state.fold(offset, data).into_iter().collect();
        self.drain(&mut out);
        out
    }

    /// Goes forward to a snapshot; an older one, or one of the same place, is ignored.
    ///
    /// Returns whether it was taken, and what the waiting records behind it did.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Option<Vec<Folded>> {
        let state = snapshot.state();
        if state.offset() <= self.state.offset() {
            return None;
        }
        self.state = state.clone();
        self.waiting = self.waiting.split_off(&self.state.offset());
        let mut out = Vec::new();
        self.drain(&mut out);
        Some(out)
    }

    fn drain(&mut self, out: &mut Vec<Folded>) {
        while let Some(data) = self.waiting.remove(&self.state.offset()) {
            out.extend(self.state.fold(self.state.offset(), &data));
        }
    }

    fn wait(&mut self, offset: Offset, data: &str) {
        self.waiting.entry(offset).or_insert_with(|| data.to_owned());
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_last();
        }
    }
}
