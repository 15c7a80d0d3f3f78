//! Measures answers: the time the driver adds per token, the pause after a fault, and the prompt
//! lengths at which moving KV caches is faster than a new prefill.

use clap::{Arg, Command, value_parser};
use roseshore_adapters::engine::EngineClient;
use roseshore_bench::answer::{DurationStats, Fault, TestBed, TokenTimer, driver_time};
use roseshore_core::prelude::*;
use roseshore_ports::outside::{Engine, StreamItem};
use roseshore_wire::engine::Output;
use std::sync::Arc;

/// Length of each answer, tokens.
const TOKENS: u32 = 40;
/// Number of steps after which faults occur.
const FAULT_STEP: u32 = 20;

fn main() {
    let matches = Command::new("answer")
        .about("Measures answers across stages against stand-in engines in this process")
        .arg(
            Arg::new("part")
                .long("part")
                .value_parser(["all", "added", "recovery", "choice"])
                .default_value("all")
                .help("What to measure"),
        )
        .arg(number("runs", "20", "Repetitions of each case"))
        .arg(number("prompt", "1000", "Tokens of the prompt"))
        .arg(number("step-us", "2000", "Time of one step of one stage, microseconds"))
        .get_matches();
    let get = |name: &str| *matches.get_one::<u32>(name).expect("has a default");
    let (runs, prompt) = (get("runs"), get("prompt"));
    let step = Duration::from_micros(u64::from(get("step-us")));
    println!("three stages, step {step:?}, prompt {prompt} tokens, {runs} runs");
    let part = matches.get_one::<String>("part").expect("has a default").as_str();
    if ["all", "added"].contains(&part) {
        added_latency(runs, step);
    }
    if ["all", "recovery"].contains(&part) {
        fault_pause(runs, prompt, step);
    }
    if ["all", "choice"].contains(&part) {
        handover_pause(runs, step);
    }
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).default_value(default).help(help);
    arg.value_parser(value_parser!(u32).range(1..))
}

/// Measures the driver's own time per token, and the first-token time and token intervals with the
/// driver and directly.
fn added_latency(runs: u32, step: Duration) {
    let count = 200_000;
    let took = driver_time(count);
    let each = took / count;
    println!("\ndriver alone, tokens waiting: {each:?} a token ({count} tokens)");
    let bed = TestBed::new(step, 1e6, true);
    let [mut direct, mut through, mut first, mut first_through] =
        [(); 4].map(|()| DurationStats::default());
    for _ in 0..runs {
        let timer = generate_directly(&bed);
        direct.add_all(&timer.gaps());
        first.add(timer.first());
        let timer = bed.run(10, TOKENS);
        through.add_all(&timer.gaps());
        first_through.add(timer.first());
    }
    println!("first token, directly       {first}");
    println!("first token, by driver      {first_through}");
    println!("between tokens, directly    {direct}");
    println!("between tokens, by driver   {through}");
}

fn generate_directly(bed: &TestBed) -> TokenTimer {
    let engine: Arc<dyn Engine> = Arc::new(EngineClient::new());
    let ask = bed.generate(10, TOKENS);
    let deadline = Instant::now() + Duration::from_mins(1);
    let mut timer = TokenTimer::default();
    let items = engine.generate(ask.route[0].addr, &ask, deadline).expect("a stream");
    for item in items {
        if let StreamItem::Output(Output::Token { .. }) = item {
            timer.record();
        }
    }
    timer
}

/// Measures the longest interval between two tokens of an answer with a fault.
fn fault_pause(runs: u32, prompt: u32, step: Duration) {
    let faults: [Fault; 6] = [
        Fault { name: "first stage dies", stage: 0, change: |f| f.die_after = Some(FAULT_STEP) },
        Fault { name: "middle stage dies", stage: 1, change: |f| f.die_after = Some(FAULT_STEP) },
        Fault { name: "last stage dies", stage: 2, change: |f| f.die_after = Some(FAULT_STEP) },
        Fault {
            name: "first stage freezes",
            stage: 0,
            change: |f| f.freeze_after = Some(FAULT_STEP),
        },
        Fault {
            name: "middle stage freezes",
            stage: 1,
            change: |f| f.freeze_after = Some(FAULT_STEP),
        },
        Fault { name: "stream cut", stage: 0, change: |f| f.cut_after = Some(FAULT_STEP) },
    ];
    let rate = 20_000.0;
    let prefill = Duration::from_secs_f64(f64::from(prompt) / rate) * 3;
    println!("\nfrom fault to the next right token (a new prefill takes {prefill:?} at least)");
    for cached in [false, true] {
        println!("prefix caches {}", if cached { "on" } else { "off" });
        for fault in &faults {
            let mut spread = DurationStats::default();
            for _ in 0..runs {
                let bed = TestBed::new(step, rate, cached);
                bed.inject(fault);
                let timer = bed.run(prompt, TOKENS);
                spread.add(timer.longest());
            }
            println!("{:<24} {spread}", fault.name);
        }
    }
}

/// Measures the pause of a handover, by moving the cache and by a new prefill.
fn handover_pause(runs: u32, step: Duration) {
    println!("\npause of a handover, prefill 20000 tokens a second and stage");
    for prompt in [100, 500, 2000, 8000] {
        for (name, warm) in [("cache moved", true), ("new prefill", false)] {
            let mut spread = DurationStats::default();
            for _ in 0..runs {
                let bed = TestBed::new(step.max(Duration::from_millis(10)), 20_000.0, false);
                let timer = bed.hand_over(prompt, TOKENS, warm);
                spread.add(timer.longest());
            }
            println!("{prompt:>6} tokens, {name:<12} {spread}");
        }
    }
}
