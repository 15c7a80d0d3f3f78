//! Which targets have sent something since a request was to be sent again, and which were asked to
//! and have not.
//!
//! A stopped process neither answers nor ends: its system goes on accepting connections, so a passed
//! liveness check does not show that it works. Only what the process itself sends does, and only for
//! that moment. So a target is asked for a report before a request is sent again to it, unless it has
//! sent something meanwhile, or just before if the request was refused: a request that reaches a stopped target arrives when that goes on, long
//! after it was sent. What remains is a target that stops between its report and the request.

use super::Targets;
use super::target::Target;
use crate::gateway::quota::pending_retries::PendingCopy;
use crate::prelude::*;

/// Age up to which what a target sent shows that it works. A busy host reads the reports of a path's
/// targets one after another.
const RECENT_RESPONSE: Duration = Duration::from_millis(200);
/// How much later than others a target may send its last, when all of a service stop together. What
/// it sent up to then after a request's own target does not show that it works.
const STOP_SPREAD: Duration = Duration::from_millis(60);
/// Time after which a target that was asked and has sent nothing is taken to be stopped. It is far
/// longer than a working one takes between data centres.
const ANSWER_TIME: Duration = Duration::from_millis(50);
/// Time after which a target that was taken to be stopped counts as working. Targets that were
/// stopped together go on within this time, each with the requests that it has.
const RESUME_SPREAD: Duration = Duration::from_millis(150);
/// Time after which a working target has read what was sent to it, and what it had sent before that
/// has arrived.
const READ_TIME: Duration = Duration::from_millis(60);
/// Time after which a target is asked again, unless a request needs a report of its own.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Since when what targets send counts for a request that is sent again.
#[derive(Clone, Copy, Debug)]
pub struct ResponseWait {
    /// When it was to be sent again; `None` if what was sent shortly before that counts as well. That
    /// suffices for refused requests, which a busy service has many of.
    pub since: Option<Instant>,
    /// When its own target was last heard, while that is silent.
    pub silent_since: Option<Instant>,
}

impl ResponseWait {
    /// Whether what a target sent at a time shows that it works.
    fn accepts(&self, at: Instant, now: Instant) -> bool {
        // A request may also be moved while its own target goes on, such as from an old incarnation.
        let silent = self.silent_since.map(|since| since + STOP_SPREAD).filter(|from| *from <= now);
        let recent = now.saturating_duration_since(at) <= RECENT_RESPONSE;
        recent && Some(at) >= self.since && Some(at) >= silent
    }
}

impl Targets {
    /// Records that a target's process sent something.
    pub fn record_response(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.all.get_mut(id) {
            target.record_response(now);
        }
    }

    /// The targets of a path that do not show that they work.
    pub fn unresponsive(
        &self,
        path: &[TargetId],
        wait: ResponseWait,
        now: Instant,
    ) -> Vec<TargetId> {
        let responds = |id: &&TargetId| {
            let target = self.all.get(*id);
            target.is_some_and(|target| {
                target.responded_at.is_some_and(|at| wait.accepts(at, now)) && !target.resumes(now)
            })
        };
        path.iter().filter(|id| !responds(id)).cloned().collect()
    }

    /// Time since the target of a path that was heard longest ago sent something; `None` if one of
    /// them never has.
    pub fn response_age(&self, path: &[TargetId], now: Instant) -> Option<Duration> {
        let age = |id: &TargetId| {
            let responded_at = self.all.get(id)?.responded_at?;
            Some(now.saturating_duration_since(responded_at))
        };
        path.iter().map(age).try_fold(Duration::ZERO, |oldest, age| Some(oldest.max(age?)))
    }

    /// Whether the target of a copy has read it, or has ended.
    pub fn has_read(&self, copy: &PendingCopy) -> bool {
        let target = self.all.get(&copy.target).filter(|target| target.hash == copy.incarnation);
        let read = |at: Instant| at >= copy.sent + READ_TIME;
        target.is_none_or(|target| target.responded_at.is_some_and(read))
    }

    /// Records that a target is asked for a report for a request that waits; returns false if it was
    /// asked lately and may still reply, or has just gone on.
    pub fn record_ask(&mut self, id: &str, wait: ResponseWait, now: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let early = |at: Instant| now.saturating_duration_since(at) < ASK_INTERVAL;
        // A reply that has come already does not count for a request that waits since a later time.
        let shared = wait.since.is_none() || target.unanswered_since.is_some();
        if (shared && target.asked_at.is_some_and(early)) || target.resumes(now) {
            return false;
        }
        target.asked_at = Some(now);
        target.unanswered_since.get_or_insert(now);
        true
    }

    /// The targets that were asked and have sent nothing since, so that they are taken to be
    /// stopped.
    pub fn stopped(&self, now: Instant) -> Vec<TargetId> {
        let late = |at: Instant| now.saturating_duration_since(at) >= ANSWER_TIME;
        let stopped = self.all.iter().filter(|(_, t)| t.unanswered_since.is_some_and(late));
        stopped.map(|(id, _)| id.clone()).collect()
    }
}

impl Target {
    /// Whether the target was taken to be stopped, and has just gone on.
    fn resumes(&self, now: Instant) -> bool {
        self.resumed_at.is_some_and(|at| now.saturating_duration_since(at) < RESUME_SPREAD)
    }

    /// Records that the target's process sent something.
    pub(super) fn record_response(&mut self, now: Instant) {
        let asked = self.unanswered_since.take_if(|asked| *asked <= now);
        if asked.is_some_and(|asked| now.saturating_duration_since(asked) >= ANSWER_TIME) {
            self.resumed_at = Some(now);
        }
        self.responded_at = Some(now);
    }
}
