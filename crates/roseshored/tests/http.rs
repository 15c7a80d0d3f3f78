//! The HTTP API for callers, tested on a daemon in this process with fake components.

#[path = "support/fakes.rs"]
mod fakes;

use fakes::*;
use roseshore_core::prelude::*;
use roseshore_ports::inside::Outcome;
use roseshore_ports::outside::{CallError, StreamItem};
use std::sync::atomic::Ordering;
use std::thread;

struct BadInput {
    name: &'static str,
    raw: String,
    status: u16,
    refusal: &'static str,
}

fn raw(line: &str, headers: &str, body: &str) -> String {
    format!("{line} HTTP/1.1\r\nhost: a\r\n{headers}\r\n{body}")
}

fn chat_raw(headers: &str, body: &str) -> String {
    let len = body.len();
    let org = "x-organisation: acme\r\n";
    let org = if headers.contains("organi") { "" } else { org };
    raw("POST /v1/chat/completions", &format!("{org}{headers}content-length: {len}\r\n"), body)
}

fn case(name: &'static str, raw: String, status: u16, refusal: &'static str) -> BadInput {
    BadInput { name, raw, status, refusal }
}

fn bad_input_cases() -> Vec<BadInput> {
    let good = &chat("chat", false);
    let big = "x".repeat(3000);
    let chunk = format!("bb8\r\n{big}\r\n0\r\n\r\n");
    // Neither of these heads ends; without the size limits the daemon would wait for the rest.
    let long_head = format!("POST / HTTP/1.1\r\na: {}", "y".repeat(20_000));
    let many = format!("POST / HTTP/1.1\r\n{}", "a: b\r\n".repeat(200));
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(201));
    let with_field = |field: &str| good.replacen('{', &format!("{{{field},"), 1);
    let post = "POST /v1/chat/completions";
    let org = "x-organisation: acme\r\n";
    let chunked = &format!("{org}transfer-encoding: chunked\r\n");
    let (unknown_path, bad_request, bad_header) =
        ("RS108 not_run", "RS101 not_run", "RS109 not_run");
    vec![
        case("unknown path", raw("GET /v2/x", "", ""), 404, unknown_path),
        case("wrong method", raw("PUT /v1/chat/completions", "", ""), 404, unknown_path),
        case("unknown model", chat_raw("", &chat("nope", false)), 404, "RS104 not_run"),
        case("lookup service as model", chat_raw("", &chat("cards", false)), 404, "RS104 not_run"),
        case("unknown adapter", chat_raw("", &chat("chat:x", false)), 404, "RS107 not_run"),
        case("unknown service", raw("GET /v1/lookup/nope/a", org, ""), 404, "RS105 not_run"),
        case("name with dots", raw("GET /v1/lookup/cards/../x", org, ""), 400, bad_request),
        case("unknown organisation", chat_raw("x-organisation: q\r\n", good), 403, "RS106 not_run"),
        case("no organisation", raw(post, "content-length: 0\r\n", ""), 400, bad_request),
        case("broken json", chat_raw("", "{\"model\":"), 400, bad_request),
        case("several answers", chat_raw("", &with_field("\"n\":2")), 400, bad_request),
        case("stop words", chat_raw("", &with_field("\"stop\":[\"x\"]")), 400, bad_request),
        case("zero max_tokens", chat_raw("", &with_field("\"max_tokens\":0")), 400, bad_request),
        case("body far over bound", chat_raw("", &"x".repeat(300_000)), 413, "RS102 not_run"),
        case("length over bound", chat_raw("", &big), 413, "RS102 not_run"),
        case(
            "length that aborts tiny_http",
            raw(post, "content-length: 1000000000000000\r\n", "abc"),
            413,
            "RS102 not_run",
        ),
        case(
            "length past u64",
            raw(post, "content-length: 99999999999999999999\r\n", ""),
            400,
            bad_header,
        ),
        case("negative length", raw(post, "content-length: -1\r\n", ""), 400, bad_header),
        case("chunks over bound", raw(post, chunked, &chunk), 413, "RS102 not_run"),
        case("broken chunk", raw(post, chunked, "zz\r\n"), 400, bad_request),
        case(
            "both lengths",
            raw(post, "content-length: 1\r\ntransfer-encoding: chunked\r\n", ""),
            400,
            bad_header,
        ),
        case("unknown encoding", raw(post, "transfer-encoding: gzip\r\n", ""), 400, bad_header),
        case("long head", long_head, 400, bad_request),
        case("many headers", many, 400, bad_request),
        case("folded header", raw(post, "a: b\r\n c\r\n", ""), 400, bad_header),
        case("header without colon", raw(post, "abc\r\n", ""), 400, bad_header),
        case("other protocol", "\u{16}\u{3}\u{1}\n".to_owned(), 400, bad_request),
        case("other version", "GET / HTTP/2.0\r\n\r\n".to_owned(), 400, bad_request),
        case("deadline not a number", chat_raw("x-deadline-ms: soon\r\n", good), 400, bad_header),
        case("zero deadline", chat_raw("x-deadline-ms: 0\r\n", good), 400, bad_header),
        case("priority too high", chat_raw("x-priority: 10\r\n", good), 400, bad_header),
        case("key too long", chat_raw(&long_key, good), 400, bad_header),
        case(
            "key twice",
            chat_raw("idempotency-key: a\r\nidempotency-key: b\r\n", good),
            400,
            bad_header,
        ),
        case(
            "keyed, unknown service",
            chat_raw("idempotency-key: a\r\n", &chat("nope", false)),
            404,
            "RS104 may_have_run",
        ),
        case("keyed, broken json", chat_raw("idempotency-key: a\r\n", "{"), 400, bad_request),
        case("silent", String::new(), 408, "RS103 not_run"),
        case("half a head", "POST /v1/ch".to_owned(), 408, "RS103 not_run"),
        case("half a body", raw(post, "content-length: 9\r\n", "abc"), 408, "RS103 not_run"),
        case(
            "half a chunk",
            raw(post, "transfer-encoding: chunked\r\n", "9\r\nab"),
            408,
            "RS103 not_run",
        ),
    ]
}

