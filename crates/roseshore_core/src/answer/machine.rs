//! The machine of one answer.

mod recover;
mod route;
mod stream;

use crate::answer::avoid::Avoid;
use crate::answer::lineage::Stage;
use crate::answer::message::{Action, Cause, Finish, Input, Job};
use crate::answer::reorder::Window;
use crate::answer::timeout::{Pace, PaceRules};
use crate::cost::{Held, Rates};
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
pub struct Rules {
    /// Bounds of silence.
    pub pace: PaceRules,
    /// Early tokens held at most.
    pub window: usize,
    /// Routes tried without a new token before giving up.
    pub attempts: u32,
    /// Routes tried in all.
    pub routes: u32,
    /// What moving KV caches takes.
    pub rates: Rates,
    /// When to come back after a refusal without a time of its own.
    pub after: Duration,
    /// How long an answer that may have run waits for a chain at most; a failed target is out of use only for a time.
    pub chain_wait: Duration,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            pace: PaceRules::default(),
            window: 64,
            attempts: 4,
            routes: 16,
            rates: Rates::default(),
            after: Duration::from_secs(1),
            chain_wait: Duration::from_secs(3),
        }
    }
}

/// What was dropped, and what was tried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Events of an older epoch, or after the end.
    pub stale: u64,
    /// Lines of another answer.
    pub crossed: u64,
    /// Tokens that were delivered or held already.
    pub duplicates: u64,
    /// Routes opened.
    pub routes: u32,
    /// Routes given up.
    pub resumed: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Routing,
    Moving,
    Opening,
    Prefill,
    Decode,
    Over,
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
    rules: Rules,
    phase: Phase,
    epoch: Epoch,
    stages: Vec<Stage>,
    /// For each stage, whether the last probe found it silent; `None` without a result.
    silent: Vec<Option<bool>>,
    old: Vec<Held>,
    tokens: Vec<String>,
    window: Window,
    ending: Option<(u32, Finish)>,
    pace: Pace,
    avoid: Avoid,
    tally: Tally,
    began: bool,
    warm: bool,
    attempts: u32,
    cuts: u32,
    last: Instant,
    quiet: Instant,
    probe: Option<Instant>,
    handing: Option<TargetId>,
    handed: Option<Instant>,
    after: Option<Duration>,
    /// End of the wait for a chain; set when the router finds none, until the next token.
    chain_deadline: Option<Instant>,
}

impl Answer {
    /// Begins an answer.
    pub fn start(job: Job, rules: Rules, now: Instant, out: &mut Vec<Action>) -> Answer {
        out.push(Action::Route { avoid: Vec::new(), retry: false, paid: false });
        let window = Window::new(rules.window);
        let pace = Pace::new(rules.pace.clone());
        let quiet = job.deadline;
        Answer {
            job,
            rules,
            phase: Phase::Routing,
            epoch: 1,
            stages: Vec::new(),
            silent: Vec::new(),
            old: Vec::new(),
            tokens: Vec::new(),
            window,
            ending: None,
            pace,
            avoid: Avoid::default(),
            tally: Tally::default(),
            began: false,
            warm: false,
            attempts: 0,
            cuts: 0,
            last: now,
            quiet,
            probe: None,
            handing: None,
            handed: None,
            after: None,
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
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Whether the last action was [`Action::Finish`] or [`Action::Refuse`].
    pub fn over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// When [`Input::Tick`] is due, if nothing happens before.
    pub fn wake(&self) -> Instant {
        let wake = self.job.deadline.min(self.quiet);
        self.probe.map_or(wake, |p| p.min(wake))
    }

    /// The driver was held up by the caller; what came meanwhile counts from now.
    pub fn rearm(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Prefill | Phase::Decode) {
            self.last = now;
            self.arm(now);
        }
    }

    /// Takes one event.
    pub fn on(&mut self, now: Instant, input: Input, out: &mut Vec<Action>) {
        if self.over() {
            self.tally.stale += 1;
            return;
        }
        if now >= self.job.deadline {
            self.refuse(Refusal::not_run(Code::DeadlinePassed, "the deadline passed"), out);
            return;
        }
        match input {
            Input::Chosen(route) => self.chosen(now, route, out),
            Input::NoChain(refusal) => self.no_chain(now, refusal, out),
            Input::Denied(refusal) => self.refuse(refusal, out),
            Input::CallerLeft => {
                let why = "the caller left before the answer was whole";
                self.refuse(Refusal::not_run(Code::TargetLost, why), out);
            }
            Input::Leaving(target) => self.leaving(now, target, out),
            Input::Tick => self.tick(now, out),
            Input::Line(answer, epoch, line) => {
                if answer != self.job.answer {
                    self.tally.crossed += 1;
                } else if self.current(epoch) {
                    self.line(now, line, out);
                }
            }
            Input::Opened(epoch) if self.current(epoch) => self.opened(now),
            Input::Unopened(epoch, failure) if self.current(epoch) => {
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
        self.tally.stale += u64::from(!current);
        current
    }

    fn streaming(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Decode)
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.streaming() && now < self.quiet && self.probe.is_some_and(|at| now >= at) {
            self.probe = None;
            self.silent.fill(None);
            let limit = self.quiet.saturating_duration_since(now).mul_f64(PROBE_LIMIT);
            out.push(Action::Probe { epoch: self.epoch, limit });
        }
        if now < self.quiet {
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
            Phase::Over => {}
        }
    }
}
