//! Determines what became of the targets of a run that has ended.
//!
//! A run is the target's, not the caller's: whether a request crashes its targets shows in each of
//! its runs, also where the caller has left, another send has taken its place, or the response is
//! complete. So every run is remembered when its send is released, until it is known whether one of
//! its targets crashed under it.
//!
//! The end of a connection does not show its cause: the target may have spoilt one response, a link
//! may be down, or the target's process may have ended. The process has ended if the target's port
//! resets a connection, or if the list of targets shows a new incarnation, another target at its
//! address, or no longer shows it. Until one of these, or data from the target, decides it, the run
//! stays undecided.

use super::fatal::parts_text;
use super::in_flight::InFlightSend;
use super::{EntryHost, log_event};
use crate::slab::Key;
use roseshore_core::gateway::fatal::{
    DIAGNOSIS_TIME, OUTLIVED_AFTER, RunEnd, RunVerdict, Stage, TargetState, judge,
};
use roseshore_core::gateway::peers::TargetHash;
use roseshore_core::gateway::targets::{LivenessFailure, Target};
use roseshore_core::gateway::{Fault, Fingerprint, Suspects};
use roseshore_core::prelude::*;
use std::collections::HashSet;

/// Most runs that are remembered: far more than end at a host within a second.
const MAX_RUNS: usize = 8192;

/// How long after the end of a run data may still be read that its target had sent before.
const READ_LATE: Duration = Duration::from_millis(100);

/// What a run may crash its targets with.
#[derive(Clone, Debug, Default)]
pub(super) struct RunSubject {
    pub(super) suspects: Suspects,
    /// Attempt id of the request, and the parts of its prompt, for the log.
    pub(super) attempt: String,
    pub(super) parts: Vec<PromptPartId>,
}

/// A run that has ended, until it is known what became of its targets.
#[derive(Debug)]
pub(super) struct EndedRun {
    pub(super) subject: RunSubject,
    /// Its targets, with their incarnations when it was sent.
    targets: Vec<(TargetId, TargetHash)>,
    /// How far it got.
    pub(super) stage: Stage,
    pub(super) end: RunEnd,
    pub(super) at: Instant,
    /// Its connection to the first target, if that was kept.
    connection: Option<Key>,
    /// The same while its send stands by, and may go on.
    standby: Option<Key>,
    /// Whether it reached its first target through another host.
    relayed: bool,
}

/// The runs that have ended.
#[derive(Debug, Default)]
pub(super) struct EndedRuns {
    /// Runs that broke off a moment ago.
    interrupted: Vec<EndedRun>,
    /// Whether anything may have become known of these since they were last looked at.
    news: bool,
    others: Vec<EndedRun>,
    /// Targets of runs that broke off which are no longer listed, or whose address others have.
    gone: HashSet<TargetId>,
}

impl EntryHost {
    /// Remembers a send that the fault of targets interrupts while its connection may stay open.
    pub(super) fn remember_interrupted(&mut self, key: Key, culprits: &[TargetId]) {
        let Some(send) = self.exchanges.get(key).and_then(|e| e.send.as_ref()) else { return };
        let mut targets = send.incarnations.clone();
        targets.retain(|(id, _)| culprits.contains(id));
        let stage = send.progress.stage(self.now);
        let (subject, end, at) = (send.subject.clone(), RunEnd::Interrupted, self.now);
        let (standby, relayed) = (Some(send.socket), send.route.via.is_some());
        let known = |run: &EndedRun| run.standby == standby && run.targets == targets;
        let EndedRuns { interrupted, others, .. } = &self.ended_runs;
        if interrupted.iter().chain(others).any(known) {
            return;
        }
        let run = EndedRun { subject, targets, stage, end, at, connection: None, standby, relayed };
        self.remember_run(run);
    }

    /// Forgets that a run broke off, as its target has sent more.
    pub(super) fn forget_interrupted(&mut self, connection: Key) {
        let EndedRuns { interrupted, others, .. } = &mut self.ended_runs;
        for runs in [interrupted, others] {
            runs.retain(|run| run.standby != Some(connection));
        }
    }

    /// Remembers the run of a send that is released. With `kept`, its connection stays open.
    pub(super) fn remember_ended(&mut self, send: &mut InFlightSend, kept: bool) {
        let Some(mut end) = send.end else { return };
        let Some(socket) = self.net.get(send.socket).filter(|s| s.established()) else { return };
        if end == RunEnd::Closed && socket.ended.is_some() {
            end = RunEnd::Interrupted;
        }
        let run = EndedRun {
            subject: std::mem::take(&mut send.subject),
            targets: std::mem::take(&mut send.incarnations),
            stage: send.progress.stage(self.now),
            end,
            at: self.now,
            connection: kept.then_some(send.socket),
            standby: None,
            relayed: send.route.via.is_some(),
        };
        self.remember_run(run);
    }

