//! In-memory parts of a daemon, a raw caller, and a fleet for both.

// Each test file includes this one and uses its own part of it.
#![allow(dead_code, unreachable_pub)]

use flume::{Receiver, Sender};
use parking_lot::{Condvar, Mutex};
use roseshore_core::fleet::TargetKind;
use roseshore_core::prelude::*;
use roseshore_ports::inside::*;
use roseshore_ports::outside::*;
use roseshore_wire::engine::*;
use roseshore_wire::service::{Missing, ServiceLoad};
use roseshored::Running;
use roseshored::app::{App, Drain};
use roseshored::settings::Settings;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

pub const PATIENCE: Duration = Duration::from_secs(20);

const FLEET: &str = r#"
[data_centres.a]
region = "r"
[models.m]
layers = 4
version = "v1"
adapters = ["tuned"]
[services.chat]
kind = "model"
model = "m"
[services.verdicts]
kind = "model"
model = "m"
idempotent = false
[services.advice]
kind = "model"
model = "m"
idempotent = false
advisory = true
[services.bulletins]
kind = "lookup"
sources = ["one"]
advisory = true
[services.cards]
kind = "lookup"
sources = ["one"]
[services.notes]
kind = "plain"
idempotent = false
[organisations.acme]
[targets.r1]
kind = "service"
host = "h"
data_centre = "a"
addr = "127.0.0.1:9"
serves = "bulletins/one"
[targets.t1]
kind = "engine"
host = "h"
data_centre = "a"
addr = "127.0.0.1:9"
model = "m"
layers = [0, 4]
"#;

/// What the engine does with each stream that is opened.
#[derive(Clone)]
pub enum Play {
    /// The test gives each item itself.
    By(Receiver<StreamItem>),
    /// So many tokens, then the end.
    Whole(u32),
    /// So many tokens, then silence and a cut.
    Cut(u32),
    Fail(CallError),
    Panic,
}

pub struct FakeEngine {
    pub play: Mutex<Play>,
    pub opened: Mutex<Vec<Generate>>,
}

pub fn token(ask: &Generate, position: Position) -> StreamItem {
    let lineage = ask.route.iter().map(|it| Stamp {
        target: it.target.clone(),
        incarnation: it.incarnation,
        layers: it.layers,
        epoch: ask.epoch,
        version: ask.version.clone(),
    });
    StreamItem::Output(Output::Token {
        answer: ask.answer.clone(),
        epoch: ask.epoch,
        position,
        text: format!("t{position} "),
        lineage: lineage.collect(),
    })
}

pub fn done(ask: &Generate, count: u32) -> StreamItem {
    let (answer, epoch) = (ask.answer.clone(), ask.epoch);
    StreamItem::Output(Output::Done { answer, epoch, count, reason: "stop".to_owned(), cached: 0 })
}

impl Engine for FakeEngine {
    fn load(&self, _: SocketAddr, _: Duration) -> CallResult<Load> {
        Err(CallError::Unreached("fake".to_owned()))
    }

    fn generate(
        &self,
        _: SocketAddr,
        ask: &Generate,
        _: Instant,
    ) -> CallResult<Receiver<StreamItem>> {
        self.opened.lock().push(ask.clone());
        let (give, take) = flume::unbounded();
        let tokens = |count| {
            for position in ask.done.len() as u32..count {
                let _ = give.send(token(ask, position));
            }
        };
        match self.play.lock().clone() {
            Play::By(items) => return Ok(items),
            Play::Whole(count) => {
                tokens(count);
                let _ = give.send(done(ask, count));
                let _ = give.send(StreamItem::Ended(Ok(())));
            }
            Play::Cut(count) => {
                tokens(count);
                let _ = give.send(StreamItem::Ended(Err(CallError::Lost("cut".to_owned()))));
            }
            Play::Fail(err) => return Err(err),
            Play::Panic => panic!("asked for by the test"),
        }
        Ok(take)
    }

    fn cancel(&self, _: SocketAddr, _: &Cancel, _: Duration) -> CallResult<()> {
        Ok(())
    }

    fn export(&self, _: SocketAddr, _: &KvExport, _: Duration) -> CallResult<Kv> {
        Err(CallError::Refused(404, None, String::new()))
    }

    fn import(&self, _: SocketAddr, _: &Kv, _: Duration) -> CallResult<()> {
        Err(CallError::Refused(409, None, String::new()))
    }

    fn cache(&self, _: SocketAddr, _: u64, _: Duration) -> CallResult<CacheEvents> {
        Err(CallError::Unreached("fake".to_owned()))
    }

    fn order(&self, _: SocketAddr, _: &Order, _: Duration) -> CallResult<Holding> {
        Err(CallError::Unreached("fake".to_owned()))
    }
}

