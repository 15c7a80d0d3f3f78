//! Index of the targets that probably have a prompt prefix cached.
//!
//! It is built from cache events, which arrive late and with gaps, and from this daemon's own
//! selections. It is only a hint: a wrong guess costs time but never correctness. Its size is
//! bounded; the oldest prefixes are evicted first.

use crate::load::TargetIndex;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Maximum number of prefixes in the index.
const MAX_PREFIXES: usize = 32_768;
/// Maximum number of targets kept per prefix.
const MAX_HOLDERS: usize = 6;
/// Maximum number of hits returned for one prompt.
const MAX_HITS: usize = 12;

/// A change of one target's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A prefix was cached.
    Stored {
        /// Hash of the prefix.
        hash: u64,
        /// Length of the prefix in tokens.
        tokens: u32,
    },
    /// A prefix was evicted.
    Evicted {
        /// Hash of the prefix.
        hash: u64,
    },
    /// The whole cache was cleared.
    Cleared,
}

/// A target that probably has a prefix of the prompt cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHit {
    /// Index of the target's row in the load table.
    pub row: TargetIndex,
    /// Number of prompt tokens cached.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    row: TargetIndex,
    generation: u32,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    holders: [Holder; MAX_HOLDERS],
    count: usize,
}

/// Maps prefix hashes to the targets that probably hold them.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    entries: FxHashMap<u64, Entry>,
    order: VecDeque<u64>,
    generations: FxHashMap<TargetIndex, u32>,
}

impl PrefixIndex {
    /// Applies one cache change of a target.
    pub fn apply(&mut self, row: TargetIndex, change: CacheChange) {
        match change {
            CacheChange::Stored { hash, .. } => self.store(row, hash),
            CacheChange::Evicted { hash } => {
                if let Some(entry) = self.entries.get_mut(&hash) {
                    entry.remove(row);
                }
            }
            // Entries of an earlier generation are ignored on lookup, so none need to be removed
            // here.
            CacheChange::Cleared => *self.generations.entry(row).or_default() += 1,
        }
    }

    /// Adds the targets that probably hold one of the `prefixes`, those with the longest prefix
    /// first.
    pub fn find(&self, prefixes: &[(u32, u64)], hits: &mut Vec<PrefixHit>) {
        for &(tokens, hash) in prefixes.iter().rev() {
            let Some(entry) = self.entries.get(&hash) else { continue };
            for holder in &entry.holders[..entry.count] {
                let known = hits.iter().any(|hit| hit.row == holder.row);
                if !known
                    && hits.len() < MAX_HITS
                    && holder.generation == self.generation(holder.row)
                {
                    hits.push(PrefixHit { row: holder.row, tokens });
                }
            }
        }
    }

    /// Number of prefixes in the index.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn generation(&self, row: TargetIndex) -> u32 {
        self.generations.get(&row).copied().unwrap_or_default()
    }

    fn store(&mut self, row: TargetIndex, hash: u64) {
        let generation = self.generation(row);
        if !self.entries.contains_key(&hash) {
            self.make_room();
            self.order.push_back(hash);
        }
        self.entries.entry(hash).or_default().add(Holder { row, generation });
    }

    fn make_room(&mut self) {
        while self.entries.len() >= MAX_PREFIXES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.entries.remove(&oldest);
        }
    }
}

impl Entry {
    /// Appends the newest holder; the oldest one is dropped when the entry is full.
    fn add(&mut self, holder: Holder) {
        self.remove(holder.row);
        if self.count == MAX_HOLDERS {
            self.holders.copy_within(1.., 0);
            self.count -= 1;
        }
        self.holders[self.count] = holder;
        self.count += 1;
    }

    fn remove(&mut self, row: TargetIndex) {
        if let Some(at) = self.holders[..self.count].iter().position(|h| h.row == row) {
            self.holders.copy_within(at + 1..self.count, at);
            self.count -= 1;
        }
    }
}
