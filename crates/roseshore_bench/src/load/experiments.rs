//! Loads on a system that is started for them, before and after something changes.

use super::mixes::{Mix, Part, mix, streams};
use super::run::{Load, Report, run};
use crate::figures::bound::bound;
use crate::figures::rounds::{TOKENS, stages, work};
use roseshore_core::prelude::*;
use roseshore_harness::fleets::{self, CUSTOMER, LAYERS, Shape};
use roseshore_harness::process::ProcessError;
use roseshore_harness::world::{Plan, World};
use serde_json::json;
use std::net::SocketAddr;

/// One run of a load.
const SPAN: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_secs(3);
const WORKERS: usize = 600;
/// How many times its share the flooding organisation asks for.
const FLOOD: f64 = 10.0;
/// The part of the bound that all ask for together before the flood.
const USUAL: f64 = 0.8;
/// How much slower the slowed targets are.
const SLOWED: f64 = 10.0;
/// The organisations of the burst; the first one floods.
const ORGANISATIONS: [&str; 5] = [CUSTOMER, "bolt", "cord", "dune", "elm"];

/// The names of the experiments.
pub const EXPERIMENTS: [&str; 5] = ["installs", "long", "burst", "slow-half", "centre-lost"];

/// A run of an experiment.
pub struct Step {
    /// What was different in it.
    pub name: String,
    /// What became of it.
    pub report: Report,
}

/// Runs an experiment by its name; nothing for another name.
///
/// # Errors
/// When the system does not start or a fault cannot be switched.
pub fn experiment(name: &str) -> Result<Vec<Step>, ProcessError> {
    match name {
        "installs" => plain("installs", 3_000.0),
        "long" => plain("long", 10.0),
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

fn unlike(chains: usize) -> Shape {
    Shape { chains, stages: 2, kind: 3, mixed: true, ..Shape::default() }
}

fn most(world: &World) -> f64 {
    bound(&stages(&world.plan.fleet), LAYERS, work())
}

fn offer(daemons: Vec<SocketAddr>, parts: Vec<Part>, rate: f64, seed: u64) -> Report {
    let mix = Mix { name: "experiment", parts };
    run(&Load { daemons, mix, rate, span: SPAN, deadline: DEADLINE, workers: WORKERS, seed })
}

fn all(world: &World) -> Vec<SocketAddr> {
    world.daemons.iter().map(|daemon| daemon.addr).collect()
}

fn plain(name: &str, rate: f64) -> Result<Vec<Step>, ProcessError> {
    let world = world(unlike(3), 2)?;
    let parts = mix(name).map(|mix| mix.parts).unwrap_or_default();
    let report = offer(all(&world), parts, rate, 1);
    Ok(vec![Step { name: format!("{rate} requests/s"), report }])
}

/// One organisation asks for ten times its share; the others go on as before.
fn burst() -> Result<Vec<Step>, ProcessError> {
    let world = world(unlike(3), 2)?;
    let share = most(&world) * USUAL / ORGANISATIONS.len() as f64;
    let step = |times: f64, seed: u64| {
        let weight = |organisation| if organisation == CUSTOMER { times } else { 1.0 };
        let parts = ORGANISATIONS.iter().map(|it| streams(it, TOKENS, weight(*it)));
        let rate = share * (ORGANISATIONS.len() as f64 - 1.0 + times);
        let name = format!("{CUSTOMER} at {times} times its share, {rate:.0} requests/s");
        Step { name, report: offer(all(&world), parts.collect(), rate, seed) }
    };
    Ok(vec![step(1.0, 1), step(FLOOD, 2), step(1.0, 3)])
}

/// Two of four chains become slow.
fn slow_half() -> Result<Vec<Step>, ProcessError> {
    const CHAINS: usize = 4;
    let world = world(unlike(CHAINS), 2)?;
    let rate = most(&world) * 0.25;
    let step = |name: &str, seed| {
        let report = offer(all(&world), vec![streams(CUSTOMER, TOKENS, 1.0)], rate, seed);
        Step { name: format!("{name}, {rate:.0} requests/s"), report }
    };
    let before = step("as declared", 1);
    for chain in (0..CHAINS).step_by(2) {
        for stage in 0..2 {
            let addr = world.addr(&format!("north-{chain}-{stage}"));
            let addr = addr.ok_or_else(|| ProcessError::NotReady("a chain".into()))?;
            world.fault(addr, &json!({ "slow": SLOWED }))?;
        }
    }
    Ok(vec![before, step("half slowed tenfold, at once", 2), step("half slowed, learned", 3)])
}

/// All processes of one of two data centres are killed; the other's daemons are asked.
fn centre_lost() -> Result<Vec<Step>, ProcessError> {
    let mut world = world(Shape { centres: 2, ..unlike(3) }, 2)?;
    let rate = most(&world) * 0.25;
    let own = |daemon: &&roseshore_harness::world::Daemon| daemon.data_centre == "north";
    let near: Vec<SocketAddr> = world.daemons.iter().filter(own).map(|d| d.addr).collect();
    let step = |name: &str, seed| {
        let report = offer(near.clone(), vec![streams(CUSTOMER, TOKENS, 1.0)], rate, seed);
        Step { name: format!("{name}, {rate:.0} requests/s"), report }
    };
    let before = step("both data centres", 1);
    let lost = world.targets.iter_mut().filter(|(id, _)| id.starts_with("south"));
    lost.for_each(|(_, process)| process.kill());
    let daemons = world.daemons.iter_mut().filter(|daemon| daemon.data_centre == "south");
    daemons.for_each(|daemon| daemon.process.kill());
    Ok(vec![before, step("one lost, at once", 2), step("one lost, later", 3)])
}
