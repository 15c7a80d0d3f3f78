//! Computes the cost of membership, polling and report sharing for one daemon, at four sizes.
//!
//! Message sizes are those of the encoded messages, plus 28 bytes of headers each. Times are
//! measured on one thread, with socket calls over loopback. The cost per second follows from these
//! and from the rates that the state machines set. HTTP calls to targets are not included.

use roseshore_core::membership::{Heartbeat, ListedHost, Membership, Settings};
use roseshore_core::polling::{Action, Polling};
use roseshore_core::prelude::*;
use roseshore_ports::inside::ReportContent;
use roseshore_wire::engine::{Holding, Load, Role};
use roseshore_wire::frame::{self, MAX_DATAGRAM, MAX_FRAME};
use roseshore_wire::peer::{Datagram, Digest, PeerRequest, Summary, TargetLoad};
use roseshored::loads::delta::{DeltaDecoder, DeltaEncoder};
use std::hint::black_box;
use std::net::{SocketAddr, UdpSocket};

/// IP and UDP headers of a datagram, bytes.
const HEADERS: usize = 28;
/// IP and TCP headers of a digest, its reply and the acknowledgements, bytes.
const TCP_HEADERS: usize = 4 * 40;
/// Seconds between full reports of a target that does not change.
const FULL_REPORT_SECONDS: f64 = 30.0;
const MODELS: usize = 24;
const ROUNDS: u32 = 2000;

/// A number of equal data centres, with the daemons and targets of each.
struct Size {
    centres: usize,
    daemons: usize,
    targets: usize,
}

const SIZES: [Size; 4] = [
    Size { centres: 3, daemons: 3, targets: 11 },
    Size { centres: 8, daemons: 8, targets: 40 },
    Size { centres: 22, daemons: 18, targets: 91 },
    Size { centres: 22, daemons: 36, targets: 182 },
];

fn main() {
    println!("one daemon; B = bytes, us = microseconds of one core");
    for size in &SIZES {
        report(size);
    }
}

fn report(size: &Size) {
    let now = Instant::now();
    let settings = Settings::default();
    let peers = size.daemons - 1;
    let mut view = view(size, now);
    let period = settings.period(peers).as_secs_f64();
    let poll = settings.period(peers).max(Duration::from_millis(250)).as_secs_f64();
    let own_targets = size.targets as f64 / size.daemons as f64;

    let beat = bytes(&Datagram::Beat { heartbeat: heartbeat(1, 9), notes: vec![] });
    let full = report_bytes(size, false);
    let delta = report_bytes(size, true);
    let per_peer = own_targets * (delta as f64 / poll + full as f64 / FULL_REPORT_SECONDS);
    let rate = peers as f64 * ((beat + HEADERS) as f64 / period + per_peer);
    let digest = digest_bytes(&view, now) as f64;
    let centres = (size.centres - 1) as f64;
    let digests = centres / settings.digest_period(size.centres - 1).as_secs_f64();
    let exchanged = 2.0 * digests * digest / size.daemons as f64;
    let relayed = 2.0 * digests * (digest + TCP_HEADERS as f64);

    println!(
        "\n{} data centres of {} daemons and {} targets",
        size.centres, size.daemons, size.targets
    );
    println!("  heartbeat {beat} B, full report {full} B, delta {delta} B, digest {digest} B");
    println!(
        "  every {:.0} ms; polls every {:.0} ms, {own_targets:.1} targets",
        period * 1e3,
        poll * 1e3
    );
    println!("  heartbeats and reports: {rate:.0} B/s out, {rate:.0} B/s in");
    println!(
        "  digests: {exchanged:.0} B/s exchanged, {relayed:.0} B/s relayed, out and in together"
    );
    println!("  total: {:.0} B/s out and in together", 2.0 * rate + exchanged + relayed);

    let costs = costs(size, &mut view, now);
    let beats = peers as f64 / period;
    let notes = (size.targets as f64 - own_targets) / poll;
    let operations = [
        ("heartbeats processed", beats, costs.handle),
        ("heartbeats received and decoded", beats, costs.receive),
        ("heartbeats sent", beats, costs.send),
        ("ticks of membership", 10.0, costs.tick),
        ("ticks of polling", 50.0, costs.poll),
        ("reports decoded", notes, costs.decode),
        ("reports encoded", own_targets / poll, costs.encode),
    ];
    let mut sum = 0.0;
    for (name, rate, cost) in operations {
        sum += rate * cost;
        println!("  {name}: {rate:.0}/s of {cost:.2} us");
    }
    println!("  in total {sum:.0} us/s = {:.3} % of a core", sum / 1e4);
}

fn host(centre: usize, n: usize) -> HostId {
    format!("entry-{centre:02}-{n:03}")
}

fn heartbeat(n: usize, sequence: u64) -> Heartbeat {
    Heartbeat {
        host: host(0, n),
        data_centre: "korangi-00".into(),
        incarnation: 1_800_000_000_000,
        sequence: 1_000_000 + sequence,
        leaving: false,
        offset: 400_000,
        digest: u64::MAX - 5,
    }
}

fn addr(centre: usize, n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, centre as u8, n as u8], 8081))
}

