//! Liveness checks of targets, to find out which target of a path without progress is dead.
//!
//! A check opens a connection and closes it again: the machine of a live target accepts it at once,
//! a closed port resets it, and an unreachable machine does not answer. A check occupies no slot of
//! the target and costs almost nothing, so it is done well before a stream is given up.

use super::probes::millis;
use super::{EntryHost, Role, Timer, log_event};
use crate::net::is_exhausted;
use crate::slab::Key;
use roseshore_core::gateway::Fault;
use roseshore_core::gateway::liveness::{
    CHECK_TIMEOUT, CheckCounts, CheckDuty, CheckReason, LinkChecks, LinkState,
};
use roseshore_core::gateway::targets::{LivenessFailure, Target};
use roseshore_core::prelude::*;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::io::ErrorKind;

/// Shortest interval between checks of a target.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Unanswered checks in a row after which a target is considered dead. A single one may be a lost
/// packet.
const MAX_UNANSWERED: u32 = 2;

/// Maximum number of checks in progress when more targets are to be checked without being in use.
const MAX_PENDING_CHECKS: usize = 64;
/// Shortest interval between checks of a target to answer other hosts.
const ASKED_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a sign of life after which a target is checked while the host's links are in doubt.
const LINK_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between log lines that count the checks.
const COUNTS_INTERVAL: Duration = Duration::from_secs(1);

/// The checks of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Check {
    last: Option<Instant>,
    /// Start of the first of the unanswered checks in a row.
    first: Option<Instant>,
    /// Whether a check is in progress.
    pending: bool,
    /// Whether it was started because a request makes no progress or has failed.
    urgent: bool,
    /// Whether the check in progress was started only to answer another host.
    asked: bool,
    /// When a check was last started to answer another host.
    asked_at: Option<Instant>,
    /// Unanswered checks in a row.
    unanswered: u32,
    /// Bytes that the host had received when the last check began.
    received: u64,
}

/// The liveness checks of targets.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    checks: HashMap<TargetId, Check>,
    /// Targets found dead in this iteration of the event loop.
    dead: Vec<TargetId>,
    /// Whether targets that failed checks have passed one in this iteration of the event loop.
    back: bool,
    link_checks: LinkChecks,
    /// Checks begun since the last log line about them, and when that was written.
    counts: CheckCounts,
    counted_at: Option<Instant>,
    /// How late answers to checks may be because of this host's link.
    pub(super) link: LinkState,
}

impl Liveness {
    /// Marks a target as dead, so that the requests that run on it are sent to others.
    pub(super) fn mark_lost(&mut self, id: &str) {
        self.dead.push(id.to_owned());
    }
}

impl EntryHost {
    /// Starts a check of a target, unless one is in progress or the last one was answered less than
    /// [`CHECK_INTERVAL`] ago.
    pub(super) fn check_alive(&mut self, id: &str) {
        let now = self.now;
        let check = self.liveness.checks.entry(id.to_owned()).or_default();
        let due = check.last.is_none_or(|at| now.saturating_duration_since(at) >= CHECK_INTERVAL);
        (check.urgent, check.asked) = (true, false);
        if due || check.unanswered > 0 {
            self.start_check(id, CheckReason::Request);
        }
    }

    /// Whether a check of a target was not answered in time, and none has been answered since.
    pub(super) fn check_unanswered(&self, id: &str) -> bool {
        self.liveness.checks.get(id).is_some_and(|check| check.unanswered > 0)
    }

    /// Checks a target for another host, unless it was done less than [`ASKED_INTERVAL`] ago.
    pub(super) fn check_for_other(&mut self, id: &str) {
        let now = self.now;
        let check = self.liveness.checks.entry(id.to_owned()).or_default();
        let due = |at| now.saturating_duration_since(at) >= ASKED_INTERVAL;
        if check.asked_at.is_none_or(due) {
            check.asked_at = Some(now);
            self.start_check(id, CheckReason::Asked);
        }
    }

    /// Starts a check of a target, unless one is in progress.
    pub(super) fn start_check(&mut self, id: &str, reason: CheckReason) {
        let now = self.now;
        let Some(target) = self.targets.get(id) else { return };
        let (addr, fails) = (target.record.addr, target.liveness_failure().is_some());
        if let Some(check) = self.liveness.checks.get_mut(id).filter(|check| check.pending) {
            check.asked &= reason == CheckReason::Asked;
            return;
        }
        if fails {
            // Whether another host still reaches it is known when this check has failed as well.
            self.ask_reach(id);
        }
        self.liveness.counts.record(reason);
        metrics::counter!("roseshore_liveness_checks_total", "reason" => reason.name())
            .increment(1);
        let check = self.liveness.checks.entry(id.to_owned()).or_default();
        check.last = Some(now);
        if check.unanswered == 0 || fails {
            check.first = Some(now);
        }
        check.received = self.net.received();
        check.asked = reason == CheckReason::Asked;
        match self.net.connect(addr) {
            Ok(key) => {
                check.pending = true;
                self.roles.insert(key, Role::Liveness(id.to_owned()));
                self.set_timer(now + CHECK_TIMEOUT, Timer::Liveness(key));
            }
            Err(err) if err.kind() == ErrorKind::ConnectionRefused => {
                self.mark_dead(id, LivenessFailure::Reset, "");
            }
            Err(err) => {
                log_event!(self, ReportFailed, "target={id} liveness=unsent why={err:?}");
                if !is_exhausted(&err) {
                    self.mark_dead(id, LivenessFailure::Silent, "");
                }
            }
        }
    }

