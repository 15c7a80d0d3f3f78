//! Requests that end each target which begins to run them.
//!
//! Such a request (a "query of death") comes again under a new id, at any host, and each run costs a
//! target and all that ran there beside it. So hosts remember by its [`Fingerprint`] under which requests
//! targets ended, tell each other, and refuse a request under which too many did.
//!
//! Whatever else ran on a target when it ended looks the same at first. What tells them apart: the one
//! at fault never gets far, and never ends whole. An end counts in full only if the request had hardly begun to
//! run there, and a whole answer clears a request of all ends before it, on all hosts.
//!
//! What is told is a set of ends, by target and life, which hosts join: none is counted twice, in whatever
//! order words come, and a word that brings nothing new is not passed on.

mod record;

use super::fingerprint::Fingerprint;
use super::peers::TargetHash;
use crate::prelude::*;
pub use record::{FatalRecord, RecordDiff};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

/// How many targets may end under a request before it is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashLimits {
    /// Of those where it had hardly begun to run.
    pub early: usize,
    /// Of all.
    pub all: usize,
}

impl CrashLimits {
    /// Three early ones are what the operators bear. Played with three requests that end engines, each coming
    /// once a second for two minutes at twelve engines, beside a rack of four that falls every ten
    /// seconds: each ends 3.7 engines, and 14 in 10,000 other requests are refused with them. With two it is
    /// 2.9 and 63, with four 4.9 and 16, with no bound 93 and none.
    /// Five of all leave two runs after the third end to a request that ends its targets late, where the operators bear
    /// three; in 40 s of the same load they refuse no other than six do, and four refuse 2 in 10,000 more.
    pub const DEFAULT: CrashLimits = CrashLimits { early: 3, all: 5 };
}

/// A run of a stream that brought its first event so long ago is past its beginning. Requests that end
/// their targets did so 30 to 120 ms after they began to run.
pub const EARLY: Duration = Duration::from_millis(500);
/// An end is remembered for so long, and a request blocked for so long after the last one: by then
/// operators have seen the line, and another version of the model may be in force.
const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// A whole answer is remembered for so long, to answer other hosts' late words of ends before it.
const SUCCESS_RETENTION: Duration = Duration::from_secs(10);
/// Whole answers that are remembered: some seconds of a busy host's.
const MAX_SUCCESSES: usize = 1024;
/// Requests that are remembered for ends; far more than are blocked at any time; some 200 B each by
/// their fields.
const MAX_REQUESTS: usize = 512;
/// What is new is told with each heartbeat for so long: three steps of 0.2 s between hosts that hear only
/// speakers, each lost once.
const FRESH_FOR: Duration = Duration::from_millis(1500);
/// Blocked requests are told again in turns of so long, so many in each: every hearer gets a heartbeat in
/// each turn.
const REPEAT_TURN: Duration = Duration::from_millis(600);
const REPEATED_PER_TURN: usize = 4;
/// Turns until the first one again, at least; hosts that began, or were cut off, then know after 3 s.
const MIN_TURNS: usize = 5;
/// Between heartbeats that are close; the next ones tell of others where there is more than fits.
const ROTATION_STEP: Duration = MIN_URGENT_GAP;
/// Ends of one target that lie less than this apart are one: it takes longer to start again, and words
/// between hosts are younger.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Ends of one request that a heartbeat tells of.
const MAX_CRASHES_REPORTED: usize = 6;
/// Bytes in which one heartbeat tells of such requests; more do not fit a datagram.
pub const REPORT_BYTES: usize = 396;
/// Bytes of a request in a heartbeat at most, and of each of its ends.
const REQUEST_BYTES: usize = 22;
const CRASH_BYTES: usize = 9;
/// News of a request that had hardly begun does not wait for the next heartbeats, but comes no closer after other
/// such news: each heartbeat tells of several.
pub const MIN_URGENT_GAP: Duration = Duration::from_millis(50);

