//! End to end: an operator's command through the log, then callers' requests over two stages.

#[path = "support/fakes.rs"]
mod fakes;
#[path = "support/process.rs"]
mod process;

use fakes::{CHAT, Caller, TEST_TIMEOUT, chat, post};
use roseshore_core::config::{Change, Command, FORMAT};
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_fakes::engine::{EngineFake, EngineSettings};

use process::Process;
use roseshore_fakes::platform::{PlatformFake, PlatformSettings};
use roseshore_fakes::wait::wait_until;
use roseshored::Running;
use roseshored::daemon::Daemon;
use std::net::SocketAddr;
use std::thread;

const FLEET: &str = r#"
[data_centres.a]
region = "r"
[models.m]
layers = 4
version = "v1"
[services.chat]
kind = "model"
model = "m"
[services.verdicts]
kind = "model"
model = "m"
idempotent = false
advisory = true
[organisations.acme]
[targets]
"#;

/// A fake platform, two fake engines and a daemon, connected over sockets.
struct Deployment {
    platform: PlatformFake,
    stages: Vec<EngineFake>,
    parts: Daemon,
    running: Running,
}

impl Deployment {
    fn start() -> Deployment {
        let platform = PlatformFake::start(PlatformSettings::default()).expect("platform");
        let log = format!("--log={}", platform.addr());
        let settings = fakes::settings(&[&log, "--poll-ms=20"]);
        let parts = Daemon::start(&settings).expect("parts");
        let admin_api = Some(parts.admin_api.clone());
        let running = roseshored::start(&settings, parts.app.clone(), admin_api).expect("start");
        let holding = [(0, 2), (2, 4)].map(|layers| {
            let name = format!("e{}", layers.0);
            EngineFake::start(EngineSettings::holding(&name, "m", "v1", layers)).expect("engine")
        });
        Deployment { platform, stages: holding.into(), parts, running }
    }

    fn addr(&self) -> SocketAddr {
        self.running.addr
    }

    fn apply(&self) {
        let mut fleet: Fleet = toml::from_str(FLEET).expect("fleet");
        for stage in &self.stages {
            let layers = stage.holding().layers;
            let text = format!(
                "kind = 'engine'\nhost = 'h'\ndata_centre = 'a'\naddr = '{}'\nmodel = 'm'\n\
                 layers = [{}, {}]",
                stage.addr(),
                layers.0,
                layers.1
            );
            let target = toml::from_str(&text).expect("target");
            fleet.targets.insert(stage.stage().target, target);
        }
        let put = |(key, object)| Change { key, base: None, put: Some(object) };
        let changes = fleet.objects().into_iter().map(put).collect();
        let (id, operator) = ("c1".to_owned(), "ops".to_owned());
        let command = Command { format: FORMAT, id, operator, made_at: 0, changes };
        let body = serde_json::to_string(&command).expect("command");
        let got = post(self.addr(), "/v1/admin/commands", "", &body);
        assert_eq!(got.json()["outcome"]["outcome"], "accepted", "{got:?}");
    }

    fn stop(self) {
        assert_eq!(self.running.finish(), 0);
        self.parts.stop();
    }

    /// Waits until the daemon has load reports of every stage.
    fn wait_for_stages(&self) {
        wait_for_stages(self.addr());
    }
}

fn wait_for_stages(addr: SocketAddr) {
    let served = || post(addr, CHAT, "", &chat("chat", false)).status == 200;
    wait_until("the stages are in use", served);
}

/// Opens a stream, signals that, and reads the stream to its end.
fn stream(addr: SocketAddr, opened: &flume::Sender<()>) -> String {
    let mut caller = Caller::new(addr);
    caller.post(CHAT, "", &chat("chat", true));
    let top = caller.head();
    caller.chunk();
    opened.send(()).expect("a listener");
    caller.rest(top).body
}