    /// Handles the outcome of a check: the connection was established or failed.
    pub(super) fn handle_liveness(&mut self, key: Key) {
        let Some(socket) = self.net.get(key) else { return };
        let (accepted, ended) = (socket.was_accepted(), socket.ended.is_some());
        if !accepted && !ended {
            return;
        }
        let Some(id) = self.end_check(key) else { return };
        if accepted {
            let Some(check) = self.liveness.checks.get_mut(&id) else { return };
            (check.unanswered, check.urgent) = (0, false);
            let started = check.last.unwrap_or(self.now);
            self.liveness.link.record_answer(started);
            self.reply_reached(&id);
            let failed = self.targets.get(&id).is_some_and(|t| t.liveness_failure().is_some());
            self.liveness.back |= failed;
            if self.targets.liveness_passed(&id, started) {
                log_event!(self, TargetBack, "target={id} by=liveness");
            }
            return;
        }
        if !self.forget_asked(&id) {
            self.mark_dead(&id, LivenessFailure::Reset, "");
        }
    }

    /// Forgets a failed check that was started only to answer another host. If it counted, all
    /// hosts would check a lost target in the end, as each of them asks others again.
    fn forget_asked(&mut self, id: &str) -> bool {
        let Some(check) = self.liveness.checks.get_mut(id).filter(|c| c.asked) else {
            return false;
        };
        (check.asked, check.last) = (false, None);
        if check.unanswered == 0 {
            check.first = None;
        }
        true
    }

    /// Handles a check that was not answered in time, unless the answer may still wait behind a
    /// transfer on this host's link.
    pub(super) fn liveness_timed_out(&mut self, key: Key) {
        let Some(Role::Liveness(id)) = self.roles.get(&key) else { return };
        let times = self.liveness.checks.get(id).and_then(|check| check.first.zip(check.last));
        let timeout = times.map(|(first, last)| self.liveness.link.check_timeout(first, last));
        if let Some(timeout) = timeout.filter(|at| *at > self.now) {
            return self.set_timer(timeout, Timer::Liveness(key));
        }
        let Some(id) = self.end_check(key) else { return };
        if self.forget_asked(&id) {
            return;
        }
        let Some(check) = self.liveness.checks.get_mut(&id) else { return };
        check.unanswered += 1;
        if check.unanswered >= MAX_UNANSWERED {
            let waited = check.last.map(|at| self.now.saturating_duration_since(at));
            let received = self.net.received() - check.received;
            let pending = self.liveness.checks.values().filter(|check| check.pending).count();
            let text = format!(
                " waited_ms={} received_bytes={received} pending={pending}",
                millis(waited)
            );
            self.mark_dead(&id, LivenessFailure::Silent, &text);
        } else {
            self.ask_reach(&id);
            self.start_check(&id, CheckReason::Unanswered);
        }
    }

    /// Closes the connection of a check and returns its target.
    fn end_check(&mut self, key: Key) -> Option<TargetId> {
        let Some(Role::Liveness(id)) = self.roles.get(&key) else { return None };
        let id = id.clone();
        self.close(key);
        if let Some(check) = self.liveness.checks.get_mut(&id) {
            check.pending = false;
        }
        Some(id)
    }

    /// Records a failed check, and tells the data centre if the target was not known to be dead.
    fn mark_dead(&mut self, id: &str, failure: LivenessFailure, details: &str) {
        if failure == LivenessFailure::Reset {
            self.ask_reach(id);
        } else if let Some(check) = self.liveness.checks.get_mut(id)
            && std::mem::take(&mut check.urgent)
            && let Some(first) = check.first
        {
            // Other hosts have been asked since then.
            self.targets.expire_relay(id, first);
        }
        if self.targets.liveness_failed(id, failure) {
            log_event!(self, TargetLost, "target={id} liveness={}{details}", failure.name());
            self.close_idle_direct(id);
            if let Some(host) = self.targets.get(id).and_then(Target::relay) {
                log_event!(self, TargetRelayed, "target={id} via={host}");
                self.suspect_link();
            }
            self.heartbeat_now(false);
        }
        self.liveness.mark_lost(id);
        self.reconsider_interrupted();
    }

