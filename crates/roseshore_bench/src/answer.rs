//! Shared parts of the answer measurements: simulated engines, a router, and a token timer.

use parking_lot::Mutex;
use roseshore_adapters::engine::EngineClient;
use roseshore_core::answer::AnswerSettings;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::{EngineFake, EngineFaults, EngineSettings};
use roseshore_ports::inside::{Chain, ChainNeeds, Permit, Replica, RequestInfo, Router};
use roseshore_ports::outside::{CallError, CallResult, Engine, StreamItem};
use roseshore_wire::engine::{
    CacheEvents, Cancel, Generate, Holding, Kv, KvExport, Load, Order, Output, Stage, Stamp,
};
use roseshored::answer::{AnswerDeps, AnswerRequest, CallerLeft, TokenSink, run_with};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

const RANGES: [(Layer, Layer); 3] = [(0, 4), (4, 8), (8, 12)];
/// KV cache size per token and stage, bytes.
const KV_BYTES: u64 = 16 << 10;
/// Rate at which KV caches are transferred, bytes per second.
const LINK_RATE: f64 = 125e6;

/// Duration samples, printed as minimum, median, 95th percentile and maximum.
#[derive(Default)]
pub struct DurationStats {
    all: Vec<Duration>,
}

impl DurationStats {
    /// Adds one sample.
    pub fn add(&mut self, one: Duration) {
        self.all.push(one);
    }

    /// Adds several samples.
    pub fn add_all(&mut self, many: &[Duration]) {
        self.all.extend(many);
    }
}

impl fmt::Display for DurationStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut all = self.all.clone();
        all.sort();
        let at = |part: f64| {
            let index = (part * (all.len().saturating_sub(1)) as f64).round() as usize;
            all.get(index).copied().unwrap_or_default().as_secs_f64() * 1e3
        };
        let (least, median, late, most) = (at(0.0), at(0.5), at(0.95), at(1.0));
        write!(f, "min {least:8.3} median {median:8.3} p95 {late:8.3} max {most:8.3} ms")?;
        write!(f, " ({} samples)", all.len())
    }
}

/// A fault to inject into the first replica of a stage.
pub struct Fault {
    /// Label in the printed table.
    pub name: &'static str,
    /// Index of the stage.
    pub stage: usize,
    /// Sets the fault.
    pub change: fn(&mut EngineFaults),
}

/// Records the arrival times of an answer's tokens; optionally marks the middle stage's first
/// replica as leaving after a number of tokens.
pub struct TokenTimer {
    began: Instant,
    times: Vec<Instant>,
    leave: Option<(usize, Arc<FirstHealthy>)>,
}

impl Default for TokenTimer {
    fn default() -> TokenTimer {
        TokenTimer { began: Instant::now(), times: Vec::new(), leave: None }
    }
}

impl TokenTimer {
    /// Time from creation to the first token.
    ///
    /// # Panics
    /// If no token has arrived.
    pub fn first(&self) -> Duration {
        self.times[0] - self.began
    }

    /// Records the arrival of a token.
    pub fn record(&mut self) {
        self.times.push(Instant::now());
        if let Some((at, router)) = &self.leave
            && self.times.len() == *at
        {
            router.seen.lock().leaving.insert("e10".to_owned());
        }
    }

    /// Intervals between consecutive tokens.
    pub fn gaps(&self) -> Vec<Duration> {
        self.times.windows(2).map(|pair| pair[1] - pair[0]).collect()
    }

    /// The longest interval between two tokens; zero with fewer than two.
    pub fn longest(&self) -> Duration {
        self.gaps().into_iter().max().unwrap_or_default()
    }
}

impl TokenSink for TokenTimer {
    fn token(&mut self, _: Position, _: &str) -> Result<(), CallerLeft> {
        self.record();
        Ok(())
    }
}

/// A router that chooses, for each stage, the first replica that has neither failed nor started to
/// leave.
pub struct FirstHealthy {
    rows: Vec<Vec<Stage>>,
    first: Duration,
    seen: Mutex<TargetStates>,
}

#[derive(Default)]
struct TargetStates {
    failed: BTreeSet<TargetId>,
    leaving: BTreeSet<TargetId>,
}

