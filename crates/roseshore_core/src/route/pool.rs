//! The engines that hold one model version, as a graph over layer borders.

use super::ChainRequest;
use super::cost::Work;
use super::links::LinkDelays;
use super::weighted::WeightedSampler;
use crate::load::{DataCentreIndex, LoadTable, Row, TargetIndex};
use crate::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Pools kept; more than any fleet's models and adapters in use at a time.
const MAX_POOLS: usize = 256;
/// Tokens that are prefilled in about the time of one generated.
const PREFILL_TOKENS: f64 = 10.0;
/// How often targets are weights_updated anew for draws.
pub(super) const REWEIGH_INTERVAL: Duration = Duration::from_millis(500);
/// Part of a sample that is learned at once.
const LEARN: f64 = 0.05;

/// Engines that can run the same piece.
#[derive(Clone, Debug)]
pub struct PieceGroup {
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// Those of the own data centre.
    pub near: WeightedSampler,
    /// All others, the nearest first.
    pub far: WeightedSampler,
}

/// A graph of pieces from layer 0 to the last.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Pieces that lie on some whole path, the last ones first.
    pub groups: Vec<PieceGroup>,
    /// The number of layers.
    pub layers: Layer,
}

/// The pools of one request.
#[derive(Clone, Debug, Default)]
pub struct ChainPools {
    /// Engines run all the layers they hold.
    pub exact: Pool,
    /// Engines may begin in the middle of their range; used only when the other leaves a hole.
    pub trimmed: Pool,
    /// How long answers take on idle chains.
    pub idle_time: IdleTimeModel,
    weights_updated: Option<Instant>,
}

impl ChainPools {
    fn update_weights(&mut self, loads: &LoadTable, now: Instant) {
        if self
            .weights_updated
            .is_some_and(|at| now.saturating_duration_since(at) < REWEIGH_INTERVAL)
        {
            return;
        }
        self.weights_updated = Some(now);
        for group in self.exact.groups.iter_mut().chain(&mut self.trimmed.groups) {
            group.near.update_weights(loads, now);
            group.far.update_weights(loads, now);
        }
    }
}

/// How long answers take on idle chains, learned from those chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleTimeModel {
    ratio: Option<f64>,
}

impl IdleTimeModel {
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
    tiers: FxHashMap<PoolKey, ChainPools>,
}

impl Pools {
    /// Forgets all; some engine's holding changed.
    pub fn clear(&mut self) {
        self.tiers.clear();
    }

    /// The pools for a request.
    pub fn get(
        &mut self,
        context: &PoolContext<'_>,
        request: &ChainRequest<'_>,
    ) -> &mut ChainPools {
        let key = PoolKey {
            model: request.model.to_owned(),
            version: request.version.to_owned(),
            adapter: request.adapter.map(str::to_owned),
            layers: request.layers,
        };
        if self.tiers.len() >= MAX_POOLS && !self.tiers.contains_key(&key) {
            self.tiers.clear();
        }
        let tiers = self.tiers.entry(key).or_insert_with(|| build(context, request));
        tiers.update_weights(context.loads, context.now);
        tiers
    }
}

fn build(context: &PoolContext<'_>, request: &ChainRequest<'_>) -> ChainPools {
    let loads = context.loads;
    let mut holders: Vec<TargetIndex> =
        loads.declared().filter(|&i| can_serve(loads.row(i), request)).collect();
    holders.sort_by(|&a, &b| loads.row(a).id.cmp(&loads.row(b).id));
    let range = |i: TargetIndex| loads.row(i).engine.as_ref().map(|e| e.layers);
    let exact = holders.iter().filter_map(|&i| Some((range(i)?, i)));
    let mut borders: Vec<Layer> = vec![0];
    borders.extend(holders.iter().filter_map(|&i| Some(range(i)?.1)));
    borders.sort_unstable();
    borders.dedup();
    let trimmed = holders.iter().filter_map(|&i| Some((range(i)?, i))).flat_map(|((a, b), i)| {
        borders.iter().filter(move |&&u| a <= u && u < b).map(move |&u| ((u, b), i))
    });
    ChainPools {
        exact: context.graph(request.layers, exact),
        trimmed: context.graph(request.layers, trimmed),
        idle_time: IdleTimeModel::default(),
        weights_updated: None,
    }
}

/// Whether an engine can run its layers for a request.
pub fn can_serve(row: &Row, request: &ChainRequest<'_>) -> bool {
    let Some(engine) = &row.engine else { return false };
    engine.model.as_deref() == Some(request.model)
        && engine.version.as_deref() == Some(request.version)
        && request.adapter.is_none_or(|adapter| engine.adapters.contains(adapter))
        && engine.both_phases
        && !engine.loading
        && !engine.draining
        && engine.layers.0 < engine.layers.1
        && engine.layers.1 <= request.layers
}

/// From where, and by what, pools are built.
pub struct PoolContext<'a> {
    /// The targets.
    pub loads: &'a LoadTable,
    /// The delays.
    pub links: &'a LinkDelays,
    /// The own data centre.
    pub own: DataCentreIndex,
    /// The time.
    pub now: Instant,
}

impl PoolContext<'_> {
    fn graph(
        &self,
        layers: Layer,
        pieces: impl Iterator<Item = ((Layer, Layer), TargetIndex)>,
    ) -> Pool {
        let mut groups: BTreeMap<(Layer, Layer), Vec<TargetIndex>> = BTreeMap::new();
        for (piece, row) in pieces {
            groups.entry(piece).or_default().push(row);
        }
        let kept = on_path(layers, &groups);
        let groups = groups.into_iter().rev().filter(|(piece, _)| kept.contains(piece));
        let groups = groups.map(|(piece, rows)| self.group(piece, rows)).collect();
        Pool { groups, layers }
    }

    fn group(&self, layers: (Layer, Layer), rows: Vec<TargetIndex>) -> PieceGroup {
        let data_centre = |i: &TargetIndex| self.loads.row(*i).data_centre;
        let (near, mut far): (Vec<_>, Vec<_>) =
            rows.into_iter().partition(|i| data_centre(i) == self.own);
        let delay = |i: &TargetIndex| self.links.delay(self.own, data_centre(i));
        far.sort_by(|a, b| delay(a).total_cmp(&delay(b)));
        PieceGroup { layers, near: WeightedSampler::new(near), far: WeightedSampler::new(far) }
    }
}

/// The pieces that can be reached from layer 0 and lead to the last one.
fn on_path(
    layers: Layer,
    groups: &BTreeMap<(Layer, Layer), Vec<TargetIndex>>,
) -> Vec<(Layer, Layer)> {
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
