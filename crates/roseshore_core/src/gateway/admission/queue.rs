//! The requests that wait at one host for a place of one service, in order.
//!
//! Begun streams go first, then ranks in order, then callers who return, then organisations in
//! turn. Turns follow start-time fair queueing, as in [`crate::admit::fair`]: each request gets the
//! virtual time at which its organisation's earlier ones are done. That queue only hands out the
//! first request of each organisation; here a request without a place is passed by smaller ones.

use crate::gateway::demand::Rank;
use crate::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Most requests that wait.
const MAX_WAITING: usize = 256;
/// Most bytes of requests that wait.
const MAX_BYTES: usize = 8 << 20;
/// Time for which smaller requests may pass one that finds no place. After it, room is left to grow
/// until the large one fits.
const MAX_PASSING: Duration = Duration::from_millis(50);
/// Requests that are tried in one scan: each try searches a path.
const MAX_TRIES: u32 = 6;
/// Virtual time of one mean request; integers keep the order exact.
const TURN: f64 = 1e6;

/// Id of a waiting request.
pub type WaiterId = u64;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiter {
    /// Id, unique among those that wait.
    pub id: WaiterId,
    /// Whether it is a stream that its caller has a part of.
    pub begun: bool,
    /// Its rank.
    pub rank: Rank,
    /// Whether its caller was refused before.
    pub returned: bool,
    /// Hash of its organisation's name; 0 without organisations.
    pub organisation: u32,
    /// Its size in mean requests.
    pub work: f64,
    /// Memory that it takes while it waits.
    pub bytes: usize,
    /// When it began to wait.
    pub since: Instant,
}

/// The place of a request in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    new_stream: bool,
    rank: Rank,
    new_caller: bool,
    turn: u64,
    number: u64,
}

/// Outcome of joining a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Joined {
    /// It waits.
    Waits,
    /// It waits, and these requests lost their places to it.
    Displaced(Vec<WaiterId>),
    /// All that wait go before it, and the queue is full.
    Full,
}

/// One pass over a queue, from its first request to its last.
#[derive(Clone, Copy, Debug)]
pub struct Scan {
    latest: Option<Place>,
    /// Size of the smallest request that found no place.
    refused_work: f64,
    tries: u32,
    closed: bool,
}

impl Default for Scan {
    fn default() -> Scan {
        Scan { latest: None, refused_work: f64::INFINITY, tries: 0, closed: false }
    }
}

impl Scan {
    /// Records that the latest request found no place. `restricted` tells that it may not use all
    /// targets, so that others may find one.
    pub fn found_none(&mut self, waiter: &Waiter, restricted: bool, now: Instant) {
        if restricted {
            return;
        }
        self.refused_work = self.refused_work.min(waiter.work);
        self.closed |= now >= waiter.since + MAX_PASSING;
    }
}

/// The queue of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiters: BTreeMap<Place, Waiter>,
    places: FxHashMap<WaiterId, Place>,
    /// Virtual time at which each organisation's latest request is done.
    turns: FxHashMap<u32, u64>,
    /// Turn of the latest request that got a place.
    turn: u64,
    next_number: u64,
    bytes: usize,
}

impl Queue {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Memory that the requests take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The requests that wait, in order.
    pub fn waiters(&self) -> impl Iterator<Item = &Waiter> {
        self.waiters.values()
    }

    /// Whether a request waits.
    pub fn contains(&self, id: WaiterId) -> bool {
        self.places.contains_key(&id)
    }

    /// Requests that go before one that joins now.
    pub fn ahead(&self, waiter: &Waiter) -> usize {
        self.waiters.range(..self.place(waiter)).count()
    }

    /// Whether a request that has a place may take it now: nobody before it could use it.
    pub fn may_pass(&self, waiter: &Waiter, now: Instant) -> bool {
        let mut before = self.waiters.range(..self.place(waiter)).map(|(_, other)| other);
        !before.any(|other| other.work <= waiter.work || now >= other.since + MAX_PASSING)
    }

    /// Adds a request, which may displace the last ones of the order.
    pub fn join(&mut self, waiter: Waiter) -> Joined {
        let waiter = Waiter { work: clamp_work(waiter.work), ..waiter };
        let place = self.place(&waiter);
        let mut displaced = Vec::new();
        let (mut count, mut bytes) = (self.len() + 1, self.bytes.saturating_add(waiter.bytes));
        for (_, last) in self.waiters.range(place..).rev() {
            if count <= MAX_WAITING && bytes <= MAX_BYTES {
                break;
            }
            displaced.push(last.id);
            (count, bytes) = (count - 1, bytes - last.bytes);
        }
        if count > MAX_WAITING || bytes > MAX_BYTES {
            return Joined::Full;
        }
        for id in &displaced {
            self.remove(*id);
        }
        self.next_number += 1;
        self.turns.insert(waiter.organisation, place.turn + turn_length(&waiter));
        self.bytes += waiter.bytes;
        self.places.insert(waiter.id, place);
        self.waiters.insert(place, waiter);
        if displaced.is_empty() { Joined::Waits } else { Joined::Displaced(displaced) }
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let place = self.places.remove(&id)?;
        let waiter = self.waiters.remove(&place)?;
        self.bytes -= waiter.bytes;
        if self.waiters.is_empty() {
            // Earlier turns no longer count.
            self.turns.clear();
            self.turn = 0;
        }
        Some(waiter)
    }

    /// Removes a request that got a place, so that its organisation's turn is over.
    pub fn take(&mut self, id: WaiterId) -> Option<Waiter> {
        let turn = self.places.get(&id)?.turn;
        self.turn = self.turn.max(turn);
        self.remove(id)
    }

    /// The next request to try in a scan.
    pub fn next(&self, scan: &mut Scan) -> Option<Waiter> {
        if scan.closed || scan.tries >= MAX_TRIES {
            return None;
        }
        let from = scan.latest.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.waiters.range((from, Bound::Unbounded));
        let (place, waiter) = rest.into_iter().find(|(_, w)| w.work < scan.refused_work)?;
        scan.latest = Some(*place);
        scan.tries += 1;
        Some(*waiter)
    }

    /// The place of a request that joins now.
    fn place(&self, waiter: &Waiter) -> Place {
        let turn = self.turns.get(&waiter.organisation).copied().unwrap_or(0);
        Place {
            new_stream: !waiter.begun,
            rank: waiter.rank,
            new_caller: !waiter.returned,
            turn: turn.max(self.turn),
            number: self.next_number,
        }
    }
}

fn clamp_work(work: f64) -> f64 {
    if work.is_finite() { work.clamp(0.01, 1e3) } else { 1.0 }
}

/// Virtual time that a request takes of its organisation.
fn turn_length(waiter: &Waiter) -> u64 {
    (clamp_work(waiter.work) * TURN) as u64
}
