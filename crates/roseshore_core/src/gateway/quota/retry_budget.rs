//! How many sends may be retries.
//!
//! The operators bound the retries of each service for all hosts together: a ratio of the requests
//! in a window, plus a slack. Hosts may lose touch with each other, or start again, at any time, so
//! the bound holds without any report of what other hosts have retried. Each host has a share: the
//! ratio of its own requests, and its part of the slack. The shares add up to most of the bound; the
//! rest is in reserve. In no window is more of a share used than all of it, and what its next holder
//! may use.
//!
//! An engine's failure hits a few hosts within milliseconds, so a host keeps only a part of its
//! share for itself. The lenders of its data centre hold the rest in a pool, from which its hosts,
//! and lenders of other data centres, borrow retries as they need them
//! ([`retry_loans`](super::retry_loans)). A lender counts what it lends, so a loan that is lost on
//! the way is only wasted.
//!
//! Retries count from when they arrive, which may be long after they were made
//! ([`pending_retries`](super::pending_retries)). The lender of a borrowed one counts it from when it
//! was lent; what is missing then is counted by the host that made it.
//!
//! A share may change hands: a host starts again, loses its lenders and becomes its own, or a
//! lender takes the place of another. What the former holder used of it is unknown. So the new
//! holder uses only a small part of it, taken from the reserve, until the window in which the former
//! one may have used it has passed.

use super::pending_retries::CountedRetry;
use crate::gateway::progress::RetrySupply;
use crate::prelude::*;
use std::collections::VecDeque;

/// Part of the bound that is shared out; the rest is the reserve for shares that change hands.
const SHARED_PART: f64 = 0.84;
/// Holders that a share may have one after the other within a window: hosts do not start, and lenders
/// do not change, more often.
const MAX_HOLDERS: f64 = 4.0;
/// Part of a share that all its holders within a window, but the first, may use together.
const EARLY_PART: f64 = (1.0 - SHARED_PART) / SHARED_PART;
/// Part of a share that a new holder may use at once, so that a host that has just started can send
/// a request again.
const PART_AT_ONCE: f64 = EARLY_PART / 2.0 / MAX_HOLDERS;
/// Part of a share that a new holder gains little by little within its first window.
const GRADUAL_PART: f64 = EARLY_PART / 2.0;
/// Part of a host's share that it keeps for itself; the rest goes to the pool of its data centre.
const LOCAL_PART: f64 = 0.1;
/// Largest part of a pool that one loan to another lender takes.
const MAX_LENDER_LOAN: f64 = 0.5;
/// How long a host keeps borrowed retries that it does not use. The sends that wait for them use
/// them at once.
const LOAN_VALIDITY: Duration = Duration::from_millis(200);
/// Time from the decision for a retry, or a loan, to its arrival at a target. Retries count for so
/// much longer than the window.
const DELIVERY_TIME: Duration = LOAN_VALIDITY;
/// How long a lender uses its pool after it was last confirmed.
const POOL_VALIDITY: Duration = Duration::from_secs(1);

/// Time for which a retry counts, given the window of the bound.
pub fn counted_time(window: Duration) -> Duration {
    window + DELIVERY_TIME
}

/// How much of a retry budget is spent, as seen by one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests of this host.
    pub requests: usize,
    /// Hosts among which the slack is divided.
    pub hosts: usize,
    /// Retries of this host that still count.
    pub made: usize,
    /// How many of these it may make of the part of its share that it keeps.
    pub local: f64,
    /// Retries that this host has lent and that still count.
    pub lent: usize,
    /// How many retries this host may lend; it may also make them itself.
    pub pool: f64,
    /// Borrowed retries that are not used yet.
    pub borrowed: usize,
    /// Borrowed retries that arrived so late that their lenders no longer count them.
    pub late: usize,
}

impl RetryUsage {
    /// How many retries this host may make and lend in a window.
    pub fn allowed(&self) -> f64 {
        self.local + self.pool
    }

    /// How many more retries this host may make of its own.
    fn left(&self) -> f64 {
        self.allowed() - (self.made + self.lent + self.late) as f64
    }
}