    /// Sends requests that run on targets found dead to other targets. This is done once per
    /// iteration of the event loop, when all dead targets are known: targets of a data centre that
    /// is cut off die together, and a request that was sent to each of them in turn would use up
    /// the retry budget.
    pub(super) fn reroute_from_dead(&mut self) {
        if std::mem::take(&mut self.liveness.back) && self.peers.speaking() {
            // The other hosts of the data centre seldom check it themselves.
            self.heartbeat_now(false);
        }
        let dead = std::mem::take(&mut self.liveness.dead);
        if dead.is_empty() {
            return;
        }
        let now = self.now;
        for key in self.exchanges.keys() {
            let Some(exchange) = self.exchanges.get(key) else { continue };
            let Some(send) = &exchange.send else { continue };
            let (mut targets, movable) = (send.targets(), exchange.may_move(now));
            let (first, direct) = (send.target.clone(), send.route.via.is_none());
            let connected = self.net.get(send.socket).is_some_and(|s| s.established());
            // A target that another host reaches is lost for its direct connections only.
            let is_down = |id: &str| self.targets.get(id).is_none_or(Target::is_down);
            let lost =
                |id: &TargetId| dead.contains(id) && (is_down(id) || (direct && *id == first));
            targets.retain(lost);
            if targets.contains(&first) && !connected {
                self.send_failed_by(key, Fault::NotSent, vec![first]);
            } else if !targets.is_empty() && movable {
                self.send_failed_by(key, Fault::Silent, targets);
            }
        }
    }

    /// Checks the targets that are due: those that fail, to see whether they are back, and those
    /// that other hosts report to fail, since the fault may be at the links of those hosts.
    pub(super) fn recheck_doubtful(&mut self) {
        let (now, addr) = (self.now, self.peers.addr());
        let (speaks, hosts) = (self.peers.speaking(), 1 + self.peers.other_hosts(now));
        let duty = CheckDuty { speaks, hosts, addr };
        let doubtful = self.targets.doubtful();
        let due =
            doubtful.into_iter().filter(|(id, doubt)| duty.is_due(doubt, self.last_check(id), now));
        let (failing, reported): (Vec<_>, Vec<_>) = due.partition(|(_, doubt)| doubt.failing);
        for (id, _) in failing {
            self.start_check(&id, CheckReason::Failing);
        }
        let reported = reported.into_iter().map(|(id, _)| id).collect();
        self.check_all(reported, CheckReason::Reported);
    }

    /// When a target was last checked.
    fn last_check(&self, id: &str) -> Option<Instant> {
        self.liveness.checks.get(id).and_then(|check| check.last)
    }

    /// Whether this host sends requests to a target, or is likely to.
    fn is_likely(&self, target: &Target) -> bool {
        let record = &target.record;
        target.in_flight > 0
            || record.kind.is_none()
            || record.data_centre == self.settings.data_centre
    }

    /// Starts checks of targets, as far as not too many are in progress.
    fn check_all(&mut self, mut targets: Vec<TargetId>, reason: CheckReason) {
        let pending = self.liveness.checks.values().filter(|check| check.pending).count();
        targets.truncate(MAX_PENDING_CHECKS.saturating_sub(pending));
        for id in targets {
            self.start_check(&id, reason);
        }
    }

    /// Checks targets that have shown no sign of life recently: another host reaches a target that
    /// this one does not, so its link to others may be lost as well. Those with requests are checked
    /// first, then those not seen for the longest time.
    pub(super) fn suspect_link(&mut self) {
        let now = self.now;
        let since = now.checked_sub(LINK_CHECK_INTERVAL).unwrap_or(now);
        let target = |id: &TargetId| self.targets.get(id);
        let likely = |id: &TargetId| target(id).is_some_and(|t| self.is_likely(t));
        let checked = |id: &TargetId| self.last_check(id).is_some_and(|last| last > since);
        let mut unseen = self.targets.unseen(since);
        unseen.retain(|id| likely(id) && !checked(id));
        unseen.sort_by_key(|id| target(id).map(|t| (Reverse(t.in_flight > 0), t.alive_at())));
        unseen.truncate(self.liveness.link_checks.take(unseen.len(), now));
        self.check_all(unseen, CheckReason::Link);
    }

    /// Checks targets again that may be lost, and drops the state of targets that are no longer
    /// listed.
    pub(super) fn recheck_dead(&mut self) {
        let targets = &self.targets;
        self.liveness.checks.retain(|id, check| check.pending || targets.get(id).is_some());
        let (own, reported, relayed) = self.targets.down_counts();
        metrics::gauge!("roseshore_targets_down", "by" => "own").set(own as f64);
        metrics::gauge!("roseshore_targets_relayed").set(relayed as f64);
        metrics::gauge!("roseshore_tunnels").set(self.tunnel_count() as f64);
        metrics::gauge!("roseshore_targets_down", "by" => "reported").set(reported as f64);
        self.recheck_doubtful();
        if relayed > 0 {
            self.suspect_link();
        }
        self.log_checks();
    }

    /// Logs the checks of the last second by reason, if there were any.
    fn log_checks(&mut self) {
        let logged = self.liveness.counted_at.get_or_insert(self.now);
        if self.now.saturating_duration_since(*logged) < COUNTS_INTERVAL {
            return;
        }
        *logged = self.now;
        if let Some(counts) = std::mem::take(&mut self.liveness.counts).summary() {
            log_event!(self, TargetsChecked, "{counts}");
        }
    }
}
