//! The machine of one answer.

use crate::answer::avoid::Avoid;
use crate::answer::lineage::{self, Broken, Stage, Stamp, Wanted};
use crate::answer::message::{Action, Cause, Failure, Finish, Health, Input, Job, Line, Route};
use crate::answer::pace::{Pace, PaceRules};
use crate::answer::window::{Placed, Window};
use crate::cost::{self, Held, Plan, Rates};
use crate::prelude::*;

/// A probe is sent when this part of the silence bound has passed.
const PROBE_PART: f64 = 0.5;
/// A move of KV caches may take this multiple of its prediction.
const MOVE_FACTOR: u32 = 3;
/// Least time that a move may take.
const MOVE_FLOOR: Duration = Duration::from_millis(100);
/// Time after which a handover that found no chain is tried again.
const HANDOVER_PAUSE: Duration = Duration::from_secs(1);

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
    /// When to come back after a refusal for which nobody named a time.
    pub after: Duration,
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
    silent: Vec<bool>,
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
}

impl Answer {
    /// Begins an answer.
    pub fn start(job: Job, rules: Rules, now: Instant, out: &mut Vec<Action>) -> Answer {
        out.push(Action::Route { avoid: Vec::new(), retry: false });
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

    fn chosen(&mut self, now: Instant, route: Route, out: &mut Vec<Action>) {
        if lineage::tiles(route.stages.iter().map(|s| s.layers), self.job.layers).is_err() {
            let why = "the chosen chain does not cover every layer once";
            return self.no_chain(now, Refusal::not_run(Code::NoRoute, why), out);
        }
        match self.handing.take() {
            Some(target) if route.stages.iter().any(|s| s.target == target) => return,
            Some(_) if self.streaming() => self.hand_over(out),
            Some(_) => return,
            None if self.phase != Phase::Routing => return,
            None => {}
        }
        self.adopt(now, route, out);
    }

    /// Leaves a route that still works; its KV caches are all there.
    fn hand_over(&mut self, out: &mut Vec<Action>) {
        let usable = self.phase == Phase::Decode;
        self.tally.resumed += 1;
        self.retire(usable, out);
    }

    fn adopt(&mut self, now: Instant, route: Route, out: &mut Vec<Action>) {
        let held = self.job.prompt + self.window.next();
        let plan = cost::plan(&self.old, &route.stages, held, route.first, &self.rules.rates);
        let targets = route.stages.iter().map(|s| s.target.as_str()).collect::<Vec<_>>();
        out.push(Action::Note(Event::RouteChosen, targets.join(" > ")));
        self.pace.predict(route.first, route.between);
        self.stages = route.stages;
        self.silent = vec![false; self.stages.len()];
        match plan {
            Plan::Cold => self.open(now, false, out),
            Plan::Warm(moves, _) if moves.is_empty() => self.open(now, true, out),
            Plan::Warm(moves, time) => {
                let limit = (time * MOVE_FACTOR).max(MOVE_FLOOR);
                self.phase = Phase::Moving;
                self.quiet = now + limit * 2;
                out.push(Action::Move { epoch: self.epoch, moves, limit });
            }
        }
    }

    fn open(&mut self, now: Instant, warm: bool, out: &mut Vec<Action>) {
        self.release(warm, out);
        self.phase = Phase::Opening;
        self.warm = warm;
        self.attempts += 1;
        self.tally.routes += 1;
        self.quiet = now + self.pace.open();
        out.push(Action::Open { epoch: self.epoch, warm });
    }

    /// Ends the work of the route before; with `warm`, stages that go on keep their KV cache.
    fn release(&mut self, warm: bool, out: &mut Vec<Action>) {
        let epoch = self.epoch - 1;
        for held in std::mem::take(&mut self.old) {
            let stays = self.stages.iter().any(|s| s.target == held.stage.target);
            out.push(Action::Cancel { stage: held.stage, epoch, keep: warm && stays });
        }
    }

    fn no_chain(&mut self, now: Instant, refusal: Refusal, out: &mut Vec<Action>) {
        if self.handing.take().is_some() {
            self.handed = Some(now);
            return;
        }
        if self.phase != Phase::Routing {
            return;
        }
        if self.avoid.forgive() {
            self.ask_route(out);
            return;
        }
        self.refuse(refusal, out);
    }

    fn ask_route(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Routing;
        self.quiet = self.job.deadline;
        out.push(Action::Route { avoid: self.avoid.list(), retry: true });
    }

    fn streaming(&self) -> bool {
        matches!(self.phase, Phase::Prefill | Phase::Decode)
    }

    fn leaving(&mut self, now: Instant, target: TargetId, out: &mut Vec<Action>) {
        let paused = self.handed.is_some_and(|at| now < at + HANDOVER_PAUSE);
        let ours = self.stages.iter().any(|s| s.target == target);
        if !ours || paused || !self.streaming() || self.handing.is_some() {
            return;
        }
        let mut avoid = self.avoid.list();
        avoid.push(target.clone());
        self.handing = Some(target);
        out.push(Action::Route { avoid, retry: false });
    }

    fn opened(&mut self, now: Instant) {
        if self.phase != Phase::Opening {
            return;
        }
        self.began = true;
        self.phase = Phase::Prefill;
        self.last = now;
        self.arm(now);
    }

    fn arm(&mut self, now: Instant) {
        let bound =
            if self.phase == Phase::Decode { self.pace.decode() } else { self.pace.prefill() };
        self.quiet = now + bound;
        self.probe = Some(now + bound.mul_f64(PROBE_PART));
    }

    fn unopened(&mut self, now: Instant, failure: Failure, out: &mut Vec<Action>) {
        if self.phase != Phase::Opening {
            return;
        }
        let cause = match failure {
            Failure::Unreached => Cause::Unreached,
            Failure::Refused { status: 409, .. } => Cause::Mismatch,
            Failure::Refused { status: 503, after } => {
                self.after = after.or(self.after);
                Cause::Busy
            }
            Failure::Refused { .. } => Cause::Refused,
            Failure::Lost => Cause::Cut,
            Failure::Garbled => Cause::Garbled,
        };
        self.began |= matches!(failure, Failure::Lost | Failure::Garbled);
        self.give_up(now, cause, Blame::At(0), out);
    }

    fn line(&mut self, now: Instant, line: Line, out: &mut Vec<Action>) {
        if !self.streaming() {
            self.tally.stale += 1;
            return;
        }
        match line {
            Line::Token { position, text, lineage } => {
                self.token(now, position, text, &lineage, out);
            }
            Line::Done { count, reason, cached } => {
                let next = self.window.next();
                if count < next || count > self.job.limit {
                    return self.give_up(now, Cause::Garbled, Blame::At(0), out);
                }
                self.ending = Some((count, Finish { reason, cached }));
                self.finish(out);
            }
            Line::Lost { stage } => {
                self.lost(now, stage, out);
            }
        }
    }

    fn lost(&mut self, now: Instant, stage: Option<TargetId>, out: &mut Vec<Action>) {
        let at = stage.and_then(|t| self.stages.iter().position(|s| s.target == t));
        let blame = match at {
            // The stage lives, but has lost the cache that a warm start needs.
            Some(_) if self.warm && self.phase == Phase::Prefill => Blame::None,
            Some(at) => Blame::At(at),
            None => Blame::Any,
        };
        self.give_up(now, Cause::Lost, blame, out);
    }

    fn token(
        &mut self,
        now: Instant,
        position: Position,
        text: String,
        stamps: &[Stamp],
        out: &mut Vec<Action>,
    ) {
        if let Err(broken) = self.check(stamps) {
            let text = format!("position {position}: {broken}");
            out.push(Action::Note(Event::LineageBroken, text));
            let blame = broken.stage().map_or(Blame::Any, Blame::At);
            return self.give_up(now, Cause::Lineage(broken), blame, out);
        }
        let end = self.ending.as_ref().map_or(self.job.limit, |e| e.0);
        if position >= end {
            return self.give_up(now, Cause::Garbled, Blame::At(0), out);
        }
        match self.window.put(position, text) {
            Placed::Held => self.deliver(now, out),
            Placed::Duplicate => self.tally.duplicates += 1,
            Placed::Overflow => self.give_up(now, Cause::Overflow, Blame::At(0), out),
        }
    }

    fn check(&self, stamps: &[Stamp]) -> Result<(), Broken> {
        let want = Wanted {
            stages: &self.stages,
            layers: self.job.layers,
            epoch: self.epoch,
            version: &self.job.version,
        };
        lineage::check(stamps, &want)
    }

    fn deliver(&mut self, now: Instant, out: &mut Vec<Action>) {
        let before = self.tokens.len();
        while let Some(text) = self.window.pop() {
            out.push(Action::Deliver(self.tokens.len() as Position));
            self.tokens.push(text);
        }
        if self.tokens.len() == before {
            return;
        }
        self.progress(now, before, out);
        self.finish(out);
    }

    fn progress(&mut self, now: Instant, before: usize, out: &mut Vec<Action>) {
        if self.phase == Phase::Decode {
            self.pace.observe(now.saturating_duration_since(self.last));
        } else if self.epoch > 1 {
            let text = format!("epoch={} position={before}", self.epoch);
            out.push(Action::Note(Event::AnswerResumed, text));
        }
        self.phase = Phase::Decode;
        self.attempts = 0;
        self.cuts = 0;
        self.last = now;
        self.silent.fill(false);
        self.arm(now);
    }

    /// Ends the answer if its last token has been delivered.
    fn finish(&mut self, out: &mut Vec<Action>) {
        match self.ending.take() {
            Some((count, finish)) if count == self.window.next() => self.complete(finish, out),
            other => self.ending = other,
        }
    }

    fn complete(&mut self, finish: Finish, out: &mut Vec<Action>) {
        out.push(Action::Close(self.epoch));
        out.push(Action::Finish(finish));
        self.phase = Phase::Over;
    }

    fn ended(&mut self, now: Instant, failure: Option<Failure>, out: &mut Vec<Action>) {
        if !self.streaming() {
            return;
        }
        if failure == Some(Failure::Garbled) || self.ending.is_some() {
            return self.give_up(now, Cause::Garbled, Blame::At(0), out);
        }
        self.cuts += 1;
        let blame = if self.cuts > 1 { Blame::At(0) } else { Blame::None };
        self.give_up(now, Cause::Cut, blame, out);
    }

    fn probed(&mut self, now: Instant, target: &TargetId, health: Health, out: &mut Vec<Action>) {
        let Some(at) = self.stages.iter().position(|s| s.target == *target) else {
            return;
        };
        if !self.streaming() {
            return;
        }
        match health {
            Health::Dead => self.give_up(now, Cause::Dead, Blame::At(at), out),
            Health::Alive(life) if life != self.stages[at].incarnation => {
                self.give_up(now, Cause::Restarted, Blame::At(at), out);
            }
            Health::Alive(_) => self.silent[at] = false,
            Health::Silent => self.silent[at] = true,
        }
    }

    fn moved(&mut self, now: Instant, done: bool, out: &mut Vec<Action>) {
        if self.phase == Phase::Moving {
            self.open(now, done, out);
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.streaming() && self.probe.is_some_and(|at| now >= at) {
            self.probe = None;
            let limit = self.quiet.saturating_duration_since(now);
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
            Phase::Routing | Phase::Over => {}
        }
    }

    fn give_up(&mut self, now: Instant, cause: Cause, blame: Blame, out: &mut Vec<Action>) {
        self.blame(cause, &blame, out);
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
        self.ask_route(out);
    }

    fn blame(&mut self, cause: Cause, blame: &Blame, out: &mut Vec<Action>) {
        let guilty = self.guilty(blame);
        let names = if guilty.is_empty() { "unknown".to_owned() } else { guilty.join(",") };
        let text = format!("target={names} epoch={} cause={cause}", self.epoch);
        out.push(Action::Note(Event::StageLost, text));
        let counts = !matches!(cause, Cause::Busy | Cause::Mismatch | Cause::Refused);
        if guilty.is_empty() && !matches!(blame, Blame::None) {
            self.stages.iter().for_each(|s| self.avoid.suspect(&s.target));
        }
        for target in guilty {
            self.avoid.fail(&target);
            if counts {
                out.push(Action::Failed(target));
            }
        }
    }

    fn guilty(&self, blame: &Blame) -> Vec<TargetId> {
        let name = |at: usize| self.stages[at].target.clone();
        match blame {
            Blame::None | Blame::Any => Vec::new(),
            Blame::At(at) => vec![name(*at)],
            Blame::Silent => {
                (0..self.stages.len()).filter(|at| self.silent[*at]).map(name).collect()
            }
        }
    }

    /// Leaves the current route for the next epoch.
    fn retire(&mut self, usable: bool, out: &mut Vec<Action>) {
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
    fn refuse(&mut self, mut refusal: Refusal, out: &mut Vec<Action>) {
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