/// Without a configuration nothing is served; with one, an answer runs over both stages.
#[test]
fn from_command_to_answer() {
    let deployment = Deployment::start();
    let before = post(deployment.addr(), CHAT, "", &chat("chat", false));
    assert_eq!(before.refusal(), "RS501 not_run");
    deployment.apply();
    deployment.wait_for_stages();
    let whole = post(deployment.addr(), CHAT, "x-request-id: w\r\n", &chat("chat", false)).json();
    let text = whole["choices"][0]["message"]["content"].as_str().expect("text").to_owned();
    assert!(!text.is_empty());
    let streamed = post(deployment.addr(), CHAT, "x-request-id: s\r\n", &chat("chat", true));
    assert!(streamed.body.ends_with("data: [DONE]\n\n"));
    let parts = streamed.body.lines().filter_map(|it| it.strip_prefix("data: {"));
    let parts = parts.map(|it| serde_json::from_str(&format!("{{{it}")).expect("json"));
    let parts: Vec<serde_json::Value> = parts.collect();
    let token =
        |it: &serde_json::Value| it["choices"][0]["delta"]["content"].as_str().map(str::to_owned);
    assert_eq!(parts.iter().filter_map(token).collect::<String>(), text);
    let spans = Caller::new(deployment.addr()).get("/v1/trace/s").body;
    for hop in ["admit", "answer", "route", "prefill"] {
        assert!(spans.contains(&format!(r#""name":"{hop}""#)), "no span `{hop}` in {spans}");
    }
    let fate = Caller::new(deployment.addr()).get("/v1/requests/s").json();
    assert_eq!((&fate["state"], &fate["verdict"]), (&"ended".into(), &"answered".into()));
    deployment.stop();
}

/// A key is claimed in the log, and a repeated request with it gets the recorded answer.
#[test]
fn once_over_the_log() {
    let deployment = Deployment::start();
    deployment.apply();
    deployment.wait_for_stages();
    let key = format!("idempotency-key: plate-7@{}\r\n", wall::millis(SystemTime::now()));
    let first = post(deployment.addr(), CHAT, &key, &chat("verdicts", false));
    assert_eq!(first.status, 200, "{first:?}");
    let again = post(deployment.addr(), CHAT, &key, &chat("verdicts", false));
    assert_eq!(again.header("idempotency-replayed"), Some("true"), "{again:?}");
    let text = |it: &fakes::HttpResponse| it.json()["choices"].clone();
    assert_eq!(text(&again), text(&first));
    let other =
        post(deployment.addr(), CHAT, &key, &chat("verdicts", false).replace("hello", "bye"));
    assert_eq!(other.header("x-code"), Some("RS405"), "{other:?}");
    deployment.stop();
}

/// Operators query and settle keys over the daemon's admin API.
#[test]
fn operators_settle_a_key_and_query_the_account() {
    let deployment = Deployment::start();
    deployment.apply();
    deployment.wait_for_stages();
    let key = "plate/8&1";
    let show = || {
        let query = "organisation=acme&service=verdicts&key=plate%2F8%261";
        let got = Caller::new(deployment.addr()).get(&format!("/v1/admin/keys?{query}"));
        got.json()["state"]["state"].as_str().map(str::to_owned)
    };
    let settle = |ran: bool, note: &str| {
        let body = format!(
            r#"{{"organisation":"acme","service":"verdicts","key":"{key}","ran":{ran},"note":"{note}","operator":"op"}}"#
        );
        post(deployment.addr(), "/v1/admin/keys/settle", "", &body)
    };
    assert_eq!(show().as_deref(), Some("free"));
    assert_eq!(settle(true, "").status, 400, "without a note");
    assert_eq!(settle(false, "looked").json()["code"], "CommandInvalid", "nothing to free");
    assert_eq!(settle(true, "looked").json()["outcome"], "taken");
    assert_eq!(show().as_deref(), Some("ran"));
    let headers = format!("idempotency-key: {key}\r\n");
    let repeat = post(deployment.addr(), CHAT, &headers, &chat("verdicts", false));
    assert_eq!((repeat.status, repeat.refusal().as_str()), (410, "RS406 may_have_run"));
    // The request ends in the ledger only after its caller has got the answer.
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let query = r#"{"topic":"account","filter":{}}"#;
        let rows = post(deployment.addr(), "/v1/admin/query", "", query).json();
        let is_missed = |row: &serde_json::Value| {
            row["service"] == "verdicts" && row["missed"] == 1 && row["advisory"] == true
        };
        if rows["rows"]["account"].as_array().expect("rows").iter().any(is_missed) {
            break;
        }
        assert!(Instant::now() < deadline, "{rows}");
    }
    deployment.stop();
}

/// Stops a daemon's process repeatedly with open streams; each stream must complete.
#[test]
fn restarts_cut_nothing() {
    const RESTARTS: usize = 10;
    const STREAMS: usize = 4;
    let deployment = Deployment::start();
    deployment.apply();
    let log = format!("--log={}", deployment.platform.addr());
    for restart in 0..RESTARTS {
        let mut process = Process::start(&["--host=h2", "--grace-ms=0", "--poll-ms=20", &log]);
        let addr = process.addr;
        wait_for_stages(addr);
        let (opened, open) = flume::bounded(STREAMS);
        let streams: Vec<_> = (0..STREAMS)
            .map(|_| opened.clone())
            .map(|opened| thread::spawn(move || stream(addr, &opened)))
            .collect();
        for _ in 0..STREAMS {
            open.recv_timeout(TEST_TIMEOUT).expect("an open stream");
        }
        process.signal("TERM");
        for stream in streams {
            let body = stream.join().expect("a whole stream");
            assert!(body.ends_with("data: [DONE]\n\n"), "restart {restart}: {body}");
        }
        assert_eq!(process.wait_for_exit().code(), Some(0), "restart {restart}");
    }
    deployment.stop();
}
