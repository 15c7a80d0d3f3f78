//! The compared ways, measured in turns.

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

/// Tokens of each prompt.
pub const PROMPT: usize = 8;
/// Tokens of each answer.
pub const TOKENS: u32 = 20;

/// Times of answers over one way.
#[derive(Clone, Debug, Default)]
pub struct Way {
    /// To the first token.
    pub first: Times,
    /// Between tokens.
    pub between: Times,
    /// Answers that were not whole.
    pub failed: u64,
}

impl Way {
    fn add(&mut self, got: &ClientReply) {
        if !got.whole {
            self.failed += 1;
            return;
        }
        self.first.add(got.first);
        got.gaps.iter().for_each(|&gap| self.between.add(gap));
    }
}

/// Answers straight from a chain and through a daemon, one at a time and in turns: the way without
/// the daemon comes first in the result.
pub fn latency(world: &World, direct: &Direct, chain: &Chain, rounds: usize) -> [Way; 2] {
    let caller = Caller::default();
    let (daemon, marks) = (world.daemons[0].addr, RequestOptions::of(CUSTOMER));
    let mut ways = [Way::default(), Way::default()];
    for round in 0..rounds {
        let unique = format!("a{round}");
        ways[0].add(&direct.stream(chain, &unique, PROMPT, TOKENS));
        let text = prompt(&format!("b{round}"), PROMPT);
        let chat = Chat { service: CHAT, prompt: &text, tokens: TOKENS };
        ways[1].add(&caller.stream(daemon, &chat, &marks, |_| ()));
    }
    ways
}

/// A way to do something again and again; says whether it worked.
pub struct Task<'a> {
    /// How it is shown.
    pub name: &'static str,
    /// Does it once; told how often it was done before by anybody.
    pub body: Box<dyn Fn(usize) -> bool + Sync + 'a>,
}

/// How often something was done.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// Times a second, of each round.
    pub each: Vec<f64>,
    /// The time of one.
    pub times: Times,
    /// How many did not work.
    pub failed: u64,
}

impl Rate {
    /// The median of the rounds, times a second.
    pub fn median(&self) -> f64 {
        let mut each = self.each.clone();
        each.sort_by(f64::total_cmp);
        each.get(each.len() / 2).copied().unwrap_or(0.0)
    }
}

/// Drives tasks in turns, each round of a task by `threads` for `span`.
///
/// # Panics
/// When a task does.
pub fn rates(tasks: &[Task<'_>], threads: usize, span: Duration, rounds: usize) -> Vec<Rate> {
    let mut rates = vec![Rate::default(); tasks.len()];
    for round in 0..rounds {
        for (task, rate) in tasks.iter().zip(&mut rates) {
            drive(task, rate, threads, span, round);
        }
    }
    rates
}

fn drive(task: &Task<'_>, rate: &mut Rate, threads: usize, span: Duration, round: usize) {
    let begun = Instant::now();
    let one = |thread: usize| {
        let (mut times, mut failed) = (Times::default(), 0);
        let mut number = 0;
        while begun.elapsed() < span {
            let started = Instant::now();
            // Numbers that no other thread or round uses.
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

/// The engines of a fleet, as their stand-ins are started.
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

/// The work of each answer of these measurements.
pub fn work() -> Work {
    // One more for the word that the front puts before the prompt.
    Work { prompt: PROMPT as u32 + 1, tokens: TOKENS }
}

/// The part of its possible steps that each engine runs in the time of a load that counts for
/// goodput, by target. It is to be called when the load begins.
pub fn busy(world: &World, direct: &Direct, span: Duration) -> Vec<(TargetId, f64)> {
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

/// Answers a second that chains give to callers who keep `each` answers under way at each of them,
/// without any daemon.
///
/// # Panics
/// When one of the callers does.
pub fn straight(direct: &Direct, chains: &[Chain], each: usize, span: Duration) -> f64 {
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

/// Streams offered to all daemons at `rate` answers a second.
pub fn offered(daemons: Vec<SocketAddr>, rate: f64, span: Duration, seed: u64) -> Report {
    let mix = Mix { name: "streams", parts: vec![streams(CUSTOMER, TOKENS, 1.0)] };
    let deadline = Duration::from_secs(3);
    run(&Load { daemons, mix, rate, span, deadline, workers: 900, seed })
}
