//! In-memory fakes of a daemon's components, an HTTP client on a raw socket, and a test configuration.

// Each test file includes this module and uses a part of it.
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

pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

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

/// How the engine responds to each stream that is opened.
#[derive(Clone)]
pub enum EngineScript {
    /// The test sends each item.
    Manual(Receiver<StreamItem>),
    /// This many tokens, then the end.
    Complete(u32),
    /// This many tokens, then a lost connection.
    Cut(u32),
    Fail(CallError),
    Panic,
}

pub struct FakeEngine {
    pub script: Mutex<EngineScript>,
    pub opened: Mutex<Vec<Generate>>,
}

pub fn token(request: &Generate, position: Position) -> StreamItem {
    let lineage = request.route.iter().map(|it| Stamp {
        target: it.target.clone(),
        incarnation: it.incarnation,
        layers: it.layers,
        epoch: request.epoch,
        version: request.version.clone(),
    });
    StreamItem::Output(Output::Token {
        answer: request.answer.clone(),
        epoch: request.epoch,
        position,
        text: format!("t{position} "),
        lineage: lineage.collect(),
    })
}

pub fn done(request: &Generate, count: u32) -> StreamItem {
    let (answer, epoch) = (request.answer.clone(), request.epoch);
    StreamItem::Output(Output::Done { answer, epoch, count, reason: "stop".to_owned(), cached: 0 })
}

impl Engine for FakeEngine {
    fn load(&self, _: SocketAddr, _: Duration) -> CallResult<Load> {
        Err(CallError::Unreached("fake".to_owned()))
    }

