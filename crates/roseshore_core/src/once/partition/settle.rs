//! Operators' questions about keys, and their word on one that nobody else can settle.
//!
//! A word is a record like any other: the first one in the log's order counts, and its sender knows
//! how it went once it has read it back. One that is given up is taken back if it certainly never
//! left; of any other nobody knows yet whether it takes effect.

use super::{Action, AttemptId, Partition, Phase};
use crate::once::key_time::{MAX_SKEW, Millis};
use crate::once::keys::{AppliedSettlement, State};
use crate::once::record::{Act, Nonce, Record, Settlement};
use crate::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyStatus {
    /// One past the last record folded.
    pub offset: Offset,
    /// Whether the log's end was read after the question came.
    pub current: bool,
    /// The log's time of the newest record seen.
    pub time: Option<Millis>,
    /// Whether every claim that the key ever had must have been seen.
    pub covered: bool,
    /// Where the key stands.
    pub state: State,
    /// The last operator's word that took effect.
    pub settlement: Option<Arc<AppliedSettlement>>,
}

/// What an operator wants recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettleRequest {
    /// The key.
    pub key: Key,
    /// The word.
    pub settlement: Settlement,
    /// How long to wait for its place in the log.
    pub deadline: Instant,
}

/// What became of an operator's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleResult {
    /// It took effect, and stands at this offset.
    Applied(Offset),
    /// It changed nothing and never will.
    Rejected(Refusal),
    /// It may take effect, now or later.
    Unknown,
}

/// What the claimant says of a key that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimantStatus {
    /// Nobody holds the key, or the claimant is no longer counted among the daemons.
    Gone,
    /// It is there, and neither works on the key nor knows its end.
    Idle,
    /// It is there, and works on the key or knows its end.
    Working,
    /// It is counted among the daemons, and does not answer.
    Unresponsive,
}

/// Whether an operator's word may be sent, by what a daemon knows before; the claim it is about.
///
/// # Errors
/// A refusal of the command; nothing was sent.
pub fn may_settle(
    key: &Key,
    known: &KeyStatus,
    ran: bool,
    claimant: ClaimantStatus,
) -> Result<Option<Nonce>, Refusal> {
    if !known.current {
        let text = "the log cannot be read from here; nothing was sent, ask another host";
        return Err(Refusal::not_run(Code::LogUnreachable, text));
    }
    match (&known.state, claimant) {
        (State::Recorded(_) | State::Ran(_), _) => Err(already(key)),
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
        (State::Held(held), _) if held.may_dispatch(known.time.unwrap_or_default()) => {
            Err(early(key, held.until))
        }
        (State::Held(held) | State::Unknown(held), _) => Ok(Some(held.nonce)),
    }
}

/// The first end in the log stays.
fn already(key: &Key) -> Refusal {
    let text = format!("key `{key}` is settled already; look with `roseshore key`");
    Refusal::not_run(Code::CommandConflict, text)
}

/// The claimant may still dispatch.
fn early(key: &Key, until: Millis) -> Refusal {
    let text = format!(
        "the claimant of key `{key}` may dispatch it until {until} ms of the epoch by the log's time, \
         and {} s more are waited out; look at the target again then, and settle it",
        MAX_SKEW.as_secs()
    );
    Refusal::not_run(Code::KeyInProgress, text)
}

/// The key has moved on since the operator looked.
fn changed(key: &Key) -> Refusal {
    let text = format!("key `{key}` changed before the word landed; look with `roseshore key`");
    Refusal::not_run(Code::CommandConflict, text)
}

/// What operators wait for.
#[derive(Debug, Default)]
pub(super) struct Desk {
    looks: BTreeMap<AttemptId, Look>,
    words: BTreeMap<AttemptId, Sent>,
}

#[derive(Debug)]
struct Look {
    key: Key,
    /// Reads that had begun when it came.
    earlier: u64,
    /// A mark that must be read back first, so that the log's time is that of the question.
    mark: Option<Nonce>,
    deadline: Instant,
}

#[derive(Debug)]
struct Sent {
    nonce: Nonce,
    deadline: Instant,
}

impl Desk {
    pub(super) fn is_empty(&self) -> bool {
        self.looks.is_empty() && self.words.is_empty()
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let looks = self.looks.values().map(|look| look.deadline);
        looks.chain(self.words.values().map(|sent| sent.deadline)).min()
    }

