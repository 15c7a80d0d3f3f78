//! A platform, targets and daemons for a declared fleet.

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

/// How fast one kind of accelerator is, as its engine's stand-in takes it.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// The kind's name in declarations.
    pub name: &'static str,
    /// Time of one step of one token, microseconds.
    pub step_us: u64,
    /// Steps that run at once.
    pub slots: u32,
    /// Prefill rate, tokens a second.
    pub prefill: u64,
}

/// The metric that counts the targets that answer, up to its value.
const ANSWERING: &str = "roseshore_targets_answering";

/// The kinds of accelerators; the fastest is six times as fast as the slowest.
pub const SPEEDS: &[Speed] = &[
    Speed { name: "h100", step_us: 1_000, slots: 16, prefill: 60_000 },
    Speed { name: "mi300", step_us: 1_500, slots: 12, prefill: 40_000 },
    Speed { name: "a100", step_us: 2_000, slots: 12, prefill: 30_000 },
    Speed { name: "l40s", step_us: 3_000, slots: 8, prefill: 20_000 },
    Speed { name: "l4", step_us: 4_000, slots: 8, prefill: 15_000 },
    Speed { name: "t4", step_us: 6_000, slots: 6, prefill: 10_000 },
];

/// The speed of a declared kind; the middle one when it is not known.
pub fn speed(accelerator: Option<&str>) -> Speed {
    let known = SPEEDS.iter().find(|s| Some(s.name) == accelerator);
    *known.unwrap_or(&SPEEDS[2])
}

/// What to start.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The declared fleet; a target's port 0 is replaced by the one it listens on.
    pub fleet: Fleet,
    /// Daemons in each data centre.
    pub daemons: usize,
    /// Further flags of the platform.
    pub platform: Vec<String>,
    /// Further flags of every engine.
    pub engines: Vec<String>,
    /// Further flags of every service replica.
    pub services: Vec<String>,
    /// Further flags of every daemon.
    pub flags: Vec<String>,
    /// Data centres whose daemons reach the platform through a relay that can be cut.
    pub relayed: Vec<DataCentreId>,
}

impl Plan {
    /// The first target declared at a fixed address; one process serves all that share it.
    fn first_at(&self, addr: SocketAddr) -> Option<&TargetId> {
        let mut targets = self.fleet.targets.iter();
        let same = targets.find(|(_, t)| addr.port() != 0 && t.addr == addr);
        same.map(|(id, _)| id)
    }

    /// The sources of all targets at a fixed address, or of one target with any address.
    fn sources<'a>(&'a self, target: &'a Target) -> Vec<&'a str> {
        let shared = |t: &&Target| target.addr.port() != 0 && t.addr == target.addr;
        let all: Vec<&Target> = self.fleet.targets.values().filter(shared).collect();
        let all = if all.is_empty() { vec![target] } else { all };
        let serves = all.into_iter().filter_map(|t| t.serves.as_ref());
        serves.filter_map(|s| s.split_once('/')).map(|(_, source)| source).collect()
    }
}

/// A started daemon.
pub struct Daemon {
    /// Its host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it hears callers.
    pub addr: SocketAddr,
    /// Where it hears peers.
    pub peer: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A started system.
pub struct World {
    /// What was started.
    pub plan: Plan,
    /// The platform.
    pub platform: Process,
    /// Where the platform listens.
    pub log: SocketAddr,
    /// The ways to the platform that can be cut.
    pub relays: BTreeMap<DataCentreId, Relay>,
    /// The targets.
    pub targets: BTreeMap<TargetId, Process>,
    /// The daemons, by data centre and number.
    pub daemons: Vec<Daemon>,
    /// Speaks to all of them.
    pub caller: Caller,
    /// The last life that a restarted engine was given.
    lives: u64,
}

impl World {
    /// Starts everything but declares nothing yet; returns when every daemon answers.
    ///
    /// # Errors
    /// When a program is not built or does not come to serve.
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
        let mut world =
            World { plan, platform, log, relays, targets, daemons: Vec::new(), caller, lives: 1 };
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

