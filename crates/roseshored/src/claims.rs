//! Claims idempotency keys in the log, so that non-idempotent work runs at most once.
//!
//! Each partition of the claim streams has three threads: one owns the state machine and blocks only
//! on its event queue, one appends to the log, one reads from it. Callers send an event and wait for
//! the decision. The state machine decides every attempt by its deadline, so callers need no timer.

mod guard;
mod operator;
mod partition;

pub use guard::ClaimGuard;

use flume::{Receiver, Sender};
use partition::Event;
use roseshore_core::once::batch::MAX_RECORDS;
use roseshore_core::once::partition::{
    Attempt, Decision, LOG_FAULT_TIMEOUT, LocalWork, READ_RETRY_DELAY, StoredAnswer,
};
use roseshore_core::once::record::{Act, Owner, Record};
use roseshore_core::once::{PARTITIONS, partition_of, stream_of};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Claim, ClaimResult, Claims, Members, Outcome, PeerHandler};
use roseshore_ports::outside::{CallError, Log, Peers};
use roseshore_wire::peer::{PeerReply, PeerRequest};
use roseshore_wire::platform::Records;
use std::sync::Arc;
use std::{io, thread};

/// Time limit of a query to the daemon that claimed a key.
const OWNER_QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after its deadline an attempt still waits for the state machine's decision.
const DECISION_GRACE: Duration = Duration::from_secs(5);
/// How long the answer to a caller is held back until its outcome is in the log.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Claims idempotency keys through the shared log; one per daemon.
pub struct ClaimsDriver {
    partitions: Vec<Sender<Event>>,
    log: Arc<dyn Log>,
    peers: Arc<dyn Peers>,
    members: Arc<dyn Members>,
}

/// Settings of [`ClaimsDriver`].
#[derive(Clone, Copy, Debug)]
pub struct ClaimsConfig {
    /// Number of claim streams. Must be equal on every daemon, otherwise a key maps to different
    /// streams and its work may run twice.
    pub partitions: usize,
    /// Number of log records kept in memory per partition.
    pub max_records: usize,
    /// Maximum number of records in one append.
    pub max_batch: usize,
}

impl Default for ClaimsConfig {
    fn default() -> ClaimsConfig {
        ClaimsConfig { partitions: PARTITIONS, max_records: 20_000, max_batch: MAX_RECORDS }
    }
}

impl ClaimsDriver {
    /// Starts the threads of every partition; they stop when the driver is dropped.
    ///
    /// # Errors
    /// Fails when a thread cannot be spawned.
    pub fn start(
        config: ClaimsConfig,
        log: Arc<dyn Log>,
        peers: Arc<dyn Peers>,
        members: Arc<dyn Members>,
    ) -> io::Result<ClaimsDriver> {
        let start = |index: usize| {
            let log = log.clone();
            partition::start(stream_of(index), config, log, members.clone())
        };
        let partitions = (0..config.partitions.max(1)).map(start).collect::<io::Result<_>>()?;
        Ok(ClaimsDriver { partitions, log, peers, members })
    }

    /// Waits until every outcome and abandonment is in the log, for at most `limit`; returns false
    /// when that ran out. A daemon that exits earlier leaves keys whose outcome is unknown.
    pub fn flush(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let request = |partition: &Sender<Event>| {
            let (reply, flushed) = flume::bounded(1);
            partition.send(Event::Flush(reply)).ok().map(|()| flushed)
        };
        let pending: Vec<_> = self.partitions.iter().filter_map(request).collect();
        pending.iter().all(|flushed| flushed.recv_deadline(deadline).is_ok())
    }

    fn send(&self, key: &Key, event: Event) {
        // If the partition's thread has stopped, the event is dropped together with its reply channel,
        // which the caller sees as a disconnect.
        let _ = self.sender(key).send(event);
    }

    fn sender(&self, key: &Key) -> &Sender<Event> {
        &self.partitions[partition_of(key, self.partitions.len())]
    }

    fn local_work(&self, key: &Key) -> LocalWork {
        let (reply, work) = flume::bounded(1);
        self.send(key, Event::LocalWork(key.clone(), reply));
        work.recv().unwrap_or(LocalWork::Unknown)
    }

    /// Reads a recorded answer that was evicted from memory back from the log. Faults of the log are
    /// waited out as long as the partition waits before it refuses attempts.
    fn read_recorded(&self, key: &Key, stored: StoredAnswer, deadline: Instant) -> ClaimResult {
        let stream = stream_of(partition_of(key, self.partitions.len()));
        let mut give_up_at = None;
        loop {
            match self.log.read(&stream, stored.offset, 1, Duration::ZERO) {
                Ok(Records { records, .. }) if !records.is_empty() => {
                    let refused = ClaimResult::Refused(stored.lost);
                    return answer_of(key, &records[0].data).map_or(refused, ClaimResult::Settled);
                }
                Err(CallError::Trimmed(..)) => return ClaimResult::Refused(stored.lost),
                // A log that ends before the record has lost it for now, as after a restart.
                Ok(_) | Err(_) => {}
            }
            let now = Instant::now();
            if now >= *give_up_at.get_or_insert(deadline.min(now + LOG_FAULT_TIMEOUT)) {
                return ClaimResult::Refused(stored.unreadable);
            }
            thread::sleep(READ_RETRY_DELAY);
        }
    }

