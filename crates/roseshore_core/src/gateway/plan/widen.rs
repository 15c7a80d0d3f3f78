//! Narrow places: layers with far less room than the engines beside them could give.

use super::{Layers, Member, Move, least_room, rooms};
use crate::gateway::routes::EngineSpec;
use crate::prelude::*;

/// Below this room of its narrowest layer, tokens, a data centre is worth an order and a load: with
/// 56,000 one of today's refused an eighth of its requests for ten seconds.
const WIDEN_BELOW: f64 = 150_000.0;
/// And only if that room grows by this factor.
const WIDEN_GAIN: f64 = 1.3;

/// One engine that should hold more, or less, where the room of some layers is far below what it
/// could be: after a hole was filled, its neighbours are narrow. An engine gives up layers only
/// when others hold them already, so a border moves in two steps.
pub(super) fn widen(spec: &EngineSpec, members: &[Member]) -> Option<Move> {
    let rooms = rooms(spec, members, members.len());
    let now = rooms.iter().copied().reduce(f64::min).unwrap_or(0.0);
    if now <= 0.0 || now >= WIDEN_BELOW {
        return None;
    }
    let first = rooms.iter().position(|room| *room <= now * WIDEN_GAIN)?;
    let width = rooms[first..].iter().position(|room| *room > now * WIDEN_GAIN);
    let narrow = (first as Layer, width.map_or(spec.layers, |w| (first + w) as Layer));
    let mut best: Option<(f64, Move)> = None;
    for (index, layers, more) in changes(members, narrow) {
        let mut changed = members.to_vec();
        for (at, range) in std::iter::once((index, layers)).chain(more) {
            changed[at].layers = Some(range);
        }
        let then = least_room(spec, &changed);
        if then >= now * WIDEN_GAIN && best.is_none_or(|(most, _)| then > most) {
            best = Some((then, (index, layers)));
        }
    }
    best.map(|(_, change)| change)
}

/// A move, and that of the engine which would give the same layers up later.
type Shift = (usize, Layers, Option<Move>);

/// The changes around a narrow run of layers that are worth a look.
fn changes(members: &[Member], narrow: Layers) -> Vec<Shift> {
    let held: Vec<(usize, Layers)> =
        members.iter().enumerate().filter_map(|(i, m)| Some((i, m.layers?))).collect();
    let mut all = Vec::new();
    for &(index, (from, to)) in &held {
        let grown = (to + 1..=narrow.1).filter(|_| to >= narrow.0).map(|end| (from, end));
        let grown = grown.chain((narrow.0..from).filter(|_| from <= narrow.1).map(|b| (b, to)));
        for range in grown {
            all.push((index, range, None));
            for &(other, (first, last)) in held.iter().filter(|(other, _)| *other != index) {
                if range.1 > to && first <= to && range.1 < last {
                    all.push((index, range, Some((other, (range.1, last)))));
                }
                if range.0 < from && last >= from && first < range.0 {
                    all.push((index, range, Some((other, (first, range.0)))));
                }
            }
        }
        all.extend(
            (from + 1..to).flat_map(|cut| [(index, (cut, to), None), (index, (from, cut), None)]),
        );
    }
    all
}
