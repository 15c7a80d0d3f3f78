//! One daemon's part in one claim stream.
//!
//! Attempts of callers go in, and so does how appends and reads of the log ended; appends, reads
//! and decisions come out. The log's order is the only judge: an attempt has won when its claim
//! was read back as the holder of its key. It is then dispatched or abandoned, in one step of this
//! machine, and never both. An attempt that is given up while its claim may stand in the log, or
//! may come to stand there, leaves an abandonment that is sent until the log has taken it.

mod decide;
mod settle;
mod types;

pub use settle::{ClaimantStatus, KeyStatus, SettleRequest, SettleResult, may_settle};
pub use types::{Action, Attempt, AttemptId, Decision, LocalWork, LogRecord, ReadResult};

use super::batch::{AppendResult, Batch};
use super::keys::Keys;
use super::record::{Act, MAX_BODY, Nonce, Outcome, Owner, Record};
use crate::prelude::*;
use settle::Desk;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a fault of the log is waited out before attempts are refused.
pub const LOG_FAULT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an attempt waits for the outcome of another one at most.
pub const MAX_OUTCOME_WAIT: Duration = Duration::from_secs(10);
/// How long one read waits for records.
const POLL: Duration = Duration::from_millis(100);
/// How long after a failed read the next one begins.
const RETRY: Duration = Duration::from_millis(250);
/// Answers too large for the log that the claimant holds at most, bytes.
const MAX_LARGE: usize = 8 << 20;
/// When callers are told to come back at the earliest.
const COME_BACK: Duration = Duration::from_secs(1);
/// Over how long those that are refused together are spread, milliseconds.
const SPREAD: u64 = 2000;
/// How often a daemon without keys keeps the window from being empty.
pub const MARK_INTERVAL: Duration = Duration::from_mins(10);

#[derive(Debug)]
struct Running {
    ask: Attempt,
    arrived: Instant,
    /// Reads that had begun when it arrived; what they say may be older than the attempt.
    earlier: u64,
    phase: Phase,
    nonce: Nonce,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Undecided; `true` when a claim is queued, under way or in the log.
    Waiting(bool),
    /// Holds the key.
    Won(Offset),
    /// The caller has been allowed to send.
    Dispatched(Offset),
    /// Its end waits for its place in the log.
    Recording(Offset, Arc<Outcome>),
}

/// The state machine.
#[derive(Debug)]
pub struct Partition {
    own: Owner,
    seed: u64,
    count: u64,
    keys: Keys,
    running: BTreeMap<AttemptId, Running>,
    batch: Batch,
    alive: Vec<Owner>,
    /// Reads begun so far.
    reads: u64,
    /// The number of the last read that came to the stream's end, from 1; 0 before the first.
    current: u64,
    /// Whether the last one begun is under way.
    reading: bool,
    /// When a read may begin after a failed one.
    again: Option<Instant>,
    /// Since when appends or reads have failed.
    appends_fail: Option<Instant>,
    reads_fail: Option<Instant>,
    /// When this daemon appended last, or began to run.
    wrote: Option<Instant>,
    /// Answers of this daemon that are too large for the log, the oldest first.
    large: VecDeque<(Key, Arc<Outcome>)>,
    /// What operators ask.
    desk: Desk,
    actions: Vec<Action>,
}

impl Partition {
    /// A machine that has read nothing, remembers `bound` records and appends at most `together`
    /// at once; `seed` must be random.
    pub fn new(own: Owner, seed: u64, bound: usize, together: usize) -> Partition {
        Partition {
            own,
            seed,
            count: 0,
            keys: Keys::new(bound),
            running: BTreeMap::new(),
            batch: Batch::new(together),
            alive: vec![],
            reads: 0,
            current: 0,
            reading: false,
            again: None,
            appends_fail: None,
            reads_fail: None,
            wrote: None,
            large: VecDeque::new(),
            desk: Desk::default(),
            actions: vec![],
        }
    }

