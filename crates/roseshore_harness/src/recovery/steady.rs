//! Injects faults into processes under a steady load of short requests, and measures until when a
//! request is slow.

use super::{Row, median, world};
use crate::caller::{Caller, Chat, ClientReply, RequestOptions};
use crate::fleets::{CARDS, CHAT, CUSTOMER, Shape};
use crate::process::{Process, ProcessError};
use crate::world::World;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Measurement period before a fault.
const BEFORE: Duration = Duration::from_millis(400);
/// Measurement period after a fault.
const AFTER: Duration = Duration::from_secs(2);
/// A request is slow if it takes longer than this multiple of the fault-free median plus [`SLACK`].
const SLOW_FACTOR: u32 = 3;
/// Allowance for other load on the host.
const SLACK: Duration = Duration::from_millis(25);
/// Wait after a fault until the recovered process is in use again.
const SETTLE: Duration = Duration::from_millis(1300);
/// Number of concurrent request loops.
const CONCURRENCY: usize = 4;

/// One request of the steady load.
#[derive(Clone, Copy)]
struct Sample {
    begun: Instant,
    took: Duration,
    right: bool,
}

/// The effect of one fault on the steady load.
struct Impact {
    plain: Duration,
    until: Duration,
    worst: Duration,
    wrong: usize,
}

type Send = fn(&Caller, SocketAddr, u64) -> ClientReply;

fn chat(caller: &Caller, to: SocketAddr, number: u64) -> ClientReply {
    let prompt = format!("short {number}");
    let chat = Chat { service: CHAT, prompt: &prompt, tokens: 1 };
    caller.answer(to, &chat, &RequestOptions::of(CUSTOMER))
}

fn lookup(caller: &Caller, to: SocketAddr, number: u64) -> ClientReply {
    caller.lookup(to, CARDS, &format!("pkg-{number}"), &RequestOptions::of(CUSTOMER))
}

/// Sends requests to a daemon, injects a fault meanwhile and measures until when a request was slow.
fn measure(to: SocketAddr, send: Send, inject: impl FnOnce()) -> Impact {
    let begun = Instant::now();
    let end = begun + BEFORE + AFTER;
    let (at, samples) = thread::scope(|scope| {
        let run = move |side: usize| {
            let caller = Caller::default();
            let mut samples = Vec::new();
            while Instant::now() < end {
                let begun = Instant::now();
                let number = (samples.len() * CONCURRENCY + side) as u64;
                let right = send(&caller, to, number).status == 200;
                samples.push(Sample { begun, took: begun.elapsed(), right });
                thread::sleep(Duration::from_millis(5));
            }
            samples
        };
        let runs: Vec<_> = (0..CONCURRENCY).map(|side| scope.spawn(move || run(side))).collect();
        thread::sleep(BEFORE);
        let at = Instant::now();
        inject();
        let samples = runs.into_iter().flat_map(|run| run.join().unwrap_or_default());
        (at, samples.collect::<Vec<_>>())
    });
    evaluate(at, &samples)
}

fn evaluate(at: Instant, samples: &[Sample]) -> Impact {
    let before = samples.iter().filter(|s| s.begun + s.took < at).map(|s| s.took);
    let plain = median(before.collect());
    let limit = plain * SLOW_FACTOR + SLACK;
    let after = || samples.iter().filter(|s| s.begun + s.took >= at);
    let slow = after().filter(|s| s.took > limit || !s.right);
    let until = slow.map(|s| s.begun + s.took - at).max().unwrap_or_default();
    let worst = after().map(|s| s.took).max().unwrap_or_default();
    Impact { plain, until, worst, wrong: after().filter(|s| !s.right).count() }
}

fn rows(name: &str, bound: &'static str, impacts: &[Impact]) -> Vec<Row> {
    let plain = median(impacts.iter().map(|f| f.plain).collect());
    let wrong: usize = impacts.iter().map(|f| f.wrong).sum();
    let all = |of: fn(&Impact) -> Duration| impacts.iter().map(of).collect::<Vec<_>>();
    vec![
        Row::new(format!("{name}: until no request is slow"), bound, all(|f| f.until)),
        Row::new(format!("{name}: longest request ({wrong} refused)"), bound, all(|f| f.worst))
            .with_plain(plain),
    ]
}

/// Kills and freezes targets while only short requests run on them.
pub(super) fn targets(repeats: usize) -> Result<Vec<Row>, ProcessError> {
    let shape = Shape { chains: 3, stages: 2, ..Shape::default() };
    let mut world = world(shape, 2)?;
    let mut all = Vec::new();
    let cases: [(&str, &str, Send, &'static str); 2] = [
        ("stage", "north-0-0", chat, "poll of the target, silence bound"),
        ("lookup replica", "north-red", lookup, "poll of the target, hedge"),
    ];
    for (what, target, send, bound) in cases {
        for frozen in [false, true] {
            let mut seen = Vec::new();
            for _ in 0..repeats {
                let to = world.daemons[0].addr;
                let process = world.targets.get_mut(target).expect("it is declared");
                seen.push(measure(to, send, || inject_fault(process, frozen)));
                if frozen {
                    world.targets[target].thaw();
                } else {
                    world.restart(target)?;
                }
                thread::sleep(SETTLE);
            }
            let name = format!("{what} {}", if frozen { "frozen" } else { "killed" });
            all.extend(rows(&name, bound, &seen));
        }
    }
    Ok(all)
}

fn inject_fault(process: &mut Process, frozen: bool) {
    if frozen { process.freeze() } else { process.kill() }
}

/// Kills and freezes a daemon, and measures the effect on requests to another one.
pub(super) fn daemons(repeats: usize) -> Result<Vec<Row>, ProcessError> {
    let shape = Shape { chains: 3, stages: 2, ..Shape::default() };
    let mut world = world(shape, 3)?;
    let mut all = Vec::new();
    for frozen in [false, true] {
        let mut seen = Vec::new();
        for round in 0..repeats {
            let to = world.daemons[0].addr;
            let process = &mut world.daemons[2].process;
            seen.push(measure(to, chat, || inject_fault(process, frozen)));
            if frozen {
                process.thaw();
            } else {
                replace(&mut world, round)?;
            }
            thread::sleep(SETTLE);
        }
        let name = format!("daemon {}, at another", if frozen { "frozen" } else { "killed" });
        all.extend(rows(&name, "nothing: its own connections only", &seen));
    }
    Ok(all)
}

fn replace(world: &mut World, round: usize) -> Result<(), ProcessError> {
    world.daemons[2] = world.start_daemon("north", &format!("north-{}", 10 + round))?;
    world.list_hosts()?;
    world.ready()
}
