//! Which layers each engine of a data centre should hold.
//!
//! KV memory binds first: an engine that is filled with layers has no room for requests. So a fresh
//! data centre gets few whole copies of the model, each over engines that together leave every part
//! the same room: the largest number of tokens `t` for which the engines, each holding as many
//! layers as fit beside the cache of `t` tokens, still hold all layers. But every request that runs
//! makes each step longer, most on slow engines, so one copy over all of them may carry less than
//! two over few: of all splits by kind, the one that carries most requests a second is taken.
//!
//! Later, moves are few: a hole is dealt out to its neighbours and to empty engines, so that it is
//! soon filled, and an empty engine that is not needed for that takes the range where the least
//! room is.

mod copies;
mod improve;
pub mod orders;
pub mod pressure;
mod repair;
mod value;

use super::routes::{AcceleratorKind, EngineSpec};
use crate::prelude::*;
use copies::fresh;
use repair::{fill_at_once, repair, retile};

/// Rooms that an engine which joins later may keep, tokens, the widest range first.
const JOIN_ROOMS: [f64; 4] = [35_000.0, 70_000.0, 110_000.0, 160_000.0];

/// A first layer and one past the last.
pub type LayerRange = (Layer, Layer);

/// An engine of the data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// The target.
    pub id: TargetId,
    /// The kind of its accelerator.
    pub kind: String,
    /// The layers it holds or has begun to load.
    pub layers: Option<LayerRange>,
    /// Those of them that can be counted on soon, as [`firm`] says.
    pub assured: Option<LayerRange>,
    /// Those of them that it holds already.
    pub ready: Option<LayerRange>,
}

/// The layers of an order to an engine that holds `held` which can be counted on soon: all of them,
/// unless it has to give others up. Then it begins to load only when the last answer that runs
/// through those is done, which may take as long as an answer, and what it keeps is left.
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

/// An engine and the range it should hold.
pub type Placement = (TargetId, LayerRange);

/// The placements that are wanted and not yet there.
pub fn plan(spec: &EngineSpec, members: &[EngineState]) -> Vec<Placement> {
    if members.iter().all(|m| m.layers.is_none()) {
        return fresh(spec, members);
    }
    let mut known = members.to_vec();
    let mut wanted = Vec::new();
    while let Some(hole) = first_hole(spec, &known) {
        let mut moves = repair(spec, &known, hole);
        if moves.is_empty() {
            moves = retile(spec, &known);
        }
        if moves.is_empty() {
            break;
        }
        for (index, layers) in moves {
            known[index].layers = Some(layers);
            wanted.retain(|(id, _)| *id != known[index].id);
            wanted.push((known[index].id.clone(), layers));
        }
    }
    for (index, layers) in fill_at_once(spec, &known) {
        known[index].layers = Some(layers);
        wanted.push((known[index].id.clone(), layers));
    }
    for index in 0..known.len() {
        if known[index].layers.is_none() {
            let range = thinnest(spec, &known, index);
            known[index].layers = range;
            wanted.extend(range.map(|r| (known[index].id.clone(), r)));
        }
    }
    wanted
}

/// The next step towards a placement that carries more, for engines that need no repair.
pub fn next_improvement(spec: &EngineSpec, members: &[EngineState]) -> Option<Placement> {
    let (index, layers) = improve::improve(spec, members)?;
    Some((members[index].id.clone(), layers))
}

/// Room that engines which fill a hole should keep, tokens, the best first: the least is that of
/// two of the largest requests.
const REPAIR_ROOMS: [f64; 3] = [40_000.0, 18_000.0, 6_000.0];

/// The first run of layers that no engine holds, by what each of them is said to hold.
pub fn first_gap(spec: &EngineSpec, held: impl Iterator<Item = LayerRange>) -> Option<LayerRange> {
    let mut ranges: Vec<LayerRange> = held.collect();
    ranges.sort_unstable();
    let reach = |end, (from, to): LayerRange| if from <= end { to.max(end) } else { end };
    let end = ranges.iter().copied().fold(0, reach);
    let next = ranges.iter().map(|(from, _)| *from).find(|from| *from > end);
    (end < spec.layers).then(|| (end, next.unwrap_or(spec.layers)))
}

