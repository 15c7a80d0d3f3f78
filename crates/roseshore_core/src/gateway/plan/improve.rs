//! Steps from the placement that is there to one that carries more.
//!
//! After a hole was filled its neighbours are narrow, and a data centre carries no more than its
//! narrowest layer, however much room the others have. Each step changes one engine; a whole copy
//! stands all the while, since layers are given up only where others hold them already, so a border
//! moves in two steps. Every state that steps lead to is a start for the next, so that a loss or an
//! order that went astray on the way costs nothing but a new look.

use super::value::Layout;
use super::{EngineState, JOIN_ROOMS, LayerRange, Move, join_width};
use crate::gateway::routes::EngineSpec;
use crate::prelude::*;

/// A step is worth an order and a load if the data centre then carries more by this factor. A load
/// costs a quarter of a request's worth and a second or two in which the engine has less room.
const GAIN: f64 = 1.08;
/// Room that an engine keeps at least, tokens: that of six of the largest requests.
const LEAST: f64 = 18_000.0;
/// Steps that are looked at, at most, times the engines: 5 ms on one core. A data centre of 30
/// engines looks at every second or third step, and at others when its placement has changed.
const LOOKS: usize = 60_000;
/// Layers with less than this multiple of the narrowest one's room are narrow. A step that touches
/// none of them hardly changes what is carried.
const NARROW: f64 = 2.0;

/// The step that carries most, if one pays.
pub(super) fn improve(spec: &EngineSpec, members: &[EngineState]) -> Option<Move> {
    // A configuration with fewer layers may come before the engines' new ranges.
    let known =
        |m: &EngineState| [m.layers, m.ready].iter().flatten().all(|(_, to)| *to <= spec.layers);
    if !members.iter().all(known) {
        return None;
    }
    let mut layout = Layout::new(spec, members);
    let now = layout.carried();
    if now <= 0.0 {
        return None;
    }
    let steps = steps(spec, members, &layout.narrow(NARROW));
    let stride = (steps.len() * members.len()).div_ceil(LOOKS).max(1);
    let mut best: Option<(f64, Move)> = None;
    for &step in steps.iter().skip(turn(members) % stride).step_by(stride) {
        let value = value_of(&mut layout, members, step);
        if best.is_none_or(|(most, _)| value > most) {
            best = Some((value, step));
        }
    }
    best.filter(|(then, _)| *then >= now * GAIN).map(|(_, step)| step)
}

/// The steps of engines that are under no order which touch a narrow layer and leave none without
/// a holder.
fn steps(spec: &EngineSpec, members: &[EngineState], narrow: &[bool]) -> Vec<Move> {
    let holders = ready_holders(spec, members);
    let cuts = cuts(spec, members);
    let mut all = Vec::new();
    for (index, member) in members.iter().enumerate() {
        let Some(held) = member.layers.filter(|_| member.layers == member.ready) else { continue };
        for range in ranges(spec, member, &cuts) {
            let touched = usize::from(range.0.min(held.0))..usize::from(range.1.max(held.1));
            let useful = narrow[touched].iter().any(|narrow| *narrow);
            if useful && whole_meanwhile(&holders, member, range) {
                all.push((index, range));
            }
        }
    }
    all
}

/// What is carried after a step, or after the best step of another that it allows.
fn value_of(layout: &mut Layout<'_>, members: &[EngineState], (index, range): Move) -> f64 {
    layout.set(index, Some(range));
    let mut best = layout.carried();
    for (other, rest) in follow_ups(members, index, range) {
        layout.set(other, Some(rest));
        best = best.max(layout.carried());
        layout.set(other, members[other].layers);
    }
    layout.set(index, members[index].layers);
    best
}

/// A number that differs from placement to placement.
fn turn(members: &[EngineState]) -> usize {
    let ends = members.iter().filter_map(|m| m.layers);
    ends.map(|(from, to)| usize::from(from) + 3 * usize::from(to)).sum()
}

/// How many engines hold each layer already.
fn ready_holders(spec: &EngineSpec, members: &[EngineState]) -> Vec<u32> {
    let mut holders = vec![0; usize::from(spec.layers)];
    for (from, to) in members.iter().filter_map(|m| m.ready) {
        let to = usize::from(to).min(holders.len());
        holders[usize::from(from)..to].iter_mut().for_each(|count| *count += 1);
    }
    holders
}

/// Whether all that an engine gives up has another holder already.
fn whole_meanwhile(holders: &[u32], member: &EngineState, range: LayerRange) -> bool {
    let Some((from, to)) = member.ready else { return true };
    let given = (from..to).filter(|layer| *layer < range.0 || range.1 <= *layer);
    given.into_iter().all(|layer| holders[usize::from(layer)] > 1)
}

/// Where ranges begin and end.
fn cuts(spec: &EngineSpec, members: &[EngineState]) -> Vec<Layer> {
    let ends = members.iter().filter_map(|m| m.layers).flat_map(|(from, to)| [from, to]);
    let mut cuts: Vec<Layer> = ends.chain([0, spec.layers]).collect();
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// The ranges that are worth a look for an engine: its own with one end moved, and others that
/// begin or end where ranges do.
fn ranges(spec: &EngineSpec, member: &EngineState, cuts: &[Layer]) -> Vec<LayerRange> {
    let Some(kind) = spec.kind(Some(&member.kind)) else { return Vec::new() };
    let Some((from, to)) = member.layers else { return Vec::new() };
    let most = join_width(spec, kind, LEAST);
    let mut all: Vec<LayerRange> = Vec::new();
    all.extend((0..to).map(|begin| (begin, to)));
    all.extend((from + 1..=spec.layers).map(|end| (from, end)));
    for width in JOIN_ROOMS.map(|room| join_width(spec, kind, room)) {
        all.extend(cuts.iter().map(|cut| (*cut, cut + width)));
        all.extend(cuts.iter().map(|cut| (cut.saturating_sub(width), *cut)));
    }
    let fits = |&(a, b): &LayerRange| a < b && b <= spec.layers && b - a <= most;
    all.retain(|range| fits(range) && *range != (from, to));
    all.sort_unstable();
    all.dedup();
    all
}

/// What others could give up once an engine holds its new range.
fn follow_ups(
    members: &[EngineState],
    index: usize,
    (from, to): LayerRange,
) -> impl Iterator<Item = Move> + '_ {
    let others = members.iter().enumerate().filter(move |(other, _)| *other != index);
    others.filter_map(move |(other, member)| {
        let (first, last) = member.layers?;
        if from <= first && first < to && to < last {
            return Some((other, (to, last)));
        }
        (first < from && from < last && last <= to).then_some((other, (first, from)))
    })
}
