//! The prefix cache and its published events, which may be delayed and have gaps.

use super::settings::EngineSettings;
use super::text::prefix_hash;
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_wire::engine::{CacheEvent, CacheEvents};
use std::collections::{HashMap, VecDeque};

/// The prefix cache of one engine.
pub(super) struct PrefixCache {
    block: u32,
    cap: u64,
    lag: Duration,
    keep: usize,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    clock: u64,
    blocks: HashMap<BlockKey, Block>,
    next: u64,
    events: VecDeque<Published>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BlockKey {
    adapter: Option<AdapterId>,
    hash: u64,
}

struct Block {
    used: u64,
}

struct Published {
    number: u64,
    at: Instant,
    event: CacheEvent,
}

impl PrefixCache {
    pub(super) fn new(settings: &EngineSettings) -> PrefixCache {
        PrefixCache {
            block: settings.cache_block.max(1),
            cap: settings.cache_cap,
            lag: settings.cache_lag,
            keep: settings.cache_keep,
            inner: Mutex::default(),
        }
    }

    /// Inserts a prompt and returns how many of its tokens were already cached.
    pub(super) fn enter(&self, adapter: Option<&AdapterId>, prompt: &[String], lost: bool) -> u32 {
        let mut inner = self.inner.lock();
        let mut cached = 0;
        let mut whole = true;
        for end in (self.block as usize..=prompt.len()).step_by(self.block as usize) {
            let hash = prefix_hash(&prompt[..end]);
            let key = BlockKey { adapter: adapter.cloned(), hash };
            whole &= inner.touch(&key);
            if whole {
                cached = end as u32;
                continue;
            }
            let event = CacheEvent::Stored { hash, tokens: end as u32 };
            inner.publish(event, lost, self.keep);
        }
        while inner.blocks.len() as u64 * u64::from(self.block) > self.cap {
            inner.evict(lost, self.keep);
        }
        cached
    }

    /// Removes all blocks.
    pub(super) fn clear(&self, lost: bool) {
        let mut inner = self.inner.lock();
        inner.blocks.clear();
        inner.publish(CacheEvent::Cleared, lost, self.keep);
    }

    /// The events from number `from` that are old enough to be published, up to the next gap.
    pub(super) fn events(&self, from: u64, now: Instant) -> CacheEvents {
        let inner = self.inner.lock();
        let ripe = |p: &&Published| p.number >= from && now.duration_since(p.at) >= self.lag;
        let mut found = inner.events.iter().filter(ripe).peekable();
        let first = found.peek().map_or(from, |p| p.number);
        let mut next = first;
        let mut events = Vec::new();
        for published in found {
            if published.number != next {
                break;
            }
            events.push(published.event.clone());
            next += 1;
        }
        CacheEvents { first, next, events }
    }
}

impl Inner {
    /// Marks a block as used, inserting it if it is missing; returns whether it was present.
    fn touch(&mut self, key: &BlockKey) -> bool {
        self.clock += 1;
        let used = self.clock;
        self.blocks.insert(key.clone(), Block { used }).is_some()
    }

    // A linear search, which runs only on a full cache of at most a few thousand blocks.
    fn evict(&mut self, lost: bool, keep: usize) {
        let oldest = self.blocks.iter().min_by_key(|(_, block)| block.used);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else { return };
        self.blocks.remove(&key);
        self.publish(CacheEvent::Evicted { hash: key.hash }, lost, keep);
    }

    fn publish(&mut self, event: CacheEvent, lost: bool, keep: usize) {
        let number = self.next;
        self.next += 1;
        if lost {
            return;
        }
        self.events.push_back(Published { number, at: Instant::now(), event });
        if self.events.len() > keep {
            self.events.pop_front();
        }
    }
}
