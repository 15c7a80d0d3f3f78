//! Which targets seem to hold which prompt prefixes.
//!
//! Built from cache events that come late and with gaps, and from own choices. It is a hint: a
//! wrong guess costs time and never correctness. The size is bounded; the oldest prefixes go first.

use crate::load::TargetIndex;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// PrefixIndex kept.
const PREFIXES: usize = 32_768;
/// Targets kept per prefix.
const HOLDERS: usize = 6;
/// Hits given for one prompt.
const HITS: usize = 12;

/// A change of one target's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The prefix is cached.
    Stored {
        /// Its hash.
        hash: u64,
        /// Its tokens.
        tokens: u32,
    },
    /// It is no longer cached.
    Evicted {
        /// Its hash.
        hash: u64,
    },
    /// Nothing is cached any more.
    Cleared,
}

/// A target that seems to hold a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHit {
    /// The target.
    pub row: TargetIndex,
    /// Tokens of the prompt it holds.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    row: TargetIndex,
    generation: u32,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    holders: [Holder; HOLDERS],
    count: usize,
}

/// The index.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    entries: FxHashMap<u64, Entry>,
    order: VecDeque<u64>,
    generations: FxHashMap<TargetIndex, u32>,
}

impl PrefixIndex {
    /// Takes one change.
    pub fn apply(&mut self, row: TargetIndex, change: CacheChange) {
        match change {
            CacheChange::Stored { hash, .. } => self.store(row, hash),
            CacheChange::Evicted { hash } => {
                if let Some(entry) = self.entries.get_mut(&hash) {
                    entry.remove(row);
                }
            }
            // Entries of an earlier generation are void; they need not be looked for.
            CacheChange::Cleared => *self.generations.entry(row).or_default() += 1,
        }
    }

    /// Adds the targets that seem to hold the longest of the growing `prefixes`.
    pub fn find(&self, prefixes: &[(u32, u64)], hits: &mut Vec<PrefixHit>) {
        for &(tokens, hash) in prefixes.iter().rev() {
            let Some(entry) = self.entries.get(&hash) else { continue };
            for holder in &entry.holders[..entry.count] {
                let known = hits.iter().any(|hit| hit.row == holder.row);
                if !known && hits.len() < HITS && holder.generation == self.generation(holder.row) {
                    hits.push(PrefixHit { row: holder.row, tokens });
                }
            }
        }
    }

    /// PrefixIndex kept now.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is kept.
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
        while self.entries.len() >= PREFIXES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.entries.remove(&oldest);
        }
    }
}

impl Entry {
    /// The newest holder stands last; the oldest gives way.
    fn add(&mut self, holder: Holder) {
        self.remove(holder.row);
        if self.count == HOLDERS {
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
