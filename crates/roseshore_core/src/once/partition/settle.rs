//! Operators' queries about keys, and their settlements of keys that nobody else can resolve.
//!
//! A settlement is a record like any other: the first one in the log's order counts, and its sender
//! learns the result by reading it back. A settlement that is given up is withdrawn if it certainly
//! was never sent. Otherwise it is not known whether it will take effect.

use super::{Action, AttemptId, Partition, Phase};
use crate::once::key_time::{MAX_SKEW, Millis};
use crate::once::keys::{AppliedSettlement, State};
use crate::once::record::{Act, Nonce, Record, Settlement};
use crate::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a daemon knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyStatus {
    /// One past the last record read.
    pub offset: Offset,
    /// Whether the end of the log was read after the query arrived.
    pub current: bool,
    /// The log's time of the newest record read; `None` before the first.
    pub time: Option<Millis>,
    /// Whether every claim that the key ever had is certain to have been read.
    pub covered: bool,
    /// The state of the key.
    pub state: State,
    /// The last settlement that took effect.
    pub settlement: Option<Arc<AppliedSettlement>>,
}

/// A settlement to be recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettleRequest {
    /// The key to settle.
    pub key: Key,
    /// The operator's statement.
    pub settlement: Settlement,
    /// How long to wait until the record is read back.
    pub deadline: Instant,
}

/// The result of a settlement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleResult {
    /// It took effect, and is recorded at this offset.
    Applied(Offset),
    /// It changed nothing and never will.
    Rejected(Refusal),
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// What the claimant says of a key that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimantStatus {
    /// Nobody holds the key, or the claimant is no longer a member.
    Gone,
    /// The claimant answers; it is not working on the key and does not know its outcome.
    Idle,
    /// The claimant answers; it is working on the key or knows its outcome.
    Working,
    /// The claimant is a member, and does not answer.
    Unresponsive,
}

/// Whether a settlement may be sent, by what the daemon knows beforehand. Returns the claim that it
/// is about; `None` for a key that nobody holds.
///
/// # Errors
/// A refusal of the operator's command; nothing was sent.
pub fn may_settle(
    key: &Key,
    status: &KeyStatus,
    ran: bool,
    claimant: ClaimantStatus,
) -> Result<Option<Nonce>, Refusal> {
    if !status.current {
        let text = "the log cannot be read from here; nothing was sent, ask another host";
        return Err(Refusal::not_run(Code::LogUnreachable, text));
    }
    match (&status.state, claimant) {
        (State::Recorded(_) | State::Ran(_), _) => Err(already_settled(key)),
        (State::Free, _) if !ran => {
            let text = format!("nobody holds key `{key}`; there is nothing to settle");
            Err(Refusal::not_run(Code::CommandInvalid, text))
        }
        (State::Free, _) => Ok(None),
        (State::Held(_), ClaimantStatus::Working | ClaimantStatus::Unresponsive) => {
            let text = format!(
                "the claimant of key `{key}` is among the daemons and may be working on it; wait for \
                 its end, or end that daemon and wait until it is gone"
            );
            Err(Refusal::not_run(Code::KeyInProgress, text))
        }
        (State::Held(held), _) if held.may_dispatch(status.time.unwrap_or_default()) => {
            Err(may_still_dispatch(key, held.until))
        }
        (State::Held(held) | State::Unknown(held), _) => Ok(Some(held.nonce)),
    }
}

/// The first recorded outcome or settlement stands.
fn already_settled(key: &Key) -> Refusal {
    let text = format!("key `{key}` is settled already; look with `roseshore key`");
    Refusal::not_run(Code::CommandConflict, text)
}

/// The claimant may still dispatch.
fn may_still_dispatch(key: &Key, until: Millis) -> Refusal {
    let text = format!(
        "the claimant of key `{key}` may dispatch it until {until} ms of the epoch by the log's time, \
         and {} s more are waited out; look at the target again then, and settle it",
        MAX_SKEW.as_secs()
    );
    Refusal::not_run(Code::KeyInProgress, text)
}

/// The state of the key has changed since the operator looked.
fn key_changed(key: &Key) -> Refusal {
    let text = format!("key `{key}` changed before the word landed; look with `roseshore key`");
    Refusal::not_run(Code::CommandConflict, text)
}

/// The pending requests of operators.
#[derive(Debug, Default)]
pub(super) struct OperatorRequests {
    queries: BTreeMap<AttemptId, KeyQuery>,
    settlements: BTreeMap<AttemptId, SentSettlement>,
}

#[derive(Debug)]
struct KeyQuery {
    key: Key,
    /// The number of reads begun before it arrived.
    reads_before: u64,
    /// A mark that must be read back first, so that the log's time is that of the query.
    mark: Option<Nonce>,
    deadline: Instant,
}

#[derive(Debug)]
struct SentSettlement {
    nonce: Nonce,
    deadline: Instant,
}