    pub(super) fn earlier(&self) -> Option<u64> {
        self.looks.values().map(|look| look.earlier).max()
    }
}

impl Partition {
    /// Asks what is known of a key, once the log's end was read or the deadline has come; with
    /// `mark`, the log's time is learned too.
    pub fn query_key(&mut self, key: Key, mark: bool, deadline: Instant) -> AttemptId {
        let id = self.count;
        let nonce = self.fresh();
        if mark {
            self.batch.push(&Record::mark(nonce));
        }
        let look = Look { key, earlier: self.reads, mark: mark.then_some(nonce), deadline };
        self.desk.looks.insert(id, look);
        id
    }

    /// Sends an operator's word on a key.
    pub fn submit_settlement(&mut self, settling: SettleRequest) -> AttemptId {
        let id = self.count;
        let nonce = self.fresh();
        let SettleRequest { key, settlement, deadline } = settling;
        self.batch.push(&Record { key, nonce, act: Act::Settle(settlement) });
        self.desk.words.insert(id, Sent { nonce, deadline });
        id
    }

    /// Answers the questions that the last read was begun after.
    pub(super) fn show_current(&mut self) {
        let current = self.current;
        let answered = |look: &Look| current > look.earlier && look.mark.is_none();
        let looks = std::mem::take(&mut self.desk.looks);
        for (id, look) in looks {
            if answered(&look) {
                self.show(id, &look.key, true);
            } else {
                self.desk.looks.insert(id, look);
            }
        }
    }

    /// A mark was read back.
    pub(super) fn marked(&mut self, nonce: Nonce) {
        for look in self.desk.looks.values_mut().filter(|look| look.mark == Some(nonce)) {
            look.mark = None;
        }
    }

    fn show(&mut self, id: AttemptId, key: &Key, current: bool) {
        let keys = &self.keys;
        let (offset, time, covered) = (keys.next(), keys.newest_time(), keys.covers(key));
        let (state, settlement) = (keys.state(key).clone(), keys.settlement(key).cloned());
        self.actions.push(Action::ReportKey(
            id,
            KeyStatus { offset, current, time, covered, state, settlement },
        ));
    }

    /// A word was read back: tells its sender, and ends the attempt whose claim it voids.
    pub(super) fn on_settlement(&mut self, record: &Record, at: Offset) {
        self.batch.revoke(record.nonce);
        let key = &record.key;
        let keys = &self.keys;
        let holds = |nonce| matches!(keys.state(key), State::Held(held) if held.nonce == nonce);
        self.running.retain(|_, run| {
            !(matches!(run.phase, Phase::Won(_)) && run.ask.key == *key && !holds(run.nonce))
        });
        let mut words = self.desk.words.iter();
        let Some(id) = words.find(|(_, sent)| sent.nonce == record.nonce).map(|(id, _)| *id) else {
            return;
        };
        self.desk.words.remove(&id);
        let taken = keys.settlement(key).is_some_and(|settled| settled.nonce == record.nonce);
        let ruling = match keys.state(key) {
            _ if taken => SettleResult::Applied(at),
            State::Recorded(_) | State::Ran(_) => SettleResult::Rejected(already(key)),
            State::Held(held) if is_about(&record.act, held.nonce) => {
                SettleResult::Rejected(early(key, held.until))
            }
            _ => SettleResult::Rejected(changed(key)),
        };
        self.actions.push(Action::ReportSettle(id, ruling));
    }

    /// Gives up what is over its time, or all of it while the log is out.
    pub(super) fn tick_desk(&mut self, out: bool, now: Instant) {
        let Desk { looks, words } = std::mem::take(&mut self.desk);
        for (id, look) in looks {
            if out || now >= look.deadline {
                self.show(id, &look.key, false);
            } else {
                self.desk.looks.insert(id, look);
            }
        }
        for (id, sent) in words {
            if !out && now < sent.deadline {
                self.desk.words.insert(id, sent);
                continue;
            }
            let ruling = if self.batch.revoke(sent.nonce) {
                let text = "the log takes no records now; nothing was sent, settle it later";
                SettleResult::Rejected(Refusal::not_run(Code::LogUnreachable, text))
            } else {
                SettleResult::Unknown
            };
            self.actions.push(Action::ReportSettle(id, ruling));
        }
    }
}

fn is_about(act: &Act, claim: Nonce) -> bool {
    matches!(act, Act::Settle(word) if word.claim == Some(claim))
}
