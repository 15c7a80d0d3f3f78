//! What a target reports, and how a report changes what is known of it.

use super::Row;
use super::breaker::CircuitBreaker;
use super::slowdown::Slowdown;
use crate::prelude::*;
use std::collections::BTreeSet;

/// What an engine said last.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// The number of its life.
    pub incarnation: Incarnation,
    /// The model loaded, if any.
    pub model: Option<ModelId>,
    /// The version loaded, if any.
    pub version: Option<VersionId>,
    /// First layer held and one past the last.
    pub layers: (Layer, Layer),
    /// The adapters loaded.
    pub adapters: BTreeSet<AdapterId>,
    /// Whether it runs prefill and decode alike.
    pub both_phases: bool,
    /// Whether a load is under way.
    pub loading: bool,
    /// Whether it asks for no new work.
    pub draining: bool,
    /// Requests waiting.
    pub queue: u32,
    /// Answers being worked on.
    pub running: u32,
    /// Steps that run at once.
    pub slots: u32,
    /// Time of one step.
    pub step: Duration,
    /// Prefill rate, tokens a second.
    pub prefill: f64,
    /// KV cache not in use, tokens.
    pub kv_free: u64,
}

/// What a replica of a service said last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceState {
    /// The number of its life.
    pub incarnation: Incarnation,
    /// Calls waiting.
    pub queue: u32,
    /// Calls being worked on.
    pub running: u32,
    /// Calls that run at once.
    pub slots: u32,
    /// Time of one call.
    pub call: Duration,
    /// Whether it asks for no new work.
    pub draining: bool,
}

/// What a poll of a target gave.
#[derive(Clone, Debug, PartialEq)]
pub enum PollResult {
    /// An engine's report.
    Engine(EngineState),
    /// A service replica's report.
    Service(ServiceState),
    /// No answer.
    Silent,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportChange {
    /// The report was older than the known one, or of an unknown target.
    Ignored,
    /// Only load figures.
    LoadOnly,
    /// What the target holds, its life or whether it takes work.
    Capabilities,
}

/// What a target is asked to do in a unit of work, and how fast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadFigures {
    /// Requests waiting or running there, as reported.
    pub depth: f64,
    /// Requests waiting there, as reported.
    pub queue: f64,
    /// Units that run at once.
    pub slots: f64,
    /// Seconds of one step or call.
    pub step: f64,
    /// Prefill rate, tokens a second.
    pub prefill: f64,
    /// KV cache not in use, tokens.
    pub kv_free: f64,
}

impl LoadFigures {
    /// What is assumed before the first report.
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
