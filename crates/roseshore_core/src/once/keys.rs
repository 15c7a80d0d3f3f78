//! The fold over one claim stream.
//!
//! A key goes free → held → settled, or back to free by its claimant's own record. A claim of a
//! key that is not free is void for ever, and so is one whose abandonment stands before it: an
//! append whose reply was lost may take effect after the record that gives it up. Only the log's
//! own times are compared, with each other and with the time that a key carries.

use super::key_time::{MAX_SKEW, Millis, born};
use super::record::{Act, Nonce, Outcome, Owner, Record, Settlement};
use crate::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Bodies of answers held in memory at most; older ones are read from the log again, bytes.
const MAX_HELD: usize = 4 << 20;

/// What is known of the keys of one partition.
#[derive(Debug)]
pub struct Keys {
    entries: FxHashMap<Arc<str>, Entry>,
    touched: VecDeque<Touched>,
    next: Offset,
    window: Window,
    newest: Option<Millis>,
    bound: usize,
    bodies: VecDeque<(Arc<str>, usize)>,
    bytes: usize,
}

/// How far back the fold reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Window {
    /// Whether it holds the stream from its first record on.
    complete: bool,
    /// The time of its first record; a record before it has that time at most.
    start: Option<Millis>,
}

/// That a record was about a key.
#[derive(Debug)]
struct Touched {
    offset: Offset,
    time: Millis,
    key: Arc<str>,
}

#[derive(Debug, Default)]
struct Entry {
    state: State,
    void_nonces: Vec<Nonce>,
    last: Offset,
    settlement: Option<Arc<AppliedSettlement>>,
}

/// Where a key stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Nobody holds it.
    #[default]
    Free,
    /// A claimant may be working on it.
    Held(Holder),
    /// Its claimant, while alive, said that nobody knows whether it ran.
    Unknown(Holder),
    /// Its end is recorded.
    Recorded(RecordedOutcome),
    /// It ran, and nobody has its answer; the digest is that of the request's body, if known.
    Ran(Option<u64>),
}

/// The last operator's word on a key that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedSettlement {
    /// The record.
    pub nonce: Nonce,
    /// Where it stands.
    pub offset: Offset,
    /// What it says.
    pub settlement: Settlement,
}

/// A claim that holds its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The claim.
    pub nonce: Nonce,
    /// The claimant; `None` where the claim is no longer kept.
    pub owner: Option<Owner>,
    /// A digest of the request's body.
    pub digest: u64,
    /// Where the claim stands.
    pub offset: Offset,
    /// The log's time of the record.
    pub since: Millis,
    /// The log's time after which the claimant does not dispatch any more.
    pub until: Millis,
}

/// A recorded end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedOutcome {
    /// A digest of the request's body.
    pub digest: u64,
    /// The answer; `None` where it is not held in memory.
    pub outcome: Option<Arc<Outcome>>,
    /// Whether the record holds the answer's body.
    pub whole: bool,
    /// Where the record stands.
    pub offset: Offset,
    /// The claimant that may still hold a body too large for the log.
    pub owner: Option<Owner>,
}

impl Keys {
    /// A fold that begins with the stream's first record and remembers `bound` records at most.
    pub fn new(bound: usize) -> Keys {
        let window = Window { complete: true, start: None };
        let (entries, touched, bodies) = Default::default();
        Keys { entries, touched, next: 0, window, newest: None, bound, bodies, bytes: 0 }
    }