/// Bad input is refused with a code, within the limits, and nothing is dispatched.
#[test]
fn bad_input() {
    let daemon = daemon(&["--caller-ms=300"]);
    for case in bad_input_cases() {
        let mut caller = Caller::new(daemon.addr);
        caller.send(&case.raw);
        let got = caller.response();
        assert_eq!(
            (got.status, got.refusal().as_str()),
            (case.status, case.refusal),
            "{}",
            case.name
        );
        let error = &got.json()["error"];
        assert!(error["message"].as_str().is_some_and(|it| !it.is_empty()), "{}", case.name);
        assert_eq!(error["attempt"], "not_run", "{}", case.name);
        assert_eq!(error["request"].as_str(), got.header("x-request-id"), "{}", case.name);
    }
    assert!(daemon.engine.opened.lock().is_empty());
    assert_eq!(Caller::new(daemon.addr).get("/healthz").status, 200);
}

struct EndCase {
    name: &'static str,
    script: EngineScript,
    stream: bool,
    verdict: Verdict,
}

/// The response and the recorded verdict for each behaviour of the engine.
#[test]
fn results_by_engine_behaviour() {
    let refused = |status| EngineScript::Fail(CallError::Refused(status, None, String::new()));
    let unreachable = EngineScript::Fail(CallError::Unreached("x".to_owned()));
    let lost = EngineScript::Fail(CallError::Lost("x".to_owned()));
    let (not_run, may_have_run, answered) =
        (Verdict::NotRun, Verdict::MayHaveRun, Verdict::Answered);
    let cases = [
        EndCase {
            name: "complete",
            script: EngineScript::Complete(3),
            stream: false,
            verdict: answered,
        },
        EndCase {
            name: "complete stream",
            script: EngineScript::Complete(3),
            stream: true,
            verdict: answered,
        },
        EndCase {
            name: "empty stream",
            script: EngineScript::Complete(0),
            stream: true,
            verdict: answered,
        },
        EndCase { name: "other holding", script: refused(409), stream: true, verdict: not_run },
        EndCase { name: "full engine", script: refused(503), stream: false, verdict: not_run },
        EndCase { name: "unreached", script: unreachable, stream: false, verdict: not_run },
        EndCase { name: "head lost", script: lost, stream: false, verdict: may_have_run },
        EndCase {
            name: "cut before a token",
            script: EngineScript::Cut(0),
            stream: true,
            verdict: may_have_run,
        },
        EndCase {
            name: "cut, not streamed",
            script: EngineScript::Cut(2),
            stream: false,
            verdict: may_have_run,
        },
        EndCase {
            name: "cut in the stream",
            script: EngineScript::Cut(2),
            stream: true,
            verdict: may_have_run,
        },
        EndCase {
            name: "panic after dispatch",
            script: EngineScript::Panic,
            stream: true,
            verdict: may_have_run,
        },
    ];
    for case in cases {
        let daemon = daemon(&[]);
        *daemon.engine.script.lock() = case.script;
        let headers = "x-request-id: r-1\r\nx-deadline-ms: 4000\r\n";
        let got = post(daemon.addr, CHAT, headers, &chat("verdicts", case.stream));
        let end = &daemon.ledger.wait(1)[0];
        assert_eq!(end.verdict, case.verdict, "{}: {got:?}", case.name);
        assert_eq!(got.header("x-request-id"), Some("r-1"), "{}", case.name);
        let done = got.body.ends_with("data: [DONE]\n\n");
        let stream = got.header("content-type") == Some("text/event-stream");
        assert_eq!(done, case.stream && case.verdict == answered, "{}: {got:?}", case.name);
        match (case.verdict, stream) {
            (Verdict::Answered, _) => assert_eq!(got.status, 200, "{}", case.name),
            (_, true) => {
                let (_, error) = got.body.rsplit_once("event: error\ndata: ").expect(case.name);
                let body: serde_json::Value = serde_json::from_str(error).expect(case.name);
                assert_eq!(body["error"]["verdict"], case.verdict.name(), "{}", case.name);
            }
            (verdict, false) => {
                assert!(got.status >= 500, "{}", case.name);
                assert_eq!(got.header("x-verdict"), Some(verdict.name()), "{}", case.name);
                let should_retry = (verdict == may_have_run).then_some("false");
                assert_eq!(got.header("x-should-retry"), should_retry, "{}", case.name);
            }
        }
    }
}

