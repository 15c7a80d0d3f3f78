//! Whole copies of the model for a data centre whose engines hold nothing yet.

use super::value::{self, Work};
use super::{EngineState, Placement, layers_at};
use crate::gateway::routes::{AcceleratorKind, EngineSpec};
use crate::prelude::*;

/// Room that each copy must leave, tokens; four of the largest requests.
const COPY_LEAST: f64 = 12_000.0;
/// Splits of a group in two that are looked at; with more, engines are dealt by the handful.
const SPLITS: f64 = 4096.0;
/// Steps of the search for the room of a copy.
const SEARCH_STEPS: u32 = 24;

/// Engines that together hold one copy, with their kinds.
pub(super) type Group<'a> = Vec<(&'a EngineState, &'a AcceleratorKind)>;

/// A kind and how many engines of it there are. What a group carries depends on nothing else; looked at engine by
/// engine, a split of hundreds would hold a small host up for seconds, in which it says nothing.
type Count<'a> = (&'a AcceleratorKind, usize);

/// Engines of a kind, and the layers that each of them holds.
struct Run<'a> {
    kind: &'a AcceleratorKind,
    engines: usize,
    layers: Layer,
}

pub(super) fn fresh(spec: &EngineSpec, members: &[EngineState]) -> Vec<Placement> {
    let kind = |m: &'_ EngineState| spec.kinds.iter().find(|k| k.name == m.kind);
    let mut group: Group<'_> = members.iter().filter_map(|m| Some((m, kind(m)?))).collect();
    // Fast kinds first, and one order on every host.
    group.sort_by(|a, b| {
        a.1.step_factor.total_cmp(&b.1.step_factor).then_with(|| a.0.id.cmp(&b.0.id))
    });
    let mut placements = Vec::new();
    for copy in split(spec, group, COPY_LEAST) {
        placements.extend(tile(spec, &copy));
    }
    placements
}

/// Splits engines into copies that each leave `least` tokens of room.
fn split<'a>(spec: &EngineSpec, group: Group<'a>, least: f64) -> Vec<Group<'a>> {
    let Some((a, b)) = best_split(spec, &group, least) else { return vec![group] };
    let mut copies = split(spec, a, least);
    copies.extend(split(spec, b, least));
    copies
}

/// The split in two that serves most, by how many engines of each kind go to the first. The second
/// part need not be a copy: engines that would only make every step longer stay empty at first and
/// then strengthen what is there.
fn best_split<'a>(
    spec: &EngineSpec,
    group: &Group<'a>,
    least: f64,
) -> Option<(Group<'a>, Group<'a>)> {
    let counts = counts(group);
    let most = counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
    let choices = SPLITS.powf(1.0 / counts.len().max(1) as f64).floor();
    let step = ((most as f64 / choices).ceil() as usize).max(1);
    let mut taken = vec![0; counts.len()];
    let mut best = (rate(spec, &counts), None);
    loop {
        let first: Vec<Count<'_>> = counts.iter().zip(&taken).map(|(c, n)| (c.0, *n)).collect();
        let second: Vec<Count<'_>> =
            counts.iter().zip(&taken).map(|(c, n)| (c.0, c.1 - n)).collect();
        let carried = |part: &[Count<'_>]| {
            if room(spec, part) >= least { rate(spec, part) } else { 0.0 }
        };
        let both = carried(&first) + carried(&second);
        if both > best.0 {
            best = (both, Some(taken.clone()));
        }
        if !advance(&mut taken, &counts, step) {
            break;
        }
    }
    best.1.map(|taken| deal(group, &counts, &taken))
}

/// How many engines of each kind a group has, in its order.
fn counts<'a>(group: &Group<'a>) -> Vec<Count<'a>> {
    let mut counts: Vec<Count<'a>> = Vec::new();
    for (_, kind) in group {
        match counts.last_mut() {
            Some((known, count)) if known.name == kind.name => *count += 1,
            _ => counts.push((kind, 1)),
        }
    }
    counts
}

