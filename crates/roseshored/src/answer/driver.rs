//! Event loop of one answer: feeds stream items and call results to the state machine, and executes
//! its actions.

use super::calls::{self, CacheMoves, Calls, Report};
use super::{AnswerDeps, AnswerRequest, CallerLeft, CompletedAnswer, TokenSink};
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

/// Interval of the checks whether a stage's host is leaving.
const LEAVE_CHECK: Duration = Duration::from_millis(250);
/// A delivery that blocks for longer than this restarts the time-out of the next token, because the
/// delay is the caller's and not the chain's.
const SLOW_DELIVERY: Duration = Duration::from_millis(1);
/// Distance between two hashed prefixes of the prompt, in tokens.
const PREFIX_STEP: usize = 16;

/// One running answer.
pub(super) struct Driver<'a> {
    deps: &'a AnswerDeps,
    info: &'a RequestInfo,
    request: AnswerRequest,
    sink: &'a mut dyn TokenSink,
    machine: Answer,
    actions: Vec<Action>,
    spare_actions: Vec<Action>,
    calls: Calls,
    reports: Receiver<Report>,
    stream: Option<(Epoch, Receiver<StreamItem>)>,
    permit: Option<Permit>,
    prefixes: Vec<(u32, u64)>,
    meter: IntervalMeter,
    next_check: Instant,
    caller_left: bool,
    result: Option<Result<Finish, Refusal>>,
    span: Span,
    /// The span of the current phase: open, prefill or decode.
    phase: Span,
}

/// The next event, or the end of the wait without one.
enum Wakeup {
    Report(Report),
    Item(Epoch, StreamItem),
    Timeout,
}

