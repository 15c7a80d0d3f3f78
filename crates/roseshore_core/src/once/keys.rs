//! The state of keys, folded from one claim stream.
//!
//! A key goes from free to held to recorded, or back to free by its claimant's own record. A claim
//! of a key that is not free is void forever. So is a claim whose abandonment precedes it in the
//! log: an append whose reply was lost may take effect after the record that gives it up. Clocks of
//! daemons are never used: the log's own times are compared only with each other and with the
//! creation time that a key carries.

use super::key_time::{MAX_SKEW, Millis, created_at};
use super::record::{Act, Nonce, Outcome, Owner, Record, Settlement};
use crate::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// The most bytes of answer bodies held in memory. Older ones are read from the log again.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The state of the keys of one partition.
#[derive(Debug)]
pub struct Keys {
    entries: FxHashMap<Arc<str>, Entry>,
    touches: VecDeque<KeyTouch>,
    /// The offset to read from.
    next: Offset,
    window: Window,
    newest_time: Option<Millis>,
    max_records: usize,
    /// The keys whose answers are held in memory and the sizes of their bodies, the oldest first.
    bodies: VecDeque<(Arc<str>, usize)>,
    body_bytes: usize,
}

/// How far back the folded records reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Window {
    /// Whether they begin with the first record of the stream.
    complete: bool,
    /// The log's time of the first record; records before it are no newer.
    start: Option<Millis>,
}

/// A record about a key.
#[derive(Debug)]
struct KeyTouch {
    offset: Offset,
    time: Millis,
    key: Arc<str>,
}

#[derive(Debug, Default)]
struct Entry {
    state: State,
    /// The nonces of claims that are void, and of settlements that have been read.
    void_nonces: Vec<Nonce>,
    last_offset: Offset,
    settlement: Option<Arc<AppliedSettlement>>,
}

/// The state of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Nobody holds the key.
    #[default]
    Free,
    /// A claimant holds the key and may be working on it.
    Held(Holder),
    /// The claimant recorded that it is not known whether the request ran.
    Unknown(Holder),
    /// The outcome is recorded.
    Recorded(RecordedOutcome),
    /// An operator stated that the request ran; its answer is lost. Contains the digest of the
    /// request's body, if known.
    Ran(Option<u64>),
}

/// The last operator's settlement of a key that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedSettlement {
    /// The nonce of its record.
    pub nonce: Nonce,
    /// The offset of its record.
    pub offset: Offset,
    /// The operator's statement.
    pub settlement: Settlement,
}

/// A claim that holds its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The nonce of the claim.
    pub nonce: Nonce,
    /// The claimant; `None` if the claim is no longer kept.
    pub owner: Option<Owner>,
    /// A digest of the request's body.
    pub digest: u64,
    /// The offset of the record that put the key into its state.
    pub offset: Offset,
    /// The log's time of the record.
    pub since: Millis,
    /// The log's time after which the claimant no longer dispatches.
    pub until: Millis,
}

/// A recorded outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedOutcome {
    /// A digest of the request's body.
    pub digest: u64,
    /// The answer; `None` if it is not held in memory.
    pub outcome: Option<Arc<Outcome>>,
    /// Whether the record contains the answer's body.
    pub whole: bool,
    /// The offset of the record.
    pub offset: Offset,
    /// The claimant that may still hold a body too large for the log.
    pub owner: Option<Owner>,
}

impl Keys {
    /// The state before the first record of the stream; keeps at most `max_records` records.
    pub fn new(max_records: usize) -> Keys {
        let window = Window { complete: true, start: None };
        let (entries, touches, bodies) = Default::default();
        Keys {
            entries,
            touches,
            next: 0,
            window,
            newest_time: None,
            max_records,
            bodies,
            body_bytes: 0,
        }
    }

    /// The offset to read from.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The log's time of the newest record seen; `None` before the first.
    pub fn newest_time(&self) -> Option<Millis> {
        self.newest_time
    }

