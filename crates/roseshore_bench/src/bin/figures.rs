//! Measures, in one run, the latency that a daemon adds and the throughput it reaches, compared with
//! direct requests and with the bound given by the simulated engines' speeds.

use clap::{Arg, Command};
use roseshore_bench::capacity::usage;
use roseshore_bench::figures::bound::throughput_bound;
use roseshore_bench::figures::direct::{Chain, Direct};
use roseshore_bench::figures::rounds::{
    PathTimes, Rate, TOKENS, Task, direct_rate, latency, offer_streams, rates, stages, utilisation,
    work,
};
use roseshore_bench::load::tally::Times;
use roseshore_core::prelude::*;
use roseshore_harness::caller::{Caller, RequestOptions};
use roseshore_harness::fleets::{self, CARDS, CUSTOMER, LAYERS, NOTE, SOURCES, Shape};
use roseshore_harness::process::ProcessError;
use roseshore_harness::world::{Plan, World};
use std::thread;

/// Answers per path in the latency measurement.
const ANSWERS: usize = 100;
/// Concurrent clients in the rate measurement.
const THREADS: usize = 8;
/// Length of one round of one task.
const ROUND_SPAN: Duration = Duration::from_secs(1);
const ROUNDS: usize = 3;
/// Length of each run at a fixed offered load or with direct requests.
const LOAD_SPAN: Duration = Duration::from_secs(8);
/// Concurrent direct requests per chain.
const CONCURRENCY: usize = 24;
const PARTS: [&str; 4] = ["all", "latency", "rates", "saturation"];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let part = Arg::new("part").long("part").default_value("all").value_parser(PARTS);
    let matches = Command::new("figures")
        .about("Measures the way through daemons against the way without them, in one run")
        .arg(part.help("What to measure"))
        .get_matches();
    let part = matches.get_one::<String>("part").map_or("all", String::as_str);
    let wanted = |name: &str| ["all", name].contains(&part);
    println!("load average at the start {}", usage::load_average());
    if wanted("latency") || wanted("rates") {
        let world = start_one_chain()?;
        if wanted("latency") {
            added_latency(&world)?;
        }
        if wanted("rates") {
            request_rates(&world);
        }
    }
    if wanted("saturation") {
        saturation()?;
    }
    println!("load average at the end {}", usage::load_average());
    Ok(())
}

/// Starts one chain of three stages behind one daemon.
fn start_one_chain() -> Result<World, ProcessError> {
    let shape = Shape { chains: 1, stages: 3, ..Shape::default() };
    World::serving(Plan { fleet: fleets::fleet(shape), daemons: 1, ..Plan::default() })
}

fn chain(
    world: &World,
    direct: &Direct,
    chain: usize,
    stages: usize,
) -> Result<Chain, ProcessError> {
    let ids: Vec<TargetId> = (0..stages).map(|stage| format!("north-{chain}-{stage}")).collect();
    let found = direct.chain(&world.plan.fleet, &ids);
    found.ok_or_else(|| ProcessError::NotReady(format!("chain {chain}")))
}

fn added_latency(world: &World) -> Result<(), ProcessError> {
    let direct = Direct::new(Duration::from_secs(10));
    let chain = chain(world, &direct, 0, 3)?;
    let [straight, through] = latency(world, &direct, &chain, ANSWERS);
    println!(
        "\n| ms at 50/95/99 | straight | through a daemon | added at the median |\n|---|---|---|---|"
    );
    let row = |name: &str, pick: fn(&PathTimes) -> &Times| {
        let (a, b) = (pick(&straight), pick(&through));
        println!("| {name} | {a} | {b} | {:.3} |", b.at(0.5) - a.at(0.5));
    };
    row("first token", |way| &way.first);
    row("between tokens", |way| &way.between);
    println!("not whole: {} straight, {} through", straight.failed, through.failed);
    Ok(())
}

