//! The machine of one answer.

mod recover;
mod route;
mod stream;

use crate::answer::avoid::AvoidList;
use crate::answer::lineage::Stage;
use crate::answer::message::{Action, Cause, Finish, Input, Job};
use crate::answer::reorder::ReorderBuffer;
use crate::answer::timeout::{SilenceTimeout, TimeoutSettings};
use crate::cost::{CachedStage, MoveCostModel};
use crate::prelude::*;

/// A probe is sent when this part of the silence bound has passed.
const PROBE_PART: f64 = 0.5;
/// A probe may take this part of what is then left of the bound, so that its result comes in time.
const PROBE_LIMIT: f64 = 0.5;
/// A move of KV caches may take this multiple of its prediction.
const MOVE_FACTOR: u32 = 3;
/// Least time that a move may take.
const MOVE_FLOOR: Duration = Duration::from_millis(100);
/// Time after which a handover that found no chain is tried again.
const HANDOVER_PAUSE: Duration = Duration::from_secs(1);
/// Interval between requests for a route while no chain is available.
const CHAIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds of one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerSettings {
    /// Bounds of silence.
    pub timeouts: TimeoutSettings,
    /// Early tokens held at most.
    pub window: usize,
    /// Routes tried without a new token before giving up.
    pub max_attempts: u32,
    /// Routes tried in all.
    pub max_routes: u32,
    /// What moving KV caches takes.
    pub move_cost: MoveCostModel,
    /// When to come back after a refusal without a time of its own.
    pub retry_after: Duration,
    /// How long an answer that may have run waits for a chain at most; a failed target is out of use only for a time.
    pub chain_wait: Duration,
}

impl Default for AnswerSettings {
    fn default() -> AnswerSettings {
        AnswerSettings {
            timeouts: TimeoutSettings::default(),
            window: 64,
            max_attempts: 4,
            max_routes: 16,
            move_cost: MoveCostModel::default(),
            retry_after: Duration::from_secs(1),
            chain_wait: Duration::from_secs(3),
        }
    }
}

/// What was dropped, and what was tried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounters {
    /// Events of an older epoch, or after the end.
    pub stale: u64,
    /// Lines of another answer.
    pub misrouted: u64,
    /// Tokens that were delivered or held already.
    pub duplicates: u64,
    /// Routes opened.
    pub routes: u32,
    /// Routes given up.
    pub rerouted: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Routing,
    Moving,
    Opening,
    Prefill,
    Decode,
    Finished,
}

/// Which stage a failure is put down to.
enum Blame {
    /// Nothing is avoided yet.
    None,
    /// Some stage of the route.
    Any,
    /// The stage at this index.
    At(usize),
    /// Those that did not answer a probe; any when all did.
    Silent,
}

/// One answer.
pub struct Answer {
    job: Job,
    settings: AnswerSettings,
    phase: Phase,
    epoch: Epoch,
    stages: Vec<Stage>,
    /// For each stage, whether the last probe found it silent; `None` without a result.
    silent: Vec<Option<bool>>,
    cached: Vec<CachedStage>,
    tokens: Vec<String>,
    window: ReorderBuffer,
    ending: Option<(u32, Finish)>,
    timeout: SilenceTimeout,
    avoid: AvoidList,
    counters: AnswerCounters,
    began: bool,
    warm: bool,
    attempts: u32,
    cuts: u32,
    last_progress: Instant,
    timeout_at: Instant,
    probe_at: Option<Instant>,
    handover: Option<TargetId>,
    handover_failed: Option<Instant>,
    retry_after: Option<Duration>,
    /// End of the wait for a chain; set when the router finds none, until the next token.
    chain_deadline: Option<Instant>,
}

