//! Three stages with three stand-in engines each, a router, and a caller.

use parking_lot::Mutex;
use roseshore_adapters::engine::EngineClient;
use roseshore_core::answer::AnswerSettings;
use roseshore_core::answer::timeout::TimeoutSettings;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::{EngineFake, EngineFaults, EngineSettings, text};
use roseshore_ports::inside::{Chain, ChainNeeds, Permit, Replica, RequestInfo, Router};
use roseshore_wire::engine::Stage;
use roseshored::answer::{AnswerDeps, AnswerRequest, CallerLeft, CompletedAnswer, Sink, run_with};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

const RANGES: [(Layer, Layer); 3] = [(0, 4), (4, 8), (8, 12)];
pub(crate) const TOKENS: u32 = 12;
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// A router that knows only the failures it was told of.
pub(crate) struct FirstFree {
    rows: Vec<Vec<Stage>>,
    pub(crate) seen: Mutex<Seen>,
}

#[derive(Default)]
pub(crate) struct Seen {
    pub(crate) failed: BTreeSet<TargetId>,
    pub(crate) leaving: BTreeSet<TargetId>,
    pub(crate) permits: Arc<Mutex<i32>>,
    /// The chains whose pace was told, newest last.
    pub(crate) paced: Vec<Vec<TargetId>>,
}

impl Router for FirstFree {
    fn chain(&self, need: &ChainNeeds) -> Result<(Chain, Permit), Refusal> {
        let seen = self.seen.lock();
        let free = |s: &&Stage| {
            let lists = [&seen.failed, &seen.leaving];
            !need.avoid.contains(&s.target) && !lists.iter().any(|l| l.contains(&s.target))
        };
        let pick = |row: &Vec<Stage>| row.iter().find(free).cloned();
        let stages = self.rows.iter().map(pick).collect::<Option<Vec<_>>>();
        let stages = stages.ok_or_else(|| Refusal::not_run(Code::NoRoute, "no chain"))?;
        let count = seen.permits.clone();
        *count.lock() += 1;
        let permit = Permit::new(move || *count.lock() -= 1);
        let first_token = Duration::from_millis(100);
        Ok((Chain { stages, first_token, token_interval: Duration::from_millis(2) }, permit))
    }

    fn replica(&self, _: &str, _: &[TargetId]) -> Result<(Replica, Permit), Refusal> {
        Err(Refusal::not_run(Code::NoRoute, "no replicas here"))
    }

    fn failed(&self, target: &TargetId) {
        self.seen.lock().failed.insert(target.clone());
    }

    fn record_step_time(&self, stages: &[Stage], _: Duration) {
        let chain = stages.iter().map(|s| s.target.clone()).collect();
        self.seen.lock().paced.push(chain);
    }

    fn record_latency(&self, _: &TargetId, _: Duration) {}

    fn leaving(&self, target: &TargetId) -> bool {
        self.seen.lock().leaving.contains(target)
    }
}

pub(crate) struct Bed {
    pub(crate) engines: Vec<Vec<EngineFake>>,
    pub(crate) router: Arc<FirstFree>,
    parts: AnswerDeps,
    /// Engines take an answer's id once for each epoch, so every answer has its own.
    asked: AtomicU32,
    /// One for each bed, for retry budgets are kept by service.
    service: ServiceId,
}

impl Bed {
    pub(crate) fn new(step: Duration) -> Bed {
        let start = |row: usize, at: usize| {
            let name = format!("e{row}{at}");
            let mut settings = EngineSettings::holding(&name, "m", "v1", RANGES[row]);
            settings.step = step;
            EngineFake::start(settings).expect("a free port")
        };
        let engines: Vec<Vec<_>> =
            (0..3).map(|row| (0..3).map(|at| start(row, at)).collect()).collect();
        let rows = engines.iter().map(|r| r.iter().map(EngineFake::stage).collect()).collect();
        let router = Arc::new(FirstFree { rows, seen: Mutex::default() });
        let timeouts =
            TimeoutSettings { open: Duration::from_millis(800), ..TimeoutSettings::default() };
        let rules = AnswerSettings { timeouts, max_attempts: 6, ..AnswerSettings::default() };
        let engine = Arc::new(EngineClient::new());
        let parts = AnswerDeps { router: router.clone(), engine, budgets: Arc::default(), rules };
        let service = engines[0][0].addr().to_string();
        Bed { service, engines, router, parts, asked: AtomicU32::new(1) }
    }

    pub(crate) fn fault(&self, row: usize, at: usize, change: impl FnOnce(&mut EngineFaults)) {
        self.engines[row][at].faults().change(change);
    }

    pub(crate) fn run(&self, caller: &mut Caller) -> Result<CompletedAnswer, Refusal> {
        let now = Instant::now();
        let ask = RequestInfo {
            request: format!("r{}", self.asked.fetch_add(1, Ordering::Relaxed)),
            organisation: "o".to_owned(),
            service: self.service.clone(),
            deadline: now + caller.patience,
            arrived: now,
            priority: 4,
            cost: TOKENS,
        };
        let got = run_with(&self.parts, &ask, question(), caller);
        assert_eq!(*self.router.seen.lock().permits.lock(), 0, "every place is given back");
        got
    }

    /// Runs an answer that must be whole; the re-routes it took.
    pub(crate) fn run_whole(&self, case: &str, caller: &mut Caller) -> u32 {
        let whole = self.run(caller).unwrap_or_else(|refusal| panic!("{case}: {refusal:?}"));
        assert_eq!(caller.tokens, expected(), "{case}");
        assert_eq!(whole.text, expected().concat(), "{case}");
        assert_eq!((whole.count, whole.reason.as_str()), (TOKENS, "length"), "{case}");
        whole.resumed
    }

    pub(crate) fn cancels(&self, at: usize) -> Vec<u64> {
        self.engines.iter().map(|row| row[at].stats().cancels).collect()
    }
}

fn question() -> AnswerRequest {
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
    text::expected("m", "v1", None, &question().prompt, TOKENS)
}

type Hook = Box<dyn FnMut(Position) -> Result<(), CallerLeft>>;

/// A caller that writes down what it gets.
pub(crate) struct Caller {
    pub(crate) tokens: Vec<String>,
    pub(crate) patience: Duration,
    /// Called before each token is taken.
    pub(crate) hook: Hook,
    /// The dispatch that is denied, counted from 0.
    pub(crate) deny: Option<u32>,
    pub(crate) dispatched: u32,
}

impl Caller {
    pub(crate) fn new() -> Caller {
        Caller::with(|_| Ok(()))
    }

    pub(crate) fn with(hook: impl FnMut(Position) -> Result<(), CallerLeft> + 'static) -> Caller {
        let hook = Box::new(hook);
        Caller { tokens: Vec::new(), patience: PATIENCE, hook, deny: None, dispatched: 0 }
    }

    pub(crate) fn leaving_at(at: Position) -> Caller {
        Caller::with(move |position| if position == at { Err(CallerLeft) } else { Ok(()) })
    }
}

impl Sink for Caller {
    fn dispatch(&mut self) -> Result<(), Refusal> {
        if self.deny == Some(self.dispatched) {
            return Err(Refusal::not_run(Code::KeyInProgress, "denied"));
        }
        self.dispatched += 1;
        Ok(())
    }

    fn token(&mut self, position: Position, text: &str) -> Result<(), CallerLeft> {
        assert_eq!(position as usize, self.tokens.len(), "in order, each once");
        (self.hook)(position)?;
        self.tokens.push(text.to_owned());
        Ok(())
    }
}
