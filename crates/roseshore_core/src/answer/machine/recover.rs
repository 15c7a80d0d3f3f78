//! Giving up a route, and giving up the answer.

use super::{Answer, Blame, Phase};
use crate::answer::message::{Action, Cause, Finish};
use crate::cost::Held;
use crate::prelude::*;

impl Answer {
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        cause: Cause,
        blame: Blame,
        out: &mut Vec<Action>,
    ) {
        let guilty = self.blame(cause, &blame, out);
        if cause == Cause::Silent {
            self.pace.slow_down();
        }
        // Only a cut leaves every stage's cache intact; a warm route that brought nothing had none.
        let usable = cause == Cause::Cut && self.phase == Phase::Decode && self.cuts == 1;
        self.retire(usable, out);
        self.last = now;
        self.tally.resumed += 1;
        if self.window.next() > 0 && self.window.next() == self.job.limit {
            let finish = Finish { reason: "length".to_owned(), cached: 0 };
            return self.complete(finish, out);
        }
        if self.attempts >= self.rules.attempts || self.tally.routes >= self.rules.routes {
            let why = format!("given up after {} routes: {cause}", self.tally.routes);
            return self.refuse(Refusal::not_run(cause.code(), why), out);
        }
        let paid = cause == Cause::Silent && guilty == 0;
        self.ask_route(paid, out);
    }

    /// Puts a failure down to stages; the number of those that are known to have failed.
    pub(super) fn blame(&mut self, cause: Cause, blame: &Blame, out: &mut Vec<Action>) -> usize {
        let guilty = self.guilty(blame);
        let names = if guilty.is_empty() { "unknown".to_owned() } else { guilty.join(",") };
        let text = format!("target={names} epoch={} cause={cause}", self.epoch);
        out.push(Action::Note(Event::StageLost, text));
        let counts = !matches!(cause, Cause::Busy | Cause::Mismatch | Cause::Refused);
        if guilty.is_empty() && !matches!(blame, Blame::None) {
            self.stages.iter().for_each(|s| self.avoid.suspect(&s.target));
        }
        let count = guilty.len();
        for target in guilty {
            self.avoid.fail(&target);
            if counts {
                out.push(Action::Failed(target));
            }
        }
        count
    }

    pub(super) fn guilty(&self, blame: &Blame) -> Vec<TargetId> {
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

    /// Leaves the current route for the next epoch.
    pub(super) fn retire(&mut self, usable: bool, out: &mut Vec<Action>) {
        out.push(Action::Close(self.epoch));
        self.release(false, out);
        for stage in std::mem::take(&mut self.stages) {
            if usable {
                self.old.push(Held { usable: true, stage });
            } else {
                out.push(Action::Cancel { stage, epoch: self.epoch, keep: false });
            }
        }
        self.epoch += 1;
        self.phase = Phase::Routing;
        self.window.clear();
        self.ending = None;
        self.probe = None;
        self.handing = None;
    }

    /// Gives the answer up; the verdict follows from what was opened.
    pub(super) fn refuse(&mut self, mut refusal: Refusal, out: &mut Vec<Action>) {
        let began = self.began || matches!(self.phase, Phase::Opening);
        out.push(Action::Close(self.epoch));
        self.release(false, out);
        for stage in std::mem::take(&mut self.stages) {
            out.push(Action::Cancel { stage, epoch: self.epoch, keep: false });
        }
        if began {
            refusal.verdict = refusal.verdict.join(Verdict::MayHaveRun);
            if refusal.code != Code::DeadlinePassed {
                refusal.code = Code::TargetLost;
            }
        } else if refusal.retry_after.is_none() {
            refusal.retry_after = self.after.or(Some(self.rules.after));
        }
        self.phase = Phase::Over;
        out.push(Action::Refuse(refusal));
    }
}
