//! Starts the platform, targets and daemons of a declared fleet as separate processes.

use crate::caller::{Caller, Chat, RequestOptions};
use crate::process::{Process, ProcessError, free_port, wait_until};
use crate::relay::Relay;
use roseshore_core::config::{Change, Command, FORMAT, Object, ObjectKey};
use roseshore_core::fleet::{ServiceKind, TargetKind};
use roseshore_core::prelude::*;
use roseshore_wire::admin::{Outcome, Report};
use roseshore_wire::platform::{Host, HostState};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// The simulated speed of one accelerator kind, passed to the fake engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Name of the accelerator kind in declarations.
    pub name: &'static str,
    /// Duration of one decode step of one token, in microseconds.
    pub step_us: u64,
    /// Number of steps that run concurrently.
    pub slots: u32,
    /// Prefill rate in tokens per second.
    pub prefill: u64,
}

/// The metric with the number of targets that respond, without its value.
const TARGETS_METRIC: &str = "roseshore_targets_answering";

/// The known accelerator kinds; the fastest is six times as fast as the slowest.
pub const SPEEDS: &[Speed] = &[
    Speed { name: "h100", step_us: 1_000, slots: 16, prefill: 60_000 },
    Speed { name: "mi300", step_us: 1_500, slots: 12, prefill: 40_000 },
    Speed { name: "a100", step_us: 2_000, slots: 12, prefill: 30_000 },
    Speed { name: "l40s", step_us: 3_000, slots: 8, prefill: 20_000 },
    Speed { name: "l4", step_us: 4_000, slots: 8, prefill: 15_000 },
    Speed { name: "t4", step_us: 6_000, slots: 6, prefill: 10_000 },
];

/// The speed of a declared accelerator kind; that of `a100` if the kind is unknown or not declared.
pub fn speed(accelerator: Option<&str>) -> Speed {
    let known = SPEEDS.iter().find(|s| Some(s.name) == accelerator);
    *known.unwrap_or(&SPEEDS[2])
}

/// Configuration of a [`World`].
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The declared fleet; port 0 of a target is replaced by the port it listens on.
    pub fleet: Fleet,
    /// Number of daemons in each data centre.
    pub daemons: usize,
    /// Additional flags for the platform.
    pub platform: Vec<String>,
    /// Additional flags for every engine.
    pub engines: Vec<String>,
    /// Additional flags for every service replica.
    pub services: Vec<String>,
    /// Additional flags for every daemon.
    pub flags: Vec<String>,
    /// Data centres whose daemons reach the platform through a relay that can be cut.
    pub relayed: Vec<DataCentreId>,
}

impl Plan {
    /// The first target declared at a fixed address; one process serves all targets that share it.
    fn first_at(&self, addr: SocketAddr) -> Option<&TargetId> {
        let mut targets = self.fleet.targets.iter();
        let same = targets.find(|(_, t)| addr.port() != 0 && t.addr == addr);
        same.map(|(id, _)| id)
    }

    /// The lookup sources of all targets that share the target's fixed address, or of this target
    /// alone if its port is 0.
    fn sources<'a>(&'a self, target: &'a Target) -> Vec<&'a str> {
        let shared = |t: &&Target| target.addr.port() != 0 && t.addr == target.addr;
        let all: Vec<&Target> = self.fleet.targets.values().filter(shared).collect();
        let all = if all.is_empty() { vec![target] } else { all };
        let serves = all.into_iter().filter_map(|t| t.serves.as_ref());
        serves.filter_map(|s| s.split_once('/')).map(|(_, source)| source).collect()
    }
}

/// A running daemon.
pub struct Daemon {
    /// The host id that the daemon was started with.
    pub host: HostId,
    /// The data centre that the daemon belongs to.
    pub data_centre: DataCentreId,
    /// Listen address for client requests.
    pub addr: SocketAddr,
    /// Listen address for other daemons.
    pub peer: SocketAddr,
    /// The daemon's process; killed on drop.
    pub process: Process,
}

