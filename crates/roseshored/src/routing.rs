//! Target selection for this daemon.
//!
//! One lock guards the core's router, since a decision takes microseconds. The driver applies each new
//! configuration and, before it returns a choice, checks with the membership that no chosen host is
//! leaving.

use crate::admission::CapacitySource;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use roseshore_core::admit::Capacity;
use roseshore_core::load::{EngineState, PollResult, ServiceState, TargetIndex};
use roseshore_core::order::rollout::Rollout;
use roseshore_core::prelude::*;
use roseshore_core::route::prefix::CacheChange;
use roseshore_core::route::{self, ChainChoice, ChainRequest, SampleSizes, StageChoice};
use roseshore_ports::inside::{
    CacheEventSink, Chain, ChainNeeds, ConfigSource, Members, Permit, Replica, Report,
    ReportContent, ReportStore, Router,
};
use roseshore_wire::engine::{CacheEvent, Load, Role, Stage};
use roseshore_wire::service::ServiceLoad;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// How often hosts marked as leaving are checked again.
const LEAVING_RECHECK: Duration = Duration::from_millis(500);
/// Prompt and answer length, in tokens, for which the capacity of a model's targets is computed.
const TYPICAL_TOKENS: (u32, u32) = (200, 100);
/// Retry delay given to a caller for which there is no route.
const NO_ROUTE_RETRY: Duration = Duration::from_secs(1);
/// Retry delay while a chain is out of use for less than [`NO_ROUTE_RETRY`].
const PAUSED_ROUTE_RETRY: Duration = Duration::from_millis(100);

/// Chooses targets for this daemon's requests from load reports and cache contents.
pub struct Routing {
    fleets: Arc<dyn ConfigSource>,
    members: Arc<dyn Members>,
    state: Arc<Mutex<State>>,
}

struct State {
    router: route::Router,
    rollout: Rollout,
    fleet: Arc<Fleet>,
    offset: Option<Offset>,
    newest: FxHashMap<TargetId, Report>,
    leaving: Vec<TargetIndex>,
    last_recheck: Instant,
}

impl Routing {
    /// Creates a router over the targets of the current configuration.
    pub fn new(fleets: Arc<dyn ConfigSource>, members: Arc<dyn Members>) -> Routing {
        let own = members.own().data_centre;
        let random = SmallRng::from_rng(&mut rand::rng());
        let state = State {
            router: route::Router::new(&own, SampleSizes::default(), random),
            rollout: Rollout::default(),
            fleet: Arc::default(),
            offset: None,
            newest: FxHashMap::default(),
            leaving: Vec::new(),
            last_recheck: Instant::now(),
        };
        Routing { fleets, members, state: Arc::new(Mutex::new(state)) }
    }

    /// Applies a new configuration and rechecks hosts marked as leaving.
    ///
    /// Other components are called without holding the lock, because they may call into this one at
    /// the same time.
    fn refresh(&self, now: Instant) {
        let current = self.fleets.current();
        let mut state = self.state.lock();
        if let Some(current) = current
            && state.offset.is_none_or(|known| current.offset > known)
        {
            state.apply_fleet(&current.fleet, current.offset);
        }
        if now.saturating_duration_since(state.last_recheck) < LEAVING_RECHECK {
            return;
        }
        state.last_recheck = now;
        let hosts = state.leaving_hosts();
        drop(state);
        for (row, host) in hosts {
            if !self.members.leaving(&host) {
                self.state.lock().clear_leaving(row, &host);
            }
        }
    }

    /// When to ask again for a chain if there is none now.
    fn chain_retry(&self, request: &ChainRequest<'_>) -> Duration {
        let now = Instant::now();
        let paused = self.state.lock().router.is_paused(request, now, now + NO_ROUTE_RETRY);
        if paused { PAUSED_ROUTE_RETRY } else { NO_ROUTE_RETRY }
    }

    /// Repeats `select` until none of the chosen hosts is leaving, and marks those that are.
    fn choose<T>(
        &self,
        mut select: impl FnMut(&mut route::Router, Instant) -> Option<Selection<T>>,
    ) -> Option<(T, Permit)> {
        let now = Instant::now();
        self.refresh(now);
        loop {
            let mut state = self.state.lock();
            let chosen = select(&mut state.router, now)?;
            let ticket = state.router.begin(&chosen.rows, now);
            drop(state);
            let shared = Arc::clone(&self.state);
            let permit = Permit::new(move || shared.lock().router.end(&ticket, Instant::now()));
            let leaving = chosen.rows.iter().zip(&chosen.hosts);
            let leaving: Vec<_> = leaving.filter(|(_, host)| self.members.leaving(host)).collect();
            if leaving.is_empty() {
                return Some((chosen.value, permit));
            }
            let mut state = self.state.lock();
            for (&row, host) in leaving {
                state.mark_leaving(row, host);
            }
            drop(state);
            drop(permit);
        }
    }
}

