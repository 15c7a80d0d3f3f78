//! Detects requests that make targets crash, and blocks them.
//!
//! An interrupted send does not show its cause: the target may have spoilt one response, a link may
//! be down, or the target's process may have ended. Only the last counts against the request, so
//! the cause is determined first: the process has ended if the target's port resets a connection or
//! the list of targets shows a new incarnation.

use super::exchange::Exchange;
use super::in_flight::InFlightSend;
use super::{EntryHost, log_event};
use crate::slab::Key;
use roseshore_core::gateway::fatal::{EARLY, FatalChange, FatalReport};
use roseshore_core::gateway::peers::TargetHash;
use roseshore_core::gateway::targets::LivenessFailure;
use roseshore_core::gateway::{Fault, Fingerprint};
use roseshore_core::prelude::*;

/// Time to determine whether a target crashed. Liveness checks of one target are 0.2 s apart, so
/// there is time for three; a target takes seconds to restart.
const DIAGNOSIS_TIME: Duration = Duration::from_secs(1);
/// Parts of a prompt that a log line names.
const MAX_LOGGED_PARTS: usize = 8;
/// Value of `by` in a log line about a report of another host.
pub(super) const BY_PEER: &str = "heard";

/// An interrupted send, until it is known whether one of its targets crashed.
#[derive(Debug)]
pub(super) struct BrokenSend {
    fingerprint: Fingerprint,
    attempt: String,
    /// The parts of its prompt.
    parts: Vec<PromptPartId>,
    /// The targets on its path, with their incarnations at that time.
    targets: Vec<(TargetId, TargetHash)>,
    /// Whether the target had hardly begun to run the request.
    early: bool,
    at: Instant,
}