    /// Starts the system and declares its fleet; returns when every daemon has heard of every target.
    ///
    /// # Errors
    /// As [`World::start`], or when the fleet is not in force everywhere.
    pub fn serving(plan: Plan) -> Result<World, ProcessError> {
        let world = World::start(plan)?;
        world.declare()?;
        world.ready()?;
        if wait_until(|| world.daemons.iter().all(|d| world.hears_all(d))) {
            return Ok(world);
        }
        Err(ProcessError::NotReady("every target at every daemon".to_owned()))
    }

    /// Whether a daemon knows that every target answers. One that has heard of a single chain is ready, and has no
    /// other one yet when that is lost.
    pub fn hears_all(&self, daemon: &Daemon) -> bool {
        self.caller.metric(daemon.addr, ANSWERING) == Some(self.plan.fleet.targets.len())
    }

    /// Starts a daemon, not yet on the host list.
    ///
    /// # Errors
    /// When it is not built.
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

    /// Starts a target that has ended again, at its old address and with a new life.
    ///
    /// # Errors
    /// When it is not declared, not built or does not come to serve.
    pub fn restart(&mut self, target: &str) -> Result<(), ProcessError> {
        let declared = self.plan.fleet.targets.get(target);
        let declared = declared.ok_or_else(|| ProcessError::NotReady(target.to_owned()))?;
        self.lives += 1;
        let mut plan = self.plan.clone();
        plan.engines.extend(flags(&[("incarnation", &self.lives.to_string())]));
        let (process, _) = start_target(&plan, target, declared, self.log)?;
        self.targets.insert(target.to_owned(), process);
        Ok(())
    }

    /// Puts every daemon and target on the host list.
    ///
    /// # Errors
    /// When the platform does not answer.
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
    /// When it is not accepted.
    pub fn declare(&self) -> Result<(), ProcessError> {
        let outcome = self.command("world", &objects(&self.plan.fleet))?;
        match outcome {
            Outcome::Accepted { .. } => Ok(()),
            other => Err(ProcessError::Call(format!("the fleet was not accepted: {other:?}"))),
        }
    }

    /// Sends one command, whose objects are new, through the first daemon.
    ///
    /// # Errors
    /// When the daemon does not answer.
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

    /// Waits until every daemon is ready, and every model has an answer at each of them.
    ///
    /// # Errors
    /// When one is not ready within the start limit.
    pub fn ready(&self) -> Result<(), ProcessError> {
        for daemon in &self.daemons {
            let ready = || self.caller.status(daemon.addr, "/readyz") == Some(200);
            if !wait_until(ready) {
                return Err(ProcessError::NotReady(format!("daemon `{}`", daemon.host)));
            }
            self.answers(daemon.addr)?;
        }
        Ok(())
    }

    /// Waits until a daemon has heard of enough targets to answer for every model.
    fn answers(&self, daemon: SocketAddr) -> Result<(), ProcessError> {
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

    /// Switches faults of a target or of the platform.
    ///
    /// # Errors
    /// When it does not answer.
    pub fn fault(&self, addr: SocketAddr, faults: &Value) -> Result<(), ProcessError> {
        self.caller.post(addr, "/_fault", faults).map(drop)
    }

    /// How often the calls with a key ran, over all replicas of plain services.
    ///
    /// # Errors
    /// When a replica does not answer.
    pub fn ran(&self, key: &str) -> Result<u64, ProcessError> {
        let mut count = 0;
        let services = self.plan.fleet.targets.values().filter(|t| t.kind == TargetKind::Service);
        for target in services {
            let ran = self.caller.get(target.addr, "/_ran")?;
            let keys = ran["keys"].as_object().cloned().unwrap_or_default();
            // Daemons join a key with its organisation and service.
            let counts = keys.iter().filter(|(k, _)| k.contains(key)).map(|(_, n)| n.as_u64());
            count += counts.flatten().sum::<u64>();
        }
        Ok(count)
    }

    /// Where a target listens.
    pub fn addr(&self, target: &str) -> Option<SocketAddr> {
        self.plan.fleet.targets.get(target).map(|t| t.addr)
    }

    /// How many processes are running.
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

/// Every object of a fleet with its key.
pub fn objects(fleet: &Fleet) -> Vec<(ObjectKey, Object)> {
    fleet.objects()
}
