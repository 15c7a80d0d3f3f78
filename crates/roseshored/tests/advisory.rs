//! Advisory work is never dropped silently: every kind of end, seen in the log, ledger and metrics.

#[path = "support/fakes.rs"]
mod fakes;

use fakes::*;
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_ports::inside::RequestEnd;
use roseshore_ports::outside::CallError;
use std::thread;

const CALL: &str = "x-request-id: told\r\n";

/// The log lines of this process.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = format!("{} {}", record.level(), record.args());
        self.0.lock().push(line);
    }

    fn flush(&self) {}
}

fn take(event: Event) -> Vec<String> {
    let of = format!(" {event} ");
    LINES.0.lock().iter().filter(|it| it.contains(&of)).cloned().collect()
}

/// The end of the request that the case is about; it comes after the caller has its answer.
fn ended(daemon: &Daemon) -> RequestEnd {
    let limit = Instant::now() + PATIENCE;
    loop {
        let ends = daemon.ledger.wait(1);
        if let Some(end) = ends.into_iter().find(|it| it.ask.request.starts_with("told~")) {
            return end;
        }
        assert!(Instant::now() < limit, "the request never ended");
        thread::sleep(Duration::from_millis(1));
    }
}

struct Case {
    name: &'static str,
    flags: &'static [&'static str],
    act: fn(&Daemon) -> Got,
    /// Code and verdict of the one warning, if there must be one.
    told: Option<&'static str>,
}

fn ask(daemon: &Daemon, headers: &str, stream: bool) -> Got {
    post(daemon.addr, CHAT, &format!("{CALL}{headers}"), &chat("advice", stream))
}

fn play(daemon: &Daemon, play: Play, stream: bool) -> Got {
    *daemon.engine.play.lock() = play;
    ask(daemon, "x-deadline-ms: 4000\r\n", stream)
}

fn look(daemon: &Daemon, name: &str) -> Got {
    let mut caller = Caller::new(daemon.addr);
    let head = format!("GET /v1/lookup/bulletins/{name} HTTP/1.1\r\nhost: a\r\n{CALL}");
    caller.send(&format!("{head}x-organisation: acme\r\n\r\n"));
    caller.response()
}

/// An answer that is told after its deadline.
fn late(daemon: &Daemon) -> Got {
    let key = "idempotency-key: k\r\n";
    post(daemon.addr, CHAT, key, &chat("advice", false));
    let Key1::Settled(outcome) = daemon.claims.key.lock().clone() else { panic!("not settled") };
    *daemon.claims.key.lock() = Key1::Late(outcome);
    ask(daemon, &format!("{key}x-deadline-ms: 5\r\n"), false)
}

fn leave(daemon: &Daemon) -> Got {
    let give = by_hand(daemon);
    let mut caller = Caller::new(daemon.addr);
    caller.post(CHAT, CALL, &chat("advice", true));
    let ask = opened(daemon);
    give.send(token(&ask, 0)).expect("a listener");
    let head = caller.head();
    drop(caller);
    thread::spawn(move || {
        // Written until the closed socket tells.
        (1..20_000).find(|it| {
            thread::sleep(Duration::from_millis(1));
            give.send(token(&ask, *it)).is_err()
        })
    });
    head
}

/// One request fills the host; the next one is refused before it is read.
fn full(daemon: &Daemon) -> Got {
    let give = by_hand(daemon);
    let mut held = Caller::new(daemon.addr);
    held.post(CHAT, "", &chat("chat", true));
    let first = opened(daemon);
    let got = ask(daemon, "", false);
    give.send(done(&first, 0)).expect("a listener");
    held.response();
    got
}

fn lost() -> Play {
    Play::Fail(CallError::Lost("x".to_owned()))
}

