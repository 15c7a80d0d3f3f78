//! The line of one service: its limit, its queue and how fast it drains.

use super::fair::{FairQueue, Item};
use super::limit::Limit;
use super::{Capacity, OrgIndex, Waiter};
use rustc_hash::FxHashMap;
use std::time::{Duration, Instant};

/// Requests that wait at most.
const LONGEST: usize = 1024;
/// A predicted wait beyond this is refused even when the deadline would allow it.
const PATIENCE: Duration = Duration::from_secs(2);
/// Part of a new sample in the mean time inside.
const RATE: f64 = 0.05;

/// The part of requests that take no longer than the time inside that a deadline is held against.
/// A mean would let a few slow targets lock all out.
const QUICK: f64 = 0.3;

/// One place in so many is kept free of organisations that have their share already.
const RESERVE: usize = 20;

/// What becomes of one that joins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Joined {
    /// It is in at once.
    In,
    /// It waits, until this time at most; another may have been displaced.
    Waits(Instant, Option<Item>),
    /// It could not make its deadline; the predicted wait.
    Late(Duration),
    /// There is no room to wait; the predicted wait.
    Full(Duration),
}

/// Who is inside.
#[derive(Debug, Default)]
struct Inside {
    count: usize,
    orgs: FxHashMap<OrgIndex, Present>,
    shares: f64,
}

#[derive(Clone, Copy, Debug)]
struct Present {
    count: usize,
    share: f64,
}

impl Inside {
    /// Whether one more may enter. An organisation that has its share of the places already leaves
    /// a few free, so that the others need not wait for the next one that leaves.
    fn room(&self, item: &Item, limit: usize) -> bool {
        let own = self.orgs.get(&item.org);
        let shares = if own.is_some() { self.shares } else { self.shares + item.share };
        let count = own.map_or(0, |own| own.count);
        let over = count as f64 >= limit as f64 * item.share / shares;
        self.count < limit - if over { limit / RESERVE } else { 0 }
    }

    fn enter(&mut self, item: &Item) {
        self.count += 1;
        let own = self.orgs.entry(item.org).or_insert(Present { count: 0, share: item.share });
        if own.count == 0 {
            self.shares += own.share;
        }
        own.count += 1;
    }

    fn leave(&mut self, org: OrgIndex) {
        self.count -= 1;
        let Some(own) = self.orgs.get_mut(&org) else { return };
        own.count -= 1;
        if own.count == 0 {
            self.shares = (self.shares - own.share).max(0.0);
            self.orgs.remove(&org);
        }
    }
}

/// A line.
#[derive(Debug, Default)]
pub struct Line {
    limit: Limit,
    queue: FairQueue,
    inside: Inside,
    hold: f64,
    cost: f64,
    quick: f64,
}

impl Line {
    /// Lets a request in, has it wait, or turns it away.
    pub fn join(&mut self, mut item: Item, now: Instant) -> Joined {
        // Without a request in work the estimate would never be renewed, so one is always admitted.
        let service =
            if self.inside.count == 0 { Duration::ZERO } else { span(self.quick * item.cost) };
        let Some(latest) = item.latest.checked_sub(service).filter(|latest| *latest > now) else {
            return Joined::Late(Duration::ZERO);
        };
        if self.queue.is_empty() && self.inside.room(&item, self.limit.value()) {
            self.inside.enter(&item);
            return Joined::In;
        }
        let wait = self.pass(self.queue.ahead(&item, now) + item.cost);
        if now + wait > latest {
            return Joined::Late(wait);
        }
        if wait > PATIENCE {
            return Joined::Full(wait);
        }
        let mut displaced = None;
        if self.queue.len() >= LONGEST {
            displaced = self.queue.longest(item.org);
            if displaced.is_none() {
                return Joined::Full(wait);
            }
        } else if self.wait(&item) > PATIENCE * 2 {
            // It goes before others of its organisation; the last one's turn is too far now.
            displaced = self.queue.last(item.org);
        }
        let displaced = displaced.and_then(|waiter| self.queue.remove(waiter));
        item.latest = latest;
        self.queue.push(item, now);
        Joined::Waits(latest, displaced)
    }

    /// Takes the next one while there is room.
    pub fn call_next(&mut self) -> Option<Item> {
        let limit = self.limit.value();
        if self.inside.count >= limit {
            return None;
        }
        let item = self.queue.pop(|item| self.inside.room(item, limit))?;
        self.inside.enter(&item);
        Some(item)
    }

    /// One that had its turn was not let in after all.
    pub fn cancelled(&mut self, org: OrgIndex) {
        self.inside.leave(org);
    }

    /// One that was inside left after `took`.
    pub fn left(&mut self, org: OrgIndex, cost: f64, took: Duration) {
        self.inside.leave(org);
        let took = took.as_secs_f64();
        if self.cost == 0.0 {
            self.hold = took;
            self.cost = cost;
            self.quick = took / cost;
            return;
        }
        let below = took / cost < self.quick;
        self.quick *= if below { 1.0 - RATE * (1.0 - QUICK) } else { 1.0 + RATE * QUICK };
        self.hold += RATE * (took - self.hold);
        self.cost += RATE * (cost - self.cost);
    }

    /// Takes one out that no longer waits.
    pub fn remove(&mut self, waiter: Waiter) -> Option<Item> {
        self.queue.remove(waiter)
    }

    /// The predicted time until an item would have its turn behind all of its organisation.
    pub fn wait(&self, item: &Item) -> Duration {
        self.pass(self.queue.all(item) + item.cost)
    }

    /// Fits the limit to the capacity of the targets.
    pub fn fit(&mut self, capacity: Capacity, daemons: f64) {
        self.limit.fit(capacity, daemons, !self.queue.is_empty());
    }

    /// Whether no request is in work or waits.
    pub fn idle(&self) -> bool {
        self.inside.count == 0 && self.queue.is_empty()
    }

    /// Requests inside and waiting.
    pub fn counts(&self) -> (usize, usize) {
        (self.inside.count, self.queue.len())
    }

    /// How long the line takes for some work.
    fn pass(&self, work: f64) -> Duration {
        let unit = if self.cost == 0.0 { 0.0 } else { self.hold / self.cost };
        span(work * unit / self.limit.value().max(1) as f64)
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(PATIENCE * 100)
}
