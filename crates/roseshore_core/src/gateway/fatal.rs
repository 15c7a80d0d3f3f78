//! Requests, and parts of prompts, that crash the targets which run them.
//!
//! Such a request (a "query of death") is repeated under a new id at any host, and each run costs a
//! target and all that ran beside it. Different requests may crash targets for the same reason, a
//! part of the prompt that they have in common. So hosts remember by [`Fingerprint`] under which
//! requests and parts, the suspects, targets crashed, inform each other, and refuse what too many
//! crashed under.
//!
//! Whatever else ran on a target when it crashed looks the same at first. The suspect at fault is
//! recognised by two facts: it never gets beyond the point at which it crashes its targets, and it
//! never completes. A crash has full weight only if the request had hardly begun to run there. A
//! complete response clears a request of all earlier crashes, on all hosts, and a run with a part
//! clears that part of those whose runs had got less far. Among the suspects that are left,
//! [`attribution`] finds those that explain the crashes.
//!
//! Hosts exchange a set of crashes, identified by target and incarnation, which they merge. None is
//! counted twice, in whatever order reports arrive, and a report that adds nothing is not
//! forwarded.

mod attribution;
mod history;
mod record;
mod run;

use super::fingerprint::{Fingerprint, Suspects};
use super::hashes::TargetHash;
use crate::prelude::*;
use attribution::{Block, Evidence};
pub use history::{Crash, SurvivalReport};
use history::{Survivals, SuspectHistory};
pub use record::{FatalRecord, RecordDiff};
pub use run::{
    DIAGNOSIS_TIME, EARLY, OUTLIVED_AFTER, Progress, RunEnd, RunVerdict, Stage, TargetState, judge,
};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Number of targets that may crash under a request before it is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashLimits {
    /// Crashes where the request had hardly begun to run.
    pub early: usize,
    /// All crashes.
    pub all: usize,
}

impl CrashLimits {
    /// Operators tolerate three early crashes. In a simulation, three requests that crash engines
    /// each came once a second for two minutes at twelve engines, beside a rack of four engines
    /// that failed every ten seconds. Each of the requests crashed 3.7 engines, and 14 in 10,000
    /// other requests were refused as well. With a limit of two this was 2.9 and 63, with four 4.9
    /// and 16, and without a limit 93 and none.
    ///
    /// A total of five leaves a request that crashes its targets late two runs after the third
    /// crash, where operators tolerate three. In 40 s of the same load it refuses no more other
    /// requests than a total of six, and a total of four refuses 2 in 10,000 more.
    pub const DEFAULT: CrashLimits = CrashLimits { early: 3, all: 5 };

    /// The least number of crashes that may block a request.
    fn least(self) -> usize {
        self.early.min(self.all)
    }
}