/// A panic is reported as "not run" only if nothing was dispatched, and the daemon keeps serving.
#[test]
fn panics() {
    let daemon = daemon(&[]);
    *daemon.admission.panics.lock() = true;
    let got = post(daemon.addr, CHAT, "", &chat("verdicts", true));
    assert_eq!((got.status, got.refusal().as_str()), (500, "RS503 not_run"));
    *daemon.admission.panics.lock() = false;
    // The first chain's engine refuses; the choice of the second chain panics.
    daemon.router.panics_from.store(1, Ordering::SeqCst);
    *daemon.engine.script.lock() = EngineScript::Fail(CallError::Refused(503, None, String::new()));
    let got = post(daemon.addr, CHAT, "", &chat("verdicts", true));
    assert_eq!((got.status, got.refusal().as_str()), (500, "RS503 may_have_run"));
    assert_eq!(got.header("x-should-retry"), Some("false"));
    daemon.router.panics_from.store(3, Ordering::SeqCst);
    let got = post(daemon.addr, CHAT, "idempotency-key: k1\r\n", &chat("verdicts", false));
    assert_eq!((got.status, got.refusal().as_str()), (500, "RS503 may_have_run"));
    let calls = ["begin acme/verdicts/k1", "dispatch", "settle may_have_run"];
    assert_eq!(*daemon.claims.calls.lock(), calls);
    daemon.router.panics_from.store(usize::MAX, Ordering::SeqCst);
    *daemon.engine.script.lock() = EngineScript::Complete(3);
    assert_eq!(post(daemon.addr, CHAT, "", &chat("chat", false)).status, 200);
    let ends = daemon.ledger.wait(4);
    let mut verdicts: Vec<Verdict> = ends.iter().map(|it| it.verdict).collect();
    // A request ends in the ledger after its caller has got the answer, so the order may vary.
    verdicts.sort_unstable();
    let may_have_run = Verdict::MayHaveRun;
    assert_eq!(verdicts, [Verdict::NotRun, may_have_run, may_have_run, Verdict::Answered]);
}

