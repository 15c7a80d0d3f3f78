//! The path of a request through engines that hold ranges of layers.
//!
//! Every layer runs exactly once and in order: a path is a row of parts whose ranges join from
//! layer 0 to the last. A part may be any piece of what an engine holds, so the shortest path is
//! searched over the borders of all ranges. A path stays inside one data centre: activations are
//! large, and links between data centres are shared and dear.

use crate::prelude::*;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::cmp::Ordering;
use std::net::SocketAddr;

/// Handing a token on inside a data centre, ms.
pub(super) const HOP_MS: f64 = 0.6;
/// How much dearer a part's time is when its cache is full: what is nearly full is left to those
/// that have nothing else. The fourth power keeps it small up to half full.
const CROWD: f64 = 12.0;
/// The first engine of a path takes so many requests at once, from its first to its last token. Time that it
/// costs to begin at one whose slots are all taken, ms, falling with the fourth power: where an equal
/// engine holds the first layers too, that is taken well before.
const START_MS: f64 = 600.0;
/// What each request costs that waits there for another one to end, ms: of some hundred answers of a few seconds one
/// ends about so often.
const WAIT_MS: f64 = 16.0;
/// Requests that may wait there: more would make the first events of all late, not predicted so.
const MOST_WAITING: f64 = 10.0;
/// Part of an answer that counts as written.
const WRITTEN: f64 = 0.6;
/// A path of the own data centre that is less full than this is taken without looking further.
const SPILL: f64 = 0.6;
/// Another data centre's path is taken when it is less full by this factor: it costs bytes between
/// data centres, and a cut would part the caller from it.
const FAR_FILL: f64 = 1.25;
/// Time that a part without room for the whole answer costs, ms.
const FULL_MS: f64 = 4_000.0;
/// Time that a part costs which failed of late, ms: the last resort.
const UNSOUND_MS: f64 = 60_000.0;
/// Costs vary by this part at random, so that hosts that see the same do not all choose the same.
const JITTER: f64 = 0.1;

/// The piece of a path that one engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
}

/// An engine that could run a piece.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target.
    pub id: TargetId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it is in the own data centre.
    pub local: bool,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// First layer it holds and one past the last.
    pub layers: (Layer, Layer),
    /// Time for a token and layer, ms.
    pub decode_ms: f64,
    /// Time to read a token of a prompt through a layer, ms.
    pub prefill_ms: f64,
    /// Requests in flight there of all hosts.
    pub in_flight: f64,
    /// Requests that it takes at once as the first of a path.
    pub slots: f64,
    /// Free KV cache, tokens times layers.
    pub kv_free: f64,
    /// All KV cache beside its layers, tokens times layers.
    pub kv_capacity: f64,
    /// Whether it has not failed of late.
    pub healthy: bool,
}

impl Candidate {
    /// The share of its slots that are taken with one more request.
    fn started(&self) -> f64 {
        (self.in_flight + 1.0) / self.slots.max(1.0)
    }

    /// Requests that would wait there for another one to end.
    fn waiting(&self) -> f64 {
        (self.in_flight + 1.0 - self.slots).max(0.0)
    }

    /// What it costs to begin there, ms.
    fn start_ms(&self) -> f64 {
        let full = if self.waiting() > MOST_WAITING { FULL_MS } else { 0.0 };
        START_MS * self.started().powi(4) + self.waiting() * WAIT_MS + full
    }
}

/// What a request needs of its path.
#[derive(Clone, Copy, Debug)]
pub struct PathRequest<'a> {
    /// Layers of the model.
    pub layers: Layer,
    /// Tokens to read.
    pub prompt_tokens: f64,
    /// Tokens expected to be written.
    pub answer_tokens: f64,
    /// The own data centre.
    pub data_centre: &'a str,
    /// Targets not to use.
    pub avoided: &'a [TargetId],
    /// Targets that a path may not begin at: what they take from all hosts is spent. What comes through another
    /// target is not counted there.
    pub excluded_first: &'a [TargetId],
    /// The only targets that a path may begin at, if that is bound.
    pub allowed_first: Option<&'a [TargetId]>,
}

impl PathRequest<'_> {
    fn may_start(&self, part: &Candidate) -> bool {
        let bound = self.allowed_first.is_none_or(|starts| starts.contains(&part.id));
        bound && !self.excluded_first.contains(&part.id)
    }

    /// KV cache of the request, tokens: its prompt and as much of its answer as is written on
    /// average while it runs, with a little to spare.
    pub fn kv_tokens(&self) -> f64 {
        self.prompt_tokens + WRITTEN * self.answer_tokens
    }

    /// Whether a part has room for so many layers of the request.
    fn fits(&self, part: &Candidate, layers: f64) -> bool {
        self.kv_tokens() * layers <= part.kv_free
    }
}

/// A chosen path.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Targets, addresses and pieces in order.
    pub hops: Vec<(TargetId, SocketAddr, Hop)>,
    /// Predicted time to the first token, ms.
    pub ttft_ms: f64,
    /// Predicted time between tokens, ms.
    pub token_ms: f64,
    /// Whether every part has room for the whole answer and failed nowhere of late.
    pub suitable: bool,
    /// The fullest part's cache with this request, as a share.
    pub utilisation: f64,
    /// The target whose cache that is.
    pub bottleneck: TargetId,
    /// Whether it lies in the own data centre.
    pub local: bool,
}

#[derive(Clone, Copy)]
struct Best {
    cost: f64,
    part: usize,
    from: Layer,
}

