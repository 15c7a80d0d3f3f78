//! Detects requests and parts of prompts that make targets crash, and blocks them.
//!
//! What counts is the end of a run, as [`ended_runs`](super::ended_runs) determines it, and how far
//! runs got.

use super::ended_runs::{EndedRun, RunSubject};
use super::exchange::Exchange;
use super::in_flight::InFlightSend;
use super::{EntryHost, log_event};
use crate::slab::Key;
use roseshore_core::gateway::fatal::{Crash, FatalChange, FatalReport, Refused, RunEnd, Stage};
use roseshore_core::gateway::peers::TargetHash;
use roseshore_core::gateway::{Fingerprint, Suspects};
use roseshore_core::prelude::*;

/// Parts of a prompt that a log line names.
const MAX_LOGGED_PARTS: usize = 8;
/// Value of `by` in a log line about a report of another host.
pub(super) const BY_PEER: &str = "heard";

impl EntryHost {
    /// Whether a request has to wait, before it is sent again, until the cause of its interrupted
    /// sends is known: if a target crashed in each of them, one more crash blocks the request. A
    /// check takes milliseconds. Once a target has crashed while running the request, its runs that
    /// have hardly begun count as well, since each of them may crash another target before this
    /// host learns of the last crash.
    pub(super) fn awaits_diagnosis(&self, exchange: &Exchange) -> bool {
        let request = exchange.suspects.request;
        let pending = self.interrupted_runs(request) + self.early_runs(exchange);
        pending > 0 && self.fatal.near_limit(request, pending)
    }

    /// Number of other exchanges of the same request whose runs have hardly begun; 0 while no target
    /// has crashed under the request.
    fn early_runs(&self, own: &Exchange) -> usize {
        let request = own.suspects.request;
        if self.fatal.crashes(request) == 0 {
            return 0;
        }
        let early =
            |exchange: &Exchange| exchange.open_sends().any(|send| is_early(send, self.now));
        let same = |key: &Key| {
            let exchange = self.exchanges.get(*key).filter(|e| e.suspects.request == request);
            exchange.is_some_and(|e| !std::ptr::eq(e, own) && early(e))
        };
        self.exchanges.keys().into_iter().filter(same).count()
    }

    /// Records that a target crashed under a run, or its machine fell silent.
    pub(super) fn record_crash(
        &mut self,
        run: &EndedRun,
        id: &str,
        hash: TargetHash,
        silent: bool,
    ) {
        let (RunSubject { suspects, attempt, parts }, at) = (&run.subject, run.at);
        let crash = Crash { target: hash, stage: run.stage, silent, at };
        for suspect in suspects.all() {
            let change = self.fatal.record_crash(suspect, crash, self.now);
            self.apply_change(suspect, change, "own");
        }
        log_event!(
            self,
            TargetEnded,
            "request={attempt} fingerprint={} parts={} target={id} silent={silent} stage={} run={} \
             ends={} part_ends={} known_after_ms={}",
            suspects.request,
            parts_text(parts),
            run.stage,
            run.end.name(),
            self.fatal.crashes(suspects.request),
            self.crashes_text(suspects),
            self.now.saturating_duration_since(at).as_millis()
        );
    }

    /// The crashes that count against each part of a prompt, as text of a log line.
    fn crashes_text(&self, suspects: &Suspects) -> String {
        let parts = suspects.parts.iter().copied().chain(suspects.last);
        let text = |part: Fingerprint| format!("{part}:{}", self.fatal.crashes(part));
        let texts: Vec<String> = parts.map(text).collect();
        if texts.is_empty() { "-".to_owned() } else { texts.join(",") }
    }

    /// Applies what another host or a record in the store reports about a suspect.
    pub(super) fn apply_fatal_report(&mut self, report: &FatalReport, by: &str) {
        let change = self.fatal.receive(report, self.earliest_arrival, self.now);
        self.apply_change(report.fingerprint, change, by);
    }

