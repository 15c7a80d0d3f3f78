//! Drain: requests in flight finish, and new ones are refused.

#[path = "support/fakes.rs"]
mod fakes;
#[path = "support/process.rs"]
mod process;

use fakes::*;
use process::Process;
use roseshore_core::prelude::*;
use std::thread;

/// Streams and calls in flight finish completely; later requests are refused as not run.
#[test]
fn in_flight_requests_finish() {
    let daemon = daemon(&["--drain-ms=60000"]);
    let tokens = manual_stream(&daemon);
    let mut streaming = Caller::new(daemon.addr);
    streaming.post(CHAT, "", &chat("chat", true));
    let request = wait_for_stream(&daemon);
    tokens.send(token(&request, 0)).expect("a listener");
    let head = streaming.head();
    let mut kept = Caller::new(daemon.addr);
    assert_eq!(kept.get("/readyz").status, 200);
    daemon.running.drain();
    let addr = daemon.addr;
    let finish = thread::spawn(move || daemon.running.finish());
    assert_eq!(kept.get("/readyz").refusal(), "RS204 not_run");
    let after = [("", "RS204 not_run"), ("idempotency-key: k\r\n", "RS204 may_have_run")];
    for (headers, refusal) in after {
        let got = post(addr, CHAT, headers, &chat("chat", true));
        assert_eq!((got.status, got.refusal().as_str()), (503, refusal));
        assert_eq!(got.header("connection"), Some("close"));
        assert!(got.header("retry-after").is_some());
    }
    kept.post(CHAT, "", &chat("chat", true));
    assert_eq!(kept.response().refusal(), "RS204 not_run");
    assert!(kept.closed(), "a kept connection is closed");
    tokens.send(token(&request, 1)).expect("a listener");
    tokens.send(done(&request, 2)).expect("a listener");
    assert!(streaming.rest(head).body.ends_with("data: [DONE]\n\n"));
    assert_eq!(finish.join().expect("join"), 0);
    assert_eq!(daemon.engine.opened.lock().len(), 1);
}

/// Requests that outlast the drain limit are counted as cut off.
#[test]
fn drain_limit() {
    let daemon = daemon(&["--drain-ms=0"]);
    let _tokens = manual_stream(&daemon);
    let mut streaming = Caller::new(daemon.addr);
    streaming.post(CHAT, "", &chat("chat", true));
    wait_for_stream(&daemon);
    assert_eq!(daemon.running.finish(), 1);
}

struct SignalCase {
    name: &'static str,
    grace: &'static str,
    sent: &'static [&'static str],
    status: i32,
}

/// One signal drains and exits with 0, a second one ends the process at once.
#[test]
fn signals() {
    let cases = [
        SignalCase { name: "term", grace: "--grace-ms=0", sent: &["TERM"], status: 0 },
        SignalCase { name: "int", grace: "--grace-ms=0", sent: &["INT"], status: 0 },
        SignalCase {
            name: "twice",
            grace: "--grace-ms=600000",
            sent: &["TERM", "TERM"],
            status: 1,
        },
        SignalCase {
            name: "suspended first",
            grace: "--grace-ms=0",
            sent: &["STOP", "CONT", "TERM"],
            status: 0,
        },
    ];
    for case in cases {
        let mut process = Process::start(&[case.grace]);
        for (index, signal) in case.sent.iter().enumerate() {
            if index > 0 && *signal == "TERM" && case.sent[index - 1] == "TERM" {
                let ready = || Caller::new(process.addr).get("/readyz").refusal();
                while ready() != "RS204 not_run" {
                    thread::yield_now();
                }
            }
            process.signal(signal);
        }
        assert_eq!(process.wait_for_exit().code(), Some(case.status), "{}", case.name);
    }
}

/// A daemon that was suspended continues to serve, including connections made while it was
/// suspended.
#[test]
fn suspended_and_resumed() {
    let process = Process::start(&["--grace-ms=0"]);
    for _ in 0..3 {
        process.signal("STOP");
        let mut caller = Caller::new(process.addr);
        caller.send("GET /healthz HTTP/1.1\r\n\r\n");
        // Longer than the interval at which the acceptor checks for connections.
        thread::sleep(Duration::from_millis(250));
        process.signal("CONT");
        assert_eq!(caller.response().status, 200);
    }
}
