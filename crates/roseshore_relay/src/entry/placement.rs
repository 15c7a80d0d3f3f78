//! Orders the engines of this host's data centre to hold the layers that the plan assigns to them.
//!
//! The first live host of a data centre gives the orders. The other hosts compute the same repairs
//! from the same list, and each waits a different time before it acts, in case the first one
//! cannot. Steps that only improve a placement are taken by the first host alone. If two hosts act
//! at once, the target accepts only one order: each order states how many orders the target must
//! have accepted before.

mod holdings;

use super::calls::{CallFault, Purpose};
use super::{EntryHost, log_event};
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
use roseshore_ports::entry::{CallReply, Report};
use std::collections::{BTreeSet, HashMap};

/// Interval between comparisons of the plan with the list of targets.
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);
/// The set of engines must not have grown for this time before the first plan is made: when a
/// system starts, targets enter the list over three seconds, with pauses of less than one second.
const SETTLE_TIME: Duration = Duration::from_millis(1200);
/// Time by which the list shows the result of an accepted order: the longest time in which an
/// engine loads all layers that it can hold, and two heartbeats.
const ORDER_TIME: Duration = Duration::from_secs(9);
/// Delay before another attempt at a target that is busy, refused an order or did not reply.
const RETRY_DELAY: Duration = Duration::from_millis(1800);
/// Allowance for the age of a target's report, which is some hundred milliseconds old.
const REPORT_AGE: Duration = Duration::from_millis(250);
/// Interval between questions whether a load is done.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of questions whether a load is done.
const MAX_LOAD_POLLS: u32 = 8;
/// Time for which learned layers are reported to other hosts, until the list shows them.
const REPORT_TIME: Duration = Duration::from_secs(4);
/// Maximum number of reports that are requested at once. A data centre of 1,000 empty engines is
/// asked within some seconds, without stalling the event loop of the host.
const MAX_PENDING_REPORTS: usize = 100;
/// Time-out of a report or an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The state of planning and of orders that are in progress.
#[derive(Debug, Default)]
pub(super) struct PlacementState {
    last_compared: Option<Instant>,
    /// All engines seen so far.
    known_engines: BTreeSet<TargetId>,
    /// When an engine was last seen for the first time.
    engines_changed: Option<Instant>,
    /// Since when the list has differed from the plan.
    differs_since: Option<Instant>,
    /// Layers that were ordered by this host or another, or that a target was seen to load.
    expected: HashMap<TargetId, ExpectedLayers>,
    /// Targets that were asked for a report before an order.
    pending_reports: HashMap<TargetId, PendingReport>,
    /// Orders in progress.
    active_orders: HashMap<TargetId, ActiveOrder>,
    /// Layers that targets were found to hold, and when.
    learned: Vec<(HoldingReport, Instant)>,
    /// For each service, the first range of layers that no engine of the data centre holds.
    missing: HashMap<ServiceId, Option<LayerRange>>,
    /// Utilisation of the engines of each service.
    pressure: HashMap<ServiceId, Pressure>,
    /// The last plan of each service.
    plans: HashMap<ServiceId, CachedPlan>,
}

/// The layers that a target is expected to hold.
#[derive(Clone, Copy, Debug)]
struct ExpectedLayers {
    layers: LayerRange,
    /// The part of them that can be relied on soon.
    assured: Option<LayerRange>,
    /// End of the expectation; the list shows the layers by then.
    until: Instant,
}

/// A plan and its inputs.
#[derive(Debug)]
struct CachedPlan {
    engines: Vec<EngineState>,
    /// Whether it may contain a step that only improves the placement.
    improve: bool,
    placements: Vec<Placement>,
}

/// A pending report that precedes an order.
#[derive(Clone, Copy, Debug)]
struct PendingReport {
    /// The layers that the plan assigns to the target.
    layers: LayerRange,
    /// The layers that the plan assumed it to hold.
    assumed: Option<LayerRange>,
}

/// An order in progress.
#[derive(Clone, Copy, Debug)]
struct ActiveOrder {
    layers: LayerRange,
    /// When to ask next whether the layers are loaded.
    next_poll: Instant,
    /// Number of questions so far.
    polls: u32,
}

impl EntryHost {
    /// Compares the plan with the list, and asks targets that differ for a report.
    pub(super) fn update_placement(&mut self) {
        let now = self.now;
        let due = |at: Instant| now.saturating_duration_since(at) >= COMPARE_INTERVAL;
        if !self.placement.last_compared.is_none_or(due) || self.stopping_since.is_some() {
            return;
        }
        self.placement.last_compared = Some(now);
        self.placement.expected.retain(|_, pending| now < pending.until);
        self.placement.learned.retain(|(_, at)| now.saturating_duration_since(*at) < REPORT_TIME);
        self.poll_orders();
        let Some(snapshot) = self.snapshot.clone() else { return };
        let services: Vec<_> = snapshot.engine_services().cloned().collect();
        let mut differs = false;
        for service in services {
            let Some(spec) = &service.engine else { continue };
            self.log_missing_layers(&service.name, spec);
            if !may_plan(self.peers.rank_in_centre(now)) {
                continue;
            }
            let engines = self.engine_states(&service.name);
            let ids: BTreeSet<TargetId> = engines.iter().map(|m| m.id.clone()).collect();
            if !ids.is_subset(&self.placement.known_engines) {
                self.placement.engines_changed = Some(now);
            }
            self.placement.known_engines.extend(ids);
            let initial = engines.iter().all(|m| m.layers.is_none());
            let settled = self
                .placement
                .engines_changed
                .is_some_and(|at| now.saturating_duration_since(at) >= SETTLE_TIME);
            if initial && !settled {
                continue;
            }
            for (id, layers) in self.current_plan(&service.name, spec, engines) {
                differs = true;
                self.request_report(&id, layers);
            }
        }
        if !differs {
            self.placement.differs_since = None;
        }
    }

