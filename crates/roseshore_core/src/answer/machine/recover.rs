//! Abandoning a route, and giving the answer up.

use super::{Answer, Blame, Phase};
use crate::answer::message::{Action, Cause, Finish};
use crate::cost::CachedStage;
use crate::prelude::*;

impl Answer {
    pub(super) fn abandon_route(
        &mut self,
        now: Instant,
        cause: Cause,
        blame: Blame,
        out: &mut Vec<Action>,
    ) {
        let blamed = self.blame(cause, &blame, out);
        if cause == Cause::Silent {
            self.timeout.back_off();
        }
        // Only a cut leaves the cache of every stage intact, and a second cut in a row means that
        // the warm route delivered nothing, so its caches cannot be trusted.
        let usable = cause == Cause::Cut && self.phase == Phase::Decode && self.cuts == 1;
        self.retire(usable, out);
        self.last_progress = now;
        self.counters.rerouted += 1;
        if self.window.next() > 0 && self.window.next() == self.job.limit {
            let finish = Finish { reason: "length".to_owned(), cached: 0 };
            return self.complete(finish, out);
        }
        if self.attempts >= self.settings.max_attempts
            || self.counters.routes >= self.settings.max_routes
        {
            let why = format!("given up after {} routes: {cause}", self.counters.routes);
            return self.refuse(Refusal::not_run(cause.code(), why), out);
        }
        let charge_budget = cause == Cause::Silent && blamed == 0;
        self.request_route(charge_budget, out);
    }

    /// Attributes a failure to stages; returns how many are known to have failed.
    pub(super) fn blame(&mut self, cause: Cause, blame: &Blame, out: &mut Vec<Action>) -> usize {
        let blamed = self.blamed(blame);
        let names = if blamed.is_empty() { "unknown".to_owned() } else { blamed.join(",") };
        let text = format!("target={names} epoch={} cause={cause}", self.epoch);
        out.push(Action::Log(Event::StageLost, text));
        let counts = !matches!(cause, Cause::Busy | Cause::Mismatch | Cause::Refused);
        if blamed.is_empty() && !matches!(blame, Blame::None) {
            self.stages.iter().for_each(|s| self.avoid.add_suspect(&s.target));
        }
        let count = blamed.len();
        for target in blamed {
            self.avoid.add_failed(&target);
            if counts {
                out.push(Action::Failed(target));
            }
        }
        count
    }

    pub(super) fn blamed(&self, blame: &Blame) -> Vec<TargetId> {
        let name = |at: usize| self.stages[at].target.clone();
        match blame {
            Blame::None | Blame::Any => Vec::new(),
            Blame::At(at) => vec![name(*at)],
            Blame::Silent => (0..self.stages.len())
                .filter(|at| self.silent[*at] == Some(true))
                .map(name)
                .collect(),
        }
    }

    /// Leaves the current route and advances to the next epoch.
    pub(super) fn retire(&mut self, usable: bool, out: &mut Vec<Action>) {
        out.push(Action::Close(self.epoch));
        self.release(false, out);
        for stage in std::mem::take(&mut self.stages) {
            if usable {
                self.cached.push(CachedStage { usable: true, stage });
            } else {
                out.push(Action::Cancel { stage, epoch: self.epoch, keep_cache: false });
            }
        }
        self.epoch += 1;
        self.phase = Phase::Routing;
        self.window.clear();
        self.ending = None;
        self.probe_at = None;
        self.handover = None;
    }

    /// Ends the answer with a refusal; the verdict depends on whether any attempt may have run.
    pub(super) fn refuse(&mut self, mut refusal: Refusal, out: &mut Vec<Action>) {
        let began = self.began || matches!(self.phase, Phase::Opening);
        out.push(Action::Close(self.epoch));
        self.release(false, out);
        for stage in std::mem::take(&mut self.stages) {
            out.push(Action::Cancel { stage, epoch: self.epoch, keep_cache: false });
        }
        if began {
            refusal.verdict = refusal.verdict.join(Verdict::MayHaveRun);
            if refusal.code != Code::DeadlinePassed {
                refusal.code = Code::TargetLost;
            }
        } else if refusal.retry_after.is_none() {
            refusal.retry_after = self.retry_after.or(Some(self.settings.retry_after));
        }
        self.phase = Phase::Finished;
        out.push(Action::Refuse(refusal));
    }
}
