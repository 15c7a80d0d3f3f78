//! One daemon's state machine for one claim stream.
//!
//! Inputs are callers' attempts and the results of appends and reads; outputs are appends, reads
//! and decisions. Only the log's order decides: an attempt has won when its claim has been read
//! back as the holder of its key. It is then dispatched or abandoned in one step of this machine,
//! and never both. An attempt that is given up while its claim is or may still get into the log
//! leaves an abandonment, which is sent until the log has taken it.

mod decide;
mod settle;
mod types;

pub use settle::{ClaimantStatus, KeyStatus, SettleRequest, SettleResult, may_settle};
pub use types::{
    Action, Attempt, AttemptId, Decision, LocalWork, LogRecord, ReadResult, StoredAnswer,
};

use super::batch::{AppendResult, Batch};
use super::keys::{Keys, State};
use super::record::{Act, MAX_BODY, Nonce, Outcome, Owner, Record};
use crate::prelude::*;
use settle::OperatorRequests;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long appends or reads may fail before attempts are refused.
pub const LOG_FAULT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest time that an attempt waits for another attempt's outcome. For the log alone it waits
/// until its deadline.
pub const MAX_OUTCOME_WAIT: Duration = Duration::from_secs(10);
/// How long one read waits for a first record.
const READ_WAIT: Duration = Duration::from_millis(100);
/// The time from a failed read to the next one.
pub const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The most bytes of answers too large for the log that the claimant keeps in memory.
const MAX_LARGE_BYTES: usize = 8 << 20;
/// The earliest time at which refused callers are told to retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Milliseconds over which the retries of callers that are refused together are spread.
const RETRY_SPREAD_MS: u64 = 2000;
/// How long a daemon appends nothing before it appends a mark, so that the log's retention window
/// is never empty.
pub const MARK_INTERVAL: Duration = Duration::from_mins(10);

#[derive(Debug)]
struct RunningAttempt {
    attempt: Attempt,
    arrived: Instant,
    /// The number of reads begun before it arrived. Their results may be older than the attempt.
    reads_before: u64,
    phase: Phase,
    nonce: Nonce,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Undecided; `true` if a claim is queued, in flight or in the log.
    Waiting(bool),
    /// Holds the key by the claim at this offset.
    Won(Offset),
    /// The caller has been allowed to send the request.
    Dispatched(Offset),
    /// The request has ended, and its outcome is not yet known to be in the log.
    Recording(Offset, Arc<Outcome>),
}

/// The state machine of one partition on one daemon.
#[derive(Debug)]
pub struct Partition {
    owner: Owner,
    seed: u64,
    /// The number of ids and nonces given out.
    next_id: u64,
    keys: Keys,
    running: BTreeMap<AttemptId, RunningAttempt>,
    batch: Batch,
    members: Vec<Owner>,
    /// The number of reads begun.
    reads_begun: u64,
    /// The number of the last read that reached the end of the stream, from 1; 0 before the first.
    current_read: u64,
    /// Whether a read is in flight.
    read_pending: bool,
    /// When the next read may begin after a failed one.
    retry_at: Option<Instant>,
    /// Since when appends have failed.
    append_fault: Option<Instant>,
    /// Since when reads have failed.
    read_fault: Option<Instant>,
    /// When this daemon last appended, or when it started.
    last_append: Option<Instant>,
    /// Outcomes of this daemon that are too large for the log, the oldest first.
    large_outcomes: VecDeque<(Key, Arc<Outcome>)>,
    /// Queries and settlements of operators.
    operators: OperatorRequests,
    actions: Vec<Action>,
}

impl Partition {
    /// A machine that has read nothing. It keeps at most `max_kept` records and puts at most
    /// `max_appended` into one append. `seed` must be random, since nonces are derived from it.
    pub fn new(owner: Owner, seed: u64, max_kept: usize, max_appended: usize) -> Partition {
        Partition {
            owner,
            seed,
            next_id: 0,
            keys: Keys::new(max_kept),
            running: BTreeMap::new(),
            batch: Batch::new(max_appended),
            members: vec![],
            reads_begun: 0,
            current_read: 0,
            read_pending: false,
            retry_at: None,
            append_fault: None,
            read_fault: None,
            last_append: None,
            large_outcomes: VecDeque::new(),
            operators: OperatorRequests::default(),
            actions: vec![],
        }
    }