/// Whether an engine can hold so many layers and some room beside.
fn fits(spec: &EngineSpec, member: &EngineState, layers: Option<LayerRange>) -> bool {
    let most = spec.kind(Some(&member.kind)).map_or(0, |k| layers_at(spec, k, REPAIR_ROOMS[2]));
    layers.is_none_or(|(from, to)| to - from <= most)
}

/// The place of an engine and the range it would hold.
type Move = (usize, LayerRange);

/// Layers that fit beside the cache of so many tokens.
fn layers_at(spec: &EngineSpec, kind: &AcceleratorKind, tokens: f64) -> Layer {
    let each = spec.layer_mb + tokens * spec.kv_mb();
    ((kind.memory_mb / each) as Layer).min(spec.layers)
}

/// Room of each layer over all holders but one, tokens.
fn rooms(spec: &EngineSpec, members: &[EngineState], but: usize) -> Vec<f64> {
    let mut rooms = vec![0.0; usize::from(spec.layers)];
    for (index, member) in members.iter().enumerate() {
        let Some((from, to)) = member.layers.filter(|_| index != but) else { continue };
        let Some(kind) = spec.kind(Some(&member.kind)) else { continue };
        let room = spec.kv_capacity(kind.memory_mb, to - from).max(1.0);
        let to = usize::from(to).min(rooms.len());
        rooms[usize::from(from)..to].iter_mut().for_each(|r| *r += room);
    }
    rooms
}

/// Layers that an engine which joins later holds when it keeps so much room.
fn join_width(spec: &EngineSpec, kind: &AcceleratorKind, room: f64) -> Layer {
    layers_at(spec, kind, room).max(1).min(spec.layers)
}

/// The range of an engine where the least room is: wide or narrow, whichever leaves the narrowest
/// layer most.
fn thinnest(spec: &EngineSpec, members: &[EngineState], index: usize) -> Option<LayerRange> {
    let kind = spec.kind(Some(&members[index].kind))?;
    let rooms = rooms(spec, members, index);
    let fits = members.iter().enumerate().all(|(at, m)| at == index || fits(spec, m, m.layers));
    let mut best: Option<(f64, LayerRange)> = None;
    for room in JOIN_ROOMS {
        let width = join_width(spec, kind, room);
        let gain = |from: Layer| -> f64 {
            let range = usize::from(from)..usize::from(from + width);
            rooms[range].iter().map(|room| 1.0 / (room + 1.0)).sum()
        };
        let starts = 0..=spec.layers - width;
        let from = starts.max_by(|a, b| gain(*a).total_cmp(&gain(*b)).then(b.cmp(a)))?;
        let range = (from, from + width);
        let added = spec.kv_capacity(kind.memory_mb, width).max(1.0);
        let inside = |layer: usize| (usize::from(range.0)..usize::from(range.1)).contains(&layer);
        let joined = |(layer, room): (usize, &f64)| room + if inside(layer) { added } else { 0.0 };
        let narrowest = rooms.iter().enumerate().map(joined).reduce(f64::min).unwrap_or(0.0);
        let sound = fits && self::fits(spec, &members[index], Some(range));
        let least = if sound { narrowest } else { 0.0 };
        if best.is_none_or(|(most, _)| least > most) {
            best = Some((least, range));
        }
    }
    best.map(|(_, range)| range)
}

/// The first run of layers that nobody holds.
fn first_hole(spec: &EngineSpec, members: &[EngineState]) -> Option<LayerRange> {
    let all = rooms(spec, members, members.len());
    let from = all.iter().position(|room| *room <= 0.0)?;
    let width = all[from..].iter().position(|room| *room > 0.0).unwrap_or(all.len() - from);
    Some((from as Layer, (from + width) as Layer))
}