fn view(size: &Size, now: Instant) -> Membership {
    let own = heartbeat(0, 0);
    let mut view = Membership::new(own, addr(0, 0), vec![], Settings::default(), now);
    let all = (0..size.centres).flat_map(|c| (0..size.daemons).map(move |n| (c, n)));
    let listed = |(c, n): (usize, usize)| ListedHost {
        host: host(c, n),
        data_centre: format!("korangi-{c:02}"),
        peer: Some(addr(c, n)),
        leaving: false,
    };
    let targets = (0..size.targets * size.centres).map(|n| ListedHost {
        host: format!("target-{n}"),
        data_centre: "korangi-00".into(),
        peer: None,
        leaving: false,
    });
    view.on_host_list(1, all.map(listed).chain(targets).collect(), now);
    for n in 1..size.daemons {
        view.on_heartbeat(addr(0, n), heartbeat(n, 1), now).expect("a listed peer");
    }
    view
}

fn target(n: usize) -> TargetId {
    format!("engine-korangi-{n:04}")
}

fn load(queue: u32) -> ReportContent {
    let holding = Holding {
        incarnation: 1_800_000_000_000,
        model: Some("indus-notes-70b".into()),
        version: Some("2028-11-30".into()),
        layers: (0, 40),
        adapters: ["changelog".to_owned(), "advisory".to_owned()].into(),
        role: Role::Both,
        fence: Some(900_000),
        loading: false,
    };
    ReportContent::Engine(Load {
        holding,
        queue,
        running: 40,
        slots: 64,
        step_us: 9000,
        prefill_rate: 12_345.6,
        kv_used: 300_000 + u64::from(queue),
        kv_cap: 900_000,
        kv_bytes: 160_000,
        leaving: false,
    })
}

fn report_bytes(size: &Size, delta: bool) -> usize {
    let mut encoder = DeltaEncoder::default();
    let now = Instant::now();
    let id = target(size.targets);
    let mut content = encoder.encode(&id, &load(1), now);
    if delta {
        content = encoder.encode(&id, &load(200), now);
    }
    frame::encode(&TargetLoad { age_ms: 200, content }, MAX_DATAGRAM).expect("short").len() - 1
}

fn digest_bytes(view: &Membership, now: Instant) -> usize {
    let summary = |n| Summary {
        model: format!("indus-model-{n:02}"),
        queue: 300,
        running: 4000,
        slots: 5000,
        age_ms: 400,
    };
    let digest = Digest {
        data_centre: "korangi-00".into(),
        members: view.digest(now),
        summaries: (0..MODELS).map(summary).collect(),
    };
    let request = PeerRequest::Digests { digests: vec![digest], speaker: true };
    frame::encode(&request, MAX_FRAME).expect("below the bound").len()
}

fn bytes(datagram: &Datagram) -> usize {
    frame::encode(datagram, MAX_DATAGRAM).expect("below the bound").len()
}

/// Microseconds per call of each operation.
struct Costs {
    handle: f64,
    receive: f64,
    send: f64,
    tick: f64,
    poll: f64,
    decode: f64,
    encode: f64,
}

fn time(mut body: impl FnMut(u64)) -> f64 {
    let started = Instant::now();
    for round in 0..u64::from(ROUNDS) {
        body(round + 2);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn costs(size: &Size, view: &mut Membership, now: Instant) -> Costs {
    let handle = time(|round| drop(view.on_heartbeat(addr(0, 1), heartbeat(1, round), now)));
    let tick = time(|_| drop(view.tick(now)));
    let (send, receive) = sockets(size);
    let mut polling = Polling::new(roseshore_core::polling::Settings::default());
    polling.set_targets((0..size.targets).map(target), now);
    let mut later = now;
    let poll = time(|_| {
        later += Duration::from_millis(20);
        for action in polling.tick(later, |t| view.place(t)) {
            if let Action::Poll(target) = action {
                polling.on_answer(&target, later);
            }
        }
    });
    let (mut encoder, mut decoder) = (DeltaEncoder::default(), DeltaDecoder::default());
    let id = target(1);
    decoder.decode(encoder.encode(&id, &load(0), now));
    let encode = time(|round| drop(encoder.encode(&id, &load(round as u32), now)));
    let note = encoder.encode(&id, &load(7), now);
    let decode = time(|_| drop(black_box(decoder.decode(note.clone()))));
    Costs { handle, receive, send, tick, poll, decode, encode }
}

/// Microseconds to encode and send one datagram, and to receive and decode it.
fn sockets(size: &Size) -> (f64, f64) {
    let (a, b) = (socket(), socket());
    let to = b.local_addr().expect("its address");
    let mut encoder = DeltaEncoder::default();
    let now = Instant::now();
    encoder.encode(&target(0), &load(0), now);
    let note = || TargetLoad { age_ms: 200, content: encoder.encode(&target(0), &load(1), now) };
    let mut make = note;
    let notes = (0..size.targets.div_ceil(size.daemons)).map(|_| make()).collect();
    let datagram = Datagram::Beat { heartbeat: heartbeat(1, 1), notes };
    let (mut sent, mut received) = (0.0, 0.0);
    let mut buffer = [0; MAX_DATAGRAM];
    for _ in 0..ROUNDS {
        let started = Instant::now();
        let bytes = frame::encode(&datagram, MAX_DATAGRAM).expect("below the bound");
        a.send_to(&bytes, to).expect("sent");
        sent += started.elapsed().as_secs_f64();
        let started = Instant::now();
        let len = b.recv(&mut buffer).expect("received");
        black_box(frame::decode::<Datagram>(&buffer[..len]).expect("decoded"));
        received += started.elapsed().as_secs_f64();
    }
    (sent * 1e6 / f64::from(ROUNDS), received * 1e6 / f64::from(ROUNDS))
}

fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").expect("a port")
}
