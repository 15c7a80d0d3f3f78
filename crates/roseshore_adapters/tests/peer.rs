//! Tests the communication between peers: requests over TCP and datagrams over UDP, with faults.

use roseshore_adapters::peer::{Numbered, PeerLimits, TcpPeers, UdpSocket, serve};
use roseshore_core::prelude::*;
use roseshore_ports::inside::PeerHandler;
use roseshore_ports::outside::{CallError, Datagrams, Peers};
use roseshore_wire::frame;
use roseshore_wire::peer::{Datagram, Heartbeat, PeerReply, PeerRequest};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket as Raw};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

const LIMIT: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(100);

fn ask(key: &str) -> PeerRequest {
    PeerRequest::Outcome { key: key.into() }
}

fn outcome(key: &str) -> PeerReply {
    PeerReply::Outcome { outcome: Some(key.into()) }
}

/// Handler that replies to each request for an outcome with the key itself.
struct Echo;

impl PeerHandler for Echo {
    fn answer(&self, ask: &PeerRequest) -> Option<PeerReply> {
        match ask {
            PeerRequest::Outcome { key } => Some(outcome(key)),
            _ => None,
        }
    }
}

/// Starts a peer that passes its `n`th connection to `handle`. Returns its address and the number of
/// connections it has accepted.
fn spawn_peer(
    handle: impl Fn(usize, TcpStream) + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("its address");
    let count = Arc::new(AtomicUsize::new(0));
    let (seen, handle) = (count.clone(), Arc::new(handle));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let n = seen.fetch_add(1, Ordering::SeqCst);
            let handle = handle.clone();
            thread::spawn(move || handle(n, stream));
        }
    });
    (addr, count)
}

/// Reads a request, and returns its number and the reply that an [`Echo`] would send.
fn read_request(stream: &mut TcpStream) -> Option<(u64, PeerReply)> {
    let ask: Numbered<PeerRequest> = frame::read(stream).ok()?;
    let PeerRequest::Outcome { key } = ask.body else { return None };
    Some((ask.number, outcome(&key)))
}

fn send_reply(stream: &mut TcpStream, number: u64, body: PeerReply) {
    let _ = frame::write(stream, &Numbered { number, body });
}

#[test]
fn client_faults() {
    struct Case {
        name: &'static str,
        handle: fn(TcpStream),
        verdict: Verdict,
        garbled: bool,
    }
    let cases = [
        Case {
            name: "closed before the reply",
            handle: |mut s| drop(read_request(&mut s)),
            verdict: Verdict::MayHaveRun,
            garbled: false,
        },
        Case {
            name: "cut in the middle of a frame",
            handle: |mut s| {
                read_request(&mut s);
                let _ = s.write_all(&[0, 0, 0, 40, frame::VERSION, 0]);
            },
            verdict: Verdict::MayHaveRun,
            garbled: false,
        },
        Case {
            name: "another version",
            handle: |mut s| {
                read_request(&mut s);
                let _ = s.write_all(&[0, 0, 0, 3, frame::VERSION + 1, 0, 3]);
                thread::sleep(LIMIT);
            },
            verdict: Verdict::MayHaveRun,
            garbled: true,
        },
        Case {
            name: "a frame beyond the bound",
            handle: |mut s| {
                read_request(&mut s);
                let _ = s.write_all(&u32::MAX.to_be_bytes());
                thread::sleep(LIMIT);
            },
            verdict: Verdict::MayHaveRun,
            garbled: true,
        },
        Case {
            name: "bytes that are no reply",
            handle: |mut s| {
                read_request(&mut s);
                let _ = s.write_all(&[0, 0, 0, 3, frame::VERSION, 0, 99]);
                thread::sleep(LIMIT);
            },
            verdict: Verdict::MayHaveRun,
            garbled: true,
        },
        Case {
            name: "silent",
            handle: |_s| thread::sleep(LIMIT),
            verdict: Verdict::MayHaveRun,
            garbled: false,
        },
    ];
    for case in cases {
        let handle = case.handle;
        let (addr, _) = spawn_peer(move |_, stream| handle(stream));
        let limit = if case.name == "silent" { SHORT } else { LIMIT };
        let got = TcpPeers::new(PeerLimits::default()).ask(addr, &ask("k"), limit);
        let error = got.expect_err(case.name);
        assert_eq!(error.verdict(), case.verdict, "{}: {error}", case.name);
        assert_eq!(matches!(error, CallError::Garbled(_)), case.garbled, "{}: {error}", case.name);
    }
}

#[test]
fn refused_is_not_run_and_rests() {
    // A port below the ephemeral range, so that no listener of another test can be bound to it.
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let limits = PeerLimits { initial_backoff: LIMIT, max_backoff: LIMIT, ..PeerLimits::default() };
    let peers = TcpPeers::new(limits);
    let first = peers.ask(addr, &ask("k"), LIMIT).expect_err("no listener");
    assert_eq!(first.verdict(), Verdict::NotRun);
    let second = peers.ask(addr, &ask("k"), LIMIT).expect_err("within the backoff");
    assert_eq!(
        second,
        CallError::Unreached(format!("`{addr}` failed recently and its backoff has not ended"))
    );
}

#[test]
fn a_late_reply_never_reaches_another_question() {
    let (addr, count) = spawn_peer(|_, mut stream| {
        let (late, old) = read_request(&mut stream).expect("the first question");
        let (number, new) = read_request(&mut stream).expect("the second question");
        send_reply(&mut stream, late, old);
        send_reply(&mut stream, 77, outcome("never asked"));
        send_reply(&mut stream, number, new);
        send_reply(&mut stream, number, outcome("told twice"));
        while let Some((number, body)) = read_request(&mut stream) {
            send_reply(&mut stream, number, body);
        }
    });
    let peers = TcpPeers::new(PeerLimits::default());
    assert!(peers.ask(addr, &ask("old"), SHORT).is_err());
    assert_eq!(peers.ask(addr, &ask("new"), LIMIT), Ok(outcome("new")));
    assert_eq!(peers.ask(addr, &ask("next"), LIMIT), Ok(outcome("next")));
    assert_eq!(count.load(Ordering::SeqCst), 1, "one connection per pair");
}

