//! Which targets have sent something lately, and which were asked to and have not.
//!
//! A stopped process neither answers nor ends: its system goes on accepting connections, so a passed
//! liveness check does not show that it works. Only what the process itself sends does. Targets that
//! have sent nothing lately are asked for a report before a silent request is sent to them, since a
//! request that reaches a stopped one arrives when it goes on, long after it was sent.

use super::Targets;
use super::target::Target;
use crate::gateway::quota::pending_retries::PendingCopy;
use crate::prelude::*;

/// Age up to which what a target sent shows that it works.
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
/// Time after which a target is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

impl Targets {
    /// Records that a target's process sent something.
    pub fn record_response(&mut self, id: &str, now: Instant) {
        if let Some(target) = self.all.get_mut(id) {
            target.record_response(now);
        }
    }

    /// The targets of a path that have sent nothing lately, or nothing since a request's own target
    /// was last heard.
    pub fn unresponsive(
        &self,
        path: &[TargetId],
        silent_since: Option<Instant>,
        now: Instant,
    ) -> Vec<TargetId> {
        // A request may also be moved while its own target goes on, such as from an old incarnation.
        let counts_from = silent_since.map(|since| since + STOP_SPREAD).filter(|from| *from <= now);
        let recent = |at: Instant| {
            now.saturating_duration_since(at) <= RECENT_RESPONSE && Some(at) >= counts_from
        };
        let resumes = |at: Instant| now.saturating_duration_since(at) < RESUME_SPREAD;
        let responds = |id: &&TargetId| {
            let target = self.all.get(*id);
            target.is_some_and(|target| {
                target.responded_at.is_some_and(recent) && !target.resumed_at.is_some_and(resumes)
            })
        };
        path.iter().filter(|id| !responds(id)).cloned().collect()
    }

    /// Whether the target of a copy has read it, or has ended.
    pub fn has_read(&self, copy: &PendingCopy) -> bool {
        let target = self.all.get(&copy.target).filter(|target| target.hash == copy.incarnation);
        let read = |at: Instant| at >= copy.sent + READ_TIME;
        target.is_none_or(|target| target.responded_at.is_some_and(read))
    }

    /// Records that a target is asked for a report; returns false if it was asked lately.
    pub fn record_ask(&mut self, id: &str, now: Instant) -> bool {
        let Some(target) = self.all.get_mut(id) else { return false };
        let due = |at: Instant| now.saturating_duration_since(at) >= ASK_INTERVAL;
        let ask = target.asked_at.is_none_or(due);
        if ask {
            target.asked_at = Some(now);
            target.unanswered_since.get_or_insert(now);
        }
        ask
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
    /// Records that the target's process sent something.
    pub(super) fn record_response(&mut self, now: Instant) {
        let asked = self.unanswered_since.take_if(|asked| *asked <= now);
        if asked.is_some_and(|asked| now.saturating_duration_since(asked) >= ANSWER_TIME) {
            self.resumed_at = Some(now);
        }
        self.responded_at = Some(now);
    }
}
