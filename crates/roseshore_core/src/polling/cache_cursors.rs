//! Whose prefix cache is asked for its events next, and from which event on.
//!
//! The events are hints for the router, so they may be late: one engine is asked at a time, the one
//! whose last question is longest ago, and none sooner than a rest after its last question.

use crate::prelude::*;
use std::collections::BTreeMap;

/// How far the events of each engine were read.
#[derive(Debug)]
pub struct CacheCursors {
    rest: Duration,
    engines: BTreeMap<TargetId, Cursor>,
}

#[derive(Debug)]
struct Cursor {
    incarnation: Incarnation,
    next: u64,
    asked: Option<Instant>,
}

impl CacheCursors {
    /// No engine yet; `rest` lies between two questions to one engine.
    pub fn new(rest: Duration) -> CacheCursors {
        CacheCursors { rest, engines: BTreeMap::new() }
    }

    /// Sets the engines that answer, with the number of their life; returns those whose cache is
    /// that of an earlier life, of which nothing is left.
    pub fn set_engines(
        &mut self,
        engines: impl IntoIterator<Item = (TargetId, Incarnation)>,
    ) -> Vec<TargetId> {
        let mut old = std::mem::take(&mut self.engines);
        let mut restarted = Vec::new();
        for (target, incarnation) in engines {
            let mut cursor =
                old.remove(&target).unwrap_or(Cursor { incarnation, next: 0, asked: None });
            if cursor.incarnation != incarnation {
                cursor = Cursor { incarnation, next: 0, asked: cursor.asked };
                restarted.push(target.clone());
            }
            self.engines.insert(target, cursor);
        }
        restarted
    }

    /// The engine to ask now, and the number of the first event wanted.
    pub fn due(&mut self, now: Instant) -> Option<(TargetId, u64)> {
        let (target, cursor) = self.engines.iter_mut().min_by_key(|(_, cursor)| cursor.asked)?;
        let rested = |at| now.saturating_duration_since(at) >= self.rest;
        if !cursor.asked.is_none_or(rested) {
            return None;
        }
        cursor.asked = Some(now);
        Some((target.clone(), cursor.next))
    }

    /// An engine's events were read up to `next`.
    pub fn advance(&mut self, target: &TargetId, next: u64) {
        if let Some(cursor) = self.engines.get_mut(target) {
            cursor.next = next;
        }
    }
}
