//! Measures answers: what the driver adds to a token, how long a fault holds an answer up, and
//! where moving KV caches beats a new prefill.

use clap::{Arg, Command, value_parser};
use roseshore_adapters::engine::EngineClient;
use roseshore_bench::answer::{Bed, Fault, Listener, Spread, flood};
use roseshore_core::prelude::*;
use roseshore_ports::outside::{Engine, StreamItem};
use roseshore_wire::engine::Output;
use std::sync::Arc;

/// Tokens of one answer.
const TOKENS: u32 = 40;
/// The step at which faults strike.
const STEP: u32 = 20;

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
        added(runs, step);
    }
    if ["all", "recovery"].contains(&part) {
        recovery(runs, prompt, step);
    }
    if ["all", "choice"].contains(&part) {
        choice(runs, step);
    }
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).default_value(default).help(help);
    arg.value_parser(value_parser!(u32).range(1..))
}

/// Time between tokens through the driver and directly, and the driver's own time for a token.
fn added(runs: u32, step: Duration) {
    let count = 200_000;
    let took = flood(count);
    let each = took / count;
    println!("\ndriver alone, tokens waiting: {each:?} a token ({count} tokens)");
    let bed = Bed::new(step, 1e6, true);
    let [mut direct, mut through, mut first, mut first_through] =
        [(); 4].map(|()| Spread::default());
    for _ in 0..runs {
        let heard = directly(&bed);
        direct.add_all(&heard.gaps());
        first.add(heard.first());
        let heard = bed.run(10, TOKENS);
        through.add_all(&heard.gaps());
        first_through.add(heard.first());
    }
    println!("first token, directly       {first}");
    println!("first token, by driver      {first_through}");
    println!("between tokens, directly    {direct}");
    println!("between tokens, by driver   {through}");
}

fn directly(bed: &Bed) -> Listener {
    let engine: Arc<dyn Engine> = Arc::new(EngineClient::new());
    let ask = bed.generate(10, TOKENS);
    let deadline = Instant::now() + Duration::from_mins(1);
    let mut listener = Listener::default();
    let items = engine.generate(ask.route[0].addr, &ask, deadline).expect("a stream");
    for item in items {
        if let StreamItem::Output(Output::Token { .. }) = item {
            listener.hear();
        }
    }
    listener
}

/// The longest gap between two tokens around a fault, less the ordinary gap.
fn recovery(runs: u32, prompt: u32, step: Duration) {
    let faults: [Fault; 6] = [
        Fault { name: "first stage dies", row: 0, change: |f| f.die_after = Some(STEP) },
        Fault { name: "middle stage dies", row: 1, change: |f| f.die_after = Some(STEP) },
        Fault { name: "last stage dies", row: 2, change: |f| f.die_after = Some(STEP) },
        Fault { name: "first stage freezes", row: 0, change: |f| f.freeze_after = Some(STEP) },
        Fault { name: "middle stage freezes", row: 1, change: |f| f.freeze_after = Some(STEP) },
        Fault { name: "stream cut", row: 0, change: |f| f.cut_after = Some(STEP) },
    ];
    let rate = 20_000.0;
    let prefill = Duration::from_secs_f64(f64::from(prompt) / rate) * 3;
    println!("\nfrom fault to the next right token (a new prefill takes {prefill:?} at least)");
    for cached in [false, true] {
        println!("prefix caches {}", if cached { "on" } else { "off" });
        for fault in &faults {
            let mut spread = Spread::default();
            for _ in 0..runs {
                let bed = Bed::new(step, rate, cached);
                bed.strike(fault);
                let heard = bed.run(prompt, TOKENS);
                spread.add(heard.longest());
            }
            println!("{:<24} {spread}", fault.name);
        }
    }
}

/// The pause of a handover with the cache moved and with a new prefill.
fn choice(runs: u32, step: Duration) {
    println!("\npause of a handover, prefill 20000 tokens a second and stage");
    for prompt in [100, 500, 2000, 8000] {
        for (name, warm) in [("cache moved", true), ("new prefill", false)] {
            let mut spread = Spread::default();
            for _ in 0..runs {
                let bed = Bed::new(step.max(Duration::from_millis(10)), 20_000.0, false);
                let heard = bed.hand_over(prompt, TOKENS, warm);
                spread.add(heard.longest());
            }
            println!("{prompt:>6} tokens, {name:<12} {spread}");
        }
    }
}