impl Router for FirstHealthy {
    fn chain(&self, need: &ChainNeeds) -> Result<(Chain, Permit), Refusal> {
        let seen = self.seen.lock();
        let out = |t: &TargetId| {
            need.avoid.contains(t) || seen.failed.contains(t) || seen.leaving.contains(t)
        };
        let pick = |row: &Vec<Stage>| row.iter().find(|s| !out(&s.target)).cloned();
        let stages = self.rows.iter().map(pick).collect::<Option<Vec<_>>>();
        let stages = stages.ok_or_else(|| Refusal::not_run(Code::NoRoute, "no chain"))?;
        let token_interval = Duration::from_millis(6);
        Ok((Chain { stages, first_token: self.first, token_interval }, Permit::new(|| ())))
    }

    fn replica(&self, _: &str, _: &[TargetId]) -> Result<(Replica, Permit), Refusal> {
        Err(Refusal::not_run(Code::NoRoute, "no replicas here"))
    }

    fn failed(&self, target: &TargetId) {
        self.seen.lock().failed.insert(target.clone());
    }

    fn record_latency(&self, _: &TargetId, _: Duration) {}

    fn leaving(&self, target: &TargetId) -> bool {
        self.seen.lock().leaving.contains(target)
    }
}

/// Simulated engines: three stages with two replicas each.
pub struct TestBed {
    engines: Vec<Vec<EngineFake>>,
    rate: f64,
    cached: bool,
}

impl TestBed {
    /// Starts the engines, with or without prefix caches. `rate` is their prefill rate, tokens per
    /// second.
    ///
    /// # Panics
    /// If no port is free.
    pub fn new(step: Duration, rate: f64, cached: bool) -> TestBed {
        let start = |row: usize, at: usize| {
            let name = format!("e{row}{at}");
            let mut settings = EngineSettings::holding(&name, "m", "v1", RANGES[row]);
            settings.step = step;
            settings.prefill_rate = rate;
            settings.kv_bytes = KV_BYTES;
            settings.link_rate = LINK_RATE;
            if !cached {
                settings.cache_cap = 0;
            }
            EngineFake::start(settings).expect("a free port")
        };
        let engines = (0..3).map(|row| (0..2).map(|at| start(row, at)).collect()).collect();
        TestBed { engines, rate, cached }
    }

    /// Injects a fault.
    pub fn inject(&self, fault: &Fault) {
        self.engines[fault.stage][0].faults().change(fault.change);
    }

    /// Generates one answer through the driver.
    ///
    /// # Panics
    /// If the answer is incomplete.
    pub fn run(&self, prompt: u32, tokens: u32) -> TokenTimer {
        self.answer(prompt, tokens, None, None)
    }

    /// Generates one answer during which the middle stage hands over to its second replica, either by
    /// moving the KV cache (`warm`) or by a new prefill.
    ///
    /// # Panics
    /// If the answer is incomplete.
    pub fn hand_over(&self, prompt: u32, tokens: u32, warm: bool) -> TokenTimer {
        self.answer(prompt, tokens, Some(tokens as usize / 4), Some(warm))
    }

    fn answer(
        &self,
        prompt: u32,
        tokens: u32,
        leave: Option<usize>,
        warm: Option<bool>,
    ) -> TokenTimer {
        let rows = self.engines.iter().map(|r| r.iter().map(EngineFake::stage).collect()).collect();
        // The driver compares the predicted time to the first token with the time to move the cache,
        // so an extreme prediction forces one of the two.
        let first = match warm {
            Some(true) => Duration::from_hours(1),
            Some(false) => Duration::ZERO,
            None => {
                let stages = if self.cached { 1 } else { 3 };
                Duration::from_secs_f64(f64::from(prompt) / self.rate) * stages
            }
        };
        let router = Arc::new(FirstHealthy { rows, first, seen: Mutex::default() });
        let mut settings = AnswerSettings::default();
        if warm.is_some() {
            settings.timeouts.prefill = Duration::from_secs(20);
        }
        let engine = Arc::new(EngineClient::new());
        let parts =
            AnswerDeps { router: router.clone(), engine, budgets: Arc::default(), settings };
        let leave = leave.map(|at| (at, router));
        let mut timer = TokenTimer { leave, ..TokenTimer::default() };
        let whole =
            run_with(&parts, &request_info(tokens), answer_request(prompt, tokens), &mut timer);
        assert_eq!(whole.expect("a whole answer").token_count, tokens);
        timer
    }

