//! The engines that hold one model version, as a graph over layer borders.

use super::ChainNeed;
use super::cost::Work;
use super::links::Links;
use super::weighted::Weighted;
use crate::load::{Index, Loads, Row, Zone};
use crate::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Pools kept; more than any fleet's models and adapters in use at a time.
const POOLS: usize = 256;
/// Tokens that are prefilled in about the time of one generated.
const PREFILL_TOKENS: f64 = 10.0;
/// How often targets are weighed anew for draws.
pub(super) const WEIGH: Duration = Duration::from_millis(500);
/// Part of a sample that is learned at once.
const LEARN: f64 = 0.05;

/// Engines that can run the same piece.
#[derive(Clone, Debug)]
pub struct Group {
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// Those of the own data centre.
    pub near: Weighted,
    /// All others, the nearest first.
    pub far: Weighted,
}

/// A graph of pieces from layer 0 to the last.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Pieces that lie on some whole path, the last ones first.
    pub groups: Vec<Group>,
    /// The number of layers.
    pub layers: Layer,
}

/// The pools of one need.
#[derive(Clone, Debug, Default)]
pub struct Tiers {
    /// Engines run all the layers they hold.
    pub exact: Pool,
    /// Engines may begin in the middle of their range; used only when the other leaves a hole.
    pub trimmed: Pool,
    /// How long answers take on idle chains.
    pub life: Life,
    weighed: Option<Instant>,
}

impl Tiers {
    fn weigh(&mut self, loads: &Loads, now: Instant) {
        if self.weighed.is_some_and(|at| now.saturating_duration_since(at) < WEIGH) {
            return;
        }
        self.weighed = Some(now);
        for group in self.exact.groups.iter_mut().chain(&mut self.trimmed.groups) {
            group.near.weigh(loads, now);
            group.far.weigh(loads, now);
        }
    }
}

/// How long answers take on idle chains, learned from those chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Life {
    ratio: Option<f64>,
}

impl Life {
    /// Seconds for an answer; 0 when unknown.
    pub fn predict(&self, work: Work) -> f64 {
        self.ratio.map_or(0.0, |ratio| ratio * units(work))
    }

    /// Learns from the idle time of a chosen chain.
    pub fn learn(&mut self, work: Work, idle: f64) {
        let sample = idle / units(work);
        let old = self.ratio.unwrap_or(sample);
        self.ratio = Some(old + LEARN * (sample - old));
    }
}

/// The size of an answer: a token to generate is about as much as this many to prefill.
fn units(work: Work) -> f64 {
    f64::from(work.prompt) / PREFILL_TOKENS + f64::from(work.expected) + 1.0
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PoolKey {
    model: ModelId,
    version: VersionId,
    adapter: Option<AdapterId>,
    layers: Layer,
}

/// The pools in use, built when first asked for.
#[derive(Debug, Default)]
pub struct Pools {
    tiers: FxHashMap<PoolKey, Tiers>,
}

impl Pools {
    /// Forgets all; some engine's holding changed.
    pub fn clear(&mut self) {
        self.tiers.clear();
    }

    /// The pools for a need.
    pub fn get(&mut self, place: &Place<'_>, need: &ChainNeed<'_>) -> &mut Tiers {
        let key = PoolKey {
            model: need.model.to_owned(),
            version: need.version.to_owned(),
            adapter: need.adapter.map(str::to_owned),
            layers: need.layers,
        };
        if self.tiers.len() >= POOLS && !self.tiers.contains_key(&key) {
            self.tiers.clear();
        }
        let tiers = self.tiers.entry(key).or_insert_with(|| build(place, need));
        tiers.weigh(place.loads, place.now);
        tiers
    }
}

fn build(place: &Place<'_>, need: &ChainNeed<'_>) -> Tiers {
    let loads = place.loads;
    let mut holders: Vec<Index> = loads.declared().filter(|&i| holds(loads.row(i), need)).collect();
    holders.sort_by(|&a, &b| loads.row(a).id.cmp(&loads.row(b).id));
    let range = |i: Index| loads.row(i).engine.as_ref().map(|e| e.layers);
    let exact = holders.iter().filter_map(|&i| Some((range(i)?, i)));
    let mut borders: Vec<Layer> = vec![0];
    borders.extend(holders.iter().filter_map(|&i| Some(range(i)?.1)));
    borders.sort_unstable();
    borders.dedup();
    let trimmed = holders.iter().filter_map(|&i| Some((range(i)?, i))).flat_map(|((a, b), i)| {
        borders.iter().filter(move |&&u| a <= u && u < b).map(move |&u| ((u, b), i))
    });
    Tiers {
        exact: place.graph(need.layers, exact),
        trimmed: place.graph(need.layers, trimmed),
        life: Life::default(),
        weighed: None,
    }
}

/// Whether an engine can run its layers for a need.
pub fn holds(row: &Row, need: &ChainNeed<'_>) -> bool {
    let Some(engine) = &row.engine else { return false };
    engine.model.as_deref() == Some(need.model)
        && engine.version.as_deref() == Some(need.version)
        && need.adapter.is_none_or(|adapter| engine.adapters.contains(adapter))
        && engine.whole
        && !engine.loading
        && !engine.leaving
        && engine.layers.0 < engine.layers.1
        && engine.layers.1 <= need.layers
}

/// From where, and by what, pools are built.
pub struct Place<'a> {
    /// The targets.
    pub loads: &'a Loads,
    /// The delays.
    pub links: &'a Links,
    /// The own data centre.
    pub own: Zone,
    /// The time.
    pub now: Instant,
}

impl Place<'_> {
    fn graph(&self, layers: Layer, pieces: impl Iterator<Item = ((Layer, Layer), Index)>) -> Pool {
        let mut groups: BTreeMap<(Layer, Layer), Vec<Index>> = BTreeMap::new();
        for (piece, row) in pieces {
            groups.entry(piece).or_default().push(row);
        }
        let kept = on_path(layers, &groups);
        let groups = groups.into_iter().rev().filter(|(piece, _)| kept.contains(piece));
        let groups = groups.map(|(piece, rows)| self.group(piece, rows)).collect();
        Pool { groups, layers }
    }

    fn group(&self, layers: (Layer, Layer), rows: Vec<Index>) -> Group {
        let zone = |i: &Index| self.loads.row(*i).zone;
        let (near, mut far): (Vec<_>, Vec<_>) = rows.into_iter().partition(|i| zone(i) == self.own);
        let delay = |i: &Index| self.links.delay(self.own, zone(i));
        far.sort_by(|a, b| delay(a).total_cmp(&delay(b)));
        Group { layers, near: Weighted::new(near), far: Weighted::new(far) }
    }
}

/// The pieces that can be reached from layer 0 and lead to the last one.
fn on_path(layers: Layer, groups: &BTreeMap<(Layer, Layer), Vec<Index>>) -> Vec<(Layer, Layer)> {
    let mut ahead = vec![false; usize::from(layers) + 1];
    ahead[0] = true;
    for &(from, to) in groups.keys() {
        ahead[usize::from(to)] |= ahead[usize::from(from)];
    }
    let mut back = vec![false; usize::from(layers) + 1];
    back[usize::from(layers)] = true;
    for &(from, to) in groups.keys().rev() {
        back[usize::from(from)] |= back[usize::from(to)];
    }
    let on = |&&(from, to): &&(Layer, Layer)| ahead[usize::from(from)] && back[usize::from(to)];
    groups.keys().filter(on).copied().collect()
}