/// The end of a target's life under a request, as a heartbeat tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The target in the life that ended.
    pub target: TargetHash,
    /// Whether the request had hardly begun to run there.
    pub early: bool,
    /// How long ago, ms; rounded up, so that no word grows younger on its way.
    pub age: u32,
}

/// What a heartbeat tells of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FatalReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that ended under it, since it last ended whole.
    pub ends: Vec<CrashReport>,
    /// How long ago it ended whole, ms.
    pub well: Option<u32>,
}

/// What a word changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FatalChange {
    /// Nothing that matters.
    None,
    /// Another target has ended under the request.
    Crashed,
    /// The same, and the request had hardly begun to run there.
    CrashedEarly,
    /// It is blocked from now on.
    Blocked,
    /// It was blocked, and is no longer held to end targets.
    Cleared,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    target: TargetHash,
    early: bool,
    at: Instant,
}

impl FatalReport {
    /// Bytes that it takes in a heartbeat at most.
    pub fn max_bytes(&self) -> usize {
        REQUEST_BYTES + CRASH_BYTES * self.ends.len()
    }
}

/// Adds notes of cases that are not among them while all take no more than so many bytes, beginning with others in
/// each turn.
fn fill_reports(
    notes: &mut Vec<FatalReport>,
    cases: &[(&Fingerprint, &RequestHistory)],
    turn: usize,
    most: usize,
    now: Instant,
) {
    let mut taken: usize = notes.iter().map(FatalReport::max_bytes).sum();
    let each = REPORT_BYTES / (REQUEST_BYTES + CRASH_BYTES);
    let first = (turn * each).checked_rem(cases.len()).unwrap_or(0);
    for (fingerprint, case) in cases[first..].iter().chain(&cases[..first]) {
        if notes.iter().any(|note| note.fingerprint == **fingerprint) {
            continue;
        }
        let note = case.report(**fingerprint, now);
        taken += note.max_bytes();
        if taken > most {
            return;
        }
        notes.push(note);
    }
}

/// What is known of one request.
#[derive(Clone, Debug)]
struct RequestHistory {
    crashes: Vec<Crash>,
    last_success: Option<Instant>,
    /// When something new was last learned.
    changed: Instant,
}

impl RequestHistory {
    fn new(now: Instant) -> RequestHistory {
        RequestHistory { crashes: Vec::new(), last_success: None, changed: now }
    }

    fn early_crashes(&self) -> usize {
        self.crashes.iter().filter(|end| end.early).count()
    }

    fn blocked(&self, limits: CrashLimits) -> bool {
        self.early_crashes() >= limits.early || self.crashes.len() >= limits.all
    }

    /// Takes an end; returns whether it brought anything new. Of two runs on one target, the one that had
    /// hardly begun counts.
    fn add_crash(&mut self, end: Crash) -> bool {
        if self.last_success.is_some_and(|well| end.at <= well) {
            return false;
        }
        let gap = |at: Instant| at.max(end.at).saturating_duration_since(at.min(end.at));
        let same = |e: &&mut Crash| e.target == end.target && gap(e.at) < SAME_CRASH_WINDOW;
        let Some(known) = self.crashes.iter_mut().find(same) else {
            self.crashes.push(end);
            return true;
        };
        let news = end.early && !known.early;
        known.early |= end.early;
        news
    }

    /// Drops what was before a whole answer; returns whether that was anything.
    fn clear_before(&mut self, well: Instant) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|end| end.at > well);
        self.last_success = self.last_success.max(Some(well));
        self.crashes.len() < before
    }

    /// The last moment that it is about.
    fn latest(&self) -> Instant {
        let ends = self.crashes.iter().map(|end| end.at);
        ends.chain(self.last_success).max().unwrap_or(self.changed)
    }

    fn report(&self, fingerprint: Fingerprint, now: Instant) -> FatalReport {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u32 + 1;
        let mut ends = self.crashes.clone();
        ends.sort_unstable_by_key(|end| (!end.early, Reverse(end.at)));
        ends.truncate(MAX_CRASHES_REPORTED);
        let end =
            |end: &Crash| CrashReport { target: end.target, early: end.early, age: age(end.at) };
        FatalReport {
            fingerprint,
            ends: ends.iter().map(end).collect(),
            well: self.last_success.map(age),
        }
    }
}