/// A running system: the platform, targets and daemons of one fleet.
pub struct World {
    /// The configuration, with the targets' actual addresses.
    pub plan: Plan,
    /// The process of the fake platform.
    pub platform: Process,
    /// Listen address of the platform (log, host list and weight store).
    pub log: SocketAddr,
    /// The relays between a data centre's daemons and the platform.
    pub relays: BTreeMap<DataCentreId, Relay>,
    /// The target processes; targets that share an address are listed under the first one's id.
    pub targets: BTreeMap<TargetId, Process>,
    /// The daemons, ordered by data centre and number.
    pub daemons: Vec<Daemon>,
    /// Client for requests to any of the processes.
    pub caller: Caller,
    /// The incarnation number that was last given to a restarted engine.
    last_incarnation: u64,
}

impl World {
    /// Starts all processes without declaring the fleet; returns when every daemon is healthy.
    ///
    /// # Errors
    /// If a program is not built or does not become ready.
    pub fn start(mut plan: Plan) -> Result<World, ProcessError> {
        let mut args = vec!["--lag-ms".to_owned(), "500".to_owned()];
        args.extend(plan.platform.iter().cloned());
        let (platform, log) = Process::listening("fake_platform", &args)?;
        let mut targets = BTreeMap::new();
        let flags = plan.clone();
        for (id, target) in &mut plan.fleet.targets {
            if flags.first_at(target.addr).is_some_and(|first| first != id) {
                continue;
            }
            let (process, addr) = start_target(&flags, id, target, log)?;
            target.addr = addr;
            targets.insert(id.clone(), process);
        }
        let caller = Caller::default();
        let mut relays = BTreeMap::new();
        for data_centre in &plan.relayed {
            let relay = Relay::start(log)
                .map_err(|err| ProcessError::NotReady(format!("the relay: {err}")))?;
            relays.insert(data_centre.clone(), relay);
        }
        let mut world = World {
            plan,
            platform,
            log,
            relays,
            targets,
            daemons: Vec::new(),
            caller,
            last_incarnation: 1,
        };
        let centres: Vec<DataCentreId> = world.plan.fleet.data_centres.keys().cloned().collect();
        for data_centre in centres {
            for number in 0..world.plan.daemons {
                let daemon =
                    world.start_daemon(&data_centre, &format!("{data_centre}-{number}"))?;
                world.daemons.push(daemon);
            }
        }
        world.list_hosts()?;
        for daemon in &world.daemons {
            let up = || world.caller.status(daemon.addr, "/healthz") == Some(200);
            if !wait_until(up) {
                return Err(ProcessError::NotReady(format!("daemon `{}`", daemon.host)));
            }
        }
        Ok(world)
    }

    /// Starts the system and declares its fleet; returns when every daemon knows that every target
    /// responds.
    ///
    /// # Errors
    /// As [`World::start`], or if the fleet is not accepted or a daemon does not become ready.
    pub fn serving(plan: Plan) -> Result<World, ProcessError> {
        let world = World::start(plan)?;
        world.declare()?;
        world.ready()?;
        if wait_until(|| world.daemons.iter().all(|d| world.hears_all(d))) {
            return Ok(world);
        }
        Err(ProcessError::NotReady("every target at every daemon".to_owned()))
    }

    /// Whether a daemon knows that every target responds. A daemon is ready as soon as it knows of one
    /// chain; if that chain is lost before another has reported, no route is left.
    pub fn hears_all(&self, daemon: &Daemon) -> bool {
        self.caller.metric(daemon.addr, TARGETS_METRIC) == Some(self.plan.fleet.targets.len())
    }