// One case a line.
#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "whole, in time", flags: &[], act: |d| ask(d, "", false), told: None },
    Case { name: "not found", flags: &[], act: |d| look(d, "missing"), told: None },
    Case { name: "another service", flags: &[], act: |d| { d.drain.start(); post(d.addr, CHAT, CALL, &chat("chat", false)) }, told: None },
    Case { name: "late", flags: &[], act: late, told: Some("verdict=answered code=") },
    Case { name: "caller left", flags: &[], act: leave, told: Some("verdict=may_have_run") },
    Case { name: "target refused", flags: &[], act: |d| play(d, Play::Fail(CallError::Refused(503, None, String::new())), false), told: Some("verdict=not_run") },
    Case { name: "target lost", flags: &[], act: |d| play(d, lost(), false), told: Some("verdict=may_have_run") },
    Case { name: "cut in the stream", flags: &[], act: |d| play(d, Play::Cut(2), true), told: Some("verdict=may_have_run") },
    Case { name: "panic", flags: &[], act: |d| play(d, Play::Panic, false), told: Some("verdict=may_have_run") },
    Case { name: "admission panics", flags: &[], act: |d| { *d.admission.panics.lock() = true; ask(d, "", false) }, told: Some("verdict=not_run code=RS503") },
    Case { name: "key refused", flags: &[], act: |d| { *d.claims.key.lock() = Key1::Refuse(Refusal::may_have_run(Code::KeyUnknown, "x")); ask(d, "idempotency-key: k\r\n", false) }, told: Some("verdict=may_have_run code=RS402") },
    Case { name: "source silent", flags: &[], act: |d| look(d, "other"), told: Some("code=RS602") },
    Case { name: "host leaving", flags: &[], act: |d| { d.drain.start(); ask(d, "", false) }, told: Some("verdict=not_run code=RS204") },
    Case { name: "host leaving, lookup", flags: &[], act: |d| { d.drain.start(); look(d, "other") }, told: Some("service=bulletins verdict=not_run code=RS204") },
    Case { name: "host full", flags: &["--requests=1"], act: full, told: Some("verdict=not_run code=RS202") },
    Case { name: "no connection free", flags: &["--connections=1"], act: full, told: Some("verdict=not_run code=RS202") },
    Case { name: "bad header", flags: &[], act: |d| ask(d, "x-priority: 10\r\n", false), told: Some("verdict=not_run code=RS109") },
    Case { name: "unknown organisation", flags: &[], act: |d| { let (org, body) = ("x-organisation: q", chat("advice", false)); let mut c = Caller::new(d.addr); c.send(&format!("POST {CHAT} HTTP/1.1\r\nhost: a\r\n{CALL}{org}\r\ncontent-length: {}\r\n\r\n{body}", body.len())); c.response() }, told: Some("organisation=* service=advice verdict=not_run code=RS106") },
];

#[test]
fn every_kind_of_end_is_told() {
    log::set_logger(&LINES).expect("one test in this process");
    log::set_max_level(log::LevelFilter::Trace);
    for case in CASES {
        LINES.0.lock().clear();
        let daemon = daemon(case.flags);
        let got = (case.act)(&daemon);
        // Other services' refusals at the door are in no ledger.
        if case.name != "another service" {
            let end = ended(&daemon);
            assert_eq!(end.missed(), case.told.is_some(), "{}: {end:?}", case.name);
            if got.header("x-attempt") == Some("not_run") {
                assert!(got.header("retry-after").is_some(), "{}: {got:?}", case.name);
            }
        }
        let lines = take(Event::AdvisoryMissed);
        assert_eq!(lines.len(), usize::from(case.told.is_some()), "{}: {lines:?}", case.name);
        if let (Some(told), [line]) = (case.told, lines.as_slice()) {
            let fits = line.starts_with("WARN E205 request=told~") && line.contains(told);
            assert!(fits, "{}: {line}", case.name);
        }
    }
    not_found_is_an_answer();
}

/// In the log it is neither refused nor, when it comes in time, late.
fn not_found_is_an_answer() {
    LINES.0.lock().clear();
    let daemon = daemon(&[]);
    let got = look(&daemon, "missing");
    assert_eq!((got.status, got.refusal().as_str()), (404, "RS601 answered"));
    let end = &daemon.ledger.wait(1)[0];
    assert_eq!((end.verdict, end.code), (Verdict::Answered, Some(Code::NotFound)));
    assert_eq!(take(Event::RequestRefused), Vec::<String>::new());
    let metrics = Caller::new(daemon.addr).get("/metrics").body;
    let answered = |it: &str| {
        it.starts_with("roseshore_requests_total")
            && it.contains("bulletins")
            && it.contains("\"answered\"")
            && it.contains("RS601")
    };
    assert!(metrics.lines().any(answered), "{metrics}");
    let missed = |it: &str| it.starts_with("roseshore_advisory_missed_total{");
    assert!(metrics.lines().any(missed), "{metrics}");
}
