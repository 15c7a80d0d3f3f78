//! Finds out under which requests targets end, and stops those that end them.
//!
//! A send that breaks off does not say why: the target may have spoilt one answer, a link may be cut, or its
//! process is gone. Only the last is held against the request, so the end is looked into first: the
//! target's port resets a connection, or the list names another life.

use super::exchange::Exchange;
use super::in_flight::Send;
use super::{EntryHost, note};
use crate::slab::Key;
use roseshore_core::gateway::fatal::{EARLY, FatalChange, FatalReport};
use roseshore_core::gateway::peers::TargetHash;
use roseshore_core::gateway::targets::LivenessFailure;
use roseshore_core::gateway::{Fault, Fingerprint};
use roseshore_core::prelude::*;

/// For finding out whether a target ended: liveness checks of one target are 0.2 s apart, so this is time for
/// three; targets take seconds to start again.
const LOOK_TIME: Duration = Duration::from_secs(1);
/// What a log line says of another host's word.
pub(super) const HEARD: &str = "heard";

/// A send that broke off, until it is known whether one of its targets ended.
#[derive(Debug)]
pub(super) struct Broken {
    fingerprint: Fingerprint,
    attempt: String,
    /// The targets that it ran through, in the lives of then.
    targets: Vec<(TargetId, TargetHash)>,
    early: bool,
    at: Instant,
}