/// How long a crash is remembered, and a request blocked after its last one. By then operators have
/// seen the log line, and another version of the model may be in use.
const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// How long a complete response is remembered, to answer late reports from other hosts about
/// crashes before it.
const SUCCESS_RETENTION: Duration = Duration::from_secs(10);
/// Number of suspects whose last success is remembered: some seconds' worth on a busy host.
const MAX_SUCCESSES: usize = 2048;
/// Number of suspects remembered for their crashes, at some 200 B each by their fields; far more
/// than are blocked at any time.
const MAX_SUSPECTS: usize = 1024;
/// How long an update is part of every heartbeat: three hops of 0.2 s between hosts that hear only
/// speakers, with the first attempt lost at each.
const FRESH_FOR: Duration = Duration::from_millis(1500);
/// Blocked requests are repeated in turns of this length, with this many requests per turn; every
/// receiver gets a heartbeat in each turn.
const REPEAT_TURN: Duration = Duration::from_millis(600);
const REPEATED_PER_TURN: usize = 4;
/// Smallest number of turns in a cycle, so that a host that started or was cut off knows all
/// blocked requests after 3 s.
const MIN_TURNS: usize = 5;
/// Period after which heartbeats report the next requests if there are more than fit; the shortest
/// gap between heartbeats.
const ROTATION_STEP: Duration = MIN_URGENT_GAP;
/// Crashes of one target that are less than this apart are the same one: a restart takes longer,
/// and reports between hosts are younger.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Most crashes of one request that a heartbeat reports.
const MAX_CRASHES_REPORTED: usize = 6;
/// Most bytes that these reports take of one heartbeat; more do not fit a datagram.
pub const REPORT_BYTES: usize = 396;
/// Largest encoded size of a suspect's report without its crashes and survivals, and of each crash
/// and survival, in bytes.
const REQUEST_BYTES: usize = 17;
const CRASH_BYTES: usize = 10;
const SURVIVAL_BYTES: usize = 6;
/// Least number of crashes whose acquittal is reported: each crash of a target adds one to many
/// suspects, and most of these succeed within a second.
const MIN_REPORTED_DROPS: usize = 2;
/// Shortest gap between heartbeats sent at once because of an early crash, instead of with the next
/// regular ones; each heartbeat carries several reports.
pub const MIN_URGENT_GAP: Duration = Duration::from_millis(50);

/// The crash of a target under a request, as reported in heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the target's incarnation that crashed.
    pub target: TargetHash,
    /// How far the request had got there.
    pub stage: Stage,
    /// Whether its machine fell silent, rather than its process ending.
    pub silent: bool,
    /// Time since the crash in milliseconds, rounded up so that a report does not grow younger when
    /// it is forwarded.
    pub age: u32,
}

/// Report about a suspect in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FatalReport {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// Crashes that count against it.
    pub ends: Vec<CrashReport>,
    /// Up to which stages runs with it acquitted it lately.
    pub survived: Vec<SurvivalReport>,
}

/// Effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FatalChange {
    /// No relevant change.
    None,
    /// Another target has crashed under the suspect.
    Crashed,
    /// Another target has crashed, and the request had hardly begun to run there.
    CrashedEarly,
    /// The suspect is blocked from now on.
    Blocked,
    /// The suspect was blocked, and is no longer taken to crash targets.
    Cleared,
    /// So many crashes, at least [`MIN_REPORTED_DROPS`], no longer count against a suspect that was
    /// not blocked.
    Dropped(usize),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The request itself, or a part of its prompt.
    pub suspect: Fingerprint,
    /// How long it is still refused.
    pub left: Duration,
    /// How far runs with it got that crashed their targets. A run that is beyond that may complete.
    pub stage: Stage,
}

impl FatalReport {
    /// Largest encoded size in bytes.
    pub fn max_bytes(&self) -> usize {
        REQUEST_BYTES + CRASH_BYTES * self.ends.len() + SURVIVAL_BYTES * self.survived.len()
    }
}

/// Appends reports of further requests until the total size would exceed `most` bytes, starting at
/// a different request with each turn.
fn fill_reports(
    reports: &mut Vec<FatalReport>,
    histories: &[(&Fingerprint, &SuspectHistory)],
    turn: usize,
    most: usize,
    now: Instant,
) {
    let mut taken: usize = reports.iter().map(FatalReport::max_bytes).sum();
    let each = REPORT_BYTES / (REQUEST_BYTES + CRASH_BYTES);
    let first = (turn * each).checked_rem(histories.len()).unwrap_or(0);
    for (fingerprint, history) in histories[first..].iter().chain(&histories[..first]) {
        if reports.iter().any(|report| report.fingerprint == **fingerprint) {
            continue;
        }
        let report = history.report(**fingerprint, now);
        taken += report.max_bytes();
        if taken > most {
            return;
        }
        reports.push(report);
    }
}

