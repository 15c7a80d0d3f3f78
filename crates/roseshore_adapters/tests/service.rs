//! Tests the client for replicas of lookup and plain services, with their faults.

use roseshore_adapters::service::HttpServices;
use roseshore_core::prelude::*;
use roseshore_fakes::closed::ClosedPort;
use roseshore_fakes::service::records::Source;
use roseshore_fakes::service::{ServiceFake, ServiceFaults, ServiceSettings};
use roseshore_ports::outside::{CallContext, CallError, CallResult, ServiceReply, Services};
use roseshore_wire::service::Missing;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

const BOUND: Duration = Duration::from_secs(20);

fn start(remembers: bool) -> ServiceFake {
    let records = [("weld-9".to_owned(), "{\"card\":9}".to_owned())].into();
    let source = Source { name: "certs".to_owned(), percent: 100, records };
    let settings = ServiceSettings { sources: vec![source], remembers, ..Default::default() };
    ServiceFake::start(settings).unwrap()
}

fn context(limit: Duration) -> CallContext {
    let trace = Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".to_owned());
    CallContext { deadline: Instant::now() + limit, trace, request: "r1".to_owned() }
}

/// The kind of a call's result: the status of the reply, or the kind of the error.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Status(u16),
    Unreached,
    Lost,
    Refused,
    Garbled,
}

fn kind(called: &CallResult<ServiceReply>) -> Kind {
    match called {
        Ok(reply) => Kind::Status(reply.status),
        Err(CallError::Unreached(_)) => Kind::Unreached,
        Err(CallError::Lost(_)) => Kind::Lost,
        Err(CallError::Refused(..)) => Kind::Refused,
        Err(CallError::Garbled(_) | CallError::Trimmed(..)) => Kind::Garbled,
    }
}

#[test]
fn service_faults() {
    struct Case {
        name: &'static str,
        faults: ServiceFaults,
        limit: Duration,
        call: Kind,
        ran: u64,
        lookup: Kind,
    }
    let none = ServiceFaults::default;
    let short = Duration::from_millis(300);
    let case =
        |name, faults, limit, call, ran, lookup| Case { name, faults, limit, call, ran, lookup };
    let cases = [
        case("no fault", none(), BOUND, Kind::Status(200), 1, Kind::Status(200)),
        case(
            "error after the run",
            ServiceFaults { error: true, ..none() },
            BOUND,
            Kind::Status(500),
            1,
            Kind::Status(500),
        ),
        case(
            "garbled",
            ServiceFaults { garbled: true, ..none() },
            BOUND,
            Kind::Garbled,
            1,
            Kind::Garbled,
        ),
        case(
            "cut in the body",
            ServiceFaults { cut_body: true, ..none() },
            short,
            Kind::Lost,
            1,
            Kind::Lost,
        ),
        case(
            "not run",
            ServiceFaults { not_run: true, ..none() },
            BOUND,
            Kind::Refused,
            0,
            Kind::Status(503),
        ),
        case(
            "reply lost after the run",
            ServiceFaults { lose_replies: 2, ..none() },
            short,
            Kind::Lost,
            1,
            Kind::Lost,
        ),
        case(
            "source cannot say",
            ServiceFaults { unknown: true, ..none() },
            BOUND,
            Kind::Status(200),
            1,
            Kind::Status(500),
        ),
        case("gone", ServiceFaults { die: true, ..none() }, short, Kind::Lost, 0, Kind::Lost),
        case("frozen", ServiceFaults { freeze: true, ..none() }, short, Kind::Lost, 0, Kind::Lost),
        case(
            "slower than the deadline",
            ServiceFaults { slow_ms: 2000, ..none() },
            short,
            Kind::Lost,
            1,
            Kind::Lost,
        ),
    ];
    for case in cases {
        let fake = start(false);
        let services = HttpServices::default();
        fake.faults.set(case.faults);
        let call = services.call(fake.addr(), "notes", b"x", Some("k"), &context(case.limit));
        assert_eq!(kind(&call), case.call, "call, {}", case.name);
        let end = Instant::now() + BOUND;
        while fake.ran().total < case.ran && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(fake.ran().total, case.ran, "runs, {}", case.name);
        let lookup = services.lookup(fake.addr(), "certs", "weld-9", &context(case.limit));
        assert_eq!(kind(&lookup), case.lookup, "lookup, {}", case.name);
        if let Err(error) = call {
            let ran = error.verdict() == Verdict::NotRun && case.ran > 0;
            assert!(!ran, "reported as not run although it ran, {}", case.name);
        }
    }
}