    /// The fold.
    pub fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Whether nothing is under way that the log has not yet taken.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.batch.is_empty() && self.desk.is_empty()
    }

    /// What is to be done now; empties the list.
    pub fn actions(&mut self, now: Instant) -> Vec<Action> {
        let lines = self.batch.take(now);
        if !lines.is_empty() {
            self.wrote = Some(now);
            self.actions.push(Action::Append(lines));
        }
        self.read_on(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Partition::tick`] is due at the latest, if nothing else happens.
    pub fn due(&self, now: Instant) -> Option<Instant> {
        let ends = self.running.values().filter_map(|run| match run.phase {
            Phase::Waiting(_) => Some(run.limit()),
            Phase::Won(_) => Some(run.ask.deadline),
            _ => None,
        });
        let again = self.again.filter(|_| self.wants_read());
        let fails = [self.appends_fail, self.reads_fail].into_iter().flatten();
        let fails = fails.map(|since| since + LOG_FAULT_TIMEOUT).filter(|end| *end > now);
        let desk = self.desk.due();
        ends.chain(self.batch.due()).chain(again).chain(fails).chain(desk).min()
    }

    /// Takes an attempt.
    pub fn begin(&mut self, ask: Attempt, now: Instant) -> AttemptId {
        let id = self.count;
        let nonce = self.fresh();
        let (earlier, phase) = (self.reads, Phase::Waiting(false));
        let run = Running { ask, arrived: now, earlier, phase, nonce };
        self.running.insert(id, run);
        self.look(id, now);
        if self.out(now) {
            self.give_up(id, now);
        }
        id
    }

    /// Whether the attempt that won at this offset may send its first byte now; after a `true` it
    /// cannot be abandoned, after a `false` it has been.
    pub fn dispatch(&mut self, offset: Offset, now: Instant) -> bool {
        let won = |run: &&mut Running| run.phase == Phase::Won(offset);
        let Some(run) = self.running.values_mut().find(won) else { return false };
        if now >= run.ask.deadline {
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

    /// Records the end of a dispatched attempt.
    pub fn record_outcome(&mut self, offset: Offset, outcome: Outcome, now: Instant) {
        let dispatched = |run: &&mut Running| run.phase == Phase::Dispatched(offset);
        let Some(run) = self.running.values_mut().find(dispatched) else { return };
        let (key, digest) = (run.ask.key.clone(), run.ask.digest);
        self.batch.push(&Record::outcome(key, run.nonce, digest, &outcome));
        let (key, outcome) = (run.ask.key.clone(), Arc::new(outcome));
        run.phase = Phase::Recording(offset, outcome.clone());
        if outcome.body.len() > MAX_BODY {
            self.keep_large(key, outcome);
        }
        self.look_all(now);
    }

    fn keep_large(&mut self, key: Key, outcome: Arc<Outcome>) {
        self.large.push_back((key, outcome));
        while self.large.iter().map(|(_, kept)| kept.body.len()).sum::<usize>() > MAX_LARGE {
            self.large.pop_front();
        }
    }

    /// What this daemon knows of its own work on a key.
    pub fn local_work(&self, key: &Key) -> LocalWork {
        if let Some((_, outcome)) = self.large.iter().find(|(large, _)| large == key) {
            return LocalWork::Done(outcome.clone());
        }
        let mut own = self.running.values().filter(|run| run.ask.key == *key);
        let work = own.find_map(|run| match &run.phase {
            Phase::Recording(_, outcome) => Some(LocalWork::Done(outcome.clone())),
            Phase::Won(_) | Phase::Dispatched(_) => Some(LocalWork::InProgress),
            Phase::Waiting(_) => None,
        });
        work.unwrap_or(LocalWork::Unknown)
    }

    /// Takes the daemons that are counted; a claimant that is not among them is gone.
    pub fn set_members(&mut self, alive: Vec<Owner>, now: Instant) {
        if self.alive != alive {
            self.alive = alive;
            self.look_all(now);
        }
    }

    /// Takes how the append under way ended.
    pub fn on_append(&mut self, how: AppendResult, now: Instant) {
        let taken = self.batch.on_append(how, now);
        for nonce in taken {
            self.recorded(nonce);
        }
        match how {
            AppendResult::Done | AppendResult::RateLimited => self.appends_fail = None,
            AppendResult::Unreachable | AppendResult::Unconfirmed => {
                self.appends_fail.get_or_insert(now);
            }
        }
        self.tick(now);
    }

    /// Takes how the read under way ended.
    pub fn on_read(&mut self, end: ReadResult, now: Instant) {
        self.reading = false;
        self.again = None;
        match end {
            // A log that has lost records would have this daemon take known keys for new.
            ReadResult::Records { end, .. } if end < self.keys.next() => self.read_failed(now),
            ReadResult::Records { records, end } => {
                self.reads_fail = None;
                for line in &records {
                    self.take(line);
                }
                if self.keys.next() >= end {
                    self.current = self.reads;
                }
                // Without a record to append, nothing else would find out that appends work again.
                if self.batch.is_empty() {
                    self.appends_fail = None;
                }
            }
            ReadResult::Trimmed { oldest } => {
                self.reads_fail = None;
                self.keys.restart(oldest);
                let batch = &self.batch;
                let ended = |run: &Running| {
                    matches!(run.phase, Phase::Recording(..)) && !batch.contains(run.nonce)
                };
                self.running.retain(|_, run| !ended(run));
            }
            ReadResult::Failed => self.read_failed(now),
        }
        self.look_all(now);
        self.show_current();
        self.tick(now);
    }

    fn read_failed(&mut self, now: Instant) {
        self.reads_fail.get_or_insert(now);
        self.again = Some(now + RETRY);
    }

    /// Gives up what is over its time.
    pub fn tick(&mut self, now: Instant) {
        let wrote = *self.wrote.get_or_insert(now);
        if now >= wrote + MARK_INTERVAL && self.batch.is_empty() {
            let nonce = self.fresh();
            self.batch.push(&Record::mark(nonce));
        }
        let out = self.out(now);
        self.tick_desk(out, now);
        let ids: Vec<AttemptId> = self.running.keys().copied().collect();
        for id in ids {
            let run = &self.running[&id];
            match run.phase {
                Phase::Waiting(_) if out || now >= run.limit() => self.give_up(id, now),
                Phase::Won(offset) if now >= run.ask.deadline => self.abandon(offset),
                _ => {}
            }
        }
    }

    fn recorded(&mut self, nonce: Nonce) {
        let mut own = self.running.values().filter(|run| run.nonce == nonce);
        let settling = own.find_map(|run| match run.phase {
            Phase::Recording(offset, _) => Some(offset),
            _ => None,
        });
        self.actions.extend(settling.map(Action::Recorded));
    }

    fn fresh(&mut self) -> Nonce {
        self.count += 1;
        xxh3_64_with_seed(&self.count.to_be_bytes(), self.seed)
    }

    fn winner(&self, offset: Offset) -> Option<AttemptId> {
        let mut running = self.running.iter();
        running.find(|(_, run)| run.phase == Phase::Won(offset)).map(|(id, _)| *id)
    }

    fn out(&self, now: Instant) -> bool {
        let mut fails = [self.appends_fail, self.reads_fail].into_iter().flatten();
        fails.any(|since| now >= since + LOG_FAULT_TIMEOUT)
    }

    fn wants_read(&self) -> bool {
        let failing = self.appends_fail.is_some() || self.reads_fail.is_some();
        failing
            || !self.desk.is_empty()
            || self.running.values().any(|run| match run.phase {
                Phase::Waiting(_) | Phase::Recording(..) => true,
                Phase::Won(_) | Phase::Dispatched(_) => false,
            })
    }

    fn read_on(&mut self, now: Instant) {
        let early = self.again.is_some_and(|again| now < again);
        if self.reading || early || !self.wants_read() {
            return;
        }
        self.reading = true;
        self.reads += 1;
        // An attempt that waits for the stream's end as of now must not wait for more records.
        let asked = self.running.values().map(|run| run.earlier).chain(self.desk.earlier());
        let behind = asked.max().is_some_and(|earlier| self.current <= earlier);
        let wait = if behind { Duration::ZERO } else { POLL };
        self.actions.push(Action::Read { from: self.keys.next(), wait });
    }

    /// Folds one record, and lets go of what it ends.
    fn take(&mut self, line: &LogRecord) {
        let Some(record) = self.keys.apply(line.offset, line.time, &line.data) else { return };
        match record.act {
            Act::Claim { .. } => {
                self.batch.revoke(record.nonce);
            }
            Act::Outcome { .. } => {
                self.recorded(record.nonce);
                let ended = |run: &Running| {
                    run.nonce == record.nonce && matches!(run.phase, Phase::Recording(..))
                };
                self.running.retain(|_, run| !ended(run));
            }
            Act::Settle(_) => self.on_settlement(&record, line.offset),
            Act::Mark => self.marked(record.nonce),
            Act::Abandon => {}
        }
    }
}

impl Running {
    /// When it is given up.
    fn limit(&self) -> Instant {
        self.ask.deadline.min(self.arrived + MAX_OUTCOME_WAIT)
    }

    fn abandonment(&self) -> Record {
        Record { key: self.ask.key.clone(), nonce: self.nonce, act: Act::Abandon }
    }
}
