//! Retries that may still arrive at their targets.
//!
//! The bound on retries is on what arrives. A stopped process reads what was sent to it when it goes
//! on, and its system takes requests for it meanwhile, so a retry may arrive seconds after it was
//! made. Where the first copy of a request waits in that way and the second does not, the first one
//! arrives last. So a retry counts in the [budget](super::retry_budget) from when all copies of its
//! request have arrived, as far as this host can tell: when a target responds, or has ended, or has
//! sent something long enough after the copy.

use crate::gateway::hashes::TargetHash;
use crate::prelude::*;

/// Age at which a retry that arrives is late, and logged.
const LATE: Duration = Duration::from_millis(200);

/// A copy of a request that no target is known to have read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingCopy {
    /// Number of its connection.
    pub connection: usize,
    /// Target that it was sent to.
    pub target: TargetId,
    /// Incarnation of the target at that time.
    pub incarnation: TargetHash,
    /// When it was sent.
    pub sent: Instant,
}

/// A retry, and since when the budget counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedRetry {
    /// When it was charged to the budget.
    pub made: Instant,
    /// Since when the budget counts it.
    pub counted: Instant,
}

/// A request that was sent again while copies of it were pending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepeatedRequest {
    /// Number of the request at this host.
    pub number: usize,
    /// The caller's id of the request.
    pub attempt: String,
    /// Service of its targets.
    pub service: ServiceId,
    /// Its retries.
    pub retries: Vec<CountedRetry>,
    /// Its copies that no target is known to have read.
    pub copies: Vec<PendingCopy>,
}

impl RepeatedRequest {
    /// How late its retries arrived at most.
    pub fn delay(&self) -> Duration {
        let delay = |r: &CountedRetry| r.counted.saturating_duration_since(r.made);
        self.retries.iter().map(delay).max().unwrap_or_default()
    }

    /// Since when the budget is to count the retries whose copies may arrive from now on. Of the
    /// copies but one, which is no retry, as many are pending as there are such retries.
    fn postpone(&mut self, now: Instant) -> impl Iterator<Item = CountedRetry> {
        let pending = self.copies.len();
        self.retries.iter_mut().rev().take(pending).map(move |retry| {
            let before = *retry;
            retry.counted = now;
            before
        })
    }
}

/// The requests that were sent again and have pending copies.
#[derive(Clone, Debug, Default)]
pub struct PendingRetries {
    requests: Vec<RepeatedRequest>,
}

impl PendingRetries {
    /// Records a retry that was charged to the budget, with all pending copies of its request.
    pub fn record(
        &mut self,
        (number, attempt): (usize, &str),
        service: &ServiceId,
        copies: Vec<PendingCopy>,
        now: Instant,
    ) {
        let retry = CountedRetry { made: now, counted: now };
        let Some(request) = self.requests.iter_mut().find(|one| one.number == number) else {
            let (attempt, service) = (attempt.to_owned(), service.clone());
            let retries = vec![retry];
            return self.requests.push(RepeatedRequest {
                number,
                attempt,
                service,
                retries,
                copies,
            });
        };
        request.retries.push(retry);
        for copy in copies {
            if !request.copies.contains(&copy) {
                request.copies.push(copy);
            }
        }
    }

    /// Records that the copy on a connection was read, or will never be.
    pub fn settle(&mut self, connection: usize) {
        for request in &mut self.requests {
            request.copies.retain(|copy| copy.connection != connection);
        }
    }

    /// The retries that may arrive from now on, by service, as the budget counts them so far. Copies
    /// that `settled` says were read, or never will be, are no longer pending. This has to be called
    /// more often than the budget's delivery time.
    pub fn postpone(
        &mut self,
        settled: impl Fn(&PendingCopy) -> bool,
        now: Instant,
    ) -> Vec<(ServiceId, CountedRetry)> {
        let mut postponed = Vec::new();
        for request in &mut self.requests {
            request.copies.retain(|copy| !settled(copy));
            let service = request.service.clone();
            postponed.extend(request.postpone(now).map(|retry| (service.clone(), retry)));
        }
        postponed
    }

    /// Removes the requests without pending copies. Returns those whose retries arrived late.
    pub fn take_late(&mut self) -> Vec<RepeatedRequest> {
        let done = self.requests.extract_if(.., |request| request.copies.is_empty());
        done.filter(|request| request.delay() >= LATE).collect()
    }
}
