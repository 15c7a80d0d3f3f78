//! The choice of a replica of a plain or lookup service.

use super::Tuning;
use super::cost;
use super::links::Links;
use super::pool::{Place, WEIGH};
use super::weighted::Weighted;
use crate::fleet::TargetKind;
use crate::load::{Index, Loads, Zone};
use crate::prelude::*;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;

/// Replicas of one service source.
#[derive(Clone, Debug, Default)]
pub struct Group {
    near: Weighted,
    far: Weighted,
}

impl Group {
    /// All of them.
    pub fn rows(&self) -> impl Iterator<Item = Index> + '_ {
        self.near.rows().iter().chain(self.far.rows()).copied()
    }
}

/// The replicas of each service source.
#[derive(Debug, Default)]
pub struct Replicas {
    groups: Option<FxHashMap<String, Group>>,
    none: Group,
    weighed: Option<Instant>,
}

impl Replicas {
    /// Forgets all; the configuration changed.
    pub fn clear(&mut self) {
        self.groups = None;
        self.weighed = None;
    }

    /// The replicas that serve a source.
    pub fn get(&mut self, place: &Place<'_>, serves: &str) -> &Group {
        let groups = self.groups.get_or_insert_with(|| build(place));
        let due = |at: Instant| place.now.saturating_duration_since(at) >= WEIGH;
        if self.weighed.is_none_or(due) {
            self.weighed = Some(place.now);
            for group in groups.values_mut() {
                group.near.weigh(place.loads, place.now);
                group.far.weigh(place.loads, place.now);
            }
        }
        groups.get(serves).unwrap_or(&self.none)
    }
}

fn build(place: &Place<'_>) -> FxHashMap<String, Group> {
    let mut sides: FxHashMap<String, (Vec<Index>, Vec<Index>)> = FxHashMap::default();
    for index in place.loads.declared() {
        let row = place.loads.row(index);
        let Some(serves) = row.serves.clone().filter(|_| row.kind == TargetKind::Service) else {
            continue;
        };
        let (near, far) = sides.entry(serves).or_default();
        let list = if row.zone == place.own { near } else { far };
        list.push(index);
    }
    let group = |(near, far)| Group { near: Weighted::new(near), far: Weighted::new(far) };
    sides.into_iter().map(|(serves, lists)| (serves, group(lists))).collect()
}

/// One choice.
pub struct Pick<'a> {
    /// The targets.
    pub loads: &'a Loads,
    /// The delays.
    pub links: &'a Links,
    /// The own data centre.
    pub own: Zone,
    /// Targets not to use.
    pub avoid: &'a [Index],
    /// The time.
    pub now: Instant,
}

impl Pick<'_> {
    /// The best of a few drawn replicas, or of all when none of them can be used.
    pub fn choose(&self, group: &Group, tuning: Tuning, random: &mut SmallRng) -> Option<Index> {
        let mut best = (f64::INFINITY, None);
        self.draw(&group.near, tuning.near, random, &mut best);
        self.draw(&group.far, tuning.far, random, &mut best);
        if best.1.is_none() {
            group.rows().for_each(|row| self.weigh(row, &mut best));
        }
        best.1
    }

    fn draw(
        &self,
        from: &Weighted,
        count: usize,
        random: &mut SmallRng,
        best: &mut (f64, Option<Index>),
    ) {
        if from.rows().len() <= count {
            for &row in from.rows() {
                self.weigh(row, best);
            }
            return;
        }
        for _ in 0..count {
            let Some(row) = from.draw(random) else { return };
            self.weigh(row, best);
        }
    }

    fn weigh(&self, row: Index, best: &mut (f64, Option<Index>)) {
        let target = self.loads.row(row);
        if !target.usable(self.now) || self.avoid.contains(&row) {
            return;
        }
        let time = cost::call(target, self.now) + 2.0 * self.links.delay(self.own, target.zone);
        if time < best.0 {
            *best = (time, Some(row));
        }
    }
}