    /// The state of the keys, folded from the records read so far.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Whether no attempt, record or operator's request is waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.batch.is_empty() && self.operators.is_empty()
    }

    /// Returns and clears the actions to carry out now.
    pub fn actions(&mut self, now: Instant) -> Vec<Action> {
        let lines = self.batch.take(now);
        if !lines.is_empty() {
            self.last_append = Some(now);
            self.actions.push(Action::Append(lines));
        }
        self.start_read(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Partition::tick`] is due at the latest if nothing else happens; `None` if it need not
    /// be called.
    pub fn due(&self, now: Instant) -> Option<Instant> {
        let ends = self.running.values().filter_map(|run| match run.phase {
            Phase::Waiting(_) => Some(self.give_up_at(run)),
            Phase::Won(_) => Some(run.attempt.deadline),
            _ => None,
        });
        let retry_at = self.retry_at.filter(|_| self.wants_read());
        let faults = [self.append_fault, self.read_fault].into_iter().flatten();
        let faults = faults.map(|since| since + LOG_FAULT_TIMEOUT).filter(|end| *end > now);
        let operators = self.operators.due();
        ends.chain(self.batch.due()).chain(retry_at).chain(faults).chain(operators).min()
    }

    /// Starts an attempt.
    pub fn begin(&mut self, attempt: Attempt, now: Instant) -> AttemptId {
        let id = self.next_id;
        let nonce = self.next_nonce();
        let (reads_before, phase) = (self.reads_begun, Phase::Waiting(false));
        let run = RunningAttempt { attempt, arrived: now, reads_before, phase, nonce };
        self.running.insert(id, run);
        self.advance(id, now);
        if self.log_down(now) {
            self.give_up(id, now);
        }
        id
    }

    /// Whether the attempt that won at this offset may send its first byte now. After `true` it
    /// cannot be abandoned any more; after `false` it has been abandoned.
    pub fn dispatch(&mut self, offset: Offset, now: Instant) -> bool {
        let won = |run: &&mut RunningAttempt| run.phase == Phase::Won(offset);
        let Some(run) = self.running.values_mut().find(won) else { return false };
        if now >= run.attempt.deadline {
            self.abandon(offset);
            return false;
        }
        run.phase = Phase::Dispatched(offset);
        true
    }

    /// Gives up the attempt that won at this offset, unless it has been dispatched.
    pub fn abandon(&mut self, offset: Offset) {
        if let Some(run) = self.winner(offset).and_then(|id| self.running.remove(&id)) {
            self.batch.push(&run.abandonment());
        }
    }

    /// Records the outcome of a dispatched attempt.
    pub fn record_outcome(&mut self, offset: Offset, outcome: Outcome, now: Instant) {
        let dispatched = |run: &&mut RunningAttempt| run.phase == Phase::Dispatched(offset);
        let Some(run) = self.running.values_mut().find(dispatched) else { return };
        let (key, digest) = (run.attempt.key.clone(), run.attempt.digest);
        self.batch.push(&Record::outcome(key, run.nonce, digest, &outcome));
        let (key, outcome) = (run.attempt.key.clone(), Arc::new(outcome));
        run.phase = Phase::Recording(offset, outcome.clone());
        if outcome.body.len() > MAX_BODY {
            self.keep_large_outcome(key, outcome);
        }
        self.advance_all(now);
    }

    fn keep_large_outcome(&mut self, key: Key, outcome: Arc<Outcome>) {
        self.large_outcomes.push_back((key, outcome));
        while self.large_outcomes.iter().map(|(_, kept)| kept.body.len()).sum::<usize>()
            > MAX_LARGE_BYTES
        {
            self.large_outcomes.pop_front();
        }
    }

    /// What this daemon knows of its own work on a key.
    pub fn local_work(&self, key: &Key) -> LocalWork {
        if let Some((_, outcome)) = self.large_outcomes.iter().find(|(large, _)| large == key) {
            return LocalWork::Done(outcome.clone());
        }
        let mut mine = self.running.values().filter(|run| run.attempt.key == *key);
        let work = mine.find_map(|run| match &run.phase {
            Phase::Recording(_, outcome) => Some(LocalWork::Done(outcome.clone())),
            Phase::Won(_) | Phase::Dispatched(_) => Some(LocalWork::InProgress),
            Phase::Waiting(_) => None,
        });
        work.unwrap_or(LocalWork::Unknown)
    }

    /// Sets the daemons that are members. A claimant that is not among them is gone.
    pub fn set_members(&mut self, members: Vec<Owner>, now: Instant) {
        if self.members != members {
            self.members = members;
            self.advance_all(now);
        }
    }

    /// Handles the result of the append in flight.
    pub fn on_append(&mut self, result: AppendResult, now: Instant) {
        let taken = self.batch.on_append(result, now);
        for nonce in taken {
            self.report_recorded(nonce);
        }
        match result {
            AppendResult::Done | AppendResult::RateLimited => self.append_fault = None,
            AppendResult::Unreachable | AppendResult::Unconfirmed => {
                self.append_fault.get_or_insert(now);
            }
        }
        self.tick(now);
    }

    /// Handles the result of the read in flight.
    pub fn on_read(&mut self, result: ReadResult, now: Instant) {
        self.read_pending = false;
        self.retry_at = None;
        match result {
            // A log that has lost records would make known keys look new, so the read counts as
            // failed.
            ReadResult::Records { end, .. } if end < self.keys.next() => self.read_failed(now),
            ReadResult::Records { records, end } => {
                self.read_fault = None;
                for entry in &records {
                    self.apply(entry);
                }
                if self.keys.next() >= end {
                    self.current_read = self.reads_begun;
                }
                // With no record to append, nothing else would show that appends work again.
                if self.batch.is_empty() {
                    self.append_fault = None;
                }
            }
            ReadResult::Trimmed { oldest } => {
                self.read_fault = None;
                self.keys.restart(oldest);
                let batch = &self.batch;
                let ended = |run: &RunningAttempt| {
                    matches!(run.phase, Phase::Recording(..)) && !batch.contains(run.nonce)
                };
                self.running.retain(|_, run| !ended(run));
            }
            ReadResult::Failed => self.read_failed(now),
        }
        self.advance_all(now);
        self.answer_queries();
        self.tick(now);
    }

    fn read_failed(&mut self, now: Instant) {
        self.read_fault.get_or_insert(now);
        self.retry_at = Some(now + READ_RETRY_DELAY);
    }

    /// Gives up what has reached its deadline, and queues a mark if one is due.
    pub fn tick(&mut self, now: Instant) {
        let last_append = *self.last_append.get_or_insert(now);
        if now >= last_append + MARK_INTERVAL && self.batch.is_empty() {
            let nonce = self.next_nonce();
            self.batch.push(&Record::mark(nonce));
        }
        let log_down = self.log_down(now);
        self.expire_requests(log_down, now);
        let ids: Vec<AttemptId> = self.running.keys().copied().collect();
        for id in ids {
            let run = &self.running[&id];
            match run.phase {
                Phase::Waiting(_) if log_down || now >= self.give_up_at(run) => {
                    self.give_up(id, now);
                }
                Phase::Won(offset) if now >= run.attempt.deadline => self.abandon(offset),
                _ => {}
            }
        }
    }

    fn report_recorded(&mut self, nonce: Nonce) {
        let mut mine = self.running.values().filter(|run| run.nonce == nonce);
        let recording = mine.find_map(|run| match run.phase {
            Phase::Recording(offset, _) => Some(offset),
            _ => None,
        });
        self.actions.extend(recording.map(Action::Recorded));
    }

    fn next_nonce(&mut self) -> Nonce {
        self.next_id += 1;
        xxh3_64_with_seed(&self.next_id.to_be_bytes(), self.seed)
    }

    fn winner(&self, offset: Offset) -> Option<AttemptId> {
        let mut running = self.running.iter();
        running.find(|(_, run)| run.phase == Phase::Won(offset)).map(|(id, _)| *id)
    }

    /// When the attempt is given up if it is still undecided.
    fn give_up_at(&self, run: &RunningAttempt) -> Instant {
        let current = self.current_read > run.reads_before;
        match self.keys.state(&run.attempt.key) {
            State::Held(held) if current && held.nonce != run.nonce => {
                run.attempt.deadline.min(run.arrived + MAX_OUTCOME_WAIT)
            }
            _ => run.attempt.deadline,
        }
    }

    fn log_down(&self, now: Instant) -> bool {
        let mut faults = [self.append_fault, self.read_fault].into_iter().flatten();
        faults.any(|since| now >= since + LOG_FAULT_TIMEOUT)
    }

    fn wants_read(&self) -> bool {
        let failing = self.append_fault.is_some() || self.read_fault.is_some();
        failing
            || !self.operators.is_empty()
            || self.running.values().any(|run| match run.phase {
                Phase::Waiting(_) | Phase::Recording(..) => true,
                Phase::Won(_) | Phase::Dispatched(_) => false,
            })
    }

    fn start_read(&mut self, now: Instant) {
        let early = self.retry_at.is_some_and(|retry_at| now < retry_at);
        if self.read_pending || early || !self.wants_read() {
            return;
        }
        self.read_pending = true;
        self.reads_begun += 1;
        // An attempt that waits for the current end of the stream must not wait for new records.
        let reads_before =
            self.running.values().map(|run| run.reads_before).chain(self.operators.reads_before());
        let behind =
            reads_before.max().is_some_and(|reads_before| self.current_read <= reads_before);
        let wait = if behind { Duration::ZERO } else { READ_WAIT };
        self.actions.push(Action::Read { from: self.keys.next(), wait });
    }

    /// Applies one record, and finishes the attempts and requests that it ends.
    fn apply(&mut self, entry: &LogRecord) {
        let Some(record) = self.keys.apply(entry.offset, entry.time, &entry.data) else { return };
        match record.act {
            Act::Claim { .. } => {
                self.batch.revoke(record.nonce);
            }
            Act::Outcome { .. } => {
                self.report_recorded(record.nonce);
                let ended = |run: &RunningAttempt| {
                    run.nonce == record.nonce && matches!(run.phase, Phase::Recording(..))
                };
                self.running.retain(|_, run| !ended(run));
            }
            Act::Settle(_) => self.on_settlement(&record, entry.offset),
            Act::Mark => self.on_mark(record.nonce),
            Act::Abandon => {}
        }
    }
}

impl RunningAttempt {
    fn abandonment(&self) -> Record {
        Record { key: self.attempt.key.clone(), nonce: self.nonce, act: Act::Abandon }
    }
}
