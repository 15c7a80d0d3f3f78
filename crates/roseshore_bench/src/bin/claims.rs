//! Measures claims on idempotency keys: throughput and latency through the simulated log, with and
//! without batching, and the time and memory needed to replay the log, by number of keys.

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use roseshore_adapters::platform::HttpPlatform;
use roseshore_core::once::keys::Keys;
use roseshore_core::once::record::{Act, Owner, Record};
use roseshore_core::prelude::*;
use roseshore_fakes::platform::{PlatformFake, PlatformSettings};
use roseshore_ports::inside::{ClaimResult, Claims, Member, MemberState, Members, Outcome};
use roseshore_ports::outside::{CallError, CallResult, Peers};
use roseshore_wire::peer::{PeerReply, PeerRequest};
use roseshored::claims::{ClaimsConfig, ClaimsDriver};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Number of daemons that share the log.
const DAEMONS: usize = 8;
/// Maximum duration of a run, and of the final flush of each daemon.
const LIMIT: Duration = Duration::from_secs(10);
/// Upper bound of the histogram, microseconds; longer times are recorded as this value.
const MAX_MICROS: u64 = 60_000_000;
/// Size of a memory page, bytes.
const PAGE_BYTES: usize = 4096;

struct SingleMember(Member);

impl Members for SingleMember {
    fn own(&self) -> Member {
        self.0.clone()
    }

    fn all(&self) -> Vec<Member> {
        vec![self.0.clone()]
    }

    fn ranked(&self, _subject: &str) -> Vec<Member> {
        self.all()
    }

    fn leaving(&self, _host: &HostId) -> bool {
        false
    }
}

struct NoPeers;

impl Peers for NoPeers {
    fn ask(
        &self,
        _addr: SocketAddr,
        _ask: &PeerRequest,
        _limit: Duration,
    ) -> CallResult<PeerReply> {
        Err(CallError::Unreached("no peers in this run".into()))
    }
}

/// Results of a run.
struct Figures {
    keys: usize,
    refused: usize,
    took: Duration,
    /// Whether every daemon wrote all its outcomes to the log within the limit.
    flushed: bool,
    appends: u64,
    wins: Histogram<u64>,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("daemons {DAEMONS}, log stand-in of 400 appends a second, claim and outcome a key");
    println!("*: outcomes were left over after the limit of {LIMIT:?}");
    println!("partitions together callers |   keys refused  keys/s appends | win ms p50 p95 p99");
    for (partitions, together) in [(1, 512), (4, 512), (1, 1)] {
        for callers in [8, 64, 256] {
            let figures = run(partitions, together, callers)?;
            let rate = figures.keys as f64 / figures.took.as_secs_f64();
            let millis = |quantile| figures.wins.value_at_quantile(quantile) as f64 / 1000.0;
            println!(
                "{partitions:>10} {together:>8} {callers:>7} | {:>6} {:>7} {rate:>7.0} {:>7}{:1}| \
                 {:>9.1} {:>5.1} {:>5.1}",
                figures.keys,
                figures.refused,
                figures.appends,
                if figures.flushed { "" } else { "*" },
                millis(0.50),
                millis(0.95),
                millis(0.99),
            );
        }
    }
    println!("fold: keys | us a record | bytes a key");
    for keys in [10_000, 20_000, 40_000, 80_000] {
        measure_replay(keys);
    }
    Ok(())
}

fn run(partitions: usize, max_batch: usize, callers: usize) -> std::io::Result<Figures> {
    let platform = PlatformFake::start(PlatformSettings::default())?;
    let log = Arc::new(HttpPlatform::new(platform.addr(), Duration::from_secs(2)));
    let config = ClaimsConfig { partitions, max_records: 100_000, max_batch };
    let start = |host: usize| {
        let members = Arc::new(SingleMember(member(host)));
        ClaimsDriver::start(config, log.clone(), Arc::new(NoPeers), members)
    };
    let drivers = (0..DAEMONS).map(start).collect::<std::io::Result<Vec<_>>>()?;
    let total = callers * 20;
    let (next, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let wins =
        Mutex::new(Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are in order"));
    let began = Instant::now();
    thread::scope(|scope| {
        for caller in 0..callers {
            let driver = &drivers[caller % DAEMONS];
            let (next, refused, wins) = (&next, &refused, &wins);
            scope.spawn(move || {
                while began.elapsed() < LIMIT {
                    let key = next.fetch_add(1, Ordering::Relaxed);
                    if key >= total {
                        return;
                    }
                    match claim_key(driver, key) {
                        Some(won) => wins.lock().saturating_record(won.as_micros() as u64),
                        None => drop(refused.fetch_add(1, Ordering::Relaxed)),
                    }
                }
            });
        }
    });
    let flushed = drivers.iter().all(|driver| driver.flush(LIMIT));
    let took = began.elapsed();
    let (wins, refused) = (wins.into_inner(), refused.into_inner());
    let keys = wins.len() as usize;
    Ok(Figures { keys, refused, took, flushed, appends: platform.appends(), wins })
}

/// Claims a key and settles its outcome; returns the time to win the claim, or `None` if it was not
/// won.
fn claim_key(driver: &ClaimsDriver, key: usize) -> Option<Duration> {
    let began = Instant::now();
    let ClaimResult::Won(claim) = driver.begin(&format!("o/s/{key}"), 7, began + LIMIT) else {
        return None;
    };
    let took = began.elapsed();
    if driver.dispatch(&claim) {
        let (content, body) = ("text/plain".into(), vec![b'a'; 200]);
        let outcome = Outcome { verdict: Verdict::Answered, status: 200, content, body };
        driver.settle(&claim, outcome);
    }
    Some(took)
}

fn member(host: usize) -> Member {
    Member {
        host: format!("h{host}"),
        data_centre: "dc".into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 9)),
        incarnation: 1,
        state: MemberState::Alive,
        offset: 0,
        digest: 0,
    }
}

/// Replays a claim and an outcome without a body for each key, and prints the time and memory.
fn measure_replay(count: u64) {
    let owner = Owner { host: "host-17".into(), incarnation: 1 };
    let line =
        |key: u64, act: Act| Record { key: format!("org/service/{key:032x}"), nonce: key, act };
    let mut lines = vec![];
    for key in 0..count {
        lines.push(line(key, Act::Claim { owner: owner.clone(), digest: 7, left: 0 }).line());
        let outcome = Outcome { verdict: Verdict::Answered, ..Outcome::unknown() };
        lines.push(line(key, Act::Outcome { digest: 7, outcome, whole: true }).line());
    }
    let before = resident_bytes();
    let began = Instant::now();
    let mut keys = Keys::new(usize::MAX);
    for (offset, line) in (0..).zip(&lines) {
        keys.apply(offset, offset, line);
    }
    let took = began.elapsed().as_secs_f64() * 1e6 / lines.len() as f64;
    let bytes = resident_bytes().saturating_sub(before) / keys.len().max(1);
    println!("{count:>10} | {took:>11.2} | {bytes:>11}");
    // Leaked, because the next size would reuse freed memory and be measured too low.
    std::mem::forget(keys);
}

/// Resident memory of this process, bytes; 0 if it cannot be read.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
