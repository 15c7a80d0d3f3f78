//! Tests the engine client against a fake engine: complete answers, and the error reported for each
//! fault.

use roseshore_adapters::engine::EngineClient;
use roseshore_core::prelude::*;
use roseshore_fakes::closed::ClosedPort;
use roseshore_fakes::engine::chain::{ADAPTER, EngineChain, VERSION, whole, words};
use roseshore_fakes::engine::{EngineFaults, EngineSettings};
use roseshore_fakes::wait::wait_until;
use roseshore_ports::outside::{CallError, CallResult, Engine, StreamItem};
use roseshore_wire::engine::{Cancel, Generate, Holding, Order, Output, Role, Stage, Stamp};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

const LIMIT: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_secs(1);

fn chain(stages: u16, tune: impl Fn(&mut EngineSettings)) -> EngineChain {
    EngineChain::start(stages, tune).expect("free ports")
}

fn open(ask: &Generate, limit: Duration) -> CallResult<flume::Receiver<StreamItem>> {
    EngineClient::new().generate(ask.route[0].addr, ask, Instant::now() + limit)
}

/// The items received from one stream.
#[derive(Debug, Default)]
struct Received {
    tokens: Vec<(Position, String)>,
    lineages: Vec<Vec<Stamp>>,
    /// Number of tokens of another answer or epoch.
    foreign: usize,
    last: Option<Output>,
    end: Option<CallResult<()>>,
}

fn receive_all(ask: &Generate, stream: &flume::Receiver<StreamItem>) -> Received {
    let mut received = Received::default();
    while let Ok(item) = stream.recv_timeout(LIMIT) {
        match item {
            StreamItem::Output(Output::Token { answer, epoch, position, text, lineage }) => {
                if answer != ask.answer || epoch != ask.epoch {
                    received.foreign += 1;
                    continue;
                }
                received.tokens.push((position, text));
                received.lineages.push(lineage);
            }
            StreamItem::Output(last) => received.last = Some(last),
            StreamItem::Ended(end) => received.end = Some(end),
        }
    }
    received
}

fn texts(received: &Received) -> Vec<String> {
    received.tokens.iter().map(|(_, text)| text.clone()).collect()
}

