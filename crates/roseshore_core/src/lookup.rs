//! A lookup of one name over the sources of a service, in declared order.
//!
//! The outcome is determined by going through the sources in order. Sources that replied "missing"
//! are skipped, and the first other one decides: if it has the name, its record is the answer; if
//! it was given up on, the lookup is refused, because the source may have the name and a later
//! source's record would then be wrong; if its reply is pending, the lookup waits. The outcome is
//! "not found" only if every source replied "missing". So no order of replies can produce an answer
//! that contradicts the declared order, or a "not found" that a source did not confirm.
//!
//! Sources are asked in stages: the next one when all before it replied "missing", or when they are
//! slow. A slow source is asked a second time at another replica (a hedge), and a source that
//! failed is asked again (a retry), each within a [`RetryBudget`](crate::retry::RetryBudget).

mod latency;
mod types;

pub use latency::LatencyEstimate;
pub use types::{Action, Budgets, Outcome, Policy, Reason, SourceIndex, SourceReply};

use crate::prelude::*;
use crate::retry::backoff;

#[derive(Clone, Debug)]
enum State<T> {
    Unasked,
    Pending,
    RetryAt(Instant),
    Found(T),
    Missing,
    Failed,
}

#[derive(Clone, Debug)]
struct Source<T> {
    state: State<T>,
    asked: u32,
}

#[derive(Clone, Debug)]
struct Attempt {
    source: SourceIndex,
    started: Instant,
    limit: Instant,
    reason: Reason,
    open: bool,
    hedged: bool,
}

/// The state machine of one lookup.
#[derive(Clone, Debug)]
pub struct Lookup<T> {
    sources: Vec<Source<T>>,
    attempts: Vec<Attempt>,
    policy: Policy,
    deadline: Instant,
    verdict: Verdict,
    done: bool,
}

impl<T: Clone + PartialEq> Lookup<T> {
    /// A lookup over this number of sources that must end by the deadline. [`Lookup::tick`] starts
    /// it.
    pub fn new(sources: usize, policy: Policy, deadline: Instant) -> Lookup<T> {
        let fresh = Source { state: State::Unasked, asked: 0 };
        Lookup {
            sources: vec![fresh; sources],
            attempts: Vec::with_capacity(sources),
            policy,
            deadline,
            verdict: Verdict::NotRun,
            done: false,
        }
    }

    /// Handles the result of an attempt, and then the passage of time.
    pub fn on_reply(
        &mut self,
        attempt: usize,
        reply: SourceReply<T>,
        now: Instant,
        budgets: &mut Budgets,
    ) -> Vec<Action<T>> {
        let mut actions = self.record_reply(attempt, reply, now, budgets);
        actions.extend(self.tick(now, budgets));
        actions
    }

    /// Handles the result of an attempt; [`Lookup::tick`] must follow.
    ///
    /// A driver that passes on all results it has before it calls `tick` gets the most precise
    /// verdict.
    pub fn record_reply(
        &mut self,
        attempt: usize,
        reply: SourceReply<T>,
        now: Instant,
        budgets: &mut Budgets,
    ) -> Vec<Action<T>> {
        let Some(known) = self.attempts.get_mut(attempt) else { return Vec::new() };
        let source = known.source;
        known.open = false;
        let mut actions = Vec::new();
        match reply {
            SourceReply::Found(record) => {
                self.on_definite_reply(budgets);
                actions.extend(self.conflicts(source, Some(&record)));
                if !matches!(self.sources[source].state, State::Found(_)) {
                    self.sources[source].state = State::Found(record);
                }
            }
            SourceReply::Missing => {
                self.on_definite_reply(budgets);
                actions.extend(self.conflicts(source, None));
                if !matches!(self.sources[source].state, State::Found(_)) {
                    self.sources[source].state = State::Missing;
                }
            }
            SourceReply::Failed(verdict) => {
                self.verdict = self.verdict.join(verdict);
                self.on_failure(source, now, budgets);
            }
            SourceReply::NoReplica => self.on_no_replica(attempt, now, budgets),
        }
        actions
    }

    /// Handles the passage of time and returns what to do now.
    pub fn tick(&mut self, now: Instant, budgets: &mut Budgets) -> Vec<Action<T>> {
        let mut actions = Vec::new();
        if self.done {
            return actions;
        }
        self.expire(now, budgets);
        if let Some(outcome) = self.outcome() {
            self.done = true;
            actions.push(Action::Done(outcome));
            return actions;
        }
        self.ask_next_sources(now, budgets, &mut actions);
        self.retry_due(now, &mut actions);
        self.hedge_slow(now, budgets, &mut actions);
        actions
    }

