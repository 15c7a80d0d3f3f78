//! Complete copies of the model for a data centre whose engines hold nothing yet.

use super::value::{self, Work};
use super::{EngineState, Placement, max_layers};
use crate::gateway::routes::{AcceleratorKind, EngineSpec};
use crate::prelude::*;

/// KV capacity that each copy must have, tokens: the cache of four of the largest requests.
const MIN_COPY_CAPACITY: f64 = 12_000.0;
/// Splits of a group in two that are evaluated. Where there are more, the numbers of engines vary
/// in larger steps.
const MAX_SPLITS: f64 = 4096.0;
/// Steps of the binary search for the KV capacity of a copy.
const SEARCH_STEPS: u32 = 24;

/// Engines that together hold one copy, and their kinds.
pub(super) type Group<'a> = Vec<(&'a EngineState, &'a AcceleratorKind)>;

/// A kind and the number of its engines. The throughput of a group depends on nothing else.
/// Evaluating a split of hundreds of engines one by one would block a small host for seconds, in
/// which it sends no heartbeats.
type KindCount<'a> = (&'a AcceleratorKind, usize);

/// Engines of one kind that hold the same number of layers each.
struct Allocation<'a> {
    kind: &'a AcceleratorKind,
    engines: usize,
    layers: Layer,
}

/// The placement for engines that hold nothing yet.
pub(super) fn initial_placement(spec: &EngineSpec, engines: &[EngineState]) -> Vec<Placement> {
    let kind = |e: &'_ EngineState| spec.kinds.iter().find(|k| k.name == e.kind);
    let mut group: Group<'_> = engines.iter().filter_map(|e| Some((e, kind(e)?))).collect();
    // Fast kinds first, and the same order on every host.
    group.sort_by(|a, b| {
        a.1.step_factor.total_cmp(&b.1.step_factor).then_with(|| a.0.id.cmp(&b.0.id))
    });
    let mut placements = Vec::new();
    for copy in split(spec, group, MIN_COPY_CAPACITY) {
        placements.extend(tile(spec, &copy));
    }
    placements
}

/// Splits engines into copies that each have a KV capacity of at least `min_capacity` tokens.
fn split<'a>(spec: &EngineSpec, group: Group<'a>, min_capacity: f64) -> Vec<Group<'a>> {
    let Some((a, b)) = best_split(spec, &group, min_capacity) else { return vec![group] };
    let mut copies = split(spec, a, min_capacity);
    copies.extend(split(spec, b, min_capacity));
    copies
}

/// The split in two with the highest throughput, by the number of engines of each kind in the first
/// part; `None` if the undivided group is better. The second part need not be a copy: engines that
/// would only make every step longer stay empty at first, and are added to the copies later.
fn best_split<'a>(
    spec: &EngineSpec,
    group: &Group<'a>,
    min_capacity: f64,
) -> Option<(Group<'a>, Group<'a>)> {
    let counts = count_kinds(group);
    let most = counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
    let choices = MAX_SPLITS.powf(1.0 / counts.len().max(1) as f64).floor();
    let step = ((most as f64 / choices).ceil() as usize).max(1);
    let mut chosen = vec![0; counts.len()];
    let mut best = (throughput(spec, &counts), None);
    loop {
        let first: Vec<KindCount<'_>> =
            counts.iter().zip(&chosen).map(|(c, n)| (c.0, *n)).collect();
        let second: Vec<KindCount<'_>> =
            counts.iter().zip(&chosen).map(|(c, n)| (c.0, c.1 - n)).collect();
        let part_throughput = |part: &[KindCount<'_>]| {
            if copy_capacity(spec, part) >= min_capacity { throughput(spec, part) } else { 0.0 }
        };
        let total = part_throughput(&first) + part_throughput(&second);
        if total > best.0 {
            best = (total, Some(chosen.clone()));
        }
        if !advance(&mut chosen, &counts, step) {
            break;
        }
    }
    best.1.map(|chosen| partition(group, &counts, &chosen))
}

/// The number of engines of each kind in a group, in its order.
fn count_kinds<'a>(group: &Group<'a>) -> Vec<KindCount<'a>> {
    let mut counts: Vec<KindCount<'a>> = Vec::new();
    for (_, kind) in group {
        match counts.last_mut() {
            Some((known, count)) if known.name == kind.name => *count += 1,
            _ => counts.push((kind, 1)),
        }
    }
    counts
}