    /// Logs when the engines of this data centre stop, or start again, to hold all layers.
    fn log_missing_layers(&mut self, service: &str, spec: &EngineSpec) {
        let held = self.live_engines(service).filter_map(|t| Some(t.holding()?.layers));
        let gap = first_gap(spec, held);
        if self.placement.missing.get(service) == Some(&gap) {
            return;
        }
        let engines = self.live_engines(service).count();
        if let Some((from, to)) = gap {
            log_event!(
                self,
                LayersMissing,
                "service={service} engines={engines} layers={from}-{to}"
            );
        } else {
            log_event!(self, LayersWhole, "service={service} engines={engines}");
        }
        self.placement.missing.insert(service.to_owned(), gap);
    }

    /// The engines of this data centre that accept work.
    pub(super) fn live_engines<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let local = &self.settings.data_centre;
        let live = |t: &&Target| t.is_available() && !t.is_down() && t.record.data_centre == *local;
        self.targets.of_service(service).filter(live)
    }

    /// The plan; computed again only if its inputs have changed.
    fn current_plan(
        &mut self,
        service: &str,
        spec: &EngineSpec,
        engines: Vec<EngineState>,
    ) -> Vec<Placement> {
        let utilisation = self.targets.fullest(service, spec, &self.settings.data_centre);
        let pressure = self.placement.pressure.entry(service.to_owned()).or_default();
        pressure.record(utilisation);
        let unsettled = engines.iter().filter(|m| m.layers != m.ready).count();
        let improve = pressure.allows_step(unsettled)
            && may_order(OrderReason::Improve, self.peers.rank_in_centre(self.now), Duration::ZERO);
        let known = self.placement.plans.get(service);
        if let Some(last) = known.filter(|p| p.engines == engines && p.improve == improve) {
            return last.placements.clone();
        }
        let mut placements = plan(spec, &engines);
        if placements.is_empty() && improve {
            placements.extend(next_improvement(spec, &engines));
        }
        let planned = CachedPlan { engines, improve, placements: placements.clone() };
        self.placement.plans.insert(service.to_owned(), planned);
        placements
    }

    /// The engines of this data centre, with the layers that they hold or are loading.
    fn engine_states(&self, service: &str) -> Vec<EngineState> {
        let state = |t: &Target| {
            let held = t.holding().map(|h| h.layers);
            let pending = self.placement.expected.get(&t.record.id);
            Some(EngineState {
                id: t.record.id.clone(),
                kind: t.record.kind.clone()?,
                layers: pending.map(|p| p.layers).or(held),
                assured: pending.map_or(held, |p| p.assured),
                ready: pending.map_or(held, |p| held.and_then(|h| intersect(h, p.layers))),
            })
        };
        self.live_engines(service).filter_map(state).collect()
    }

    /// Asks a target for a report before it is ordered to hold these layers, if this host may give
    /// orders now.
    fn request_report(&mut self, id: &str, layers: LayerRange) {
        let now = self.now;
        let since = *self.placement.differs_since.get_or_insert(now);
        let waited = now.saturating_duration_since(since);
        let may_act = may_order(OrderReason::Repair, self.peers.rank_in_centre(now), waited);
        let asked = &self.placement.pending_reports;
        if !may_act || asked.contains_key(id) || asked.len() >= MAX_PENDING_REPORTS {
            return;
        }
        let Some(addr) = self.call_address(id) else { return };
        let Some(target) = self.targets.get(id) else { return };
        let assumed = target.holding().map(|h| h.layers);
        log_event!(self, PlacementWanted, "target={id} layers={}-{}", layers.0, layers.1);
        self.placement.pending_reports.insert(id.to_owned(), PendingReport { layers, assumed });
        let request = self.platform.report();
        self.call(Purpose::Report(id.to_owned()), addr, &request, CALL_TIMEOUT);
    }

    /// The time that a target needs to load those of these layers that it does not hold yet.
    fn load_time(&self, id: &str, layers: LayerRange) -> Duration {
        let target = self.targets.get(id);
        let service = target.and_then(|t| self.snapshot.as_ref()?.service(&t.record.service));
        let Some(spec) = service.and_then(|s| s.engine.as_ref()) else { return ORDER_TIME };
        let held = target.and_then(Target::holding).map(|h| h.layers);
        let kept = held.and_then(|h| intersect(h, layers)).map_or(0, |(from, to)| to - from);
        let missing_share = f64::from(layers.1 - layers.0 - kept) / f64::from(spec.layers);
        spec.load_time.mul_f64(missing_share) + REPORT_AGE
    }

    /// Asks targets whose load should be done. The list would show it one or two seconds later.
    fn poll_orders(&mut self) {
        let now = self.now;
        let due: Vec<TargetId> = self
            .placement
            .active_orders
            .iter()
            .filter(|(_, order)| order.next_poll <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(order) = self.placement.active_orders.get_mut(&id) else { continue };
            order.next_poll = now + LOAD_POLL_INTERVAL;
            order.polls += 1;
            let timed_out = order.polls > MAX_LOAD_POLLS;
            if timed_out || self.targets.get(&id).is_none() {
                self.placement.active_orders.remove(&id);
                continue;
            }
            let Some(addr) = self.call_address(&id) else { continue };
            let request = self.platform.report();
            self.call(Purpose::Report(id), addr, &request, CALL_TIMEOUT);
        }
    }

    /// Completes an order if the target now holds its layers.
    fn check_order(&mut self, id: &str, layers: LayerRange, busy: bool, held: Option<LayerRange>) {
        if busy || held != Some(layers) {
            return;
        }
        self.placement.active_orders.remove(id);
        self.record_held(id, layers);
        log_event!(self, TargetListed, "target={id} layers={}-{} by=report", layers.0, layers.1);
    }

    /// Expects a target to hold these layers, for a time. The layers that it held when this was
    /// first expected determine which part can be relied on.
    fn expect_layers(&mut self, id: &str, layers: LayerRange, time: Duration) {
        let until = self.now + time;
        let known = self.placement.expected.get(id).filter(|p| p.layers == layers);
        let held = self.targets.get(id).and_then(Target::holding).map(|h| h.layers);
        let assured = known.map_or_else(|| assured_layers(held, layers), |p| p.assured);
        self.placement.expected.insert(id.to_owned(), ExpectedLayers { layers, assured, until });
    }

    /// Handles a target's report: sends the order that it precedes, or checks an order in progress.
    pub(super) fn report_received(&mut self, id: &str, reply: Result<CallReply, CallFault>) {
        let now = self.now;
        let ordered = self.placement.active_orders.get(id).map(|order| order.layers);
        let asked = self.placement.pending_reports.remove(id);
        let Some(layers) = asked.map(|a| a.layers).or(ordered) else { return };
        let report = match self.read_report(id, reply).and_then(|r| self.check_layers(id, r)) {
            Ok(report) => report,
            Err(why) => {
                log_event!(self, ReportFailed, "target={id} why={why:?}");
                if asked.is_some() {
                    self.expect_layers(id, layers, RETRY_DELAY);
                }
                return;
            }
        };
        let held = report.holding.map(|h| h.layers);
        let Some(PendingReport { assumed, .. }) = asked else {
            return self.check_order(id, layers, report.busy, held);
        };
        match check_report(report.busy, held, layers, assumed) {
            ReportAction::Send => {}
            ReportAction::Skip => return self.expect_layers(id, layers, RETRY_DELAY),
            ReportAction::Replan(held) => return self.record_held(id, held),
        }
        let Some(addr) = self.call_address(id) else { return };
        let request = self.platform.assign_layers(layers, report.orders_taken);
        log_event!(
            self,
            OrderSent,
            "target={id} layers={}-{} expected={} held={held:?}",
            layers.0,
            layers.1,
            report.orders_taken
        );
        let target = self.targets.hash(id);
        self.placement.learned.retain(|(report, _)| Some(report.target) != target);
        self.expect_layers(id, layers, ORDER_TIME);
        let next_poll = now + self.load_time(id, layers);
        self.placement
            .active_orders
            .insert(id.to_owned(), ActiveOrder { layers, next_poll, polls: 0 });
        self.heartbeat_now(false);
        self.call(Purpose::Place(id.to_owned(), layers), addr, &request, CALL_TIMEOUT);
    }

    /// Rejects a report of layers that the model does not have.
    fn check_layers(&self, id: &str, report: Report) -> Result<Report, String> {
        match report.holding.map(|h| h.layers) {
            Some((from, to)) if !self.targets.model_contains(id, (from, to)) => {
                Err(format!("layers {from}-{to} are outside the model"))
            }
            _ => Ok(report),
        }
    }

    /// Handles the reply to an order.
    pub(super) fn order_reply(
        &mut self,
        id: &str,
        layers: LayerRange,
        reply: Result<CallReply, CallFault>,
    ) {
        let accepted = matches!(&reply, Ok(r) if r.status == 202 || r.status == 200);
        if accepted {
            return;
        }
        self.placement.active_orders.remove(id);
        let why = match reply {
            Ok(reply) => format!("status {}", reply.status),
            Err(fault) => format!("{fault:?}"),
        };
        log_event!(self, OrderUnknown, "target={id} layers={}-{} why={why:?}", layers.0, layers.1);
        self.expect_layers(id, layers, RETRY_DELAY);
    }
}