/// How a key begins.
#[derive(Clone, Debug)]
pub enum Key1 {
    Win,
    /// Wins, but may not dispatch any more.
    Lapse,
    Settled(Outcome),
    /// Settled, but told after the deadline.
    Late(Outcome),
    Refuse(Refusal),
}

/// Records what was done with each claim.
pub struct FakeClaims {
    pub key: Mutex<Key1>,
    pub calls: Mutex<Vec<String>>,
}

impl Claims for FakeClaims {
    fn begin(&self, key: &Key, _digest: u64, deadline: Instant) -> ClaimResult {
        self.calls.lock().push(format!("begin {key}"));
        match self.key.lock().clone() {
            Key1::Win | Key1::Lapse => ClaimResult::Won(Claim { key: key.clone(), offset: 7 }),
            Key1::Settled(outcome) => ClaimResult::Settled(outcome),
            Key1::Late(outcome) => {
                while Instant::now() <= deadline {
                    std::thread::sleep(Duration::from_millis(1));
                }
                ClaimResult::Settled(outcome)
            }
            Key1::Refuse(refusal) => ClaimResult::Refused(refusal),
        }
    }

    fn dispatch(&self, _claim: &Claim) -> bool {
        self.calls.lock().push("dispatch".to_owned());
        !matches!(*self.key.lock(), Key1::Lapse)
    }

    fn settle(&self, _claim: &Claim, outcome: Outcome) {
        self.calls.lock().push(format!("settle {}", outcome.verdict.name()));
        if outcome.verdict == Verdict::Answered {
            *self.key.lock() = Key1::Settled(outcome);
        }
    }

    fn abandon(&self, _claim: &Claim) {
        self.calls.lock().push("abandon".to_owned());
    }
}

/// Admits everybody, or panics.
#[derive(Default)]
pub struct FakeAdmission {
    pub panics: Mutex<bool>,
}

impl AdmissionControl for FakeAdmission {
    fn admit(&self, _: &RequestInfo) -> Result<Permit, Refusal> {
        assert!(!*self.panics.lock(), "asked for by the test");
        Ok(Permit::new(|| {}))
    }
}

/// Keeps every end, and lets tests wait for one.
#[derive(Default)]
pub struct FakeLedger {
    ends: Mutex<Vec<RequestEnd>>,
    more: Condvar,
}

impl FakeLedger {
    pub fn wait(&self, count: usize) -> Vec<RequestEnd> {
        let mut ends = self.ends.lock();
        self.more.wait_while_for(&mut ends, |it| it.len() < count, PATIENCE);
        assert!(ends.len() >= count, "only {} requests ended", ends.len());
        ends.clone()
    }
}

impl Ledger for FakeLedger {
    fn begun(&self, _: &RequestInfo) {}

    fn ended(&self, end: &RequestEnd) {
        self.ends.lock().push(end.clone());
        self.more.notify_all();
    }
}

/// A fleet that never changes.
pub struct StaticFleets(Option<ActiveConfig>);

impl StaticFleets {
    pub fn new(fleet: Option<Fleet>) -> StaticFleets {
        let fleet = fleet.map(Arc::new);
        StaticFleets(fleet.map(|fleet| ActiveConfig { fleet, offset: 0, digest: 0 }))
    }
}

impl ConfigSource for StaticFleets {
    fn current(&self) -> Option<ActiveConfig> {
        self.0.clone()
    }
}

/// Takes the first declared targets that fit.
pub struct FirstFit {
    /// Panics in this and every later choice of a chain, counted from 0.
    pub panics_from: AtomicUsize,
    chosen: AtomicUsize,
    fleets: Arc<dyn ConfigSource>,
}

impl FirstFit {
    /// Chooses among the targets of a fleet.
    pub fn new(fleets: Arc<dyn ConfigSource>) -> FirstFit {
        FirstFit { panics_from: AtomicUsize::new(usize::MAX), chosen: AtomicUsize::new(0), fleets }
    }
}

fn no_route(text: String) -> Refusal {
    Refusal::not_run(Code::NoRoute, text)
}

impl Router for FirstFit {
    fn chain(&self, need: &ChainNeeds) -> Result<(Chain, Permit), Refusal> {
        let chosen = self.chosen.fetch_add(1, Ordering::SeqCst);
        assert!(chosen < self.panics_from.load(Ordering::SeqCst), "asked for by the test");
        let fleet = self.fleets.current().map(|it| it.fleet).unwrap_or_default();
        let mut stages: Vec<Stage> = Vec::new();
        let mut next = 0;
        while next < need.layers {
            let fits = |it: &(&TargetId, &Target)| {
                let begins = it.1.layers.is_some_and(|(from, to)| from == next && to > from);
                begins && it.1.model.as_ref() == Some(&need.model) && !need.avoid.contains(it.0)
            };
            let Some((id, target)) = fleet.targets.iter().find(fits) else {
                return Err(no_route(format!("no target holds layer {next} of `{}`", need.model)));
            };
            let layers = target.layers.unwrap_or((next, need.layers));
            stages.push(Stage { target: id.clone(), addr: target.addr, layers, incarnation: 0 });
            next = layers.1;
        }
        let none = Duration::ZERO;
        Ok((Chain { stages, first_token: none, token_interval: none }, Permit::new(|| {})))
    }

