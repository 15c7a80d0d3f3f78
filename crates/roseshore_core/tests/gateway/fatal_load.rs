//! Streams beside requests that end their targets, played in virtual time: how many targets those cost, and how many others
//! are refused with them.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::fatal::{CrashLimits, EARLY};
use roseshore_core::gateway::{FatalRequests, Fingerprint};
use roseshore_core::prelude::*;

const STEP: Duration = Duration::from_millis(10);
const TIME: Duration = Duration::from_secs(40);
/// Engines that hold the first layers.
const ENGINES: usize = 12;
/// An engine starts again after this.
const AWAY: Duration = Duration::from_secs(5);
/// Streams that begin in a second.
const STREAMS: f64 = 80.0;
/// From the send to the first event, from there to the last one, and to the end of a target under a request that
/// ends it.
const FIRST: Duration = Duration::from_millis(250);
const RUN: Duration = Duration::from_secs(2);
const ENDS_SOON: Duration = Duration::from_millis(60);
const ENDS_LATE: Duration = Duration::from_millis(900);
/// No request is blocked.
const UNBOUNDED: CrashLimits = CrashLimits { early: usize::MAX, all: usize::MAX };
/// Sends of one request, and tries of one caller.
const SENDS: u32 = 4;
const TRIES: u32 = 2;
/// A caller whose stream broke off comes back after this.
const BACK: Duration = Duration::from_millis(200);

/// A request on an engine.
#[derive(Clone, Debug)]
struct Run {
    request: u64,
    fatal: bool,
    engine: usize,
    sent: Instant,
    sends: u32,
    tries: u32,
}

/// What ends engines beside requests that do.
#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    /// Requests that end their engine, each coming once a second.
    fatal: u64,
    /// How long after its first event such a request ends its engine.
    ends_after: Duration,
    /// Between falls of engines by chance, and how many fall together.
    every: Duration,
    together: usize,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    /// Engines that each fatal request ended, the most.
    ended: usize,
    /// Other requests that were refused as if they ended engines, of so many.
    refused: usize,
    others: usize,
}

struct World {
    load: Load,
    random: SmallRng,
    now: Instant,
    start: Instant,
    away: [Option<Instant>; ENGINES],
    lives: [u32; ENGINES],
    runs: Vec<Run>,
    returning: Vec<(Instant, Run)>,
    knowledge: FatalRequests,
    ended: Vec<usize>,
    refused: Vec<u64>,
    next: u64,
}

fn print(request: u64) -> Fingerprint {
    Fingerprint::of(None, &[&request.to_le_bytes()])
}

impl World {
    fn new(load: Load, limits: CrashLimits, seed: u64) -> World {
        let start = Instant::now();
        World {
            load,
            random: SmallRng::seed_from_u64(seed),
            now: start,
            start,
            away: [None; ENGINES],
            lives: [0; ENGINES],
            runs: Vec::new(),
            returning: Vec::new(),
            knowledge: FatalRequests::with_limits(start, limits),
            ended: vec![0; load.fatal as usize],
            refused: Vec::new(),
            next: load.fatal,
        }
    }

    fn play(mut self) -> Outcome {
        while self.now < self.start + TIME {
            self.now += STEP;
            self.arrive();
            self.fall();
            self.go_on();
            self.knowledge.expire(self.now);
        }
        let ended = self.ended.iter().copied().max().unwrap_or(0);
        let others = (self.next - self.load.fatal) as usize;
        self.refused.sort_unstable();
        self.refused.dedup();
        Outcome { ended, refused: self.refused.len(), others }
    }

