//! Processes struck under a steady run of short requests: until when is one of them slow?

use super::{Row, median, world};
use crate::caller::{Caller, Chat, Got, Marks};
use crate::fleets::{CARDS, CHAT, CUSTOMER, Shape};
use crate::process::{Process, ProcessError};
use crate::world::World;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// How long requests are watched before a fault.
const BEFORE: Duration = Duration::from_millis(400);
/// How long they are watched after it.
const AFTER: Duration = Duration::from_secs(2);
/// A request is slow that takes this many times the median without a fault, and [`SLACK`] more.
const SLOW: u32 = 3;
/// What the machine's other work may add.
const SLACK: Duration = Duration::from_millis(25);
/// Until what was struck is in use again.
const SETTLE: Duration = Duration::from_millis(1300);
/// Requests of each kind that are sent side by side.
const SIDE: usize = 4;

/// One request of a steady run.
#[derive(Clone, Copy)]
struct Sample {
    begun: Instant,
    took: Duration,
    right: bool,
}

/// What one fault did to a steady run.
struct Felt {
    plain: Duration,
    until: Duration,
    worst: Duration,
    wrong: usize,
}

type Send = fn(&Caller, SocketAddr, u64) -> Got;

fn chat(caller: &Caller, to: SocketAddr, number: u64) -> Got {
    let prompt = format!("short {number}");
    let chat = Chat { service: CHAT, prompt: &prompt, tokens: 1 };
    caller.answer(to, &chat, &Marks::of(CUSTOMER))
}

fn lookup(caller: &Caller, to: SocketAddr, number: u64) -> Got {
    caller.lookup(to, CARDS, &format!("pkg-{number}"), &Marks::of(CUSTOMER))
}

/// Sends requests to a daemon, strikes meanwhile and tells until when one was slow.
fn felt(to: SocketAddr, send: Send, strike: impl FnOnce()) -> Felt {
    let begun = Instant::now();
    let end = begun + BEFORE + AFTER;
    let (at, samples) = thread::scope(|scope| {
        let run = move |side: usize| {
            let caller = Caller::default();
            let mut samples = Vec::new();
            while Instant::now() < end {
                let begun = Instant::now();
                let number = (samples.len() * SIDE + side) as u64;
                let right = send(&caller, to, number).status == 200;
                samples.push(Sample { begun, took: begun.elapsed(), right });
                thread::sleep(Duration::from_millis(5));
            }
            samples
        };
        let runs: Vec<_> = (0..SIDE).map(|side| scope.spawn(move || run(side))).collect();
        thread::sleep(BEFORE);
        let at = Instant::now();
        strike();
        let samples = runs.into_iter().flat_map(|run| run.join().unwrap_or_default());
        (at, samples.collect::<Vec<_>>())
    });
    judge(at, &samples)
}

fn judge(at: Instant, samples: &[Sample]) -> Felt {
    let before = samples.iter().filter(|s| s.begun + s.took < at).map(|s| s.took);
    let plain = median(before.collect());
    let limit = plain * SLOW + SLACK;
    let after = || samples.iter().filter(|s| s.begun + s.took >= at);
    let slow = after().filter(|s| s.took > limit || !s.right);
    let until = slow.map(|s| s.begun + s.took - at).max().unwrap_or_default();
    let worst = after().map(|s| s.took).max().unwrap_or_default();
    Felt { plain, until, worst, wrong: after().filter(|s| !s.right).count() }
}

fn rows(name: &str, bound: &'static str, felt: &[Felt]) -> Vec<Row> {
    let plain = median(felt.iter().map(|f| f.plain).collect());
    let wrong: usize = felt.iter().map(|f| f.wrong).sum();
    let all = |of: fn(&Felt) -> Duration| felt.iter().map(of).collect::<Vec<_>>();
    vec![
        Row::new(format!("{name}: until no request is slow"), bound, all(|f| f.until)),
        Row::new(format!("{name}: longest request ({wrong} refused)"), bound, all(|f| f.worst))
            .beside(plain),
    ]
}

/// Targets killed and frozen while nothing long runs on them.
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
                seen.push(felt(to, send, || hit(process, frozen)));
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

fn hit(process: &mut Process, frozen: bool) {
    if frozen { process.freeze() } else { process.kill() }
}

/// A daemon killed and frozen, felt at another one.
pub(super) fn daemons(repeats: usize) -> Result<Vec<Row>, ProcessError> {
    let shape = Shape { chains: 3, stages: 2, ..Shape::default() };
    let mut world = world(shape, 3)?;
    let mut all = Vec::new();
    for frozen in [false, true] {
        let mut seen = Vec::new();
        for round in 0..repeats {
            let to = world.daemons[0].addr;
            let process = &mut world.daemons[2].process;
            seen.push(felt(to, chat, || hit(process, frozen)));
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