impl<'a> Driver<'a> {
    pub(super) fn new(
        deps: &'a AnswerDeps,
        info: &'a RequestInfo,
        request: AnswerRequest,
        sink: &'a mut dyn TokenSink,
    ) -> Driver<'a> {
        let now = Instant::now();
        let (sender, reports) = flume::unbounded();
        let mut actions = Vec::with_capacity(8);
        let settings = AnswerSettings { move_cost: calls::move_cost(), ..deps.settings.clone() };
        let machine = Answer::start(job(info, &request), settings, now, &mut actions);
        let span = tracing::info_span!("answer", request = %info.request);
        Driver {
            deps,
            info,
            sink,
            machine,
            actions,
            spare_actions: Vec::with_capacity(8),
            calls: Calls::new(deps.engine.clone(), sender),
            reports,
            stream: None,
            permit: None,
            prefixes: prefix_hashes(&request.prompt),
            meter: IntervalMeter::default(),
            request,
            next_check: now + LEAVE_CHECK,
            caller_left: false,
            result: None,
            span,
            phase: Span::none(),
        }
    }

    /// Runs the answer until it completes or is refused.
    pub(super) fn run(mut self) -> Result<CompletedAnswer, Refusal> {
        self.run_actions();
        while self.result.is_none() {
            let wakeup = self.wait();
            self.handle(wakeup);
            self.check_leaving();
            self.run_actions();
        }
        self.export_counters();
        match self.result.take() {
            Some(Ok(finish)) => Ok(self.completed(finish)),
            Some(Err(refusal)) => Err(refusal),
            None => {
                Err(Refusal::may_have_run(Code::Internal, "the answer ended without a verdict"))
            }
        }
    }

    fn feed(&mut self, input: Input) {
        self.machine.handle(Instant::now(), input, &mut self.actions);
    }

    fn wait(&self) -> Wakeup {
        if let Ok(report) = self.reports.try_recv() {
            return Wakeup::Report(report);
        }
        let deadline = self.machine.next_tick().min(self.next_check);
        let Some((epoch, items)) = &self.stream else {
            let report = self.reports.recv_deadline(deadline);
            return report.map_or(Wakeup::Timeout, Wakeup::Report);
        };
        if let Ok(item) = items.try_recv() {
            return Wakeup::Item(*epoch, item);
        }
        let item = |got: Result<StreamItem, RecvError>| {
            Wakeup::Item(*epoch, got.unwrap_or(StreamItem::Ended(Ok(()))))
        };
        let report = |got: Result<Report, RecvError>| got.map_or(Wakeup::Timeout, Wakeup::Report);
        Selector::new()
            .recv(items, item)
            .recv(&self.reports, report)
            .wait_deadline(deadline)
            .unwrap_or(Wakeup::Timeout)
    }

    fn handle(&mut self, wakeup: Wakeup) {
        match wakeup {
            Wakeup::Report(Report::Input(input)) => self.feed(input),
            Wakeup::Report(Report::Opened(epoch, items)) => {
                self.phase = tracing::info_span!(parent: &self.span, "prefill", epoch);
                self.stream = Some((epoch, items));
                self.feed(Input::Opened(epoch));
            }
            Wakeup::Item(epoch, item) => self.handle_item(epoch, item),
            Wakeup::Timeout => {}
        }
        self.feed(Input::Tick);
    }

    fn handle_item(&mut self, epoch: Epoch, item: StreamItem) {
        match item {
            StreamItem::Output(output) => self.feed(stream_input(output)),
            StreamItem::Ended(end) => {
                self.stream = None;
                let failure = end.err().map(|e| calls::failure(&e));
                self.feed(Input::Ended(epoch, failure));
            }
        }
    }

    fn check_leaving(&mut self) {
        let now = Instant::now();
        if now < self.next_check {
            return;
        }
        self.next_check = now + LEAVE_CHECK;
        let leaving =
            self.machine.stages().iter().map(|s| &s.target).find(|t| self.deps.router.leaving(t));
        if let Some(target) = leaving.cloned() {
            self.feed(Input::Leaving(target));
        }
    }

    /// Executes actions until none is left; an action may add new ones.
    fn run_actions(&mut self) {
        while !self.actions.is_empty() {
            let mut batch = mem::replace(&mut self.actions, mem::take(&mut self.spare_actions));
            for action in batch.drain(..) {
                self.run_action(action);
            }
            self.spare_actions = batch;
        }
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::Route { charge_budget: true, .. }
                if !self.deps.budgets.try_spend(&self.info.service) =>
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
                    Cancel { answer: self.info.request.clone(), epoch, keep_kv: keep_cache };
                self.calls.cancel(stage.addr, cancel);
            }
            Action::Probe { epoch, limit } => {
                self.calls.probe(epoch, self.machine.stages(), limit);
            }
            Action::Move { epoch, moves, limit } => {
                let tokens = (self.request.prompt.len() + self.machine.tokens().len()) as u32;
                let answer = self.info.request.clone();
                self.calls.move_caches(CacheMoves { answer, epoch, caches: moves, limit, tokens });
            }
            Action::Failed(target) => self.deps.router.failed(&target),
            Action::Log(what, text) => event!(what, "request={} {text}", self.info.request),
            Action::Finish(finish) => {
                self.deps.budgets.record_success(&self.info.service);
                self.result = Some(Ok(finish));
            }
            Action::Refuse(refusal) => self.result = Some(Err(refusal)),
        }
        if self.caller_left {
            self.result = self.result.take().map(|_| Err(caller_left()));
        }
    }

    fn route(&mut self, avoid: Vec<TargetId>, retry: bool) {
        let span = if retry {
            tracing::info_span!(parent: &self.span, "resume")
        } else {
            tracing::info_span!(parent: &self.span, "route")
        };
        let mut chain = span.in_scope(|| self.deps.router.chain(&self.chain_needs(avoid.clone())));
        if chain.is_err() && self.change_version() {
            chain = span.in_scope(|| self.deps.router.chain(&self.chain_needs(avoid)));
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

    /// Switches to the version that is served now, unless a token has been delivered already.
    fn change_version(&mut self) -> bool {
        let Some(version) = self.deps.router.version(&self.request.model) else { return false };
        let changed =
            version != self.request.version && self.machine.change_version(version.clone());
        if changed {
            self.request.version = version;
        }
        changed
    }

    fn chain_needs(&self, avoid: Vec<TargetId>) -> ChainNeeds {
        let done = self.machine.tokens().len() as u32;
        ChainNeeds {
            model: self.request.model.clone(),
            version: self.request.version.clone(),
            layers: self.request.layers,
            adapter: self.request.adapter.clone(),
            prefixes: self.prefixes.clone(),
            prompt: self.request.prompt.len() as u32 + done,
            expected: self.request.max_tokens.saturating_sub(done),
            avoid,
        }
    }

    fn open(&mut self, epoch: Epoch, warm: bool) {
        let route = self.machine.stages().to_vec();
        let names: Vec<&str> = route.iter().map(|s| s.target.as_str()).collect();
        let stages = names.join(">");
        self.phase = tracing::info_span!(parent: &self.span, "open", epoch, warm, stages);
        let addr = route[0].addr;
        self.meter.reset();
        let generate = Generate {
            answer: self.info.request.clone(),
            epoch,
            route,
            model: self.request.model.clone(),
            version: self.request.version.clone(),
            adapter: self.request.adapter.clone(),
            prompt: self.request.prompt.clone(),
            done: self.machine.tokens().to_vec(),
            warm,
            max_tokens: self.request.max_tokens,
            priority: self.info.priority,
            trace: self.request.trace.clone(),
        };
        self.calls.open(addr, generate, self.info.deadline);
    }

    fn deliver(&mut self, position: Position) {
        if self.caller_left {
            return;
        }
        if position == 0 {
            self.phase = tracing::info_span!(parent: &self.span, "decode");
        }
        let started = Instant::now();
        let text = &self.machine.tokens()[position as usize];
        if let Err(CallerLeft) = self.sink.token(position, text) {
            self.caller_left = true;
            return self.feed(Input::CallerLeft);
        }
        let now = Instant::now();
        if now - started > SLOW_DELIVERY {
            // Tokens buffered while the caller blocked say nothing about the chain's speed.
            self.machine.restart_timeout(now);
            self.meter.reset();
        } else if let Some(interval) = self.meter.record_token(now) {
            self.deps.router.record_step_time(self.machine.stages(), interval);
        }
    }

    fn completed(&self, finish: Finish) -> CompletedAnswer {
        let tokens = self.machine.tokens();
        CompletedAnswer {
            text: tokens.concat(),
            token_count: tokens.len() as u32,
            finish_reason: finish.reason,
            cached_tokens: finish.cached,
            reroutes: self.machine.counters().rerouted,
        }
    }

    fn export_counters(&self) {
        let counters = self.machine.counters();
        let dropped = [
            ("stale", counters.stale),
            ("crossed", counters.misrouted),
            ("duplicate", counters.duplicates),
        ];
        for (why, count) in dropped.into_iter().filter(|d| d.1 > 0) {
            metrics::counter!("roseshore_answer_dropped_total", "why" => why).increment(count);
        }
        if counters.rerouted > 0 {
            let reroutes = u64::from(counters.rerouted);
            metrics::counter!("roseshore_answer_resumed_total").increment(reroutes);
        }
    }
}

fn caller_left() -> Refusal {
    Refusal::may_have_run(Code::TargetLost, "the caller left before the answer was whole")
}

fn job(info: &RequestInfo, request: &AnswerRequest) -> Job {
    Job {
        answer: info.request.clone(),
        layers: request.layers,
        version: request.version.clone(),
        prompt: request.prompt.len() as u32,
        limit: request.max_tokens,
        deadline: info.deadline,
    }
}

fn stream_input(output: Output) -> Input {
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

/// Hashes of the prompt's prefixes with their lengths in tokens, computed like the hashes in the
/// engines' cache events.
fn prefix_hashes(prompt: &[String]) -> Vec<(u32, u64)> {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    let mut prefixes = Vec::with_capacity(prompt.len() / PREFIX_STEP + 1);
    for (at, token) in prompt.iter().enumerate() {
        hash.update(token.as_bytes());
        hash.update(&[0]);
        let count = at + 1;
        if count % PREFIX_STEP == 0 || count == prompt.len() {
            prefixes.push((count as u32, hash.digest()));
        }
    }
    prefixes
}