    /// The request for an answer from the first replica of each stage, to be sent without the driver.
    pub fn generate(&self, prompt: u32, tokens: u32) -> Generate {
        let question = answer_request(prompt, tokens);
        Generate {
            answer: format!("direct{}", rand::random::<u64>()),
            epoch: 1,
            route: self.engines.iter().map(|row| row[0].stage()).collect(),
            model: question.model,
            version: question.version,
            adapter: None,
            prompt: question.prompt,
            done: Vec::new(),
            warm: false,
            max_tokens: tokens,
            priority: 4,
            trace: None,
        }
    }
}

fn request_info(tokens: u32) -> RequestInfo {
    let now = Instant::now();
    RequestInfo {
        request: format!("r{}", rand::random::<u64>()),
        organisation: "o".to_owned(),
        service: "s".to_owned(),
        deadline: now + Duration::from_mins(1),
        arrived: now,
        priority: 4,
        cost: tokens,
    }
}

fn answer_request(prompt: u32, tokens: u32) -> AnswerRequest {
    AnswerRequest {
        model: "m".to_owned(),
        version: "v1".to_owned(),
        layers: 12,
        adapter: None,
        prompt: (0..prompt).map(|i| format!("p{i}")).collect(),
        max_tokens: tokens,
        trace: None,
    }
}

/// Time that the driver needs to process `count` tokens that are all available at once.
///
/// # Panics
/// If the answer is incomplete.
pub fn driver_time(count: u32) -> Duration {
    let stage = |(row, layers): (usize, (Layer, Layer))| Stage {
        target: format!("e{row}0"),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        layers,
        incarnation: 1,
    };
    let rows = RANGES.into_iter().enumerate().map(|s| vec![stage(s)]).collect();
    let first = Duration::from_secs(1);
    let router = Arc::new(FirstHealthy { rows, first, seen: Mutex::default() });
    let parts = AnswerDeps {
        router,
        engine: Arc::new(InstantEngine),
        budgets: Arc::default(),
        settings: AnswerSettings::default(),
    };
    let mut timer = TokenTimer::default();
    let whole = run_with(&parts, &request_info(count), answer_request(1, count), &mut timer);
    assert_eq!(whole.expect("a whole answer").token_count, count);
    let arrivals = &timer.times;
    arrivals[arrivals.len() - 1] - arrivals[0]
}

/// An in-memory engine that queues all tokens before it returns the stream.
struct InstantEngine;

impl Engine for InstantEngine {
    fn generate(
        &self,
        _: SocketAddr,
        ask: &Generate,
        _: Instant,
    ) -> CallResult<flume::Receiver<StreamItem>> {
        let (sender, items) = flume::unbounded();
        let stamp = |stage: &Stage| Stamp {
            target: stage.target.clone(),
            incarnation: stage.incarnation,
            layers: stage.layers,
            epoch: ask.epoch,
            version: ask.version.clone(),
        };
        let (answer, epoch, count) = (&ask.answer, ask.epoch, ask.max_tokens);
        for position in 0..count {
            let lineage = ask.route.iter().map(stamp).collect();
            let (answer, text) = (answer.clone(), "word".to_owned());
            let token = Output::Token { answer, epoch, position, text, lineage };
            let _ = sender.send(StreamItem::Output(token));
        }
        let (answer, reason) = (answer.clone(), "length".to_owned());
        let done = Output::Done { answer, epoch, count, reason, cached: 0 };
        let _ = sender.send(StreamItem::Output(done));
        Ok(items)
    }

    fn load(&self, _: SocketAddr, _: Duration) -> CallResult<Load> {
        Err(unsupported())
    }

    fn cancel(&self, _: SocketAddr, _: &Cancel, _: Duration) -> CallResult<()> {
        Err(unsupported())
    }

    fn export(&self, _: SocketAddr, _: &KvExport, _: Duration) -> CallResult<Kv> {
        Err(unsupported())
    }

    fn import(&self, _: SocketAddr, _: &Kv, _: Duration) -> CallResult<()> {
        Err(unsupported())
    }

    fn cache(&self, _: SocketAddr, _: u64, _: Duration) -> CallResult<CacheEvents> {
        Err(unsupported())
    }

    fn order(&self, _: SocketAddr, _: &Order, _: Duration) -> CallResult<Holding> {
        Err(unsupported())
    }
}

fn unsupported() -> CallError {
    CallError::Lost("not part of this engine".to_owned())
}