    /// The number of keys kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Discards all state and continues at the oldest record that the log still has.
    pub fn restart(&mut self, oldest: Offset) {
        self.entries.clear();
        self.touches.clear();
        self.bodies.clear();
        self.body_bytes = 0;
        self.next = oldest;
        self.window = Window { complete: oldest == 0, start: None };
    }

    /// Applies the record at [`Keys::next`]; one at another offset is ignored. Returns the record
    /// unless it was ignored or cannot be parsed.
    pub fn apply(&mut self, offset: Offset, time: Millis, line: &str) -> Option<Record> {
        if offset != self.next {
            return None;
        }
        self.next += 1;
        self.window.start.get_or_insert(time);
        self.newest_time = Some(time);
        let record = Record::parse(line)?;
        self.apply_record(offset, time, &record);
        self.evict();
        self.evict_bodies();
        Some(record)
    }

    /// The state of a key; free if no record about it is kept.
    pub fn state(&self, key: &Key) -> &State {
        self.entries.get(key.as_str()).map_or(&State::Free, |entry| &entry.state)
    }

    /// The last operator's settlement of a key that took effect.
    pub fn settlement(&self, key: &Key) -> Option<&Arc<AppliedSettlement>> {
        self.entries.get(key.as_str()).and_then(|entry| entry.settlement.as_ref())
    }

    /// Whether a claim has been seen and neither holds its key nor ever will.
    pub fn is_void(&self, key: &Key, nonce: Nonce) -> bool {
        self.entries.get(key.as_str()).is_some_and(|entry| entry.void_nonces.contains(&nonce))
    }

    /// Whether every claim that the key ever had is certain to be among the folded records.
    pub fn covers(&self, key: &Key) -> bool {
        if self.window.complete {
            return true;
        }
        match (created_at(key), self.window.start) {
            (Some(created_at), Some(start)) => {
                created_at > start.saturating_add(MAX_SKEW.as_millis() as u64)
            }
            _ => false,
        }
    }

    /// Whether the key's creation time is ahead of the log's time by more than [`MAX_SKEW`].
    pub fn is_in_future(&self, key: &Key) -> bool {
        let newest_time = self.newest_time.unwrap_or(Millis::MAX);
        is_created_after(key, newest_time)
    }

    fn apply_record(&mut self, offset: Offset, time: Millis, record: &Record) {
        if record.act == Act::Mark {
            return;
        }
        let existing = self.entries.get_key_value(record.key.as_str());
        let key: Arc<str> =
            existing.map_or_else(|| record.key.as_str().into(), |(key, _)| key.clone());
        let entry = self.entries.entry(key.clone()).or_default();
        entry.last_offset = offset;
        self.touches.push_back(KeyTouch { offset, time, key: key.clone() });
        let at = Position { nonce: record.nonce, offset, time };
        match &record.act {
            Act::Claim { owner, digest, left } => {
                let void = is_created_after(&record.key, time);
                let (nonce, digest) = (record.nonce, *digest);
                let owner = Some(owner.clone());
                let (since, until) = (time, time.saturating_add(*left));
                entry.claim(Holder { nonce, owner, digest, offset, since, until }, void);
            }
            Act::Abandon => entry.release(record.nonce),
            Act::Outcome { digest, outcome, whole } => {
                entry.outcome(&at, *digest, outcome, *whole);
            }
            Act::Settle(settlement) => entry.settle(&at, settlement),
            Act::Mark => {}
        }
        let State::Recorded(recorded) = &entry.state else { return };
        if let Some(outcome) = recorded.outcome.as_ref().filter(|_| recorded.offset == offset) {
            self.body_bytes += outcome.body.len();
            self.bodies.push_back((key, outcome.body.len()));
        }
    }

    /// Evicts the keys of the oldest records. Keys of that age are then no longer covered, see
    /// [`Keys::covers`].
    fn evict(&mut self) {
        while self.touches.len() > self.max_records {
            let Some(KeyTouch { offset, time, key }) = self.touches.pop_front() else { return };
            if self.entries.get(&key).is_some_and(|entry| entry.last_offset == offset) {
                self.entries.remove(&key);
            }
            self.window = Window { complete: false, start: Some(time) };
        }
    }