#[test]
fn a_replica_that_does_not_listen_was_not_reached() {
    let closed = ClosedPort::start().unwrap();
    let services = HttpServices::default();
    let call = services.call(closed.addr(), "notes", b"x", None, &context(BOUND));
    assert_eq!(kind(&call), Kind::Unreached);
    let lookup = services.lookup(closed.addr(), "certs", "weld-9", &context(BOUND));
    assert_eq!(kind(&lookup), Kind::Unreached);
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let fake = start(false);
    let call = HttpServices::default().call(fake.addr(), "n", b"x", None, &context(Duration::ZERO));
    assert_eq!(kind(&call), Kind::Unreached);
    assert_eq!(fake.ran().total, 0);
}

#[test]
fn lookups_tell_records_from_missing_names() {
    let fake = start(false);
    let services = HttpServices::default();
    let found = services.lookup(fake.addr(), "certs", "weld-9", &context(BOUND)).unwrap();
    assert_eq!((found.status, found.body.as_slice()), (200, b"{\"card\":9}".as_slice()));
    let generated = services.lookup(fake.addr(), "certs", "pkg-7", &context(BOUND)).unwrap();
    assert_eq!(generated.status, 200);
    let missing = services.lookup(fake.addr(), "certs", "none", &context(BOUND)).unwrap();
    let said: Missing = serde_json::from_slice(&missing.body).unwrap();
    let wanted = Missing { source: "certs".to_owned(), missing: "none".to_owned() };
    assert_eq!((missing.status, said), (404, wanted));
    let other = services.lookup(fake.addr(), "elsewhere", "weld-9", &context(BOUND)).unwrap();
    assert_eq!(other.status, 500);
}

#[test]
fn a_target_that_remembers_answers_a_repeat_with_the_first_result() {
    let fake = start(true);
    let services = HttpServices::default();
    let call = |body: &[u8]| services.call(fake.addr(), "notes", body, Some("k"), &context(BOUND));
    let first = call(b"one").unwrap();
    let again = call(b"two").unwrap();
    assert_eq!((first.replayed, again.replayed), (false, true));
    assert_eq!(first.body, again.body);
    assert_eq!(fake.ran().keys["k"], 1);
    assert_eq!(fake.ran().requests["r1"], 1);
}

#[test]
fn the_report_shows_life_and_leaving() {
    let fake = start(false);
    let services = HttpServices::default();
    assert!(!services.load(fake.addr(), BOUND).unwrap().leaving);
    fake.faults.change(|f| f.leaving = true);
    let report = services.load(fake.addr(), BOUND).unwrap();
    assert_eq!((report.leaving, report.incarnation, report.slots), (true, 1, 64));
}

/// Starts a server that reads one request per connection, sends its head to the returned channel,
/// answers with these bytes and closes the connection.
fn scripted(reply: &'static [u8]) -> (SocketAddr, flume::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (heads, seen) = flume::unbounded();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let head = head(&mut BufReader::new(&stream));
            heads.send(head).unwrap();
            let _ = stream.write_all(reply);
        }
    });
    (addr, seen)
}

/// Reads a request and returns its head in lower case. The body is discarded.
fn head(reader: &mut BufReader<&std::net::TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).is_ok_and(|n| n > 0) {}
    let head = head.to_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    let length = length.map_or(0, |l| l.parse().unwrap());
    let _ = reader.read_exact(&mut vec![0; length]);
    head
}