impl EntryHost {
    /// A send failed: remembers it until it is known whether a target ended under it.
    pub(super) fn look_into(&mut self, key: Key, fault: Fault, culprits: &[TargetId]) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let Some(send) = &exchange.send else { return };
        let mut targets = send.lives.clone();
        match fault {
            Fault::Lost | Fault::Cut => {}
            Fault::Silent => targets.retain(|(id, _)| culprits.contains(id)),
            Fault::NotSent | Fault::Refused | Fault::Garbled | Fault::Failed => return,
        }
        let announced = |id: &str| self.targets.get(id).is_none_or(|t| !t.is_available());
        targets.retain(|(id, _)| !announced(id));
        if targets.is_empty() {
            return;
        }
        let broken = Broken {
            fingerprint: exchange.fingerprint,
            attempt: exchange.asked.attempt.clone(),
            targets,
            early: early(send, self.now),
            at: self.now,
        };
        self.broken.push(broken);
    }

    /// Whether a request waits until it is known why its last sends broke off before it is sent again: if
    /// all of their targets ended, one more end blocks it. A check takes milliseconds. Once a target has ended
    /// under it, its runs that have hardly begun count as well: each of those under way ends another target
    /// before this host knows of the last one.
    pub(super) fn waits_for_verdict(&self, exchange: &Exchange) -> bool {
        let fingerprint = exchange.fingerprint;
        let broken = self.broken.iter().filter(|b| b.fingerprint == fingerprint).count();
        let open = broken + self.beginning(fingerprint);
        open > 0 && self.fatal.near_limit(fingerprint, open)
    }

    /// Runs of a request under which a target has ended that have hardly begun.
    fn beginning(&self, fingerprint: Fingerprint) -> usize {
        if self.fatal.crashes(fingerprint) == 0 {
            return 0;
        }
        let same = |key: &Key| {
            let exchange = self.exchanges.get(*key).filter(|e| e.fingerprint == fingerprint);
            exchange.and_then(|e| e.send.as_ref()).is_some_and(|send| early(send, self.now))
        };
        self.exchanges.keys().into_iter().filter(same).count()
    }

    /// Looks which of the sends that broke off did so since a target ended.
    pub(super) fn judge_broken(&mut self) {
        if self.broken.is_empty() {
            return;
        }
        let now = self.now;
        let mut waiting = Vec::new();
        for broken in std::mem::take(&mut self.broken) {
            // Of targets that ended together, as in a rack, one counts.
            let ended = broken.targets.iter().find(|(id, mark)| self.life_ended(id, *mark));
            if let Some((id, mark)) = ended.cloned() {
                self.ended_under(&broken, &id, mark);
            } else if broken.targets.iter().any(|(id, _)| self.dark(id)) {
                // A machine or a link is gone, and with it what ran there.
            } else if now.saturating_duration_since(broken.at) < LOOK_TIME {
                waiting.push(broken);
            }
        }
        self.broken.extend(waiting);
    }

    /// Checks the targets of sends that broke off once more: the first check may have come too soon after
    /// another one.
    pub(super) fn recheck_broken(&mut self) {
        let first = |broken: &Broken| broken.targets.first().map(|(id, _)| id.clone());
        let mut ids: Vec<TargetId> = self.broken.iter().filter_map(first).collect();
        ids.sort_unstable();
        ids.dedup();
        for id in ids {
            self.check_alive(&id);
        }
    }

    /// Whether the process that was a target is gone.
    fn life_ended(&self, id: &str, mark: TargetHash) -> bool {
        let Some(target) = self.targets.get(id) else { return false };
        let another = self.targets.hash(id) != Some(mark);
        another || target.liveness_failure() == Some(LivenessFailure::Reset)
    }

    fn dark(&self, id: &str) -> bool {
        self.targets
            .get(id)
            .is_some_and(|target| target.liveness_failure() == Some(LivenessFailure::Silent))
    }

    fn ended_under(&mut self, broken: &Broken, id: &str, mark: TargetHash) {
        let Broken { fingerprint, attempt, early, .. } = broken;
        let change = self.fatal.record_crash(*fingerprint, mark, *early, self.now);
        let after = self.now.saturating_duration_since(broken.at).as_millis();
        note!(
            self,
            TargetEnded,
            "request={attempt} fingerprint={fingerprint} target={id} early={early} ends={} \
             known_after_ms={after}",
            self.fatal.crashes(*fingerprint)
        );
        self.follow_change(*fingerprint, change, "own");
    }

    /// Takes another host's word of a request that ends targets, or a record's.
    pub(super) fn hear_fatal(&mut self, note: &FatalReport, by: &str) {
        let change = self.fatal.receive(note, self.now);
        self.follow_change(note.fingerprint, change, by);
    }

    /// A request ended whole, so it does not end its targets.
    pub(super) fn ended_whole(&mut self, fingerprint: Fingerprint) {
        let change = self.fatal.record_success(fingerprint, self.now);
        self.follow_change(fingerprint, change, "own");
    }

    fn follow_change(&mut self, fingerprint: Fingerprint, change: FatalChange, by: &str) {
        match change {
            FatalChange::None | FatalChange::Crashed => {}
            // Who does not speak for others has nobody to pass their words on to.
            FatalChange::CrashedEarly if by == HEARD && !self.peers.speaking() => {}
            FatalChange::CrashedEarly => self.tell_soon(),
            FatalChange::Cleared => {
                note!(self, RequestCleared, "fingerprint={fingerprint} by={by}");
                self.blocked_changed();
            }
            FatalChange::Blocked => {
                let ends = self.fatal.crashes(fingerprint);
                let blocked = self.fatal.blocked_count();
                note!(
                    self,
                    RequestBlocked,
                    "fingerprint={fingerprint} ends={ends} by={by} blocked={blocked}"
                );
                self.blocked_changed();
                self.beat_now(true);
                self.stop_blocked(fingerprint);
            }
        }
    }

    /// Ends the runs of a blocked request that have hardly begun. One that is past its beginning may
    /// show that the request is well after all.
    fn stop_blocked(&mut self, fingerprint: Fingerprint) {
        for key in self.exchanges.keys() {
            let Some(exchange) = self.exchanges.get(key) else { continue };
            let begun = exchange.send.as_ref().is_some_and(|send| !early(send, self.now));
            if exchange.fingerprint == fingerprint && !begun {
                self.end_without(key, Code::EndsTargets, ENDS_TARGETS);
            }
        }
    }

    /// The refusal of a request that is blocked; `None` for others.
    pub(super) fn refuse_fatal(&mut self, fingerprint: Fingerprint) -> Option<Refusal> {
        let left = self.fatal.blocked(fingerprint, self.now)?;
        let text = format!("{ENDS_TARGETS}: fingerprint {fingerprint}");
        Some(Refusal::not_run(Code::EndsTargets, text).after(self.spread(left)))
    }
}

/// Why a blocked request is refused.
pub(super) const ENDS_TARGETS: &str = "targets ended while they ran this request";

/// Whether a send had hardly begun to run.
fn early(send: &Send, now: Instant) -> bool {
    send.first.is_none_or(|at| now.saturating_duration_since(at) < EARLY)
}
