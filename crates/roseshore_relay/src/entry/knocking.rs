//! Finds out which target of a silent path is dead.
//!
//! A connection is opened and closed again: a live target's machine takes it at once, a dead port
//! resets it, a dark machine says nothing. That costs no slot and next to nothing, so it is done
//! well before a stream is given up.

use super::{Entry, Role, Timer, note};
use crate::slab::Key;
use roseshore_core::gateway::fate::{self, Fault, Next};
use roseshore_core::prelude::*;
use std::collections::HashMap;

/// For an answer to a knock: two milliseconds between data centres, and a busy host.
const KNOCK_TIME: Duration = Duration::from_millis(90);
/// A target is knocked at this often at most.
const EVERY: Duration = Duration::from_millis(200);
/// A dead target is knocked at again after this time.
const DEAD_EVERY: Duration = Duration::from_millis(500);
/// Unanswered knocks in a row that mean death: one packet may be lost.
const UNANSWERED: u32 = 2;

/// What is known of one target's knocks.
#[derive(Clone, Copy, Debug, Default)]
struct Door {
    last: Option<Instant>,
    open: bool,
    unanswered: u32,
}

/// Knocks at targets.
#[derive(Debug, Default)]
pub(super) struct Knocks {
    doors: HashMap<TargetId, Door>,
}

impl Entry {
    /// Knocks at a target, unless that was done just now.
    pub(super) fn knock(&mut self, id: &str) {
        let now = self.now;
        let Some(target) = self.targets.get(id) else { return };
        let addr = target.record.addr;
        let door = self.knocks.doors.entry(id.to_owned()).or_default();
        let again = door.last.is_none_or(|at| now.saturating_duration_since(at) >= EVERY);
        if door.open || !(again || door.unanswered > 0) {
            return;
        }
        door.last = Some(now);
        match self.net.connect(addr) {
            Ok(key) => {
                door.open = true;
                self.roles.insert(key, Role::Knock(id.to_owned()));
                self.arm(now + KNOCK_TIME, Timer::Knock(key));
            }
            Err(err) => note!(self, ReportFailed, "target={id} knock=unsent why={err:?}"),
        }
    }

    /// A knock's connection changed.
    pub(super) fn knocked(&mut self, key: Key) {
        let Some(socket) = self.net.get(key) else { return };
        let (up, ended) = (socket.connected, socket.ended.is_some());
        if !up && !ended {
            return;
        }
        let Some(id) = self.end_knock(key) else { return };
        if up {
            if let Some(door) = self.knocks.doors.get_mut(&id) {
                door.unanswered = 0;
            }
            if self.targets.answered(&id) {
                note!(self, TargetBack, "target={id} by=knock");
            }
            return;
        }
        self.bury(&id, "reset");
    }

    /// A knock's time is over.
    pub(super) fn check_knock(&mut self, key: Key) {
        let Some(id) = self.end_knock(key) else { return };
        let Some(door) = self.knocks.doors.get_mut(&id) else { return };
        door.unanswered += 1;
        if door.unanswered >= UNANSWERED {
            self.bury(&id, "silent");
        } else {
            self.knock(&id);
        }
    }

    fn end_knock(&mut self, key: Key) -> Option<TargetId> {
        let Some(Role::Knock(id)) = self.roles.get(&key) else { return None };
        let id = id.clone();
        self.close(key);
        if let Some(door) = self.knocks.doors.get_mut(&id) {
            door.open = false;
        }
        Some(id)
    }

    /// A target is dead: what runs through it goes elsewhere.
    fn bury(&mut self, id: &str, why: &str) {
        let now = self.now;
        if self.targets.died(id, now) {
            note!(self, TargetLost, "target={id} knock={why}");
            self.beat_now();
        }
        let through = |send: &super::sends::Send| {
            send.target == id || send.path.iter().any(|(hop, ..)| hop == id)
        };
        for key in self.exchanges.keys() {
            let Some(exchange) = self.exchanges.get(key) else { continue };
            if !exchange.send.as_ref().is_some_and(through) {
                continue;
            }
            let mut after = exchange.standing(now);
            after.verdict = after.verdict.join(Verdict::MayHaveRun);
            if fate::next(&after) == Next::Again {
                self.failed_by(key, Fault::Silent, vec![id.to_owned()]);
            }
        }
    }

    /// Knocks at the dead again, and forgets those that are gone.
    pub(super) fn knock_at_dead(&mut self) {
        let now = self.now;
        let targets = &self.targets;
        self.knocks.doors.retain(|id, door| door.open || targets.get(id).is_some());
        for id in self.targets.dead() {
            let last = self.knocks.doors.get(&id).and_then(|d| d.last);
            if last.is_none_or(|at| now.saturating_duration_since(at) >= DEAD_EVERY) {
                self.knock(&id);
            }
        }
    }
}
