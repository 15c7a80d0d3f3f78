//! Summarises the load of a data centre per model.
//!
//! Every token passes through every layer, so the layer with the fewest slots bounds what the data
//! centre can serve, and the layer with the longest queue determines how long a request waits.

use roseshore_core::prelude::*;
use roseshore_ports::inside::{Report, ReportContent};
use roseshore_wire::engine::Load;
use roseshore_wire::peer::Summary;
use std::collections::{BTreeMap, BTreeSet};

struct EngineLoad<'a> {
    load: &'a Load,
    age: Duration,
}

/// The load of each model, over the engines that respond and accept new work. A summary's age is
/// that of the oldest report in it.
pub fn summarise(reports: &[Report], now: Instant) -> Vec<Summary> {
    let mut models: BTreeMap<&ModelId, Vec<EngineLoad<'_>>> = BTreeMap::new();
    for report in reports {
        let ReportContent::Engine(load) = &report.content else { continue };
        let Some(model) = &load.holding.model else { continue };
        if load.leaving || load.holding.loading {
            continue;
        }
        let age = now.saturating_duration_since(report.seen);
        models.entry(model).or_default().push(EngineLoad { load, age });
    }
    models.into_iter().map(|(model, engines)| summarise_model(model, &engines)).collect()
}

fn summarise_model(model: &ModelId, engines: &[EngineLoad<'_>]) -> Summary {
    let layers = |e: &EngineLoad<'_>| e.load.holding.layers;
    let ends = engines.iter().flat_map(|e| [layers(e).0, layers(e).1]);
    let last = engines.iter().map(|e| layers(e).1).max().unwrap_or(0);
    let starts: BTreeSet<Layer> = ends.chain([0]).filter(|layer| *layer < last).collect();
    let sum = |layer: Layer, count: fn(&Load) -> u32| {
        let engines_with_layer =
            engines.iter().filter(|e| (layers(e).0..layers(e).1).contains(&layer));
        engines_with_layer.fold(0u32, |sum, e| sum.saturating_add(count(e.load)))
    };
    let largest = |count| starts.iter().map(|layer| sum(*layer, count)).max().unwrap_or(0);
    let oldest = engines.iter().map(|e| e.age).max().unwrap_or_default();
    Summary {
        model: model.clone(),
        queue: largest(|load| load.queue),
        running: largest(|load| load.running),
        slots: starts.iter().map(|layer| sum(*layer, |load| load.slots)).min().unwrap_or(0),
        age_ms: oldest.as_millis() as u32,
    }
}