/// Requests and parts of prompts that crash targets, as known to this host.
#[derive(Clone, Debug)]
pub struct FatalRequests {
    limits: CrashLimits,
    started: Instant,
    suspects: HashMap<Fingerprint, SuspectHistory>,
    /// Up to which stages runs at this host acquitted each suspect recently.
    survivals: HashMap<Fingerprint, Survivals>,
    /// What is refused, by the current histories.
    blocks: Vec<Block>,
}

impl FatalRequests {
    /// Creates an empty set with the default limits.
    pub fn new(now: Instant) -> FatalRequests {
        FatalRequests::with_limits(now, CrashLimits::DEFAULT)
    }

    /// Creates an empty set with other limits.
    pub fn with_limits(now: Instant, limits: CrashLimits) -> FatalRequests {
        FatalRequests {
            limits,
            started: now,
            suspects: HashMap::new(),
            survivals: HashMap::new(),
            blocks: Vec::new(),
        }
    }

    /// Records that a target crashed under a suspect at this host.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: Crash,
        now: Instant,
    ) -> FatalChange {
        let survivals = self.recent_survivals(fingerprint);
        self.update(fingerprint, &[crash], Duration::ZERO, &survivals, now)
    }

    /// Records that a run at this host acquits a suspect of crashes before a stage.
    pub fn record_survival(
        &mut self,
        fingerprint: Fingerprint,
        stage: Stage,
        now: Instant,
    ) -> FatalChange {
        self.remember_survival(fingerprint, stage, now);
        if !self.suspects.contains_key(&fingerprint) {
            return FatalChange::None;
        }
        self.update(fingerprint, &[], Duration::ZERO, &self.recent_survivals(fingerprint), now)
    }

    fn remember_survival(&mut self, fingerprint: Fingerprint, stage: Stage, now: Instant) {
        if let Some(known) = self.survivals.get_mut(&fingerprint) {
            known.add(stage, now);
            return;
        }
        if self.survivals.len() >= MAX_SUCCESSES {
            let age = |at: Instant| now.saturating_duration_since(at);
            let recent = |at: Instant| age(at) < SUCCESS_RETENTION / 2;
            self.survivals.retain(|_, known| known.latest().is_some_and(recent));
        }
        if self.survivals.len() < MAX_SUCCESSES {
            self.survivals.entry(fingerprint).or_default().add(stage, now);
        }
    }

    /// Merges a report from another host, which has arrived since `arrived`: a host that stood still
    /// reads it later.
    pub fn receive(&mut self, report: &FatalReport, arrived: Instant, now: Instant) -> FatalChange {
        let placed = |age: u32| now.checked_sub(Duration::from_millis(u64::from(age)));
        let recent = |at: &Instant| now.saturating_duration_since(*at) < CRASH_RETENTION;
        let crash = |crash: &CrashReport| {
            let at = placed(crash.age).filter(recent)?;
            let CrashReport { target, stage, silent, .. } = *crash;
            Some(Crash { target, stage, silent, at })
        };
        let crashes: Vec<Crash> = report.ends.iter().filter_map(crash).collect();
        if crashes.is_empty() && !self.suspects.contains_key(&report.fingerprint) {
            return FatalChange::None;
        }
        let mut survivals = self.recent_survivals(report.fingerprint);
        let unread = now.saturating_duration_since(arrived);
        for SurvivalReport { stage, age } in &report.survived {
            if let Some(at) = placed(*age).and_then(|at| at.checked_sub(unread)) {
                survivals.add(*stage, at);
            }
        }
        self.update(report.fingerprint, &crashes, unread, &survivals, now)
    }

    /// Up to which stages runs at this host acquitted the suspect recently.
    fn recent_survivals(&self, fingerprint: Fingerprint) -> Survivals {
        self.survivals.get(&fingerprint).cloned().unwrap_or_default()
    }

    fn update(
        &mut self,
        fingerprint: Fingerprint,
        crashes: &[Crash],
        earlier: Duration,
        survivals: &Survivals,
        now: Instant,
    ) -> FatalChange {
        self.make_room(fingerprint);
        let before = self.is_blocked(fingerprint);
        let relevant = before || self.may_exceed(fingerprint);
        let history = self.suspects.entry(fingerprint).or_insert_with(|| SuspectHistory::new(now));
        let known = history.early_crashes();
        let outdated = crashes.iter().any(|crash| survivals.acquit(crash));
        let dropped = history.add_survivals(survivals);
        let cleared = dropped > 0;
        let added = crashes.iter().filter(|crash| history.add_crash(**crash, earlier)).count();
        if added > 0 || cleared || outdated {
            history.changed = now;
        }
        let early = history.early_crashes();
        if (added > 0 || cleared) && (relevant || self.may_exceed(fingerprint)) {
            self.attribute();
        }
        match (before, self.is_blocked(fingerprint)) {
            (false, true) => FatalChange::Blocked,
            (true, false) => FatalChange::Cleared,
            _ if early > known => FatalChange::CrashedEarly,
            _ if added > 0 => FatalChange::Crashed,
            _ if dropped >= MIN_REPORTED_DROPS => FatalChange::Dropped(dropped),
            _ => FatalChange::None,
        }
    }

    /// Updates what is refused.
    fn attribute(&mut self) {
        let to_evidence = |(fingerprint, history): (&Fingerprint, &SuspectHistory)| Evidence {
            suspect: *fingerprint,
            crashes: history.crashes.clone(),
            survivals: history.survivals.clone(),
        };
        let mut by_digest: HashMap<u64, usize> = HashMap::new();
        for (part, history) in self.suspects.iter().filter(|(f, _)| f.is_part()) {
            *by_digest.entry(part.digest).or_default() += history.crashes.len();
        }
        let least = self.limits.least();
        let relevant = |(f, history): &(&Fingerprint, &SuspectHistory)| {
            let in_all = by_digest.get(&f.digest).filter(|_| f.is_part());
            history.crashes.len().max(in_all.copied().unwrap_or(0)) >= least
        };
        let evidence = self.suspects.iter().filter(relevant);
        self.blocks = attribution::attribute(evidence.map(to_evidence).collect(), self.limits);
    }

    /// Whether a suspect may be blocked by the number of its crashes. Those of a part add up over
    /// organisations.
    fn may_exceed(&self, fingerprint: Fingerprint) -> bool {
        let own = |history: &SuspectHistory| history.crashes.len();
        let same = |f: &Fingerprint| f.digest == fingerprint.digest;
        let crashes: usize = if fingerprint.is_part() {
            self.suspects.iter().filter(|(f, _)| same(f)).map(|(_, h)| own(h)).sum()
        } else {
            self.suspects.get(&fingerprint).map_or(0, own)
        };
        crashes >= self.limits.least()
    }

    /// Whether crashes are attributed to a suspect, maybe together with others.
    fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.blocks.iter().any(|block| block.names(fingerprint))
    }

    /// Drops the least relevant suspect if there are too many.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(f, history)| (history.early_crashes(), history.latest(), **f));
        let least = least.map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            self.suspects.remove(&least);
        }
    }

    /// How long a suspect is still blocked; `None` if it is not.
    pub fn blocked(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let blocks = self.blocks.iter().filter(|block| block.names(fingerprint));
        blocks.filter_map(|block| Self::remaining(block, now)).max()
    }

    /// Why a request is refused; `None` if it may run.
    pub fn refused(&self, suspects: &Suspects, now: Instant) -> Option<Refused> {
        let refused = |block: &Block| {
            let (suspect, left) = (block.refuses(suspects)?, Self::remaining(block, now)?);
            Some(Refused { suspect, left, stage: block.stage })
        };
        self.blocks.iter().filter_map(refused).max_by_key(|refused| refused.left)
    }

    fn remaining(block: &Block, now: Instant) -> Option<Duration> {
        let left = (block.latest + CRASH_RETENTION).saturating_duration_since(now);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Number of targets whose crashes count against a suspect.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |history| history.crashes.len())
    }

    /// Whether a request would be blocked by one crash beyond the known ones and `open` further
    /// ones that are still being investigated.
    pub fn near_limit(&self, fingerprint: Fingerprint, open: usize) -> bool {
        let CrashLimits { early, all } = self.limits;
        let history = self.suspects.get(&fingerprint);
        let known =
            history.map_or((0, 0), |history| (history.early_crashes(), history.crashes.len()));
        known.0 + open + 1 >= early || known.1 + open + 1 >= all
    }

    /// The suspects that are blocked.
    pub fn all_blocked(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.keys().copied().filter(|fingerprint| self.is_blocked(*fingerprint))
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        let recent = |at: Instant| age(at) < SUCCESS_RETENTION;
        self.survivals.retain(|_, known| known.latest().is_some_and(recent));
        let before = self.suspects.len();
        self.suspects.retain(|_, history| {
            let kept = if history.crashes.is_empty() { SUCCESS_RETENTION } else { CRASH_RETENTION };
            age(history.latest()) < kept
        });
        if self.suspects.len() < before && !self.blocks.is_empty() {
            self.attribute();
        }
    }

    /// Reports blocked suspects like updates again, for a host that has joined.
    pub fn repeat_blocked(&mut self, now: Instant) {
        let blocks = &self.blocks;
        let blocked = |fingerprint| blocks.iter().any(|block| block.names(fingerprint));
        for (_, history) in self.suspects.iter_mut().filter(|(f, _)| blocked(**f)) {
            history.changed = now;
        }
    }

    /// Reports for the next heartbeats: updates, and blocked requests in turn. Where there are more
    /// than fit, half of the space is for requests with several early crashes and a quarter for
    /// those with one: a target that crashes ends some seventy requests at once, and most of these
    /// were past their beginning.
    pub fn reports(&self, now: Instant) -> Vec<FatalReport> {
        let since = now.saturating_duration_since(self.started);
        let due = self.due(since, now);
        let (several, others) =
            due.split_at(due.partition_point(|(_, history)| history.early_crashes() > 1));
        let (one, none) =
            others.split_at(others.partition_point(|(_, history)| history.early_crashes() > 0));
        let turn = since.div_duration_f64(ROTATION_STEP) as usize;
        let mut reports = Vec::new();
        for (histories, left) in
            [(several, 0.5), (one, 0.25), (none, 0.0), (one, 0.0), (several, 0.0)]
        {
            let most = (REPORT_BYTES as f64 * (1.0 - left)) as usize;
            fill_reports(&mut reports, histories, turn, most, now);
        }
        reports
    }

    /// Suspects to be reported, those with the most early crashes first. Among equals, parts come
    /// before requests, since they concern more requests of other hosts.
    fn due(&self, since: Duration, now: Instant) -> Vec<(&Fingerprint, &SuspectHistory)> {
        let new =
            |history: &SuspectHistory| now.saturating_duration_since(history.changed) < FRESH_FOR;
        let mut old: Vec<_> = self.suspects.iter().filter(|(_, history)| !new(history)).collect();
        old.retain(|(fingerprint, _)| self.is_blocked(**fingerprint));
        old.sort_unstable_by_key(|(f, _)| **f);
        let turns = old.len().div_ceil(REPEATED_PER_TURN).max(MIN_TURNS);
        let turn = since.div_duration_f64(REPEAT_TURN) as usize % turns;
        let updates = self.suspects.iter().filter(|(_, history)| new(history));
        let mut due: Vec<_> = old
            .into_iter()
            .skip(turn * REPEATED_PER_TURN)
            .take(REPEATED_PER_TURN)
            .chain(updates)
            .collect();
        due.sort_unstable_by_key(|(f, history)| {
            (Reverse(history.early_crashes()), !f.is_part(), **f)
        });
        due
    }
}
