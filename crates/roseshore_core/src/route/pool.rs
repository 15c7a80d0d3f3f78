//! The engines that hold one model version, as a graph over layer borders.

use super::ChainNeed;
use super::links::Links;
use crate::load::{Index, Loads, Row, Zone};
use crate::prelude::*;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Pools kept; more than any fleet's models and adapters in use at a time.
const POOLS: usize = 256;

/// Engines that can run the same piece.
#[derive(Clone, Debug)]
pub struct Group {
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// Those of the own data centre.
    pub near: Vec<Index>,
    /// All others, the nearest first.
    pub far: Vec<Index>,
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
    pub fn get(&mut self, loads: &Loads, links: &Links, own: Zone, need: &ChainNeed<'_>) -> &Tiers {
        let key = PoolKey {
            model: need.model.to_owned(),
            version: need.version.to_owned(),
            adapter: need.adapter.map(str::to_owned),
            layers: need.layers,
        };
        if self.tiers.len() >= POOLS && !self.tiers.contains_key(&key) {
            self.tiers.clear();
        }
        self.tiers.entry(key).or_insert_with(|| build(loads, links, own, need))
    }
}

fn build(loads: &Loads, links: &Links, own: Zone, need: &ChainNeed<'_>) -> Tiers {
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
    let place = Place { loads, links, own, layers: need.layers };
    Tiers { exact: place.graph(exact), trimmed: place.graph(trimmed) }
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

struct Place<'a> {
    loads: &'a Loads,
    links: &'a Links,
    own: Zone,
    layers: Layer,
}

impl Place<'_> {
    fn graph(&self, pieces: impl Iterator<Item = ((Layer, Layer), Index)>) -> Pool {
        let mut groups: BTreeMap<(Layer, Layer), Vec<Index>> = BTreeMap::new();
        for (layers, row) in pieces {
            groups.entry(layers).or_default().push(row);
        }
        let kept = self.on_path(&groups);
        let groups = groups.into_iter().rev().filter(|(layers, _)| kept.contains(layers));
        let groups = groups.map(|(layers, rows)| self.group(layers, rows)).collect();
        Pool { groups, layers: self.layers }
    }

    /// The pieces that can be reached from layer 0 and lead to the last one.
    fn on_path(&self, groups: &BTreeMap<(Layer, Layer), Vec<Index>>) -> Vec<(Layer, Layer)> {
        let mut ahead = vec![false; usize::from(self.layers) + 1];
        ahead[0] = true;
        for &(from, to) in groups.keys() {
            ahead[usize::from(to)] |= ahead[usize::from(from)];
        }
        let mut back = vec![false; usize::from(self.layers) + 1];
        back[usize::from(self.layers)] = true;
        for &(from, to) in groups.keys().rev() {
            back[usize::from(from)] |= back[usize::from(to)];
        }
        let on = |&&(from, to): &&(Layer, Layer)| ahead[usize::from(from)] && back[usize::from(to)];
        groups.keys().filter(on).copied().collect()
    }

    fn group(&self, layers: (Layer, Layer), rows: Vec<Index>) -> Group {
        let zone = |i: &Index| self.loads.row(*i).zone;
        let (near, mut far): (Vec<_>, Vec<_>) = rows.into_iter().partition(|i| zone(i) == self.own);
        let delay = |i: &Index| self.links.delay(self.own, zone(i));
        far.sort_by(|a, b| delay(a).total_cmp(&delay(b)));
        Group { layers, near, far }
    }
}
