//! Requests of advisory services are never dropped silently: each kind of end is checked in the log,
//! the ledger and the metrics.

#[path = "support/fakes.rs"]
mod fakes;

use fakes::*;
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_ports::inside::RequestEnd;
use roseshore_ports::outside::CallError;
use std::thread;

const ID_HEADER: &str = "x-request-id: advisory\r\n";

/// Collects the log lines of this process.
struct LogLines(Mutex<Vec<String>>);

static LINES: LogLines = LogLines(Mutex::new(Vec::new()));

impl log::Log for LogLines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = format!("{} {}", record.level(), record.args());
        self.0.lock().push(line);
    }

    fn flush(&self) {}
}

fn lines_of(event: Event) -> Vec<String> {
    let number = format!(" {event} ");
    LINES.0.lock().iter().filter(|it| it.contains(&number)).cloned().collect()
}

/// Waits for the end of the tested request; the ledger has it only after the caller has got the answer.
fn wait_for_end(daemon: &Daemon) -> RequestEnd {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let ends = daemon.ledger.wait(1);
        if let Some(end) = ends.into_iter().find(|it| it.ask.request.starts_with("advisory~")) {
            return end;
        }
        assert!(Instant::now() < deadline, "the request never ended");
        thread::sleep(Duration::from_millis(1));
    }
}

struct Case {
    name: &'static str,
    flags: &'static [&'static str],
    run: fn(&Daemon) -> HttpResponse,
    /// A part of the one warning; `None` if there must be none.
    warning: Option<&'static str>,
}

fn request(daemon: &Daemon, headers: &str, stream: bool) -> HttpResponse {
    post(daemon.addr, CHAT, &format!("{ID_HEADER}{headers}"), &chat("advice", stream))
}

fn run_script(daemon: &Daemon, script: EngineScript, stream: bool) -> HttpResponse {
    *daemon.engine.script.lock() = script;
    request(daemon, "x-deadline-ms: 4000\r\n", stream)
}

fn look_up(daemon: &Daemon, name: &str) -> HttpResponse {
    let mut caller = Caller::new(daemon.addr);
    let head = format!("GET /v1/lookup/bulletins/{name} HTTP/1.1\r\nhost: a\r\n{ID_HEADER}");
    caller.send(&format!("{head}x-organisation: acme\r\n\r\n"));
    caller.response()
}

/// An answer that comes after its deadline.
fn answer_late(daemon: &Daemon) -> HttpResponse {
    let key = "idempotency-key: k\r\n";
    post(daemon.addr, CHAT, key, &chat("advice", false));
    let KeyState::Settled(outcome) = daemon.claims.key.lock().clone() else {
        panic!("not settled")
    };
    *daemon.claims.key.lock() = KeyState::Late(outcome);
    request(daemon, &format!("{key}x-deadline-ms: 5\r\n"), false)
}

fn leave_early(daemon: &Daemon) -> HttpResponse {
    let items = manual_stream(daemon);
    let mut caller = Caller::new(daemon.addr);
    caller.post(CHAT, ID_HEADER, &chat("advice", true));
    let generate = wait_for_stream(daemon);
    items.send(token(&generate, 0)).expect("an open stream");
    let head = caller.head();
    drop(caller);
    thread::spawn(move || {
        // The daemon notices the closed socket only when it writes.
        (1..20_000).find(|it| {
            thread::sleep(Duration::from_millis(1));
            items.send(token(&generate, *it)).is_err()
        })
    });
    head
}

/// One request uses the host's only place; the next one is refused before it is read.
fn overload(daemon: &Daemon) -> HttpResponse {
    let items = manual_stream(daemon);
    let mut busy_caller = Caller::new(daemon.addr);
    busy_caller.post(CHAT, "", &chat("chat", true));
    let first = wait_for_stream(daemon);
    let got = request(daemon, "", false);
    items.send(done(&first, 0)).expect("an open stream");
    busy_caller.response();
    got
}

fn lost() -> EngineScript {
    EngineScript::Fail(CallError::Lost("x".to_owned()))
}

