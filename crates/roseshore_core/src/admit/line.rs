//! The line of one service: its limit, its queue and how fast it drains.

use super::fair::{FairQueue, Item};
use super::limit::Limit;
use super::{OrgIndex, Room, Waiter};
use std::time::{Duration, Instant};

/// Requests that wait at most.
const LONGEST: usize = 1024;
/// A predicted wait beyond this is refused even when the deadline would allow it.
const PATIENCE: Duration = Duration::from_secs(2);
/// Part of a new sample in the mean time inside.
const RATE: f64 = 0.05;

/// The part of requests that take no longer than the time inside that a deadline is held against.
/// A mean would let a few slow targets shut the door to all.
const QUICK: f64 = 0.3;

/// What becomes of one that joins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Joined {
    /// It is in at once.
    In,
    /// It waits, until this time at most; another may have had to make room.
    Waits(Instant, Option<Item>),
    /// It could not make its deadline; the predicted wait.
    Late(Duration),
    /// There is no room to wait; the predicted wait.
    Full(Duration),
}

/// A line.
#[derive(Debug, Default)]
pub struct Line {
    limit: Limit,
    queue: FairQueue,
    inside: usize,
    hold: f64,
    cost: f64,
    quick: f64,
}

impl Line {
    /// Lets a request in, has it wait, or turns it away.
    pub fn join(&mut self, mut item: Item, now: Instant) -> Joined {
        // With nobody inside, nothing would be learned any more: one may always try.
        let service = if self.inside == 0 { Duration::ZERO } else { span(self.quick * item.cost) };
        let Some(latest) = item.latest.checked_sub(service).filter(|latest| *latest > now) else {
            return Joined::Late(Duration::ZERO);
        };
        if self.queue.is_empty() && self.inside < self.limit.value() {
            self.inside += 1;
            return Joined::In;
        }
        let wait = self.wait(item.org, item.share, item.cost);
        if now + wait > latest {
            return Joined::Late(wait);
        }
        if wait > PATIENCE {
            return Joined::Full(wait);
        }
        let mut displaced = None;
        if self.queue.len() >= LONGEST {
            displaced = self.queue.longest(item.org).and_then(|waiter| self.queue.remove(waiter));
            if displaced.is_none() {
                return Joined::Full(wait);
            }
        }
        item.latest = latest;
        self.queue.push(item, now);
        Joined::Waits(latest, displaced)
    }

    /// Takes the next one while there is room.
    pub fn call_next(&mut self) -> Option<Item> {
        if self.inside >= self.limit.value() {
            return None;
        }
        let item = self.queue.pop()?;
        self.inside += 1;
        Some(item)
    }

    /// One that had its turn was not let in after all.
    pub fn cancelled(&mut self) {
        self.inside -= 1;
    }

    /// One that was inside left after `took`.
    pub fn left(&mut self, cost: f64, took: Duration) {
        self.inside -= 1;
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

    /// The predicted wait of a new request of an organisation.
    pub fn wait(&self, org: OrgIndex, share: f64, cost: f64) -> Duration {
        let ahead = self.queue.ahead(org, share) + cost;
        span(ahead * self.pace() / self.limit.value().max(1) as f64)
    }

    /// Fits the limit to the room of the targets.
    pub fn fit(&mut self, room: Room, daemons: f64) {
        self.limit.fit(room, daemons, !self.queue.is_empty());
    }

    /// Whether nobody is inside or waits.
    pub fn idle(&self) -> bool {
        self.inside == 0 && self.queue.is_empty()
    }

    /// Requests inside and waiting.
    pub fn counts(&self) -> (usize, usize) {
        (self.inside, self.queue.len())
    }

    /// Seconds inside of one unit of cost.
    fn pace(&self) -> f64 {
        if self.cost == 0.0 { 0.0 } else { self.hold / self.cost }
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(PATIENCE * 100)
}