#[test]
fn whole_answers() {
    struct Case {
        name: &'static str,
        stages: u16,
        prompt: &'static str,
        adapter: Option<&'static str>,
        end: (u32, &'static str),
    }
    let case = |name, stages, prompt, adapter, end| Case { name, stages, prompt, adapter, end };
    let cases = [
        case("one stage", 1, "review plate", None, (12, "length")),
        case("three stages", 3, "review plate", None, (12, "length")),
        case("four stages", 4, "review plate", None, (12, "length")),
        case("with an adapter", 3, "review plate", Some(ADAPTER), (12, "length")),
        case("stops early", 3, "review stop:5", None, (5, "stop")),
        case("no tokens", 3, "stop:0", None, (0, "stop")),
    ];
    for case in cases {
        let chain = chain(case.stages, |_| ());
        let mut ask = chain.ask("answer", 1);
        ask.prompt = words(case.prompt);
        ask.adapter = case.adapter.map(str::to_owned);
        ask.trace = Some(format!("00-{:032x}-{:016x}-01", 7, 9));
        let received = receive_all(&ask, &open(&ask, LIMIT).expect(case.name));
        assert_eq!(texts(&received), whole(&ask), "{}", case.name);
        assert_eq!(received.end, Some(Ok(())), "{}", case.name);
        let Some(Output::Done { count, reason, .. }) = received.last else {
            panic!("{}", case.name)
        };
        assert_eq!((count, reason.as_str()), case.end, "{}", case.name);
        let planned = ask.route.iter().map(|s| (&s.target, s.layers, 1));
        let planned: Vec<_> = planned.collect();
        for lineage in &received.lineages {
            let ran: Vec<_> = lineage.iter().map(|s| (&s.target, s.layers, s.epoch)).collect();
            assert_eq!(ran, planned, "{}", case.name);
        }
        assert_eq!(chain.stages[0].stats().trace, ask.trace, "{}", case.name);
    }
}

/// What the client is expected to report for a stream.
enum Report {
    /// Tokens at these positions with the correct texts, this number of tokens of another answer or
    /// epoch, then the regular end.
    Complete(Vec<Position>, usize),
    /// At most this number of tokens, then an error that satisfies the predicate.
    Broken(usize, fn(&CallError) -> bool),
    /// At most this number of tokens, then the engine's report that this stage was lost.
    Lost(usize, &'static str),
    /// A refusal with this status and `Retry-After`.
    Refused(u16, Option<Duration>),
    /// Tokens whose lineage leaves out a layer, and whose texts are different.
    Lineage,
}

#[test]
fn stream_faults() {
    struct Case {
        name: &'static str,
        stage: usize,
        fault: fn(&mut EngineFaults),
        report: Report,
    }
    let all = || (0..12).collect::<Vec<Position>>();
    let case = |name, stage, report, fault| Case { name, stage, fault, report };
    let lost = |tokens, stage: usize| Report::Lost(tokens, ["", "engine-1", "engine-2"][stage]);
    let broken = |tokens| Report::Broken(tokens, |e| matches!(e, CallError::Lost(_)));
    let garbled = Report::Broken(4, |e| matches!(e, CallError::Garbled(_)));
    let twice = (0..12).flat_map(|p| [p, p]).collect();
    let swapped = (0..12).map(|p| p ^ 1).collect();
    let but_five = (0..12).filter(|p| *p != 5).collect();
    let seven = Some(Duration::from_secs(7));
    let cases = [
        case("no fault", 0, Report::Complete(all(), 0), |_| ()),
        case("first stage dies before a token", 0, broken(0), |f| f.die_after = Some(0)),
        case("first stage dies after 3 tokens", 0, broken(3), |f| f.die_after = Some(3)),
        case("middle stage dies before a token", 1, lost(0, 1), |f| f.die_after = Some(0)),
        case("middle stage dies after 3 tokens", 1, lost(3, 1), |f| f.die_after = Some(3)),
        case("last stage dies after 3 tokens", 2, lost(3, 2), |f| f.die_after = Some(3)),
        case("first stage is frozen", 0, broken(0), |f| f.freeze = true),
        case("first stage freezes after 3 tokens", 0, broken(3), |f| f.freeze_after = Some(3)),
        case("middle stage freezes after 3 tokens", 1, lost(3, 1), |f| f.freeze_after = Some(3)),
        case("last stage is frozen", 2, lost(0, 2), |f| f.freeze = true),
        case("stream is cut before a token", 0, broken(0), |f| f.cut_after = Some(0)),
        case("stream is cut after 3 tokens", 0, broken(3), |f| f.cut_after = Some(3)),
        case("line is garbled", 0, garbled, |f| f.garble_after = Some(4)),
        case("tokens come late", 0, Report::Complete(all(), 0), |f| f.delay_ms = 3),
        case("steps are slow", 1, Report::Complete(all(), 0), |f| f.slow = 20.0),
        case("prefill is slow", 1, Report::Complete(all(), 0), |f| f.prefill_slow = 900.0),
        case("tokens come twice", 0, Report::Complete(twice, 0), |f| f.duplicate = true),
        case("tokens come out of order", 0, Report::Complete(swapped, 0), |f| f.reorder = true),
        case("tokens of an old epoch", 0, Report::Complete(all(), 12), |f| f.old_epoch = true),
        case("tokens of another answer", 0, Report::Complete(all(), 12), |f| f.crossed = true),
        case("a position is left out", 0, Report::Complete(but_five, 0), |f| f.skip = Some(5)),
        case("a stage leaves a layer out", 1, Report::Lineage, |f| f.wrong_lineage = true),
        case("engine is full", 0, Report::Refused(503, seven), |f| f.refuse = Some(7)),
    ];
    for case in cases {
        let mut faults = EngineFaults::default();
        (case.fault)(&mut faults);
        let frozen = faults.freeze || faults.freeze_after.is_some();
        let chain = chain(3, |settings| settings.hop_timeout = if frozen { SHORT } else { LIMIT });
        chain.stages[case.stage].faults().set(faults);
        // If the first stage freezes, only the deadline ends the stream. A frozen later stage is
        // reported by the stage before it.
        let limit = if frozen && case.stage == 0 { SHORT } else { LIMIT };
        let ask = chain.ask("answer", 1);
        check(case.name, &ask, open(&ask, limit), case.report);
    }
}

fn check(
    name: &str,
    ask: &Generate,
    opened: CallResult<flume::Receiver<StreamItem>>,
    report: Report,
) {
    if let Report::Refused(status, after) = report {
        let Err(CallError::Refused(got, wait, _)) = opened else { panic!("{name}") };
        return assert_eq!((got, wait), (status, after), "{name}");
    }
    let stream = match (opened, &report) {
        (Ok(stream), _) => stream,
        (Err(error), Report::Broken(..)) => {
            return assert_eq!(error.verdict(), Verdict::MayHaveRun, "{name}");
        }
        (Err(error), _) => panic!("{name}: {error}"),
    };
    let received = receive_all(ask, &stream);
    let right = whole(ask);
    let correct = received.tokens.iter().all(|(p, text)| right[*p as usize] == *text);
    match report {
        Report::Complete(positions, foreign) => {
            let got: Vec<_> = received.tokens.iter().map(|(p, _)| *p).collect();
            assert_eq!((got, received.foreign, correct), (positions, foreign, true), "{name}");
            assert!(matches!(received.last, Some(Output::Done { count: 12, .. })), "{name}");
            assert_eq!(received.end, Some(Ok(())), "{name}");
        }
        Report::Broken(most, fits) => {
            assert!(correct && received.tokens.len() <= most, "{name}: {received:?}");
            let Some(Err(error)) = received.end else { panic!("{name}: no error") };
            assert!(fits(&error), "{name}: {error}");
            assert_eq!(error.verdict(), Verdict::MayHaveRun, "{name}");
        }
        Report::Lost(most, target) => {
            assert!(correct && received.tokens.len() <= most, "{name}: {received:?}");
            let Some(Output::Lost { stage, .. }) = received.last else {
                panic!("{name}: {received:?}")
            };
            assert_eq!(stage.as_deref(), Some(target), "{name}");
            assert_eq!(received.end, Some(Ok(())), "{name}");
        }
        Report::Lineage => {
            assert!(received.lineages.iter().all(|l| l[1].layers == (5, 8)), "{name}");
            assert_ne!(texts(&received), right, "{name}");
        }
        Report::Refused(..) => {}
    }
}

#[test]
fn stages_check_what_they_are_asked_for() {
    struct Case {
        name: &'static str,
        change: fn(&mut Generate),
        stage: Option<usize>,
    }
    let case = |name, stage, change| Case { name, change, stage };
    let cases = [
        case("another target", Some(0), |ask| ask.route[0].target = "other".to_owned()),
        case("another life of the first stage", Some(0), |ask| ask.route[0].incarnation += 1),
        case("another life of a later stage", Some(1), |ask| ask.route[1].incarnation += 1),
        case("another model", Some(0), |ask| ask.model = "other".to_owned()),
        case("another version", Some(0), |ask| ask.version = "v2".to_owned()),
        case("an adapter that is not loaded", Some(0), |ask| ask.adapter = Some("x".to_owned())),
        case("layers beyond the first stage's", Some(0), |ask| ask.route[0].layers.1 += 1),
        case("layers beyond a later stage's", Some(1), |ask| ask.route[1].layers.1 += 1),
        case("a hole before a later stage", Some(1), |ask| ask.route[0].layers.1 -= 1),
        case("a route that begins late", Some(0), |ask| ask.route[0].layers.0 += 1),
        case("a stage twice", Some(2), |ask| ask.route.insert(1, ask.route[1].clone())),
        case("no stage", Some(0), |ask| ask.route.clear()),
    ];
    for Case { name, change, stage } in cases {
        let chain = chain(3, |_| ());
        let mut ask = chain.ask("answer", 1);
        change(&mut ask);
        let opened = EngineClient::new().generate(chain.addr(), &ask, Instant::now() + LIMIT);
        if stage == Some(0) {
            let Err(CallError::Refused(409, _, body)) = opened else { panic!("{name}") };
            let holding: Holding = serde_json::from_str(&body).expect(name);
            assert_eq!(holding.version.as_deref(), Some(VERSION), "{name}");
        } else {
            let received = receive_all(&ask, &opened.expect(name));
            let Some(Output::Lost { stage: Some(lost), .. }) = received.last else {
                panic!("{name}")
            };
            assert!(received.tokens.is_empty() && lost.starts_with("engine-"), "{name}: {lost}");
        }
        let steps: u64 = chain.stages.iter().map(|stage| stage.stats().steps).sum();
        assert_eq!(steps, 0, "{name}");
    }
}

/// Starts a server that accepts one connection, then sends these bytes and closes it, or sends
/// nothing.
fn serve_once(bytes: Option<&'static [u8]>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let Ok((mut socket, _)) = listener.accept() else { return };
        let _ = socket.read(&mut [0; 16 << 10]);
        match bytes {
            Some(bytes) => drop(socket.write_all(bytes)),
            None => thread::sleep(SHORT * 3),
        }
    });
    addr
}