    fn query_owner(
        &self,
        key: &Key,
        owner: &Owner,
        deadline: Instant,
        refusal: Refusal,
    ) -> ClaimResult {
        if self.members.own().host == owner.host {
            return match self.local_work(key) {
                LocalWork::Done(outcome) if outcome.verdict == Verdict::Answered => {
                    ClaimResult::Settled(Outcome::clone(&outcome))
                }
                _ => ClaimResult::Refused(refusal),
            };
        }
        let limit = OWNER_QUERY_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let request = PeerRequest::Outcome { key: key.clone() };
        let members = self.members.all();
        let member = members.iter().find(|member| member.host == owner.host);
        let reply = member.and_then(|member| self.peers.ask(member.peer, &request, limit).ok());
        match reply {
            Some(PeerReply::Outcome { outcome: Some(json) }) => serde_json::from_str(&json)
                .ok()
                .filter(|outcome: &Outcome| outcome.verdict == Verdict::Answered)
                .map_or(ClaimResult::Refused(refusal), ClaimResult::Settled),
            _ => ClaimResult::Refused(refusal),
        }
    }
}

impl Drop for ClaimsDriver {
    fn drop(&mut self) {
        // The reader and appender threads hold senders too, so dropping ours does not close the
        // channel.
        for partition in &self.partitions {
            let _ = partition.send(Event::Stop);
        }
    }
}

impl Claims for ClaimsDriver {
    fn begin(&self, key: &Key, digest: u64, deadline: Instant) -> ClaimResult {
        let (reply, decision): (Sender<Decision>, Receiver<Decision>) = flume::bounded(1);
        let attempt = Attempt { key: key.clone(), digest, deadline };
        self.send(key, Event::Begin(attempt, reply));
        match decision.recv_deadline(deadline + DECISION_GRACE) {
            Ok(Decision::Won(offset)) => ClaimResult::Won(Claim { key: key.clone(), offset }),
            Ok(Decision::Replay(outcome)) => ClaimResult::Settled(Outcome::clone(&outcome)),
            Ok(Decision::ReadFromLog(stored)) => self.read_recorded(key, stored, deadline),
            Ok(Decision::AskOwner(owner, refusal)) => {
                self.query_owner(key, &owner, deadline, refusal)
            }
            Ok(Decision::Refused(refusal)) => ClaimResult::Refused(refusal),
            Err(_) => ClaimResult::Refused(partition_stopped(key)),
        }
    }

    fn dispatch(&self, claim: &Claim) -> bool {
        let (reply, granted) = flume::bounded(1);
        self.send(&claim.key, Event::Dispatch(claim.offset, reply));
        granted.recv().unwrap_or(false)
    }

    fn settle(&self, claim: &Claim, outcome: Outcome) {
        let (reply, recorded) = flume::bounded(1);
        self.send(&claim.key, Event::Settle(claim.offset, outcome, reply));
        // The outcome has to be in the log before the caller is answered, so that it survives the
        // loss of this host right afterwards. If the append takes too long, the caller is answered
        // anyway, since the work has run. A disconnect signals that the record was written.
        let _ = recorded.recv_timeout(RECORD_TIMEOUT);
    }

    fn abandon(&self, claim: &Claim) {
        self.send(&claim.key, Event::Abandon(claim.offset));
    }
}

impl PeerHandler for ClaimsDriver {
    fn answer(&self, request: &PeerRequest) -> Option<PeerReply> {
        let PeerRequest::Outcome { key } = request else { return None };
        let reply = match self.local_work(key) {
            LocalWork::Unknown => {
                PeerReply::Unable { reason: format!("key `{key}` is not worked on here") }
            }
            LocalWork::InProgress => PeerReply::Outcome { outcome: None },
            LocalWork::Done(outcome) => match serde_json::to_string(&*outcome) {
                Ok(json) => PeerReply::Outcome { outcome: Some(json) },
                Err(err) => PeerReply::Unable { reason: err.to_string() },
            },
        };
        Some(reply)
    }
}

/// The answer in a record, if it is one of this key.
fn answer_of(key: &Key, record: &str) -> Option<Outcome> {
    match Record::parse(record)? {
        Record { key: of, act: Act::Outcome { outcome, .. }, .. } if of == *key => Some(outcome),
        _ => None,
    }
}

/// Refusal when the partition's thread has stopped, so that the key's state in the log is unknown.
fn partition_stopped(key: &Key) -> Refusal {
    let text = format!(
        "this attempt did not run; whether an earlier one with key `{key}` ran is not known: this \
         daemon cannot judge keys; send it again with the same key"
    );
    Refusal::may_have_run(Code::Internal, text).after(Duration::from_secs(1))
}
