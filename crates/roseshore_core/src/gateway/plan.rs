//! Which layers each engine of a data centre should hold.
//!
//! KV memory is the scarcest resource: an engine that is filled with layers has no capacity for
//! requests. So a data centre whose engines hold nothing yet gets few complete copies of the model.
//! The engines of a copy all get the same KV capacity: the largest number of tokens `t` for which
//! they still hold all layers, when each of them holds as many as fit beside a cache of `t` tokens.
//! But every running request makes each step longer, most on slow engines, so one copy over all
//! engines may serve fewer requests than two over some of them. Of all splits by kind, the one with
//! the highest throughput is taken.
//!
//! Later changes are kept few. A gap in the layers is shared out among its neighbours and empty
//! engines, so that it is filled soon, and an empty engine that is not needed for that takes the
//! range with the least capacity.
//!
//! Engines whose ranges do not lie within the model are left out of the plan.

mod copies;
mod improve;
pub mod orders;
pub mod pressure;
mod repair;
mod value;

use super::routes::{AcceleratorKind, EngineSpec};
use crate::prelude::*;
use copies::initial_placement;
use repair::{fill_at_once, repair, retile};

/// KV capacities that an engine which joins later may keep, tokens; the one for the widest range
/// first.
const JOIN_CAPACITIES: [f64; 4] = [35_000.0, 70_000.0, 110_000.0, 160_000.0];

/// A range of layers: the first, and one past the last.
pub type LayerRange = (Layer, Layer);

/// An engine of the data centre and the layers that it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// The engine's target.
    pub id: TargetId,
    /// Name of its accelerator kind.
    pub kind: String,
    /// Layers that it holds or has been ordered to load.
    pub layers: Option<LayerRange>,
    /// Those of `layers` that will be held soon, by [`assured_layers`].
    pub assured: Option<LayerRange>,
    /// Those of `layers` that it holds already.
    pub ready: Option<LayerRange>,
}

/// The layers of an order that will be held soon by an engine that now holds `held`: all of them,
/// unless the engine has to give up others. Then it begins to load only when the last answer that
/// runs through those has ended, so only the layers that it keeps count.
pub fn assured_layers(held: Option<LayerRange>, ordered: LayerRange) -> Option<LayerRange> {
    let Some((from, to)) = held else { return Some(ordered) };
    if ordered.0 <= from && to <= ordered.1 {
        return Some(ordered);
    }
    intersect((from, to), ordered)
}

/// The layers that two ranges share.
pub fn intersect(a: LayerRange, b: LayerRange) -> Option<LayerRange> {
    let both = (a.0.max(b.0), a.1.min(b.1));
    (both.0 < both.1).then_some(both)
}

/// Whether all ranges of an engine lie within the model. A configuration with fewer layers may
/// arrive before the engines report their new ranges.
fn is_within_model(spec: &EngineSpec, engine: &EngineState) -> bool {
    let ranges = [engine.layers, engine.assured, engine.ready];
    ranges.into_iter().flatten().all(|layers| spec.contains(layers))
}

/// An engine and the range it should hold.
pub type Placement = (TargetId, LayerRange);

/// The placements that engines should get and do not have yet: all of them for a data centre whose
/// engines hold nothing, and otherwise those that fill gaps or give empty engines layers.
pub fn plan(spec: &EngineSpec, engines: &[EngineState]) -> Vec<Placement> {
    let mut planned: Vec<EngineState> =
        engines.iter().filter(|e| is_within_model(spec, e)).cloned().collect();
    if planned.iter().all(|e| e.layers.is_none()) {
        return initial_placement(spec, &planned);
    }
    let mut placements = Vec::new();
    while let Some(gap) = first_uncovered(spec, &planned) {
        let mut moves = repair(spec, &planned, gap);
        if moves.is_empty() {
            moves = retile(spec, &planned);
        }
        if moves.is_empty() {
            break;
        }
        for (index, layers) in moves {
            planned[index].layers = Some(layers);
            placements.retain(|(id, _)| *id != planned[index].id);
            placements.push((planned[index].id.clone(), layers));
        }
    }
    for (index, layers) in fill_at_once(spec, &planned) {
        planned[index].layers = Some(layers);
        placements.push((planned[index].id.clone(), layers));
    }
    for index in 0..planned.len() {
        if planned[index].layers.is_none() {
            let range = weakest_range(spec, &planned, index);
            planned[index].layers = range;
            placements.extend(range.map(|r| (planned[index].id.clone(), r)));
        }
    }
    placements
}

/// The next step towards a placement with a higher throughput, for engines that need no repair.
pub fn next_improvement(spec: &EngineSpec, engines: &[EngineState]) -> Option<Placement> {
    let (index, layers) = improve::improve(spec, engines)?;
    Some((engines[index].id.clone(), layers))
}

