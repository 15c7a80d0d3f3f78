//! Tests the client for the log, the host list and the weight store, with their faults.

use roseshore_adapters::platform::HttpPlatform;
use roseshore_core::prelude::*;
use roseshore_fakes::closed::ClosedPort;
use roseshore_fakes::platform::log::Retention;
use roseshore_fakes::platform::{PlatformFake, PlatformFaults, PlatformSettings};
use roseshore_fakes::wait::wait_until;
use roseshore_ports::outside::{CallError, HostList, Log, WeightStore};
use roseshore_wire::platform::{Host, HostState};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

const LIMIT: Duration = Duration::from_secs(2);
const LONG: Duration = Duration::from_secs(20);

fn start(settings: PlatformSettings) -> (PlatformFake, HttpPlatform) {
    let fake = PlatformFake::start(settings).unwrap();
    let adapter = HttpPlatform::new(fake.addr(), LIMIT);
    (fake, adapter)
}

fn texts(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("record {i}")).collect()
}

fn host(name: &str) -> Host {
    let data_centre = "korangi".to_owned();
    Host { host: name.to_owned(), data_centre, state: HostState::Live, peer: None }
}

/// The result of a call by the kind of its error.
#[derive(Debug, PartialEq)]
enum Outcome {
    Ok,
    Unreached,
    Lost,
    Refused(u16),
    Garbled,
    Trimmed,
}

fn outcome<T>(called: Result<T, CallError>) -> Outcome {
    match called {
        Ok(_) => Outcome::Ok,
        Err(CallError::Unreached(_)) => Outcome::Unreached,
        Err(CallError::Lost(_)) => Outcome::Lost,
        Err(CallError::Refused(status, ..)) => Outcome::Refused(status),
        Err(CallError::Garbled(_)) => Outcome::Garbled,
        Err(CallError::Trimmed(..)) => Outcome::Trimmed,
    }
}

struct LogFault {
    name: &'static str,
    faults: PlatformFaults,
    /// Limit of the two calls whose outcomes are compared.
    limit: Duration,
    append: Outcome,
    appended: bool,
    read: Outcome,
}

fn log_fault_cases() -> Vec<LogFault> {
    let none = PlatformFaults::default;
    vec![
        LogFault {
            name: "no fault",
            faults: none(),
            limit: LONG,
            append: Outcome::Ok,
            appended: true,
            read: Outcome::Ok,
        },
        LogFault {
            name: "log out",
            faults: PlatformFaults { log_out: true, ..none() },
            limit: LONG,
            append: Outcome::Lost,
            appended: false,
            read: Outcome::Lost,
        },
        LogFault {
            name: "appends out",
            faults: PlatformFaults { appends_out: true, ..none() },
            limit: LONG,
            append: Outcome::Refused(503),
            appended: false,
            read: Outcome::Ok,
        },
        LogFault {
            name: "appends over the rate",
            faults: PlatformFaults { appends_limited: true, ..none() },
            limit: LONG,
            append: Outcome::Refused(429),
            appended: false,
            read: Outcome::Ok,
        },
        LogFault {
            name: "reads out",
            faults: PlatformFaults { reads_out: true, ..none() },
            limit: LONG,
            append: Outcome::Ok,
            appended: true,
            read: Outcome::Refused(503),
        },
        LogFault {
            name: "reply lost after the append took effect",
            faults: PlatformFaults { lose_replies: 1, ..none() },
            limit: LONG,
            append: Outcome::Lost,
            appended: true,
            read: Outcome::Ok,
        },
        LogFault {
            name: "replies lost on another stream only",
            faults: PlatformFaults { lose_replies: 1, lose_stream: "other".into(), ..none() },
            limit: LONG,
            append: Outcome::Ok,
            appended: true,
            read: Outcome::Ok,
        },
        LogFault {
            name: "garbled replies",
            faults: PlatformFaults { garbled: true, ..none() },
            limit: LONG,
            append: Outcome::Garbled,
            appended: true,
            read: Outcome::Garbled,
        },
        LogFault {
            name: "slower than the limit",
            faults: PlatformFaults { slow_ms: 3000, ..none() },
            limit: LIMIT,
            append: Outcome::Lost,
            appended: true,
            read: Outcome::Lost,
        },
        LogFault {
            name: "trimmed",
            faults: PlatformFaults { trim_to: Some(0), ..none() },
            limit: LONG,
            append: Outcome::Ok,
            appended: true,
            read: Outcome::Trimmed,
        },
    ]
}