    /// The offset to read from.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The log's time of the newest record seen.
    pub fn newest_time(&self) -> Option<Millis> {
        self.newest
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Begins anew at the oldest record that the log still keeps.
    pub fn restart(&mut self, oldest: Offset) {
        self.entries.clear();
        self.touched.clear();
        self.bodies.clear();
        self.bytes = 0;
        self.next = oldest;
        self.window = Window { complete: oldest == 0, start: None };
    }

    /// Takes the record at [`Keys::next`]; one from elsewhere is ignored.
    pub fn apply(&mut self, offset: Offset, time: Millis, line: &str) -> Option<Record> {
        if offset != self.next {
            return None;
        }
        self.next += 1;
        self.window.start.get_or_insert(time);
        self.newest = Some(time);
        let record = Record::parse(line)?;
        self.fold(offset, time, &record);
        self.forget();
        self.forget_bodies();
        Some(record)
    }

    /// Where a key stands, as far as the fold reaches.
    pub fn state(&self, key: &Key) -> &State {
        self.entries.get(key.as_str()).map_or(&State::Free, |entry| &entry.state)
    }

    /// The last operator's word on a key that took effect.
    pub fn settlement(&self, key: &Key) -> Option<&Arc<AppliedSettlement>> {
        self.entries.get(key.as_str()).and_then(|entry| entry.settlement.as_ref())
    }

    /// Whether a claim has been seen and does not, and never will, hold its key.
    pub fn is_void(&self, key: &Key, nonce: Nonce) -> bool {
        self.entries.get(key.as_str()).is_some_and(|entry| entry.void_nonces.contains(&nonce))
    }

    /// Whether every claim that the key ever had must stand inside the fold's reach.
    pub fn covers(&self, key: &Key) -> bool {
        if self.window.complete {
            return true;
        }
        match (born(key), self.window.start) {
            (Some(born), Some(start)) => born > start.saturating_add(MAX_SKEW.as_millis() as u64),
            _ => false,
        }
    }

    /// Whether the key's own time lies ahead of the log's.
    pub fn is_in_future(&self, key: &Key) -> bool {
        let newest = self.newest.unwrap_or(Millis::MAX);
        is_ahead(key, newest)
    }

    fn fold(&mut self, offset: Offset, time: Millis, record: &Record) {
        if record.act == Act::Mark {
            return;
        }
        let known = self.entries.get_key_value(record.key.as_str());
        let key: Arc<str> =
            known.map_or_else(|| record.key.as_str().into(), |(key, _)| key.clone());
        let entry = self.entries.entry(key.clone()).or_default();
        entry.last = offset;
        self.touched.push_back(Touched { offset, time, key: key.clone() });
        let at = Place { nonce: record.nonce, offset, time };
        match &record.act {
            Act::Claim { owner, digest, left } => {
                let void = is_ahead(&record.key, time);
                let (nonce, digest) = (record.nonce, *digest);
                let owner = Some(owner.clone());
                let (since, until) = (time, time.saturating_add(*left));
                entry.claim(Holder { nonce, owner, digest, offset, since, until }, void);
            }
            Act::Abandon => entry.free(record.nonce),
            Act::Outcome { digest, outcome, whole } => {
                entry.outcome(&at, *digest, outcome, *whole);
            }
            Act::Settle(word) => entry.settle(&at, word),
            Act::Mark => {}
        }
        let State::Recorded(settled) = &entry.state else { return };
        if let Some(outcome) = settled.outcome.as_ref().filter(|_| settled.offset == offset) {
            self.bytes += outcome.body.len();
            self.bodies.push_back((key, outcome.body.len()));
        }
    }

    /// Drops what was touched longest ago, and with it the right to judge keys of that age.
    fn forget(&mut self) {
        while self.touched.len() > self.bound {
            let Some(Touched { offset, time, key }) = self.touched.pop_front() else { return };
            if self.entries.get(&key).is_some_and(|entry| entry.last == offset) {
                self.entries.remove(&key);
            }
            self.window = Window { complete: false, start: Some(time) };
        }
    }

    fn forget_bodies(&mut self) {
        while self.bytes > MAX_HELD {
            let Some((key, bytes)) = self.bodies.pop_front() else { return };
            self.bytes -= bytes;
            if let Some(Entry { state: State::Recorded(settled), .. }) = self.entries.get_mut(&key)
            {
                settled.outcome = None;
            }
        }
    }
}

impl Entry {
    fn claim(&mut self, holder: Holder, void: bool) {
        let nonce = holder.nonce;
        let known = self.void_nonces.contains(&nonce);
        match &self.state {
            State::Held(held) | State::Unknown(held) if held.nonce == nonce => {}
            State::Free if !known && !void => self.state = State::Held(holder),
            _ if known => {}
            _ => self.void_nonces.push(nonce),
        }
    }

    fn free(&mut self, nonce: Nonce) {
        if let State::Held(held) = &self.state
            && held.nonce == nonce
        {
            self.state = State::Free;
        }
        if !self.void_nonces.contains(&nonce) {
            self.void_nonces.push(nonce);
        }
    }

    fn outcome(&mut self, at: &Place, digest: u64, outcome: &Outcome, whole: bool) {
        let Place { nonce, offset, time } = *at;
        let owner = match &self.state {
            State::Recorded(_) | State::Ran(_) => return,
            State::Held(held) | State::Unknown(held) if held.nonce == nonce => held.owner.clone(),
            _ => None,
        };
        match outcome.verdict {
            Verdict::NotRun => self.free(nonce),
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

    /// An operator's word is about one claim, so that one that lands late cannot void a later claim.
    /// It counts only when the claimant cannot dispatch any more, by the log's own times.
    fn settle(&mut self, at: &Place, word: &Settlement) {
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
        if claim != word.claim || (claim.is_none() && !word.ran) {
            return;
        }
        self.void_nonces.extend(claim);
        self.state = if word.ran { State::Ran(digest) } else { State::Free };
        let (nonce, offset, settlement) = (at.nonce, at.offset, word.clone());
        self.settlement = Some(Arc::new(AppliedSettlement { nonce, offset, settlement }));
    }
}

/// Where a record stands.
struct Place {
    nonce: Nonce,
    offset: Offset,
    time: Millis,
}

impl Holder {
    /// Whether the claimant may still dispatch at a time of the log.
    pub fn may_dispatch(&self, time: Millis) -> bool {
        time < self.until.saturating_add(MAX_SKEW.as_millis() as Millis)
    }
}

fn is_ahead(key: &Key, time: Millis) -> bool {
    let limit = time.saturating_add(MAX_SKEW.as_millis() as u64);
    born(key).is_some_and(|born| born > limit)
}