/// The pooled shares that a lender holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Since when it holds its own share.
    pub own_since: Instant,
    /// For each other host, since when its share is held, and the requests that it counted.
    pub members: Vec<(Instant, u32)>,
    /// Lenders among which the pool is divided.
    pub lenders: usize,
}

/// Where a loan goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Borrower {
    /// To a host of the own data centre.
    Near,
    /// To another lender of the own data centre.
    NearLender,
    /// To a lender of another data centre.
    Remote,
}

/// The retry budget of one service, as seen by one host.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// Since when this process holds its share; an earlier one may have used it.
    held_since: Instant,
    /// When each request within the window came.
    requests: VecDeque<Instant>,
    /// When each retry that still counts was made.
    retries: VecDeque<Instant>,
    /// When each retry that still counts was lent.
    lent: VecDeque<Instant>,
    /// When each borrowed retry that is not used yet was received.
    borrowed: VecDeque<Instant>,
    /// Borrowed retries that arrived late; they count here when their lenders no longer count them.
    late: Vec<CountedRetry>,
    /// Hosts among which the slack is divided, including this one; 0 while they are not known.
    hosts: usize,
    /// The pool that this host lends from, and when it was confirmed.
    pool: Option<(Pool, Instant)>,
    /// When a send last found no retry here and none to borrow.
    denied_at: Option<Instant>,
}

impl RetryBudget {
    /// A budget of `ratio` retries per request plus `slack` in each `window`, for all hosts
    /// together, for a process that holds its share since this time.
    pub fn new(ratio: f64, slack: f64, window: Duration, held_since: Instant) -> RetryBudget {
        RetryBudget {
            ratio,
            slack,
            window,
            held_since,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            lent: VecDeque::new(),
            borrowed: VecDeque::new(),
            late: Vec::new(),
            hosts: 0,
            pool: None,
            denied_at: None,
        }
    }

    /// Changes the bound. What was made and lent still counts.
    pub fn set_bound(&mut self, ratio: f64, slack: f64, window: Duration) {
        (self.ratio, self.slack, self.window) = (ratio, slack, window);
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Sets the number of hosts that there are or were recently, including this one (0 while that is
    /// not known), and the pool that this host lends from; `None` if others lend.
    pub fn set_pool(&mut self, hosts: usize, pool: Option<Pool>, now: Instant) {
        self.hosts = hosts;
        self.pool = pool.map(|pool| (pool, now));
    }

    /// Requests of this host, to report to the others.
    pub fn requests(&mut self, now: Instant) -> u32 {
        self.expire(now);
        self.requests.len() as u32
    }

    /// Time for which retries count.
    fn counted_time(&self) -> Duration {
        counted_time(self.window)
    }

    /// Part of a share that its holder may use.
    fn usable_part(&self, held_since: Instant, now: Instant) -> f64 {
        let Some(held) = now.checked_duration_since(held_since) else { return 0.0 };
        if held >= self.counted_time() {
            return 1.0;
        }
        PART_AT_ONCE + GRADUAL_PART * held.as_secs_f64() / self.counted_time().as_secs_f64()
    }

    /// A host's part of the slack.
    fn slack_share(&self) -> f64 {
        if self.hosts == 0 { 0.0 } else { self.slack / self.hosts as f64 }
    }

    /// Retries that this host may make of the part of its share that it keeps. The ratio of its own
    /// requests is its own from the start: no earlier process had them.
    fn local(&self, now: Instant) -> f64 {
        let slack = self.slack_share() * self.usable_part(self.held_since, now);
        SHARED_PART * LOCAL_PART * (self.ratio * self.requests.len() as f64 + slack)
    }

    /// Retries that this host may lend.
    fn pool(&self, now: Instant) -> f64 {
        let confirmed = |at: Instant| now.saturating_duration_since(at) <= POOL_VALIDITY;
        let Some((pool, _)) = self.pool.as_ref().filter(|(_, at)| confirmed(*at)) else {
            return 0.0;
        };
        let share = |(since, requests): (Instant, u32)| {
            let share = self.ratio * f64::from(requests) + self.slack_share();
            self.usable_part(since, now) * share
        };
        let own = share((pool.own_since, self.requests.len() as u32));
        let shares = own + pool.members.iter().copied().map(share).sum::<f64>();
        SHARED_PART * (1.0 - LOCAL_PART) * shares / pool.lenders.max(1) as f64
    }

    /// Whether [`RetryBudget::try_retry`] would allow a retry now.
    pub fn has_retry(&mut self, now: Instant) -> bool {
        self.usage(now).left() >= 1.0 || !self.borrowed.is_empty()
    }

    /// Whether one more retry is within the budget; if so, it is counted. Borrowed retries are used
    /// last, and are counted by their lender.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        if self.usage(now).left() >= 1.0 {
            self.retries.push_back(now);
            return true;
        }
        self.borrowed.pop_front().is_some()
    }

