//! Engines that hold one model version, as a graph over layer boundaries.

use super::ChainRequest;
use super::cost::Work;
use super::links::LinkDelays;
use super::weighted::WeightedSampler;
use crate::load::{DataCentreIndex, LoadTable, Row, TargetIndex};
use crate::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Maximum number of cached pools; more than the combinations of model, version and adapter that a
/// fleet uses at a time.
const MAX_POOLS: usize = 256;
/// Number of tokens prefilled in about the time of generating one.
const PREFILL_TOKENS: f64 = 10.0;
/// Interval at which the sampling weights of targets are updated.
pub(super) const REWEIGH_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of a new sample in the running mean.
const GAIN: f64 = 0.05;

/// Engines that can run the same layer range.
#[derive(Clone, Debug)]
pub struct RangeGroup {
    /// The layer range, as `first..end`.
    pub layers: (Layer, Layer),
    /// Engines in the own data centre.
    pub near: WeightedSampler,
    /// Engines in other data centres, in order of network delay.
    pub far: WeightedSampler,
}

/// Graph of layer ranges from layer 0 to the last.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Layer ranges that lie on some complete path, the last layers first.
    pub groups: Vec<RangeGroup>,
    /// Number of layers of the model.
    pub layers: Layer,
}

/// The graphs for one kind of request.
#[derive(Clone, Debug, Default)]
pub struct ChainPools {
    /// Every engine runs all the layers that it holds.
    pub exact: Pool,
    /// Engines may start in the middle of their range; used only when the exact graph has no
    /// complete path.
    pub trimmed: Pool,
    /// Predicted time of answers on idle chains.
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

/// Time of an answer on an idle chain, relative to its size, learned from the chains chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleTimeModel {
    ratio: Option<f64>,
}

impl IdleTimeModel {
    /// Predicted seconds of an answer; 0 when unknown.
    pub fn predict(&self, work: Work) -> f64 {
        self.ratio.map_or(0.0, |ratio| ratio * units(work))
    }

    /// Updates the estimate with the idle time of a chosen chain.
    pub fn learn(&mut self, work: Work, idle_secs: f64) {
        let sample = idle_secs / units(work);
        let old = self.ratio.unwrap_or(sample);
        self.ratio = Some(old + GAIN * (sample - old));
    }
}

/// Size of an answer in generated tokens; [`PREFILL_TOKENS`] tokens to prefill count as one.
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

/// The graphs in use, built on first request.
#[derive(Debug, Default)]
pub struct Pools {
    pools: FxHashMap<PoolKey, ChainPools>,
}

impl Pools {
    /// Drops all graphs; called when the layers, model or state of some engine changed.
    pub fn clear(&mut self) {
        self.pools.clear();
    }

    /// The graphs for a request.
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
        if self.pools.len() >= MAX_POOLS && !self.pools.contains_key(&key) {
            self.pools.clear();
        }
        let pools = self.pools.entry(key).or_insert_with(|| build(context, request));
        pools.update_weights(context.loads, context.now);
        pools
    }
}

fn build(context: &PoolContext<'_>, request: &ChainRequest<'_>) -> ChainPools {
    let loads = context.loads;
    let mut engines: Vec<TargetIndex> =
        loads.declared().filter(|&i| can_serve(loads.row(i), request)).collect();
    engines.sort_by(|&a, &b| loads.row(a).id.cmp(&loads.row(b).id));
    let range = |i: TargetIndex| loads.row(i).engine.as_ref().map(|e| e.layers);
    let exact = engines.iter().filter_map(|&i| Some((range(i)?, i)));
    let mut boundaries: Vec<Layer> = vec![0];
    boundaries.extend(engines.iter().filter_map(|&i| Some(range(i)?.1)));
    boundaries.sort_unstable();
    boundaries.dedup();
    let trimmed = engines.iter().filter_map(|&i| Some((range(i)?, i))).flat_map(|((a, b), i)| {
        boundaries.iter().filter(move |&&u| a <= u && u < b).map(move |&u| ((u, b), i))
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

/// Inputs for building pools.
pub struct PoolContext<'a> {
    /// Load of the targets.
    pub loads: &'a LoadTable,
    /// Delays between data centres.
    pub links: &'a LinkDelays,
    /// The own data centre.
    pub local: DataCentreIndex,
    /// Current time.
    pub now: Instant,
}

impl PoolContext<'_> {
    fn graph(
        &self,
        layers: Layer,
        ranges: impl Iterator<Item = ((Layer, Layer), TargetIndex)>,
    ) -> Pool {
        let mut groups: BTreeMap<(Layer, Layer), Vec<TargetIndex>> = BTreeMap::new();
        for (layer_range, row) in ranges {
            groups.entry(layer_range).or_default().push(row);
        }
        let kept = on_path(layers, &groups);
        let groups = groups.into_iter().rev().filter(|(layer_range, _)| kept.contains(layer_range));
        let groups = groups.map(|(layer_range, rows)| self.group(layer_range, rows)).collect();
        Pool { groups, layers }
    }

    fn group(&self, layers: (Layer, Layer), rows: Vec<TargetIndex>) -> RangeGroup {
        let data_centre = |i: &TargetIndex| self.loads.row(*i).data_centre;
        let (near, mut far): (Vec<_>, Vec<_>) =
            rows.into_iter().partition(|i| data_centre(i) == self.local);
        let delay = |i: &TargetIndex| self.links.delay(self.local, data_centre(i));
        far.sort_by(|a, b| delay(a).total_cmp(&delay(b)));
        RangeGroup { layers, near: WeightedSampler::new(near), far: WeightedSampler::new(far) }
    }
}

/// Layer ranges that are reachable from layer 0 and from which the last layer can be reached.
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