    fn evict_bodies(&mut self) {
        while self.body_bytes > MAX_BODY_BYTES {
            let Some((key, body_bytes)) = self.bodies.pop_front() else { return };
            self.body_bytes -= body_bytes;
            if let Some(Entry { state: State::Recorded(recorded), .. }) = self.entries.get_mut(&key)
            {
                recorded.outcome = None;
            }
        }
    }
}

impl Entry {
    /// Applies a claim; `void` if the key's creation time lies in the future.
    fn claim(&mut self, holder: Holder, void: bool) {
        let nonce = holder.nonce;
        let already_void = self.void_nonces.contains(&nonce);
        match &self.state {
            State::Held(held) | State::Unknown(held) if held.nonce == nonce => {}
            State::Free if !already_void && !void => self.state = State::Held(holder),
            _ if already_void => {}
            _ => self.void_nonces.push(nonce),
        }
    }

    /// Frees the key if this claim holds it, and voids the claim in any case.
    fn release(&mut self, nonce: Nonce) {
        if let State::Held(held) = &self.state
            && held.nonce == nonce
        {
            self.state = State::Free;
        }
        if !self.void_nonces.contains(&nonce) {
            self.void_nonces.push(nonce);
        }
    }

    fn outcome(&mut self, at: &Position, digest: u64, outcome: &Outcome, whole: bool) {
        let Position { nonce, offset, time } = *at;
        let owner = match &self.state {
            State::Recorded(_) | State::Ran(_) => return,
            State::Held(held) | State::Unknown(held) if held.nonce == nonce => held.owner.clone(),
            _ => None,
        };
        match outcome.verdict {
            Verdict::NotRun => self.release(nonce),
            Verdict::MayHaveRun => {
                let (since, until) = (time, time);
                self.state = State::Unknown(Holder { nonce, owner, digest, offset, since, until });
            }
            Verdict::Answered => {
                let outcome = whole.then(|| Arc::new(outcome.clone()));
                self.state =
                    State::Recorded(RecordedOutcome { digest, outcome, whole, offset, owner });
            }
        }
    }

    /// A settlement names the claim that it is about, so that one that lands late cannot void a
    /// later claim. It takes effect only when the claimant can no longer dispatch, by the log's own
    /// times.
    fn settle(&mut self, at: &Position, settlement: &Settlement) {
        if self.void_nonces.contains(&at.nonce) {
            return;
        }
        self.void_nonces.push(at.nonce);
        let (claim, digest) = match &self.state {
            State::Recorded(_) | State::Ran(_) => return,
            State::Held(held) if held.may_dispatch(at.time) => return,
            State::Held(held) | State::Unknown(held) => (Some(held.nonce), Some(held.digest)),
            State::Free => (None, None),
        };
        if claim != settlement.claim || (claim.is_none() && !settlement.ran) {
            return;
        }
        self.void_nonces.extend(claim);
        self.state = if settlement.ran { State::Ran(digest) } else { State::Free };
        let (nonce, offset, settlement) = (at.nonce, at.offset, settlement.clone());
        self.settlement = Some(Arc::new(AppliedSettlement { nonce, offset, settlement }));
    }
}

/// A record's nonce and its place in the log.
struct Position {
    nonce: Nonce,
    offset: Offset,
    time: Millis,
}

impl Holder {
    /// Whether the claimant may still dispatch at this time of the log.
    pub fn may_dispatch(&self, time: Millis) -> bool {
        time < self.until.saturating_add(MAX_SKEW.as_millis() as Millis)
    }
}

/// Whether the key was created later than `time` by more than [`MAX_SKEW`]; `false` if the key does
/// not say when it was created.
fn is_created_after(key: &Key, time: Millis) -> bool {
    let limit = time.saturating_add(MAX_SKEW.as_millis() as u64);
    created_at(key).is_some_and(|created_at| created_at > limit)
}
