//! Measurements of the compared paths, run alternately.

use super::bound::{Stage, Work};
use super::direct::{Chain, Direct};
use crate::load::mixes::{Mix, streams};
use crate::load::run::{Load, Report, prompt, run};
use crate::load::tally::Times;
use roseshore_core::prelude::*;
use roseshore_harness::caller::{Caller, Chat, ClientReply, RequestOptions};
use roseshore_harness::fleets::{CHAT, CUSTOMER};
use roseshore_harness::world::{World, speed};
use std::net::SocketAddr;
use std::thread;

/// Length of each prompt, tokens.
pub const PROMPT: usize = 8;
/// Length of each answer, tokens.
pub const TOKENS: u32 = 20;

/// Latencies of answers over one path.
#[derive(Clone, Debug, Default)]
pub struct PathTimes {
    /// Time to the first token.
    pub first: Times,
    /// Intervals between consecutive tokens.
    pub between: Times,
    /// Number of answers that were refused, truncated or wrong.
    pub failed: u64,
}

impl PathTimes {
    fn add(&mut self, got: &ClientReply) {
        if !got.whole {
            self.failed += 1;
            return;
        }
        self.first.add(got.first);
        got.gaps.iter().for_each(|&gap| self.between.add(gap));
    }
}

/// Measures direct answers from a chain and answers through a daemon, alternately and one at a time.
/// Returns the direct path first.
pub fn latency(world: &World, direct: &Direct, chain: &Chain, rounds: usize) -> [PathTimes; 2] {
    let caller = Caller::default();
    let (daemon, marks) = (world.daemons[0].addr, RequestOptions::of(CUSTOMER));
    let mut ways = [PathTimes::default(), PathTimes::default()];
    for round in 0..rounds {
        let unique = format!("a{round}");
        ways[0].add(&direct.stream(chain, &unique, PROMPT, TOKENS));
        let text = prompt(&format!("b{round}"), PROMPT);
        let chat = Chat { service: CHAT, prompt: &text, tokens: TOKENS };
        ways[1].add(&caller.stream(daemon, &chat, &marks, |_| ()));
    }
    ways
}

/// An operation whose rate is measured.
pub struct Task<'a> {
    /// Label in the printed table.
    pub name: &'static str,
    /// Runs the operation once and returns whether it succeeded. The argument differs in every call
    /// of a measurement.
    pub body: Box<dyn Fn(usize) -> bool + Sync + 'a>,
}

/// The measured rate of a task.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// Successful runs per second, by round.
    pub each: Vec<f64>,
    /// Duration of each successful run.
    pub times: Times,
    /// Number of failed runs.
    pub failed: u64,
}

impl Rate {
    /// Median over the rounds, runs per second; 0 without rounds.
    pub fn median(&self) -> f64 {
        let mut each = self.each.clone();
        each.sort_by(f64::total_cmp);
        each.get(each.len() / 2).copied().unwrap_or(0.0)
    }
}

/// Runs the tasks alternately; in each round a task runs on `threads` threads for `span`.
///
/// # Panics
/// If a task panics.
pub fn rates(tasks: &[Task<'_>], threads: usize, span: Duration, rounds: usize) -> Vec<Rate> {
    let mut rates = vec![Rate::default(); tasks.len()];
    for round in 0..rounds {
        for (task, rate) in tasks.iter().zip(&mut rates) {
            run_round(task, rate, threads, span, round);
        }
    }
    rates
}

fn run_round(task: &Task<'_>, rate: &mut Rate, threads: usize, span: Duration, round: usize) {
    let begun = Instant::now();
    let one = |thread: usize| {
        let (mut times, mut failed) = (Times::default(), 0);
        let mut number = 0;
        while begun.elapsed() < span {
            let started = Instant::now();
            // Unique over all threads and rounds.
            let fresh = (round * threads + thread) * 1_000_000 + number;
            if (task.body)(fresh) {
                times.add(started.elapsed());
            } else {
                failed += 1;
            }
            number += 1;
        }
        (times, failed)
    };
    let mut done = 0;
    thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|n| scope.spawn(move || one(n))).collect();
        for thread in running {
            let (times, failed) = thread.join().expect("a driver does not panic");
            done += times.count();
            rate.times.join(&times);
            rate.failed += failed;
        }
    });
    rate.each.push(done as f64 / begun.elapsed().as_secs_f64());
}