    fn remember_run(&mut self, mut run: EndedRun) {
        run.targets.retain(|(id, _)| !self.announced_leaving(id));
        if run.targets.is_empty() {
            if run.end == RunEnd::Completed {
                self.record_outlived(&run);
            }
            return;
        }
        let EndedRuns { interrupted, others, news, .. } = &mut self.ended_runs;
        if interrupted.len() + others.len() >= MAX_RUNS {
            return;
        }
        *news = true;
        match run.end {
            RunEnd::Interrupted => interrupted.push(run),
            RunEnd::Closed | RunEnd::Completed => others.push(run),
        }
    }

    /// Has the runs that broke off looked at again, as something became known of a target.
    pub(super) fn reconsider_interrupted(&mut self) {
        self.ended_runs.news = true;
    }

    /// Number of runs of a request that broke off, and whose cause checks of this host will soon
    /// show. A check of a target that this host does not reach takes a second and may show nothing.
    pub(super) fn interrupted_runs(&self, request: Fingerprint) -> usize {
        let silent = |(id, _): &(TargetId, TargetHash)| {
            let failure = self.targets.get(id).and_then(Target::liveness_failure);
            failure == Some(LivenessFailure::Silent)
        };
        let pending = |run: &&EndedRun| {
            run.subject.suspects.request == request && !run.targets.iter().any(silent)
        };
        self.ended_runs.interrupted.iter().filter(pending).count()
    }

    /// Determines what became of the targets of runs that broke off a moment ago.
    pub(super) fn resolve_interrupted(&mut self) {
        if !std::mem::take(&mut self.ended_runs.news) {
            return;
        }
        for run in std::mem::take(&mut self.ended_runs.interrupted) {
            let recent = self.now.saturating_duration_since(run.at) < DIAGNOSIS_TIME;
            if let Some(run) = self.resolve(run) {
                let EndedRuns { interrupted, others, .. } = &mut self.ended_runs;
                if recent { interrupted.push(run) } else { others.push(run) }
            }
        }
    }

    /// Looks up which targets of runs that broke off are gone.
    fn update_gone(&mut self) {
        let EndedRuns { interrupted, others, .. } = &self.ended_runs;
        let broke_off = |run: &&EndedRun| run.end == RunEnd::Interrupted;
        let runs = interrupted.iter().chain(others.iter().filter(broke_off));
        let ids: HashSet<&TargetId> =
            runs.flat_map(|run| run.targets.iter().map(|(id, _)| id)).collect();
        let gone = ids.into_iter().filter(|id| self.targets.is_gone(id));
        self.ended_runs.gone = gone.cloned().collect();
    }

    /// Determines what became of the targets of other runs, and checks the targets again that
    /// nothing is known of: the first check may have been skipped because it came too soon after
    /// another one.
    pub(super) fn resolve_ended(&mut self) {
        self.update_gone();
        self.reconsider_interrupted();
        for run in std::mem::take(&mut self.ended_runs.others) {
            if let Some(run) = self.resolve(run) {
                self.ended_runs.others.push(run);
            }
        }
        let EndedRuns { interrupted, others, .. } = &self.ended_runs;
        let due = |run: &&EndedRun| {
            let since = self.now.saturating_duration_since(run.at);
            (OUTLIVED_AFTER..OUTLIVED_AFTER + DIAGNOSIS_TIME).contains(&since)
                && self.is_worth_a_check(run)
        };
        let others = others.iter().filter(due);
        let unknown = |run: &EndedRun| {
            let mut targets = run.targets.iter();
            let unknown = targets
                .find(|(id, hash)| self.target_state(run, id, *hash) == TargetState::Unknown);
            unknown.map(|(id, _)| id.clone())
        };
        let mut ids: Vec<TargetId> = interrupted.iter().chain(others).filter_map(unknown).collect();
        ids.sort_unstable();
        ids.dedup();
        // This host does not reach a relayed target, and a check would only end the relay.
        ids.retain(|id| self.targets.get(id).is_none_or(|target| target.relay().is_none()));
        for id in ids {
            self.check_alive(&id);
        }
    }