/// A choice that has not been checked for leaving hosts yet.
struct Selection<T> {
    value: T,
    rows: Vec<TargetIndex>,
    hosts: Vec<HostId>,
}

impl State {
    fn apply_fleet(&mut self, fleet: &Arc<Fleet>, offset: Offset) {
        self.fleet = Arc::clone(fleet);
        self.router.apply_fleet(fleet);
        self.rollout.declare(fleet);
        self.newest.retain(|id, _| fleet.targets.contains_key(id));
        self.export_answering();
        self.leaving.retain(|&row| self.router.loads().row(row).host_leaving);
        self.offset = Some(offset);
    }

    fn export_answering(&self) {
        let count = self.newest.values().filter(|report| answers(report)).count();
        metrics::gauge!("roseshore_targets_answering").set(count as f64);
    }

    fn leaving_hosts(&self) -> Vec<(TargetIndex, HostId)> {
        let host = |&row: &TargetIndex| (row, self.router.loads().row(row).host.clone());
        self.leaving.iter().map(host).collect()
    }

    fn mark_leaving(&mut self, row: TargetIndex, host: &HostId) {
        if self.router.loads().row(row).host == *host && !self.leaving.contains(&row) {
            self.router.set_host_leaving(row, true);
            self.leaving.push(row);
        }
    }

    fn clear_leaving(&mut self, row: TargetIndex, host: &HostId) {
        if self.router.loads().row(row).host == *host {
            self.router.set_host_leaving(row, false);
            self.leaving.retain(|&known| known != row);
        }
    }
}

impl Router for Routing {
    fn chain(&self, need: &ChainNeeds) -> Result<(Chain, Permit), Refusal> {
        let request = chain_request(need);
        let chosen = self.choose(|router, now| {
            let choice = router.choose_chain(&request, now)?;
            Some(chain_selection(router, choice))
        });
        chosen.ok_or_else(|| no_chain(need, self.chain_retry(&request)))
    }

    fn version(&self, model: &ModelId) -> Option<VersionId> {
        let now = Instant::now();
        self.refresh(now);
        let mut state = self.state.lock();
        let State { router, rollout, fleet, .. } = &mut *state;
        let declared = fleet.models.get(model)?;
        let holdings = || router.loaded_ranges(model, now);
        let choice = rollout.choose(model, &declared.version, declared.layers, holdings);
        drop(state);
        if choice.switched {
            crate::event!(Event::VersionServes, "model=`{model}` version=`{}`", choice.version);
        }
        Some(choice.version)
    }

    fn replica(&self, serves: &str, avoid: &[TargetId]) -> Result<(Replica, Permit), Refusal> {
        let chosen = self.choose(|router, now| {
            let row = router.choose_replica(serves, avoid, now)?;
            let target = router.loads().row(row);
            let value = Replica { target: target.id.clone(), addr: target.addr };
            Some(Selection { value, rows: vec![row], hosts: vec![target.host.clone()] })
        });
        chosen.ok_or_else(|| no_replica(serves))
    }

    fn failed(&self, target: &TargetId) {
        self.state.lock().router.record_failure(target, Instant::now());
        metrics::counter!("roseshore_target_failures_total", "target" => target.clone())
            .increment(1);
        crate::event!(
            Event::TargetLost,
            "target=`{target}` is not used for a while after a failed call"
        );
    }

    fn record_step_time(&self, stages: &[Stage], took: Duration) {
        let mut state = self.state.lock();
        let rows = stages.iter().filter_map(|s| state.router.loads().find(&s.target));
        let rows: Vec<TargetIndex> = rows.collect();
        if rows.len() == stages.len() {
            state.router.record_chain_step(&rows, took, Instant::now());
        }
    }

    fn record_latency(&self, target: &TargetId, took: Duration) {
        self.state.lock().router.record_step(target, took, Instant::now());
    }

    fn leaving(&self, target: &TargetId) -> bool {
        let state = self.state.lock();
        let loads = state.router.loads();
        let Some(row) = loads.find(target).map(|index| loads.row(index)) else {
            return false;
        };
        let marked = row.host_leaving || row.draining;
        let host = row.host.clone();
        // The membership is queried without holding the lock.
        drop(state);
        marked || self.members.leaving(&host)
    }
}

impl ReportStore for Routing {
    fn store(&self, report: Report) {
        self.refresh(Instant::now());
        let mut state = self.state.lock();
        let known = state.newest.get(&report.target);
        if known.is_some_and(|known| known.seen >= report.seen) {
            return;
        }
        let changed = known.is_some_and(answers) != answers(&report);
        state.router.report(&report.target, report.seen, content(&report.content));
        if state.router.loads().find(&report.target).is_some() {
            state.newest.insert(report.target.clone(), report);
        }
        if changed {
            state.export_answering();
        }
    }

