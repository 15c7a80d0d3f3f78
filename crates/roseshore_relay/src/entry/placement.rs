//! Gives the engines of the own data centre the layers that the plan wants.
//!
//! The first living host of a data centre gives the orders. The others work out the same repairs from
//! the same list, and each waits a time of its own before it acts, in case the first one cannot; steps
//! that only make a placement better are the first one's alone. Should two act at once, the target
//! takes one order only: each order names how many it must have taken before.

mod holdings;

use super::calls::{CallFault, Purpose};
use super::{EntryHost, note};
use roseshore_core::gateway::EngineSpec;
use roseshore_core::gateway::peers::HoldingReport;
use roseshore_core::gateway::plan::orders::{
    OrderReason, ReportAction, check_report, may_order, may_plan,
};
use roseshore_core::gateway::plan::pressure::Pressure;
use roseshore_core::gateway::plan::{
    EngineState, LayerRange, Placement, assured_layers, first_gap, intersect, next_improvement,
    plan,
};
use roseshore_core::gateway::targets::Target;
use roseshore_core::prelude::*;
use roseshore_ports::entry::CallReply;
use std::collections::{BTreeSet, HashMap};

/// How often the plan is compared with the list.
const COMPARE: Duration = Duration::from_millis(200);
/// The list must have stood still for so long before a first plan is made: at a start, targets
/// were seen to enter it over three seconds, with pauses below one.
const SETTLE: Duration = Duration::from_millis(1200);
/// A target that has begun an order is listed with it by then: the longest load of all layers
/// that a kind can hold, and two heartbeats.
const BEGUN: Duration = Duration::from_secs(9);
/// When to look again at a target that is busy, refused or did not answer.
const AGAIN: Duration = Duration::from_millis(1800);
/// What a target reports of itself is some hundred milliseconds old.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// Between questions whether a load is done, and how many there are at most.
const ASK_AGAIN: Duration = Duration::from_millis(400);
const ASKS: u32 = 8;
/// Other hosts are told for so long; the list says it by then.
const LEARNED: Duration = Duration::from_secs(4);
/// Reports that are waited for at once: a data centre of 1,000 empty engines is asked in some seconds, and
/// the host's loop goes on meanwhile.
const MOST_ASKED: usize = 100;
/// For a report or an order.
const CALL_TIME: Duration = Duration::from_millis(700);

/// What this host has done and is waiting for.
#[derive(Debug, Default)]
pub(super) struct Placing {
    compared: Option<Instant>,
    members: BTreeSet<TargetId>,
    changed: Option<Instant>,
    wanted: Option<Instant>,
    /// What was ordered or seen to be ordered.
    pending: HashMap<TargetId, Pending>,
    /// Targets asked for a report, and why.
    asked: HashMap<TargetId, Asked>,
    /// Orders that were begun: what is to be held, and when to ask whether it is.
    begun: HashMap<TargetId, Begun>,
    /// What was learned that way, and when.
    learned: Vec<(HoldingReport, Instant)>,
    /// The first layers that no engine of the data centre holds, for each service.
    missing: HashMap<ServiceId, Option<LayerRange>>,
    /// How full the engines of each service are.
    pressure: HashMap<ServiceId, Pressure>,
    /// The last plan of each service.
    planned: HashMap<ServiceId, Planned>,
}

/// What a target was ordered to hold, by this host or another.
#[derive(Clone, Copy, Debug)]
struct Pending {
    layers: LayerRange,
    /// Those that can be counted on soon.
    firm: Option<LayerRange>,
    /// Believed until then; the list says it by that time.
    until: Instant,
}

/// A plan and what it was made from.
#[derive(Debug)]
struct Planned {
    members: Vec<EngineState>,
    /// Whether it may hold a step.
    step: bool,
    placements: Vec<Placement>,
}

/// A report that is waited for before an order.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// The range meant for the target.
    layers: LayerRange,
    /// What it was taken to hold when that was planned.
    assumed: Option<LayerRange>,
}

/// An order that was begun.
#[derive(Clone, Copy, Debug)]
struct Begun {
    layers: LayerRange,
    ask: Instant,
    asked: u32,
}