fn request_rates(world: &World) {
    let direct = Direct::new(Duration::from_secs(5));
    let caller = Caller::new(Duration::from_secs(5));
    let (daemon, marks) = (world.daemons[0].addr, RequestOptions::of(CUSTOMER));
    let addr = |id: &str| world.addr(&format!("north-{id}")).expect("a declared replica");
    let (source, note) = (addr(SOURCES[0]), addr(NOTE));
    let millis = || SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let key = |n: usize| format!("k{n}@{}", millis().as_millis());
    let tasks = [
        Task {
            name: "lookup, straight",
            body: Box::new(|n| {
                direct.get(source, &format!("/v1/lookup/{}/pkg-{}", SOURCES[0], n % 200))
            }),
        },
        Task {
            name: "lookup, through a daemon",
            body: Box::new(|n| {
                let got = caller.lookup(daemon, CARDS, &format!("pkg-{}", n % 200), &marks);
                got.status == 200
            }),
        },
        Task {
            name: "call, straight",
            body: Box::new(|n| direct.post(note, &format!("/v1/call/{NOTE}"), &n.to_string())),
        },
        Task {
            name: "call, through a daemon",
            body: Box::new(|n| caller.call(daemon, NOTE, &n.to_string(), &marks).status == 200),
        },
        Task {
            name: "call under a key",
            body: Box::new(|n| {
                let marks = marks.clone().keyed(&key(n));
                caller.call(daemon, NOTE, &n.to_string(), &marks).status == 200
            }),
        },
    ];
    let rates = rates(&tasks, THREADS, ROUND_SPAN, ROUNDS);
    println!(
        "\n| {THREADS} callers | a second | part of straight | ms at 50/95/99 | failed |\n|---|---|---|---|---|"
    );
    for (index, (task, rate)) in tasks.iter().zip(&rates).enumerate() {
        let base: &Rate = &rates[if index < 2 { 0 } else { 2 }];
        let (median, part) = (rate.median(), rate.median() / base.median());
        println!("| {} | {median:.0} | {part:.2} | {} | {} |", task.name, rate.times, rate.failed);
    }
}

/// Measures throughput and utilisation of three chains with different accelerators behind two
/// daemons, at offered loads below, at and above the bound.
fn saturation() -> Result<(), ProcessError> {
    const CHAINS: usize = 3;
    const STAGES: usize = 2;
    let shape = Shape { chains: CHAINS, stages: STAGES, kind: 3, mixed: true, ..Shape::default() };
    let world =
        World::serving(Plan { fleet: fleets::fleet(shape), daemons: 2, ..Plan::default() })?;
    let most = throughput_bound(&stages(&world.plan.fleet), LAYERS, work());
    let direct = Direct::new(Duration::from_secs(10));
    let chains = (0..CHAINS).map(|n| chain(&world, &direct, n, STAGES));
    let chains = chains.collect::<Result<Vec<_>, _>>()?;
    let reached = direct_rate(&direct, &chains, CONCURRENCY, LOAD_SPAN);
    let daemons: Vec<_> = world.daemons.iter().map(|daemon| daemon.addr).collect();
    println!(
        "\nbound {most:.1} answers/s of {TOKENS} tokens; straight {reached:.1}, {:.2} of it",
        reached / most
    );
    println!(
        "| offered, of the bound | whole/s | of the bound | of straight | first, ms 50/95/99 | total, ms | refused, ms | sent late, ms | else |\n|---|---|---|---|---|---|---|---|---|"
    );
    for (seed, times) in [(1, 0.5), (2, 1.0), (3, 3.0)] {
        let spent = || {
            let ids = world.daemons.iter().map(|daemon| daemon.process.id());
            ids.map(usage::cpu_time).sum::<Duration>()
        };
        let (begun, before) = (Instant::now(), spent());
        let offer = || offer_streams(daemons.clone(), most * times, LOAD_SPAN, seed);
        let (report, busy) = thread::scope(|scope| {
            let load = scope.spawn(offer);
            let busy = utilisation(&world, &direct, LOAD_SPAN);
            (load.join().expect("the load does not panic"), busy)
        });
        let (all, good) = (report.all(), report.answers());
        let ends: Vec<String> = all.ends.iter().map(|(end, n)| format!("{end:?} {n}")).collect();
        println!(
            "| {times} | {good:.1} | {:.2} | {:.2} | {} | {} | {} | {} | {} |",
            good / most,
            good / reached,
            all.first,
            all.total,
            all.refusal,
            all.late,
            ends.join(", ")
        );
        let busy: Vec<String> = busy.iter().map(|(id, part)| format!("{id} {part:.2}")).collect();
        let cores = spent().saturating_sub(before).as_secs_f64() / begun.elapsed().as_secs_f64();
        println!("  steps run, of those possible: {}", busy.join(", "));
        println!("  both daemons used {cores:.2} cores");
    }
    let again = direct_rate(&direct, &chains, CONCURRENCY, LOAD_SPAN);
    println!("straight again {again:.1}, {:.2} of the bound", again / most);
    Ok(())
}