    /// Whether targets are checked for a run that did not break off, if nothing else shows that they
    /// outlived it: if it was short, or something is held against its suspects.
    fn is_worth_a_check(&self, run: &EndedRun) -> bool {
        let crashes = |suspect| self.fatal.crashes(suspect) > 0;
        run.stage.is_beginning() || run.subject.suspects.all().any(crashes)
    }

    /// Records what a run shows; returns it if that is not known yet.
    fn resolve(&mut self, run: EndedRun) -> Option<EndedRun> {
        let state = |(id, hash): &(TargetId, TargetHash)| self.target_state(&run, id, *hash);
        let states: Vec<TargetState> = run.targets.iter().map(state).collect();
        match judge(run.end, &states, self.now.saturating_duration_since(run.at)) {
            RunVerdict::Crashed(number) => {
                let (id, hash) = run.targets[number].clone();
                self.record_crash(&run, &id, hash, false);
            }
            RunVerdict::FellSilent(number) => {
                let (id, hash) = run.targets[number].clone();
                self.record_crash(&run, &id, hash, true);
            }
            RunVerdict::Survived => self.record_outlived(&run),
            RunVerdict::Inconclusive(why) if run.end == RunEnd::Interrupted => {
                self.log_no_crash(&run, why);
            }
            RunVerdict::Inconclusive(_) => {}
            RunVerdict::Undecided => return Some(run),
        }
        None
    }

    /// What is known of a target since a run on it ended.
    fn target_state(&self, run: &EndedRun, id: &TargetId, hash: TargetHash) -> TargetState {
        let interrupted = run.end == RunEnd::Interrupted;
        let first = run.targets.first().is_some_and(|(first, _)| first == id);
        // Only the host that relayed to a target, and checks it when that has ended, sees its port.
        let relayed = first && run.relayed;
        let relay_lost = relayed && self.targets.get(id).is_some_and(Target::is_reported_down);
        // One that was listed when the run broke off has not left by its own decision.
        let gone = interrupted && (relay_lost || self.ended_runs.gone.contains(id));
        if gone || self.incarnation_ended(id, hash) {
            return TargetState::Ended;
        }
        let kept = |key: Key| self.net.peek(key).is_some_and(|socket| socket.ended.is_none());
        let alive = if interrupted {
            // A passed check shows only that something listens at the address.
            self.targets.suspects(std::slice::from_ref(id), run.at + READ_LATE).is_empty()
        } else {
            self.targets.reached_since(id, run.at + OUTLIVED_AFTER)
                || (first && run.connection.is_some_and(kept))
        };
        if alive {
            return TargetState::Alive;
        }
        // A target that another host reaches has only lost its link to this one.
        let silent = |target: &Target| {
            target.liveness_failure() == Some(LivenessFailure::Silent) && target.relay().is_none()
        };
        if self.targets.get(id).is_some_and(silent) {
            TargetState::Unreachable
        } else {
            TargetState::Unknown
        }
    }

    /// Logs an interrupted run that does not count as a crash, and why.
    fn log_no_crash(&mut self, run: &EndedRun, why: &str) {
        let RunSubject { suspects, attempt, parts } = &run.subject;
        let ids: Vec<&str> = run.targets.iter().map(|(id, _)| id.as_str()).collect();
        log_event!(
            self,
            CrashNotFound,
            "request={attempt} fingerprint={} parts={} targets={} stage={} waited_ms={} why={why}",
            suspects.request,
            parts_text(parts),
            ids.join(","),
            run.stage,
            self.now.saturating_duration_since(run.at).as_millis()
        );
    }

    /// Whether a target said that it is leaving, so that its end is no crash.
    fn announced_leaving(&self, id: &str) -> bool {
        self.targets.get(id).is_none_or(|target| !target.is_available())
    }

    /// Whether the process of a target's incarnation has ended.
    pub(super) fn incarnation_ended(&self, id: &str, hash: TargetHash) -> bool {
        let Some(target) = self.targets.get(id) else { return false };
        let another = self.targets.hash(id) != Some(hash);
        another || target.liveness_failure() == Some(LivenessFailure::Reset)
    }
}

/// How a run ends whose send failed; `None` if its target has not run it.
pub(super) fn run_end(fault: Fault) -> Option<RunEnd> {
    match fault {
        Fault::Lost | Fault::Cut => Some(RunEnd::Interrupted),
        Fault::NotSent | Fault::Refused => None,
        Fault::Silent | Fault::Garbled | Fault::Failed => Some(RunEnd::Closed),
    }
}