/// Chooses the path of least cost: each lies inside one data centre, and another data centre's is
/// taken when the own has none, has no room, or is that much more crowded.
pub fn choose(parts: &[Candidate], need: &PathRequest<'_>, random: &mut SmallRng) -> Option<Path> {
    let jitter: Vec<f64> = parts.iter().map(|_| 1.0 + JITTER * random.random::<f64>()).collect();
    let near = within(parts, need, &jitter, |p| p.local);
    if near.as_ref().is_some_and(|path| path.suitable && path.utilisation < SPILL) {
        return near;
    }
    let mut others: Vec<&str> =
        parts.iter().filter(|p| !p.local).map(|p| p.data_centre.as_str()).collect();
    others.sort_unstable();
    others.dedup();
    let far =
        others.into_iter().filter_map(|dc| within(parts, need, &jitter, |p| p.data_centre == dc));
    let order = |p: &Path| {
        let fill = p.utilisation * if p.local { 1.0 } else { FAR_FILL };
        (!p.suitable, !p.local && !p.suitable, fill)
    };
    let later = |a: &Path, b: &Path| order(a).partial_cmp(&order(b)).unwrap_or(Ordering::Equal);
    near.into_iter().chain(far).min_by(later)
}

fn within(
    parts: &[Candidate],
    need: &PathRequest<'_>,
    jitter: &[f64],
    allowed: impl Fn(&Candidate) -> bool,
) -> Option<Path> {
    let end = usize::from(need.layers);
    let mut border = vec![false; end + 1];
    for part in parts.iter().filter(|p| allowed(p)) {
        border[usize::from(part.layers.0).min(end)] = true;
        border[usize::from(part.layers.1).min(end)] = true;
    }
    let mut best: Vec<Option<Best>> = vec![None; end + 1];
    for from in 0..end {
        let reached = best[from];
        if from > 0 && reached.is_none() {
            continue;
        }
        let base = reached.map_or(0.0, |b| b.cost);
        for (index, part) in parts.iter().enumerate().filter(|(_, p)| allowed(p)) {
            let (first, last) = (usize::from(part.layers.0), usize::from(part.layers.1).min(end));
            if first > from || last <= from || (from == 0 && !need.may_start(part)) {
                continue;
            }
            let joint = if from == 0 { 0.0 } else { HOP_MS };
            for to in from + 1..=last {
                if !border[to] {
                    continue;
                }
                let piece = piece_ms(part, need, to - from) * jitter[index];
                let start = if from == 0 { part.start_ms() } else { 0.0 };
                let cost = base + piece + start + joint * need.answer_tokens;
                if best[to].is_none_or(|b| cost < b.cost) {
                    best[to] = Some(Best { cost, part: index, from: from as Layer });
                }
            }
        }
    }
    best[end]?;
    Some(unroll(parts, need, &best))
}

fn piece_ms(part: &Candidate, need: &PathRequest<'_>, layers: usize) -> f64 {
    let layers = layers as f64;
    let work =
        layers * (need.prompt_tokens * part.prefill_ms + need.answer_tokens * part.decode_ms);
    let taken = need.kv_tokens() * layers;
    let full = !need.fits(part, layers);
    let share =
        ((part.kv_capacity - part.kv_free + taken) / part.kv_capacity.max(1.0)).clamp(0.0, 1.0);
    work * (1.0 + CROWD * share.powi(4))
        + if full { FULL_MS } else { 0.0 }
        + if part.healthy { 0.0 } else { UNSOUND_MS }
}

fn unroll(parts: &[Candidate], need: &PathRequest<'_>, best: &[Option<Best>]) -> Path {
    let mut pieces: Vec<(usize, (Layer, Layer))> = Vec::new();
    let mut to = need.layers;
    while let Some(step) = best[usize::from(to)].filter(|_| to > 0) {
        pieces.push((step.part, (step.from, to)));
        to = step.from;
    }
    pieces.reverse();
    let pieces = join_repeats(pieces);
    let mut path = Path {
        hops: Vec::new(),
        ttft_ms: 0.0,
        token_ms: 0.0,
        suitable: true,
        utilisation: 0.0,
        bottleneck: TargetId::new(),
        local: true,
    };
    for (index, layers) in pieces {
        let part = &parts[index];
        let width = f64::from(layers.1 - layers.0);
        let joint = if layers.0 == 0 { 0.0 } else { HOP_MS };
        path.token_ms += width * part.decode_ms + joint;
        path.ttft_ms += width * (need.prompt_tokens * part.prefill_ms + part.decode_ms) + joint;
        let taken = need.kv_tokens() * width;
        path.suitable &= need.fits(part, width) && part.healthy;
        let mut fill = (part.kv_capacity - part.kv_free + taken) / part.kv_capacity.max(1.0);
        if layers.0 == 0 {
            path.ttft_ms += part.waiting() * WAIT_MS;
            path.suitable &= part.waiting() <= MOST_WAITING;
            fill = fill.max(part.started());
        }
        if fill > path.utilisation {
            path.utilisation = fill;
            path.bottleneck.clone_from(&part.id);
        }
        path.local &= part.local;
        path.hops.push((part.id.clone(), part.addr, Hop { layers }));
    }
    path
}

/// An engine may stand in a path only once: it runs everything between its first and last piece.
fn join_repeats(pieces: Vec<(usize, (Layer, Layer))>) -> Vec<(usize, (Layer, Layer))> {
    let mut joined: Vec<(usize, (Layer, Layer))> = Vec::new();
    for (part, layers) in pieces {
        if let Some(at) = joined.iter().position(|(p, _)| *p == part) {
            joined.truncate(at + 1);
            joined[at].1.1 = layers.1;
        } else {
            joined.push((part, layers));
        }
    }
    joined
}