    /// When [`Lookup::tick`] is due at the latest.
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.deadline;
        for known in self.attempts.iter().filter(|a| a.open) {
            wake = wake.min(known.limit);
            if !known.hedged {
                wake = wake.min(known.started + self.policy.hedge_after);
            }
        }
        for source in &self.sources {
            if let State::RetryAt(due) = source.state {
                wake = wake.min(due);
            }
        }
        wake
    }

    /// Whether the outcome has been returned.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Whether all sources are asked at once, to compare their replies.
    pub fn compares(&self) -> bool {
        self.policy.compare
    }

    /// Whether an attempt is still without a result.
    pub fn has_open_attempts(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }

    fn on_definite_reply(&mut self, budgets: &mut Budgets) {
        self.verdict = self.verdict.join(Verdict::MayHaveRun);
        budgets.retries.record_success();
        budgets.hedges.record_success();
    }

    fn outcome(&self) -> Option<Outcome<T>> {
        for (index, source) in self.sources.iter().enumerate() {
            match &source.state {
                State::Missing => {}
                State::Found(record) => return Some(Outcome::Found(index, record.clone())),
                State::Failed => return Some(Outcome::Unavailable(index, self.verdict())),
                State::Unasked | State::Pending | State::RetryAt(_) => return None,
            }
        }
        Some(Outcome::NotFound)
    }

    /// An open attempt may still run.
    fn verdict(&self) -> Verdict {
        if self.has_open_attempts() { self.verdict.join(Verdict::MayHaveRun) } else { self.verdict }
    }

    fn on_failure(&mut self, source: SourceIndex, now: Instant, budgets: &mut Budgets) {
        let others = self.attempts.iter().any(|a| a.open && a.source == source);
        let known = &mut self.sources[source];
        if others || !matches!(known.state, State::Pending) {
            return;
        }
        let due = now + backoff(known.asked.saturating_sub(1), self.policy.unit_random);
        let retry = known.asked < self.policy.attempts
            && due < self.deadline
            && !self.done
            && budgets.retries.try_spend(now);
        known.state = if retry { State::RetryAt(due) } else { State::Failed };
    }

    /// With no replica at all, a retry is useless. A hedge only found no second replica, so a retry
    /// may still help.
    fn on_no_replica(&mut self, attempt: usize, now: Instant, budgets: &mut Budgets) {
        let Attempt { source, reason, .. } = self.attempts[attempt];
        let known = &mut self.sources[source];
        if reason == Reason::Hedge {
            known.asked -= 1;
            self.on_failure(source, now, budgets);
        } else if matches!(known.state, State::Pending) {
            known.state = State::Failed;
        }
    }

    fn expire(&mut self, now: Instant, budgets: &mut Budgets) {
        for index in 0..self.attempts.len() {
            let known = &mut self.attempts[index];
            if known.open && known.limit <= now {
                known.open = false;
                let source = known.source;
                self.verdict = self.verdict.join(Verdict::MayHaveRun);
                self.on_failure(source, now, budgets);
            }
        }
        if self.deadline <= now {
            for source in &mut self.sources {
                if !matches!(source.state, State::Found(_) | State::Missing) {
                    source.state = State::Failed;
                }
            }
        }
    }

    fn ask_next_sources(
        &mut self,
        now: Instant,
        budgets: &mut Budgets,
        actions: &mut Vec<Action<T>>,
    ) {
        let mut all_missing = true;
        for index in 0..self.sources.len() {
            if matches!(self.sources[index].state, State::Unasked) {
                let at_once = all_missing || self.policy.compare;
                let due =
                    at_once || (self.is_slow(index - 1, now) && budgets.hedges.try_spend(now));
                if !due {
                    return;
                }
                self.start_attempt(index, Reason::First, now, actions);
            }
            all_missing &= matches!(self.sources[index].state, State::Missing);
        }
    }

    fn is_slow(&self, source: SourceIndex, now: Instant) -> bool {
        let first = self.attempts.iter().find(|a| a.source == source);
        first.is_some_and(|a| a.started + self.policy.hedge_after <= now)
    }

    fn retry_due(&mut self, now: Instant, actions: &mut Vec<Action<T>>) {
        for index in 0..self.sources.len() {
            if matches!(self.sources[index].state, State::RetryAt(due) if due <= now) {
                self.start_attempt(index, Reason::Retry, now, actions);
            }
        }
    }

    fn hedge_slow(&mut self, now: Instant, budgets: &mut Budgets, actions: &mut Vec<Action<T>>) {
        for index in 0..self.attempts.len() {
            let known = &mut self.attempts[index];
            let due = known.open && !known.hedged && known.started + self.policy.hedge_after <= now;
            if !due {
                continue;
            }
            known.hedged = true;
            let source = known.source;
            let pending = matches!(self.sources[source].state, State::Pending);
            let may_ask = self.sources[source].asked < self.policy.attempts;
            if pending && may_ask && budgets.hedges.try_spend(now) {
                self.start_attempt(source, Reason::Hedge, now, actions);
            }
        }
    }

    fn start_attempt(
        &mut self,
        source: SourceIndex,
        reason: Reason,
        now: Instant,
        actions: &mut Vec<Action<T>>,
    ) {
        let limit = self.deadline.min(now + self.policy.attempt_limit);
        let attempt = self.attempts.len();
        let hedged = reason == Reason::Hedge;
        self.attempts.push(Attempt { source, started: now, limit, reason, open: true, hedged });
        self.sources[source].state = State::Pending;
        self.sources[source].asked += 1;
        actions.push(Action::Ask { source, attempt, reason, limit });
    }

    /// The contradictions between a new reply of `source` and the earlier replies.
    fn conflicts(&self, source: SourceIndex, record: Option<&T>) -> Vec<Action<T>> {
        let mut found = Vec::new();
        for (index, other) in self.sources.iter().enumerate() {
            let differs = match (&other.state, record) {
                (State::Found(known), Some(new)) => known != new,
                (State::Found(_), None) | (State::Missing, Some(_)) => index == source,
                _ => false,
            };
            if differs {
                let (earlier, later) = (index.min(source), index.max(source));
                found.push(Action::Conflict { earlier, later });
            }
        }
        found
    }
}
