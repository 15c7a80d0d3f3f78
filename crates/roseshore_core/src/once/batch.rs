//! Which records are appended together, and when.
//!
//! The log takes a few hundred appends a second for everybody, so one append carries whatever came
//! while the last one was under way or paced. An idle partition appends at once; the pace doubles
//! when the log is over its rate and falls slowly when it is not. A log that is out says nothing of
//! its rate, so that retries have a wait of their own, which ends with the outage. Every record may stand in the
//! log twice without harm, so an append whose reply was lost is sent again, claims excepted that
//! were seen or given up meanwhile.

use super::record::{Act, Nonce, Record};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Records in one append at most, where nothing else is asked for.
pub const MAX_RECORDS: usize = 512;
/// Bytes in one append at most, short of one record.
const MAX_BYTES: usize = 1 << 20;
/// The shortest time from one append to the next.
const MIN_PACE: Duration = Duration::from_millis(5);
/// The longest.
const MAX_PACE: Duration = Duration::from_millis(500);
/// The longest time from a failed append to the next; two of them fit the patience of attempts.
const MAX_RETRY: Duration = Duration::from_millis(250);

/// The records that wait for the log.
#[derive(Debug)]
pub struct Batch {
    queue: VecDeque<Waiting>,
    flight: Vec<Waiting>,
    pace: Duration,
    retry: Duration,
    due: Option<Instant>,
    together: usize,
}

#[derive(Debug)]
struct Waiting {
    nonce: Nonce,
    line: String,
    claim: bool,
    /// Whether it may be taken back.
    recalls: bool,
    /// Whether an append that carried it may have taken effect.
    unsure: bool,
    /// Whether it must not be sent again.
    recalled: bool,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The records stand in the log.
    Done,
    /// The log refused them: over its rate.
    RateLimited,
    /// They were not appended: the log is out.
    Unreachable,
    /// They may have been appended, now or later.
    Unconfirmed,
}

impl Batch {
    /// Nothing to append; at most `together` records go into one append.
    pub fn new(together: usize) -> Batch {
        let (queue, flight) = Default::default();
        let (pace, retry) = (MIN_PACE, MIN_PACE);
        Batch { queue, flight, pace, retry, due: None, together: together.max(1) }
    }

    /// Adds a record.
    pub fn push(&mut self, record: &Record) {
        let claim = matches!(record.act, Act::Claim { .. });
        let recalls = claim || matches!(record.act, Act::Settle(_));
        let (nonce, line) = (record.nonce, record.line());
        let (unsure, recalled) = (false, false);
        self.queue.push_back(Waiting { nonce, line, claim, recalls, unsure, recalled });
    }

    /// Takes back a claim or an operator's word; `true` when it certainly never reached the log and never will.
    pub fn revoke(&mut self, nonce: Nonce) -> bool {
        let mine = |waiting: &Waiting| waiting.recalls && waiting.nonce == nonce;
        if let Some(flying) = self.flight.iter_mut().find(|waiting| mine(waiting)) {
            flying.recalled = true;
            return false;
        }
        let Some(at) = self.queue.iter().position(mine) else { return false };
        self.queue.remove(at).is_some_and(|waiting| !waiting.unsure)
    }

    /// Whether a record of this claim waits or is under way.
    pub fn contains(&self, nonce: Nonce) -> bool {
        self.queue.iter().chain(&self.flight).any(|waiting| waiting.nonce == nonce)
    }

    /// Whether records wait or are under way.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.flight.is_empty()
    }

    /// The records to append now, none while an append is under way or the next is not yet due.
    pub fn take(&mut self, now: Instant) -> Vec<String> {
        let early = self.due.is_some_and(|due| now < due);
        if early || !self.flight.is_empty() {
            return vec![];
        }
        let mut bytes = 0;
        while let Some(waiting) = self.queue.pop_front() {
            bytes += waiting.line.len();
            self.flight.push(waiting);
            if bytes >= MAX_BYTES || self.flight.len() >= self.together {
                break;
            }
        }
        if !self.flight.is_empty() {
            self.due = Some(now + self.pace);
        }
        self.flight.iter().map(|waiting| waiting.line.clone()).collect()
    }

    /// When [`Batch::take`] may yield records, if any wait.
    pub fn due(&self) -> Option<Instant> {
        if self.queue.is_empty() || !self.flight.is_empty() { None } else { self.due }
    }

    /// Takes note of how the append under way ended; the claims whose records, other than the claim
    /// itself, the log has taken.
    pub fn on_append(&mut self, how: AppendResult, now: Instant) -> Vec<Nonce> {
        let flight = std::mem::take(&mut self.flight);
        match how {
            AppendResult::Done => {
                self.pace = (self.pace * 9 / 10).max(MIN_PACE);
                self.retry = MIN_PACE;
                let taken = flight.iter().filter(|waiting| !waiting.claim);
                return taken.map(|waiting| waiting.nonce).collect();
            }
            AppendResult::RateLimited => {
                self.pace = (self.pace * 2).min(MAX_PACE);
                self.retry = MIN_PACE;
            }
            AppendResult::Unreachable | AppendResult::Unconfirmed => {
                self.retry = (self.retry * 2).min(MAX_RETRY);
            }
        }
        self.due = Some(now + self.pace.max(self.retry));
        for mut waiting in flight.into_iter().rev().filter(|waiting| !waiting.recalled) {
            waiting.unsure |= how == AppendResult::Unconfirmed;
            self.queue.push_front(waiting);
        }
        vec![]
    }
}