/// The engines of a fleet with the speeds at which the harness starts their simulations.
pub fn stages(fleet: &Fleet) -> Vec<Stage> {
    let engines = fleet.targets.values();
    let stage = |target: &Target| {
        let speed = speed(target.accelerator.as_deref());
        let step = Duration::from_micros(speed.step_us);
        let layers = target.layers?;
        Some(Stage { layers, step, slots: speed.slots, prefill: speed.prefill as f64 })
    };
    engines.filter_map(stage).collect()
}

/// The work of each answer in these measurements.
pub fn work() -> Work {
    // One token more for the role that the HTTP front end puts before the prompt.
    Work { prompt: PROMPT as u32 + 1, tokens: TOKENS }
}

/// Utilisation of each engine during the measurement window of a load: the steps that it ran as a
/// fraction of those that it could have run. Call it when the load starts; it blocks for `span`.
pub fn utilisation(world: &World, direct: &Direct, span: Duration) -> Vec<(TargetId, f64)> {
    let engines = || world.plan.fleet.targets.iter().filter(|(_, target)| target.layers.is_some());
    let steps = || engines().map(|(_, target)| direct.steps(target.addr)).collect::<Vec<_>>();
    thread::sleep(span / 4);
    let (begun, before) = (Instant::now(), steps());
    thread::sleep(span * 3 / 4);
    let ran = steps().into_iter().zip(before).map(|(after, before)| after.saturating_sub(before));
    let took = begun.elapsed().as_secs_f64();
    let part = |((id, target), ran): ((&TargetId, &Target), u64)| {
        let speed = speed(target.accelerator.as_deref());
        let most = f64::from(speed.slots) / (speed.step_us as f64 / 1e6) * took;
        (id.clone(), ran as f64 / most)
    };
    engines().zip(ran).map(part).collect()
}

/// Answers per second of direct requests to `chains` with `each` concurrent requests per chain. The
/// first quarter of `span` is warm-up and is not counted.
///
/// # Panics
/// If a client thread panics.
pub fn direct_rate(direct: &Direct, chains: &[Chain], each: usize, span: Duration) -> f64 {
    let begun = Instant::now();
    let (warm, counted) = (span / 4, span * 3 / 4);
    let one = |number: usize| {
        let chain = &chains[number % chains.len()];
        let mut good = 0;
        let mut round = 0;
        while begun.elapsed() < span {
            let got = direct.stream(chain, &format!("s{number}-{round}"), PROMPT, TOKENS);
            let counts = (warm..span).contains(&begun.elapsed());
            good += u64::from(got.whole && counts);
            round += 1;
        }
        good
    };
    let whole: u64 = thread::scope(|scope| {
        let callers = 0..each * chains.len();
        let running: Vec<_> = callers.map(|n| scope.spawn(move || one(n))).collect();
        running.into_iter().map(|t| t.join().expect("a caller does not panic")).sum()
    });
    whole as f64 / counted.as_secs_f64()
}

/// Offers streamed answers to `daemons`, round-robin, at `rate` answers per second.
pub fn offer_streams(daemons: Vec<SocketAddr>, rate: f64, span: Duration, seed: u64) -> Report {
    let mix = Mix { name: "streams", parts: vec![streams(CUSTOMER, TOKENS, 1.0)] };
    let deadline = Duration::from_secs(3);
    run(&Load { daemons, mix, rate, span, deadline, workers: 900, seed })
}
