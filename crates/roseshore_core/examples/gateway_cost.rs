//! Measures the cost of an entry host's decisions by the number of engines of a data centre, of
//! listed targets and of hosts: `cargo run --release -p roseshore_core --example gateway_cost`.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use roseshore_core::gateway::path::{PathRequest, choose};
use roseshore_core::gateway::peers::{LocalState, Peers, TargetLoad, name_hash};
use roseshore_core::gateway::plan::{EngineState, next_improvement, plan};
use roseshore_core::gateway::quota::room::Share;
use roseshore_core::gateway::targets::{Absence, Claim};
use roseshore_core::gateway::{AcceleratorKind, EngineSpec, Holding, TargetRecord, Targets};
use roseshore_core::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Engines of a data centre: as many as at present, as at larger sites, and as at sites of sizes to
/// come.
const ENGINES: [usize; 7] = [12, 29, 45, 91, 180, 368, 1000];
/// Hosts that exchange heartbeats.
const HOSTS: [u16; 5] = [8, 30, 85, 200, 390];
/// Targets of all data centres in a list.
const LISTED: [usize; 4] = [100, 300, 1000, 3000];
/// Data centres among which these targets are distributed.
const CENTRES: [&str; 3] = ["north", "south", "west"];
/// Layers of the model.
const LAYERS: Layer = 80;

fn spec() -> EngineSpec {
    let kind = |name: &str, memory_mb, step_factor, prefill_factor| AcceleratorKind {
        name: name.to_owned(),
        memory_mb,
        step_factor,
        prefill_factor,
    };
    EngineSpec {
        slots: 192,
        layers: LAYERS,
        layer_mb: 1750.0,
        kv_bytes: 918_000.0,
        step_ms: 1.02,
        per_seq_ms: 0.007_14,
        context_ms: 0.009_56 / 1000.0,
        prefill_per_ms: 105.0,
        event_tokens: 3.0,
        load_time: Duration::from_secs(14),
        mean_prompt: 774.0,
        mean_answer: 200.0,
        kinds: vec![
            kind("a100", 72_000.0, 2.4, 3.2),
            kind("l40s", 43_200.0, 5.6, 2.7),
            kind("l4", 21_600.0, 16.0, 8.2),
        ],
    }
}

/// Empty engines with accelerator kinds in the proportions of present sites.
fn engines(count: usize) -> Vec<EngineState> {
    let kind = |i: usize| match i % 12 {
        0 => "a100",
        1..=4 => "l40s",
        _ => "l4",
    };
    let one = |i: usize| EngineState {
        id: format!("i-{i:04}"),
        kind: kind(i).to_owned(),
        layers: None,
        assured: None,
        ready: None,
    };
    (0..count).map(one).collect()
}

/// Median time of a few runs, microseconds.
fn micros(runs: usize, mut run: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..runs)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[runs / 2]
}

fn main() {
    let spec = spec();
    println!("engines  fresh plan us  plan after a loss us  next step us  path us  parts of it");
    for count in ENGINES {
        let mut all = engines(count);
        let runs = if count > 100 { 3 } else { 9 };
        let fresh = micros(runs, || drop(std::hint::black_box(plan(&spec, &all))));
        for (id, layers) in plan(&spec, &all) {
            if let Some(engine) = all.iter_mut().find(|m| m.id == id) {
                engine.layers = Some(layers);
            }
        }
        let mut lost = all.clone();
        lost.remove(0);
        let again = micros(runs, || drop(std::hint::black_box(plan(&spec, &lost))));
        for engine in &mut lost {
            (engine.assured, engine.ready) = (engine.layers, engine.layers);
        }
        let step = micros(runs, || drop(std::hint::black_box(next_improvement(&spec, &lost))));
        let (path, hops) = path_cost(&spec, &all);
        println!("{count:7}  {fresh:13.0}  {again:20.0}  {step:12.0}  {path:7.1}  {hops}");
    }
    println!("listed  whole list us  one record us  loads us  notes us  path us");
    for count in LISTED {
        let cost = list_cost(&spec, count);
        println!(
            "{count:6}  {:13.0}  {:13.1}  {:8.1}  {:8.1}  {:7.1}",
            cost.whole, cost.record, cost.loads, cost.notes, cost.path
        );
    }
    println!("hosts  heartbeats due us  heard us");
    for hosts in HOSTS {
        let (due, heard) = heartbeat_cost(hosts);
        println!("{hosts:5}  {due:17.1}  {heard:8.2}");
    }
}

/// Costs of operations on the list of targets, microseconds.
struct ListCost {
    /// Replacing the whole list by one that differs in one record.
    whole: f64,
    /// Taking in one changed record.
    record: f64,
    /// Taking in what other hosts have in flight at each target.
    loads: f64,
    /// Collecting what this host has in flight.
    notes: f64,
    /// Choosing a path in the own data centre.
    path: f64,
}

