//! Simulated router, engines and links for an answer's state machine, with the invariants that must
//! hold at every step.

use roseshore_core::answer::lineage::{Stage, Stamp};
use roseshore_core::answer::{
    Action, Answer, AnswerSettings, Finish, Input, Job, ProbeResult, Route, StreamFailure,
    StreamLine,
};
use roseshore_core::prelude::*;
use std::collections::{BTreeSet, VecDeque};

pub(crate) const RANGES: [(Layer, Layer); 3] = [(0, 4), (4, 8), (8, 12)];
pub(crate) const REPLICAS: usize = 3;
pub(crate) const TOTAL: u32 = 8;
const VERSION: &str = "v1";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Live,
    Dead,
    Frozen,
    Busy,
    /// Holds another version, so it refuses the stream.
    OtherVersion,
}

#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) name: String,
    pub(crate) state: State,
    pub(crate) incarnation: Incarnation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stream {
    epoch: Epoch,
    next: u32,
    ended: bool,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) answer: Answer,
    pub(crate) engines: Vec<Vec<Engine>>,
    pub(crate) queue: VecDeque<Input>,
    pub(crate) delivered: Vec<String>,
    pub(crate) epoch: Epoch,
    pub(crate) route: Vec<Stage>,
    pub(crate) began: bool,
    pub(crate) warm: Vec<bool>,
    pub(crate) end: Option<Result<Finish, Refusal>>,
    /// Whether an attempt was charged to the retry budget.
    pub(crate) charged: bool,
    /// Whether further attempts are denied.
    pub(crate) deny: bool,
    /// When the router says to ask again if it finds no chain.
    pub(crate) chain_retry: Duration,
    stream: Option<Stream>,
    /// Targets reported as failed, which the router excludes.
    pub(crate) failed: BTreeSet<TargetId>,
    actions: Vec<Action>,
}

impl World {
    pub(crate) fn new(settings: AnswerSettings) -> World {
        let now = Instant::now();
        let job = Job {
            answer: "own".to_owned(),
            layers: 12,
            version: VERSION.to_owned(),
            prompt: 100,
            limit: 64,
            deadline: now + Duration::from_mins(1),
        };
        let engine = |range: usize, at: usize| Engine {
            name: format!("e{range}{at}"),
            state: State::Live,
            incarnation: 1,
        };
        let row = |range| (0..REPLICAS).map(|at| engine(range, at)).collect();
        let mut actions = Vec::new();
        World {
            now,
            answer: Answer::start(job, settings, now, &mut actions),
            engines: (0..RANGES.len()).map(row).collect(),
            queue: VecDeque::new(),
            delivered: Vec::new(),
            epoch: 0,
            route: Vec::new(),
            began: false,
            chain_retry: Duration::from_secs(1),
            warm: Vec::new(),
            end: None,
            charged: false,
            deny: false,
            stream: None,
            failed: BTreeSet::new(),
            actions,
        }
    }

    /// Handles one event and carries out the resulting actions.
    pub(crate) fn feed(&mut self, input: Input) {
        self.answer.handle(self.now, input, &mut self.actions);
        self.run_actions();
    }