    fn generate(
        &self,
        _: SocketAddr,
        request: &Generate,
        _: Instant,
    ) -> CallResult<Receiver<StreamItem>> {
        self.opened.lock().push(request.clone());
        let (sender, items) = flume::unbounded();
        let tokens = |count| {
            for position in request.done.len() as u32..count {
                let _ = sender.send(token(request, position));
            }
        };
        match self.script.lock().clone() {
            EngineScript::Manual(items) => return Ok(items),
            EngineScript::Complete(count) => {
                tokens(count);
                let _ = sender.send(done(request, count));
                let _ = sender.send(StreamItem::Ended(Ok(())));
            }
            EngineScript::Cut(count) => {
                tokens(count);
                let _ = sender.send(StreamItem::Ended(Err(CallError::Lost("cut".to_owned()))));
            }
            EngineScript::Fail(err) => return Err(err),
            EngineScript::Panic => panic!("requested by the test"),
        }
        Ok(items)
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

/// The result of claiming a key.
#[derive(Clone, Debug)]
pub enum KeyState {
    Win,
    /// Won, but the dispatch is refused.
    Lapse,
    Settled(Outcome),
    /// Settled, but reported only after the deadline.
    Late(Outcome),
    Refuse(Refusal),
}

/// Records the calls on claims, and keeps an answer as the key's outcome.
pub struct FakeClaims {
    pub key: Mutex<KeyState>,
    pub calls: Mutex<Vec<String>>,
}

impl Claims for FakeClaims {
    fn begin(&self, key: &Key, _digest: u64, deadline: Instant) -> ClaimResult {
        self.calls.lock().push(format!("begin {key}"));
        match self.key.lock().clone() {
            KeyState::Win | KeyState::Lapse => {
                ClaimResult::Won(Claim { key: key.clone(), offset: 7 })
            }
            KeyState::Settled(outcome) => ClaimResult::Settled(outcome),
            KeyState::Late(outcome) => {
                while Instant::now() <= deadline {
                    std::thread::sleep(Duration::from_millis(1));
                }
                ClaimResult::Settled(outcome)
            }
            KeyState::Refuse(refusal) => ClaimResult::Refused(refusal),
        }
    }

    fn dispatch(&self, _claim: &Claim) -> bool {
        self.calls.lock().push("dispatch".to_owned());
        !matches!(*self.key.lock(), KeyState::Lapse)
    }

    fn settle(&self, _claim: &Claim, outcome: Outcome) {
        self.calls.lock().push(format!("settle {}", outcome.verdict.name()));
        if outcome.verdict == Verdict::Answered {
            *self.key.lock() = KeyState::Settled(outcome);
        }
    }

    fn abandon(&self, _claim: &Claim) {
        self.calls.lock().push("abandon".to_owned());
    }
}

/// Admits every request, or panics.
#[derive(Default)]
pub struct FakeAdmission {
    pub panics: Mutex<bool>,
}

impl AdmissionControl for FakeAdmission {
    fn admit(&self, _: &RequestInfo) -> Result<Permit, Refusal> {
        assert!(!*self.panics.lock(), "requested by the test");
        Ok(Permit::new(|| {}))
    }
}

/// Records the end of each request; tests can wait for a number of them.
#[derive(Default)]
pub struct FakeLedger {
    ends: Mutex<Vec<RequestEnd>>,
    added: Condvar,
}

impl FakeLedger {
    pub fn wait(&self, count: usize) -> Vec<RequestEnd> {
        let mut ends = self.ends.lock();
        self.added.wait_while_for(&mut ends, |it| it.len() < count, TEST_TIMEOUT);
        assert!(ends.len() >= count, "only {} requests ended", ends.len());
        ends.clone()
    }
}

impl Ledger for FakeLedger {
    fn begun(&self, _: &RequestInfo) {}

    fn ended(&self, end: &RequestEnd) {
        self.ends.lock().push(end.clone());
        self.added.notify_all();
    }
}

/// A configuration that never changes.
pub struct StaticConfig(Option<ActiveConfig>);

impl StaticConfig {
    pub fn new(fleet: Option<Fleet>) -> StaticConfig {
        let fleet = fleet.map(Arc::new);
        StaticConfig(fleet.map(|fleet| ActiveConfig { fleet, offset: 0, digest: 0 }))
    }
}

impl ConfigSource for StaticConfig {
    fn current(&self) -> Option<ActiveConfig> {
        self.0.clone()
    }
}

/// Chooses the first declared targets that fit.
pub struct FirstFitRouter {
    /// Panics in this and every later choice of a chain, counted from 0.
    pub panics_from: AtomicUsize,
    choices: AtomicUsize,
    fleets: Arc<dyn ConfigSource>,
}

impl FirstFitRouter {
    /// Creates a router over the targets of a configuration.
    pub fn new(fleets: Arc<dyn ConfigSource>) -> FirstFitRouter {
        FirstFitRouter {
            panics_from: AtomicUsize::new(usize::MAX),
            choices: AtomicUsize::new(0),
            fleets,
        }
    }
}

fn no_route(text: String) -> Refusal {
    Refusal::not_run(Code::NoRoute, text)
}

impl Router for FirstFitRouter {
    fn chain(&self, needs: &ChainNeeds) -> Result<(Chain, Permit), Refusal> {
        let choice = self.choices.fetch_add(1, Ordering::SeqCst);
        assert!(choice < self.panics_from.load(Ordering::SeqCst), "requested by the test");
        let fleet = self.fleets.current().map(|it| it.fleet).unwrap_or_default();
        let mut stages: Vec<Stage> = Vec::new();
        let mut next = 0;
        while next < needs.layers {
            let fits = |it: &(&TargetId, &Target)| {
                let adjacent = it.1.layers.is_some_and(|(from, to)| from == next && to > from);
                adjacent && it.1.model.as_ref() == Some(&needs.model) && !needs.avoid.contains(it.0)
            };
            let Some((id, target)) = fleet.targets.iter().find(fits) else {
                return Err(no_route(format!("no target holds layer {next} of `{}`", needs.model)));
            };
            let layers = target.layers.unwrap_or((next, needs.layers));
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

/// Targets that cannot be reached, except that a lookup of `missing` is answered as not found.
pub struct UnreachableServices;

fn unreachable<T>() -> CallResult<T> {
    Err(CallError::Unreached("no adapter".to_owned()))
}

impl Services for UnreachableServices {
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
        unreachable()
    }

    fn call(
        &self,
        _addr: SocketAddr,
        _service: &str,
        _body: &[u8],
        _key: Option<&str>,
        _hop: &CallContext,
    ) -> CallResult<ServiceReply> {
        unreachable()
    }

    fn load(&self, _addr: SocketAddr, _limit: Duration) -> CallResult<ServiceLoad> {
        unreachable()
    }
}
/// A member list with only this daemon.
pub struct SingleMember(Member);

impl SingleMember {
    pub fn new(settings: &Settings) -> SingleMember {
        SingleMember(Member {
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

impl Members for SingleMember {
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

/// A daemon in this process and its fakes.
pub struct Daemon {
    pub running: Running,
    pub addr: SocketAddr,
    pub engine: Arc<FakeEngine>,
    pub claims: Arc<FakeClaims>,
    pub admission: Arc<FakeAdmission>,
    pub router: Arc<FirstFitRouter>,
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

/// Starts a daemon whose engine runs `Complete(3)` and whose claims are won, until a test changes that.
pub fn daemon(flags: &[&str]) -> Daemon {
    daemon_with(flags, Some(fleet()))
}

pub fn daemon_with(flags: &[&str], fleet: Option<Fleet>) -> Daemon {
    let settings = settings(flags);
    let fleets = Arc::new(StaticConfig::new(fleet));
    let engine = Arc::new(FakeEngine {
        script: Mutex::new(EngineScript::Complete(3)),
        opened: Mutex::default(),
    });
    let claims = Arc::new(FakeClaims { key: Mutex::new(KeyState::Win), calls: Mutex::default() });
    let admission = Arc::new(FakeAdmission::default());
    let ledger = Arc::new(FakeLedger::default());
    let drain = Arc::new(Drain::default());
    let router = Arc::new(FirstFitRouter::new(fleets.clone()));
    let app = App {
        router: router.clone(),
        fleets,
        admission: admission.clone(),
        claims: claims.clone(),
        ledger: ledger.clone(),
        members: Arc::new(SingleMember::new(&settings)),
        engine: engine.clone(),
        services: Arc::new(UnreachableServices),
        budgets: Arc::default(),
        drain: drain.clone(),
    };
    let running = roseshored::start(&settings, app, None).expect("start");
    let addr = running.addr;
    Daemon { running, addr, engine, claims, admission, router, ledger, drain }
}

/// Lets the test send the items of the engine's stream.
pub fn manual_stream(daemon: &Daemon) -> Sender<StreamItem> {
    let (sender, items) = flume::unbounded();
    *daemon.engine.script.lock() = EngineScript::Manual(items);
    sender
}

/// Waits for the first opened stream; returns its request.
pub fn wait_for_stream(daemon: &Daemon) -> Generate {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(request) = daemon.engine.opened.lock().first() {
            return request.clone();
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

/// A response with its body.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl HttpResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|it| it.split_once(": "));
        lines.into_iter().find(|it| it.0 == name).map(|it| it.1)
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }

    /// The headers' refusal code and verdict, as `CODE verdict`.
    pub fn refusal(&self) -> String {
        let code = self.header("x-code").unwrap_or("-");
        format!("{code} {}", self.header("x-verdict").unwrap_or("-"))
    }
}

impl Caller {
    pub fn new(addr: SocketAddr) -> Caller {
        let stream = TcpStream::connect(addr).expect("connect");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("timeout");
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

    pub fn get(&mut self, path: &str) -> HttpResponse {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: a\r\nx-organisation: acme\r\n\r\n"));
        self.response()
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.input.read_line(&mut line).expect("a line in time");
        line
    }

    pub fn head(&mut self) -> HttpResponse {
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
        HttpResponse { status, head, body: String::new() }
    }

    /// The next chunk; empty at the end.
    pub fn chunk(&mut self) -> String {
        assert!(self.chunked, "the body has no chunks");
        let len = usize::from_str_radix(self.line().trim(), 16).expect("a chunk's length");
        let mut bytes = vec![0; len + 2];
        self.input.read_exact(&mut bytes).expect("a whole chunk");
        String::from_utf8(bytes[..len].to_vec()).expect("text")
    }

    pub fn response(&mut self) -> HttpResponse {
        let head = self.head();
        self.rest(head)
    }

    /// Reads the body that follows a head.
    pub fn rest(&mut self, mut response: HttpResponse) -> HttpResponse {
        let len = response.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        if self.chunked {
            loop {
                let chunk = self.chunk();
                if chunk.is_empty() {
                    break;
                }
                response.body += &chunk;
            }
        } else {
            let mut bytes = vec![0; len];
            self.input.read_exact(&mut bytes).expect("a whole body");
            response.body = String::from_utf8(bytes).expect("text");
        }
        response
    }

    /// Whether the daemon has closed the connection without sending more.
    pub fn closed(&mut self) -> bool {
        matches!(self.input.read(&mut [0]), Ok(0))
    }
}

/// Sends one request on its own connection.
pub fn post(addr: SocketAddr, path: &str, headers: &str, body: &str) -> HttpResponse {
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
