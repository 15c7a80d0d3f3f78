//! What measurements of answers share: engines, a router, and a caller with a stopwatch.

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
/// Bytes that one token takes in the KV cache of one stage.
const KV_BYTES: u64 = 16 << 10;
/// Rate of the links for KV caches, bytes a second.
const LINK_RATE: f64 = 125e6;

/// Durations, shown as least, median, 95th in 100 and greatest.
#[derive(Default)]
pub struct Spread {
    all: Vec<Duration>,
}

impl Spread {
    /// Takes one.
    pub fn add(&mut self, one: Duration) {
        self.all.push(one);
    }

    /// Takes many.
    pub fn add_all(&mut self, many: &[Duration]) {
        self.all.extend(many);
    }
}

impl fmt::Display for Spread {
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

/// A fault of the first replica of a stage.
pub struct Fault {
    /// What it is called.
    pub name: &'static str,
    /// The stage.
    pub row: usize,
    /// The fault.
    pub change: fn(&mut EngineFaults),
}

/// Notes when tokens come.
pub struct Listener {
    began: Instant,
    times: Vec<Instant>,
    leave: Option<(usize, Arc<FirstFree>)>,
}

impl Default for Listener {
    fn default() -> Listener {
        Listener { began: Instant::now(), times: Vec::new(), leave: None }
    }
}

impl Listener {
    /// Time to the first token.
    ///
    /// # Panics
    /// When none came.
    pub fn first(&self) -> Duration {
        self.times[0] - self.began
    }

    /// A token came.
    pub fn hear(&mut self) {
        self.times.push(Instant::now());
        if let Some((at, router)) = &self.leave
            && self.times.len() == *at
        {
            router.seen.lock().leaving.insert("e10".to_owned());
        }
    }

    /// Times between tokens.
    pub fn gaps(&self) -> Vec<Duration> {
        self.times.windows(2).map(|pair| pair[1] - pair[0]).collect()
    }

    /// The longest time between two tokens.
    pub fn longest(&self) -> Duration {
        self.gaps().into_iter().max().unwrap_or_default()
    }
}

impl TokenSink for Listener {
    fn token(&mut self, _: Position, _: &str) -> Result<(), CallerLeft> {
        self.hear();
        Ok(())
    }
}

/// A router that takes the first replica that has not failed.
pub struct FirstFree {
    rows: Vec<Vec<Stage>>,
    first: Duration,
    seen: Mutex<Seen>,
}

#[derive(Default)]
struct Seen {
    failed: BTreeSet<TargetId>,
    leaving: BTreeSet<TargetId>,
}

impl Router for FirstFree {
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

/// Three stages with two replicas each.
pub struct Bed {
    engines: Vec<Vec<EngineFake>>,
    rate: f64,
    cached: bool,
}

impl Bed {
    /// Starts the engines, with or without prefix caches.
    ///
    /// # Panics
    /// When no port is free.
    pub fn new(step: Duration, rate: f64, cached: bool) -> Bed {
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
        Bed { engines, rate, cached }
    }

    /// Switches a fault on.
    pub fn strike(&self, fault: &Fault) {
        self.engines[fault.row][0].faults().change(fault.change);
    }

    /// Runs one answer.
    ///
    /// # Panics
    /// When it is not whole.
    pub fn run(&self, prompt: u32, tokens: u32) -> Listener {
        self.answer(prompt, tokens, None, None)
    }

    /// Runs one answer whose middle stage leaves, with or without its cache moved.
    ///
    /// # Panics
    /// When it is not whole.
    pub fn hand_over(&self, prompt: u32, tokens: u32, warm: bool) -> Listener {
        self.answer(prompt, tokens, Some(tokens as usize / 4), Some(warm))
    }

    fn answer(
        &self,
        prompt: u32,
        tokens: u32,
        leave: Option<usize>,
        warm: Option<bool>,
    ) -> Listener {
        let rows = self.engines.iter().map(|r| r.iter().map(EngineFake::stage).collect()).collect();
        // What the router predicts decides; a prediction out of all proportion forces a way.
        let first = match warm {
            Some(true) => Duration::from_hours(1),
            Some(false) => Duration::ZERO,
            None => {
                let stages = if self.cached { 1 } else { 3 };
                Duration::from_secs_f64(f64::from(prompt) / self.rate) * stages
            }
        };
        let router = Arc::new(FirstFree { rows, first, seen: Mutex::default() });
        let mut settings = AnswerSettings::default();
        if warm.is_some() {
            settings.timeouts.prefill = Duration::from_secs(20);
        }
        let engine = Arc::new(EngineClient::new());
        let parts =
            AnswerDeps { router: router.clone(), engine, budgets: Arc::default(), settings };
        let leave = leave.map(|at| (at, router));
        let mut listener = Listener { leave, ..Listener::default() };
        let whole = run_with(&parts, &ask(tokens), question(prompt, tokens), &mut listener);
        assert_eq!(whole.expect("a whole answer").token_count, tokens);
        listener
    }

    /// What the first replicas would be asked.
    pub fn generate(&self, prompt: u32, tokens: u32) -> Generate {
        let question = question(prompt, tokens);
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

fn ask(tokens: u32) -> RequestInfo {
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

fn question(prompt: u32, tokens: u32) -> AnswerRequest {
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

/// Time that the driver takes for `count` tokens that are there already.
///
/// # Panics
/// When the answer is not whole.
pub fn flood(count: u32) -> Duration {
    let stage = |(row, layers): (usize, (Layer, Layer))| Stage {
        target: format!("e{row}0"),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        layers,
        incarnation: 1,
    };
    let rows = RANGES.into_iter().enumerate().map(|s| vec![stage(s)]).collect();
    let first = Duration::from_secs(1);
    let router = Arc::new(FirstFree { rows, first, seen: Mutex::default() });
    let parts = AnswerDeps {
        router,
        engine: Arc::new(Flood),
        budgets: Arc::default(),
        settings: AnswerSettings::default(),
    };
    let mut listener = Listener::default();
    let whole = run_with(&parts, &ask(count), question(1, count), &mut listener);
    assert_eq!(whole.expect("a whole answer").token_count, count);
    let times = &listener.times;
    times[times.len() - 1] - times[0]
}

/// An engine in memory whose tokens are all there when the stream opens.
struct Flood;

impl Engine for Flood {
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
        Err(none())
    }

    fn cancel(&self, _: SocketAddr, _: &Cancel, _: Duration) -> CallResult<()> {
        Err(none())
    }

    fn export(&self, _: SocketAddr, _: &KvExport, _: Duration) -> CallResult<Kv> {
        Err(none())
    }

    fn import(&self, _: SocketAddr, _: &Kv, _: Duration) -> CallResult<()> {
        Err(none())
    }

    fn cache(&self, _: SocketAddr, _: u64, _: Duration) -> CallResult<CacheEvents> {
        Err(none())
    }

    fn order(&self, _: SocketAddr, _: &Order, _: Duration) -> CallResult<Holding> {
        Err(none())
    }
}

fn none() -> CallError {
    CallError::Lost("not part of this engine".to_owned())
}
