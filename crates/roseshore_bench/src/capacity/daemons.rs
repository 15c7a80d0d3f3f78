//! Resource use of idle daemons, by the size of their configuration and the number of their peers.
//!
//! Daemons run as separate processes, as in production, and receive no requests during the
//! measurement. Connections to the platform and to one target go through a [`Relay`] that counts
//! their bytes; datagram bytes come from the daemons' metrics. Connections between daemons are not
//! counted.

use super::fit::Point;
use super::relay::Relay;
use super::{
    ACCELERATORS, DAEMONS, DAEMONS_PER_CENTRE, DATA_CENTRES, ORGANISATIONS, REPLICAS, Series, usage,
};
use roseshore_core::fleet::DataCentre;
use roseshore_core::prelude::*;
use roseshore_harness::fleets::{self, Shape};
use roseshore_harness::process::{ProcessError, wait_until};
use roseshore_harness::world::{Plan, World, objects};
use roseshore_wire::admin::Outcome;
use roseshore_wire::platform::{Host, HostState};
use std::net::SocketAddr;
use std::thread;

/// Time for a system to become idle after its start.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Length of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Maximum number of objects in one command.
const OBJECTS_PER_COMMAND: usize = 2_000;

/// Size of the system to start.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of engine targets; even, as a chain has two.
    pub targets: usize,
    /// Number of data centres.
    pub centres: usize,
    /// Daemons in each data centre.
    pub daemons: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Number of additional hosts on the host list, which run neither daemons nor targets.
    pub hosts: usize,
}

/// The smallest system, from which each [`Growth`] varies one size.
const SMALLEST: Setup = Setup { targets: 2, centres: 1, daemons: 1, organisations: 1, hosts: 0 };

/// Resource use of an idle daemon, the mean over all daemons of a system.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    /// Processor time, per cent of one core.
    pub processor: f64,
    /// Resident memory, MB.
    pub memory: f64,
    /// Datagrams in both directions, bytes per second.
    pub datagrams: f64,
    /// Connections to the platform in both directions, bytes per second.
    pub platform: f64,
    /// Connections to one target in both directions, bytes per second.
    pub target: f64,
}

/// Selects a field of [`Rest`].
type Selector = fn(&Rest) -> f64;

/// A size that is varied, and the costs that are expected to depend on it.
struct Growth {
    role: &'static str,
    size: &'static str,
    setups: [(usize, Setup); 4],
    costs: &'static [(&'static str, Selector)],
    goals: &'static [f64],
}

const CORE: (&str, Selector) = ("% of a core", |r| r.processor);
const MEMORY: (&str, Selector) = ("MB resident", |r| r.memory);
const DATAGRAMS: (&str, Selector) = ("datagram bytes/s", |r| r.datagrams);
const PLATFORM: (&str, Selector) = ("platform bytes/s", |r| r.platform);
const TARGET: (&str, Selector) = ("bytes/s to one target", |r| r.target);

fn growths() -> [Growth; 5] {
    let sizes = |sizes: [usize; 4], setup: fn(usize) -> Setup| sizes.map(|n| (n, setup(n)));
    [
        Growth {
            role: "daemon: polling",
            size: "targets polled by one daemon",
            setups: sizes([10, 20, 40, 80], |targets| Setup { targets, ..SMALLEST }),
            costs: &[CORE, MEMORY, TARGET],
            goals: &[REPLICAS / DAEMONS, ACCELERATORS / DAEMONS],
        },
        Growth {
            role: "daemon: heartbeats",
            size: "daemons of the data centre",
            setups: sizes([2, 4, 8, 18], |daemons| Setup { daemons, ..SMALLEST }),
            costs: &[CORE, MEMORY, DATAGRAMS],
            goals: &[DAEMONS_PER_CENTRE],
        },
        Growth {
            role: "daemon: data centres",
            size: "data centres",
            setups: sizes([2, 6, 11, 22], |centres| Setup { centres, ..SMALLEST }),
            costs: &[CORE, MEMORY, DATAGRAMS, PLATFORM],
            goals: &[DATA_CENTRES],
        },
        Growth {
            role: "daemon: configuration",
            size: "organisations",
            setups: sizes([4_000, 8_000, 16_000, 33_000], |organisations| Setup {
                organisations,
                ..SMALLEST
            }),
            costs: &[CORE, MEMORY],
            goals: &[ORGANISATIONS],
        },
        Growth {
            role: "daemon: host list",
            size: "hosts listed",
            setups: sizes([300, 600, 1_200, 2_400], |hosts| Setup { hosts, ..SMALLEST }),
            costs: &[CORE, MEMORY, PLATFORM],
            goals: &[DAEMONS + REPLICAS, DAEMONS + ACCELERATORS],
        },
    ]
}

/// Measures every series whose role contains `only`; calls `say` with a progress line after each
/// system.
///
/// # Errors
/// If a system does not start.
pub fn measure(only: &str, mut say: impl FnMut(&str)) -> Result<Vec<Series>, ProcessError> {
    let mut series = Vec::new();
    for growth in growths().into_iter().filter(|g| g.role.contains(only)) {
        let mut found = Vec::new();
        for (size, setup) in growth.setups {
            let rest = measure_system(setup)?;
            say(&format!("{} {size} {}: {rest:.2?}", growth.role, growth.size));
            found.push((size, rest));
        }
        for &(cost, pick) in growth.costs {
            let point =
                |(size, rest): &(usize, Rest)| Point { size: *size as f64, cost: pick(rest) };
            series.push(Series {
                role: growth.role,
                cost,
                size: growth.size,
                points: found.iter().map(point).collect(),
                goals: growth.goals.to_vec(),
            });
        }
    }
    Ok(series)
}