/// Requests a second that a copy can carry.
fn rate(spec: &EngineSpec, counts: &[Count<'_>]) -> f64 {
    let work = runs(spec, counts).into_iter().flat_map(|run| {
        let share = f64::from(run.layers) / f64::from(spec.layers);
        let work =
            Work { share, visits: 1.0, pace: run.kind.step_factor, read: run.kind.prefill_factor };
        std::iter::repeat_n(work, run.engines)
    });
    value::rate(spec, room(spec, counts), 1, work)
}

fn advance(taken: &mut [usize], counts: &[Count<'_>], step: usize) -> bool {
    for (count, (_, most)) in taken.iter_mut().zip(counts) {
        if *count < *most {
            *count = (*count + step).min(*most);
            return true;
        }
        *count = 0;
    }
    false
}

fn deal<'a>(group: &Group<'a>, counts: &[Count<'_>], taken: &[usize]) -> (Group<'a>, Group<'a>) {
    let (mut a, mut b) = (Vec::new(), Vec::new());
    let mut used = vec![0; counts.len()];
    for &(member, kind) in group {
        let at = counts.iter().position(|(known, _)| known.name == kind.name).unwrap_or(0);
        let first = used[at] < taken[at];
        used[at] += 1;
        if first { a.push((member, kind)) } else { b.push((member, kind)) }
    }
    (a, b)
}

/// The tokens for which the engines hold all layers with room to spare; 0 when they cannot.
fn room(spec: &EngineSpec, counts: &[Count<'_>]) -> f64 {
    let whole = |tokens: f64| {
        let held = |(kind, count): &Count<'_>| {
            u32::from(layers_at(spec, kind, tokens)).saturating_mul(*count as u32)
        };
        counts.iter().map(held).sum::<u32>() >= u32::from(spec.layers)
    };
    if !whole(1.0) {
        return 0.0;
    }
    let (mut low, mut high) = (1.0, 4e6);
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if whole(middle) { low = middle } else { high = middle }
    }
    low
}

/// The layers that the engines of one copy hold, in order; surplus is taken from the slowest. None when
/// they cannot hold all.
fn runs<'a>(spec: &EngineSpec, counts: &[Count<'a>]) -> Vec<Run<'a>> {
    let tokens = room(spec, counts);
    let full = |(kind, engines): &Count<'a>| {
        let layers = layers_at(spec, kind, tokens);
        Run { kind, engines: *engines, layers }
    };
    let full: Vec<Run<'a>> = counts.iter().map(full).collect();
    let held: u32 = full.iter().map(|run| u32::from(run.layers) * run.engines as u32).sum();
    if held < u32::from(spec.layers) {
        return Vec::new();
    }
    let mut surplus = held - u32::from(spec.layers);
    let mut cut = Vec::new();
    for Run { kind, engines, layers } in full.into_iter().rev() {
        let each = u32::from(layers).max(1);
        let empty = (surplus / each).min(engines as u32);
        surplus -= empty * u32::from(layers);
        let left = engines - empty as usize;
        let short = surplus.min(if left > 0 { u32::from(layers) } else { 0 });
        surplus -= short;
        cut.push(Run { kind, engines: empty as usize, layers: 0 });
        if short > 0 {
            cut.push(Run { kind, engines: 1, layers: layers - short as Layer });
        }
        let engines = left - usize::from(short > 0);
        cut.push(Run { kind, engines, layers });
    }
    cut.reverse();
    cut.retain(|run| run.engines > 0);
    cut
}

/// Lays the layers over the engines of one copy.
pub(super) fn tile(spec: &EngineSpec, group: &Group<'_>) -> Vec<Placement> {
    let runs = runs(spec, &counts(group));
    let each = runs.iter().flat_map(|run| std::iter::repeat_n(run.layers, run.engines));
    let mut from = 0;
    let mut placements = Vec::new();
    for ((member, _), count) in group.iter().zip(each) {
        if count > 0 {
            placements.push((member.id.clone(), (from, from + count)));
            from += count;
        }
    }
    placements
}
