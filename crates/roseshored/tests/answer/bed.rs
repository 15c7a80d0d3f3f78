//! Test bed of the answer tests: three stages with three fake engines each, a router, and a caller.

use parking_lot::Mutex;
use roseshore_adapters::engine::EngineClient;
use roseshore_core::answer::AnswerSettings;
use roseshore_core::answer::timeout::TimeoutSettings;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::{EngineFake, EngineFaults, EngineSettings, text};
use roseshore_ports::inside::{Chain, ChainNeeds, Permit, Replica, RequestInfo, Router};
use roseshore_wire::engine::Stage;
use roseshored::answer::{
    AnswerDeps, AnswerRequest, CallerLeft, CompletedAnswer, TokenSink, run_with,
};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

const LAYER_RANGES: [(Layer, Layer); 3] = [(0, 4), (4, 8), (8, 12)];
pub(crate) const TOKENS: u32 = 12;
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A router that chooses the first target of each stage that has neither failed nor is leaving.
pub(crate) struct FirstUsable {
    stages: Vec<Vec<Stage>>,
    pub(crate) state: Mutex<RouterState>,
}

#[derive(Default)]
pub(crate) struct RouterState {
    pub(crate) failed: BTreeSet<TargetId>,
    pub(crate) leaving: BTreeSet<TargetId>,
    pub(crate) permits: Arc<Mutex<i32>>,
    /// The chains whose step time was recorded, newest last.
    pub(crate) timed: Vec<Vec<TargetId>>,
}

impl Router for FirstUsable {
    fn chain(&self, needs: &ChainNeeds) -> Result<(Chain, Permit), Refusal> {
        let state = self.state.lock();
        let usable = |s: &&Stage| {
            let lists = [&state.failed, &state.leaving];
            !needs.avoid.contains(&s.target) && !lists.iter().any(|l| l.contains(&s.target))
        };
        let pick = |targets: &Vec<Stage>| targets.iter().find(usable).cloned();
        let stages = self.stages.iter().map(pick).collect::<Option<Vec<_>>>();
        let stages = stages.ok_or_else(|| Refusal::not_run(Code::NoRoute, "no chain"))?;
        let count = state.permits.clone();
        *count.lock() += 1;
        let permit = Permit::new(move || *count.lock() -= 1);
        let first_token = Duration::from_millis(100);
        Ok((Chain { stages, first_token, token_interval: Duration::from_millis(2) }, permit))
    }

    fn replica(&self, _: &str, _: &[TargetId]) -> Result<(Replica, Permit), Refusal> {
        Err(Refusal::not_run(Code::NoRoute, "no replicas here"))
    }

    fn failed(&self, target: &TargetId) {
        self.state.lock().failed.insert(target.clone());
    }

    fn record_step_time(&self, stages: &[Stage], _: Duration) {
        let chain = stages.iter().map(|s| s.target.clone()).collect();
        self.state.lock().timed.push(chain);
    }

    fn record_latency(&self, _: &TargetId, _: Duration) {}

    fn leaving(&self, target: &TargetId) -> bool {
        self.state.lock().leaving.contains(target)
    }
}

pub(crate) struct TestBed {
    pub(crate) engines: Vec<Vec<EngineFake>>,
    pub(crate) router: Arc<FirstUsable>,
    deps: AnswerDeps,
    /// The next answer's id. Engines accept each id only once per epoch, so every answer needs its own.
    next_id: AtomicU32,
    /// A separate service per test bed, because retry budgets are kept by service.
    service: ServiceId,
}

impl TestBed {
    pub(crate) fn new(step: Duration) -> TestBed {
        let start = |stage: usize, replica: usize| {
            let name = format!("e{stage}{replica}");
            let mut settings = EngineSettings::holding(&name, "m", "v1", LAYER_RANGES[stage]);
            settings.step = step;
            EngineFake::start(settings).expect("a free port")
        };
        let engines: Vec<Vec<_>> =
            (0..3).map(|stage| (0..3).map(|at| start(stage, at)).collect()).collect();
        let stages = engines.iter().map(|r| r.iter().map(EngineFake::stage).collect()).collect();
        let router = Arc::new(FirstUsable { stages, state: Mutex::default() });
        let timeouts =
            TimeoutSettings { open: Duration::from_millis(800), ..TimeoutSettings::default() };
        let settings = AnswerSettings { timeouts, max_attempts: 6, ..AnswerSettings::default() };
        let engine = Arc::new(EngineClient::new());
        let deps = AnswerDeps { router: router.clone(), engine, budgets: Arc::default(), settings };
        let service = engines[0][0].addr().to_string();
        TestBed { service, engines, router, deps, next_id: AtomicU32::new(1) }
    }

