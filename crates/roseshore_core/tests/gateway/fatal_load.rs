//! Streams beside requests that crash their targets, simulated in virtual time: how many targets
//! crash, and how many other requests are refused as well.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::fatal::{CrashLimits, EARLY};
use roseshore_core::gateway::{FatalRequests, Fingerprint};
use roseshore_core::prelude::*;

const STEP: Duration = Duration::from_millis(10);
const DURATION: Duration = Duration::from_secs(40);
/// Number of engines that hold the first layers.
const ENGINES: usize = 12;
/// Time that an engine takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(5);
/// Streams started per second.
const STREAMS: f64 = 80.0;
/// Time from sending a request to its first event, from there to its last one, and from the first
/// event to the crash that a fatal request causes, early or late.
const FIRST: Duration = Duration::from_millis(250);
const RUN: Duration = Duration::from_secs(2);
const EARLY_CRASH: Duration = Duration::from_millis(60);
const LATE_CRASH: Duration = Duration::from_millis(900);
/// Limits with which no request is blocked.
const UNBOUNDED: CrashLimits = CrashLimits { early: usize::MAX, all: usize::MAX };
/// Sends of one request, and attempts by one caller.
const SENDS: u32 = 4;
const ATTEMPTS: u32 = 2;
/// Delay before a caller whose stream broke off tries again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A request running on an engine.
#[derive(Clone, Debug)]
struct Run {
    request: u64,
    fatal: bool,
    engine: usize,
    sent: Instant,
    sends: u32,
    attempts: u32,
}

/// What crashes engines in a simulation.
#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    /// Number of requests that crash their engine, each arriving once a second.
    fatal: u64,
    /// How long after its first event such a request crashes its engine.
    crashes_after: Duration,
    /// Mean time between random failures, and how many engines fail together.
    every: Duration,
    together: usize,
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    /// Engines that a fatal request crashed; the maximum over these requests.
    crashed: usize,
    /// Other requests that were refused as if they crashed engines, and the number of all others.
    refused: usize,
    others: usize,
}

struct Simulation {
    load: Load,
    random: SmallRng,
    now: Instant,
    start: Instant,
    restarting_until: [Option<Instant>; ENGINES],
    incarnations: [u32; ENGINES],
    runs: Vec<Run>,
    retries: Vec<(Instant, Run)>,
    known: FatalRequests,
    crashed: Vec<usize>,
    refused: Vec<u64>,
    next: u64,
}

fn print(request: u64) -> Fingerprint {
    Fingerprint::of(None, &[&request.to_le_bytes()])
}

impl Simulation {
    fn new(load: Load, limits: CrashLimits, seed: u64) -> Simulation {
        let start = Instant::now();
        Simulation {
            load,
            random: SmallRng::seed_from_u64(seed),
            now: start,
            start,
            restarting_until: [None; ENGINES],
            incarnations: [0; ENGINES],
            runs: Vec::new(),
            retries: Vec::new(),
            known: FatalRequests::with_limits(start, limits),
            crashed: vec![0; load.fatal as usize],
            refused: Vec::new(),
            next: load.fatal,
        }
    }

    fn play(mut self) -> Outcome {
        while self.now < self.start + DURATION {
            self.now += STEP;
            self.start_streams();
            self.fail_randomly();
            self.advance();
            self.known.expire(self.now);
        }
        let crashed = self.crashed.iter().copied().max().unwrap_or(0);
        let others = (self.next - self.load.fatal) as usize;
        self.refused.sort_unstable();
        self.refused.dedup();
        Outcome { crashed, refused: self.refused.len(), others }
    }