impl EntryHost {
    /// Compares plan and list, and asks targets that differ for a report.
    pub(super) fn place(&mut self) {
        let now = self.now;
        let due = |at: Instant| now.saturating_duration_since(at) >= COMPARE;
        if !self.placing.compared.is_none_or(due) || self.stopping.is_some() {
            return;
        }
        self.placing.compared = Some(now);
        self.placing.pending.retain(|_, pending| now < pending.until);
        self.placing.learned.retain(|(_, at)| now.saturating_duration_since(*at) < LEARNED);
        self.ask_begun();
        let Some(snapshot) = self.snapshot.clone() else { return };
        let services: Vec<_> = snapshot.engine_services().cloned().collect();
        let mut differs = false;
        for service in services {
            let Some(spec) = &service.engine else { continue };
            self.judge_layers(&service.name, spec);
            if !may_plan(self.peers.rank_in_centre(now)) {
                continue;
            }
            let members = self.members(&service.name);
            let ids: BTreeSet<TargetId> = members.iter().map(|m| m.id.clone()).collect();
            if !ids.is_subset(&self.placing.members) {
                self.placing.changed = Some(now);
            }
            self.placing.members.extend(ids);
            let first = members.iter().all(|m| m.layers.is_none());
            let settled =
                self.placing.changed.is_some_and(|at| now.saturating_duration_since(at) >= SETTLE);
            if first && !settled {
                continue;
            }
            for (id, layers) in self.planned(&service.name, spec, members) {
                differs = true;
                self.want(&id, layers);
            }
        }
        if !differs {
            self.placing.wanted = None;
        }
    }

    /// Tells when the engines of the own data centre stop holding, or hold again, all layers.
    fn judge_layers(&mut self, service: &str, spec: &EngineSpec) {
        let held = self.live(service).filter_map(|t| Some(t.holding()?.layers));
        let gap = first_gap(spec, held);
        if self.placing.missing.get(service) == Some(&gap) {
            return;
        }
        let engines = self.live(service).count();
        if let Some((from, to)) = gap {
            note!(self, LayersMissing, "service={service} engines={engines} layers={from}-{to}");
        } else {
            note!(self, LayersWhole, "service={service} engines={engines}");
        }
        self.placing.missing.insert(service.to_owned(), gap);
    }

