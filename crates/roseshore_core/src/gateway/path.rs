//! Chooses the path of a request through engines that hold ranges of layers.
//!
//! Every layer runs exactly once and in order: a path is a sequence of segments whose layer ranges
//! join from layer 0 to the last. A segment may be any part of the range that an engine holds, so
//! the cheapest path is searched over the boundaries of all ranges. A path stays inside one data
//! centre: activations are large, and links between data centres are shared and expensive.

use crate::prelude::*;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::cmp::Ordering;
use std::net::SocketAddr;

/// Time to pass a token on to the next engine inside a data centre, ms.
pub(super) const HOP_MS: f64 = 0.6;
/// Weight of a full KV cache in an engine's cost, so that nearly full engines are left to requests
/// that have no other. The fourth power of the occupancy keeps the extra cost small up to half
/// full.
const CROWDING_FACTOR: f64 = 12.0;
/// Cost of starting at an engine whose slots are all taken, ms. The first engine of a path holds a
/// slot for the request from its first token to its last. The cost falls with the fourth power of
/// the occupancy, so that an equal engine that holds the first layers too is chosen well before the
/// slots are taken.
const FULL_SLOTS_MS: f64 = 600.0;
/// Cost of each request queued there for a slot, ms: with a few hundred running answers of a few
/// seconds each, about one ends in this time.
const QUEUED_MS: f64 = 16.0;
/// Requests that may queue for a slot. In a longer queue the first events of all requests come late
/// although their predictions do not show it.
pub(super) const MAX_QUEUED: f64 = 10.0;
/// Share of an answer's tokens that its KV cache is planned for.
const ANSWER_SHARE: f64 = 0.6;
/// A path in the own data centre with a utilisation below this is taken without considering others.
const SPILL_UTILISATION: f64 = 0.6;
/// A path in another data centre is taken if the utilisation of the local one is higher by this
/// factor: it costs traffic between data centres, and a network partition would cut it off from the
/// caller.
const REMOTE_FACTOR: f64 = 1.25;
/// Penalty for an engine without room for the whole answer, ms.
const NO_ROOM_MS: f64 = 4_000.0;
/// Penalty for an engine that failed recently, ms; such an engine is the last resort.
const UNHEALTHY_MS: f64 = 60_000.0;
/// Costs vary at random by up to this share, so that hosts with the same data do not all choose the
/// same path.
const JITTER: f64 = 0.1;

/// The segment of a path that one engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// First layer, and one past the last.
    pub layers: (Layer, Layer),
}

/// An engine that could run a segment.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The engine's target.
    pub id: TargetId,
    /// Address that it listens at.
    pub addr: SocketAddr,
    /// Whether it is in the data centre of this host.
    pub local: bool,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// First layer that it holds, and one past the last.
    pub layers: (Layer, Layer),
    /// Time to run a token of the answer through one layer, ms.
    pub decode_ms: f64,
    /// Time to read a token of the prompt through one layer, ms.
    pub prefill_ms: f64,
    /// Requests of all hosts in flight there.
    pub in_flight: f64,
    /// Requests that it serves at the same time as the first engine of their paths.
    pub slots: f64,
    /// Requests that this host may still start there by its share, with those that may queue.
    pub slot_room: f64,
    /// Free KV cache, tokens times layers.
    pub kv_free: f64,
    /// KV cache that this host may still claim by its share, tokens times layers.
    pub kv_room: f64,
    /// KV cache beside the weights of its layers, free or not, tokens times layers.
    pub kv_capacity: f64,
    /// Whether it has not failed recently.
    pub healthy: bool,
}

impl Candidate {
    /// Number of layers that it holds.
    pub(super) fn width(&self) -> f64 {
        f64::from(self.layers.1.saturating_sub(self.layers.0))
    }

    /// Share of the slots that are taken, counting one more request; above 1 when some have to
    /// queue.
    fn slot_utilisation(&self) -> f64 {
        (self.in_flight + 1.0) / self.slots.max(1.0)
    }

    /// Requests that would queue for a slot, counting one more.
    fn queued(&self) -> f64 {
        (self.in_flight + 1.0 - self.slots).max(0.0)
    }

    /// Requests that may start there before the queue for a slot is too long.
    pub(super) fn free_slots(&self) -> f64 {
        self.slots + MAX_QUEUED - self.in_flight
    }

    /// Whether one more request may start there.
    fn takes_start(&self) -> bool {
        self.queued() <= MAX_QUEUED && self.slot_room >= 1.0
    }

    /// Cost of starting a path there, ms.
    fn start_ms(&self) -> f64 {
        let full = if self.takes_start() { 0.0 } else { NO_ROOM_MS };
        FULL_SLOTS_MS * self.slot_utilisation().powi(4) + self.queued() * QUEUED_MS + full
    }
}

