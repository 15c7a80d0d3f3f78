//! The holding of an engine, the orders that change it, and the loads that they start.

use super::core::Core;
use super::run::Open;
use super::settings::EngineSettings;
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_wire::engine::{Generate, Holding, Order};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

/// The pause before the weight store is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The timeout of the weight store for one load.
const TAKE_TIMEOUT: Duration = Duration::from_mins(5);

/// The holding and its generation, which changes when running answers cannot continue.
pub(super) struct HoldingCell {
    inner: Mutex<Inner>,
}

struct Inner {
    holding: Holding,
    generation: u64,
    goal: Goal,
}

/// The weights that the last order asked for.
#[derive(Clone, PartialEq)]
struct Goal {
    model: Option<ModelId>,
    version: Option<VersionId>,
    layers: (Layer, Layer),
}

impl HoldingCell {
    pub(super) fn new(settings: &EngineSettings) -> HoldingCell {
        let goal = Goal {
            model: settings.model.clone(),
            version: settings.version.clone(),
            layers: settings.layers,
        };
        let holding = Holding {
            incarnation: settings.incarnation,
            model: goal.model.clone(),
            version: goal.version.clone(),
            layers: goal.layers,
            adapters: settings.adapters.clone(),
            role: settings.role,
            fence: None,
            loading: false,
        };
        HoldingCell { inner: Mutex::new(Inner { holding, generation: 0, goal }) }
    }

    pub(super) fn get(&self) -> Holding {
        self.inner.lock().holding.clone()
    }

    /// Checks that the stage may run `open`; returns the generation for later checks of its steps.
    ///
    /// # Errors
    /// What does not match.
    pub(super) fn check(&self, target: &TargetId, open: &Open) -> Result<u64, String> {
        let inner = self.inner.lock();
        let fault = mismatch(&inner.holding, target, open.index as usize, &open.ask);
        fault.map_or(Ok(inner.generation), |reason| Err(reason.to_owned()))
    }

    /// Checks that the weights have not changed since `generation`.
    ///
    /// # Errors
    /// When another order has arrived in between.
    pub(super) fn unchanged(&self, generation: u64) -> Result<(), String> {
        let same = self.inner.lock().generation == generation;
        if same { Ok(()) } else { Err("the engine holds something else now".to_owned()) }
    }

    fn loaded(&self, generation: u64) {
        let mut inner = self.inner.lock();
        if inner.generation != generation {
            return;
        }
        let goal = inner.goal.clone();
        inner.holding.model = goal.model;
        inner.holding.version = goal.version;
        inner.holding.layers = goal.layers;
        inner.holding.loading = false;
    }
}

fn mismatch(
    holding: &Holding,
    target: &TargetId,
    index: usize,
    ask: &Generate,
) -> Option<&'static str> {
    let Some(stage) = ask.route.get(index) else { return Some("the route ends before") };
    let before = index.checked_sub(1).map_or(0, |before| ask.route[before].layers.1);
    let adapter = ask.adapter.as_ref().is_none_or(|adapter| holding.adapters.contains(adapter));
    let held = holding.layers.0 <= stage.layers.0 && stage.layers.1 <= holding.layers.1;
    let faults = [
        (stage.target != *target, "the route names another target"),
        (stage.incarnation != holding.incarnation, "the route is for another life"),
        (stage.layers.0 != before, "the route leaves layers out or runs them twice"),
        (stage.layers.0 >= stage.layers.1, "the route gives the stage no layers"),
        (holding.loading, "a load is under way"),
        (holding.model.as_ref() != Some(&ask.model), "another model is loaded"),
        (holding.version.as_ref() != Some(&ask.version), "another version is loaded"),
        (!adapter, "the adapter is not loaded"),
        (!held, "the layers are not held"),
    ];
    faults.into_iter().find_map(|(wrong, why)| wrong.then_some(why))
}

/// Applies an order and returns the holding now in force.
///
/// # Errors
/// The current holding, when the fencing number of the order is outdated.
pub(super) fn order(core: &Arc<Core>, order: &Order) -> Result<Holding, Holding> {
    let mut inner = core.holding.inner.lock();
    if core.settings.checks_fence {
        let old = inner.holding.fence.is_some_and(|seen| order.fence < seen);
        if old && !core.faults.get().ignore_fence {
            return Err(inner.holding.clone());
        }
        inner.holding.fence = inner.holding.fence.max(Some(order.fence));
    }
    inner.holding.adapters.clone_from(&order.adapters);
    inner.holding.role = order.role;
    let goal =
        Goal { model: order.model.clone(), version: order.version.clone(), layers: order.layers };
    if goal != inner.goal {
        begin(core, &mut inner, goal);
    }
    core.stats.count(|stats| stats.orders += 1);
    Ok(inner.holding.clone())
}

fn begin(core: &Arc<Core>, inner: &mut Inner, goal: Goal) {
    inner.generation += 1;
    inner.holding.model = None;
    inner.holding.version = None;
    inner.holding.layers = (0, 0);
    inner.holding.loading = goal.model.is_some();
    inner.goal = goal;
    core.kv.clear();
    core.cache.clear(core.faults.get().cache_gap);
    if inner.holding.loading {
        core.stats.count(|stats| stats.loads += 1);
        let layers = inner.goal.layers;
        let bytes = u64::from(layers.1.saturating_sub(layers.0)) * core.settings.layer_bytes;
        let (core, generation) = (core.clone(), inner.generation);
        thread::spawn(move || load(&core, generation, bytes));
    }
}

fn load(core: &Core, generation: u64, bytes: u64) {
    let wanted = || core.holding.unchanged(generation).is_ok();
    if let Some(store) = core.settings.weights {
        while wanted() && !core.has_ended() && !fetch(store, bytes) {
            thread::sleep(RETRY_PAUSE);
        }
    }
    core.work(core.settings.load_time, wanted);
    core.holding.loaded(generation);
}

/// Fetches bytes from the weight store, which replies once the transfer is complete.
fn fetch(store: SocketAddr, bytes: u64) -> bool {
    let config =
        ureq::Agent::config_builder().proxy(None).timeout_global(Some(TAKE_TIMEOUT)).build();
    let url = format!("http://{store}/v1/weights/take?bytes={bytes}");
    config.new_agent().get(url).call().is_ok()
}