/// Starts a system, waits until it is idle and measures it.
///
/// # Errors
/// If it does not start.
pub fn measure_system(setup: Setup) -> Result<Rest, ProcessError> {
    let relays = [relay()?, relay()?];
    let [platform, target] = &relays;
    let flags = vec!["--log".to_owned(), platform.addr().to_string()];
    let plan = Plan { fleet: fleet(setup), daemons: setup.daemons, flags, ..Plan::default() };
    let mut world = World::start(plan)?;
    platform.forward_to(world.log);
    let first = world.plan.fleet.targets.values_mut().next();
    let first = first.ok_or_else(|| ProcessError::NotReady("a fleet with targets".into()))?;
    target.forward_to(first.addr);
    first.addr = target.addr();
    list_hosts(&world, setup.hosts)?;
    declare(&world)?;
    thread::sleep(SETTLE_TIME);
    Ok(measure_idle(&world, &relays))
}

fn relay() -> Result<Relay, ProcessError> {
    Relay::start().map_err(|err| ProcessError::Call(format!("a relay: {err}")))
}

fn fleet(setup: Setup) -> Fleet {
    let shape = Shape { chains: setup.targets / 2, stages: 2, ..Shape::default() };
    let mut fleet = fleets::fleet(shape);
    for number in 1..setup.centres {
        let data_centre =
            DataCentre { region: "region".into(), ..fleet.data_centres["north"].clone() };
        fleet.data_centres.insert(format!("z{number}"), data_centre);
    }
    let customer = fleet.organisations[fleets::CUSTOMER].clone();
    for number in 1..setup.organisations {
        fleet.organisations.insert(format!("organisation-{number:05}"), customer.clone());
    }
    fleet
}

/// Sets the host list to the system's own hosts and `more` others.
fn list_hosts(world: &World, more: usize) -> Result<(), ProcessError> {
    let daemons =
        world.daemons.iter().map(|d| (d.host.clone(), d.data_centre.clone(), Some(d.peer)));
    let targets = world.plan.fleet.targets.values();
    let targets = targets.map(|t| (t.host.clone(), t.data_centre.clone(), None));
    let others = (0..more).map(|n| (format!("target-host-{n:05}"), "korangi-00".to_owned(), None));
    let all = daemons.chain(targets).chain(others);
    let host = |(host, data_centre, peer): (HostId, DataCentreId, Option<SocketAddr>)| Host {
        host,
        data_centre,
        state: HostState::Live,
        peer,
    };
    let hosts: Vec<Host> = all.map(host).collect();
    world.caller.post(world.log, "/_hosts", &hosts).map(drop)
}

/// Submits the fleet in commands of at most [`OBJECTS_PER_COMMAND`] objects and waits until every daemon is ready.
fn declare(world: &World) -> Result<(), ProcessError> {
    for (number, part) in objects(&world.plan.fleet).chunks(OBJECTS_PER_COMMAND).enumerate() {
        match world.command(&format!("part-{number}"), part)? {
            Outcome::Accepted { .. } => {}
            other => return Err(ProcessError::Call(format!("part {number}: {other:?}"))),
        }
    }
    for daemon in &world.daemons {
        if !wait_until(|| world.caller.status(daemon.addr, "/readyz") == Some(200)) {
            return Err(ProcessError::NotReady(format!("daemon `{}`", daemon.host)));
        }
    }
    Ok(())
}

fn measure_idle(world: &World, relays: &[Relay; 2]) -> Rest {
    let read = || {
        let processor: f64 =
            world.daemons.iter().map(|d| usage::cpu_time(d.process.id()).as_secs_f64()).sum();
        let datagrams: f64 = world.daemons.iter().map(|d| datagrams(world, d.addr)).sum();
        let [platform, target] = relays;
        [processor, datagrams, platform.bytes() as f64, target.bytes() as f64]
    };
    let (begun, before) = (Instant::now(), read());
    thread::sleep(MEASURE_TIME);
    let (after, took) = (read(), begun.elapsed().as_secs_f64());
    let count = world.daemons.len() as f64;
    let each = |i: usize| (after[i] - before[i]) / took / count;
    let memory =
        world.daemons.iter().map(|d| usage::resident_bytes_of(&d.process.id().to_string()));
    Rest {
        processor: each(0) * 100.0,
        memory: memory.sum::<usize>() as f64 / count / 1e6,
        datagrams: each(1),
        platform: each(2),
        target: each(3),
    }
}

/// Bytes of a daemon's datagrams so far, in both directions; 0 if its metrics cannot be read.
fn datagrams(world: &World, addr: SocketAddr) -> f64 {
    let text = world.caller.get(addr, "/metrics").ok();
    let text = text.as_ref().and_then(|text| text.as_str()).unwrap_or_default();
    let lines = text.lines().filter(|line| line.starts_with("roseshore_datagram_bytes_total"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
