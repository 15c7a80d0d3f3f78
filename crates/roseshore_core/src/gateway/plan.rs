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

use super::routes::{EngineSpec, Kind};
use crate::prelude::*;

/// Room that each copy must leave, tokens; four of the largest requests.
const COPY_LEAST: f64 = 12_000.0;
/// Part of the room that is used when a copy is as busy as it should be.
const WORKING_FILL: f64 = 0.8;
/// Rooms that an engine which joins later may keep, tokens, the widest range first.
const JOIN_ROOMS: [f64; 4] = [35_000.0, 70_000.0, 110_000.0, 160_000.0];
/// Room that engines which fill a hole should keep, tokens, the best first: the least is that of
/// two of the largest requests.
const REPAIR_ROOMS: [f64; 3] = [40_000.0, 18_000.0, 6_000.0];
/// Below this room of its narrowest layer, tokens, a data centre is worth an order and a load: with
/// 56,000 one of today's refused an eighth of its requests for ten seconds.
const WIDEN_BELOW: f64 = 150_000.0;
/// And only if that room grows by this factor.
const WIDEN_GAIN: f64 = 1.3;
/// Splits of a group in two that are looked at; with more, engines are dealt by the handful.
const SPLITS: f64 = 4096.0;
/// Steps of the search for the room of a copy.
const SEARCH_STEPS: u32 = 24;
/// Handing a token on, ms; as in the choice of paths.
const HOP_MS: f64 = 0.6;

/// An engine of the data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The target.
    pub id: TargetId,
    /// The kind of its accelerator.
    pub kind: String,
    /// The layers it holds or has begun to load.
    pub layers: Option<(Layer, Layer)>,
    /// Those of them that can be counted on soon, as [`firm`] says.
    pub firm: Option<(Layer, Layer)>,
}

/// The layers of an order to an engine that holds `held` which can be counted on soon: all of them,
/// unless it has to give others up. Then it begins to load only when the last answer that runs
/// through those is done, which may take as long as an answer, and what it keeps is left.
pub fn firm(held: Option<(Layer, Layer)>, ordered: (Layer, Layer)) -> Option<(Layer, Layer)> {
    let Some((from, to)) = held else { return Some(ordered) };
    if ordered.0 <= from && to <= ordered.1 {
        return Some(ordered);
    }
    let kept = (from.max(ordered.0), to.min(ordered.1));
    (kept.0 < kept.1).then_some(kept)
}

/// A first layer and one past the last.
pub type Layers = (Layer, Layer);

/// An engine and the range it should hold.
pub type Placement = (TargetId, (Layer, Layer));

/// The placements that are wanted and not yet there.
pub fn plan(spec: &EngineSpec, members: &[Member]) -> Vec<Placement> {
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
    if wanted.is_empty() {
        wanted.extend(widen(spec, &known).map(|(index, layers)| (known[index].id.clone(), layers)));
    }
    wanted
}

/// The first run of layers that no engine holds, by what each of them is said to hold.
pub fn missing(spec: &EngineSpec, held: impl Iterator<Item = (Layer, Layer)>) -> Option<Layers> {
    let mut ranges: Vec<Layers> = held.collect();
    ranges.sort_unstable();
    let reach = |end, (from, to): Layers| if from <= end { to.max(end) } else { end };
    let end = ranges.iter().copied().fold(0, reach);
    let next = ranges.iter().map(|(from, _)| *from).find(|from| *from > end);
    (end < spec.layers).then(|| (end, next.unwrap_or(spec.layers)))
}

/// Moves that fill a hole which only engines that must first give layers up are to fill: an empty
/// one, and its neighbours, begin to load at once.
fn fill_at_once(spec: &EngineSpec, members: &[Member]) -> Vec<Move> {
    let clearing = |m: &Member| m.layers != m.firm;
    let counted = |&index: &usize| !clearing(&members[index]) || members[index].firm.is_some();
    let places: Vec<usize> = (0..members.len()).filter(counted).collect();
    let sure = |&index: &usize| Member { layers: members[index].firm, ..members[index].clone() };
    let sure: Vec<Member> = places.iter().map(sure).collect();
    let Some(hole) = first_hole(spec, &sure) else { return Vec::new() };
    let moves = fill(spec, &sure, hole).into_iter();
    let moves: Vec<Move> = moves.map(|(index, layers)| (places[index], layers)).collect();
    if moves.iter().any(|(index, _)| clearing(&members[*index])) { Vec::new() } else { moves }
}