/// KV cache that a request needs, tokens: the prompt, and slightly more of the answer than is
/// written on average while it runs.
pub fn kv_tokens(prompt_tokens: f64, answer_tokens: f64) -> f64 {
    prompt_tokens + ANSWER_SHARE * answer_tokens
}

/// What a request asks of its path.
#[derive(Clone, Copy, Debug)]
pub struct PathRequest<'a> {
    /// Layers of the model.
    pub layers: Layer,
    /// Prompt tokens to read.
    pub prompt_tokens: f64,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: f64,
    /// The data centre of this host.
    pub data_centre: &'a str,
    /// Targets that the path must not use.
    pub avoided: &'a [TargetId],
    /// Targets that the path must not start at, since their limit for all hosts is used up.
    /// Requests that reach them through another target do not count towards it.
    pub excluded_first: &'a [TargetId],
    /// The only targets that the path may start at; `None` for any.
    pub allowed_first: Option<&'a [TargetId]>,
}

impl PathRequest<'_> {
    fn may_start(&self, candidate: &Candidate) -> bool {
        let bound = self.allowed_first.is_none_or(|starts| starts.contains(&candidate.id));
        bound && !self.excluded_first.contains(&candidate.id)
    }

    /// KV cache that the request needs, tokens.
    pub fn kv_tokens(&self) -> f64 {
        kv_tokens(self.prompt_tokens, self.answer_tokens)
    }

    /// Whether the engine has free KV cache for so many layers of the request.
    fn fits(&self, candidate: &Candidate, layers: f64) -> bool {
        self.kv_tokens() * layers <= candidate.kv_free.min(candidate.kv_room)
    }
}

/// A chosen path.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// Targets, their addresses and their segments, in order.
    pub hops: Vec<(TargetId, SocketAddr, Hop)>,
    /// Predicted time to the first token, ms.
    pub ttft_ms: f64,
    /// Predicted time between tokens, ms.
    pub token_ms: f64,
    /// Whether every engine has room for the whole answer and none failed recently.
    pub suitable: bool,
    /// Highest share in use of any engine's KV cache, or of the first engine's slots, with this
    /// request counted in.
    pub utilisation: f64,
    /// The target with that share.
    pub bottleneck: TargetId,
    /// The first engine that failed recently; `None` if none did.
    pub unhealthy: Option<TargetId>,
    /// Whether it lies in the data centre of this host.
    pub local: bool,
}

/// The cheapest way found to run all layers up to some boundary.
#[derive(Clone, Copy)]
struct Best {
    cost: f64,
    /// Index of the candidate that runs the last segment.
    candidate: usize,
    /// Layer at which that segment begins.
    from: Layer,
}

/// Chooses the cheapest path, each within one data centre. Another data centre's path is taken when
/// the local one does not exist, is not suitable, or has a utilisation that is higher by
/// `REMOTE_FACTOR`.
pub fn choose(
    candidates: &[Candidate],
    request: &PathRequest<'_>,
    random: &mut SmallRng,
) -> Option<Path> {
    let jitter: Vec<f64> =
        candidates.iter().map(|_| 1.0 + JITTER * random.random::<f64>()).collect();
    let local = path_within(candidates, request, &jitter, |c| c.local);
    if local.as_ref().is_some_and(|path| path.suitable && path.utilisation < SPILL_UTILISATION) {
        return local;
    }
    let mut others: Vec<&str> =
        candidates.iter().filter(|c| !c.local).map(|c| c.data_centre.as_str()).collect();
    others.sort_unstable();
    others.dedup();
    let remote = others
        .into_iter()
        .filter_map(|dc| path_within(candidates, request, &jitter, |c| c.data_centre == dc));
    let order = |p: &Path| {
        let fill = p.utilisation * if p.local { 1.0 } else { REMOTE_FACTOR };
        (!p.suitable, !p.local && !p.suitable, fill)
    };
    let later = |a: &Path, b: &Path| order(a).partial_cmp(&order(b)).unwrap_or(Ordering::Equal);
    local.into_iter().chain(remote).min_by(later)
}

