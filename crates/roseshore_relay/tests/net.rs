//! Tests of how connections that end at once are seen.

use roseshore_relay::net::{DirectDial, Net};
use socket2::SockRef;
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
