//! Tests of how connections that end at once are seen, and of what is delivered after one is closed.

use roseshore_relay::net::{DirectDial, Net};
use roseshore_relay::slab::Key;
use socket2::SockRef;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

/// What becomes of a connection before its host looks at it.
struct Case {
    name: &'static str,
    /// Whether the listener is closed before the connection is opened.
    closed: bool,
    /// Whether the connection is reset once it is accepted.
    reset: bool,
    accepted: bool,
    connected: bool,
}

const CASES: [Case; 3] = [
    Case { name: "accepted", closed: false, reset: false, accepted: true, connected: true },
    Case { name: "reset at once", closed: false, reset: true, accepted: true, connected: false },
    Case { name: "refused", closed: true, reset: false, accepted: false, connected: false },
];

#[test]
fn a_connection_that_is_reset_at_once_was_accepted() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("bound");
        let listener = Some(listener).filter(|_| !case.closed);
        let mut net = Net::new(64, Box::new(DirectDial)).expect("a poll");
        let key = net.connect(addr).expect("it is begun");
        let accepted = listener.as_ref().map(|listener| listener.accept().expect("one").0);
        if let Some(stream) = accepted.as_ref().filter(|_| case.reset) {
            SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("it is open");
        }
        let kept = accepted.filter(|_| !case.reset);
        let mut changes = Vec::new();
        net.wait(Duration::from_secs(5)).expect("a poll");
        net.process_ready(&mut changes);
        let socket = net.get(key).expect("it is kept");
        assert_eq!(socket.was_accepted(), case.accepted, "{}", case.name);
        assert_eq!(socket.connected, case.connected, "{}", case.name);
        drop(kept);
    }
}

/// More bytes than the other end's system takes in while they are not read.
const UNREAD: usize = 6 << 20;

/// How a connection is closed whose other end has not received everything.
struct Closed {
    name: &'static str,
    close: fn(&mut Net, Key),
    delivered: bool,
}

const CLOSES: [Closed; 2] = [
    Closed { name: "closed", close: Net::close, delivered: true },
    Closed { name: "aborted", close: Net::abort, delivered: false },
];

/// Guards against bytes that arrive after their connection was given up.
#[test]
fn an_aborted_connection_delivers_nothing_more() {
    for case in CLOSES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut net = Net::new(64, Box::new(DirectDial)).expect("a poll");
        let key = net.connect(listener.local_addr().expect("bound")).expect("it is begun");
        let mut other_end = listener.accept().expect("one").0;
        net.wait(Duration::from_secs(5)).expect("a poll");
        net.process_ready(&mut Vec::new());
        net.send(key, &vec![0; UNREAD]);
        let written = UNREAD - net.get(key).expect("it is open").unwritten();
        (case.close)(&mut net, key);
        let mut received = Vec::new();
        let end = other_end.read_to_end(&mut received);
        assert_eq!(end.is_ok() && received.len() == written, case.delivered, "{}", case.name);
    }
}
