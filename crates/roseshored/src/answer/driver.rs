//! The loop that turns streams and calls into events of the answer's machine, and its actions into
//! calls.

use super::calls::{self, Calls, Moves, Report};

use super::{AnswerDeps, AnswerRequest, CallerLeft, CompletedAnswer, Sink};
use crate::event;
use flume::{Receiver, RecvError, Selector};
use roseshore_core::answer::interval::IntervalMeter;
use roseshore_core::answer::{
    Action, Answer, AnswerSettings, Finish, Input, Job, Route, StreamLine,
};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ChainNeeds, Permit, RequestInfo};
use roseshore_ports::outside::StreamItem;
use roseshore_wire::engine::{Cancel, Generate, Output};
use std::mem;
use tracing::Span;

/// Time between two looks at whether a stage is going away.
const LEAVE_CHECK: Duration = Duration::from_millis(250);
/// A caller who holds up a token for longer delays the next one's silence bound.
const HELD_UP: Duration = Duration::from_millis(1);
/// Tokens from one hashed prefix of the prompt to the next.
const PREFIX_STEP: usize = 16;

/// One running answer.
pub(super) struct Driver<'a> {
    parts: &'a AnswerDeps,
    ask: &'a RequestInfo,
    prompt: AnswerRequest,
    sink: &'a mut dyn Sink,
    machine: Answer,
    actions: Vec<Action>,
    spare: Vec<Action>,
    calls: Calls,
    reports: Receiver<Report>,
    stream: Option<(Epoch, Receiver<StreamItem>)>,
    permit: Option<Permit>,
    prefixes: Vec<(u32, u64)>,
    meter: IntervalMeter,
    look: Instant,
    left: bool,
    end: Option<Result<Finish, Refusal>>,
    span: Span,
    step: Span,
}

/// What the wait for the next event brought.
enum Heard {
    Report(Report),
    Item(Epoch, StreamItem),
    Nothing,
}

