//! The line of one service: its limit, its queue and how fast it drains.

use super::fair::{FairQueue, Item};
use super::limit::Limit;
use super::{Capacity, OrgIndex, WaiterId};
use rustc_hash::FxHashMap;
use std::time::{Duration, Instant};

/// Requests that wait at most.
const MAX_WAITING: usize = 1024;
/// A predicted wait beyond this is refused even when the deadline would allow it.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Part of a new sample in the mean time inside.
const GAIN: f64 = 0.05;

/// The part of requests that take no longer than the time inside that a deadline is held against.
/// A mean would let a few slow targets lock all out.
const SERVICE_QUANTILE: f64 = 0.3;

/// One place in so many is kept free of organisations that have their share already.
const RESERVE_FRACTION: usize = 20;

/// What becomes of one that joins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JoinResult {
    /// It is in at once.
    Admitted,
    /// It waits, until this time at most; another may have been displaced.
    Queued(Instant, Option<Item>),
    /// It could not make its deadline; the predicted wait.
    TooLate(Duration),
    /// There is no room to wait; the predicted wait.
    Full(Duration),
}

/// Who is inside.
#[derive(Debug, Default)]
struct InFlight {
    count: usize,
    orgs: FxHashMap<OrgIndex, OrgInFlight>,
    shares: f64,
}

#[derive(Clone, Copy, Debug)]
struct OrgInFlight {
    count: usize,
    share: f64,
}

impl InFlight {
    /// Whether one more may enter. An organisation that has its share of the places already leaves
    /// a few free, so that the others need not wait for the next one that leaves.
    fn has_room(&self, item: &Item, limit: usize) -> bool {
        let own = self.orgs.get(&item.org);
        let shares = if own.is_some() { self.shares } else { self.shares + item.share };
        let count = own.map_or(0, |own| own.count);
        let over = count as f64 >= limit as f64 * item.share / shares;
        self.count < limit - if over { limit / RESERVE_FRACTION } else { 0 }
    }

    fn enter(&mut self, item: &Item) {
        self.count += 1;
        let own = self.orgs.entry(item.org).or_insert(OrgInFlight { count: 0, share: item.share });
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
pub struct ServiceQueue {
    limit: Limit,
    queue: FairQueue,
    in_flight: InFlight,
    mean_time: f64,
    mean_cost: f64,
    quantile: f64,
}

impl ServiceQueue {
    /// Lets a request in, has it wait, or turns it away.
    pub fn join(&mut self, mut item: Item, now: Instant) -> JoinResult {
        // Without a request in work the estimate would never be renewed, so one is always admitted.
        let service = if self.in_flight.count == 0 {
            Duration::ZERO
        } else {
            duration(self.quantile * item.cost)
        };
        let Some(latest) = item.latest.checked_sub(service).filter(|latest| *latest > now) else {
            return JoinResult::TooLate(Duration::ZERO);
        };
        if self.queue.is_empty() && self.in_flight.has_room(&item, self.limit.value()) {
            self.in_flight.enter(&item);
            return JoinResult::Admitted;
        }
        let wait = self.drain_time(self.queue.work_ahead(&item, now) + item.cost);
        if now + wait > latest {
            return JoinResult::TooLate(wait);
        }
        if wait > MAX_WAIT {
            return JoinResult::Full(wait);
        }
        let mut displaced = None;
        if self.queue.len() >= MAX_WAITING {
            displaced = self.queue.largest_backlog(item.org);
            if displaced.is_none() {
                return JoinResult::Full(wait);
            }
        } else if self.predicted_wait(&item) > MAX_WAIT * 2 {
            // It goes before others of its organisation; the last one's turn is too far now.
            displaced = self.queue.last(item.org);
        }
        let displaced = displaced.and_then(|waiter| self.queue.remove(waiter));
        item.latest = latest;
        self.queue.push(item, now);
        JoinResult::Queued(latest, displaced)
    }

    /// Takes the next one while there is room.
    pub fn call_next(&mut self) -> Option<Item> {
        let limit = self.limit.value();
        if self.in_flight.count >= limit {
            return None;
        }
        let item = self.queue.pop(|item| self.in_flight.has_room(item, limit))?;
        self.in_flight.enter(&item);
        Some(item)
    }

    /// One that had its turn was not let in after all.
    pub fn cancel_turn(&mut self, org: OrgIndex) {
        self.in_flight.leave(org);
    }

    /// One that was inside left after `took`.
    pub fn release(&mut self, org: OrgIndex, cost: f64, took: Duration) {
        self.in_flight.leave(org);
        let took = took.as_secs_f64();
        if self.mean_cost == 0.0 {
            self.mean_time = took;
            self.mean_cost = cost;
            self.quantile = took / cost;
            return;
        }
        let below = took / cost < self.quantile;
        self.quantile *= if below {
            1.0 - GAIN * (1.0 - SERVICE_QUANTILE)
        } else {
            1.0 + GAIN * SERVICE_QUANTILE
        };
        self.mean_time += GAIN * (took - self.mean_time);
        self.mean_cost += GAIN * (cost - self.mean_cost);
    }

    /// Takes one out that no longer waits.
    pub fn remove(&mut self, waiter: WaiterId) -> Option<Item> {
        self.queue.remove(waiter)
    }

    /// The predicted time until an item would have its turn behind all of its organisation.
    pub fn predicted_wait(&self, item: &Item) -> Duration {
        self.drain_time(self.queue.org_work(item) + item.cost)
    }

    /// Fits the limit to the capacity of the targets.
    pub fn update_limit(&mut self, capacity: Capacity, daemons: f64) {
        self.limit.update(capacity, daemons, !self.queue.is_empty());
    }

    /// Whether no request is in work or waits.
    pub fn idle(&self) -> bool {
        self.in_flight.count == 0 && self.queue.is_empty()
    }

    /// Requests inside and waiting.
    pub fn counts(&self) -> (usize, usize) {
        (self.in_flight.count, self.queue.len())
    }

    /// How long the line takes for some work.
    fn drain_time(&self, work: f64) -> Duration {
        let unit = if self.mean_cost == 0.0 { 0.0 } else { self.mean_time / self.mean_cost };
        duration(work * unit / self.limit.value().max(1) as f64)
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT * 100)
}
