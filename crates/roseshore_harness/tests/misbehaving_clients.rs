//! Crowds of clients that stop short of the end of large bodies, at a daemon as a process.

use roseshore_harness::caller::{Chat, RequestOptions};
use roseshore_harness::fleets::{self, CHAT, CUSTOMER, Shape};
use roseshore_harness::process::{open_descriptors, peak_resident_mb, wait_until};
use roseshore_harness::world::{Plan, World};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Memory that a daemon may take whose settings do not name any, MB.
const MEMORY_MB: usize = 256;
/// Connections that callers may have.
const CONNECTIONS: usize = 1024;
/// Descriptors of a daemon besides those of its callers.
const OWN_DESCRIPTORS: usize = 200;
/// Clients of a crowd.
const CROWD: usize = 600;
/// The largest body that the default settings allow, bytes.
const BODY: usize = 1 << 20;
/// Longest wait of a client to send, which a daemon that no longer reads may use up.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without more memory after which a crowd has had its effect.
const QUIET_TIME: Duration = Duration::from_millis(500);

struct Case {
    name: &'static str,
    framing: String,
    /// What is sent of the body, framed.
    body: Vec<u8>,
}

fn cases() -> Vec<Case> {
    let chunks = |size: usize, count: usize| {
        format!("{size:x}\r\n{}\r\n", "x".repeat(size)).repeat(count).into_bytes()
    };
    let chunked = || "transfer-encoding: chunked".to_owned();
    vec![
        Case { name: "large chunks", framing: chunked(), body: chunks(64 << 10, 15) },
        Case { name: "small chunks", framing: chunked(), body: chunks(32, 30_000) },
        Case {
            name: "announced",
            framing: format!("content-length: {BODY}"),
            body: vec![b'x'; BODY - 1],
        },
    ]
}

/// Sends a request without its end on a new connection, and returns the connection.
fn send(addr: SocketAddr, case: &Case) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("it listens");
    stream.set_write_timeout(Some(SEND_TIMEOUT)).expect("a timeout");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-organisation: {CUSTOMER}\r\n{}\r\n\r\n",
        case.framing
    );
    // The daemon may refuse the request, and need not read all of it.
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&case.body));
    stream
}

/// Waits until a process takes no more memory.
fn settle(process: u32) {
    let mut last = None;
    wait_until(|| {
        thread::sleep(QUIET_TIME);
        std::mem::replace(&mut last, peak_resident_mb(process)) == last
    });
}

/// Guards against bodies that are each within the limit and together take all memory.
#[test]
fn bodies_without_end_stay_within_the_memory_of_the_daemon() {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut peaks = Vec::new();
    for case in cases() {
        let flags = ["--connections", &CONNECTIONS.to_string(), "--caller-ms", "60000"];
        let plan = Plan {
            fleet: fleets::fleet(Shape::default()),
            daemons: 1,
            flags: flags.map(str::to_owned).to_vec(),
            ..Plan::default()
        };
        let world = World::serving(plan).expect("the system starts");
        let daemon = &world.daemons[0];
        let chat = Chat { service: CHAT, prompt: "hello", tokens: 1 };
        let marks = RequestOptions::of(CUSTOMER);
        let is_answered = || world.caller.answer(daemon.addr, &chat, &marks).status == 200;
        let crowd: Vec<TcpStream> = thread::scope(|scope| {
            let clients: Vec<_> =
                (0..CROWD).map(|_| scope.spawn(|| send(daemon.addr, &case))).collect();
            clients.into_iter().map(|client| client.join().expect("a client")).collect()
        });
        settle(daemon.process.id());
        assert!(wait_until(is_answered), "{}: not answered beside the crowd", case.name);
        let descriptors = open_descriptors(daemon.process.id());
        drop(crowd);
        assert!(wait_until(is_answered), "{}: not answered after the crowd", case.name);
        let peak = peak_resident_mb(daemon.process.id()).expect("it runs");
        println!("{}: {peak} MB of {MEMORY_MB}, {descriptors} descriptors", case.name);
        peaks.push((case.name, peak, descriptors));
    }
    for (name, peak, descriptors) in peaks {
        assert!(peak < MEMORY_MB, "{name}: {peak} MB of {MEMORY_MB}");
        assert!(descriptors < CONNECTIONS + OWN_DESCRIPTORS, "{name}: {descriptors} descriptors");
    }
}