    fn newest(&self) -> Vec<Report> {
        self.state.lock().newest.values().cloned().collect()
    }
}

impl CacheEventSink for Routing {
    fn apply_events(&self, target: &TargetId, events: &[CacheEvent]) {
        let changes: Vec<CacheChange> = events.iter().map(cache_change).collect();
        self.state.lock().router.apply_cache_changes(target, &changes);
    }
}

impl CapacitySource for Routing {
    fn capacity(&self, service: &ServiceId) -> Option<Capacity> {
        let current = self.fleets.current()?;
        let declared = current.fleet.services.get(service)?;
        let now = Instant::now();
        let Some(id) = &declared.model else {
            let mut state = self.state.lock();
            let mut capacity = |serves: &str| state.router.replica_capacity(serves, now);
            if declared.sources.is_empty() {
                return capacity(service);
            }
            let sources = declared.sources.iter();
            let capacities = sources.filter_map(|source| capacity(&format!("{service}/{source}")));
            return capacities.min_by(|a, b| a.slots.total_cmp(&b.slots));
        };
        let model = current.fleet.models.get(id)?;
        let version = self.version(id)?;
        let request = ChainRequest {
            model: id,
            version: &version,
            layers: model.layers,
            adapter: None,
            prefixes: &[],
            prompt: TYPICAL_TOKENS.0,
            expected: TYPICAL_TOKENS.1,
            avoid: &[],
        };
        self.state.lock().router.chain_capacity(&request, now)
    }
}

/// Whether the target answered its last poll.
fn answers(report: &Report) -> bool {
    report.content != ReportContent::Silent
}

fn chain_selection(router: &route::Router, choice: ChainChoice) -> Selection<Chain> {
    let row = |stage: &StageChoice| router.loads().row(stage.row);
    let stages = choice.stages.iter().map(|choice| Stage {
        target: row(choice).id.clone(),
        addr: row(choice).addr,
        layers: choice.layers,
        incarnation: row(choice).incarnation,
    });
    Selection {
        value: Chain {
            stages: stages.collect(),
            first_token: choice.first_token,
            token_interval: choice.token_interval,
        },
        rows: choice.stages.iter().map(|stage| stage.row).collect(),
        hosts: choice.stages.iter().map(|stage| row(stage).host.clone()).collect(),
    }
}

fn chain_request(need: &ChainNeeds) -> ChainRequest<'_> {
    ChainRequest {
        model: &need.model,
        version: &need.version,
        layers: need.layers,
        adapter: need.adapter.as_deref(),
        prefixes: &need.prefixes,
        prompt: need.prompt,
        expected: need.expected,
        avoid: &need.avoid,
    }
}

fn no_chain(need: &ChainNeeds, retry_after: Duration) -> Refusal {
    let text = format!(
        "no live chain of targets covers all {} layers of model `{}` version `{}`; \
         see `roseshore running` for its targets, or come back later",
        need.layers, need.model, need.version
    );
    Refusal::not_run(Code::NoRoute, text).after(retry_after)
}

fn no_replica(serves: &str) -> Refusal {
    let text = format!(
        "no replica of `{serves}` is in use; declare a target with `serves = \"{serves}\"`, or \
         come back later"
    );
    Refusal::not_run(Code::NoRoute, text).after(NO_ROUTE_RETRY)
}

fn cache_change(event: &CacheEvent) -> CacheChange {
    match *event {
        CacheEvent::Stored { hash, tokens } => CacheChange::Stored { hash, tokens },
        CacheEvent::Evicted { hash } => CacheChange::Evicted { hash },
        CacheEvent::Cleared => CacheChange::Cleared,
    }
}

fn content(content: &ReportContent) -> PollResult {
    match content {
        ReportContent::Engine(load) => PollResult::Engine(engine_state(load)),
        ReportContent::Service(load) => PollResult::Service(service_state(load)),
        ReportContent::Silent => PollResult::Silent,
    }
}

fn engine_state(load: &Load) -> EngineState {
    let holding = &load.holding;
    EngineState {
        incarnation: holding.incarnation,
        model: holding.model.clone(),
        version: holding.version.clone(),
        layers: holding.layers,
        adapters: holding.adapters.clone(),
        both_phases: holding.role == Role::Both,
        loading: holding.loading,
        draining: load.leaving,
        queue: load.queue,
        running: load.running,
        slots: load.slots,
        step: Duration::from_micros(load.step_us),
        prefill: load.prefill_rate,
        kv_free: load.kv_cap.saturating_sub(load.kv_used),
    }
}

fn service_state(load: &ServiceLoad) -> ServiceState {
    ServiceState {
        incarnation: load.incarnation,
        queue: load.queue,
        running: load.running,
        slots: load.slots,
        call: Duration::from_micros(load.call_us),
        draining: load.leaving,
    }
}