    /// Counts a retry from now on, as it may arrive only now.
    pub fn postpone(&mut self, retry: CountedRetry, now: Instant) {
        if let Some(place) = self.retries.iter().position(|at| *at == retry.counted) {
            self.retries.remove(place);
            return self.retries.push_back(now);
        }
        match self.late.iter_mut().find(|late| **late == retry) {
            Some(late) => late.counted = now,
            None => self.late.push(CountedRetry { counted: now, ..retry }),
        }
    }

    /// Borrowed retries that their lenders no longer count, although they arrived within the window.
    pub fn late(&self, now: Instant) -> usize {
        self.late.iter().filter(|late| self.is_overdue(late, now)).count()
    }

    /// Whether a late retry's lender, which lent it some time before it was made, no longer counts it.
    fn is_overdue(&self, late: &CountedRetry, now: Instant) -> bool {
        now.saturating_duration_since(late.made) + LOAN_VALIDITY >= self.counted_time()
    }

    /// Records that a send found no retry here and none to borrow.
    pub fn record_denial(&mut self, now: Instant) {
        self.denied_at = Some(now);
    }

    /// What is left of the budget, for the decision whether a refused request may use it.
    pub fn supply(&mut self, now: Instant) -> RetrySupply {
        let usage = self.usage(now);
        RetrySupply {
            allowed: usage.allowed(),
            left: usage.left(),
            lends: usage.pool > 0.0,
            denied: self.denied_at.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Lends up to `wanted` retries, from what this host has borrowed itself and from its pool.
    /// Returns how many.
    pub fn lend(&mut self, wanted: u16, borrower: Borrower, now: Instant) -> u16 {
        let usage = self.usage(now);
        let left = usage.left().min(usage.pool - usage.lent as f64).max(0.0);
        let (passed_on, available) = match borrower {
            Borrower::Near => (self.borrowed.len().min(usize::from(wanted)), left),
            Borrower::NearLender | Borrower::Remote => (0, left * MAX_LENDER_LOAN),
        };
        self.borrowed.drain(..passed_on);
        let from_pool = (usize::from(wanted) - passed_on).min(available as usize);
        self.lent.extend(std::iter::repeat_n(now, from_pool));
        (passed_on + from_pool) as u16
    }

    /// Adds borrowed retries. They first replace late ones, which their lenders count again thereby.
    pub fn borrow(&mut self, granted: u16, now: Instant) {
        let mut granted = usize::from(granted);
        while granted > 0
            && let Some(place) = self.late.iter().position(|late| self.is_overdue(late, now))
        {
            self.late.swap_remove(place);
            granted -= 1;
        }
        self.borrowed.extend(std::iter::repeat_n(now, granted));
    }

    /// How much of the budget is spent.
    pub fn usage(&mut self, now: Instant) -> RetryUsage {
        self.expire(now);
        RetryUsage {
            requests: self.requests.len(),
            hosts: self.hosts,
            made: self.retries.len(),
            local: self.local(now),
            lent: self.lent.len(),
            pool: self.pool(now),
            borrowed: self.borrowed.len(),
            late: self.late(now),
        }
    }

    fn expire(&mut self, now: Instant) {
        let expire = |times: &mut VecDeque<Instant>, validity: Duration| {
            while times.front().is_some_and(|at| now.saturating_duration_since(*at) > validity) {
                times.pop_front();
            }
        };
        let counted = self.counted_time();
        expire(&mut self.requests, self.window);
        expire(&mut self.retries, counted);
        expire(&mut self.lent, counted);
        expire(&mut self.borrowed, LOAN_VALIDITY);
        self.late.retain(|late| now.saturating_duration_since(late.counted) <= counted);
    }
}