#[test]
fn broken_replies_prove_nothing_and_a_call_is_sent_once() {
    struct Case {
        name: &'static str,
        reply: &'static [u8],
        kind: Kind,
    }
    let cases = [
        Case { name: "closed without a byte", reply: b"", kind: Kind::Lost },
        Case { name: "cut in the head", reply: b"HTTP/1.1 503 X\r\nConte", kind: Kind::Lost },
        Case {
            name: "cut in the body of a 'not run'",
            reply: b"HTTP/1.1 503 X\r\nContent-Length: 20\r\n\r\n{\"not_run\":true}",
            kind: Kind::Lost,
        },
        Case { name: "of no length", reply: b"HTTP/1.1 200 X\r\n\r\nhalf", kind: Kind::Lost },
        Case {
            name: "503 that says nothing of running",
            reply: b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}",
            kind: Kind::Status(503),
        },
        Case {
            name: "redirect",
            reply: b"HTTP/1.1 307 X\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
            kind: Kind::Status(307),
        },
        Case {
            name: "'not run'",
            reply: b"HTTP/1.1 503 X\r\nContent-Length: 16\r\n\r\n{\"not_run\":true}",
            kind: Kind::Refused,
        },
    ];
    for case in cases {
        let (addr, seen) = scripted(case.reply);
        let call = HttpServices::default().call(addr, "notes", b"x", Some("k"), &context(BOUND));
        assert_eq!(kind(&call), case.kind, "{}", case.name);
        assert_eq!(seen.len(), 1, "sent more than once, {}", case.name);
    }
}

/// Guards against replies that are none in the protocol, such as one whose status is 000 or 666.
#[test]
fn invalid_replies_prove_nothing() {
    const SAID: &str = "{\"not_run\":true}";
    let head =
        |line: &str, fields: &str| format!("{line}\r\n{fields}Content-Length: 16\r\n\r\n{SAID}");
    let lines =
        ["000 X", "001 X", "099 X", "101 X", "600 X", "666 X", "999 X", "0200 X", "0503 X", "20 X"];
    let mut replies: Vec<String> =
        lines.iter().map(|line| head(&format!("HTTP/1.1 {line}"), "")).collect();
    replies.extend(
        ["HTTQ/1.1 200 X", "HTTP/9.1 200 X", "HTTP/1.1 5\u{1}3"].map(|line| head(line, "")),
    );
    for field in ["na me: x", "na\u{1}me: x", "name: a\u{1}b", "name : x"] {
        replies.push(head("HTTP/1.1 503 X", &format!("{field}\r\n")));
    }
    for reply in replies {
        let (addr, seen) = scripted(String::leak(reply.clone()).as_bytes());
        let services = HttpServices::default();
        let call = services.call(addr, "notes", b"x", Some("k"), &context(BOUND));
        assert!([Kind::Lost, Kind::Garbled].contains(&kind(&call)), "{reply:?}: {call:?}");
        assert_eq!(seen.len(), 1, "sent more than once, {reply:?}");
        let lookup = services.lookup(addr, "certs", "weld-9", &context(BOUND));
        assert!([Kind::Lost, Kind::Garbled].contains(&kind(&lookup)), "{reply:?}: {lookup:?}");
    }
}

#[test]
fn a_call_never_goes_over_a_kept_connection() {
    let reply = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";
    // The server closes the connection after each reply without a `Connection: close` header, as
    // it does for a connection that has been idle too long.
    let (addr, seen) = scripted(reply);
    let services = HttpServices::default();
    for turn in 0..20 {
        let call = services.call(addr, "notes", b"x", None, &context(BOUND));
        assert_eq!(kind(&call), Kind::Status(200), "call {turn}");
    }
    assert_eq!(seen.len(), 20);
}

#[test]
fn lookups_go_over_kept_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (opened, connections) = flume::unbounded();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            opened.send(()).unwrap();
            while !head(&mut BufReader::new(&stream)).is_empty() {
                let reply = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";
                stream.write_all(reply).unwrap();
            }
        }
    });
    let services = HttpServices::default();
    for _ in 0..10 {
        let reply = services.lookup(addr, "certs", "n", &context(BOUND));
        assert_eq!(kind(&reply), Kind::Status(200));
    }
    assert_eq!(connections.len(), 1);
}

#[test]
fn trace_key_request_and_deadline_travel() {
    let (addr, seen) = scripted(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
    let context = context(BOUND);
    HttpServices::default().call(addr, "notes", b"x", Some("k9"), &context).unwrap();
    let head = seen.recv().unwrap();
    let trace = format!("traceparent: {}", context.trace.unwrap());
    for wanted in ["idempotency-key: k9", "x-request-id: r1", "x-deadline-ms: 1", &trace] {
        assert!(head.contains(wanted), "`{wanted}` is not in {head}");
    }
}
