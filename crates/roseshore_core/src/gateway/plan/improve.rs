//! Steps that improve the present placement.
//!
//! After a gap was filled its neighbours have little KV capacity left, and a data centre serves no
//! more requests than its narrowest layer (the one with the least capacity) allows, whatever the
//! others have. Each step changes one engine. There is a complete copy of the model all the while,
//! since an engine gives up layers only where others hold them already, so moving a boundary takes
//! two steps. Every intermediate state is a valid start for the next step, so a lost engine or a
//! lost order on the way costs no more than a new plan.

use super::value::Layout;
use super::{EngineState, JOIN_CAPACITIES, LayerRange, Move, is_within_model, join_width};
use crate::gateway::routes::EngineSpec;
use crate::prelude::*;

/// Factor by which a step must raise the throughput to be worth an order and a load. A load costs a
/// quarter of a request's work, and a second or two in which the engine has less capacity.
const MIN_GAIN: f64 = 1.08;
/// KV capacity that an engine keeps at least, tokens: the cache of six of the largest requests.
const MIN_CAPACITY: f64 = 18_000.0;
/// Bound on the steps that are evaluated times the number of engines, which takes 5 ms on one core.
/// A data centre of 30 engines evaluates every second or third step, and others once its placement
/// has changed.
const MAX_EVALUATIONS: usize = 60_000;
/// Layers with less than this multiple of the narrowest layer's capacity count as narrow. A step
/// that touches none of them hardly changes the throughput.
const NARROW_FACTOR: f64 = 2.0;

/// The step with the highest throughput, if its gain is large enough.
pub(super) fn improve(spec: &EngineSpec, engines: &[EngineState]) -> Option<Move> {
    if !engines.iter().all(|e| is_within_model(spec, e)) {
        return None;
    }
    let mut layout = Layout::new(spec, engines);
    let current = layout.throughput();
    if current <= 0.0 {
        return None;
    }
    let steps = steps(spec, engines, &layout.narrow(NARROW_FACTOR));
    let stride = (steps.len() * engines.len()).div_ceil(MAX_EVALUATIONS).max(1);
    let mut best: Option<(f64, Move)> = None;
    for &step in steps.iter().skip(offset(engines) % stride).step_by(stride) {
        let value = throughput_after(&mut layout, engines, step);
        if best.is_none_or(|(most, _)| value > most) {
            best = Some((value, step));
        }
    }
    best.filter(|(then, _)| *then >= current * MIN_GAIN).map(|(_, step)| step)
}

/// The steps of engines under no order that touch a narrow layer and leave no layer without a
/// holder.
fn steps(spec: &EngineSpec, engines: &[EngineState], narrow: &[bool]) -> Vec<Move> {
    let holders = ready_holders(spec, engines);
    let boundaries = boundaries(spec, engines);
    let mut all = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let Some(held) = engine.layers.filter(|_| engine.layers == engine.ready) else { continue };
        for range in candidate_ranges(spec, engine, &boundaries) {
            let touched = usize::from(range.0.min(held.0))..usize::from(range.1.max(held.1));
            let useful = narrow[touched].iter().any(|narrow| *narrow);
            if useful && stays_covered(&holders, engine, range) {
                all.push((index, range));
            }
        }
    }
    all
}

/// The throughput after a step, or after the best further step of another engine that it allows.
fn throughput_after(layout: &mut Layout<'_>, engines: &[EngineState], (index, range): Move) -> f64 {
    layout.set(index, Some(range));
    let mut best = layout.throughput();
    for (other, rest) in follow_ups(engines, index, range) {
        layout.set(other, Some(rest));
        best = best.max(layout.throughput());
        layout.set(other, engines[other].layers);
    }
    layout.set(index, engines[index].layers);
    best
}

/// A number that differs between placements, to select which steps are evaluated.
fn offset(engines: &[EngineState]) -> usize {
    let ranges = engines.iter().filter_map(|e| e.layers);
    ranges.map(|(from, to)| usize::from(from) + 3 * usize::from(to)).sum()
}

/// How many engines hold each layer already.
fn ready_holders(spec: &EngineSpec, engines: &[EngineState]) -> Vec<u32> {
    let mut holders = vec![0; usize::from(spec.layers)];
    for (from, to) in engines.iter().filter_map(|e| e.ready) {
        let to = usize::from(to).min(holders.len());
        holders[usize::from(from)..to].iter_mut().for_each(|count| *count += 1);
    }
    holders
}

/// Whether every layer that an engine would give up has another holder already.
fn stays_covered(holders: &[u32], engine: &EngineState, range: LayerRange) -> bool {
    let Some((from, to)) = engine.ready else { return true };
    let given_up = (from..to).filter(|layer| *layer < range.0 || range.1 <= *layer);
    given_up.into_iter().all(|layer| holders[usize::from(layer)] > 1)
}

/// The layers at which ranges begin or end, sorted.
fn boundaries(spec: &EngineSpec, engines: &[EngineState]) -> Vec<Layer> {
    let ends = engines.iter().filter_map(|e| e.layers).flat_map(|(from, to)| [from, to]);
    let mut boundaries: Vec<Layer> = ends.chain([0, spec.layers]).collect();
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}

/// The ranges to consider for an engine: its own with one end moved, and others that begin or end
/// at a boundary.
fn candidate_ranges(
    spec: &EngineSpec,
    engine: &EngineState,
    boundaries: &[Layer],
) -> Vec<LayerRange> {
    let Some(kind) = spec.kind(Some(&engine.kind)) else { return Vec::new() };
    let Some((from, to)) = engine.layers else { return Vec::new() };
    let most = join_width(spec, kind, MIN_CAPACITY);
    let mut all: Vec<LayerRange> = Vec::new();
    all.extend((0..to).map(|begin| (begin, to)));
    all.extend((from + 1..=spec.layers).map(|end| (from, end)));
    for width in JOIN_CAPACITIES.map(|capacity| join_width(spec, kind, capacity)) {
        all.extend(boundaries.iter().map(|at| (*at, at + width)));
        all.extend(boundaries.iter().map(|at| (at.saturating_sub(width), *at)));
    }
    let fits = |&(a, b): &LayerRange| a < b && b <= spec.layers && b - a <= most;
    all.retain(|range| fits(range) && *range != (from, to));
    all.sort_unstable();
    all.dedup();
    all
}

/// The layers that each other engine could give up once an engine holds its new range, as the range
/// that the other one keeps.
fn follow_ups(
    engines: &[EngineState],
    index: usize,
    (from, to): LayerRange,
) -> impl Iterator<Item = Move> + '_ {
    let others = engines.iter().enumerate().filter(move |(other, _)| *other != index);
    others.filter_map(move |(other, engine)| {
        let (first, last) = engine.layers?;
        if from <= first && first < to && to < last {
            return Some((other, (to, last)));
        }
        (first < from && from < last && last <= to).then_some((other, (first, from)))
    })
}