#[test]
fn log_faults() {
    for case in log_fault_cases() {
        let fake = PlatformFake::start(PlatformSettings::default()).unwrap();
        let (log, patient) =
            (HttpPlatform::new(fake.addr(), case.limit), HttpPlatform::new(fake.addr(), LONG));
        patient.append("s", &texts(1)).unwrap();
        fake.faults.set(case.faults);
        assert_eq!(outcome(log.append("s", &texts(1))), case.append, "append, {}", case.name);
        assert_eq!(outcome(log.read("s", 0, 10, Duration::ZERO)), case.read, "read, {}", case.name);
        fake.faults.clear();
        let end = |log: &HttpPlatform| log.read("s", 9, 1, Duration::ZERO).unwrap().end;
        let wanted = if case.appended { 2 } else { 1 };
        wait_until(case.name, || end(&patient) == wanted);
    }
}

#[test]
fn a_platform_that_does_not_listen_was_not_reached() {
    let closed = ClosedPort::start().unwrap();
    let platform = HttpPlatform::new(closed.addr(), LIMIT);
    assert_eq!(outcome(platform.append("s", &texts(1))), Outcome::Unreached);
    assert_eq!(outcome(platform.read("s", 0, 1, Duration::ZERO)), Outcome::Unreached);
    assert_eq!(outcome(platform.hosts()), Outcome::Unreached);
    assert_eq!(outcome(platform.weights()), Outcome::Unreached);
}

/// Starts a server that answers every connection with these bytes, whatever the request.
fn scripted(reply: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(reply);
        }
    });
    addr
}

#[test]
fn broken_replies_prove_nothing() {
    struct Case {
        name: &'static str,
        reply: &'static [u8],
        outcome: Outcome,
    }
    let cases = [
        Case { name: "closed without a byte", reply: b"", outcome: Outcome::Lost },
        Case { name: "cut in the status line", reply: b"HTTP/1.1 50", outcome: Outcome::Lost },
        Case {
            name: "cut in a refusal's head",
            reply: b"HTTP/1.1 503 X\r\n",
            outcome: Outcome::Lost,
        },
        Case {
            name: "cut in a refusal's body",
            reply: b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nnoth",
            outcome: Outcome::Lost,
        },
        Case {
            name: "cut in the body",
            reply: b"HTTP/1.1 200 X\r\nContent-Length: 11\r\n\r\n{\"first\":1",
            outcome: Outcome::Lost,
        },
        Case {
            name: "a redirect is not followed",
            reply: b"HTTP/1.1 307 X\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
            outcome: Outcome::Garbled,
        },
        Case {
            name: "whole refusal",
            reply: b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
            outcome: Outcome::Refused(503),
        },
        Case {
            name: "whole reply",
            reply: b"HTTP/1.1 200 X\r\nContent-Length: 11\r\n\r\n{\"first\":1}",
            outcome: Outcome::Ok,
        },
    ];
    for case in cases {
        let log = HttpPlatform::new(scripted(case.reply), LIMIT);
        assert_eq!(outcome(log.append("s", &texts(1))), case.outcome, "{}", case.name);
    }
}

/// Guards against replies that are none in the protocol, such as one whose status is 0503.
#[test]
fn invalid_replies_prove_nothing() {
    let head = |line: &str, fields: &str| {
        format!("{line}\r\n{fields}Content-Length: 11\r\n\r\n{{\"first\":1}}")
    };
    let lines =
        ["000 X", "099 X", "600 X", "999 X", "0200 X", "+200 X", "200200 X", "0503 X", "+503 X"];
    let mut replies: Vec<String> =
        lines.iter().map(|line| head(&format!("HTTP/1.1 {line}"), "")).collect();
    replies.extend(["HTTQ/1.1 200 X", "HTTP/9.1 200 X", "200 200 X"].map(|line| head(line, "")));
    for field in ["na me: x", "na\u{1}me: x", "name: a\u{1}b", "name : x", "name"] {
        replies.push(head("HTTP/1.1 200 X", &format!("{field}\r\n")));
    }
    for reply in replies {
        let log = HttpPlatform::new(scripted(String::leak(reply.clone()).as_bytes()), LIMIT);
        let got = outcome(log.append("s", &texts(1)));
        assert!([Outcome::Lost, Outcome::Garbled].contains(&got), "{reply:?}: {got:?}");
    }
}