    /// The engines of the own data centre that take work.
    pub(super) fn live<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let near = &self.settings.data_centre;
        let live = |t: &&Target| t.is_available() && !t.is_down() && t.record.data_centre == *near;
        self.targets.of_service(service).filter(live)
    }

    /// The plan, worked out anew only when the engines differ from last time.
    fn planned(
        &mut self,
        service: &str,
        spec: &EngineSpec,
        members: Vec<EngineState>,
    ) -> Vec<Placement> {
        let full = self.targets.fullest(service, spec, &self.settings.data_centre);
        let pressure = self.placing.pressure.entry(service.to_owned()).or_default();
        pressure.record(full);
        let unsettled = members.iter().filter(|m| m.layers != m.ready).count();
        let step = pressure.allows_step(unsettled)
            && may_order(OrderReason::Improve, self.peers.rank_in_centre(self.now), Duration::ZERO);
        let known = self.placing.planned.get(service);
        if let Some(last) = known.filter(|p| p.members == members && p.step == step) {
            return last.placements.clone();
        }
        let mut placements = plan(spec, &members);
        if placements.is_empty() && step {
            placements.extend(next_improvement(spec, &members));
        }
        let planned = Planned { members, step, placements: placements.clone() };
        self.placing.planned.insert(service.to_owned(), planned);
        placements
    }

    /// The engines of the own data centre, with what they hold or have begun to load.
    fn members(&self, service: &str) -> Vec<EngineState> {
        let member = |t: &Target| {
            let held = t.holding().map(|h| h.layers);
            let pending = self.placing.pending.get(&t.record.id);
            Some(EngineState {
                id: t.record.id.clone(),
                kind: t.record.kind.clone()?,
                layers: pending.map(|p| p.layers).or(held),
                assured: pending.map_or(held, |p| p.firm),
                ready: pending.map_or(held, |p| held.and_then(|h| intersect(h, p.layers))),
            })
        };
        self.live(service).filter_map(member).collect()
    }

    fn want(&mut self, id: &str, layers: LayerRange) {
        let now = self.now;
        let since = *self.placing.wanted.get_or_insert(now);
        let waited = now.saturating_duration_since(since);
        let due = may_order(OrderReason::Repair, self.peers.rank_in_centre(now), waited);
        let asked = &self.placing.asked;
        if !due || asked.contains_key(id) || asked.len() >= MOST_ASKED {
            return;
        }
        let Some(addr) = self.callable(id) else { return };
        let Some(target) = self.targets.get(id) else { return };
        let assumed = target.holding().map(|h| h.layers);
        note!(self, PlacementWanted, "target={id} layers={}-{}", layers.0, layers.1);
        self.placing.asked.insert(id.to_owned(), Asked { layers, assumed });
        let request = self.platform.report();
        self.call(Purpose::Report(id.to_owned()), addr, &request, CALL_TIME);
    }

    /// How long a target needs to load what it does not hold yet.
    fn load_time(&self, id: &str, layers: LayerRange) -> Duration {
        let target = self.targets.get(id);
        let service = target.and_then(|t| self.snapshot.as_ref()?.service(&t.record.service));
        let Some(spec) = service.and_then(|s| s.engine.as_ref()) else { return BEGUN };
        let held = target.and_then(Target::holding).map(|h| h.layers);
        let kept = held.and_then(|h| intersect(h, layers)).map_or(0, |(from, to)| to - from);
        let fresh = f64::from(layers.1 - layers.0 - kept) / f64::from(spec.layers);
        spec.load_time.mul_f64(fresh) + REPORT_LAG
    }

    /// Asks targets whose load should be done: the list says so a second or two later.
    fn ask_begun(&mut self) {
        let now = self.now;
        let due: Vec<TargetId> = self
            .placing
            .begun
            .iter()
            .filter(|(_, begun)| begun.ask <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(begun) = self.placing.begun.get_mut(&id) else { continue };
            begun.ask = now + ASK_AGAIN;
            begun.asked += 1;
            let over = begun.asked > ASKS;
            if over || self.targets.get(&id).is_none() {
                self.placing.begun.remove(&id);
                continue;
            }
            let Some(addr) = self.callable(&id) else { continue };
            let request = self.platform.report();
            self.call(Purpose::Report(id), addr, &request, CALL_TIME);
        }
    }

    fn check_begun(&mut self, id: &str, layers: LayerRange, busy: bool, held: Option<LayerRange>) {
        if busy || held != Some(layers) {
            return;
        }
        self.placing.begun.remove(id);
        self.learn_held(id, layers);
        note!(self, TargetListed, "target={id} layers={}-{} by=report", layers.0, layers.1);
    }

    /// Holds a target for one that is to hold these layers, for a time. What it held when that was
    /// first believed decides how much of it can be counted on.
    fn believe(&mut self, id: &str, layers: LayerRange, time: Duration) {
        let until = self.now + time;
        let known = self.placing.pending.get(id).filter(|p| p.layers == layers);
        let held = self.targets.get(id).and_then(Target::holding).map(|h| h.layers);
        let firm = known.map_or_else(|| assured_layers(held, layers), |p| p.firm);
        self.placing.pending.insert(id.to_owned(), Pending { layers, firm, until });
    }

    pub(super) fn report_came(&mut self, id: &str, reply: Result<CallReply, CallFault>) {
        let now = self.now;
        let begun = self.placing.begun.get(id).map(|b| b.layers);
        let asked = self.placing.asked.remove(id);
        let Some(layers) = asked.map(|a| a.layers).or(begun) else { return };
        let report = match self.read_report(reply) {
            Ok(report) => report,
            Err(why) => {
                note!(self, ReportFailed, "target={id} why={why:?}");
                if asked.is_some() {
                    self.believe(id, layers, AGAIN);
                }
                return;
            }
        };
        let held = report.holding.map(|h| h.layers);
        let Some(Asked { assumed, .. }) = asked else {
            return self.check_begun(id, layers, report.busy, held);
        };
        match check_report(report.busy, held, layers, assumed) {
            ReportAction::Send => {}
            ReportAction::Skip => return self.believe(id, layers, AGAIN),
            ReportAction::Replan(held) => return self.learn_held(id, held),
        }
        let Some(addr) = self.callable(id) else { return };
        let request = self.platform.place(layers, report.orders);
        note!(
            self,
            OrderSent,
            "target={id} layers={}-{} expected={} held={held:?}",
            layers.0,
            layers.1,
            report.orders
        );
        let target = self.targets.hash(id);
        self.placing.learned.retain(|(note, _)| Some(note.target) != target);
        self.believe(id, layers, BEGUN);
        let ask = now + self.load_time(id, layers);
        self.placing.begun.insert(id.to_owned(), Begun { layers, ask, asked: 0 });
        self.beat_now(false);
        self.call(Purpose::Place(id.to_owned(), layers), addr, &request, CALL_TIME);
    }

    pub(super) fn place_came(
        &mut self,
        id: &str,
        layers: LayerRange,
        reply: Result<CallReply, CallFault>,
    ) {
        let begun = matches!(&reply, Ok(r) if r.status == 202 || r.status == 200);
        if begun {
            return;
        }
        self.placing.begun.remove(id);
        let why = match reply {
            Ok(reply) => format!("status {}", reply.status),
            Err(fault) => format!("{fault:?}"),
        };
        note!(self, OrderUnknown, "target={id} layers={}-{} why={why:?}", layers.0, layers.1);
        self.believe(id, layers, AGAIN);
    }
}