impl<'a> Driver<'a> {
    pub(super) fn new(
        parts: &'a AnswerDeps,
        ask: &'a RequestInfo,
        prompt: AnswerRequest,
        sink: &'a mut dyn Sink,
    ) -> Driver<'a> {
        let now = Instant::now();
        let (post, reports) = flume::unbounded();
        let mut actions = Vec::with_capacity(8);
        let rules = AnswerSettings { move_cost: calls::rates(), ..parts.rules.clone() };
        let machine = Answer::start(job(ask, &prompt), rules, now, &mut actions);
        let span = tracing::info_span!("answer", request = %ask.request);
        Driver {
            parts,
            ask,
            sink,
            machine,
            actions,
            spare: Vec::with_capacity(8),
            calls: Calls::new(parts.engine.clone(), post),
            reports,
            stream: None,
            permit: None,
            prefixes: prefixes(&prompt.prompt),
            meter: IntervalMeter::default(),
            prompt,
            look: now + LEAVE_CHECK,
            left: false,
            end: None,
            span,
            step: Span::none(),
        }
    }

    /// Runs the answer to its end.
    pub(super) fn run(mut self) -> Result<CompletedAnswer, Refusal> {
        self.act();
        while self.end.is_none() {
            let heard = self.hear();
            self.take(heard);
            self.look_for_leaving();
            self.act();
        }
        self.count();
        match self.end.take() {
            Some(Ok(finish)) => Ok(self.whole(finish)),
            Some(Err(refusal)) => Err(refusal),
            None => {
                Err(Refusal::may_have_run(Code::Internal, "the answer ended without a verdict"))
            }
        }
    }

    fn feed(&mut self, input: Input) {
        self.machine.handle(Instant::now(), input, &mut self.actions);
    }

    fn hear(&self) -> Heard {
        if let Ok(report) = self.reports.try_recv() {
            return Heard::Report(report);
        }
        let until = self.machine.next_tick().min(self.look);
        let Some((epoch, items)) = &self.stream else {
            let report = self.reports.recv_deadline(until);
            return report.map_or(Heard::Nothing, Heard::Report);
        };
        if let Ok(item) = items.try_recv() {
            return Heard::Item(*epoch, item);
        }
        let item = |got: Result<StreamItem, RecvError>| {
            Heard::Item(*epoch, got.unwrap_or(StreamItem::Ended(Ok(()))))
        };
        let report = |got: Result<Report, RecvError>| got.map_or(Heard::Nothing, Heard::Report);
        Selector::new()
            .recv(items, item)
            .recv(&self.reports, report)
            .wait_deadline(until)
            .unwrap_or(Heard::Nothing)
    }

    fn take(&mut self, heard: Heard) {
        match heard {
            Heard::Report(Report::Input(input)) => self.feed(input),
            Heard::Report(Report::Opened(epoch, items)) => {
                self.step = tracing::info_span!(parent: &self.span, "prefill", epoch);
                self.stream = Some((epoch, items));
                self.feed(Input::Opened(epoch));
            }
            Heard::Item(epoch, item) => self.take_item(epoch, item),
            Heard::Nothing => {}
        }
        self.feed(Input::Tick);
    }

    fn take_item(&mut self, epoch: Epoch, item: StreamItem) {
        match item {
            StreamItem::Output(output) => self.feed(input(output)),
            StreamItem::Ended(end) => {
                self.stream = None;
                let failure = end.err().map(|e| calls::failure(&e));
                self.feed(Input::Ended(epoch, failure));
            }
        }
    }

    fn look_for_leaving(&mut self) {
        let now = Instant::now();
        if now < self.look {
            return;
        }
        self.look = now + LEAVE_CHECK;
        let leaving =
            self.machine.stages().iter().map(|s| &s.target).find(|t| self.parts.router.leaving(t));
        if let Some(target) = leaving.cloned() {
            self.feed(Input::Leaving(target));
        }
    }

    /// Carries out actions until none is left; some bring new ones at once.
    fn act(&mut self) {
        while !self.actions.is_empty() {
            let mut batch = mem::replace(&mut self.actions, mem::take(&mut self.spare));
            for action in batch.drain(..) {
                self.carry_out(action);
            }
            self.spare = batch;
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Route { charge_budget: true, .. }
                if !self.parts.budgets.try_spend(&self.ask.service) =>
            {
                let why = "the retry budget is spent; come back later";
                self.feed(Input::RetryDenied(Refusal::not_run(Code::RetryBudget, why)));
            }
            Action::Route { avoid, retry, .. } => self.route(avoid, retry),
            Action::Open { epoch, warm } => self.open(epoch, warm),
            Action::Close(epoch) => {
                if self.stream.as_ref().is_some_and(|s| s.0 == epoch) {
                    self.stream = None;
                }
            }
            Action::Deliver(position) => self.deliver(position),
            Action::Cancel { stage, epoch, keep_cache } => {
                let cancel =
                    Cancel { answer: self.ask.request.clone(), epoch, keep_kv: keep_cache };
                self.calls.cancel(stage.addr, cancel);
            }
            Action::Probe { epoch, limit } => {
                self.calls.probe(epoch, self.machine.stages(), limit);
            }
            Action::Move { epoch, moves, limit } => {
                let tokens = (self.prompt.prompt.len() + self.machine.tokens().len()) as u32;
                let answer = self.ask.request.clone();
                self.calls.bring(Moves { answer, epoch, list: moves, limit, tokens });
            }
            Action::Failed(target) => self.parts.router.failed(&target),
            Action::Log(what, text) => event!(what, "request={} {text}", self.ask.request),
            Action::Finish(finish) => {
                self.parts.budgets.record_success(&self.ask.service);
                self.end = Some(Ok(finish));
            }
            Action::Refuse(refusal) => self.end = Some(Err(refusal)),
        }
        if self.left {
            self.end = self.end.take().map(|_| Err(left()));
        }
    }

    fn route(&mut self, avoid: Vec<TargetId>, retry: bool) {
        let span = if retry {
            tracing::info_span!(parent: &self.span, "resume")
        } else {
            tracing::info_span!(parent: &self.span, "route")
        };
        let mut chain = span.in_scope(|| self.parts.router.chain(&self.need(avoid.clone())));
        if chain.is_err() && self.change_version() {
            chain = span.in_scope(|| self.parts.router.chain(&self.need(avoid)));
        }
        let (chain, permit) = match chain {
            Ok(chosen) => chosen,
            Err(refusal) => return self.feed(Input::NoChain(refusal)),
        };
        if let Err(refusal) = self.sink.dispatch() {
            return self.feed(Input::RetryDenied(refusal));
        }
        self.permit = Some(permit);
        let route = Route {
            stages: chain.stages,
            first_token: chain.first_token,
            token_interval: chain.token_interval,
        };
        self.feed(Input::Chosen(route));
    }

    /// Goes over to the version that serves by now, if nothing of the answer has been delivered.
    fn change_version(&mut self) -> bool {
        let Some(version) = self.parts.router.version(&self.prompt.model) else { return false };
        let changed =
            version != self.prompt.version && self.machine.change_version(version.clone());
        if changed {
            self.prompt.version = version;
        }
        changed
    }

    fn need(&self, avoid: Vec<TargetId>) -> ChainNeeds {
        let done = self.machine.tokens().len() as u32;
        ChainNeeds {
            model: self.prompt.model.clone(),
            version: self.prompt.version.clone(),
            layers: self.prompt.layers,
            adapter: self.prompt.adapter.clone(),
            prefixes: self.prefixes.clone(),
            prompt: self.prompt.prompt.len() as u32 + done,
            expected: self.prompt.max_tokens.saturating_sub(done),
            avoid,
        }
    }

    fn open(&mut self, epoch: Epoch, warm: bool) {
        let route = self.machine.stages().to_vec();
        let names: Vec<&str> = route.iter().map(|s| s.target.as_str()).collect();
        let stages = names.join(">");
        self.step = tracing::info_span!(parent: &self.span, "open", epoch, warm, stages);
        let addr = route[0].addr;
        self.meter.reset();
        let generate = Generate {
            answer: self.ask.request.clone(),
            epoch,
            route,
            model: self.prompt.model.clone(),
            version: self.prompt.version.clone(),
            adapter: self.prompt.adapter.clone(),
            prompt: self.prompt.prompt.clone(),
            done: self.machine.tokens().to_vec(),
            warm,
            max_tokens: self.prompt.max_tokens,
            priority: self.ask.priority,
            trace: self.prompt.trace.clone(),
        };
        self.calls.open(addr, generate, self.ask.deadline);
    }

    fn deliver(&mut self, position: Position) {
        if self.left {
            return;
        }
        if position == 0 {
            self.step = tracing::info_span!(parent: &self.span, "decode");
        }
        let began = Instant::now();
        let text = &self.machine.tokens()[position as usize];
        if let Err(CallerLeft) = self.sink.token(position, text) {
            self.left = true;
            return self.feed(Input::CallerLeft);
        }
        let now = Instant::now();
        if now - began > HELD_UP {
            // Tokens piled up behind the caller say nothing of the chain.
            self.machine.restart_timeout(now);
            self.meter.reset();
        } else if let Some(pace) = self.meter.record_token(now) {
            self.parts.router.record_step_time(self.machine.stages(), pace);
        }
    }

    fn whole(&self, finish: Finish) -> CompletedAnswer {
        let tokens = self.machine.tokens();
        CompletedAnswer {
            text: tokens.concat(),
            count: tokens.len() as u32,
            reason: finish.reason,
            cached: finish.cached,
            resumed: self.machine.counters().rerouted,
        }
    }

    fn count(&self) {
        let tally = self.machine.counters();
        let dropped =
            [("stale", tally.stale), ("crossed", tally.misrouted), ("duplicate", tally.duplicates)];
        for (why, count) in dropped.into_iter().filter(|d| d.1 > 0) {
            metrics::counter!("roseshore_answer_dropped_total", "why" => why).increment(count);
        }
        if tally.rerouted > 0 {
            let resumed = u64::from(tally.rerouted);
            metrics::counter!("roseshore_answer_resumed_total").increment(resumed);
        }
    }
}