/// KV capacities that engines which fill a gap should keep, tokens, the best first. The last is the
/// cache of two of the largest requests.
const REPAIR_CAPACITIES: [f64; 3] = [40_000.0, 18_000.0, 6_000.0];

/// The first run of layers that none of the ranges `held` covers; ranges beyond the model do not
/// count.
pub fn first_gap(spec: &EngineSpec, held: impl Iterator<Item = LayerRange>) -> Option<LayerRange> {
    let mut ranges: Vec<LayerRange> = held.filter(|layers| spec.contains(*layers)).collect();
    ranges.sort_unstable();
    let reach = |end, (from, to): LayerRange| if from <= end { to.max(end) } else { end };
    let end = ranges.iter().copied().fold(0, reach);
    let next = ranges.iter().map(|(from, _)| *from).find(|from| *from > end);
    (end < spec.layers).then(|| (end, next.unwrap_or(spec.layers)))
}

/// Whether an engine can hold such a range and the least KV capacity beside it.
fn fits(spec: &EngineSpec, engine: &EngineState, layers: Option<LayerRange>) -> bool {
    let most =
        spec.kind(Some(&engine.kind)).map_or(0, |k| max_layers(spec, k, REPAIR_CAPACITIES[2]));
    layers.is_none_or(|(from, to)| to - from <= most)
}

/// The index of an engine and the range that it would hold.
type Move = (usize, LayerRange);

/// Layers that fit beside a KV cache of so many tokens.
fn max_layers(spec: &EngineSpec, kind: &AcceleratorKind, tokens: f64) -> Layer {
    let layer_total_mb = spec.layer_mb + tokens * spec.kv_mb();
    ((kind.memory_mb / layer_total_mb) as Layer).min(spec.layers)
}

/// KV capacity of each layer over all its holders but the engine `excluded`, tokens.
fn layer_capacities(spec: &EngineSpec, engines: &[EngineState], excluded: usize) -> Vec<f64> {
    let mut capacities = vec![0.0; usize::from(spec.layers)];
    for (index, engine) in engines.iter().enumerate() {
        let Some((from, to)) = engine.layers.filter(|_| index != excluded) else { continue };
        let Some(kind) = spec.kind(Some(&engine.kind)) else { continue };
        let capacity = spec.kv_capacity(kind.memory_mb, to - from).max(1.0);
        capacities[usize::from(from)..usize::from(to)].iter_mut().for_each(|r| *r += capacity);
    }
    capacities
}

/// Layers that an engine which joins later holds when it keeps this KV capacity, tokens.
fn join_width(spec: &EngineSpec, kind: &AcceleratorKind, capacity: f64) -> Layer {
    max_layers(spec, kind, capacity).max(1).min(spec.layers)
}

/// The range for an empty engine, where capacity is least. Of wide and narrow ranges it is the one
/// that leaves most capacity at the layer that has least.
fn weakest_range(spec: &EngineSpec, engines: &[EngineState], index: usize) -> Option<LayerRange> {
    let kind = spec.kind(Some(&engines[index].kind))?;
    let capacities = layer_capacities(spec, engines, index);
    let fits = engines.iter().enumerate().all(|(at, e)| at == index || fits(spec, e, e.layers));
    let mut best: Option<(f64, LayerRange)> = None;
    for capacity in JOIN_CAPACITIES {
        let width = join_width(spec, kind, capacity);
        let gain = |from: Layer| -> f64 {
            let range = usize::from(from)..usize::from(from + width);
            capacities[range].iter().map(|capacity| 1.0 / (capacity + 1.0)).sum()
        };
        let starts = 0..=spec.layers - width;
        let from = starts.max_by(|a, b| gain(*a).total_cmp(&gain(*b)).then(b.cmp(a)))?;
        let range = (from, from + width);
        let added = spec.kv_capacity(kind.memory_mb, width).max(1.0);
        let inside = |layer: usize| (usize::from(range.0)..usize::from(range.1)).contains(&layer);
        let extended =
            |(layer, capacity): (usize, &f64)| capacity + if inside(layer) { added } else { 0.0 };
        let min_capacity =
            capacities.iter().enumerate().map(extended).reduce(f64::min).unwrap_or(0.0);
        let valid = fits && self::fits(spec, &engines[index], Some(range));
        let value = if valid { min_capacity } else { 0.0 };
        if best.is_none_or(|(most, _)| value > most) {
            best = Some((value, range));
        }
    }
    best.map(|(_, range)| range)
}

/// The first run of layers that no engine holds.
fn first_uncovered(spec: &EngineSpec, engines: &[EngineState]) -> Option<LayerRange> {
    let all = layer_capacities(spec, engines, engines.len());
    let from = all.iter().position(|capacity| *capacity <= 0.0)?;
    let width = all[from..].iter().position(|capacity| *capacity > 0.0).unwrap_or(all.len() - from);
    Some((from as Layer, (from + width) as Layer))
}