/// What a host knows of requests that end targets.
#[derive(Clone, Debug)]
pub struct FatalRequests {
    limits: CrashLimits,
    started: Instant,
    requests: HashMap<Fingerprint, RequestHistory>,
    /// Requests that ended whole of late.
    successes: VecDeque<(Instant, Fingerprint)>,
}

impl FatalRequests {
    /// Knows of none.
    pub fn new(now: Instant) -> FatalRequests {
        FatalRequests::with_limits(now, CrashLimits::DEFAULT)
    }

    /// Knows of none, and blocks after so many ends.
    pub fn with_limits(now: Instant, limits: CrashLimits) -> FatalRequests {
        FatalRequests { limits, started: now, requests: HashMap::new(), successes: VecDeque::new() }
    }

    /// A target ended while it ran a request of this host.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        target: TargetHash,
        early: bool,
        now: Instant,
    ) -> FatalChange {
        self.update(fingerprint, &[Crash { target, early, at: now }], None, now)
    }

    /// A request of this host ended whole.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) -> FatalChange {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.pop_front();
        }
        self.successes.push_back((now, fingerprint));
        if !self.requests.contains_key(&fingerprint) {
            return FatalChange::None;
        }
        self.update(fingerprint, &[], Some(now), now)
    }

    /// Another host's word.
    pub fn receive(&mut self, note: &FatalReport, now: Instant) -> FatalChange {
        let placed = |age: u32| now.checked_sub(Duration::from_millis(u64::from(age)));
        let recent = |at: &Instant| now.saturating_duration_since(*at) < CRASH_RETENTION;
        let end = |end: &CrashReport| {
            let at = placed(end.age).filter(recent)?;
            Some(Crash { target: end.target, early: end.early, at })
        };
        let ends: Vec<Crash> = note.ends.iter().filter_map(end).collect();
        let well = note.well.and_then(placed).max(self.last_success(note.fingerprint));
        if ends.is_empty() && !self.requests.contains_key(&note.fingerprint) {
            return FatalChange::None;
        }
        self.update(note.fingerprint, &ends, well, now)
    }

    /// When a request last ended whole at this host, if that was of late.
    fn last_success(&self, fingerprint: Fingerprint) -> Option<Instant> {
        let same = self.successes.iter().rev().find(|(_, known)| *known == fingerprint);
        same.map(|(at, _)| *at)
    }

    fn update(
        &mut self,
        fingerprint: Fingerprint,
        ends: &[Crash],
        well: Option<Instant>,
        now: Instant,
    ) -> FatalChange {
        self.make_room(fingerprint);
        let case = self.requests.entry(fingerprint).or_insert_with(|| RequestHistory::new(now));
        let before = case.blocked(self.limits);
        let known = case.early_crashes();
        let outdated = well.is_some_and(|well| ends.iter().any(|end| end.at <= well));
        let cleared = well.is_some_and(|well| case.clear_before(well));
        let added = ends.iter().filter(|end| case.add_crash(**end)).count();
        if added > 0 || cleared || outdated {
            case.changed = now;
        }
        let early = case.early_crashes();
        match (before, case.blocked(self.limits)) {
            (false, true) => FatalChange::Blocked,
            (true, false) => FatalChange::Cleared,
            _ if early > known => FatalChange::CrashedEarly,
            _ if added > 0 => FatalChange::Crashed,
            _ => FatalChange::None,
        }
    }

    /// Forgets the request that matters least when there are too many.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(&fingerprint) {
            return;
        }
        let least =
            self.requests.iter().min_by_key(|(f, case)| (case.early_crashes(), case.latest(), **f));
        let least = least.map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            self.requests.remove(&least);
        }
    }

    /// How long a request is still refused; `None` for one that may run.
    pub fn blocked(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let case = self.requests.get(&fingerprint).filter(|case| case.blocked(self.limits))?;
        let left = (case.latest() + CRASH_RETENTION).saturating_duration_since(now);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Targets that are known to have ended under a request since it last ended whole.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.requests.get(&fingerprint).map_or(0, |case| case.crashes.len())
    }

    /// Whether a request would be blocked with one end more than the known ones and so many that are being
    /// looked into.
    pub fn near_limit(&self, fingerprint: Fingerprint, open: usize) -> bool {
        let CrashLimits { early, all } = self.limits;
        let case = self.requests.get(&fingerprint);
        let known = case.map_or((0, 0), |case| (case.early_crashes(), case.crashes.len()));
        known.0 + open + 1 >= early || known.1 + open + 1 >= all
    }

    /// How many requests are refused.
    pub fn blocked_count(&self) -> usize {
        self.requests.values().filter(|case| case.blocked(self.limits)).count()
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.successes.retain(|(at, _)| age(*at) < SUCCESS_RETENTION);
        self.requests.retain(|_, case| {
            let kept = if case.crashes.is_empty() { SUCCESS_RETENTION } else { CRASH_RETENTION };
            age(case.latest()) < kept
        });
    }

    /// Blocked requests are told like news, for a host that has joined.
    pub fn repeat_blocked(&mut self, now: Instant) {
        let limits = self.limits;
        for case in self.requests.values_mut().filter(|case| case.blocked(limits)) {
            case.changed = now;
        }
    }

    /// What heartbeats tell now: what is new, and blocked requests in turn. Where there is more than fits, half
    /// of it are those with several early ends, and a quarter those with one: a target that falls is the end of some
    /// seventy requests at once, and most were past their beginning.
    pub fn reports(&self, now: Instant) -> Vec<FatalReport> {
        let since = now.saturating_duration_since(self.started);
        let due = self.due(since, now);
        let (several, others) =
            due.split_at(due.partition_point(|(_, case)| case.early_crashes() > 1));
        let (one, none) =
            others.split_at(others.partition_point(|(_, case)| case.early_crashes() > 0));
        let turn = since.div_duration_f64(ROTATION_STEP) as usize;
        let mut notes = Vec::new();
        for (cases, left) in [(several, 0.5), (one, 0.25), (none, 0.0), (one, 0.0), (several, 0.0)]
        {
            let most = (REPORT_BYTES as f64 * (1.0 - left)) as usize;
            fill_reports(&mut notes, cases, turn, most, now);
        }
        notes
    }

    /// What is to be told, those with the most ends first.
    fn due(&self, since: Duration, now: Instant) -> Vec<(&Fingerprint, &RequestHistory)> {
        let new = |case: &RequestHistory| now.saturating_duration_since(case.changed) < FRESH_FOR;
        let mut old: Vec<_> = self.requests.iter().filter(|(_, case)| !new(case)).collect();
        old.retain(|(_, case)| case.blocked(self.limits));
        old.sort_unstable_by_key(|(f, _)| **f);
        let turns = old.len().div_ceil(REPEATED_PER_TURN).max(MIN_TURNS);
        let turn = since.div_duration_f64(REPEAT_TURN) as usize % turns;
        let news = self.requests.iter().filter(|(_, case)| new(case));
        let mut due: Vec<_> = old
            .into_iter()
            .skip(turn * REPEATED_PER_TURN)
            .take(REPEATED_PER_TURN)
            .chain(news)
            .collect();
        due.sort_unstable_by_key(|(f, case)| (Reverse(case.early_crashes()), **f));
        due
    }
}
