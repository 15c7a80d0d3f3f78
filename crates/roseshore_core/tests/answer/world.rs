//! A model of router, engines and links in which an answer's machine runs, and what must hold at
//! every step whatever happens in it.

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
    /// Holds another version; refuses at open.
    Other,
}

#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) name: String,
    pub(crate) state: State,
    pub(crate) life: Incarnation,
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
    /// Whether an attempt had to be paid for from the retry budget.
    pub(crate) charged: bool,
    /// Whether further attempts are denied.
    pub(crate) deny: bool,
    stream: Option<Stream>,
    /// Targets reported as failed, which the router excludes.
    pub(crate) failed: BTreeSet<TargetId>,
    actions: Vec<Action>,
}

impl World {
    pub(crate) fn new(rules: AnswerSettings) -> World {
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
            life: 1,
        };
        let row = |range| (0..REPLICAS).map(|at| engine(range, at)).collect();
        let mut actions = Vec::new();
        World {
            now,
            answer: Answer::start(job, rules, now, &mut actions),
            engines: (0..RANGES.len()).map(row).collect(),
            queue: VecDeque::new(),
            delivered: Vec::new(),
            epoch: 0,
            route: Vec::new(),
            began: false,
            warm: Vec::new(),
            end: None,
            charged: false,
            deny: false,
            stream: None,
            failed: BTreeSet::new(),
            actions,
        }
    }

    /// Feeds one event and carries out what comes of it.
    pub(crate) fn feed(&mut self, input: Input) {
        self.answer.handle(self.now, input, &mut self.actions);
        self.act();
    }

    /// Begins: asks the router for the first time.
    pub(crate) fn act(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.carry_out(action);
            }
        }
    }

    /// The next event in order, or the passing of time when there is none.
    pub(crate) fn step(&mut self) {
        self.now += Duration::from_millis(1);
        if self.queue.is_empty() {
            self.pump();
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

    /// Lets the open stream give its next line, as the state of its stages allows.
    pub(crate) fn pump(&mut self) {
        let Some(mut stream) = self.stream.filter(|s| !s.ended) else {
            return;
        };
        let states = self.route.iter().map(|s| self.look(s)).collect::<Vec<_>>();
        let reborn = |at: usize| self.engine(&self.route[at].target).life;
        if states[0] == State::Dead || reborn(0) != self.route[0].incarnation {
            stream.ended = true;
            self.queue.push_back(Input::Ended(stream.epoch, Some(StreamFailure::Lost)));
        } else if let Some(at) = states.iter().position(|s| *s == State::Dead) {
            stream.ended = true;
            let stage = Some(self.route[at].target.clone());
            self.push_line(stream.epoch, StreamLine::Lost { stage });
        } else if states.contains(&State::Frozen)
            || (0..states.len()).any(|at| reborn(at) != self.route[at].incarnation)
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

    /// The stream breaks without a word.
    pub(crate) fn cut(&mut self) {
        if let Some(stream) = self.stream.as_mut().filter(|s| !s.ended) {
            stream.ended = true;
            self.queue.push_back(Input::Ended(stream.epoch, Some(StreamFailure::Lost)));
        }
    }

    /// The stream stays open and says no more, though every stage lives.
    pub(crate) fn mute(&mut self) {
        if let Some(stream) = self.stream.as_mut() {
            stream.ended = true;
        }
    }

    /// A right token of the current route.
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

    fn look(&self, stage: &Stage) -> State {
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
                assert!(self.now + limit < bound, "a probe says in time who is silent");
                self.probe(epoch);
            }
            Action::Move { epoch, moves, .. } => {
                let fine = |s: &Stage| self.look(s) == State::Live;
                let done = moves.iter().all(|m| fine(&m.from) && fine(&m.to));
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

    /// A router whose view is old: it knows of failures only what it was told.
    fn choose(&mut self, avoid: &[TargetId]) {
        let mut stages = Vec::new();
        for (row, layers) in self.engines.iter().zip(RANGES) {
            let free = |e: &&Engine| !avoid.contains(&e.name) && !self.failed.contains(&e.name);
            let Some(engine) = row.iter().find(free) else {
                let refusal = Refusal::not_run(Code::NoRoute, "no chain");
                return self.answer.handle(self.now, Input::NoChain(refusal), &mut self.actions);
            };
            stages.push(Stage {
                target: engine.name.clone(),
                addr: ([127, 0, 0, 1], 1).into(),
                layers,
                incarnation: engine.life,
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
        let failure = match self.look(&self.route[0]) {
            State::Dead => Some(StreamFailure::Unreachable),
            State::Busy => Some(refused(503)),
            State::Other => Some(refused(409)),
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
            let health = match engine.state {
                State::Dead => ProbeResult::Dead,
                State::Frozen => ProbeResult::Silent,
                _ => ProbeResult::Alive(engine.life),
            };
            self.queue.push_back(Input::Probed(epoch, stage.target.clone(), health));
        }
    }

    fn deliver(&mut self, position: Position) {
        assert_eq!(position as usize, self.delivered.len(), "each position once and in order");
        let text = self.answer.tokens()[position as usize].clone();
        assert_eq!(text, format!("t{position}/{}", self.epoch), "right token of this epoch");
        self.delivered.push(text);
    }

    fn finish(&mut self, finish: Finish) {
        assert_eq!(self.delivered.len() as u32, TOTAL, "a whole answer has every token");
        self.end = Some(Ok(finish));
    }

    fn refuse(&mut self, refusal: Refusal) {
        match refusal.verdict {
            Verdict::NotRun => {
                assert!(!self.began, "not run, but a target began: {refusal:?}");
                assert!(refusal.retry_after.is_some(), "not run says when to come back");
            }
            Verdict::MayHaveRun => {}
            Verdict::Answered => panic!("a refusal is no answer"),
        }
        self.end = Some(Err(refusal));
    }
}