#[test]
fn verdicts_of_calls() {
    struct Case {
        name: &'static str,
        reply: Option<&'static [u8]>,
        kind: fn(&CallError) -> bool,
        verdict: Verdict,
    }
    let lost = |e: &CallError| matches!(e, CallError::Lost(_));
    let garbled = |e: &CallError| matches!(e, CallError::Garbled(_));
    let may = Verdict::MayHaveRun;
    let cases = [
        Case { name: "silence", reply: None, kind: lost, verdict: may },
        Case {
            name: "closed without a reply",
            reply: Some(b""),
            kind: |e| e.verdict() == Verdict::MayHaveRun,
            verdict: may,
        },
        Case {
            name: "no HTTP",
            reply: Some(b"\x16\x03\x01 what\r\n\r\n"),
            kind: |e| e.verdict() == Verdict::MayHaveRun,
            verdict: may,
        },
        Case {
            name: "no JSON",
            reply: Some(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{x\n"),
            kind: garbled,
            verdict: may,
        },
        Case {
            name: "body cut",
            reply: Some(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"),
            kind: |e| e.verdict() == Verdict::MayHaveRun,
            verdict: may,
        },
        Case {
            name: "ended without a word",
            reply: Some(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            kind: |e| e.verdict() == Verdict::MayHaveRun,
            verdict: may,
        },
        Case {
            name: "redirect",
            reply: Some(
                b"HTTP/1.1 307 No\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
            ),
            kind: garbled,
            verdict: may,
        },
        Case {
            name: "failure inside",
            reply: Some(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
            kind: lost,
            verdict: may,
        },
        Case {
            name: "full",
            reply: Some(b"HTTP/1.1 503 No\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"),
            kind: |e| *e == CallError::Refused(503, Some(Duration::from_secs(3)), String::new()),
            verdict: Verdict::NotRun,
        },
        Case {
            name: "full for a part of a second",
            reply: Some(b"HTTP/1.1 503 No\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"),
            kind: |e| {
                *e == CallError::Refused(503, Some(Duration::from_millis(500)), String::new())
            },
            verdict: Verdict::NotRun,
        },
    ];
    for case in cases {
        for (call, error) in calls(case.reply.map_or(SHORT, |_| LIMIT), || serve_once(case.reply)) {
            let error = error.expect_err(case.name);
            assert!((case.kind)(&error), "{} {call}: {error:?}", case.name);
            assert_eq!(error.verdict(), case.verdict, "{} {call}", case.name);
        }
    }
    let closed = ClosedPort::start().expect("a free port");
    for (call, error) in calls(LIMIT, || closed.addr()) {
        let error = error.expect_err("connection refused");
        assert!(matches!(error, CallError::Unreached(_)), "connection refused {call}: {error:?}");
    }
}

/// Makes a call of each kind, each to a new server.
fn calls(limit: Duration, server: impl Fn() -> SocketAddr) -> Vec<(&'static str, CallResult<()>)> {
    let client = EngineClient::new();
    let cancel = Cancel { answer: "answer".to_owned(), epoch: 1, keep_kv: false };
    let addr = server();
    let stage = Stage { target: "engine-0".to_owned(), addr, layers: (0, 12), incarnation: 1 };
    let mut ask = EngineChain { stages: Vec::new() }.ask("answer", 1);
    ask.route.push(stage);
    // Lines of a stream are read after the response head, so a fault in them ends the open stream.
    let streamed = client
        .generate(addr, &ask, Instant::now() + limit)
        .and_then(|stream| receive_all(&ask, &stream).end.unwrap_or(Ok(())));
    let mut outcomes = vec![("generate", streamed)];
    outcomes.push(("load", client.load(server(), limit).map(drop)));
    outcomes.push(("cache", client.cache(server(), 0, limit).map(drop)));
    outcomes.push(("order", client.order(server(), &order(1, VERSION), limit).map(drop)));
    let addr = server();
    let cancelled = client.cancel(addr, &cancel, limit);
    // The body of a cancel's reply is not parsed, so an invalid body is not an error.
    if cancelled.is_err() {
        outcomes.push(("cancel", cancelled));
    }
    outcomes
}

fn order(fence: Fence, version: &str) -> Order {
    Order {
        fence,
        order: format!("order-{fence}"),
        model: Some("indus".to_owned()),
        version: Some(version.to_owned()),
        layers: (0, 12),
        adapters: [ADAPTER.to_owned()].into(),
        role: Role::Both,
    }
}

#[test]
fn abandoned_streams_are_closed() {
    let chain = chain(3, |settings| settings.step = Duration::from_millis(5));
    let mut ask = chain.ask("answer", 1);
    ask.max_tokens = 1_000_000;
    let stream = open(&ask, LIMIT * 10).expect("open");
    assert!(matches!(stream.recv_timeout(LIMIT), Ok(StreamItem::Output(_))));
    drop(stream);
    let client = EngineClient::new();
    for stage in &chain.stages {
        let idle = || client.load(stage.addr(), LIMIT).is_ok_and(|load| load.running == 0);
        wait_until("the stages have stopped", idle);
    }
}

#[test]
fn an_abandoned_stream_of_a_silent_engine_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let mut ask = EngineChain { stages: Vec::new() }.ask("answer", 1);
    let target = "engine-0".to_owned();
    ask.route.push(Stage { target, addr, layers: (0, 12), incarnation: 1 });
    let engine = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let read = socket.read(&mut [0; 16 << 10]);
        socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("sent");
        socket.set_read_timeout(Some(LIMIT)).expect("a timeout");
        (read.is_ok(), socket.read(&mut [0; 1 << 10]).map_err(|e| e.kind()))
    });
    drop(open(&ask, LIMIT * 10).expect("the response head has arrived"));
    let (read, closed) = engine.join().expect("the engine thread has ended");
    assert!(read && !matches!(closed, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)));
}
