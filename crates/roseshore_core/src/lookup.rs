//! One lookup over the sources of a service, in declared order.
//!
//! The outcome is read off the sources in their order: sources that said "missing" are passed
//! over, and the first other one decides. If it holds the name, its record is the answer; if it
//! was given up on, the lookup is refused, since it may hold the name and a later source's record
//! would then be wrong; if it is still being asked, the lookup waits. "Not found" is left when
//! every source said "missing". So no order of replies can produce an answer that contradicts the
//! declared order, or a "not found" that a source did not say.
//!
//! Sources are asked in stages: the next one when all before it said "missing", or when they are
//! slow. A source that is slow is asked a second time at another replica (a hedge), and a source
//! that failed is asked again (a retry), each within a [`crate::retry::RetryBudget`].

mod latency;
mod types;

pub use latency::LatencyEstimate;
pub use types::{Action, Budgets, Outcome, Policy, Reason, SourceIndex, SourceReply};

use crate::prelude::*;
use crate::retry::backoff;

#[derive(Clone, Debug)]
enum State<T> {
    Unasked,
    Asking,
    Waiting(Instant),
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

/// The state of one lookup.
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
    /// A lookup over so many sources that must end by the deadline; [`Lookup::tick`] starts it.
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

    /// Takes what an attempt brought, and lets time pass.
    pub fn on_reply(
        &mut self,
        attempt: usize,
        said: SourceReply<T>,
        now: Instant,
        budgets: &mut Budgets,
    ) -> Vec<Action<T>> {
        let mut actions = self.record_reply(attempt, said, now, budgets);
        actions.extend(self.tick(now, budgets));
        actions
    }

    /// Takes what an attempt brought; [`Lookup::tick`] is to follow.
    ///
    /// A driver that takes all it has before it lets time pass gets the most certain verdict.
    pub fn record_reply(
        &mut self,
        attempt: usize,
        said: SourceReply<T>,
        now: Instant,
        budgets: &mut Budgets,
    ) -> Vec<Action<T>> {
        let Some(known) = self.attempts.get_mut(attempt) else { return Vec::new() };
        let source = known.source;
        known.open = false;
        let mut actions = Vec::new();
        match said {
            SourceReply::Found(record) => {
                self.earn(budgets);
                actions.extend(self.conflicts(source, Some(&record)));
                if !matches!(self.sources[source].state, State::Found(_)) {
                    self.sources[source].state = State::Found(record);
                }
            }
            SourceReply::Missing => {
                self.earn(budgets);
                actions.extend(self.conflicts(source, None));
                if !matches!(self.sources[source].state, State::Found(_)) {
                    self.sources[source].state = State::Missing;
                }
            }
            SourceReply::Failed(verdict) => {
                self.verdict = self.verdict.join(verdict);
                self.failed(source, now, budgets);
            }
            SourceReply::NoReplica => self.unasked(attempt, now, budgets),
        }
        actions
    }

    /// Lets time pass, starting what is due.
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
        self.begin(now, budgets, &mut actions);
        self.again(now, &mut actions);
        self.hedge(now, budgets, &mut actions);
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
            if let State::Waiting(due) = source.state {
                wake = wake.min(due);
            }
        }
        wake
    }

    /// Whether the caller has been told.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Whether all sources were asked at once, to compare them.
    pub fn compares(&self) -> bool {
        self.policy.compare
    }

    /// Whether an attempt has brought nothing yet.
    pub fn has_open_attempts(&self) -> bool {
        self.attempts.iter().any(|a| a.open)
    }

    fn earn(&mut self, budgets: &mut Budgets) {
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
                State::Unasked | State::Asking | State::Waiting(_) => return None,
            }
        }
        Some(Outcome::NotFound)
    }

    /// An open attempt may run yet.
    fn verdict(&self) -> Verdict {
        if self.has_open_attempts() { self.verdict.join(Verdict::MayHaveRun) } else { self.verdict }
    }

    fn failed(&mut self, source: SourceIndex, now: Instant, budgets: &mut Budgets) {
        let others = self.attempts.iter().any(|a| a.open && a.source == source);
        let known = &mut self.sources[source];
        if others || !matches!(known.state, State::Asking) {
            return;
        }
        let due = now + backoff(known.asked.saturating_sub(1), self.policy.unit_random);
        let again = known.asked < self.policy.attempts
            && due < self.deadline
            && !self.done
            && budgets.retries.try_spend(now);
        known.state = if again { State::Waiting(due) } else { State::Failed };
    }

    /// Without any replica a retry is of no use; without a second one for a hedge, it may be.
    fn unasked(&mut self, attempt: usize, now: Instant, budgets: &mut Budgets) {
        let Attempt { source, reason, .. } = self.attempts[attempt];
        let known = &mut self.sources[source];
        if reason == Reason::Hedge {
            known.asked -= 1;
            self.failed(source, now, budgets);
        } else if matches!(known.state, State::Asking) {
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
                self.failed(source, now, budgets);
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

    fn begin(&mut self, now: Instant, budgets: &mut Budgets, actions: &mut Vec<Action<T>>) {
        let mut passed = true;
        for index in 0..self.sources.len() {
            if matches!(self.sources[index].state, State::Unasked) {
                let free = passed || self.policy.compare;
                let due = free || (self.slow(index - 1, now) && budgets.hedges.try_spend(now));
                if !due {
                    return;
                }
                self.ask(index, Reason::First, now, actions);
            }
            passed &= matches!(self.sources[index].state, State::Missing);
        }
    }

    fn slow(&self, source: SourceIndex, now: Instant) -> bool {
        let first = self.attempts.iter().find(|a| a.source == source);
        first.is_some_and(|a| a.started + self.policy.hedge_after <= now)
    }

    fn again(&mut self, now: Instant, actions: &mut Vec<Action<T>>) {
        for index in 0..self.sources.len() {
            if matches!(self.sources[index].state, State::Waiting(due) if due <= now) {
                self.ask(index, Reason::Retry, now, actions);
            }
        }
    }

    fn hedge(&mut self, now: Instant, budgets: &mut Budgets, actions: &mut Vec<Action<T>>) {
        for index in 0..self.attempts.len() {
            let known = &mut self.attempts[index];
            let due = known.open && !known.hedged && known.started + self.policy.hedge_after <= now;
            if !due {
                continue;
            }
            known.hedged = true;
            let source = known.source;
            let asking = matches!(self.sources[source].state, State::Asking);
            let left = self.sources[source].asked < self.policy.attempts;
            if asking && left && budgets.hedges.try_spend(now) {
                self.ask(source, Reason::Hedge, now, actions);
            }
        }
    }

    fn ask(
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
        self.sources[source].state = State::Asking;
        self.sources[source].asked += 1;
        actions.push(Action::Ask { source, attempt, reason, limit });
    }

    /// Contradictions between a new reply of `source` and what is known.
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