#[test]
fn offsets_have_no_holes_and_reads_go_on() {
    let (_fake, log) = start(PlatformSettings::default());
    assert_eq!(log.read("s", 0, 9, Duration::ZERO).unwrap().end, 0);
    assert_eq!(log.append("s", &texts(3)).unwrap(), 0);
    assert_eq!(log.append("other", &texts(1)).unwrap(), 0);
    assert_eq!(log.append("s", &texts(2)).unwrap(), 3);
    let part = log.read("s", 1, 3, Duration::ZERO).unwrap();
    let offsets: Vec<Offset> = part.records.iter().map(|r| r.offset).collect();
    assert_eq!(offsets, [1, 2, 3]);
    assert_eq!((part.end, part.oldest), (5, 0));
    assert!(part.records.is_sorted_by_key(|r| r.time_ms));
}

#[test]
fn retention_keeps_the_newest() {
    let keep = Retention { count: Some(2), age: None };
    let (_fake, log) = start(PlatformSettings { keep, ..PlatformSettings::default() });
    log.append("s", &texts(5)).unwrap();
    assert_eq!(log.read("s", 0, 9, Duration::ZERO).unwrap_err(), CallError::Trimmed(3, 5));
    assert_eq!(log.read("s", 3, 9, Duration::ZERO).unwrap().records.len(), 2);
}

#[test]
fn a_waiting_read_gets_the_next_record() {
    let (_fake, log) = start(PlatformSettings::default());
    let reader = thread::spawn({
        let log = log.clone();
        move || log.read("s", 0, 9, LONG).unwrap()
    });
    thread::sleep(Duration::from_millis(20));
    log.append("s", &texts(1)).unwrap();
    assert_eq!(reader.join().unwrap().records.len(), 1);
}

#[test]
fn appends_are_limited_over_all_streams_and_many_records_count_once() {
    let (fake, log) = start(PlatformSettings { appends: 0.001, ..PlatformSettings::default() });
    log.append("a", &texts(500)).unwrap();
    assert_eq!(outcome(log.append("b", &texts(1))), Outcome::Refused(429));
    assert_eq!(fake.appends(), 1);
}

#[test]
fn host_list_faults() {
    struct Case {
        name: &'static str,
        faults: PlatformFaults,
        shown: Result<HostState, Outcome>,
    }
    let none = PlatformFaults::default;
    let hour = Some(3_600_000);
    let cases = [
        Case { name: "no fault", faults: none(), shown: Ok(HostState::Leaving) },
        Case {
            name: "lag",
            faults: PlatformFaults { hosts_lag_ms: hour, ..none() },
            shown: Ok(HostState::Live),
        },
        Case {
            name: "frozen",
            faults: PlatformFaults { hosts_frozen: true, ..none() },
            shown: Ok(HostState::Live),
        },
        Case {
            name: "out",
            faults: PlatformFaults { hosts_out: true, ..none() },
            shown: Err(Outcome::Lost),
        },
    ];
    for case in cases {
        let hosts = vec![host("h1"), host("h2")];
        let (fake, list) = start(PlatformSettings { hosts, ..PlatformSettings::default() });
        fake.faults.set(case.faults);
        // With `hosts_frozen`, the list freezes when it is first read after the fault is set.
        let _ = list.hosts();
        assert!(fake.leave("h2"));
        assert!(!fake.leave("unknown"));
        let shown = list.hosts();
        let state = shown.map(|s| s.hosts[1].state).map_err(|e| outcome::<()>(Err(e)));
        assert_eq!(state, case.shown, "{}", case.name);
        fake.faults.clear();
        assert_eq!(list.hosts().unwrap().hosts[1].state, HostState::Leaving, "{}", case.name);
    }
}

#[test]
fn weight_store_gives_at_its_rate() {
    let (fake, store) = start(PlatformSettings { rate: 1000, ..PlatformSettings::default() });
    assert_eq!(store.weights().unwrap().backlog, 0);
    let url = format!("http://{}/v1/weights/take?bytes=1000000", fake.addr());
    thread::spawn(move || minreq::get(url).send());
    wait_until("a backlog", || store.weights().unwrap().backlog > 900_000);
    assert_eq!(store.weights().unwrap().rate, 1000);
    fake.faults.change(|f| f.weights_out = true);
    assert_eq!(outcome(store.weights()), Outcome::Lost);
}