impl Answer {
    /// Begins an answer.
    pub fn start(
        job: Job,
        settings: AnswerSettings,
        now: Instant,
        out: &mut Vec<Action>,
    ) -> Answer {
        out.push(Action::Route { avoid: Vec::new(), retry: false, charge_budget: false });
        let window = ReorderBuffer::new(settings.window);
        let timeout = SilenceTimeout::new(settings.timeouts.clone());
        let timeout_at = job.deadline;
        Answer {
            job,
            settings,
            phase: Phase::Routing,
            epoch: 1,
            stages: Vec::new(),
            silent: Vec::new(),
            cached: Vec::new(),
            tokens: Vec::new(),
            window,
            ending: None,
            timeout,
            avoid: AvoidList::default(),
            counters: AnswerCounters::default(),
            began: false,
            warm: false,
            attempts: 0,
            cuts: 0,
            last_progress: now,
            timeout_at,
            probe_at: None,
            handover: None,
            handover_failed: None,
            retry_after: None,
            chain_deadline: None,
        }
    }

    /// The stages of the current route.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// The tokens delivered so far.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// What was dropped and tried.
    pub fn counters(&self) -> AnswerCounters {
        self.counters
    }

    /// Whether the last action was [`Action::Finish`] or [`Action::Refuse`].
    pub fn finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// When [`Input::Tick`] is due, if nothing happens before.
    pub fn next_tick(&self) -> Instant {
        let wake = self.job.deadline.min(self.timeout_at);
        self.probe_at.map_or(wake, |p| p.min(wake))
    }

    /// The driver was held up by the caller; what came meanwhile counts from now.
    pub fn restart_timeout(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Prefill | Phase::Decode) {
            self.last_progress = now;
            self.arm(now);
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Action>) {
        if self.finished() {
            self.counters.stale += 1;
            return;
        }
        if now >= self.job.deadline {
            self.refuse(Refusal::not_run(Code::DeadlinePassed, "the deadline passed"), out);
            return;
        }
        match input {
            Input::Chosen(route) => self.chosen(now, route, out),
            Input::NoChain(refusal) => self.no_chain(now, refusal, out),
            Input::RetryDenied(refusal) => self.refuse(refusal, out),
            Input::CallerLeft => {
                let why = "the caller left before the answer was whole";
                self.refuse(Refusal::not_run(Code::TargetLost, why), out);
            }
            Input::Leaving(target) => self.leaving(now, target, out),
            Input::Tick => self.tick(now, out),
            Input::Line(answer, epoch, line) => {
                if answer != self.job.answer {
                    self.counters.misrouted += 1;
                } else if self.current(epoch) {
                    self.line(now, line, out);
                }
            }
            Input::Opened(epoch) if self.current(epoch) => self.opened(now),
            Input::OpenFailed(epoch, failure) if self.current(epoch) => {
                self.unopened(now, failure, out);
            }
            Input::Ended(epoch, failure) if self.current(epoch) => self.ended(now, failure, out),
            Input::Probed(epoch, target, health) if self.current(epoch) => {
                self.probed(now, &target, health, out);
            }
            Input::Moved(epoch, done) if self.current(epoch) => self.moved(now, done, out),
            _ => {}
        }
    }

    fn current(&mut self, epoch: Epoch) -> bool {
        let current = epoch == self.epoch;
        self.counters.stale += u64::from(!current);
        current
    }

    fn streaming(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Decode)
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.streaming() && now < self.timeout_at && self.probe_at.is_some_and(|at| now >= at) {
            self.probe_at = None;
            self.silent.fill(None);
            let limit = self.timeout_at.saturating_duration_since(now).mul_f64(PROBE_LIMIT);
            out.push(Action::Probe { epoch: self.epoch, limit });
        }
        if now < self.timeout_at {
            return;
        }
        match self.phase {
            Phase::Moving => self.open(now, false, out),
            Phase::Opening => {
                self.began = true;
                self.give_up(now, Cause::Silent, Blame::At(0), out);
            }
            Phase::Prefill | Phase::Decode => {
                self.give_up(now, Cause::Silent, Blame::Silent, out);
            }
            Phase::Routing => {
                // The router itself excludes the targets that are still out of use.
                self.avoid.clear();
                self.ask_route(false, out);
            }
            Phase::Finished => {}
        }
    }
}
