//! The state machine of one answer.

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

/// Fraction of the silence timeout after which a probe is sent.
const PROBE_AFTER_FRACTION: f64 = 0.5;
/// Time limit of a probe as a fraction of what is left of the timeout, so that its result arrives
/// before the timeout does.
const PROBE_TIMEOUT_FRACTION: f64 = 0.5;
/// Time limit of a KV cache transfer, as a multiple of its predicted time.
const MOVE_TIMEOUT_FACTOR: u32 = 3;
/// Lower bound on the time limit of a KV cache transfer.
const MIN_MOVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval after which a handover that found no chain is tried again.
const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between requests for a route while no chain is available.
const CHAIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Limits and timeouts of one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerSettings {
    /// Timeouts for silent streams.
    pub timeouts: TimeoutSettings,
    /// Maximum distance, in tokens, from the next position to a token that arrives early.
    pub window: usize,
    /// Maximum number of routes tried without receiving a new token.
    pub max_attempts: u32,
    /// Maximum number of routes tried in total.
    pub max_routes: u32,
    /// Model of the time that moving KV caches takes.
    pub move_cost: MoveCostModel,
    /// Default `Retry-After` of a refusal that does not set one.
    pub retry_after: Duration,
    /// Maximum time that an answer that may have run waits for a chain. Waiting helps because a
    /// failed target is out of use only for a limited time.
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

/// Counts of dropped events and of routes tried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounters {
    /// Events of an older epoch, or after the end of the answer.
    pub stale: u64,
    /// Stream lines that belong to another answer.
    pub misrouted: u64,
    /// Tokens whose position was already delivered or buffered.
    pub duplicates: u64,
    /// Routes opened.
    pub routes: u32,
    /// Routes abandoned for another one.
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

/// The stage to which a failure is attributed.
enum Blame {
    /// No stage; no target is avoided yet.
    None,
    /// Some stage of the route, not known which.
    Any,
    /// The stage at this index.
    At(usize),
    /// The stages that did not answer a probe; any stage when all of them answered.
    Silent,
}

/// One answer in progress.
pub struct Answer {
    job: Job,
    settings: AnswerSettings,
    phase: Phase,
    epoch: Epoch,
    stages: Vec<Stage>,
    /// For each stage, whether it failed to answer the last probe in time; `None` without a result.
    silent: Vec<Option<bool>>,
    /// Stages of earlier routes whose work is not cancelled yet, because the next route may use
    /// their caches.
    cached: Vec<CachedStage>,
    tokens: Vec<String>,
    window: ReorderBuffer,
    /// Token count and end reported by the engine, until the last token is delivered.
    ending: Option<(u32, Finish)>,
    timeout: SilenceTimeout,
    avoid: AvoidList,
    counters: AnswerCounters,
    /// Whether some attempt may have started work on a target.
    began: bool,
    /// Whether the current route started from moved or kept KV caches.
    warm: bool,
    /// Routes opened since the last token.
    attempts: u32,
    /// Streams that ended early since the last token.
    cuts: u32,
    last_progress: Instant,
    timeout_at: Instant,
    probe_at: Option<Instant>,
    /// The target being withdrawn for which another route was requested.
    handover: Option<TargetId>,
    /// When a handover last found no chain.
    handover_failed: Option<Instant>,
    /// Wait that an engine asked for when its queue was full.
    retry_after: Option<Duration>,
    /// End of the wait for a chain; set when the router finds none, and cleared by the next token.
    chain_deadline: Option<Instant>,
}

impl Answer {
    /// Starts an answer and asks for its first route.
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

    /// Stages of the current route.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// Tokens delivered so far.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Counts of dropped events and of routes tried.
    pub fn counters(&self) -> AnswerCounters {
        self.counters
    }

    /// Whether the last action was [`Action::Finish`] or [`Action::Refuse`].
    pub fn finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// When [`Input::Tick`] is due if no other event comes first.
    pub fn next_tick(&self) -> Instant {
        let due = self.job.deadline.min(self.timeout_at);
        self.probe_at.map_or(due, |p| p.min(due))
    }

    /// Restarts the silence timeout after the driver was blocked on the caller, so that the time
    /// spent there does not count against the chain.
    pub fn restart_timeout(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Prefill | Phase::Decode) {
            self.last_progress = now;
            self.arm_timeout(now);
        }
    }

    /// Handles one event; the resulting actions are appended to `out`.
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
                } else if self.is_current(epoch) {
                    self.line(now, line, out);
                }
            }
            Input::Opened(epoch) if self.is_current(epoch) => self.opened(now),
            Input::OpenFailed(epoch, failure) if self.is_current(epoch) => {
                self.open_failed(now, failure, out);
            }
            Input::Ended(epoch, failure) if self.is_current(epoch) => self.ended(now, failure, out),
            Input::Probed(epoch, target, result) if self.is_current(epoch) => {
                self.probed(now, &target, result, out);
            }
            Input::Moved(epoch, done) if self.is_current(epoch) => self.moved(now, done, out),
            _ => {}
        }
    }

    fn is_current(&mut self, epoch: Epoch) -> bool {
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
            let limit =
                self.timeout_at.saturating_duration_since(now).mul_f64(PROBE_TIMEOUT_FRACTION);
            out.push(Action::Probe { epoch: self.epoch, limit });
        }
        if now < self.timeout_at {
            return;
        }
        match self.phase {
            Phase::Moving => self.open(now, false, out),
            Phase::Opening => {
                self.began = true;
                self.abandon_route(now, Cause::Silent, Blame::At(0), out);
            }
            Phase::Prefill | Phase::Decode => {
                self.abandon_route(now, Cause::Silent, Blame::Silent, out);
            }
            Phase::Routing => {
                // The router itself excludes the targets that are still out of use.
                self.avoid.clear();
                self.request_route(false, out);
            }
            Phase::Finished => {}
        }
    }
}
