//! Which engine to ask next for the events of its prefix cache, and from which event on.
//!
//! The events are hints for the router and may be late. So only one engine is asked at a time: the
//! one that was last asked the longest ago, and not before a minimum interval has passed.

use crate::prelude::*;
use std::collections::BTreeMap;

/// The position up to which each engine's events have been read.
#[derive(Debug)]
pub struct CacheCursors {
    min_interval: Duration,
    engines: BTreeMap<TargetId, Cursor>,
}

#[derive(Debug)]
struct Cursor {
    incarnation: Incarnation,
    next: u64,
    asked_at: Option<Instant>,
}

impl CacheCursors {
    /// A state without engines. `min_interval` is the least time between two reads from one engine.
    pub fn new(min_interval: Duration) -> CacheCursors {
        CacheCursors { min_interval, engines: BTreeMap::new() }
    }

    /// Sets the engines that answer, with their incarnations. Returns those that have restarted,
    /// whose earlier cache contents are gone.
    pub fn set_engines(
        &mut self,
        engines: impl IntoIterator<Item = (TargetId, Incarnation)>,
    ) -> Vec<TargetId> {
        let mut previous = std::mem::take(&mut self.engines);
        let mut restarted = Vec::new();
        for (target, incarnation) in engines {
            let mut cursor =
                previous.remove(&target).unwrap_or(Cursor { incarnation, next: 0, asked_at: None });
            if cursor.incarnation != incarnation {
                cursor = Cursor { incarnation, next: 0, asked_at: cursor.asked_at };
                restarted.push(target.clone());
            }
            self.engines.insert(target, cursor);
        }
        restarted
    }

    /// The engine to ask now, and the number of the first event to read; `None` if none is due.
    pub fn due(&mut self, now: Instant) -> Option<(TargetId, u64)> {
        let (target, cursor) = self.engines.iter_mut().min_by_key(|(_, cursor)| cursor.asked_at)?;
        let interval_passed = |at| now.saturating_duration_since(at) >= self.min_interval;
        if !cursor.asked_at.is_none_or(interval_passed) {
            return None;
        }
        cursor.asked_at = Some(now);
        Some((target.clone(), cursor.next))
    }

    /// Records that an engine's events have been read up to, but not including, `next`.
    pub fn advance(&mut self, target: &TargetId, next: u64) {
        if let Some(cursor) = self.engines.get_mut(target) {
            cursor.next = next;
        }
    }
}