#[test]
fn replies_in_any_order_reach_their_questions() {
    let (addr, count) = spawn_peer(|_, mut stream| {
        let asked: Vec<_> = (0..8).filter_map(|_| read_request(&mut stream)).collect();
        for (number, body) in asked.into_iter().rev() {
            send_reply(&mut stream, number, body);
        }
        thread::sleep(LIMIT);
    });
    let peers = TcpPeers::new(PeerLimits::default());
    thread::scope(|scope| {
        for i in 0..8 {
            let (peers, key) = (&peers, format!("k{i}"));
            scope.spawn(move || assert_eq!(peers.ask(addr, &ask(&key), LIMIT), Ok(outcome(&key))));
        }
    });
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

#[test]
fn a_dead_connection_is_made_anew() {
    let (addr, count) = spawn_peer(|n, mut stream| {
        while let Some((number, body)) = read_request(&mut stream) {
            if n > 0 {
                send_reply(&mut stream, number, body);
            }
        }
    });
    let peers =
        TcpPeers::new(PeerLimits { initial_backoff: Duration::ZERO, ..PeerLimits::default() });
    let answered = (0..5).any(|_| peers.ask(addr, &ask("k"), SHORT * 5) == Ok(outcome("k")));
    assert!(answered, "the connection is reopened after timeouts");
    assert_eq!(count.load(Ordering::SeqCst), 2);
}

#[test]
fn waiting_questions_are_bounded() {
    let (addr, _) = spawn_peer(|_, stream| {
        thread::sleep(LIMIT);
        drop(stream);
    });
    let peers = TcpPeers::new(PeerLimits { max_pending: 0, ..PeerLimits::default() });
    let error = peers.ask(addr, &ask("k"), SHORT).expect_err("too many pending requests");
    assert_eq!(error.verdict(), Verdict::NotRun);
}

#[test]
fn server_faults() {
    struct Case {
        name: &'static str,
        bytes: &'static [u8],
    }
    let cases = [
        Case { name: "another version", bytes: &[0, 0, 0, 3, frame::VERSION + 1, 0, 1] },
        Case { name: "beyond the bound", bytes: &[255, 255, 255, 255] },
        Case { name: "no question", bytes: &[0, 0, 0, 3, frame::VERSION, 0, 99] },
        Case { name: "empty frame", bytes: &[0, 0, 0, 0] },
    ];
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let server = serve(listener, vec![Arc::new(Echo)]).expect("a server");
    for case in cases {
        let mut stream = TcpStream::connect(server.addr()).expect(case.name);
        stream.set_read_timeout(Some(LIMIT)).expect(case.name);
        stream.write_all(case.bytes).expect(case.name);
        let got = frame::read::<Numbered<PeerReply>>(&mut stream).expect_err(case.name);
        let frame::FrameError::Io(e) = got else { panic!("{}: {got}", case.name) };
        assert_ne!(e.kind(), std::io::ErrorKind::WouldBlock, "{}: left open", case.name);
        let peers = TcpPeers::new(PeerLimits::default());
        assert_eq!(peers.ask(server.addr(), &ask("k"), LIMIT), Ok(outcome("k")), "{}", case.name);
    }
    let unhandled = PeerRequest::Query { query: String::new() };
    let peers = TcpPeers::new(PeerLimits::default());
    let got = peers.ask(server.addr(), &unhandled, LIMIT);
    assert!(matches!(got, Ok(PeerReply::Unable { .. })), "no handler answers it: {got:?}");
}

#[test]
fn datagrams() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
    }
    let text = |len| "x".repeat(len);
    let heartbeat = |host: String| Datagram::Beat {
        heartbeat: Heartbeat {
            host,
            data_centre: "d".into(),
            incarnation: 1,
            sequence: 1,
            leaving: false,
            offset: 7,
            digest: 8,
        },
        notes: Vec::new(),
    };
    let mut wrong_version = frame::encode(&heartbeat("h".into()), 1400).expect("short");
    wrong_version[0] += 1;
    let cases = [
        Case { name: "empty", bytes: vec![] },
        Case { name: "noise", bytes: b"GET / HTTP/1.1\r\n\r\n".to_vec() },
        Case { name: "another version", bytes: wrong_version },
        Case {
            name: "beyond the bound",
            bytes: frame::encode(&heartbeat(text(1500)), 9000).expect(""),
        },
        Case {
            name: "cut short",
            bytes: frame::encode(&heartbeat(text(9)), 9000).expect("")[..9].into(),
        },
    ];
    let socket = UdpSocket::bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let to = socket.addr().expect("its address");
    let raw = Raw::bind("127.0.0.1:0").expect("a port");
    for case in cases {
        raw.send_to(&case.bytes, to).expect(case.name);
        assert_eq!(socket.receive(SHORT), None, "{}", case.name);
    }
    let from = UdpSocket::bind(([127, 0, 0, 1], 0).into()).expect("a port");
    from.send(to, &heartbeat("h".into())).expect("sent");
    let got = socket.receive(LIMIT).expect("the valid datagram arrives after the invalid ones");
    assert_eq!(
        (got.from, got.datagram),
        (from.addr().expect("its address"), heartbeat("h".into()))
    );
    assert!(
        from.send(to, &heartbeat(text(1500))).is_err(),
        "a datagram beyond the size limit is not sent"
    );
}