// One case per line.
#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "answered in time", flags: &[], run: |d| request(d, "", false), warning: None },
    Case { name: "not found", flags: &[], run: |d| look_up(d, "missing"), warning: None },
    Case { name: "another service", flags: &[], run: |d| { d.drain.start(); post(d.addr, CHAT, ID_HEADER, &chat("chat", false)) }, warning: None },
    Case { name: "late", flags: &[], run: answer_late, warning: Some("verdict=answered code=") },
    Case { name: "caller left", flags: &[], run: leave_early, warning: Some("verdict=may_have_run") },
    Case { name: "target refused", flags: &[], run: |d| run_script(d, EngineScript::Fail(CallError::Refused(503, None, String::new())), false), warning: Some("verdict=not_run") },
    Case { name: "target lost", flags: &[], run: |d| run_script(d, lost(), false), warning: Some("verdict=may_have_run") },
    Case { name: "cut in the stream", flags: &[], run: |d| run_script(d, EngineScript::Cut(2), true), warning: Some("verdict=may_have_run") },
    Case { name: "panic", flags: &[], run: |d| run_script(d, EngineScript::Panic, false), warning: Some("verdict=may_have_run") },
    Case { name: "admission panics", flags: &[], run: |d| { *d.admission.panics.lock() = true; request(d, "", false) }, warning: Some("verdict=not_run code=RS503") },
    Case { name: "key refused", flags: &[], run: |d| { *d.claims.key.lock() = KeyState::Refuse(Refusal::may_have_run(Code::KeyUnknown, "x")); request(d, "idempotency-key: k\r\n", false) }, warning: Some("verdict=may_have_run code=RS402") },
    Case { name: "source silent", flags: &[], run: |d| look_up(d, "other"), warning: Some("code=RS602") },
    Case { name: "host leaving", flags: &[], run: |d| { d.drain.start(); request(d, "", false) }, warning: Some("verdict=not_run code=RS204") },
    Case { name: "host leaving, lookup", flags: &[], run: |d| { d.drain.start(); look_up(d, "other") }, warning: Some("service=bulletins verdict=not_run code=RS204") },
    Case { name: "host full", flags: &["--requests=1"], run: overload, warning: Some("verdict=not_run code=RS202") },
    Case { name: "no connection free", flags: &["--connections=1"], run: overload, warning: Some("verdict=not_run code=RS202") },
    Case { name: "bad header", flags: &[], run: |d| request(d, "x-priority: 10\r\n", false), warning: Some("verdict=not_run code=RS109") },
    Case { name: "unknown organisation", flags: &[], run: |d| { let (org, body) = ("x-organisation: q", chat("advice", false)); let mut c = Caller::new(d.addr); c.send(&format!("POST {CHAT} HTTP/1.1\r\nhost: a\r\n{ID_HEADER}{org}\r\ncontent-length: {}\r\n\r\n{body}", body.len())); c.response() }, warning: Some("organisation=* service=advice verdict=not_run code=RS106") },
];

#[test]
fn every_missed_request_is_logged() {
    log::set_logger(&LINES).expect("one test in this process");
    log::set_max_level(log::LevelFilter::Trace);
    for case in CASES {
        LINES.0.lock().clear();
        let daemon = daemon(case.flags);
        let got = (case.run)(&daemon);
        // Early refusals of services that are not advisory are not in the ledger.
        if case.name != "another service" {
            let end = wait_for_end(&daemon);
            assert_eq!(end.missed(), case.warning.is_some(), "{}: {end:?}", case.name);
            if got.header("x-attempt") == Some("not_run") {
                assert!(got.header("retry-after").is_some(), "{}: {got:?}", case.name);
            }
        }
        let lines = lines_of(Event::AdvisoryMissed);
        assert_eq!(lines.len(), usize::from(case.warning.is_some()), "{}: {lines:?}", case.name);
        if let (Some(warning), [line]) = (case.warning, lines.as_slice()) {
            let fits = line.starts_with("WARN E205 request=advisory~") && line.contains(warning);
            assert!(fits, "{}: {line}", case.name);
        }
    }
    not_found_is_an_answer();
}

/// "Not found" counts as an answer: it is logged neither as refused nor, in time, as missed.
fn not_found_is_an_answer() {
    LINES.0.lock().clear();
    let daemon = daemon(&[]);
    let got = look_up(&daemon, "missing");
    assert_eq!((got.status, got.refusal().as_str()), (404, "RS601 answered"));
    let end = &daemon.ledger.wait(1)[0];
    assert_eq!((end.verdict, end.code), (Verdict::Answered, Some(Code::NotFound)));
    assert_eq!(lines_of(Event::RequestRefused), Vec::<String>::new());
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
