//! What real daemons spend at rest, by what they have to know and whom they have to tell.
//!
//! Separate processes, as in service; nothing is asked of them while they are watched. Connections
//! to the platform and to one target go through a [`Relay`], which counts their bytes; datagrams
//! are those of the daemons' own metrics. Connections between daemons are not counted.

use super::fit::Point;
use super::relay::Relay;
use super::{ACCELERATORS, CENTRES, DAEMONS, NEAR, ORGANISATIONS, REPLICAS, Series, usage};
use roseshore_core::fleet::DataCentre;
use roseshore_core::prelude::*;
use roseshore_harness::fleets::{self, Shape};
use roseshore_harness::process::{ProcessError, wait_until};
use roseshore_harness::world::{Plan, World, objects};
use roseshore_wire::admin::Outcome;
use roseshore_wire::platform::{Host, HostState};
use std::net::SocketAddr;
use std::thread;

/// Time for a system to come to rest after it started.
const SETTLE: Duration = Duration::from_secs(3);
/// Time in which it is watched.
const WATCH: Duration = Duration::from_secs(10);
/// Objects in one command.
const CHANGES: usize = 2_000;

/// What to start.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Engine targets.
    pub targets: usize,
    /// Data centres.
    pub centres: usize,
    /// Daemons in each data centre.
    pub daemons: usize,
    /// Organisations.
    pub organisations: usize,
    /// Hosts on the host list that run no daemon.
    pub hosts: usize,
}

/// The smallest system.
const SMALL: Setup = Setup { targets: 2, centres: 1, daemons: 1, organisations: 1, hosts: 0 };

/// What one daemon spends at rest, the mean over all of a system.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    /// Processor time, part of one core in 100.
    pub processor: f64,
    /// Resident memory, MB.
    pub memory: f64,
    /// Datagrams, both ways, bytes a second.
    pub datagrams: f64,
    /// Connections to the platform, both ways, bytes a second.
    pub platform: f64,
    /// Connections to one target, both ways, bytes a second.
    pub target: f64,
}

/// A quantity of [`Rest`].
type Pick = fn(&Rest) -> f64;

/// One kind of growth and what it is expected to move.
struct Growth {
    role: &'static str,
    size: &'static str,
    setups: [(usize, Setup); 4],
    costs: &'static [(&'static str, Pick)],
    goals: &'static [f64],
}

const CORE: (&str, Pick) = ("% of a core", |r| r.processor);
const MEMORY: (&str, Pick) = ("MB resident", |r| r.memory);
const DATAGRAMS: (&str, Pick) = ("datagram bytes/s", |r| r.datagrams);
const PLATFORM: (&str, Pick) = ("platform bytes/s", |r| r.platform);
const TARGET: (&str, Pick) = ("bytes/s to one target", |r| r.target);

fn growths() -> [Growth; 5] {
    let sizes = |sizes: [usize; 4], setup: fn(usize) -> Setup| sizes.map(|n| (n, setup(n)));
    [
        Growth {
            role: "daemon: polling",
            size: "targets polled by one daemon",
            setups: sizes([10, 20, 40, 80], |targets| Setup { targets, ..SMALL }),
            costs: &[CORE, MEMORY, TARGET],
            goals: &[REPLICAS / DAEMONS, ACCELERATORS / DAEMONS],
        },
        Growth {
            role: "daemon: heartbeats",
            size: "daemons of the data centre",
            setups: sizes([2, 4, 8, 18], |daemons| Setup { daemons, ..SMALL }),
            costs: &[CORE, MEMORY, DATAGRAMS],
            goals: &[NEAR],
        },
        Growth {
            role: "daemon: data centres",
            size: "data centres",
            setups: sizes([2, 6, 11, 22], |centres| Setup { centres, ..SMALL }),
            costs: &[CORE, MEMORY, DATAGRAMS, PLATFORM],
            goals: &[CENTRES],
        },
        Growth {
            role: "daemon: configuration",
            size: "organisations",
            setups: sizes([4_000, 8_000, 16_000, 33_000], |organisations| Setup {
                organisations,
                ..SMALL
            }),
            costs: &[CORE, MEMORY],
            goals: &[ORGANISATIONS],
        },
        Growth {
            role: "daemon: host list",
            size: "hosts listed",
            setups: sizes([300, 600, 1_200, 2_400], |hosts| Setup { hosts, ..SMALL }),
            costs: &[CORE, MEMORY, PLATFORM],
            goals: &[DAEMONS + REPLICAS, DAEMONS + ACCELERATORS],
        },
    ]
}

/// Every series whose role holds `only`, telling `say` of each system as it is done.
///
/// # Errors
/// When a system does not start.
pub fn all(only: &str, mut say: impl FnMut(&str)) -> Result<Vec<Series>, ProcessError> {
    let mut series = Vec::new();
    for growth in growths().into_iter().filter(|g| g.role.contains(only)) {
        let mut found = Vec::new();
        for (size, setup) in growth.setups {
            let rest = watch(setup)?;
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

/// Starts a system, lets it rest and watches it.
///
/// # Errors
/// When it does not start.
pub fn watch(setup: Setup) -> Result<Rest, ProcessError> {
    let relays = [relay()?, relay()?];
    let [platform, target] = &relays;
    let flags = vec!["--log".to_owned(), platform.addr().to_string()];
    let plan = Plan { fleet: fleet(setup), daemons: setup.daemons, flags, ..Plan::default() };
    let mut world = World::start(plan)?;
    platform.point(world.log);
    let first = world.plan.fleet.targets.values_mut().next();
    let first = first.ok_or_else(|| ProcessError::NotReady("a fleet with targets".into()))?;
    target.point(first.addr);
    first.addr = target.addr();
    list_hosts(&world, setup.hosts)?;
    declare(&world)?;
    thread::sleep(SETTLE);
    Ok(rest(&world, &relays))
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

/// Puts the system's own hosts and `more` others on the host list.
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

/// Declares the fleet in commands of a bounded size and waits until every daemon is ready.
fn declare(world: &World) -> Result<(), ProcessError> {
    for (number, part) in objects(&world.plan.fleet).chunks(CHANGES).enumerate() {
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

fn rest(world: &World, relays: &[Relay; 2]) -> Rest {
    let read = || {
        let processor: f64 =
            world.daemons.iter().map(|d| usage::processor(d.process.id()).as_secs_f64()).sum();
        let datagrams: f64 = world.daemons.iter().map(|d| datagrams(world, d.addr)).sum();
        let [platform, target] = relays;
        [processor, datagrams, platform.bytes() as f64, target.bytes() as f64]
    };
    let (begun, before) = (Instant::now(), read());
    thread::sleep(WATCH);
    let (after, took) = (read(), begun.elapsed().as_secs_f64());
    let count = world.daemons.len() as f64;
    let each = |i: usize| (after[i] - before[i]) / took / count;
    let memory = world.daemons.iter().map(|d| usage::resident_of(&d.process.id().to_string()));
    Rest {
        processor: each(0) * 100.0,
        memory: memory.sum::<usize>() as f64 / count / 1e6,
        datagrams: each(1),
        platform: each(2),
        target: each(3),
    }
}

/// Bytes of a daemon's datagrams so far, both ways.
fn datagrams(world: &World, addr: SocketAddr) -> f64 {
    let text = world.caller.get(addr, "/metrics").ok();
    let text = text.as_ref().and_then(|text| text.as_str()).unwrap_or_default();
    let lines = text.lines().filter(|line| line.starts_with("roseshore_datagram_bytes_total"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