    fn arrive(&mut self) {
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
        let back: Vec<_> = self.returning.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, run) in back {
            self.send(run);
        }
    }

    fn fresh(&self) -> Run {
        Run { request: 0, fatal: false, engine: 0, sent: self.now, sends: 0, tries: 1 }
    }

    fn send(&mut self, run: Run) {
        if self.knowledge.blocked(print(run.request), self.now).is_some() {
            if !run.fatal {
                self.refused.push(run.request);
            }
            return;
        }
        let now = self.now;
        let up = |n: &usize| self.away[*n].is_none_or(|until| now >= until);
        let up: Vec<usize> = (0..ENGINES).filter(up).collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.random_range(0..up.len())];
        self.runs.push(Run { engine, sent: now, sends: run.sends + 1, ..run });
    }

    /// Engines fall by chance.
    fn fall(&mut self) {
        let chance = STEP.div_duration_f64(self.load.every);
        if self.random.random::<f64>() < chance {
            for _ in 0..self.load.together {
                let engine = self.random.random_range(0..ENGINES);
                self.end(engine);
            }
        }
    }

    fn go_on(&mut self) {
        let now = self.now;
        let begun = |run: &Run| now.saturating_duration_since(run.sent);
        let over = |run: &mut Run| !run.fatal && begun(run) >= FIRST + RUN;
        let whole: Vec<Run> = self.runs.extract_if(.., over).collect();
        for run in whole {
            self.knowledge.record_success(print(run.request), now);
        }
        let ends = |run: &&Run| run.fatal && begun(run) >= FIRST + self.load.ends_after;
        let ending: Vec<Run> = self.runs.iter().filter(ends).cloned().collect();
        for run in ending {
            if self.away[run.engine].is_none_or(|until| now >= until) {
                self.ended[run.request as usize] += 1;
                self.end(run.engine);
            }
        }
    }

    /// An engine ends, with all that ran there.
    fn end(&mut self, engine: usize) {
        let now = self.now;
        if self.away[engine].is_some_and(|until| now < until) {
            return;
        }
        self.away[engine] = Some(now + AWAY);
        self.lives[engine] += 1;
        let mark = engine as u32 * 1000 + self.lives[engine];
        let lost: Vec<Run> = self.runs.extract_if(.., |run| run.engine == engine).collect();
        for run in &lost {
            let early = now.saturating_duration_since(run.sent) < FIRST + EARLY;
            self.knowledge.record_crash(print(run.request), mark, early, now);
        }
        for run in lost {
            if run.sends < SENDS {
                self.send(run);
            } else if run.tries < TRIES && !run.fatal {
                let back = Run { sends: 0, tries: run.tries + 1, ..run };
                self.returning.push((now + BACK, back));
            }
        }
    }
}

/// Means over seeds: engines ended by the worst fatal request, and others refused in 10,000.
fn mean(load: Load, limits: CrashLimits) -> (f64, f64) {
    const SEEDS: u64 = 3;
    let play = |seed| World::new(load, limits, seed).play();
    let outcomes: Vec<Outcome> = (0..SEEDS).map(play).collect();
    let ended: usize = outcomes.iter().map(|o| o.ended).sum();
    let refused: usize = outcomes.iter().map(|o| o.refused).sum();
    let others: usize = outcomes.iter().map(|o| o.others).sum();
    (ended as f64 / SEEDS as f64, refused as f64 * 10_000.0 / others as f64)
}

/// The figures of one load: engines ended with no bound and with the usual one, and others refused.
struct Figures {
    load: Load,
    before: f64,
    after: f64,
    refused: f64,
}

#[test]
fn fatal_requests_end_few_engines_and_few_others_are_refused() {
    let load = |name, fatal, every, together| Load {
        name,
        fatal,
        ends_after: ENDS_SOON,
        every: Duration::from_secs(every),
        together,
    };
    let slow = Load { ends_after: ENDS_LATE, ..load("slow to end them", 3, 3600, 1) };
    let cases = [
        Figures { load: load("alone", 3, 3600, 1), before: 34.7, after: 4.0, refused: 18.7 },
        Figures { load: load("and racks", 3, 10, 4), before: 39.0, after: 4.0, refused: 23.9 },
        Figures { load: load("racks alone", 0, 5, 4), before: 0.0, after: 0.0, refused: 12.4 },
        Figures { load: load("falls alone", 0, 1, 1), before: 0.0, after: 0.0, refused: 1.0 },
        Figures { load: slow, before: 34.3, after: 5.3, refused: 91.4 },
    ];
    for case in cases {
        let name = case.load.name;
        let (before, _) = mean(case.load, UNBOUNDED);
        let (after, refused) = mean(case.load, CrashLimits::DEFAULT);
        println!("{name}: {before:.1} ended before, {after:.1} after; {refused:.1} refused");
        assert!((before - case.before).abs() < 0.1, "{name}: {before:.1} ended before");
        assert!((after - case.after).abs() < 0.1, "{name}: {after:.1} ended");
        assert!((refused - case.refused).abs() < 0.1, "{name}: {refused:.1} refused");
    }
}
