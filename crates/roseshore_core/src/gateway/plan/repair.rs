//! Holes in the layers: who fills them, and with the fewest moves.

use super::copies::{Group, tile};
use super::{EngineState, JOIN_ROOMS, LayerRange, Move, REPAIR_ROOMS};
use super::{first_hole, join_width, layers_at, rooms};
use crate::gateway::routes::EngineSpec;
use crate::prelude::*;

/// Moves that fill a hole which only engines that must first give layers up are to fill: an empty
/// one, and its neighbours, begin to load at once.
pub(super) fn fill_at_once(spec: &EngineSpec, members: &[EngineState]) -> Vec<Move> {
    let clearing = |m: &EngineState| m.layers != m.assured;
    let counted = |&index: &usize| !clearing(&members[index]) || members[index].assured.is_some();
    let places: Vec<usize> = (0..members.len()).filter(counted).collect();
    let sure =
        |&index: &usize| EngineState { layers: members[index].assured, ..members[index].clone() };
    let sure: Vec<EngineState> = places.iter().map(sure).collect();
    let Some(hole) = first_hole(spec, &sure) else { return Vec::new() };
    let moves = fill(spec, &sure, hole).into_iter();
    let moves: Vec<Move> = moves.map(|(index, layers)| (places[index], layers)).collect();
    if moves.iter().any(|(index, _)| clearing(&members[*index])) { Vec::new() } else { moves }
}

/// One copy over all engines in their present order, for a hole that its neighbours cannot fill:
/// every border moves a little. Nothing serves while a hole is there, so nothing is lost by it.
pub(super) fn retile(spec: &EngineSpec, members: &[EngineState]) -> Vec<Move> {
    let mut order: Vec<&EngineState> = members.iter().collect();
    order.sort_by_key(|m| (m.layers.map_or((spec.layers, 0), |l| l), m.id.clone()));
    let group: Group<'_> =
        order.into_iter().filter_map(|m| Some((m, spec.kind(Some(&m.kind))?))).collect();
    let tiles = tile(spec, &group).into_iter();
    let moves = tiles.filter_map(|(id, layers)| {
        let index = members.iter().position(|m| m.id == id)?;
        (members[index].layers != Some(layers)).then_some((index, layers))
    });
    moves.collect()
}

/// Who fills a hole, and what each holds then. The time until it is filled counts most, and that
/// grows with the layers that one engine has to load: so it is dealt out to the neighbours, who
/// hold on to what they have, and to empty engines, each by what it can take.
pub(super) fn repair(spec: &EngineSpec, members: &[EngineState], hole: LayerRange) -> Vec<Move> {
    let moves = fill(spec, members, hole);
    if moves.is_empty() { move_spare(spec, members, hole).into_iter().collect() } else { moves }
}

/// The moves that fill a hole without giving anything up; none where that cannot be done.
fn fill(spec: &EngineSpec, members: &[EngineState], hole: LayerRange) -> Vec<Move> {
    let moves = REPAIR_ROOMS.iter().map(|least| repair_with(spec, members, hole, *least));
    moves.into_iter().find(|moves| !moves.is_empty()).unwrap_or_default()
}

fn repair_with(
    spec: &EngineSpec,
    members: &[EngineState],
    hole: LayerRange,
    least: f64,
) -> Vec<Move> {
    let more = |index: usize| -> Layer {
        let Some(kind) = spec.kind(Some(&members[index].kind)) else { return 0 };
        let held = members[index].layers.map_or(0, |(from, to)| to - from);
        layers_at(spec, kind, least).saturating_sub(held)
    };
    let able = |test: &dyn Fn(LayerRange) -> bool| {
        let held = (0..members.len()).filter(|&i| members[i].layers.is_some_and(test));
        held.max_by_key(|&i| more(i)).filter(|&i| more(i) > 0)
    };
    let left = able(&|(_, to)| to == hole.0);
    let right = able(&|(from, _)| from == hole.1);
    let empty = (0..members.len()).filter(|&i| members[i].layers.is_none() && more(i) > 0);
    let takers: Vec<usize> = left.into_iter().chain(empty).chain(right).collect();
    let total: u32 = takers.iter().map(|&i| u32::from(more(i))).sum();
    let width = u32::from(hole.1 - hole.0);
    if total < width {
        return Vec::new();
    }
    let mut moves = Vec::new();
    let (mut from, mut before) = (hole.0, 0);
    for &index in &takers {
        before += u32::from(more(index));
        let to = hole.0 + (width * before / total) as Layer;
        if to > from {
            let held = members[index].layers;
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

/// The last resort: an engine whose layers all have other holders moves onto the hole; of those the
/// one whose layers have most room elsewhere.
fn move_spare(spec: &EngineSpec, members: &[EngineState], hole: LayerRange) -> Option<Move> {
    let spare = |index: usize| -> Option<f64> {
        let (from, to) = members[index].layers?;
        let others = rooms(spec, members, index);
        let held = &others[usize::from(from)..usize::from(to)];
        held.iter().copied().reduce(f64::min).filter(|least| *least > 0.0)
    };
    let spares = (0..members.len()).filter_map(|i| Some((i, spare(i)?)));
    let (index, _) = spares.max_by(|a, b| a.1.total_cmp(&b.1))?;
    let kind = spec.kind(Some(&members[index].kind))?;
    let width = join_width(spec, kind, JOIN_ROOMS[0]);
    let from = hole.0.min(spec.layers - width);
    Some((index, (from, from + width)))
}
