//! Finds out which target of a silent path is dead.
//!
//! A connection is opened and closed again: a live target's machine takes it at once, a dead port
//! resets it, a dark machine says nothing. That costs no slot and next to nothing, so it is done
//! well before a stream is given up.

use super::in_flight::Send;
use super::{EntryHost, Role, Timer, note};
use crate::slab::Key;
use roseshore_core::gateway::Fault;
use roseshore_core::gateway::targets::LivenessFailure;
use roseshore_core::prelude::*;
use std::collections::HashMap;
use std::io::ErrorKind;

/// For an answer to a check: two milliseconds between data centres, and a target that is twelve times slower
/// than usual takes 12 ms.
const CHECK_TIME: Duration = Duration::from_millis(45);
/// A target is checked this often at most.
const EVERY: Duration = Duration::from_millis(200);
/// A dead target is checked again after this time.
const DEAD_EVERY: Duration = Duration::from_millis(500);
/// Unanswered checks in a row that mean death: one packet may be lost.
const UNANSWERED: u32 = 2;

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Check {
    last: Option<Instant>,
    open: bool,
    unanswered: u32,
}

/// The liveness checks of targets.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    checks: HashMap<TargetId, Check>,
    /// Targets found dead in this turn of the loop.
    fallen: Vec<TargetId>,
}

impl Liveness {
    /// What runs through a target is lost.
    pub(super) fn lose(&mut self, id: &str) {
        self.fallen.push(id.to_owned());
    }
}

impl EntryHost {
    /// Checks whether a target lives, unless that was done just now.
    pub(super) fn check_alive(&mut self, id: &str) {
        let now = self.now;
        let Some(target) = self.targets.get(id) else { return };
        let addr = target.record.addr;
        let check = self.liveness.checks.entry(id.to_owned()).or_default();
        let again = check.last.is_none_or(|at| now.saturating_duration_since(at) >= EVERY);
        if check.open || !(again || check.unanswered > 0) {
            return;
        }
        check.last = Some(now);
        match self.net.connect(addr) {
            Ok(key) => {
                check.open = true;
                self.roles.insert(key, Role::Liveness(id.to_owned()));
                self.arm(now + CHECK_TIME, Timer::Liveness(key));
            }
            Err(err) if err.kind() == ErrorKind::ConnectionRefused => {
                self.mark_dead(id, LivenessFailure::Reset);
            }
            Err(err) => note!(self, ReportFailed, "target={id} liveness=unsent why={err:?}"),
        }
    }

    /// The connection of a check changed.
    pub(super) fn check_changed(&mut self, key: Key) {
        let Some(socket) = self.net.get(key) else { return };
        let (up, ended) = (socket.connected, socket.ended.is_some());
        if !up && !ended {
            return;
        }
        let Some(id) = self.end_check(key) else { return };
        if up {
            if let Some(check) = self.liveness.checks.get_mut(&id) {
                check.unanswered = 0;
            }
            if self.targets.liveness_passed(&id) {
                note!(self, TargetBack, "target={id} by=liveness");
            }
            return;
        }
        self.mark_dead(&id, LivenessFailure::Reset);
    }

    /// The time of a check is over.
    pub(super) fn check_timed_out(&mut self, key: Key) {
        let Some(id) = self.end_check(key) else { return };
        let Some(check) = self.liveness.checks.get_mut(&id) else { return };
        check.unanswered += 1;
        if check.unanswered >= UNANSWERED {
            self.mark_dead(&id, LivenessFailure::Silent);
        } else {
            self.check_alive(&id);
        }
    }

    fn end_check(&mut self, key: Key) -> Option<TargetId> {
        let Some(Role::Liveness(id)) = self.roles.get(&key) else { return None };
        let id = id.clone();
        self.close(key);
        if let Some(check) = self.liveness.checks.get_mut(&id) {
            check.open = false;
        }
        Some(id)
    }

    fn mark_dead(&mut self, id: &str, death: LivenessFailure) {
        if self.targets.liveness_failed(id, death) {
            note!(self, TargetLost, "target={id} liveness={}", death.name());
            self.beat_now(false);
        }
        self.liveness.lose(id);
    }

    /// What runs through targets that were found dead goes elsewhere. All that fell in one turn are
    /// known by then: when a data centre is cut off its targets fall together, and a request that
    /// left each of them in turn would use the allowance of repeats up on the next dead one.
    pub(super) fn leave_fallen(&mut self) {
        let fallen = std::mem::take(&mut self.liveness.fallen);
        if fallen.is_empty() {
            return;
        }
        let now = self.now;
        for key in self.exchanges.keys() {
            let Some(exchange) = self.exchanges.get(key).filter(|e| e.may_move(now)) else {
                continue;
            };
            let Some(mut targets) = exchange.send.as_ref().map(Send::targets) else { continue };
            targets.retain(|id| fallen.contains(id));
            if !targets.is_empty() {
                self.failed_by(key, Fault::Silent, targets);
            }
        }
    }

    /// Checks the dead again, and forgets those that are gone.
    pub(super) fn recheck_dead(&mut self) {
        let now = self.now;
        let targets = &self.targets;
        self.liveness.checks.retain(|id, check| check.open || targets.get(id).is_some());
        for id in self.targets.dead() {
            let last = self.liveness.checks.get(&id).and_then(|d| d.last);
            if last.is_none_or(|at| now.saturating_duration_since(at) >= DEAD_EVERY) {
                self.check_alive(&id);
            }
        }
    }
}