    /// Carries out the pending actions, starting with the first request for a route.
    pub(crate) fn run_actions(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.carry_out(action);
            }
        }
    }

    /// Handles the next queued event, or lets time pass when there is none.
    pub(crate) fn step(&mut self) {
        self.now += Duration::from_millis(1);
        if self.queue.is_empty() {
            self.pump_stream();
        }
        let input = self.queue.pop_front().unwrap_or_else(|| {
            self.now = self.now.max(self.answer.next_tick());
            Input::Tick
        });
        self.feed(input);
    }

    pub(crate) fn run_to_end(&mut self) {
        for _ in 0..2000 {
            if self.end.is_some() {
                return;
            }
            self.step();
        }
        panic!("the answer never ended");
    }

    /// Queues the next line of the open stream, as the state of its stages allows.
    pub(crate) fn pump_stream(&mut self) {
        let Some(mut stream) = self.stream.filter(|s| !s.ended) else {
            return;
        };
        let states = self.route.iter().map(|s| self.state(s)).collect::<Vec<_>>();
        let incarnation = |at: usize| self.engine(&self.route[at].target).incarnation;
        if states[0] == State::Dead || incarnation(0) != self.route[0].incarnation {
            stream.ended = true;
            self.queue.push_back(Input::Ended(stream.epoch, Some(StreamFailure::Lost)));
        } else if let Some(at) = states.iter().position(|s| *s == State::Dead) {
            stream.ended = true;
            let stage = Some(self.route[at].target.clone());
            self.push_line(stream.epoch, StreamLine::Lost { stage });
        } else if states.contains(&State::Frozen)
            || (0..states.len()).any(|at| incarnation(at) != self.route[at].incarnation)
        {
            return;
        } else if stream.next < TOTAL {
            let token = self.token(stream.epoch, stream.next);
            self.push_line(stream.epoch, token);
            stream.next += 1;
        } else {
            stream.ended = true;
            let done = StreamLine::Done { count: TOTAL, reason: "stop".to_owned(), cached: 0 };
            self.push_line(stream.epoch, done);
            self.queue.push_back(Input::Ended(stream.epoch, None));
        }
        self.stream = Some(stream);
    }

    /// Ends the stream without a final line.
    pub(crate) fn cut(&mut self) {
        if let Some(stream) = self.stream.as_mut().filter(|s| !s.ended) {
            stream.ended = true;
            self.queue.push_back(Input::Ended(stream.epoch, Some(StreamFailure::Lost)));
        }
    }

    /// Keeps the stream open but silent, although every stage is alive.
    pub(crate) fn mute(&mut self) {
        if let Some(stream) = self.stream.as_mut() {
            stream.ended = true;
        }
    }

    /// A valid token of the current route.
    pub(crate) fn token(&self, epoch: Epoch, position: Position) -> StreamLine {
        let stamp = |s: &Stage| Stamp {
            target: s.target.clone(),
            incarnation: s.incarnation,
            layers: s.layers,
            epoch,
            version: VERSION.to_owned(),
        };
        let lineage = self.route.iter().map(stamp).collect();
        StreamLine::Token { position, text: format!("t{position}/{epoch}"), lineage }
    }

    pub(crate) fn push_line(&mut self, epoch: Epoch, line: StreamLine) {
        self.queue.push_back(Input::Line("own".to_owned(), epoch, line));
    }

    pub(crate) fn engine(&self, name: &str) -> &Engine {
        self.engines.iter().flatten().find(|e| e.name == name).expect("engine")
    }

    pub(crate) fn engine_mut(&mut self, name: &str) -> &mut Engine {
        self.engines.iter_mut().flatten().find(|e| e.name == name).expect("engine")
    }

    fn state(&self, stage: &Stage) -> State {
        self.engine(&stage.target).state
    }

    fn carry_out(&mut self, action: Action) {
        assert!(self.end.is_none() || matches!(action, Action::Cancel { .. }), "{action:?}");
        match action {
            Action::Route { retry: true, .. } if self.deny => {
                let refusal = Refusal::not_run(Code::RetryBudget, "spent");
                self.answer.handle(self.now, Input::RetryDenied(refusal), &mut self.actions);
            }
            Action::Route { avoid, charge_budget, .. } => {
                self.charged |= charge_budget;
                self.choose(&avoid);
            }
            Action::Open { epoch, warm } => self.open(epoch, warm),
            Action::Close(epoch) => {
                self.stream = self.stream.filter(|s| s.epoch != epoch);
            }
            Action::Deliver(position) => self.deliver(position),
            Action::Probe { epoch, limit } => {
                let bound = self.answer.next_tick();
                assert!(self.now + limit < bound, "a probe ends before the timeout");
                self.probe(epoch);
            }
            Action::Move { epoch, moves, .. } => {
                let is_live = |s: &Stage| self.state(s) == State::Live;
                let done = moves.iter().all(|m| is_live(&m.from) && is_live(&m.to));
                self.queue.push_back(Input::Moved(epoch, done));
            }
            Action::Failed(target) => {
                self.failed.insert(target);
            }
            Action::Finish(finish) => self.finish(finish),
            Action::Refuse(refusal) => self.refuse(refusal),
            Action::Cancel { .. } | Action::Log(..) => {}
        }
    }

    /// Chooses a chain with outdated knowledge: only failures that were reported are known.
    fn choose(&mut self, avoid: &[TargetId]) {
        let mut stages = Vec::new();
        for (row, layers) in self.engines.iter().zip(RANGES) {
            let free = |e: &&Engine| !avoid.contains(&e.name) && !self.failed.contains(&e.name);
            let Some(engine) = row.iter().find(free) else {
                let refusal = Refusal::not_run(Code::NoRoute, "no chain").after(self.chain_retry);
                return self.answer.handle(self.now, Input::NoChain(refusal), &mut self.actions);
            };
            stages.push(Stage {
                target: engine.name.clone(),
                addr: ([127, 0, 0, 1], 1).into(),
                layers,
                incarnation: engine.incarnation,
            });
        }
        let first_token = Duration::from_millis(200);
        let route = Route { stages, first_token, token_interval: Duration::from_millis(5) };
        self.answer.handle(self.now, Input::Chosen(route), &mut self.actions);
    }

    fn open(&mut self, epoch: Epoch, warm: bool) {
        assert!(epoch > self.epoch, "epochs grow");
        self.epoch = epoch;
        self.route = self.answer.stages().to_vec();
        self.warm.push(warm);
        let refused = |status| StreamFailure::Refused { status, after: None };
        let failure = match self.state(&self.route[0]) {
            State::Dead => Some(StreamFailure::Unreachable),
            State::Busy => Some(refused(503)),
            State::OtherVersion => Some(refused(409)),
            State::Frozen => {
                self.began = true;
                return;
            }
            State::Live => None,
        };
        if let Some(failure) = failure {
            return self.queue.push_back(Input::OpenFailed(epoch, failure));
        }
        self.began = true;
        let next = self.delivered.len() as u32;
        self.stream = Some(Stream { epoch, next, ended: false });
        self.queue.push_back(Input::Opened(epoch));
    }

    fn probe(&mut self, epoch: Epoch) {
        for stage in self.answer.stages() {
            let engine = self.engine(&stage.target);
            let result = match engine.state {
                State::Dead => ProbeResult::Dead,
                State::Frozen => ProbeResult::Silent,
                _ => ProbeResult::Alive(engine.incarnation),
            };
            self.queue.push_back(Input::Probed(epoch, stage.target.clone(), result));
        }
    }

    fn deliver(&mut self, position: Position) {
        assert_eq!(position as usize, self.delivered.len(), "each position once and in order");
        let text = self.answer.tokens()[position as usize].clone();
        assert_eq!(text, format!("t{position}/{}", self.epoch), "right token of this epoch");
        self.delivered.push(text);
    }

    fn finish(&mut self, finish: Finish) {
        assert_eq!(self.delivered.len() as u32, TOTAL, "a complete answer has every token");
        self.end = Some(Ok(finish));
    }

    fn refuse(&mut self, refusal: Refusal) {
        match refusal.verdict {
            Verdict::NotRun => {
                assert!(!self.began, "not run, but a target began: {refusal:?}");
                assert!(refusal.retry_after.is_some(), "a not-run refusal has a retry time");
            }
            Verdict::MayHaveRun => {}
            Verdict::Answered => panic!("a refusal cannot have the verdict answered"),
        }
        self.end = Some(Err(refusal));
    }
}