fn left() -> Refusal {
    Refusal::may_have_run(Code::TargetLost, "the caller left before the answer was whole")
}

fn job(ask: &RequestInfo, prompt: &AnswerRequest) -> Job {
    Job {
        answer: ask.request.clone(),
        layers: prompt.layers,
        version: prompt.version.clone(),
        prompt: prompt.prompt.len() as u32,
        limit: prompt.max_tokens,
        deadline: ask.deadline,
    }
}

fn input(output: Output) -> Input {
    match output {
        Output::Token { answer, epoch, position, text, lineage } => {
            Input::Line(answer, epoch, StreamLine::Token { position, text, lineage })
        }
        Output::Done { answer, epoch, count, reason, cached } => {
            Input::Line(answer, epoch, StreamLine::Done { count, reason, cached })
        }
        Output::Lost { answer, epoch, stage, .. } => {
            Input::Line(answer, epoch, StreamLine::Lost { stage })
        }
    }
}

/// Hashes of growing prefixes, as the engines' cache events name them.
fn prefixes(prompt: &[String]) -> Vec<(u32, u64)> {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    let mut all = Vec::with_capacity(prompt.len() / PREFIX_STEP + 1);
    for (at, token) in prompt.iter().enumerate() {
        hash.update(token.as_bytes());
        hash.update(&[0]);
        let count = at + 1;
        if count % PREFIX_STEP == 0 || count == prompt.len() {
            all.push((count as u32, hash.digest()));
        }
    }
    all
}