fn list_cost(spec: &EngineSpec, count: usize) -> ListCost {
    let now = Instant::now();
    let engines = engines(count / CENTRES.len());
    let placed: HashMap<TargetId, (Layer, Layer)> = plan(spec, &engines).into_iter().collect();
    let record = |i: usize| TargetRecord {
        id: format!("i-{i:04}"),
        life: 0,
        service: "models".to_owned(),
        addr: SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80)),
        data_centre: CENTRES[i % CENTRES.len()].to_owned(),
        slots: 192,
        draining: false,
        kind: Some(engines[i / CENTRES.len()].kind.clone()),
        holding: placed.get(&engines[i / CENTRES.len()].id).map(|l| Holding { layers: *l }),
    };
    let records: Vec<TargetRecord> = (0..engines.len() * CENTRES.len()).map(record).collect();
    let mut targets = Targets::default();
    targets.replace_list(records.clone(), Absence::Left);
    let mut turn = 0;
    let mut changed = |records: &[TargetRecord]| {
        turn += 1;
        let at = turn % records.len();
        TargetRecord { slots: turn as u32, ..records[at].clone() }
    };
    let whole = micros(5, || {
        let mut fresh = records.clone();
        let other = changed(&records);
        let at = fresh.iter().position(|r| r.id == other.id).unwrap_or(0);
        fresh[at] = other;
        targets.replace_list(fresh, Absence::Left);
    });
    let record = micros(51, || {
        targets.upsert(changed(&records));
    });
    let note = |r: &TargetRecord| {
        let target = name_hash(&r.id);
        (target, TargetLoad { target, own: 3, held: 40, down: false })
    };
    let told: HashMap<_, _> = records.iter().step_by(3).map(note).collect();
    let loads = micros(51, || drop(targets.set_remote_loads(&told, now)));
    for record in records.iter().step_by(30) {
        targets.reserve(&Claim { target: record.id.clone(), kv_used: 1000.0 }, now);
    }
    let notes = micros(51, || drop(std::hint::black_box(targets.load_reports())));
    let request = request();
    let mut random = SmallRng::seed_from_u64(1);
    let path = micros(101, || {
        let candidates = targets.parts("models", spec, &request, &Share::WHOLE, now);
        std::hint::black_box(choose(&candidates, &request, &mut random));
    });
    ListCost { whole, record, loads, notes, path }
}

fn request() -> PathRequest<'static> {
    PathRequest {
        layers: LAYERS,
        prompt_tokens: 774.0,
        answer_tokens: 200.0,
        data_centre: "north",
        avoided: &[],
        excluded_first: &[],
        allowed_first: None,
    }
}

/// Median time to choose a path in a data centre of these engines, and the segments of the path.
fn path_cost(spec: &EngineSpec, engines: &[EngineState]) -> (f64, usize) {
    let now = Instant::now();
    let mut targets = Targets::default();
    for (i, engine) in engines.iter().enumerate() {
        let record = TargetRecord {
            id: engine.id.clone(),
            life: 0,
            service: "models".to_owned(),
            addr: SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80)),
            data_centre: "north".to_owned(),
            slots: 192,
            draining: false,
            kind: Some(engine.kind.clone()),
            holding: engine.layers.map(|layers| Holding { layers }),
        };
        targets.upsert(record);
    }
    let request = request();
    let mut random = SmallRng::seed_from_u64(1);
    let mut hops = 0;
    let time = micros(201, || {
        let candidates = targets.parts("models", spec, &request, &Share::WHOLE, now);
        hops = choose(&candidates, &request, &mut random).map_or(0, |p| p.hops.len());
    });
    (time, hops)
}

/// Median times to make the heartbeats that are due and to take in those of another host,
/// microseconds.
fn heartbeat_cost(hosts: u16) -> (f64, f64) {
    let now = Instant::now();
    let addr = |n: u16| SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000));
    let mut own = Peers::new(addr(0), "north", 1, &[], now);
    let told = LocalState { config: 1, ..LocalState::default() };
    for n in 1..hosts {
        let centre = if n % 22 == 0 { "north" } else { "south" };
        let mut other = Peers::new(addr(n), centre, u64::from(n), &[addr(0)], now);
        for (_, beat) in other.due(&told, now) {
            own.receive(addr(n), beat, now);
        }
    }
    let mut at = now;
    let due = micros(21, || {
        at += Duration::from_millis(100);
        std::hint::black_box(own.due(&told, at));
    });
    let mut other = Peers::new(addr(1), "north", 1, &[addr(0)], now);
    let mut heard = Vec::new();
    for _ in 0..50 {
        at += Duration::from_secs(1);
        let beats: Vec<_> = other.due(&told, at).into_iter().map(|(_, beat)| beat).collect();
        heard.push(micros(1, || {
            for beat in beats.clone() {
                own.receive(addr(1), beat, at);
            }
        }));
    }
    heard.sort_by(f64::total_cmp);
    (due, heard[heard.len() / 2])
}