/// One engine that should hold more, or less, where the room of some layers is far below what it
/// could be: after a hole was filled, its neighbours are narrow. An engine gives up layers only
/// when others hold them already, so a border moves in two steps.
fn widen(spec: &EngineSpec, members: &[Member]) -> Option<Move> {
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

/// The room of the narrowest layer; none when an engine would hold more than it can.
fn least_room(spec: &EngineSpec, members: &[Member]) -> f64 {
    let fits = |m: &Member| {
        let most = spec.kind(Some(&m.kind)).map_or(0, |k| layers_at(spec, k, REPAIR_ROOMS[2]));
        m.layers.is_none_or(|(from, to)| to - from <= most)
    };
    if !members.iter().all(fits) {
        return 0.0;
    }
    let rooms = rooms(spec, members, members.len());
    rooms.iter().copied().reduce(f64::min).unwrap_or(0.0)
}

/// The place of an engine and the range it would hold.
type Move = (usize, (Layer, Layer));
/// A move, and that of the engine which would give the same layers up later.
type Shift = (usize, (Layer, Layer), Option<Move>);

/// The changes around a narrow run of layers that are worth a look.
fn changes(members: &[Member], narrow: (Layer, Layer)) -> Vec<Shift> {
    let held: Vec<(usize, (Layer, Layer))> =
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

/// Engines that together hold one copy, with their kinds.
type Group<'a> = Vec<(&'a Member, &'a Kind)>;

fn fresh(spec: &EngineSpec, members: &[Member]) -> Vec<Placement> {
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

/// Requests a second that a copy can carry. As many run at once as its cache has room for; each of
/// them makes every step longer, so more room is worth less on slow engines.
fn rate(spec: &EngineSpec, group: &Group<'_>) -> f64 {
    let held = spec.prompt + 0.5 * spec.answer;
    let running = WORKING_FILL * room(spec, group) / held.max(1.0);
    let step = spec.step_ms + running * (spec.per_seq_ms + spec.context_ms * held);
    let mut token = 0.0;
    let mut read = 0.0;
    for (id, layers) in tile(spec, group) {
        let Some((_, kind)) = group.iter().find(|(m, _)| m.id == id) else { continue };
        let share = f64::from(layers.1 - layers.0) / f64::from(spec.layers);
        token += share * step * kind.pace + HOP_MS;
        read += share * spec.prompt / spec.read_per_ms * kind.read;
    }
    let life = read + spec.answer * token;
    if life > 0.0 { 1000.0 * running / life } else { 0.0 }
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

/// Layers that fit beside the cache of so many tokens.
fn layers_at(spec: &EngineSpec, kind: &Kind, tokens: f64) -> Layer {
    let each = spec.layer_mb + tokens * spec.token_mb();
    ((kind.size_mb / each) as Layer).min(spec.layers)
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
fn tile(spec: &EngineSpec, group: &Group<'_>) -> Vec<Placement> {
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

/// Room of each layer over all holders but one, tokens.
fn rooms(spec: &EngineSpec, members: &[Member], but: usize) -> Vec<f64> {
    let mut rooms = vec![0.0; usize::from(spec.layers)];
    for (index, member) in members.iter().enumerate() {
        let Some((from, to)) = member.layers.filter(|_| index != but) else { continue };
        let Some(kind) = spec.kind(Some(&member.kind)) else { continue };
        let room = spec.room(kind.size_mb, to - from).max(1.0);
        let to = usize::from(to).min(rooms.len());
        rooms[usize::from(from)..to].iter_mut().for_each(|r| *r += room);
    }
    rooms
}

/// Layers that an engine which joins later holds when it keeps so much room.
fn join_width(spec: &EngineSpec, kind: &Kind, room: f64) -> Layer {
    layers_at(spec, kind, room).max(1).min(spec.layers)
}

/// The range of an engine where the least room is: wide or narrow, whichever leaves the narrowest
/// layer most.
fn thinnest(spec: &EngineSpec, members: &[Member], index: usize) -> Option<(Layer, Layer)> {
    let kind = spec.kind(Some(&members[index].kind))?;
    let rooms = rooms(spec, members, index);
    let mut best: Option<(f64, (Layer, Layer))> = None;
    for room in JOIN_ROOMS {
        let width = join_width(spec, kind, room);
        let gain = |from: Layer| -> f64 {
            let range = usize::from(from)..usize::from(from + width);
            rooms[range].iter().map(|room| 1.0 / (room + 1.0)).sum()
        };
        let starts = 0..=spec.layers - width;
        let from = starts.max_by(|a, b| gain(*a).total_cmp(&gain(*b)).then(b.cmp(a)))?;
        let mut joined = members.to_vec();
        joined[index].layers = Some((from, from + width));
        let least = least_room(spec, &joined);
        if best.is_none_or(|(most, _)| least > most) {
            best = Some((least, (from, from + width)));
        }
    }
    best.map(|(_, range)| range)
}

/// The first run of layers that nobody holds.
fn first_hole(spec: &EngineSpec, members: &[Member]) -> Option<(Layer, Layer)> {
    let all = rooms(spec, members, members.len());
    let from = all.iter().position(|room| *room <= 0.0)?;
    let width = all[from..].iter().position(|room| *room > 0.0).unwrap_or(all.len() - from);
    Some((from as Layer, (from + width) as Layer))
}

/// One copy over all engines in their present order, for a hole that its neighbours cannot fill:
/// every border moves a little. Nothing serves while a hole is there, so nothing is lost by it.
fn retile(spec: &EngineSpec, members: &[Member]) -> Vec<Move> {
    let mut order: Vec<&Member> = members.iter().collect();
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
fn repair(spec: &EngineSpec, members: &[Member], hole: (Layer, Layer)) -> Vec<Move> {
    let moves = fill(spec, members, hole);
    if moves.is_empty() { move_spare(spec, members, hole).into_iter().collect() } else { moves }
}

/// The moves that fill a hole without giving anything up; none where that cannot be done.
fn fill(spec: &EngineSpec, members: &[Member], hole: (Layer, Layer)) -> Vec<Move> {
    let moves = REPAIR_ROOMS.iter().map(|least| repair_with(spec, members, hole, *least));
    moves.into_iter().find(|moves| !moves.is_empty()).unwrap_or_default()
}

fn repair_with(
    spec: &EngineSpec,
    members: &[Member],
    hole: (Layer, Layer),
    least: f64,
) -> Vec<Move> {
    let more = |index: usize| -> Layer {
        let Some(kind) = spec.kind(Some(&members[index].kind)) else { return 0 };
        let held = members[index].layers.map_or(0, |(from, to)| to - from);
        layers_at(spec, kind, least).saturating_sub(held)
    };
    let able = |test: &dyn Fn((Layer, Layer)) -> bool| {
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
fn move_spare(spec: &EngineSpec, members: &[Member], hole: (Layer, Layer)) -> Option<Move> {
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
