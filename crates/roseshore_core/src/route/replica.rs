//! Selection of a replica of a plain or lookup service.

use super::SampleSizes;
use super::cost;
use super::links::LinkDelays;
use super::pool::{PoolContext, REWEIGH_INTERVAL};
use super::weighted::WeightedSampler;
use crate::fleet::TargetKind;
use crate::load::{DataCentreIndex, LoadTable, TargetIndex};
use crate::prelude::*;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;

/// Replicas of one service source.
#[derive(Clone, Debug, Default)]
pub struct ReplicaGroup {
    near: WeightedSampler,
    far: WeightedSampler,
}

impl ReplicaGroup {
    /// All replicas.
    pub fn rows(&self) -> impl Iterator<Item = TargetIndex> + '_ {
        self.near.rows().iter().chain(self.far.rows()).copied()
    }
}

/// Replicas of every service source.
#[derive(Debug, Default)]
pub struct Replicas {
    groups: Option<FxHashMap<String, ReplicaGroup>>,
    none: ReplicaGroup,
    weighed: Option<Instant>,
}

impl Replicas {
    /// Drops all groups; called when the configuration changed.
    pub fn clear(&mut self) {
        self.groups = None;
        self.weighed = None;
    }

    /// The replicas that serve a source.
    pub fn get(&mut self, context: &PoolContext<'_>, serves: &str) -> &ReplicaGroup {
        let groups = self.groups.get_or_insert_with(|| build(context));
        let due = |at: Instant| context.now.saturating_duration_since(at) >= REWEIGH_INTERVAL;
        if self.weighed.is_none_or(due) {
            self.weighed = Some(context.now);
            for group in groups.values_mut() {
                group.near.update_weights(context.loads, context.now);
                group.far.update_weights(context.loads, context.now);
            }
        }
        groups.get(serves).unwrap_or(&self.none)
    }
}

fn build(context: &PoolContext<'_>) -> FxHashMap<String, ReplicaGroup> {
    let mut lists: FxHashMap<String, (Vec<TargetIndex>, Vec<TargetIndex>)> = FxHashMap::default();
    for index in context.loads.declared() {
        let row = context.loads.row(index);
        let Some(serves) = row.serves.clone().filter(|_| row.kind == TargetKind::Service) else {
            continue;
        };
        let (near, far) = lists.entry(serves).or_default();
        let list = if row.data_centre == context.local { near } else { far };
        list.push(index);
    }
    let group = |(near, far)| ReplicaGroup {
        near: WeightedSampler::new(near),
        far: WeightedSampler::new(far),
    };
    lists.into_iter().map(|(serves, lists)| (serves, group(lists))).collect()
}

/// Inputs of one replica selection.
pub struct ReplicaSearch<'a> {
    /// Load of the targets.
    pub loads: &'a LoadTable,
    /// Delays between data centres.
    pub links: &'a LinkDelays,
    /// The own data centre.
    pub local: DataCentreIndex,
    /// Targets to exclude.
    pub avoid: &'a [TargetIndex],
    /// Current time.
    pub now: Instant,
}

impl ReplicaSearch<'_> {
    /// The fastest of a few sampled replicas, or of all when none of the sampled ones is usable.
    pub fn choose(
        &self,
        group: &ReplicaGroup,
        sizes: SampleSizes,
        random: &mut SmallRng,
    ) -> Option<TargetIndex> {
        let mut best = (f64::INFINITY, None);
        self.draw(&group.near, sizes.near, random, &mut best);
        self.draw(&group.far, sizes.far, random, &mut best);
        if best.1.is_none() {
            group.rows().for_each(|row| self.consider(row, &mut best));
        }
        best.1
    }

    fn draw(
        &self,
        from: &WeightedSampler,
        count: usize,
        random: &mut SmallRng,
        best: &mut (f64, Option<TargetIndex>),
    ) {
        if from.rows().len() <= count {
            for &row in from.rows() {
                self.consider(row, best);
            }
            return;
        }
        for _ in 0..count {
            let Some(row) = from.draw(random) else { return };
            self.consider(row, best);
        }
    }

    fn consider(&self, row: TargetIndex, best: &mut (f64, Option<TargetIndex>)) {
        let target = self.loads.row(row);
        if !target.usable(self.now) || self.avoid.contains(&row) {
            return;
        }
        let time = cost::predict_call(target, self.now)
            + 2.0 * self.links.delay(self.local, target.data_centre);
        if time < best.0 {
            *best = (time, Some(row));
        }
    }
}