/// Requests a second that a copy can serve.
fn throughput(spec: &EngineSpec, counts: &[KindCount<'_>]) -> f64 {
    let work = allocate(spec, counts).into_iter().flat_map(|allocation| {
        let share = f64::from(allocation.layers) / f64::from(spec.layers);
        let work = Work {
            share,
            visits: 1.0,
            step_factor: allocation.kind.step_factor,
            prefill_factor: allocation.kind.prefill_factor,
        };
        std::iter::repeat_n(work, allocation.engines)
    });
    value::throughput(spec, copy_capacity(spec, counts), 1, work)
}

/// Advances to the next combination of counts, like a mixed-radix counter; false after the last.
fn advance(chosen: &mut [usize], counts: &[KindCount<'_>], step: usize) -> bool {
    for (count, (_, most)) in chosen.iter_mut().zip(counts) {
        if *count < *most {
            *count = (*count + step).min(*most);
            return true;
        }
        *count = 0;
    }
    false
}

/// Divides a group into the chosen number of engines of each kind, and the rest.
fn partition<'a>(
    group: &Group<'a>,
    counts: &[KindCount<'_>],
    chosen: &[usize],
) -> (Group<'a>, Group<'a>) {
    let (mut a, mut b) = (Vec::new(), Vec::new());
    let mut used = vec![0; counts.len()];
    for &(engine, kind) in group {
        let at = counts.iter().position(|(known, _)| known.name == kind.name).unwrap_or(0);
        let first = used[at] < chosen[at];
        used[at] += 1;
        if first { a.push((engine, kind)) } else { b.push((engine, kind)) }
    }
    (a, b)
}

/// KV capacity of a copy, tokens: the largest for which the engines still hold all layers beside
/// it; 0 if they cannot hold all layers.
fn copy_capacity(spec: &EngineSpec, counts: &[KindCount<'_>]) -> f64 {
    let holds_all = |tokens: f64| {
        let held = |(kind, count): &KindCount<'_>| {
            u32::from(max_layers(spec, kind, tokens)).saturating_mul(*count as u32)
        };
        counts.iter().map(held).sum::<u32>() >= u32::from(spec.layers)
    };
    if !holds_all(1.0) {
        return 0.0;
    }
    let (mut low, mut high) = (1.0, 4e6);
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if holds_all(middle) { low = middle } else { high = middle }
    }
    low
}

/// The number of layers that the engines of one copy hold, in order. Surplus layers are taken from
/// the slowest engines. Empty if the engines cannot hold all layers.
fn allocate<'a>(spec: &EngineSpec, counts: &[KindCount<'a>]) -> Vec<Allocation<'a>> {
    let tokens = copy_capacity(spec, counts);
    let full = |(kind, engines): &KindCount<'a>| {
        let layers = max_layers(spec, kind, tokens);
        Allocation { kind, engines: *engines, layers }
    };
    let full: Vec<Allocation<'a>> = counts.iter().map(full).collect();
    let held: u32 = full
        .iter()
        .map(|allocation| u32::from(allocation.layers) * allocation.engines as u32)
        .sum();
    if held < u32::from(spec.layers) {
        return Vec::new();
    }
    let mut surplus = held - u32::from(spec.layers);
    let mut reduced = Vec::new();
    for Allocation { kind, engines, layers } in full.into_iter().rev() {
        let each = u32::from(layers).max(1);
        let empty = (surplus / each).min(engines as u32);
        surplus -= empty * u32::from(layers);
        let left = engines - empty as usize;
        let short = surplus.min(if left > 0 { u32::from(layers) } else { 0 });
        surplus -= short;
        reduced.push(Allocation { kind, engines: empty as usize, layers: 0 });
        if short > 0 {
            reduced.push(Allocation { kind, engines: 1, layers: layers - short as Layer });
        }
        let engines = left - usize::from(short > 0);
        reduced.push(Allocation { kind, engines, layers });
    }
    reduced.reverse();
    reduced.retain(|allocation| allocation.engines > 0);
    reduced
}

/// Assigns the layers of one copy to its engines, in order.
pub(super) fn tile(spec: &EngineSpec, group: &Group<'_>) -> Vec<Placement> {
    let allocations = allocate(spec, &count_kinds(group));
    let each = allocations
        .iter()
        .flat_map(|allocation| std::iter::repeat_n(allocation.layers, allocation.engines));
    let mut from = 0;
    let mut placements = Vec::new();
    for ((engine, _), count) in group.iter().zip(each) {
        if count > 0 {
            placements.push((engine.id.clone(), (from, from + count)));
            from += count;
        }
    }
    placements
}