/// The cheapest path through the candidates that are allowed, by dynamic programming over layer
/// boundaries.
fn path_within(
    candidates: &[Candidate],
    request: &PathRequest<'_>,
    jitter: &[f64],
    allowed: impl Fn(&Candidate) -> bool,
) -> Option<Path> {
    let end = usize::from(request.layers);
    let mut boundary = vec![false; end + 1];
    for candidate in candidates.iter().filter(|c| allowed(c)) {
        boundary[usize::from(candidate.layers.0).min(end)] = true;
        boundary[usize::from(candidate.layers.1).min(end)] = true;
    }
    let mut best: Vec<Option<Best>> = vec![None; end + 1];
    for from in 0..end {
        let reached = best[from];
        if from > 0 && reached.is_none() {
            continue;
        }
        let base = reached.map_or(0.0, |b| b.cost);
        for (index, candidate) in candidates.iter().enumerate().filter(|(_, c)| allowed(c)) {
            let (first, last) =
                (usize::from(candidate.layers.0), usize::from(candidate.layers.1).min(end));
            if first > from || last <= from || (from == 0 && !request.may_start(candidate)) {
                continue;
            }
            let hop_ms = if from == 0 { 0.0 } else { HOP_MS };
            for to in from + 1..=last {
                if !boundary[to] {
                    continue;
                }
                let segment = segment_ms(candidate, request, to - from) * jitter[index];
                let start = if from == 0 { candidate.start_ms() } else { 0.0 };
                let cost = base + segment + start + hop_ms * request.answer_tokens;
                if best[to].is_none_or(|b| cost < b.cost) {
                    best[to] = Some(Best { cost, candidate: index, from: from as Layer });
                }
            }
        }
    }
    best[end]?;
    Some(build_path(candidates, request, &best))
}

/// Cost of running so many layers of the request at a candidate, ms.
fn segment_ms(candidate: &Candidate, request: &PathRequest<'_>, layers: usize) -> f64 {
    let layers = layers as f64;
    let work = layers
        * (request.prompt_tokens * candidate.prefill_ms
            + request.answer_tokens * candidate.decode_ms);
    let taken = request.kv_tokens() * layers;
    let full = !request.fits(candidate, layers);
    let share = ((candidate.kv_capacity - candidate.kv_free + taken)
        / candidate.kv_capacity.max(1.0))
    .clamp(0.0, 1.0);
    work * (1.0 + CROWDING_FACTOR * share.powi(4))
        + if full { NO_ROOM_MS } else { 0.0 }
        + if candidate.healthy { 0.0 } else { UNHEALTHY_MS }
}

/// The path that ends at the last layer, followed back through the cheapest ways.
fn build_path(candidates: &[Candidate], request: &PathRequest<'_>, best: &[Option<Best>]) -> Path {
    let mut segments: Vec<(usize, (Layer, Layer))> = Vec::new();
    let mut to = request.layers;
    while let Some(step) = best[usize::from(to)].filter(|_| to > 0) {
        segments.push((step.candidate, (step.from, to)));
        to = step.from;
    }
    segments.reverse();
    let segments = merge_repeats(segments);
    let mut path = Path {
        hops: Vec::new(),
        ttft_ms: 0.0,
        token_ms: 0.0,
        suitable: true,
        utilisation: 0.0,
        bottleneck: TargetId::new(),
        unhealthy: None,
        local: true,
    };
    for (index, layers) in segments {
        let candidate = &candidates[index];
        let width = f64::from(layers.1 - layers.0);
        let hop_ms = if layers.0 == 0 { 0.0 } else { HOP_MS };
        path.token_ms += width * candidate.decode_ms + hop_ms;
        path.ttft_ms +=
            width * (request.prompt_tokens * candidate.prefill_ms + candidate.decode_ms) + hop_ms;
        let taken = request.kv_tokens() * width;
        path.suitable &= request.fits(candidate, width) && candidate.healthy;
        if !candidate.healthy && path.unhealthy.is_none() {
            path.unhealthy = Some(candidate.id.clone());
        }
        let mut fill =
            (candidate.kv_capacity - candidate.kv_free + taken) / candidate.kv_capacity.max(1.0);
        if layers.0 == 0 {
            path.ttft_ms += candidate.queued() * QUEUED_MS;
            path.suitable &= candidate.takes_start();
            fill = fill.max(candidate.slot_utilisation());
        }
        if fill > path.utilisation {
            path.utilisation = fill;
            path.bottleneck.clone_from(&candidate.id);
        }
        path.local &= candidate.local;
        path.hops.push((candidate.id.clone(), candidate.addr, Hop { layers }));
    }
    path
}

/// Merges the segments of an engine that occurs more than once: an engine may occur in a path only
/// once, so it runs everything from its first segment to its last.
fn merge_repeats(segments: Vec<(usize, (Layer, Layer))>) -> Vec<(usize, (Layer, Layer))> {
    let mut merged: Vec<(usize, (Layer, Layer))> = Vec::new();
    for (candidate, layers) in segments {
        if let Some(at) = merged.iter().position(|(c, _)| *c == candidate) {
            merged.truncate(at + 1);
            merged[at].1.1 = layers.1;
        } else {
            merged.push((candidate, layers));
        }
    }
    merged
}
