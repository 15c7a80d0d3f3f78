//! The load of a data centre, one line a model.
//!
//! Every token passes every layer, so the layer with the fewest slots is what the data centre can
//! serve, and the layer with the longest queue is what a request waits for.

use roseshore_core::prelude::*;
use roseshore_ports::inside::{Report, ReportContent};
use roseshore_wire::engine::Load;
use roseshore_wire::peer::Summary;
use std::collections::{BTreeMap, BTreeSet};

struct Seen<'a> {
    load: &'a Load,
    age: Duration,
}

/// The load of each model, over the engines that answer and take new work.
pub fn summarise(reports: &[Report], now: Instant) -> Vec<Summary> {
    let mut models: BTreeMap<&ModelId, Vec<Seen<'_>>> = BTreeMap::new();
    for report in reports {
        let ReportContent::Engine(load) = &report.content else { continue };
        let Some(model) = &load.holding.model else { continue };
        if load.leaving || load.holding.loading {
            continue;
        }
        let age = now.saturating_duration_since(report.seen);
        models.entry(model).or_default().push(Seen { load, age });
    }
    models.into_iter().map(|(model, engines)| line(model, &engines)).collect()
}

fn line(model: &ModelId, engines: &[Seen<'_>]) -> Summary {
    let layers = |e: &Seen<'_>| e.load.holding.layers;
    let ends = engines.iter().flat_map(|e| [layers(e).0, layers(e).1]);
    let last = engines.iter().map(|e| layers(e).1).max().unwrap_or(0);
    let starts: BTreeSet<Layer> = ends.chain([0]).filter(|layer| *layer < last).collect();
    let sum = |layer: Layer, part: fn(&Load) -> u32| {
        let holders = engines.iter().filter(|e| (layers(e).0..layers(e).1).contains(&layer));
        holders.fold(0u32, |sum, e| sum.saturating_add(part(e.load)))
    };
    let largest = |part| starts.iter().map(|layer| sum(*layer, part)).max().unwrap_or(0);
    let oldest = engines.iter().map(|e| e.age).max().unwrap_or_default();
    Summary {
        model: model.clone(),
        queue: largest(|load| load.queue),
        running: largest(|load| load.running),
        slots: starts.iter().map(|layer| sum(*layer, |load| load.slots)).min().unwrap_or(0),
        age_ms: oldest.as_millis() as u32,
    }
}
