//! The callers' contract, against a daemon in this process with fakes behind it.

#[path = "support/fakes.rs"]
mod fakes;

use fakes::*;
use roseshore_core::prelude::*;
use roseshore_ports::inside::Outcome;
use roseshore_ports::outside::{CallError, StreamItem};
use std::sync::atomic::Ordering;
use std::thread;

struct Refused {
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

fn case(name: &'static str, raw: String, status: u16, refusal: &'static str) -> Refused {
    Refused { name, raw, status, refusal }
}

fn refused_cases() -> Vec<Refused> {
    let good = &chat("chat", false);
    let big = "x".repeat(3000);
    let chunk = format!("bb8\r\n{big}\r\n0\r\n\r\n");
    // Neither of these heads ends: without its bound, each would be waited for.
    let long_head = format!("POST / HTTP/1.1\r\na: {}", "y".repeat(20_000));
    let many = format!("POST / HTTP/1.1\r\n{}", "a: b\r\n".repeat(200));
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(201));
    let with = |field: &str| good.replacen('{', &format!("{{{field},"), 1);
    let post = "POST /v1/chat/completions";
    let org = "x-organisation: acme\r\n";
    let chunked = &format!("{org}transfer-encoding: chunked\r\n");
    let (gone, bad, header) = ("RS108 not_run", "RS101 not_run", "RS109 not_run");
    vec![
        case("unknown path", raw("GET /v2/x", "", ""), 404, gone),
        case("wrong method", raw("PUT /v1/chat/completions", "", ""), 404, gone),
        case("unknown model", chat_raw("", &chat("nope", false)), 404, "RS104 not_run"),
        case("lookup service as model", chat_raw("", &chat("cards", false)), 404, "RS104 not_run"),
        case("unknown adapter", chat_raw("", &chat("chat:x", false)), 404, "RS107 not_run"),
        case("unknown service", raw("GET /v1/lookup/nope/a", org, ""), 404, "RS105 not_run"),
        case("name with dots", raw("GET /v1/lookup/cards/../x", org, ""), 400, bad),
        case("unknown organisation", chat_raw("x-organisation: q\r\n", good), 403, "RS106 not_run"),
        case("no organisation", raw(post, "content-length: 0\r\n", ""), 400, bad),
        case("broken json", chat_raw("", "{\"model\":"), 400, bad),
        case("several answers", chat_raw("", &with("\"n\":2")), 400, bad),
        case("stop words", chat_raw("", &with("\"stop\":[\"x\"]")), 400, bad),
        case("no tokens", chat_raw("", &with("\"max_tokens\":0")), 400, bad),
        case("body far over bound", chat_raw("", &"x".repeat(300_000)), 413, "RS102 not_run"),
        case("length over bound", chat_raw("", &big), 413, "RS102 not_run"),
        case(
            "length that ends tiny_http",
            raw(post, "content-length: 1000000000000000\r\n", "abc"),
            413,
            "RS102 not_run",
        ),
        case(
            "length past u64",
            raw(post, "content-length: 99999999999999999999\r\n", ""),
            400,
            header,
        ),
        case("negative length", raw(post, "content-length: -1\r\n", ""), 400, header),
        case("chunks over bound", raw(post, chunked, &chunk), 413, "RS102 not_run"),
        case("broken chunk", raw(post, chunked, "zz\r\n"), 400, bad),
        case(
            "both lengths",
            raw(post, "content-length: 1\r\ntransfer-encoding: chunked\r\n", ""),
            400,
            header,
        ),
        case("unknown encoding", raw(post, "transfer-encoding: gzip\r\n", ""), 400, header),
        case("long head", long_head, 400, bad),
        case("many headers", many, 400, bad),
        case("folded header", raw(post, "a: b\r\n c\r\n", ""), 400, header),
        case("header without colon", raw(post, "abc\r\n", ""), 400, header),
        case("other protocol", "\u{16}\u{3}\u{1}\n".to_owned(), 400, bad),
        case("other version", "GET / HTTP/2.0\r\n\r\n".to_owned(), 400, bad),
        case("deadline of words", chat_raw("x-deadline-ms: soon\r\n", good), 400, header),
        case("deadline of nothing", chat_raw("x-deadline-ms: 0\r\n", good), 400, header),
        case("priority too high", chat_raw("x-priority: 10\r\n", good), 400, header),
        case("key too long", chat_raw(&long_key, good), 400, header),
        case(
            "key twice",
            chat_raw("idempotency-key: a\r\nidempotency-key: b\r\n", good),
            400,
            header,
        ),
        case(
            "keyed, unknown service",
            chat_raw("idempotency-key: a\r\n", &chat("nope", false)),
            404,
            "RS104 may_have_run",
        ),
        case("keyed, broken json", chat_raw("idempotency-key: a\r\n", "{"), 400, bad),
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

/// Every bad input is refused within its bound, with a code, and nothing is dispatched.
#[test]
fn bad_input() {
    let daemon = daemon(&["--caller-ms=300"]);
    for case in refused_cases() {
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

struct Ended {
    name: &'static str,
    play: Play,
    stream: bool,
    verdict: Verdict,
}

/// What the caller is told, by how the engine behaves.
#[test]
fn ends() {
    let refuse = |status| Play::Fail(CallError::Refused(status, None, String::new()));
    let unreached = Play::Fail(CallError::Unreached("x".to_owned()));
    let lost = Play::Fail(CallError::Lost("x".to_owned()));
    let (not, may, whole) = (Verdict::NotRun, Verdict::MayHaveRun, Verdict::Answered);
    let cases = [
        Ended { name: "whole", play: Play::Whole(3), stream: false, verdict: whole },
        Ended { name: "whole stream", play: Play::Whole(3), stream: true, verdict: whole },
        Ended { name: "empty stream", play: Play::Whole(0), stream: true, verdict: whole },
        Ended { name: "other holding", play: refuse(409), stream: true, verdict: not },
        Ended { name: "full engine", play: refuse(503), stream: false, verdict: not },
        Ended { name: "unreached", play: unreached, stream: false, verdict: not },
        Ended { name: "head lost", play: lost, stream: false, verdict: may },
        Ended { name: "cut before a token", play: Play::Cut(0), stream: true, verdict: may },
        Ended { name: "cut, not streamed", play: Play::Cut(2), stream: false, verdict: may },
        Ended { name: "cut in the stream", play: Play::Cut(2), stream: true, verdict: may },
        Ended { name: "panic after dispatch", play: Play::Panic, stream: true, verdict: may },
    ];
    for case in cases {
        let daemon = daemon(&[]);
        *daemon.engine.play.lock() = case.play;
        let headers = "x-request-id: r-1\r\nx-deadline-ms: 4000\r\n";
        let got = post(daemon.addr, CHAT, headers, &chat("verdicts", case.stream));
        let end = &daemon.ledger.wait(1)[0];
        assert_eq!(end.verdict, case.verdict, "{}: {got:?}", case.name);
        assert_eq!(got.header("x-request-id"), Some("r-1"), "{}", case.name);
        let done = got.body.ends_with("data: [DONE]\n\n");
        let stream = got.header("content-type") == Some("text/event-stream");
        assert_eq!(done, case.stream && case.verdict == whole, "{}: {got:?}", case.name);
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
                let stay = (verdict == may).then_some("false");
                assert_eq!(got.header("x-should-retry"), stay, "{}", case.name);
            }
        }
    }
}

/// A panic says "not run" only before anything was dispatched, and the daemon goes on.
#[test]
fn panics() {
    let daemon = daemon(&[]);
    *daemon.admission.panics.lock() = true;
    let got = post(daemon.addr, CHAT, "", &chat("verdicts", true));
    assert_eq!((got.status, got.refusal().as_str()), (500, "RS503 not_run"));
    *daemon.admission.panics.lock() = false;
    // The first chain is refused by its engine, the choice of the second one panics.
    daemon.router.panics_from.store(1, Ordering::SeqCst);
    *daemon.engine.play.lock() = Play::Fail(CallError::Refused(503, None, String::new()));
    let got = post(daemon.addr, CHAT, "", &chat("verdicts", true));
    assert_eq!((got.status, got.refusal().as_str()), (500, "RS503 may_have_run"));
    assert_eq!(got.header("x-should-retry"), Some("false"));
    daemon.router.panics_from.store(3, Ordering::SeqCst);
    let got = post(daemon.addr, CHAT, "idempotency-key: k1\r\n", &chat("verdicts", false));
    assert_eq!((got.status, got.refusal().as_str()), (500, "RS503 may_have_run"));
    let calls = ["begin acme/verdicts/k1", "dispatch", "settle may_have_run"];
    assert_eq!(*daemon.claims.calls.lock(), calls);
    daemon.router.panics_from.store(usize::MAX, Ordering::SeqCst);
    *daemon.engine.play.lock() = Play::Whole(3);
    assert_eq!(post(daemon.addr, CHAT, "", &chat("chat", false)).status, 200);
    let ends = daemon.ledger.wait(4);
    let mut verdicts: Vec<Verdict> = ends.iter().map(|it| it.verdict).collect();
    // A request ends in the ledger after its caller has its answer, so their order is free.
    verdicts.sort_unstable();
    let may = Verdict::MayHaveRun;
    assert_eq!(verdicts, [Verdict::NotRun, may, may, Verdict::Answered]);
}

/// The engine gives token n + 1 only after the caller has read token n.
#[test]
fn tokens_reach_the_caller_one_by_one() {
    let daemon = daemon(&[]);
    let give = by_hand(&daemon);
    let mut caller = Caller::new(daemon.addr);
    caller.post(CHAT, "", &chat("chat", true));
    let ask = opened(&daemon);
    for position in 0..5 {
        give.send(token(&ask, position)).expect("a listener");
        if position == 0 {
            assert_eq!(caller.head().status, 200);
        }
        let chunk = caller.chunk();
        assert!(chunk.contains(&format!(r#""content":"t{position} ""#)), "{chunk}");
    }
    give.send(done(&ask, 5)).expect("a listener");
    give.send(StreamItem::Ended(Ok(()))).expect("a listener");
    assert!(caller.chunk().contains(r#""finish_reason":"stop""#));
    assert_eq!(caller.chunk(), "data: [DONE]\n\n");
    assert_eq!(caller.chunk(), "");
    assert_eq!(caller.get("/healthz").status, 200, "the connection serves on");
}

/// Whole answers and streams in both forms, as stock clients read them.
#[test]
fn forms() {
    struct Form {
        name: &'static str,
        path: &'static str,
        ask: &'static str,
        object: &'static str,
        text: &'static str,
    }
    let cases = [
        Form {
            name: "chat",
            path: CHAT,
            ask: r#""messages":[{"role":"user","content":[{"type":"text","text":"a b"}]}]"#,
            object: "chat.completion",
            text: "/choices/0/message/content",
        },
        Form {
            name: "text",
            path: TEXT,
            ask: r#""prompt":"a b c""#,
            object: "text_completion",
            text: "/choices/0/text",
        },
        Form {
            name: "one text of a list",
            path: TEXT,
            ask: r#""prompt":["a b c"],"temperature":0.2"#,
            object: "text_completion",
            text: "/choices/0/text",
        },
    ];
    let daemon = daemon(&[]);
    for case in cases {
        let body = format!(r#"{{"model":"chat:tuned",{}}}"#, case.ask);
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

struct Keyed {
    name: &'static str,
    key: Key1,
    play: Play,
    calls: &'static [&'static str],
    refusal: &'static str,
}

fn outcome(verdict: Verdict) -> Outcome {
    let body = br#"{"request":"r","text":"kept","count":1,"reason":"stop"}"#.to_vec();
    Outcome { verdict, status: 200, content: String::new(), body }
}

/// A key is claimed before its dispatch and ended once, whatever happens in between.
#[test]
fn keys() {
    const BEGIN: &str = "begin acme/verdicts/k1";
    let busy = Refusal::may_have_run(Code::KeyInProgress, "x");
    let unreached = Play::Fail(CallError::Unreached("x".to_owned()));
    let kept = Key1::Settled(outcome(Verdict::Answered));
    let unknown = Key1::Settled(outcome(Verdict::MayHaveRun));
    let whole = || Play::Whole(3);
    let cases = [
        Keyed {
            name: "won",
            key: Key1::Win,
            play: whole(),
            calls: &[BEGIN, "dispatch", "settle answered"],
            refusal: "- answered",
        },
        Keyed {
            name: "lapsed",
            key: Key1::Lapse,
            play: whole(),
            calls: &[BEGIN, "dispatch"],
            refusal: "RS401 not_run",
        },
        Keyed { name: "kept", key: kept, play: whole(), calls: &[BEGIN], refusal: "- answered" },
        Keyed {
            name: "unknown",
            key: unknown,
            play: whole(),
            calls: &[BEGIN],
            refusal: "RS402 may_have_run",
        },
        Keyed {
            name: "busy",
            key: Key1::Refuse(busy),
            play: whole(),
            calls: &[BEGIN],
            refusal: "RS401 may_have_run",
        },
        Keyed {
            name: "unreached",
            key: Key1::Win,
            play: unreached,
            calls: &[BEGIN, "dispatch", "settle not_run"],
            refusal: "RS301 not_run",
        },
        Keyed {
            name: "cut",
            key: Key1::Win,
            play: Play::Cut(1),
            calls: &[BEGIN, "dispatch", "settle may_have_run"],
            refusal: "RS303 may_have_run",
        },
        Keyed {
            name: "engine panics",
            key: Key1::Win,
            play: Play::Panic,
            calls: &[BEGIN, "dispatch", "settle may_have_run"],
            refusal: "RS303 may_have_run",
        },
    ];
    for case in cases {
        let daemon = daemon(&[]);
        *daemon.claims.key.lock() = case.key;
        *daemon.engine.play.lock() = case.play;
        let headers = "idempotency-key: k1\r\nx-deadline-ms: 4000\r\n";
        let got = post(daemon.addr, CHAT, headers, &chat("verdicts", false));
        assert_eq!(*daemon.claims.calls.lock(), case.calls, "{}", case.name);
        assert_eq!(got.refusal(), case.refusal, "{}", case.name);
    }
}

/// A repeat of a key is answered from the record, whole or as a stream, and nothing is dispatched.
#[test]
fn repeats() {
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

struct Full {
    name: &'static str,
    flag: &'static str,
    headers: &'static str,
    refusal: &'static str,
}

/// Past its bounds the daemon refuses at once, and says "not run" only where no key is in play.
#[test]
fn no_room() {
    let key = "idempotency-key: k\r\n";
    let cases = [
        Full { name: "requests", flag: "--requests=1", headers: "", refusal: "RS202 not_run" },
        Full {
            name: "requests, keyed",
            flag: "--requests=1",
            headers: key,
            refusal: "RS202 may_have_run",
        },
        Full {
            name: "connections",
            flag: "--connections=1",
            headers: "",
            refusal: "RS202 not_run",
        },
        Full {
            name: "connections, keyed",
            flag: "--connections=1",
            headers: key,
            refusal: "RS202 may_have_run",
        },
    ];
    for case in cases {
        let daemon = daemon(&[case.flag]);
        let give = by_hand(&daemon);
        let mut held = Caller::new(daemon.addr);
        held.post(CHAT, "", &chat("chat", true));
        let ask = opened(&daemon);
        let got = post(daemon.addr, CHAT, case.headers, &chat("chat", false));
        assert_eq!((got.status, got.refusal().as_str()), (503, case.refusal), "{}", case.name);
        assert!(got.header("retry-after").is_some(), "{}", case.name);
        give.send(done(&ask, 0)).expect("a listener");
        assert!(held.response().body.ends_with("data: [DONE]\n\n"), "{}", case.name);
        assert_eq!(daemon.engine.opened.lock().len(), 1, "{}", case.name);
    }
}

/// A caller that leaves ends the engine's work, and the ledger says so.
#[test]
fn caller_leaves() {
    let daemon = daemon(&[]);
    let give = by_hand(&daemon);
    let mut caller = Caller::new(daemon.addr);
    caller.post(CHAT, "", &chat("chat", true));
    let ask = opened(&daemon);
    give.send(token(&ask, 0)).expect("a listener");
    caller.head();
    drop(caller);
    let ender = thread::spawn(move || {
        // Written until the closed socket tells.
        (1..1_000_000).find(|it| {
            thread::sleep(Duration::from_millis(1));
            give.send(token(&ask, *it)).is_err() || give.is_disconnected()
        })
    });
    let end = &daemon.ledger.wait(1)[0];
    assert!(end.caller_left);
    assert_eq!(end.verdict, Verdict::MayHaveRun);
    // The fake's own copy of the stream must go before the daemon's can be seen to be gone.
    *daemon.engine.play.lock() = Play::Whole(0);
    assert!(ender.join().expect("join").is_some(), "the engine's stream was let go");
}

/// One caller's id twice at once stays two requests behind the front.
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

/// What can be seen of the daemon, with and without a configuration.
#[test]
fn sight() {
    struct Seen {
        name: &'static str,
        path: &'static str,
        status: u16,
        text: &'static str,
        bare: u16,
    }
    let cases = [
        Seen { name: "health", path: "/healthz", status: 200, text: "ok", bare: 200 },
        Seen { name: "readiness", path: "/readyz", status: 200, text: "ready", bare: 503 },
        Seen {
            name: "models",
            path: "/v1/models",
            status: 200,
            text: r#""id":"chat:tuned""#,
            bare: 503,
        },
        Seen {
            name: "unknown request",
            path: "/v1/requests/nope",
            status: 404,
            text: "unknown",
            bare: 404,
        },
        Seen {
            name: "metrics",
            path: "/metrics",
            status: 200,
            text: "roseshore_requests_total",
            bare: 200,
        },
        Seen {
            name: "spans",
            path: "/v1/trace/seen",
            status: 200,
            text: r#""name":"admit""#,
            bare: 200,
        },
        Seen {
            name: "caller's trace",
            path: "/v1/trace/seen",
            status: 200,
            text: "trace=0af7651916cd43dd8448eb211c80319c",
            bare: 200,
        },
    ];
    let daemon = daemon(&[]);
    let bare = daemon_with(&[], None);
    let trace = "traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n";
    let got =
        post(daemon.addr, CHAT, &format!("x-request-id: seen\r\n{trace}"), &chat("chat", false));
    assert_eq!(got.status, 200);
    assert_eq!(post(bare.addr, CHAT, "", &chat("chat", false)).refusal(), "RS501 not_run");
    for case in cases {
        let got = Caller::new(daemon.addr).get(case.path);
        assert_eq!(got.status, case.status, "{}", case.name);
        assert!(got.body.contains(case.text), "{}: {}", case.name, got.body);
        assert_eq!(Caller::new(bare.addr).get(case.path).status, case.bare, "{}", case.name);
    }
}