    fn start_streams(&mut self) {
        let now = self.now;
        if self.random.random::<f64>() < STREAMS * STEP.as_secs_f64() {
            self.next += 1;
            self.send(Run { request: self.next, fatal: false, ..self.fresh() });
        }
        for request in 0..self.load.fatal {
            if self.random.random::<f64>() < STEP.as_secs_f64() {
                self.send(Run { request, fatal: true, ..self.fresh() });
            }
        }
        let retry: Vec<_> = self.retries.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, run) in retry {
            self.send(run);
        }
    }

    fn fresh(&self) -> Run {
        Run { request: 0, fatal: false, engine: 0, sent: self.now, sends: 0, attempts: 1 }
    }

    fn send(&mut self, run: Run) {
        if self.known.blocked(print(run.request), self.now).is_some() {
            if !run.fatal {
                self.refused.push(run.request);
            }
            return;
        }
        let now = self.now;
        let up = |n: &usize| self.restarting_until[*n].is_none_or(|until| now >= until);
        let up: Vec<usize> = (0..ENGINES).filter(up).collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.random_range(0..up.len())];
        self.runs.push(Run { engine, sent: now, sends: run.sends + 1, ..run });
    }

    /// Makes engines fail at random.
    fn fail_randomly(&mut self) {
        let chance = STEP.div_duration_f64(self.load.every);
        if self.random.random::<f64>() < chance {
            for _ in 0..self.load.together {
                let engine = self.random.random_range(0..ENGINES);
                self.crash(engine);
            }
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        let running_for = |run: &Run| now.saturating_duration_since(run.sent);
        let over = |run: &mut Run| !run.fatal && running_for(run) >= FIRST + RUN;
        let completed: Vec<Run> = self.runs.extract_if(.., over).collect();
        for run in completed {
            self.known.record_success(print(run.request), now);
        }
        let crashes = |run: &&Run| run.fatal && running_for(run) >= FIRST + self.load.crashes_after;
        let crashing: Vec<Run> = self.runs.iter().filter(crashes).cloned().collect();
        for run in crashing {
            if self.restarting_until[run.engine].is_none_or(|until| now >= until) {
                self.crashed[run.request as usize] += 1;
                self.crash(run.engine);
            }
        }
    }

    /// Crashes an engine with all that runs there.
    fn crash(&mut self, engine: usize) {
        let now = self.now;
        if self.restarting_until[engine].is_some_and(|until| now < until) {
            return;
        }
        self.restarting_until[engine] = Some(now + RESTART_TIME);
        self.incarnations[engine] += 1;
        let target = engine as u32 * 1000 + self.incarnations[engine];
        let lost: Vec<Run> = self.runs.extract_if(.., |run| run.engine == engine).collect();
        for run in &lost {
            let early = now.saturating_duration_since(run.sent) < FIRST + EARLY;
            self.known.record_crash(print(run.request), target, early, now);
        }
        for run in lost {
            if run.sends < SENDS {
                self.send(run);
            } else if run.attempts < ATTEMPTS && !run.fatal {
                let retry = Run { sends: 0, attempts: run.attempts + 1, ..run };
                self.retries.push((now + RETRY_DELAY, retry));
            }
        }
    }
}

/// Means over seeds: engines crashed by the worst fatal request, and other requests refused in
/// 10,000.
fn mean(load: Load, limits: CrashLimits) -> (f64, f64) {
    const SEEDS: u64 = 3;
    let play = |seed| Simulation::new(load, limits, seed).play();
    let outcomes: Vec<Outcome> = (0..SEEDS).map(play).collect();
    let crashed: usize = outcomes.iter().map(|o| o.crashed).sum();
    let refused: usize = outcomes.iter().map(|o| o.refused).sum();
    let others: usize = outcomes.iter().map(|o| o.others).sum();
    (crashed as f64 / SEEDS as f64, refused as f64 * 10_000.0 / others as f64)
}

/// Expected figures of a load: engines crashed without a limit and with the default one, and other
/// requests refused in 10,000.
struct Figures {
    load: Load,
    unlimited: f64,
    limited: f64,
    refused: f64,
}

#[test]
fn fatal_requests_crash_few_engines_and_few_others_are_refused() {
    let load = |name, fatal, every, together| Load {
        name,
        fatal,
        crashes_after: EARLY_CRASH,
        every: Duration::from_secs(every),
        together,
    };
    let slow = Load { crashes_after: LATE_CRASH, ..load("slow to crash them", 3, 3600, 1) };
    let cases = [
        Figures { load: load("alone", 3, 3600, 1), unlimited: 34.7, limited: 4.0, refused: 18.7 },
        Figures { load: load("and racks", 3, 10, 4), unlimited: 39.0, limited: 4.0, refused: 23.9 },
        Figures { load: load("racks alone", 0, 5, 4), unlimited: 0.0, limited: 0.0, refused: 12.4 },
        Figures {
            load: load("single failures alone", 0, 1, 1),
            unlimited: 0.0,
            limited: 0.0,
            refused: 1.0,
        },
        Figures { load: slow, unlimited: 34.3, limited: 5.3, refused: 91.4 },
    ];
    for case in cases {
        let name = case.load.name;
        let (unlimited, _) = mean(case.load, UNBOUNDED);
        let (limited, refused) = mean(case.load, CrashLimits::DEFAULT);
        println!(
            "{name}: {unlimited:.1} crashed without a limit, {limited:.1} with it; {refused:.1} refused"
        );
        assert!(
            (unlimited - case.unlimited).abs() < 0.1,
            "{name}: {unlimited:.1} crashed without a limit"
        );
        assert!((limited - case.limited).abs() < 0.1, "{name}: {limited:.1} crashed");
        assert!((refused - case.refused).abs() < 0.1, "{name}: {refused:.1} refused");
    }
}