impl EntryHost {
    /// Remembers an interrupted send until it is known whether one of its targets crashed.
    pub(super) fn remember_interrupted(&mut self, key: Key, fault: Fault, culprits: &[TargetId]) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let Some(send) = &exchange.send else { return };
        let mut targets = send.incarnations.clone();
        match fault {
            Fault::Lost | Fault::Cut => {}
            Fault::Silent => targets.retain(|(id, _)| culprits.contains(id)),
            Fault::NotSent | Fault::Refused | Fault::Garbled | Fault::Failed => return,
        }
        let announced_leaving = |id: &str| self.targets.get(id).is_none_or(|t| !t.is_available());
        targets.retain(|(id, _)| !announced_leaving(id));
        if targets.is_empty() {
            return;
        }
        let broken = BrokenSend {
            fingerprint: exchange.fingerprint,
            attempt: exchange.request_fields.attempt.clone(),
            parts: exchange.request_fields.prompt_parts.clone(),
            targets,
            early: is_early(send, self.now),
            at: self.now,
        };
        self.broken_sends.push(broken);
    }

    /// Whether a request has to wait, before it is sent again, until the cause of its interrupted
    /// sends is known: if a target crashed in each of them, one more crash blocks the request. A
    /// check takes milliseconds. Once a target has crashed while running the request, its runs that
    /// have hardly begun count as well, since each of them may crash another target before this
    /// host learns of the last crash.
    pub(super) fn awaits_diagnosis(&self, exchange: &Exchange) -> bool {
        let fingerprint = exchange.fingerprint;
        let broken = self.broken_sends.iter().filter(|b| b.fingerprint == fingerprint).count();
        let pending = broken + self.early_runs(fingerprint);
        pending > 0 && self.fatal.near_limit(fingerprint, pending)
    }

    /// Number of runs of a request that have hardly begun; 0 while no target has crashed under the
    /// request.
    fn early_runs(&self, fingerprint: Fingerprint) -> usize {
        if self.fatal.crashes(fingerprint) == 0 {
            return 0;
        }
        let same = |key: &Key| {
            let exchange = self.exchanges.get(*key).filter(|e| e.fingerprint == fingerprint);
            exchange.and_then(|e| e.send.as_ref()).is_some_and(|send| is_early(send, self.now))
        };
        self.exchanges.keys().into_iter().filter(same).count()
    }

    /// Determines which interrupted sends failed because a target crashed.
    pub(super) fn resolve_broken_sends(&mut self) {
        if self.broken_sends.is_empty() {
            return;
        }
        let now = self.now;
        let mut waiting = Vec::new();
        for broken in std::mem::take(&mut self.broken_sends) {
            // Of several targets that crashed together, as in a rack, only one counts.
            let ended = broken.targets.iter().find(|(id, hash)| self.incarnation_ended(id, *hash));
            if let Some((id, hash)) = ended.cloned() {
                self.record_crash(&broken, &id, hash);
            } else if broken.targets.iter().any(|(id, _)| self.is_unreachable(id)) {
                // A machine or link failed, which is not the fault of the request.
            } else if now.saturating_duration_since(broken.at) < DIAGNOSIS_TIME {
                waiting.push(broken);
            }
        }
        self.broken_sends.extend(waiting);
    }

    /// Checks the targets of interrupted sends again: the first check may have been skipped because
    /// it came too soon after another one.
    pub(super) fn recheck_broken(&mut self) {
        let first = |broken: &BrokenSend| broken.targets.first().map(|(id, _)| id.clone());
        let mut ids: Vec<TargetId> = self.broken_sends.iter().filter_map(first).collect();
        ids.sort_unstable();
        ids.dedup();
        for id in ids {
            self.check_alive(&id);
        }
    }

    /// Whether the process of a target's incarnation has ended.
    fn incarnation_ended(&self, id: &str, hash: TargetHash) -> bool {
        let Some(target) = self.targets.get(id) else { return false };
        let another = self.targets.hash(id) != Some(hash);
        another || target.liveness_failure() == Some(LivenessFailure::Reset)
    }

    /// Whether a target's machine does not answer at all, rather than resetting connections.
    fn is_unreachable(&self, id: &str) -> bool {
        self.targets
            .get(id)
            .is_some_and(|target| target.liveness_failure() == Some(LivenessFailure::Silent))
    }

    /// Records that a target crashed while it ran a request.
    fn record_crash(&mut self, broken: &BrokenSend, id: &str, hash: TargetHash) {
        let BrokenSend { fingerprint, attempt, parts, early, .. } = broken;
        let change = self.fatal.record_crash(*fingerprint, hash, *early, self.now);
        let after = self.now.saturating_duration_since(broken.at).as_millis();
        log_event!(
            self,
            TargetEnded,
            "request={attempt} fingerprint={fingerprint} parts={} target={id} early={early} ends={} \
             known_after_ms={after}",
            parts_text(parts),
            self.fatal.crashes(*fingerprint)
        );
        self.apply_change(*fingerprint, change, "own");
    }

    /// Applies what another host or a record in the store reports about a request that crashes
    /// targets.
    pub(super) fn apply_fatal_report(&mut self, report: &FatalReport, by: &str) {
        let change = self.fatal.receive(report, self.now);
        self.apply_change(report.fingerprint, change, by);
    }

    /// Records that a request got a complete response, so that it does not crash its targets.
    pub(super) fn record_completed(&mut self, fingerprint: Fingerprint) {
        let change = self.fatal.record_success(fingerprint, self.now);
        self.apply_change(fingerprint, change, "own");
    }

    /// Logs a change in what is known about a request, tells other hosts where that is urgent, and
    /// ends runs of a request that is now blocked.
    fn apply_change(&mut self, fingerprint: Fingerprint, change: FatalChange, by: &str) {
        match change {
            FatalChange::None | FatalChange::Crashed => {}
            // Only speakers forward reports of other hosts.
            FatalChange::CrashedEarly if by == BY_PEER && !self.peers.speaking() => {}
            FatalChange::CrashedEarly => self.heartbeat_soon(),
            FatalChange::Cleared => {
                log_event!(self, RequestCleared, "fingerprint={fingerprint} by={by}");
                self.blocked_changed();
            }
            FatalChange::Blocked => {
                let ends = self.fatal.crashes(fingerprint);
                let blocked = self.fatal.blocked_count();
                log_event!(
                    self,
                    RequestBlocked,
                    "fingerprint={fingerprint} ends={ends} by={by} blocked={blocked}"
                );
                self.blocked_changed();
                self.heartbeat_now(true);
                self.end_blocked_runs(fingerprint);
            }
        }
    }

    /// Ends the runs of a blocked request that have hardly begun. A run beyond that may still
    /// complete, which shows that the request is harmless.
    fn end_blocked_runs(&mut self, fingerprint: Fingerprint) {
        for key in self.exchanges.keys() {
            let Some(exchange) = self.exchanges.get(key) else { continue };
            let past_start = exchange.send.as_ref().is_some_and(|send| !is_early(send, self.now));
            if exchange.fingerprint == fingerprint && !past_start {
                self.end_without(key, Code::EndsTargets, ENDS_TARGETS);
            }
        }
    }

    /// The refusal of a request if it is blocked.
    pub(super) fn refuse_blocked(&mut self, fingerprint: Fingerprint) -> Option<Refusal> {
        let left = self.fatal.blocked(fingerprint, self.now)?;
        let text = format!("{ENDS_TARGETS}: fingerprint {fingerprint}");
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

/// Whether a send has hardly begun to run: its first event came less than [`EARLY`] ago, or has not
/// come.
fn is_early(send: &InFlightSend, now: Instant) -> bool {
    send.first_event.is_none_or(|at| now.saturating_duration_since(at) < EARLY)
}