/// The engine sends token n + 1 only after the caller has read token n, so a daemon that buffers tokens
/// fails here.
#[test]
fn tokens_reach_the_caller_one_by_one() {
    let daemon = daemon(&[]);
    let items = manual_stream(&daemon);
    let mut caller = Caller::new(daemon.addr);
    caller.post(CHAT, "", &chat("chat", true));
    let request = wait_for_stream(&daemon);
    for position in 0..5 {
        items.send(token(&request, position)).expect("an open stream");
        if position == 0 {
            assert_eq!(caller.head().status, 200);
        }
        let chunk = caller.chunk();
        assert!(chunk.contains(&format!(r#""content":"t{position} ""#)), "{chunk}");
    }
    items.send(done(&request, 5)).expect("an open stream");
    items.send(StreamItem::Ended(Ok(()))).expect("an open stream");
    assert!(caller.chunk().contains(r#""finish_reason":"stop""#));
    assert_eq!(caller.chunk(), "data: [DONE]\n\n");
    assert_eq!(caller.chunk(), "");
    assert_eq!(caller.get("/healthz").status, 200, "the connection must stay usable");
}

/// Complete answers and streams of both APIs, read like OpenAI-compatible clients do.
#[test]
fn response_formats() {
    struct Format {
        name: &'static str,
        path: &'static str,
        input: &'static str,
        object: &'static str,
        text: &'static str,
    }
    let cases = [
        Format {
            name: "chat",
            path: CHAT,
            input: r#""messages":[{"role":"user","content":[{"type":"text","text":"a b"}]}]"#,
            object: "chat.completion",
            text: "/choices/0/message/content",
        },
        Format {
            name: "text",
            path: TEXT,
            input: r#""prompt":"a b c""#,
            object: "text_completion",
            text: "/choices/0/text",
        },
        Format {
            name: "one text of a list",
            path: TEXT,
            input: r#""prompt":["a b c"],"temperature":0.2"#,
            object: "text_completion",
            text: "/choices/0/text",
        },
    ];
    let daemon = daemon(&[]);
    for case in cases {
        let body = format!(r#"{{"model":"chat:tuned",{}}}"#, case.input);
        let got = post(daemon.addr, case.path, "", &body).json();
        assert_eq!(got["object"], case.object, "{}", case.name);
        assert_eq!(
            got.pointer(case.text).and_then(|it| it.as_str()),
            Some("t0 t1 t2 "),
            "{}",
            case.name
        );
        assert_eq!(got["choices"][0]["finish_reason"], "stop", "{}", case.name);
        assert_eq!(got["usage"]["total_tokens"], 6, "{}", case.name);
        let options = r#""stream":true,"stream_options":{"include_usage":true}"#;
        let body = body.replacen('{', &format!("{{{options},"), 1);
        let got = post(daemon.addr, case.path, "", &body);
        let events: Vec<&str> = got.body.split("\n\n").collect();
        assert_eq!(events[events.len() - 2..], ["data: [DONE]", ""], "{}", case.name);
        let parts = events[..events.len() - 2].iter().map(|it| it.strip_prefix("data: "));
        let parts: Vec<serde_json::Value> =
            parts.map(|it| serde_json::from_str(it.expect("data")).expect("json")).collect();
        let chunk = |it: &serde_json::Value| {
            let choice = &it["choices"][0];
            let text = if choice["delta"].is_object() {
                &choice["delta"]["content"]
            } else {
                &choice["text"]
            };
            text.as_str().unwrap_or_default().to_owned()
        };
        let text: String = parts.iter().map(chunk).collect();
        assert_eq!(text, "t0 t1 t2 ", "{}", case.name);
        assert_eq!(parts.last().expect("usage")["usage"]["completion_tokens"], 3, "{}", case.name);
    }
    let opened = daemon.engine.opened.lock();
    assert!(opened.iter().all(|it| it.adapter.as_deref() == Some("tuned")));
    assert!(opened.iter().all(|it| it.trace.is_some()));
}

struct KeyCase {
    name: &'static str,
    key: KeyState,
    script: EngineScript,
    calls: &'static [&'static str],
    refusal: &'static str,
}

fn outcome(verdict: Verdict) -> Outcome {
    let body = br#"{"request":"r","text":"kept","count":1,"reason":"stop"}"#.to_vec();
    Outcome { verdict, status: 200, content: String::new(), body }
}

/// A key is claimed before dispatch, and its claim is ended exactly once in every case.
#[test]
fn claims_by_result() {
    const BEGIN: &str = "begin acme/verdicts/k1";
    let busy = Refusal::may_have_run(Code::KeyInProgress, "x");
    let unreachable = EngineScript::Fail(CallError::Unreached("x".to_owned()));
    let recorded = KeyState::Settled(outcome(Verdict::Answered));
    let unknown = KeyState::Settled(outcome(Verdict::MayHaveRun));
    let complete = || EngineScript::Complete(3);
    let cases = [
        KeyCase {
            name: "won",
            key: KeyState::Win,
            script: complete(),
            calls: &[BEGIN, "dispatch", "settle answered"],
            refusal: "- answered",
        },
        KeyCase {
            name: "lapsed",
            key: KeyState::Lapse,
            script: complete(),
            calls: &[BEGIN, "dispatch"],
            refusal: "RS401 not_run",
        },
        KeyCase {
            name: "recorded",
            key: recorded,
            script: complete(),
            calls: &[BEGIN],
            refusal: "- answered",
        },
        KeyCase {
            name: "unknown",
            key: unknown,
            script: complete(),
            calls: &[BEGIN],
            refusal: "RS402 may_have_run",
        },
        KeyCase {
            name: "busy",
            key: KeyState::Refuse(busy),
            script: complete(),
            calls: &[BEGIN],
            refusal: "RS401 may_have_run",
        },
        KeyCase {
            name: "unreached",
            key: KeyState::Win,
            script: unreachable,
            calls: &[BEGIN, "dispatch", "settle not_run"],
            refusal: "RS301 not_run",
        },
        KeyCase {
            name: "cut",
            key: KeyState::Win,
            script: EngineScript::Cut(1),
            calls: &[BEGIN, "dispatch", "settle may_have_run"],
            refusal: "RS303 may_have_run",
        },
        KeyCase {
            name: "engine panics",
            key: KeyState::Win,
            script: EngineScript::Panic,
            calls: &[BEGIN, "dispatch", "settle may_have_run"],
            refusal: "RS303 may_have_run",
        },
    ];
    for case in cases {
        let daemon = daemon(&[]);
        *daemon.claims.key.lock() = case.key;
        *daemon.engine.script.lock() = case.script;
        let headers = "idempotency-key: k1\r\nx-deadline-ms: 4000\r\n";
        let got = post(daemon.addr, CHAT, headers, &chat("verdicts", false));
        assert_eq!(*daemon.claims.calls.lock(), case.calls, "{}", case.name);
        assert_eq!(got.refusal(), case.refusal, "{}", case.name);
    }
}

/// A repeated request with a key is answered from the record, whole or as a stream, without dispatch.
#[test]
fn recorded_answers_are_replayed() {
    let daemon = daemon(&[]);
    let key = "idempotency-key: k1\r\n";
    let first = post(daemon.addr, CHAT, key, &chat("verdicts", true));
    assert_eq!(first.header("idempotency-replayed"), None);
    for stream in [false, true] {
        let got = post(daemon.addr, CHAT, key, &chat("verdicts", stream));
        assert_eq!(got.header("idempotency-replayed"), Some("true"), "stream {stream}");
        assert!(got.body.contains("t0 t1 t2 "), "stream {stream}: {got:?}");
        assert_eq!(got.body.ends_with("data: [DONE]\n\n"), stream);
    }
    assert_eq!(daemon.engine.opened.lock().len(), 1);
    let ends = daemon.ledger.wait(3);
    let mut repeated: Vec<bool> = ends.iter().map(|it| it.repeated).collect();
    repeated.sort_unstable();
    assert_eq!(repeated, [false, true, true]);
}

struct Overload {
    name: &'static str,
    flag: &'static str,
    headers: &'static str,
    refusal: &'static str,
}

/// At its limits the daemon refuses at once, and reports "not run" only for requests without a key.
#[test]
fn refusals_at_the_limits() {
    let key = "idempotency-key: k\r\n";
    let cases = [
        Overload { name: "requests", flag: "--requests=1", headers: "", refusal: "RS202 not_run" },
        Overload {
            name: "requests, keyed",
            flag: "--requests=1",
            headers: key,
            refusal: "RS202 may_have_run",
        },
        Overload {
            name: "connections",
            flag: "--connections=1",
            headers: "",
            refusal: "RS202 not_run",
        },
        Overload {
            name: "connections, keyed",
            flag: "--connections=1",
            headers: key,
            refusal: "RS202 may_have_run",
        },
    ];
    for case in cases {
        let daemon = daemon(&[case.flag]);
        let items = manual_stream(&daemon);
        let mut busy_caller = Caller::new(daemon.addr);
        busy_caller.post(CHAT, "", &chat("chat", true));
        let request = wait_for_stream(&daemon);
        let got = post(daemon.addr, CHAT, case.headers, &chat("chat", false));
        assert_eq!((got.status, got.refusal().as_str()), (503, case.refusal), "{}", case.name);
        assert!(got.header("retry-after").is_some(), "{}", case.name);
        items.send(done(&request, 0)).expect("an open stream");
        assert!(busy_caller.response().body.ends_with("data: [DONE]\n\n"), "{}", case.name);
        assert_eq!(daemon.engine.opened.lock().len(), 1, "{}", case.name);
    }
}

/// When a caller leaves, the engine's stream is closed and the ledger records it.
#[test]
fn caller_leaves() {
    let daemon = daemon(&[]);
    let items = manual_stream(&daemon);
    let mut caller = Caller::new(daemon.addr);
    caller.post(CHAT, "", &chat("chat", true));
    let request = wait_for_stream(&daemon);
    items.send(token(&request, 0)).expect("an open stream");
    caller.head();
    drop(caller);
    let writer = thread::spawn(move || {
        // The daemon notices the closed socket only when it writes.
        (1..1_000_000).find(|it| {
            thread::sleep(Duration::from_millis(1));
            items.send(token(&request, *it)).is_err() || items.is_disconnected()
        })
    });
    let end = &daemon.ledger.wait(1)[0];
    assert!(end.caller_left);
    assert_eq!(end.verdict, Verdict::MayHaveRun);
    // The fake holds a receiver too; it must be dropped to see that the daemon has dropped its own.
    *daemon.engine.script.lock() = EngineScript::Complete(0);
    assert!(writer.join().expect("join").is_some(), "the engine's stream must be closed");
}

/// Two requests with the same id from callers have different ids towards the engines.
#[test]
fn same_request_id() {
    let daemon = daemon(&[]);
    for _ in 0..2 {
        let got = post(daemon.addr, CHAT, "x-request-id: same\r\n", &chat("chat", false));
        assert_eq!(got.header("x-request-id"), Some("same"));
    }
    let opened = daemon.engine.opened.lock();
    assert_ne!(opened[0].answer, opened[1].answer);
}

/// Status requests, with and without a configuration.
#[test]
fn status_requests() {
    struct StatusCase {
        name: &'static str,
        path: &'static str,
        status: u16,
        text: &'static str,
        without_config: u16,
    }
    let cases = [
        StatusCase {
            name: "health",
            path: "/healthz",
            status: 200,
            text: "ok",
            without_config: 200,
        },
        StatusCase {
            name: "readiness",
            path: "/readyz",
            status: 200,
            text: "ready",
            without_config: 503,
        },
        StatusCase {
            name: "models",
            path: "/v1/models",
            status: 200,
            text: r#""id":"chat:tuned""#,
            without_config: 503,
        },
        StatusCase {
            name: "unknown request",
            path: "/v1/requests/nope",
            status: 404,
            text: "unknown",
            without_config: 404,
        },
        StatusCase {
            name: "metrics",
            path: "/metrics",
            status: 200,
            text: "roseshore_requests_total",
            without_config: 200,
        },
        StatusCase {
            name: "spans",
            path: "/v1/trace/seen",
            status: 200,
            text: r#""name":"admit""#,
            without_config: 200,
        },
        StatusCase {
            name: "caller's trace",
            path: "/v1/trace/seen",
            status: 200,
            text: "trace=0af7651916cd43dd8448eb211c80319c",
            without_config: 200,
        },
    ];
    let daemon = daemon(&[]);
    let unconfigured = daemon_with(&[], None);
    let trace = "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n";
    let got =
        post(daemon.addr, CHAT, &format!("x-request-id: seen\r\n{trace}"), &chat("chat", false));
    assert_eq!(got.status, 200);
    assert_eq!(post(unconfigured.addr, CHAT, "", &chat("chat", false)).refusal(), "RS501 not_run");
    for case in cases {
        let got = Caller::new(daemon.addr).get(case.path);
        assert_eq!(got.status, case.status, "{}", case.name);
        assert!(got.body.contains(case.text), "{}: {}", case.name, got.body);
        assert_eq!(
            Caller::new(unconfigured.addr).get(case.path).status,
            case.without_config,
            "{}",
            case.name
        );
    }
}
