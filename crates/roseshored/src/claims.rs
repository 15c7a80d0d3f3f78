//! The driver of unrepeatable work.
//!
//! Each partition of the claim streams has three threads: one owns the state machine and never
//! blocks on anything but its events, one appends, one reads. Callers send an event and wait for
//! the machine's word; it answers every attempt by its deadline, so that nobody needs a timer here.

mod guard;
mod operator;
mod partition;

pub use guard::ClaimGuard;

use flume::{Receiver, Sender};
use partition::Event;
use roseshore_core::once::batch::MAX_RECORDS;
use roseshore_core::once::partition::{Attempt, Decision, LocalWork};
use roseshore_core::once::record::{Act, Owner, Record};
use roseshore_core::once::{PARTITIONS, partition_of, stream_of};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Claim, ClaimResult, Claims, Members, Outcome, PeerHandler};
use roseshore_ports::outside::{Log, Peers};
use roseshore_wire::peer::{PeerReply, PeerRequest};
use std::io;
use std::sync::Arc;

/// How long a claimant is asked for its answer.
const ASK_LIMIT: Duration = Duration::from_secs(1);
/// How long past its deadline an attempt waits for the machine's word.
const GRACE: Duration = Duration::from_secs(5);
/// How long an answer waits for its record in the log.
const RECORD_LIMIT: Duration = Duration::from_millis(500);

/// Claims keys through the log.
pub struct ClaimsDriver {
    partitions: Vec<Sender<Event>>,
    log: Arc<dyn Log>,
    peers: Arc<dyn Peers>,
    members: Arc<dyn Members>,
}

/// What the driver is started with.
#[derive(Clone, Copy, Debug)]
pub struct ClaimsConfig {
    /// The number of claim streams; the same on every daemon, or keys may run twice.
    pub partitions: usize,
    /// Records remembered in each partition.
    pub max_records: usize,
    /// Records in one append at most.
    pub max_batch: usize,
}

impl Default for ClaimsConfig {
    fn default() -> ClaimsConfig {
        ClaimsConfig { partitions: PARTITIONS, max_records: 20_000, max_batch: MAX_RECORDS }
    }
}

impl ClaimsDriver {
    /// Starts the threads of every partition; they end when the driver is dropped.
    ///
    /// # Errors
    /// When a thread cannot be started.
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

    /// Waits until the log has taken every outcome and abandonment, for `limit` at most; a daemon
    /// that ends before leaves keys whose end nobody knows.
    pub fn flush(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let ask = |partition: &Sender<Event>| {
            let (told, flushed) = flume::bounded(1);
            partition.send(Event::Flush(told)).ok().map(|()| flushed)
        };
        let asked: Vec<_> = self.partitions.iter().filter_map(ask).collect();
        asked.iter().all(|flushed| flushed.recv_deadline(deadline).is_ok())
    }

    fn send(&self, key: &Key, event: Event) {
        // A partition whose thread is gone drops the event, and the caller's channel with it.
        let _ = self.sender(key).send(event);
    }

    fn sender(&self, key: &Key) -> &Sender<Event> {
        &self.partitions[partition_of(key, self.partitions.len())]
    }

    fn work(&self, key: &Key) -> LocalWork {
        let (told, answer) = flume::bounded(1);
        self.send(key, Event::Work(key.clone(), told));
        answer.recv().unwrap_or(LocalWork::Unknown)
    }

    /// Reads a recorded answer that is not held in memory any more.
    fn stored(&self, key: &Key, offset: Offset, refusal: Refusal) -> ClaimResult {
        let stream = stream_of(partition_of(key, self.partitions.len()));
        let read = self.log.read(&stream, offset, 1, Duration::ZERO);
        let line = read.ok().and_then(|read| read.records.into_iter().next());
        let record = line.filter(|line| line.offset == offset);
        match record.and_then(|line| Record::parse(&line.data)) {
            Some(Record { key: of, act: Act::Outcome { outcome, .. }, .. }) if of == *key => {
                ClaimResult::Settled(outcome)
            }
            _ => ClaimResult::Refused(refusal),
        }
    }

    fn ask_owner(
        &self,
        key: &Key,
        owner: &Owner,
        deadline: Instant,
        refusal: Refusal,
    ) -> ClaimResult {
        if self.members.own().host == owner.host {
            return match self.work(key) {
                LocalWork::Done(outcome) if outcome.verdict == Verdict::Answered => {
                    ClaimResult::Settled(Outcome::clone(&outcome))
                }
                _ => ClaimResult::Refused(refusal),
            };
        }
        let limit = ASK_LIMIT.min(deadline.saturating_duration_since(Instant::now()));
        let ask = PeerRequest::Outcome { key: key.clone() };
        let members = self.members.all();
        let member = members.iter().find(|member| member.host == owner.host);
        let reply = member.and_then(|member| self.peers.ask(member.peer, &ask, limit).ok());
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
        // The reader and the appender hold senders too, so that the channel alone would not end.
        for partition in &self.partitions {
            let _ = partition.send(Event::Stop);
        }
    }
}

impl Claims for ClaimsDriver {
    fn begin(&self, key: &Key, digest: u64, deadline: Instant) -> ClaimResult {
        let (told, decided): (Sender<Decision>, Receiver<Decision>) = flume::bounded(1);
        let ask = Attempt { key: key.clone(), digest, deadline };
        self.send(key, Event::Begin(ask, told));
        match decided.recv_deadline(deadline + GRACE) {
            Ok(Decision::Won(offset)) => ClaimResult::Won(Claim { key: key.clone(), offset }),
            Ok(Decision::Replay(outcome)) => ClaimResult::Settled(Outcome::clone(&outcome)),
            Ok(Decision::ReadFromLog(offset, refusal)) => self.stored(key, offset, refusal),
            Ok(Decision::AskOwner(owner, refusal)) => {
                self.ask_owner(key, &owner, deadline, refusal)
            }
            Ok(Decision::Refused(refusal)) => ClaimResult::Refused(refusal),
            Err(_) => ClaimResult::Refused(lost(key)),
        }
    }

    fn dispatch(&self, claim: &Claim) -> bool {
        let (told, granted) = flume::bounded(1);
        self.send(&claim.key, Event::Dispatch(claim.offset, told));
        granted.recv().unwrap_or(false)
    }

    fn settle(&self, claim: &Claim, outcome: Outcome) {
        let (told, recorded) = flume::bounded(1);
        self.send(&claim.key, Event::Settle(claim.offset, outcome, told));
        // A host that is lost right after its caller was answered must leave the answer behind.
        // When the log does not take it in time, the caller is answered all the same, since the
        // work has run. The end of the wait is a dropped sender.
        let _ = recorded.recv_timeout(RECORD_LIMIT);
    }

    fn abandon(&self, claim: &Claim) {
        self.send(&claim.key, Event::Abandon(claim.offset));
    }
}

impl PeerHandler for ClaimsDriver {
    fn answer(&self, ask: &PeerRequest) -> Option<PeerReply> {
        let PeerRequest::Outcome { key } = ask else { return None };
        let reply = match self.work(key) {
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

/// The partition's thread is gone; what the log holds of the key is not known here.
fn lost(key: &Key) -> Refusal {
    let text = format!(
        "this attempt did not run; whether an earlier one with key `{key}` ran is not known: this \
         daemon cannot judge keys; send it again with the same key"
    );
    Refusal::may_have_run(Code::Internal, text).after(Duration::from_secs(1))
}