    /// Starts a daemon without adding it to the host list or to [`World::daemons`].
    ///
    /// # Errors
    /// If the program is not built.
    pub fn start_daemon(&self, data_centre: &str, host: &str) -> Result<Daemon, ProcessError> {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let peer = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()));
        let log = self.relays.get(data_centre).map_or(self.log, Relay::addr);
        let mut args = flags(&[
            ("host", host),
            ("data-centre", data_centre),
            ("listen", &addr.to_string()),
            ("peer", &peer.to_string()),
            ("log", &log.to_string()),
        ]);
        args.extend(self.plan.flags.iter().cloned());
        let process = Process::start("roseshored", &args)?;
        let (host, data_centre) = (host.to_owned(), data_centre.to_owned());
        Ok(Daemon { host, data_centre, addr, peer, process })
    }

    /// Restarts a target that has exited, at its old address; an engine gets a new incarnation number.
    ///
    /// # Errors
    /// If the target is not declared, its program is not built, or it does not become ready.
    pub fn restart(&mut self, target: &str) -> Result<(), ProcessError> {
        let declared = self.plan.fleet.targets.get(target);
        let declared = declared.ok_or_else(|| ProcessError::NotReady(target.to_owned()))?;
        self.last_incarnation += 1;
        let mut plan = self.plan.clone();
        plan.engines.extend(flags(&[("incarnation", &self.last_incarnation.to_string())]));
        let (process, _) = start_target(&plan, target, declared, self.log)?;
        self.targets.insert(target.to_owned(), process);
        Ok(())
    }

    /// Replaces the host list by all daemons and targets, each as live.
    ///
    /// # Errors
    /// If the platform does not respond.
    pub fn list_hosts(&self) -> Result<(), ProcessError> {
        let daemons = self.daemons.iter().map(|d| Host {
            host: d.host.clone(),
            data_centre: d.data_centre.clone(),
            state: HostState::Live,
            peer: Some(d.peer),
        });
        let targets = self.plan.fleet.targets.values().map(|t| Host {
            host: t.host.clone(),
            data_centre: t.data_centre.clone(),
            state: HostState::Live,
            peer: None,
        });
        let hosts: Vec<Host> = daemons.chain(targets).collect();
        self.caller.post(self.log, "/_hosts", &hosts).map(drop)
    }

    /// Declares the fleet through the first daemon.
    ///
    /// # Errors
    /// If the command is not accepted.
    pub fn declare(&self) -> Result<(), ProcessError> {
        let outcome = self.command("world", &objects(&self.plan.fleet))?;
        match outcome {
            Outcome::Accepted { .. } => Ok(()),
            other => Err(ProcessError::Call(format!("the fleet was not accepted: {other:?}"))),
        }
    }

    /// Submits one command that creates the given objects, through the first daemon.
    ///
    /// # Errors
    /// If the daemon does not respond, or not with a report.
    pub fn command(
        &self,
        id: &str,
        objects: &[(ObjectKey, Object)],
    ) -> Result<Outcome, ProcessError> {
        let changes = objects.iter().map(|(key, object)| Change {
            key: key.clone(),
            base: None,
            put: Some(object.clone()),
        });
        let command = Command {
            format: FORMAT,
            id: id.to_owned(),
            operator: "harness".to_owned(),
            made_at: 0,
            changes: changes.collect(),
        };
        let first =
            self.daemons.first().ok_or_else(|| ProcessError::NotReady("no daemon".into()))?;
        let reply = self.caller.post(first.addr, "/v1/admin/commands?wait_ms=10000", &command)?;
        let report = serde_json::from_value::<Report>(reply.clone());
        report.map(|r| r.outcome).map_err(|_| ProcessError::Call(reply.to_string()))
    }

    /// Waits until every daemon is ready and answers requests for every idempotent model service.
    ///
    /// # Errors
    /// If a daemon is not ready within the start limit.
    pub fn ready(&self) -> Result<(), ProcessError> {
        for daemon in &self.daemons {
            let ready = || self.caller.status(daemon.addr, "/readyz") == Some(200);
            if !wait_until(ready) {
                return Err(ProcessError::NotReady(format!("daemon `{}`", daemon.host)));
            }
            self.wait_answering(daemon.addr)?;
        }
        Ok(())
    }

    /// Waits until a daemon knows enough targets to answer for every idempotent model service.
    fn wait_answering(&self, daemon: SocketAddr) -> Result<(), ProcessError> {
        let Some(customer) = self.plan.fleet.organisations.keys().next() else { return Ok(()) };
        let marks = RequestOptions::of(customer);
        let services = self.plan.fleet.services.iter();
        for (service, _) in services.filter(|(_, s)| s.kind == ServiceKind::Model && s.idempotent) {
            let chat = Chat { service, prompt: "probe", tokens: 1 };
            if !wait_until(|| self.caller.answer(daemon, &chat, &marks).status == 200) {
                return Err(ProcessError::NotReady(format!("service `{service}`")));
            }
        }
        Ok(())
    }

    /// Sets the injected faults of a target or the platform; an empty object clears them.
    ///
    /// # Errors
    /// If the process does not respond.
    pub fn fault(&self, addr: SocketAddr, faults: &Value) -> Result<(), ProcessError> {
        self.caller.post(addr, "/_fault", faults).map(drop)
    }

    /// Counts how often calls with an idempotency key were executed, over all service replicas.
    ///
    /// # Errors
    /// If a replica does not respond.
    pub fn ran(&self, key: &str) -> Result<u64, ProcessError> {
        let mut count = 0;
        let services = self.plan.fleet.targets.values().filter(|t| t.kind == TargetKind::Service);
        for target in services {
            let ran = self.caller.get(target.addr, "/_ran")?;
            let keys = ran["keys"].as_object().cloned().unwrap_or_default();
            // Daemons combine the key with its organisation and service, so match a part of it.
            let counts = keys.iter().filter(|(k, _)| k.contains(key)).map(|(_, n)| n.as_u64());
            count += counts.flatten().sum::<u64>();
        }
        Ok(count)
    }

    /// The listen address of a target; `None` if it is not declared.
    pub fn addr(&self, target: &str) -> Option<SocketAddr> {
        self.plan.fleet.targets.get(target).map(|t| t.addr)
    }

    /// Number of processes in the system: the platform, targets and daemons.
    pub fn processes(&self) -> usize {
        1 + self.targets.len() + self.daemons.len()
    }
}

