//! Which records are appended together, and when.
//!
//! The log accepts a few hundred appends per second for the whole fleet, so one append carries all
//! records that arrived while the previous append was in flight or held back. An idle partition
//! appends at once. The interval between appends doubles when the log reports rate limiting and
//! shrinks slowly when it does not. An unavailable log says nothing about its rate, so failed
//! appends have a back-off of their own, which ends with the outage.
//!
//! Every record may stand in the log twice without harm, so an append whose reply was lost is sent
//! again, except for claims that have been read back or given up in the meantime.

use super::record::{Act, Nonce, Record};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The default for the most records in one append.
pub const MAX_RECORDS: usize = 512;
/// Size of an append, in bytes, at which no further record is added.
const MAX_BYTES: usize = 1 << 20;
/// The shortest time from one append to the next.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// The longest time from one append to the next.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time from a failed append to the next. Two of them fit into
/// [`LOG_FAULT_TIMEOUT`](super::partition::LOG_FAULT_TIMEOUT), after which attempts are refused.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// The records that wait to be appended.
#[derive(Debug)]
pub struct Batch {
    queue: VecDeque<QueuedRecord>,
    in_flight: Vec<QueuedRecord>,
    interval: Duration,
    backoff: Duration,
    due: Option<Instant>,
    max_records: usize,
}

#[derive(Debug)]
struct QueuedRecord {
    nonce: Nonce,
    line: String,
    is_claim: bool,
    /// Whether it may be withdrawn: a claim, or an operator's settlement.
    revocable: bool,
    /// Whether an earlier append that contained it may have taken effect.
    maybe_appended: bool,
    /// Whether it must not be sent again.
    revoked: bool,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The records are in the log.
    Done,
    /// The log refused them because it is over its rate.
    RateLimited,
    /// They were not appended because the log could not be reached.
    Unreachable,
    /// They may have been appended, or may still be appended later.
    Unconfirmed,
}

impl Batch {
    /// An empty batch that puts at most `max_records` records into one append.
    pub fn new(max_records: usize) -> Batch {
        let (queue, in_flight) = Default::default();
        let (interval, backoff) = (MIN_INTERVAL, MIN_INTERVAL);
        Batch { queue, in_flight, interval, backoff, due: None, max_records: max_records.max(1) }
    }

    /// Queues a record.
    pub fn push(&mut self, record: &Record) {
        let is_claim = matches!(record.act, Act::Claim { .. });
        let revocable = is_claim || matches!(record.act, Act::Settle(_));
        let (nonce, line) = (record.nonce, record.line());
        let (maybe_appended, revoked) = (false, false);
        self.queue.push_back(QueuedRecord {
            nonce,
            line,
            is_claim,
            revocable,
            maybe_appended,
            revoked,
        });
    }

    /// Withdraws a claim or an operator's settlement. `true` when it certainly is not in the log
    /// and never will be.
    pub fn revoke(&mut self, nonce: Nonce) -> bool {
        let is_match = |queued: &QueuedRecord| queued.revocable && queued.nonce == nonce;
        if let Some(sent) = self.in_flight.iter_mut().find(|queued| is_match(queued)) {
            sent.revoked = true;
            return false;
        }
        let Some(at) = self.queue.iter().position(is_match) else { return false };
        self.queue.remove(at).is_some_and(|queued| !queued.maybe_appended)
    }

    /// Whether a record with this nonce is queued or in flight.
    pub fn contains(&self, nonce: Nonce) -> bool {
        self.queue.iter().chain(&self.in_flight).any(|queued| queued.nonce == nonce)
    }

    /// Whether no record is queued or in flight.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_empty()
    }

    /// The records to append now. Empty while an append is in flight or the next one is not yet
    /// due.
    pub fn take(&mut self, now: Instant) -> Vec<String> {
        let early = self.due.is_some_and(|due| now < due);
        if early || !self.in_flight.is_empty() {
            return vec![];
        }
        let mut bytes = 0;
        while let Some(queued) = self.queue.pop_front() {
            bytes += queued.line.len();
            self.in_flight.push(queued);
            if bytes >= MAX_BYTES || self.in_flight.len() >= self.max_records {
                break;
            }
        }
        if !self.in_flight.is_empty() {
            self.due = Some(now + self.interval);
        }
        self.in_flight.iter().map(|queued| queued.line.clone()).collect()
    }

    /// When [`Batch::take`] may next return records; `None` if none are queued or an append is in
    /// flight.
    pub fn due(&self) -> Option<Instant> {
        if self.queue.is_empty() || !self.in_flight.is_empty() { None } else { self.due }
    }

    /// Handles the end of the append in flight. Returns the nonces of the records that the log has
    /// taken, other than claims.
    pub fn on_append(&mut self, result: AppendResult, now: Instant) -> Vec<Nonce> {
        let in_flight = std::mem::take(&mut self.in_flight);
        match result {
            AppendResult::Done => {
                self.interval = (self.interval * 9 / 10).max(MIN_INTERVAL);
                self.backoff = MIN_INTERVAL;
                let taken = in_flight.iter().filter(|queued| !queued.is_claim);
                return taken.map(|queued| queued.nonce).collect();
            }
            AppendResult::RateLimited => {
                self.interval = (self.interval * 2).min(MAX_INTERVAL);
                self.backoff = MIN_INTERVAL;
            }
            AppendResult::Unreachable | AppendResult::Unconfirmed => {
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
        self.due = Some(now + self.interval.max(self.backoff));
        for mut queued in in_flight.into_iter().rev().filter(|queued| !queued.revoked) {
            queued.maybe_appended |= result == AppendResult::Unconfirmed;
            self.queue.push_front(queued);
        }
        vec![]
    }
}
