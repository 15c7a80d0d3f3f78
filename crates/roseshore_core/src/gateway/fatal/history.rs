//! What is known of one suspect: the crashes under it, and the runs that survived.

use super::run::Stage;
use super::{CrashReport, FatalReport, MAX_CRASHES_REPORTED, SAME_CRASH_WINDOW, attribution};
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::hashes::TargetHash;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// Most survivals of one suspect that a heartbeat reports.
const MAX_SURVIVALS_REPORTED: usize = 3;

/// The crash of a target under a suspect.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// Hash of the target's incarnation that crashed.
    pub target: TargetHash,
    /// How far the run had got there.
    pub stage: Stage,
    /// Whether its machine fell silent, rather than its process ending.
    pub silent: bool,
    /// When it crashed.
    pub at: Instant,
}

impl Crash {
    /// Whether a process ended when the run had hardly begun.
    pub(super) fn is_early(&self) -> bool {
        self.stage.is_beginning() && !self.silent
    }
}

/// A run that acquits of crashes before a stage, in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivalReport {
    /// The stage before which it acquits.
    pub stage: Stage,
    /// Time since then in milliseconds, rounded up.
    pub age: u32,
}

/// When runs last acquitted of crashes before each stage; those that later or longer runs make
/// needless are left out.
#[derive(Clone, Debug, Default)]
pub(super) struct Survivals(Vec<(Stage, Instant)>);

impl Survivals {
    /// Adds a run that acquits of crashes before a stage.
    pub(super) fn add(&mut self, stage: Stage, at: Instant) {
        if self.0.iter().any(|(known, since)| *known >= stage && *since >= at) {
            return;
        }
        self.0.retain(|(known, since)| *known > stage || *since > at);
        self.0.push((stage, at));
        self.0.sort_unstable_by_key(|(stage, _)| Reverse(*stage));
    }

    pub(super) fn merge(&mut self, other: &Survivals) {
        other.0.iter().for_each(|(stage, at)| self.add(*stage, *at));
    }

    /// Whether a run after this crash acquits of it.
    pub(super) fn acquit(&self, crash: &Crash) -> bool {
        self.0.iter().any(|(stage, at)| *stage > crash.stage && *at >= crash.at)
    }

    /// Whether a run ever acquitted of crashes at this stage.
    pub(super) fn beyond(&self, stage: Stage) -> bool {
        self.0.iter().any(|(known, _)| *known > stage)
    }

    pub(super) fn latest(&self) -> Option<Instant> {
        self.0.iter().map(|(_, at)| *at).max()
    }

    /// The latest ones, as ages; earlier ones, which got further, acquit of older crashes.
    fn reports(&self, age: impl Fn(Instant) -> u32) -> Vec<SurvivalReport> {
        let report =
            |(stage, at): &(Stage, Instant)| SurvivalReport { stage: *stage, age: age(*at) };
        self.0.iter().rev().take(MAX_SURVIVALS_REPORTED).map(report).collect()
    }
}

/// Crashes and survivals of one suspect.
#[derive(Clone, Debug)]
pub(super) struct SuspectHistory {
    /// Crashes that no survival acquits the suspect of.
    pub(super) crashes: Vec<Crash>,
    pub(super) survivals: Survivals,
    /// When something new was last learned.
    pub(super) changed: Instant,
}

impl SuspectHistory {
    pub(super) fn new(now: Instant) -> SuspectHistory {
        SuspectHistory { crashes: Vec::new(), survivals: Survivals::default(), changed: now }
    }

    pub(super) fn early_crashes(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.is_early()).count()
    }

    /// Adds a crash that is known to have occurred at its time or up to `earlier` before. Returns
    /// whether it is new. Of two runs on the same target, the one that had got less far counts.
    pub(super) fn add_crash(&mut self, crash: Crash, earlier: Duration) -> bool {
        if self.survivals.acquit(&crash) {
            return false;
        }
        let window = SAME_CRASH_WINDOW + earlier;
        let same = |known: &&mut Crash| attribution::same_crash_within(known, &crash, window);
        let Some(known) = self.crashes.iter_mut().find(same) else {
            self.crashes.push(crash);
            return true;
        };
        let new = crash.stage < known.stage || (known.silent && !crash.silent);
        known.stage = known.stage.min(crash.stage);
        known.silent &= crash.silent;
        new
    }

    /// Adds survivals. Returns the number of crashes that no longer count.
    pub(super) fn add_survivals(&mut self, survivals: &Survivals) -> usize {
        self.survivals.merge(survivals);
        let before = self.crashes.len();
        let all = &self.survivals;
        self.crashes.retain(|crash| !all.acquit(crash));
        before - self.crashes.len()
    }

    /// Time of the latest crash or survival.
    pub(super) fn latest(&self) -> Instant {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        crashes.chain(self.survivals.latest()).max().unwrap_or(self.changed)
    }

    pub(super) fn report(&self, fingerprint: Fingerprint, now: Instant) -> FatalReport {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u32 + 1;
        let mut crashes = self.crashes.clone();
        crashes.sort_unstable_by_key(|crash| (!crash.is_early(), crash.stage, Reverse(crash.at)));
        crashes.truncate(MAX_CRASHES_REPORTED);
        let crash = |crash: &Crash| CrashReport {
            target: crash.target,
            stage: crash.stage,
            silent: crash.silent,
            age: age(crash.at),
        };
        FatalReport {
            fingerprint,
            ends: crashes.iter().map(crash).collect(),
            survived: self.survivals.reports(age),
        }
    }
}