    /// Records how far a run got, so that the parts of its prompt do not crash targets before that.
    pub(super) fn record_survived(&mut self, key: Key) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let Some(send) = exchange.send.as_mut() else { return };
        // If the connection has ended, the events may be older than they look.
        let open = self.net.get(send.socket).is_some_and(|socket| socket.ended.is_none());
        let stage = send.progress.outlived(now);
        if !open || stage <= send.survived {
            return;
        }
        send.survived = stage;
        let suspects = exchange.suspects.clone();
        self.record_survival_of_parts(&suspects, stage);
    }

    /// Records that a run acquits these parts of crashes before a stage. Most last parts are of one
    /// request only and are not remembered for it.
    fn record_survival_of_parts(&mut self, suspects: &Suspects, stage: Stage) {
        let last = suspects.last.filter(|last| self.fatal.crashes(*last) > 0);
        for part in suspects.parts.iter().copied().chain(last) {
            self.record_survival(part, stage);
        }
    }

    /// Marks that the send in flight got a complete response.
    pub(super) fn mark_completed(&mut self, key: Key) {
        let send = self.exchanges.get_mut(key).and_then(|exchange| exchange.send.as_mut());
        if let Some(send) = send {
            send.end = Some(RunEnd::Completed);
        }
    }

    /// Records that targets outlived a run that got a complete response, so that its request does not
    /// crash them, and the parts of its prompt not before the run's end.
    pub(super) fn record_outlived(&mut self, run: &EndedRun) {
        let RunSubject { suspects, .. } = &run.subject;
        self.record_survival_of_parts(suspects, run.stage.completed());
        self.record_survival(suspects.request, Stage::COMPLETE);
    }

    fn record_survival(&mut self, suspect: Fingerprint, stage: Stage) {
        let change = self.fatal.record_survival(suspect, stage, self.now);
        self.apply_change(suspect, change, "own");
    }

    /// Logs a change in what is known about a request, tells other hosts where that is urgent, and
    /// ends runs of a request that is now blocked.
    fn apply_change(&mut self, fingerprint: Fingerprint, change: FatalChange, by: &str) {
        match change {
            FatalChange::None | FatalChange::Crashed => {}
            // Only speakers forward reports of other hosts.
            FatalChange::CrashedEarly if by == BY_PEER && !self.peers.speaking() => {}
            FatalChange::CrashedEarly => self.heartbeat_soon(),
            FatalChange::Dropped(ends) => {
                let part = fingerprint.is_part();
                log_event!(
                    self,
                    CrashesDropped,
                    "fingerprint={fingerprint} part={part} ends={ends} by={by}"
                );
            }
            FatalChange::Cleared => {
                log_event!(self, RequestCleared, "fingerprint={fingerprint} by={by}");
                self.own_records_changed();
            }
            FatalChange::Blocked => {
                let ends = self.fatal.crashes(fingerprint);
                let blocked = self.fatal.all_blocked().count();
                log_event!(
                    self,
                    RequestBlocked,
                    "fingerprint={fingerprint} part={} ends={ends} by={by} blocked={blocked}",
                    fingerprint.is_part()
                );
                self.own_records_changed();
                self.heartbeat_now(true);
                self.end_blocked_runs();
            }
        }
    }

    /// Updates the gauges of blocked requests and parts.
    pub(super) fn update_blocked_gauges(&self) {
        let parts = self.fatal.all_blocked().filter(|fingerprint| fingerprint.is_part()).count();
        let requests = self.fatal.all_blocked().count() - parts;
        metrics::gauge!("roseshore_blocked", "kind" => "request").set(requests as f64);
        metrics::gauge!("roseshore_blocked", "kind" => "part").set(parts as f64);
    }

    /// Ends the runs of blocked requests that have not got beyond the point at which these crash
    /// their targets.
    fn end_blocked_runs(&mut self) {
        for key in self.exchanges.keys() {
            let Some(exchange) = self.exchanges.get(key) else { continue };
            let Some(refused) = self.fatal.refused(&exchange.suspects, self.now) else { continue };
            self.mark_may_have_run(key);
            self.close_endangered(key, refused.stage);
            if self.exchanges.get(key).is_some_and(|exchange| exchange.send.is_none()) {
                self.end_without(key, Code::EndsTargets, ENDS_TARGETS);
            }
        }
    }

    /// The refusal of a request if it is blocked.
    pub(super) fn refuse_blocked(&mut self, suspects: &Suspects) -> Option<Refusal> {
        let Refused { suspect, left, .. } = self.fatal.refused(suspects, self.now)?;
        let kind = if suspect.is_part() { "prompt part" } else { "request" };
        let text = format!("{ENDS_TARGETS}: {kind} {suspect}");
        Some(Refusal::not_run(Code::EndsTargets, text).after(self.with_jitter(left)))
    }
}

/// The reason that callers of a blocked request get.
pub(super) const ENDS_TARGETS: &str = "targets ended while they ran this request";

/// The parts of a prompt as text of a log line, which has room for the first ones only.
pub(super) fn parts_text(parts: &[PromptPartId]) -> String {
    match parts.get(..MAX_LOGGED_PARTS) {
        Some(first) if parts.len() > MAX_LOGGED_PARTS => first.join("+") + "+..",
        _ if parts.is_empty() => "-".to_owned(),
        _ => parts.join("+"),
    }
}

/// Whether a send has hardly begun to run.
pub(super) fn is_early(send: &InFlightSend, now: Instant) -> bool {
    send.progress.stage(now).is_beginning()
}