fn start_target(
    plan: &Plan,
    id: &str,
    target: &Target,
    log: SocketAddr,
) -> Result<(Process, SocketAddr), ProcessError> {
    let (program, args) = match target.kind {
        TargetKind::Engine => ("fake_engine", engine_args(plan, id, target, log)),
        TargetKind::Service => ("fake_service", service_args(plan, target)),
    };
    Process::listening(program, &args)
}

fn engine_args(plan: &Plan, id: &str, target: &Target, log: SocketAddr) -> Vec<String> {
    let speed = speed(target.accelerator.as_deref());
    let (from, to) = target.layers.unwrap_or((0, 0));
    let mut args = flags(&[
        ("listen", &target.addr.to_string()),
        ("target", id),
        ("layers", &format!("{from}-{to}")),
        ("weights", &log.to_string()),
        ("step-us", &speed.step_us.to_string()),
        ("slots", &speed.slots.to_string()),
        ("prefill-rate", &speed.prefill.to_string()),
    ]);
    if let Some((id, model)) =
        target.model.as_ref().and_then(|m| plan.fleet.models.get_key_value(m))
    {
        args.extend(flags(&[("model", id), ("version", &model.version)]));
        for adapter in &model.adapters {
            args.extend(flags(&[("adapter", adapter)]));
        }
    }
    if target.checks_fence {
        args.push("--checks-fence".to_owned());
    }
    args.extend(plan.engines.iter().cloned());
    args
}

fn service_args(plan: &Plan, target: &Target) -> Vec<String> {
    let mut args = flags(&[("bind", &target.addr.to_string())]);
    for source in plan.sources(target) {
        args.extend(flags(&[("source", source)]));
    }
    args.extend(plan.services.iter().cloned());
    args
}

fn flags(pairs: &[(&str, &str)]) -> Vec<String> {
    pairs.iter().flat_map(|(name, value)| [format!("--{name}"), (*value).to_owned()]).collect()
}

/// All configuration objects of a fleet with their keys.
pub fn objects(fleet: &Fleet) -> Vec<(ObjectKey, Object)> {
    fleet.objects()
}
