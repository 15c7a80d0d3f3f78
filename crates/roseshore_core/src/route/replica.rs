//! The choice of a replica of a plain or lookup service.

use super::Tuning;
use super::cost;
use super::links::Links;
use crate::fleet::TargetKind;
use crate::load::{Index, Loads, Zone};
use crate::prelude::*;
use rand::RngExt;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;

/// Replicas of one service source.
#[derive(Clone, Debug, Default)]
pub struct Group {
    near: Vec<Index>,
    far: Vec<Index>,
}

impl Group {
    /// All of them.
    pub fn rows(&self) -> impl Iterator<Item = Index> + '_ {
        self.near.iter().chain(&self.far).copied()
    }
}

/// The replicas of each service source.
#[derive(Debug, Default)]
pub struct Replicas {
    groups: Option<FxHashMap<String, Group>>,
}

impl Replicas {
    /// Forgets all; the configuration changed.
    pub fn clear(&mut self) {
        self.groups = None;
    }

    /// The replicas that serve a source.
    pub fn get(&mut self, loads: &Loads, links: &Links, own: Zone, serves: &str) -> &Group {
        static NONE: Group = Group { near: Vec::new(), far: Vec::new() };
        let groups = self.groups.get_or_insert_with(|| build(loads, links, own));
        groups.get(serves).unwrap_or(&NONE)
    }
}

fn build(loads: &Loads, links: &Links, own: Zone) -> FxHashMap<String, Group> {
    let mut groups: FxHashMap<String, Group> = FxHashMap::default();
    for index in loads.declared() {
        let row = loads.row(index);
        let Some(serves) = row.serves.clone().filter(|_| row.kind == TargetKind::Service) else {
            continue;
        };
        let group = groups.entry(serves).or_default();
        let list = if row.zone == own { &mut group.near } else { &mut group.far };
        list.push(index);
    }
    let delay = |i: &Index| links.delay(own, loads.row(*i).zone);
    for group in groups.values_mut() {
        group.far.sort_by(|a, b| delay(a).total_cmp(&delay(b)));
    }
    groups
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
        rows: &[Index],
        count: usize,
        random: &mut SmallRng,
        best: &mut (f64, Option<Index>),
    ) {
        if rows.len() <= count {
            for &row in rows {
                self.weigh(row, best);
            }
            return;
        }
        for _ in 0..count {
            self.weigh(rows[random.random_range(0..rows.len())], best);
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
