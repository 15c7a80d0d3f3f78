//! Queue of one service, with its concurrency limit and an estimate of how fast it drains.

use super::fair::{FairQueue, Item};
use super::limit::Limit;
use super::{Capacity, OrgIndex, WaiterId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 1024;
/// Maximum predicted wait; a request that would wait longer is refused even if its deadline allows
/// it.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Weight of a new sample in the estimates.
const GAIN: f64 = 0.05;

/// Quantile of the time that a request takes which is assumed when a deadline is checked. With the
/// mean, a few slow targets would cause all requests to be refused.
const SERVICE_QUANTILE: f64 = 0.3;
/// Number of ended requests from which that quantile is taken.
const SAMPLES: usize = 32;

/// One slot in this many is reserved for organisations that have not used their share.
const RESERVE_DIVISOR: usize = 20;

/// Outcome of joining the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JoinResult {
    /// Admitted at once.
    Admitted,
    /// Queued until this time at most; may have displaced another request.
    Queued(Instant, Option<Item>),
    /// The deadline cannot be met; holds the predicted wait.
    TooLate(Duration),
    /// The queue is full; holds the predicted wait.
    Full(Duration),
}

/// Requests in flight, by organisation.
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
    /// Whether one more request may be admitted. An organisation that already uses its share leaves
    /// a few slots free, so that the others need not wait for a request to finish.
    fn has_room(&self, item: &Item, limit: usize) -> bool {
        let own = self.orgs.get(&item.org);
        let shares = if own.is_some() { self.shares } else { self.shares + item.share };
        let count = own.map_or(0, |own| own.count);
        let over = count as f64 >= limit as f64 * item.share / shares;
        self.count < limit - if over { limit / RESERVE_DIVISOR } else { 0 }
    }

    fn add(&mut self, item: &Item) {
        self.count += 1;
        let own = self.orgs.entry(item.org).or_insert(OrgInFlight { count: 0, share: item.share });
        if own.count == 0 {
            self.shares += own.share;
        }
        own.count += 1;
    }

    fn remove(&mut self, org: OrgIndex) {
        self.count -= 1;
        let Some(own) = self.orgs.get_mut(&org) else { return };
        own.count -= 1;
        if own.count == 0 {
            self.shares = (self.shares - own.share).max(0.0);
            self.orgs.remove(&org);
        }
    }
}

/// Queue of one service.
#[derive(Debug, Default)]
pub struct ServiceQueue {
    limit: Limit,
    queue: FairQueue,
    in_flight: InFlight,
    mean_time: f64,
    mean_cost: f64,
    ended: VecDeque<EndedRequest>,
}

/// Cost of a request that has ended, and the seconds that it took.
#[derive(Clone, Copy, Debug)]
struct EndedRequest {
    cost: f64,
    took: f64,
}

impl ServiceQueue {
    /// Admits a request, queues it, or turns it away.
    pub fn join(&mut self, mut item: Item, now: Instant) -> JoinResult {
        // With nothing in flight the estimate would never be updated, so it is not applied then.
        let service_time =
            if self.in_flight.count == 0 { Duration::ZERO } else { self.service_time(item.cost) };
        let Some(latest) = item.latest.checked_sub(service_time).filter(|latest| *latest > now)
        else {
            return JoinResult::TooLate(Duration::ZERO);
        };
        if self.queue.is_empty() && self.in_flight.has_room(&item, self.limit.value()) {
            self.in_flight.add(&item);
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
            // The request goes ahead of others of its organisation, so the last one would now wait
            // too long.
            displaced = self.queue.last(item.org);
        }
        let displaced = displaced.and_then(|waiter| self.queue.remove(waiter));
        item.latest = latest;
        self.queue.push(item, now);
        JoinResult::Queued(latest, displaced)
    }

    /// Dequeues and counts the next request if there is a free slot.
    pub fn dequeue(&mut self) -> Option<Item> {
        let limit = self.limit.value();
        if self.in_flight.count >= limit {
            return None;
        }
        let item = self.queue.pop(|item| self.in_flight.has_room(item, limit))?;
        self.in_flight.add(&item);
        Some(item)
    }

    /// Frees the slot of a dequeued request that was not admitted after all.
    pub fn cancel(&mut self, org: OrgIndex) {
        self.in_flight.remove(org);
    }

    /// Frees the slot of a request that ended after `took`.
    pub fn release(&mut self, org: OrgIndex, cost: f64, took: Duration) {
        self.in_flight.remove(org);
        let took = took.as_secs_f64();
        self.ended.truncate(SAMPLES - 1);
        self.ended.push_front(EndedRequest { cost, took });
        if self.mean_cost == 0.0 {
            self.mean_time = took;
            self.mean_cost = cost;
            return;
        }
        self.mean_time += GAIN * (took - self.mean_time);
        self.mean_cost += GAIN * (cost - self.mean_cost);
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, waiter: WaiterId) -> Option<Item> {
        self.queue.remove(waiter)
    }

    /// Predicted wait of a request behind all others of its organisation.
    pub fn predicted_wait(&self, item: &Item) -> Duration {
        self.drain_time(self.queue.org_work(item) + item.cost)
    }

    /// Adjusts the limit to the capacity of the targets.
    pub fn update_limit(&mut self, capacity: Capacity, daemons: f64) {
        self.limit.update(capacity, daemons, !self.queue.is_empty());
    }

    /// Whether no request is in flight or waiting.
    pub fn idle(&self) -> bool {
        self.in_flight.count == 0 && self.queue.is_empty()
    }

    /// Number of requests in flight and waiting.
    pub fn counts(&self) -> (usize, usize) {
        (self.in_flight.count, self.queue.len())
    }

    /// Time that a request takes at least, as far as is known.
    ///
    /// A request is assumed to take no longer than one of less cost did: much of the time of a small
    /// request does not grow with its cost, so that multiples of it refuse large ones that could be
    /// served in time, and refused requests never correct the estimate.
    fn service_time(&self, cost: f64) -> Duration {
        let scaled = |it: &EndedRequest| it.took * (cost / it.cost).min(1.0);
        let mut times: Vec<f64> = self.ended.iter().map(scaled).collect();
        if times.is_empty() {
            return Duration::ZERO;
        }
        let index = (times.len() as f64 * SERVICE_QUANTILE) as usize;
        duration(*times.select_nth_unstable_by(index, f64::total_cmp).1)
    }

    /// Predicted time in which the service completes `work` units of cost.
    fn drain_time(&self, work: f64) -> Duration {
        let unit = if self.mean_cost == 0.0 { 0.0 } else { self.mean_time / self.mean_cost };
        duration(work * unit / self.limit.value().max(1) as f64)
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT * 100)
}