    fn replica(&self, serves: &str, avoid: &[TargetId]) -> Result<(Replica, Permit), Refusal> {
        let fleet = self.fleets.current().map(|it| it.fleet).unwrap_or_default();
        let fits = |it: &(&TargetId, &Target)| {
            let kind = it.1.kind == TargetKind::Service;
            kind && it.1.serves.as_deref() == Some(serves) && !avoid.contains(it.0)
        };
        let Some((id, target)) = fleet.targets.iter().find(fits) else {
            return Err(no_route(format!("no replica of `{serves}` is in use")));
        };
        Ok((Replica { target: id.clone(), addr: target.addr }, Permit::new(|| {})))
    }

    fn failed(&self, _target: &TargetId) {}

    fn record_latency(&self, _target: &TargetId, _took: Duration) {}
}

/// Targets that cannot be reached, except for one that holds nothing of the name `missing`.
pub struct Absent;

fn absent<T>() -> CallResult<T> {
    Err(CallError::Unreached("no adapter".to_owned()))
}

impl Services for Absent {
    fn lookup(
        &self,
        _addr: SocketAddr,
        source: &str,
        name: &str,
        _hop: &CallContext,
    ) -> CallResult<ServiceReply> {
        if name == "missing" {
            let (source, missing) = (source.to_owned(), name.to_owned());
            let body = serde_json::to_vec(&Missing { missing, source }).expect("plain data");
            let content = "application/json".to_owned();
            return Ok(ServiceReply { status: 404, content, body, replayed: false });
        }
        absent()
    }

    fn call(
        &self,
        _addr: SocketAddr,
        _service: &str,
        _body: &[u8],
        _key: Option<&str>,
        _hop: &CallContext,
    ) -> CallResult<ServiceReply> {
        absent()
    }

    fn load(&self, _addr: SocketAddr, _limit: Duration) -> CallResult<ServiceLoad> {
        absent()
    }
}
/// Knows of no other daemon.
pub struct Alone(Member);

impl Alone {
    pub fn new(settings: &Settings) -> Alone {
        Alone(Member {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            peer: settings.peer,
            incarnation: 0,
            state: MemberState::Alive,
            offset: 0,
            digest: 0,
        })
    }
}

impl Members for Alone {
    fn own(&self) -> Member {
        self.0.clone()
    }

    fn all(&self) -> Vec<Member> {
        vec![self.0.clone()]
    }

    fn ranked(&self, _: &str) -> Vec<Member> {
        vec![self.0.clone()]
    }

    fn leaving(&self, _: &HostId) -> bool {
        false
    }
}

/// A daemon in this process with its fakes.
pub struct Daemon {
    pub running: Running,
    pub addr: SocketAddr,
    pub engine: Arc<FakeEngine>,
    pub claims: Arc<FakeClaims>,
    pub admission: Arc<FakeAdmission>,
    pub router: Arc<FirstFit>,
    pub ledger: Arc<FakeLedger>,
    pub drain: Arc<Drain>,
}

pub fn settings(flags: &[&str]) -> Settings {
    let base = ["roseshored", "--host=h1", "--data-centre=a", "--listen=127.0.0.1:0"];
    let more = ["--log=127.0.0.1:9", "--peer=127.0.0.1:0", "--grace-ms=0", "--body-bytes=2048"];
    let all = base.iter().chain(&more).chain(flags).map(|it| (*it).to_owned());
    Settings::read(all).expect("settings of the test")
}

pub fn fleet() -> Fleet {
    toml::from_str(FLEET).expect("fleet of the test")
}

/// A daemon; its engine plays `Whole(3)` and its keys win until the test says otherwise.
pub fn daemon(flags: &[&str]) -> Daemon {
    daemon_with(flags, Some(fleet()))
}

