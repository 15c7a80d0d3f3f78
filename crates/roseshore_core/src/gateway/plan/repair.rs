//! Gaps in the layers: which engines fill them, with the fewest moves.

use super::copies::{Group, tile};
use super::{EngineState, JOIN_CAPACITIES, LayerRange, Move, REPAIR_CAPACITIES};
use super::{first_uncovered, join_width, layer_capacities, max_layers};
use crate::gateway::routes::EngineSpec;
use crate::prelude::*;

/// Moves that fill a gap without waiting for the engines that were ordered to fill it but must
/// first give up other layers. The empty engines and neighbours that get it begin to load at once.
/// Empty if the gap cannot be filled without such an engine.
pub(super) fn fill_at_once(spec: &EngineSpec, engines: &[EngineState]) -> Vec<Move> {
    let clearing = |e: &EngineState| e.layers != e.assured;
    let counted = |&index: &usize| !clearing(&engines[index]) || engines[index].assured.is_some();
    let indices: Vec<usize> = (0..engines.len()).filter(counted).collect();
    let assured =
        |&index: &usize| EngineState { layers: engines[index].assured, ..engines[index].clone() };
    let assured: Vec<EngineState> = indices.iter().map(assured).collect();
    let Some(gap) = first_uncovered(spec, &assured) else { return Vec::new() };
    let moves = fill(spec, &assured, gap).into_iter();
    let moves: Vec<Move> = moves.map(|(index, layers)| (indices[index], layers)).collect();
    if moves.iter().any(|(index, _)| clearing(&engines[*index])) { Vec::new() } else { moves }
}

/// One copy over all engines in their present order, for a gap that its neighbours cannot fill:
/// every boundary moves a little. No request can be served while there is a gap, so nothing is lost
/// by it.
pub(super) fn retile(spec: &EngineSpec, engines: &[EngineState]) -> Vec<Move> {
    let mut order: Vec<&EngineState> = engines.iter().collect();
    order.sort_by_key(|e| (e.layers.map_or((spec.layers, 0), |l| l), e.id.clone()));
    let group: Group<'_> =
        order.into_iter().filter_map(|e| Some((e, spec.kind(Some(&e.kind))?))).collect();
    let tiles = tile(spec, &group).into_iter();
    let moves = tiles.filter_map(|(id, layers)| {
        let index = engines.iter().position(|e| e.id == id)?;
        (engines[index].layers != Some(layers)).then_some((index, layers))
    });
    moves.collect()
}

/// The moves that repair a gap. The time until it is filled matters most, and that grows with the
/// layers that a single engine has to load. So the gap is shared out among its neighbours, which
/// keep what they hold, and empty engines, each by the layers that it can take.
pub(super) fn repair(spec: &EngineSpec, engines: &[EngineState], gap: LayerRange) -> Vec<Move> {
    let moves = fill(spec, engines, gap);
    if moves.is_empty() { move_redundant(spec, engines, gap).into_iter().collect() } else { moves }
}

/// The moves that fill a gap while no engine gives up layers; empty if that is not possible.
fn fill(spec: &EngineSpec, engines: &[EngineState], gap: LayerRange) -> Vec<Move> {
    let moves =
        REPAIR_CAPACITIES.iter().map(|capacity| fill_keeping(spec, engines, gap, *capacity));
    moves.into_iter().find(|moves| !moves.is_empty()).unwrap_or_default()
}

/// The same, when each engine that fills the gap keeps this KV capacity, tokens.
fn fill_keeping(
    spec: &EngineSpec,
    engines: &[EngineState],
    gap: LayerRange,
    capacity: f64,
) -> Vec<Move> {
    let spare = |index: usize| -> Layer {
        let Some(kind) = spec.kind(Some(&engines[index].kind)) else { return 0 };
        let held = engines[index].layers.map_or(0, |(from, to)| to - from);
        max_layers(spec, kind, capacity).saturating_sub(held)
    };
    let most_spare = |test: &dyn Fn(LayerRange) -> bool| {
        let held = (0..engines.len()).filter(|&i| engines[i].layers.is_some_and(test));
        held.max_by_key(|&i| spare(i)).filter(|&i| spare(i) > 0)
    };
    let left = most_spare(&|(_, to)| to == gap.0);
    let right = most_spare(&|(from, _)| from == gap.1);
    let empty = (0..engines.len()).filter(|&i| engines[i].layers.is_none() && spare(i) > 0);
    let takers: Vec<usize> = left.into_iter().chain(empty).chain(right).collect();
    let total: u32 = takers.iter().map(|&i| u32::from(spare(i))).sum();
    let width = u32::from(gap.1 - gap.0);
    if total < width {
        return Vec::new();
    }
    let mut moves = Vec::new();
    let (mut from, mut before) = (gap.0, 0);
    for &index in &takers {
        before += u32::from(spare(index));
        let to = gap.0 + (width * before / total) as Layer;
        if to > from {
            let held = engines[index].layers;
            let range = match held {
                Some((begin, _)) if Some(index) == left => (begin, to),
                Some((_, end)) => (from, end),
                None => (from, to),
            };
            moves.push((index, range));
            from = to;
        }
    }
    moves
}

/// The last resort: an engine whose layers all have other holders moves to the gap. Of those it is
/// the one whose layers keep the most capacity elsewhere.
fn move_redundant(spec: &EngineSpec, engines: &[EngineState], gap: LayerRange) -> Option<Move> {
    let elsewhere = |index: usize| -> Option<f64> {
        let (from, to) = engines[index].layers?;
        let others = layer_capacities(spec, engines, index);
        let held = &others[usize::from(from)..usize::from(to)];
        held.iter().copied().reduce(f64::min).filter(|least| *least > 0.0)
    };
    let redundant = (0..engines.len()).filter_map(|i| Some((i, elsewhere(i)?)));
    let (index, _) = redundant.max_by(|a, b| a.1.total_cmp(&b.1))?;
    let kind = spec.kind(Some(&engines[index].kind))?;
    let width = join_width(spec, kind, JOIN_CAPACITIES[0]);
    let from = gap.0.min(spec.layers - width);
    Some((index, (from, from + width)))
}
