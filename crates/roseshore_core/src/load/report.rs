//! Reports of targets, and how they update the load table.

use super::Row;
use super::breaker::CircuitBreaker;
use super::slowdown::Slowdown;
use crate::prelude::*;
use std::collections::BTreeSet;

/// Latest report of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// The model loaded, if any.
    pub model: Option<ModelId>,
    /// The version loaded, if any.
    pub version: Option<VersionId>,
    /// Layers held, as `first..end`.
    pub layers: (Layer, Layer),
    /// The adapters loaded.
    pub adapters: BTreeSet<AdapterId>,
    /// Whether it runs both prefill and decode.
    pub both_phases: bool,
    /// Whether it is loading a model.
    pub loading: bool,
    /// Whether it asks for no new work.
    pub draining: bool,
    /// Number of requests waiting.
    pub queue: u32,
    /// Number of answers in progress.
    pub running: u32,
    /// Number of steps that run at once.
    pub slots: u32,
    /// Time of one step.
    pub step: Duration,
    /// Prefill rate in tokens a second.
    pub prefill: f64,
    /// Free KV cache in tokens.
    pub kv_free: u64,
}

/// Latest report of a service replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceState {
    /// Incarnation of the replica's process.
    pub incarnation: Incarnation,
    /// Number of calls waiting.
    pub queue: u32,
    /// Number of calls in progress.
    pub running: u32,
    /// Number of calls that run at once.
    pub slots: u32,
    /// Time of one call.
    pub call: Duration,
    /// Whether it asks for no new work.
    pub draining: bool,
}

/// Result of polling a target.
#[derive(Clone, Debug, PartialEq)]
pub enum PollResult {
    /// Report of an engine.
    Engine(EngineState),
    /// Report of a service replica.
    Service(ServiceState),
    /// No reply.
    Silent,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportChange {
    /// Nothing: the report was older than the latest one, or its target is unknown.
    Ignored,
    /// Only the load figures.
    LoadOnly,
    /// What the target holds, its incarnation, or whether it takes work.
    Capabilities,
}

/// Load figures common to engines and service replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadFigures {
    /// Number of requests waiting or running, as reported.
    pub depth: f64,
    /// Number of requests waiting, as reported.
    pub queue: f64,
    /// Number of steps or calls that run at once.
    pub slots: f64,
    /// Seconds of one step or call.
    pub step: f64,
    /// Prefill rate in tokens a second.
    pub prefill: f64,
    /// Free KV cache in tokens.
    pub kv_free: f64,
}

impl LoadFigures {
    /// Assumed before the first report.
    pub(super) const UNKNOWN: LoadFigures = LoadFigures {
        depth: 0.0,
        queue: 0.0,
        slots: 1.0,
        step: 0.001,
        prefill: 1000.0,
        kv_free: 1e9,
    };
}

pub(super) fn apply_engine(row: &mut Row, seen: Instant, state: EngineState) -> ReportChange {
    let figures = LoadFigures {
        depth: f64::from(state.queue + state.running),
        queue: f64::from(state.queue),
        slots: f64::from(state.slots.max(1)),
        step: state.step.as_secs_f64().max(1e-6),
        prefill: state.prefill.max(1.0),
        kv_free: state.kv_free as f64,
    };
    apply_figures(row, figures);
    let renewed = state.incarnation != row.incarnation;
    apply_incarnation(row, seen, state.incarnation);
    let same = row.engine.as_ref().is_some_and(|old| {
        old.model == state.model
            && old.version == state.version
            && old.layers == state.layers
            && old.adapters == state.adapters
            && old.both_phases == state.both_phases
            && old.loading == state.loading
    });
    let same = same && !renewed && row.draining == state.draining;
    row.draining = state.draining;
    row.engine = Some(state);
    if same { ReportChange::LoadOnly } else { ReportChange::Capabilities }
}

pub(super) fn apply_service(row: &mut Row, seen: Instant, state: ServiceState) -> ReportChange {
    let figures = LoadFigures {
        depth: f64::from(state.queue + state.running),
        queue: f64::from(state.queue),
        slots: f64::from(state.slots.max(1)),
        step: state.call.as_secs_f64().max(1e-6),
        ..LoadFigures::UNKNOWN
    };
    apply_figures(row, figures);
    apply_incarnation(row, seen, state.incarnation);
    let same = row.draining == state.draining;
    row.draining = state.draining;
    if same { ReportChange::LoadOnly } else { ReportChange::Capabilities }
}

fn apply_figures(row: &mut Row, figures: LoadFigures) {
    if row.incarnation != 0 {
        row.slowdown.rescale(row.figures.step / figures.step);
    }
    row.figures = figures;
}

fn apply_incarnation(row: &mut Row, seen: Instant, incarnation: Incarnation) {
    if row.incarnation != 0 && row.incarnation != incarnation {
        row.breaker = CircuitBreaker::default();
        row.slowdown = Slowdown::default();
    }
    row.incarnation = incarnation;
    row.breaker.record_report(seen);
}
