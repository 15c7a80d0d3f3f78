//! Whole copies of the model for a data centre whose engines hold nothing yet.

use super::value::{self, Work};
use super::{Member, Placement, layers_at};
use crate::gateway::routes::{EngineSpec, Kind};
use crate::prelude::*;

/// Room that each copy must leave, tokens; four of the largest requests.
const COPY_LEAST: f64 = 12_000.0;
/// Splits of a group in two that are looked at; with more, engines are dealt by the handful.
const SPLITS: f64 = 4096.0;
/// Steps of the search for the room of a copy.
const SEARCH_STEPS: u32 = 24;

/// Engines that together hold one copy, with their kinds.
pub(super) type Group<'a> = Vec<(&'a Member, &'a Kind)>;

pub(super) fn fresh(spec: &EngineSpec, members: &[Member]) -> Vec<Placement> {
    let kind = |m: &'_ Member| spec.kinds.iter().find(|k| k.name == m.kind);
    let mut group: Group<'_> = members.iter().filter_map(|m| Some((m, kind(m)?))).collect();
    // Fast kinds first, and one order on every host.
    group.sort_by(|a, b| a.1.pace.total_cmp(&b.1.pace).then_with(|| a.0.id.cmp(&b.0.id)));
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
    let mut counts: Vec<(&str, usize)> = Vec::new();
    for (_, kind) in group {
        match counts.last_mut() {
            Some((name, count)) if *name == kind.name => *count += 1,
            _ => counts.push((&kind.name, 1)),
        }
    }
    let most = counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
    let choices = SPLITS.powf(1.0 / counts.len().max(1) as f64).floor();
    let step = ((most as f64 / choices).ceil() as usize).max(1);
    let mut taken = vec![0; counts.len()];
    let mut best = (rate(spec, group), None);
    loop {
        let (a, b) = deal(group, &counts, &taken);
        let carried = |part: &Group<'_>| {
            if room(spec, part) >= least { rate(spec, part) } else { 0.0 }
        };
        let both = carried(&a) + carried(&b);
        if both > best.0 {
            best = (both, Some(taken.clone()));
        }
        if !advance(&mut taken, &counts, step) {
            break;
        }
    }
    best.1.map(|taken| deal(group, &counts, &taken))
}

/// Requests a second that a copy can carry.
fn rate(spec: &EngineSpec, group: &Group<'_>) -> f64 {
    let tiles = tile(spec, group);
    let work = tiles.iter().filter_map(|(id, layers)| {
        let (_, kind) = group.iter().find(|(m, _)| m.id == *id)?;
        let share = f64::from(layers.1 - layers.0) / f64::from(spec.layers);
        Some(Work { share, visits: 1.0, pace: kind.pace, read: kind.read })
    });
    value::rate(spec, room(spec, group), work)
}

fn advance(taken: &mut [usize], counts: &[(&str, usize)], step: usize) -> bool {
    for (count, (_, most)) in taken.iter_mut().zip(counts) {
        if *count < *most {
            *count = (*count + step).min(*most);
            return true;
        }
        *count = 0;
    }
    false
}

fn deal<'a>(
    group: &Group<'a>,
    counts: &[(&str, usize)],
    taken: &[usize],
) -> (Group<'a>, Group<'a>) {
    let (mut a, mut b) = (Vec::new(), Vec::new());
    let mut used = vec![0; counts.len()];
    for &(member, kind) in group {
        let at = counts.iter().position(|(name, _)| *name == kind.name).unwrap_or(0);
        let first = used[at] < taken[at];
        used[at] += 1;
        if first { a.push((member, kind)) } else { b.push((member, kind)) }
    }
    (a, b)
}

/// The tokens for which the engines hold all layers with room to spare; 0 when they cannot.
fn room(spec: &EngineSpec, group: &Group<'_>) -> f64 {
    let whole = |tokens: f64| {
        let held: u32 = group.iter().map(|(_, k)| u32::from(layers_at(spec, k, tokens))).sum();
        held >= u32::from(spec.layers)
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

/// Lays the layers over the engines of one copy; surplus is taken from the slowest.
pub(super) fn tile(spec: &EngineSpec, group: &Group<'_>) -> Vec<Placement> {
    let tokens = room(spec, group);
    let mut counts: Vec<Layer> =
        group.iter().map(|(_, kind)| layers_at(spec, kind, tokens)).collect();
    let held: u32 = counts.iter().map(|c| u32::from(*c)).sum();
    if held < u32::from(spec.layers) {
        return Vec::new();
    }
    let mut surplus = held - u32::from(spec.layers);
    while surplus > 0 {
        let Some(slowest) = (0..group.len()).rev().find(|&i| counts[i] > 0) else { break };
        let cut = surplus.min(u32::from(counts[slowest]));
        counts[slowest] -= cut as Layer;
        surplus -= cut;
    }
    let mut from = 0;
    let mut placements = Vec::new();
    for ((member, _), count) in group.iter().zip(counts) {
        if count > 0 {
            placements.push((member.id.clone(), (from, from + count)));
            from += count;
        }
    }
    placements
}
