//! Load experiments, each on a system of its own; most measure before and after a change.

use super::mixes::{Mix, Part, mix, streams};
use super::run::{Load, Report, run};
use crate::figures::bound::throughput_bound;
use crate::figures::rounds::{TOKENS, stages, work};
use roseshore_core::prelude::*;
use roseshore_harness::fleets::{self, CUSTOMER, LAYERS, Shape};
use roseshore_harness::process::ProcessError;
use roseshore_harness::world::{Plan, World};
use serde_json::json;
use std::net::SocketAddr;

/// Period in which the requests of one step arrive.
const STEP_SPAN: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_secs(3);
const WORKERS: usize = 600;
/// Rate of the flooding organisation, as a multiple of its share.
const FLOOD_FACTOR: f64 = 10.0;
/// Total rate before the flood, as a fraction of the throughput bound.
const BASE_UTILISATION: f64 = 0.8;
/// Factor by which the slowed targets' steps take longer.
const SLOWDOWN: f64 = 10.0;
/// Organisations of the `burst` experiment; the first one floods.
const ORGANISATIONS: [&str; 5] = [CUSTOMER, "bolt", "cord", "dune", "elm"];

/// Names that [`experiment`] accepts.
pub const EXPERIMENTS: [&str; 5] = ["installs", "long", "burst", "slow-half", "centre-lost"];

/// One measured run within an experiment.
pub struct Step {
    /// The condition under which it ran.
    pub name: String,
    /// Its results.
    pub report: Report,
}

/// Runs an experiment; returns no steps if `name` is not in [`EXPERIMENTS`].
///
/// # Errors
/// If the system does not start or a fault cannot be injected.
pub fn experiment(name: &str) -> Result<Vec<Step>, ProcessError> {
    match name {
        "installs" => steady("installs", 3_000.0),
        "long" => steady("long", 10.0),
        "burst" => burst(),
        "slow-half" => slow_half(),
        "centre-lost" => centre_lost(),
        _ => Ok(Vec::new()),
    }
}

fn world(shape: Shape, daemons: usize) -> Result<World, ProcessError> {
    let mut fleet = fleets::fleet(shape);
    let usual = fleet.organisations[CUSTOMER].clone();
    for organisation in ORGANISATIONS {
        fleet.organisations.insert(organisation.into(), usual.clone());
    }
    World::serving(Plan { fleet, daemons, ..Plan::default() })
}

fn mixed_shape(chains: usize) -> Shape {
    Shape { chains, stages: 2, kind: 3, mixed: true, ..Shape::default() }
}

fn world_bound(world: &World) -> f64 {
    throughput_bound(&stages(&world.plan.fleet), LAYERS, work())
}

fn run_load(daemons: Vec<SocketAddr>, parts: Vec<Part>, rate: f64, seed: u64) -> Report {
    let mix = Mix { name: "experiment", parts };
    run(&Load { daemons, mix, rate, span: STEP_SPAN, deadline: DEADLINE, workers: WORKERS, seed })
}

fn all_daemons(world: &World) -> Vec<SocketAddr> {
    world.daemons.iter().map(|daemon| daemon.addr).collect()
}

fn steady(name: &str, rate: f64) -> Result<Vec<Step>, ProcessError> {
    let world = world(mixed_shape(3), 2)?;
    let parts = mix(name).map(|mix| mix.parts).unwrap_or_default();
    let report = run_load(all_daemons(&world), parts, rate, 1);
    Ok(vec![Step { name: format!("{rate} requests/s"), report }])
}

/// One organisation sends ten times its share while the others keep their rate.
fn burst() -> Result<Vec<Step>, ProcessError> {
    let world = world(mixed_shape(3), 2)?;
    let share = world_bound(&world) * BASE_UTILISATION / ORGANISATIONS.len() as f64;
    let step = |times: f64, seed: u64| {
        let weight = |organisation| if organisation == CUSTOMER { times } else { 1.0 };
        let parts = ORGANISATIONS.iter().map(|it| streams(it, TOKENS, weight(*it)));
        let rate = share * (ORGANISATIONS.len() as f64 - 1.0 + times);
        let name = format!("{CUSTOMER} at {times} times its share, {rate:.0} requests/s");
        Step { name, report: run_load(all_daemons(&world), parts.collect(), rate, seed) }
    };
    Ok(vec![step(1.0, 1), step(FLOOD_FACTOR, 2), step(1.0, 3)])
}

/// Slows two of four chains.
fn slow_half() -> Result<Vec<Step>, ProcessError> {
    const CHAINS: usize = 4;
    let world = world(mixed_shape(CHAINS), 2)?;
    let rate = world_bound(&world) * 0.25;
    let step = |name: &str, seed| {
        let report =
            run_load(all_daemons(&world), vec![streams(CUSTOMER, TOKENS, 1.0)], rate, seed);
        Step { name: format!("{name}, {rate:.0} requests/s"), report }
    };
    let before = step("as declared", 1);
    for chain in (0..CHAINS).step_by(2) {
        for stage in 0..2 {
            let addr = world.addr(&format!("north-{chain}-{stage}"));
            let addr = addr.ok_or_else(|| ProcessError::NotReady("a chain".into()))?;
            world.fault(addr, &json!({ "slow": SLOWDOWN }))?;
        }
    }
    Ok(vec![before, step("half slowed tenfold, at once", 2), step("half slowed, learned", 3)])
}

/// Kills all processes of one of two data centres and sends the load to the other's daemons.
fn centre_lost() -> Result<Vec<Step>, ProcessError> {
    let mut world = world(Shape { centres: 2, ..mixed_shape(3) }, 2)?;
    let rate = world_bound(&world) * 0.25;
    let own = |daemon: &&roseshore_harness::world::Daemon| daemon.data_centre == "north";
    let near: Vec<SocketAddr> = world.daemons.iter().filter(own).map(|d| d.addr).collect();
    let step = |name: &str, seed| {
        let report = run_load(near.clone(), vec![streams(CUSTOMER, TOKENS, 1.0)], rate, seed);
        Step { name: format!("{name}, {rate:.0} requests/s"), report }
    };
    let before = step("both data centres", 1);
    let lost = world.targets.iter_mut().filter(|(id, _)| id.starts_with("south"));
    lost.for_each(|(_, process)| process.kill());
    let daemons = world.daemons.iter_mut().filter(|daemon| daemon.data_centre == "south");
    daemons.for_each(|daemon| daemon.process.kill());
    Ok(vec![before, step("one lost, at once", 2), step("one lost, later", 3)])
}