impl OperatorRequests {
    pub(super) fn is_empty(&self) -> bool {
        self.queries.is_empty() && self.settlements.is_empty()
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let queries = self.queries.values().map(|query| query.deadline);
        queries.chain(self.settlements.values().map(|sent| sent.deadline)).min()
    }

    pub(super) fn reads_before(&self) -> Option<u64> {
        self.queries.values().map(|query| query.reads_before).max()
    }
}

impl Partition {
    /// Queries the status of a key. The answer comes once the end of the log has been read, or at
    /// the deadline. With `mark`, a mark is appended and read back first, so that the answer
    /// contains the log's current time.
    pub fn query_key(&mut self, key: Key, mark: bool, deadline: Instant) -> AttemptId {
        let id = self.next_id;
        let nonce = self.next_nonce();
        if mark {
            self.batch.push(&Record::mark(nonce));
        }
        let query =
            KeyQuery { key, reads_before: self.reads_begun, mark: mark.then_some(nonce), deadline };
        self.operators.queries.insert(id, query);
        id
    }

    /// Sends an operator's settlement of a key.
    pub fn submit_settlement(&mut self, request: SettleRequest) -> AttemptId {
        let id = self.next_id;
        let nonce = self.next_nonce();
        let SettleRequest { key, settlement, deadline } = request;
        self.batch.push(&Record { key, nonce, act: Act::Settle(settlement) });
        self.operators.settlements.insert(id, SentSettlement { nonce, deadline });
        id
    }

    /// Answers the queries that arrived before the last completed read began.
    pub(super) fn answer_queries(&mut self) {
        let current = self.current_read;
        let is_answered = |query: &KeyQuery| current > query.reads_before && query.mark.is_none();
        let queries = std::mem::take(&mut self.operators.queries);
        for (id, query) in queries {
            if is_answered(&query) {
                self.report_key(id, &query.key, true);
            } else {
                self.operators.queries.insert(id, query);
            }
        }
    }

    /// A mark was read back.
    pub(super) fn on_mark(&mut self, nonce: Nonce) {
        for query in self.operators.queries.values_mut().filter(|query| query.mark == Some(nonce)) {
            query.mark = None;
        }
    }

    fn report_key(&mut self, id: AttemptId, key: &Key, current: bool) {
        let keys = &self.keys;
        let (offset, time, covered) = (keys.next(), keys.newest_time(), keys.covers(key));
        let (state, settlement) = (keys.state(key).clone(), keys.settlement(key).cloned());
        self.actions.push(Action::ReportKey(
            id,
            KeyStatus { offset, current, time, covered, state, settlement },
        ));
    }

    /// A settlement was read back: reports the result to its sender, and ends the attempt whose
    /// claim it voids.
    pub(super) fn on_settlement(&mut self, record: &Record, at: Offset) {
        self.batch.revoke(record.nonce);
        let key = &record.key;
        let keys = &self.keys;
        let holds = |nonce| matches!(keys.state(key), State::Held(held) if held.nonce == nonce);
        self.running.retain(|_, run| {
            !(matches!(run.phase, Phase::Won(_)) && run.attempt.key == *key && !holds(run.nonce))
        });
        let mut settlements = self.operators.settlements.iter();
        let Some(id) = settlements.find(|(_, sent)| sent.nonce == record.nonce).map(|(id, _)| *id)
        else {
            return;
        };
        self.operators.settlements.remove(&id);
        let taken = keys.settlement(key).is_some_and(|settled| settled.nonce == record.nonce);
        let result = match keys.state(key) {
            _ if taken => SettleResult::Applied(at),
            State::Recorded(_) | State::Ran(_) => SettleResult::Rejected(already_settled(key)),
            State::Held(held) if concerns(&record.act, held.nonce) => {
                SettleResult::Rejected(may_still_dispatch(key, held.until))
            }
            _ => SettleResult::Rejected(key_changed(key)),
        };
        self.actions.push(Action::ReportSettle(id, result));
    }

    /// Gives up the requests that have reached their deadline, or all of them while the log is
    /// unavailable.
    pub(super) fn expire_requests(&mut self, log_down: bool, now: Instant) {
        let OperatorRequests { queries, settlements } = std::mem::take(&mut self.operators);
        for (id, query) in queries {
            if log_down || now >= query.deadline {
                self.report_key(id, &query.key, false);
            } else {
                self.operators.queries.insert(id, query);
            }
        }
        for (id, sent) in settlements {
            if !log_down && now < sent.deadline {
                self.operators.settlements.insert(id, sent);
                continue;
            }
            let result = if self.batch.revoke(sent.nonce) {
                let text = "the log takes no records now; nothing was sent, settle it later";
                SettleResult::Rejected(Refusal::not_run(Code::LogUnreachable, text))
            } else {
                SettleResult::Unknown
            };
            self.actions.push(Action::ReportSettle(id, result));
        }
    }
}

fn concerns(act: &Act, claim: Nonce) -> bool {
    matches!(act, Act::Settle(settlement) if settlement.claim == Some(claim))
}
