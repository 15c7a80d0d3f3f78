//! Adopting a route, handing over from one that still works, and requesting the next.

use super::{
    Answer, CHAIN_RETRY_INTERVAL, HANDOVER_RETRY_INTERVAL, MIN_MOVE_TIMEOUT, MOVE_TIMEOUT_FACTOR,
    Phase,
};
use crate::answer::lineage;
use crate::answer::message::{Action, Route};
use crate::cost::{self, Plan};
use crate::prelude::*;

impl Answer {
    pub(super) fn chosen(&mut self, now: Instant, route: Route, out: &mut Vec<Action>) {
        if lineage::check_tiling(route.stages.iter().map(|s| s.layers), self.job.layers).is_err() {
            let why = "the chosen chain does not cover every layer once";
            return self.no_chain(now, Refusal::not_run(Code::NoRoute, why), out);
        }
        match self.handover.take() {
            Some(target) if route.stages.iter().any(|s| s.target == target) => return,
            Some(_) if self.streaming() => self.hand_over(out),
            Some(_) => return,
            None if self.phase != Phase::Routing => return,
            None => {}
        }
        self.adopt(now, route, out);
    }

    /// Leaves a route that still works; all of its KV caches are available.
    pub(super) fn hand_over(&mut self, out: &mut Vec<Action>) {
        let usable = self.phase == Phase::Decode;
        self.counters.rerouted += 1;
        self.retire(usable, out);
    }

    pub(super) fn adopt(&mut self, now: Instant, route: Route, out: &mut Vec<Action>) {
        let tokens = self.job.prompt + self.window.next();
        let plan = cost::plan(
            &self.cached,
            &route.stages,
            tokens,
            route.first_token,
            &self.settings.move_cost,
        );
        let targets = route.stages.iter().map(|s| s.target.as_str()).collect::<Vec<_>>();
        out.push(Action::Log(Event::RouteChosen, targets.join(" > ")));
        self.timeout.set_prediction(route.first_token, route.token_interval);
        // An answer waits for a chain only once between two tokens.
        self.chain_deadline = self.chain_deadline.map(|_| now);
        self.stages = route.stages;
        self.silent = vec![None; self.stages.len()];
        match plan {
            Plan::Cold => self.open(now, false, out),
            Plan::Warm(moves, _) if moves.is_empty() => self.open(now, true, out),
            Plan::Warm(moves, time) => {
                let limit = (time * MOVE_TIMEOUT_FACTOR).max(MIN_MOVE_TIMEOUT);
                self.phase = Phase::Moving;
                self.timeout_at = now + limit * 2;
                out.push(Action::Move { epoch: self.epoch, moves, limit });
            }
        }
    }

    pub(super) fn open(&mut self, now: Instant, warm: bool, out: &mut Vec<Action>) {
        self.release(warm, out);
        self.phase = Phase::Opening;
        self.warm = warm;
        self.attempts += 1;
        self.counters.routes += 1;
        let open = self.timeout.open();
        // A stage that keeps a cache was heard from recently, so if it has died since, a short
        // timeout is enough to notice.
        let bound = if warm { open.min(self.timeout.decode()) } else { open };
        self.timeout_at = now + bound;
        out.push(Action::Open { epoch: self.epoch, warm });
    }

    /// Cancels the work of the previous route; with `warm`, stages of the new route keep their KV
    /// cache.
    pub(super) fn release(&mut self, warm: bool, out: &mut Vec<Action>) {
        let epoch = self.epoch - 1;
        for held in std::mem::take(&mut self.cached) {
            let stays = self.stages.iter().any(|s| s.target == held.stage.target);
            out.push(Action::Cancel { stage: held.stage, epoch, keep_cache: warm && stays });
        }
    }

    pub(super) fn no_chain(&mut self, now: Instant, refusal: Refusal, out: &mut Vec<Action>) {
        if self.handover.take().is_some() {
            self.handover_failed = Some(now);
            return;
        }
        if self.phase != Phase::Routing {
            return;
        }
        if self.avoid.relax() {
            self.request_route(false, out);
            return;
        }
        let deadline = *self.chain_deadline.get_or_insert(now + self.settings.chain_wait);
        // An answer that has not begun is refused at once, since the caller can retry it safely. If a
        // chain is due back before the caller would be, waiting for it is faster.
        let soon = refusal.retry_after.is_some_and(|after| after < self.settings.retry_after);
        if (self.began || soon) && now < deadline {
            self.timeout_at = now + CHAIN_RETRY_INTERVAL;
            return;
        }
        self.refuse(refusal, out);
    }

    /// Restarts with another version of the weights. Returns `false` once a token was delivered or
    /// a route is open, because all tokens of an answer come from one version.
    pub fn change_version(&mut self, version: VersionId) -> bool {
        if self.phase != Phase::Routing || !self.tokens.is_empty() {
            return false;
        }
        self.job.version = version;
        for held in &mut self.cached {
            held.usable = false;
        }
        true
    }

    pub(super) fn request_route(&mut self, charge_budget: bool, out: &mut Vec<Action>) {
        self.phase = Phase::Routing;
        self.timeout_at = self.job.deadline;
        out.push(Action::Route { avoid: self.avoid.list(), retry: true, charge_budget });
    }

    pub(super) fn leaving(&mut self, now: Instant, target: TargetId, out: &mut Vec<Action>) {
        let paused = self.handover_failed.is_some_and(|at| now < at + HANDOVER_RETRY_INTERVAL);
        let on_route = self.stages.iter().any(|s| s.target == target);
        if !on_route || paused || !self.streaming() || self.handover.is_some() {
            return;
        }
        let mut avoid = self.avoid.list();
        avoid.push(target.clone());
        self.handover = Some(target);
        out.push(Action::Route { avoid, retry: false, charge_budget: false });
    }

    pub(super) fn moved(&mut self, now: Instant, done: bool, out: &mut Vec<Action>) {
        if self.phase == Phase::Moving {
            self.open(now, done, out);
        }
    }
}