pub fn daemon_with(flags: &[&str], fleet: Option<Fleet>) -> Daemon {
    let settings = settings(flags);
    let fleets = Arc::new(StaticFleets::new(fleet));
    let engine =
        Arc::new(FakeEngine { play: Mutex::new(Play::Whole(3)), opened: Mutex::default() });
    let claims = Arc::new(FakeClaims { key: Mutex::new(Key1::Win), calls: Mutex::default() });
    let admission = Arc::new(FakeAdmission::default());
    let ledger = Arc::new(FakeLedger::default());
    let drain = Arc::new(Drain::default());
    let router = Arc::new(FirstFit::new(fleets.clone()));
    let app = App {
        router: router.clone(),
        fleets,
        admission: admission.clone(),
        claims: claims.clone(),
        ledger: ledger.clone(),
        members: Arc::new(Alone::new(&settings)),
        engine: engine.clone(),
        services: Arc::new(Absent),
        budgets: Arc::default(),
        drain: drain.clone(),
    };
    let running = roseshored::start(&settings, app, None).expect("start");
    let addr = running.addr;
    Daemon { running, addr, engine, claims, admission, router, ledger, drain }
}

/// A stream of the engine that the test feeds.
pub fn by_hand(daemon: &Daemon) -> Sender<StreamItem> {
    let (give, take) = flume::unbounded();
    *daemon.engine.play.lock() = Play::By(take);
    give
}

/// The first stream that was opened, once it is.
pub fn opened(daemon: &Daemon) -> Generate {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(ask) = daemon.engine.opened.lock().first() {
            return ask.clone();
        }
        assert!(Instant::now() < end, "no stream was opened");
        std::thread::yield_now();
    }
}

/// A caller's connection.
pub struct Caller {
    input: BufReader<TcpStream>,
    chunked: bool,
}

/// A whole response.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Got {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|it| it.split_once(": "));
        lines.into_iter().find(|it| it.0 == name).map(|it| it.1)
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }

    /// `CODE verdict`, as the headers say.
    pub fn refusal(&self) -> String {
        let code = self.header("x-code").unwrap_or("-");
        format!("{code} {}", self.header("x-verdict").unwrap_or("-"))
    }
}

impl Caller {
    pub fn new(addr: SocketAddr) -> Caller {
        let stream = TcpStream::connect(addr).expect("connect");
        stream.set_read_timeout(Some(PATIENCE)).expect("timeout");
        Caller { input: BufReader::new(stream), chunked: false }
    }

    pub fn send(&mut self, text: &str) {
        self.input.get_mut().write_all(text.as_bytes()).expect("send");
    }

    pub fn post(&mut self, path: &str, headers: &str, body: &str) {
        let len = body.len();
        let head = "host: a\r\nx-organisation: acme\r\n";
        self.send(&format!(
            "POST {path} HTTP/1.1\r\n{head}content-length: {len}\r\n{headers}\r\n{body}"
        ));
    }

    pub fn get(&mut self, path: &str) -> Got {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: a\r\nx-organisation: acme\r\n\r\n"));
        self.response()
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.input.read_line(&mut line).expect("a line in time");
        line
    }

    pub fn head(&mut self) -> Got {
        let mut head = String::new();
        loop {
            let line = self.line();
            if line.trim().is_empty() {
                break;
            }
            head += &line.replace('\r', "");
        }
        self.chunked = head.contains("transfer-encoding: chunked");
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        Got { status, head, body: String::new() }
    }

    /// The next chunk; empty at the end.
    pub fn chunk(&mut self) -> String {
        assert!(self.chunked, "the body has no chunks");
        let len = usize::from_str_radix(self.line().trim(), 16).expect("a chunk's length");
        let mut bytes = vec![0; len + 2];
        self.input.read_exact(&mut bytes).expect("a whole chunk");
        String::from_utf8(bytes[..len].to_vec()).expect("text")
    }

    pub fn response(&mut self) -> Got {
        let got = self.head();
        self.rest(got)
    }

    /// The body that is left after `got`, the head.
    pub fn rest(&mut self, mut got: Got) -> Got {
        let len = got.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        if self.chunked {
            loop {
                let chunk = self.chunk();
                if chunk.is_empty() {
                    break;
                }
                got.body += &chunk;
            }
        } else {
            let mut bytes = vec![0; len];
            self.input.read_exact(&mut bytes).expect("a whole body");
            got.body = String::from_utf8(bytes).expect("text");
        }
        got
    }

    /// Whether the daemon has closed the connection and sent nothing more.
    pub fn closed(&mut self) -> bool {
        matches!(self.input.read(&mut [0]), Ok(0))
    }
}

/// One request on its own connection.
pub fn post(addr: SocketAddr, path: &str, headers: &str, body: &str) -> Got {
    let mut caller = Caller::new(addr);
    caller.post(path, headers, body);
    caller.response()
}

pub const CHAT: &str = "/v1/chat/completions";
pub const TEXT: &str = "/v1/completions";

pub fn chat(model: &str, stream: bool) -> String {
    let messages = r#"[{"role":"user","content":"hello there"}]"#;
    format!(r#"{{"model":"{model}","messages":{messages},"stream":{stream}}}"#)
}