    pub(crate) fn fault(
        &self,
        stage: usize,
        replica: usize,
        change: impl FnOnce(&mut EngineFaults),
    ) {
        self.engines[stage][replica].faults().change(change);
    }

    pub(crate) fn run(&self, caller: &mut Caller) -> Result<CompletedAnswer, Refusal> {
        let now = Instant::now();
        let info = RequestInfo {
            request: format!("r{}", self.next_id.fetch_add(1, Ordering::Relaxed)),
            organisation: "o".to_owned(),
            service: self.service.clone(),
            deadline: now + caller.time_limit,
            arrived: now,
            priority: 4,
            cost: TOKENS,
        };
        let result = run_with(&self.deps, &info, request(), caller);
        assert_eq!(*self.router.state.lock().permits.lock(), 0, "every permit must be released");
        result
    }

    /// Runs an answer that must complete; returns the number of re-routes.
    pub(crate) fn run_to_completion(&self, case: &str, caller: &mut Caller) -> u32 {
        let answer = self.run(caller).unwrap_or_else(|refusal| panic!("{case}: {refusal:?}"));
        assert_eq!(caller.tokens, expected(), "{case}");
        assert_eq!(answer.text, expected().concat(), "{case}");
        assert_eq!(
            (answer.token_count, answer.finish_reason.as_str()),
            (TOKENS, "length"),
            "{case}"
        );
        answer.reroutes
    }

    pub(crate) fn cancels(&self, replica: usize) -> Vec<u64> {
        self.engines.iter().map(|stage| stage[replica].stats().cancels).collect()
    }
}

fn request() -> AnswerRequest {
    AnswerRequest {
        model: "m".to_owned(),
        version: "v1".to_owned(),
        layers: 12,
        adapter: None,
        prompt: vec!["review".to_owned(), "plate".to_owned()],
        max_tokens: TOKENS,
        trace: None,
    }
}

pub(crate) fn expected() -> Vec<String> {
    text::expected("m", "v1", None, &request().prompt, TOKENS)
}

type Hook = Box<dyn FnMut(Position) -> Result<(), CallerLeft>>;

/// A caller that records the tokens it receives.
pub(crate) struct Caller {
    pub(crate) tokens: Vec<String>,
    pub(crate) time_limit: Duration,
    /// Called before each token is recorded.
    pub(crate) hook: Hook,
    /// The dispatch to refuse, counted from 0.
    pub(crate) deny: Option<u32>,
    pub(crate) dispatched: u32,
}

impl Caller {
    pub(crate) fn new() -> Caller {
        Caller::with(|_| Ok(()))
    }

    pub(crate) fn with(hook: impl FnMut(Position) -> Result<(), CallerLeft> + 'static) -> Caller {
        let hook = Box::new(hook);
        Caller { tokens: Vec::new(), time_limit: TEST_TIMEOUT, hook, deny: None, dispatched: 0 }
    }

    pub(crate) fn leaving_at(at: Position) -> Caller {
        Caller::with(move |position| if position == at { Err(CallerLeft) } else { Ok(()) })
    }
}

impl TokenSink for Caller {
    fn dispatch(&mut self) -> Result<(), Refusal> {
        if self.deny == Some(self.dispatched) {
            return Err(Refusal::not_run(Code::KeyInProgress, "denied"));
        }
        self.dispatched += 1;
        Ok(())
    }

    fn token(&mut self, position: Position, text: &str) -> Result<(), CallerLeft> {
        assert_eq!(position as usize, self.tokens.len(), "tokens must come in order, each once");
        (self.hook)(position)?;
        self.tokens.push(text.to_owned());
        Ok(())
    }
}
