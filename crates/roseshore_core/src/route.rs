//! The choice of a chain of engines for an answer, and of a replica for a call.
//!
//! Engines that hold one model version are kept as a graph over the borders of their layer ranges.
//! A choice draws a few candidates for each piece at random, own data centre first, adds those that
//! seem to hold the prompt's prefix, and takes the shortest path by predicted time. Drawing at
//! random keeps daemons that share the same late reports from running to the same target. What was
//! not drawn can only cost time: when the drawn ones leave a hole, all are looked at.

pub mod capacity;
pub mod chain;
pub mod cost;
pub mod links;
pub mod pool;
pub mod prefix;
pub mod replica;
pub mod weighted;

use crate::admit::Capacity;
use crate::fleet::TargetKind;
use crate::load::{Change, Content, Index, Loads, Ticket, Zone};
use crate::order::rollout::{Piece, Pieces};
use crate::prelude::*;
use chain::{Scratch, Step};
use cost::Work;
use links::Links;
use pool::{Place, Pools};
use prefix::{CacheChange, Hit, Prefixes};
use rand::rngs::SmallRng;
use replica::Replicas;

/// What an answer needs of its chain.
#[derive(Clone, Debug)]
pub struct ChainNeed<'a> {
    /// The model.
    pub model: &'a str,
    /// The version.
    pub version: &'a str,
    /// The number of layers.
    pub layers: Layer,
    /// The adapter.
    pub adapter: Option<&'a str>,
    /// Hashes of growing prefixes of the prompt, `(tokens, hash)`, shortest first.
    pub prefixes: &'a [(u32, u64)],
    /// Tokens to prefill if nothing is cached.
    pub prompt: u32,
    /// Tokens expected to be generated.
    pub expected: u32,
    /// Targets that failed this answer already.
    pub avoid: &'a [TargetId],
}

/// One stage of a chosen chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChoice {
    /// The target's row.
    pub row: Index,
    /// First layer and one past the last that it is to run.
    pub layers: (Layer, Layer),
}

/// A chosen chain.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainChoice {
    /// In order of layers.
    pub stages: Vec<StageChoice>,
    /// Predicted time to the next token.
    pub first: Duration,
    /// Predicted time between tokens.
    pub between: Duration,
    /// Seconds for the whole answer if the chain were idle.
    pub idle: f64,
}

/// How a choice is made; the defaults are those measured best.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Candidates drawn for each piece in the own data centre.
    pub near: usize,
    /// Candidates drawn for each piece elsewhere.
    pub far: usize,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning { near: 3, far: 1 }
    }
}

/// Everything that choices are made from.
pub struct Router {
    loads: Loads,
    links: Links,
    pools: Pools,
    replicas: Replicas,
    prefixes: Prefixes,
    own: Zone,
    tuning: Tuning,
    random: SmallRng,
    scratch: Scratch,
    avoid: Vec<Index>,
    hits: Vec<Hit>,
}

impl Router {
    /// A router of a daemon in the data centre `own`.
    pub fn new(own: &str, tuning: Tuning, random: SmallRng) -> Router {
        let mut loads = Loads::default();
        let own = loads.zone(own);
        Router {
            loads,
            links: Links::default(),
            pools: Pools::default(),
            replicas: Replicas::default(),
            prefixes: Prefixes::default(),
            own,
            tuning,
            random,
            scratch: Scratch::default(),
            avoid: Vec::new(),
            hits: Vec::new(),
        }
    }

    /// Takes over a configuration.
    pub fn declare(&mut self, fleet: &Fleet) {
        self.loads.declare(fleet);
        self.links = Links::declared(&mut self.loads, fleet);
        self.pools.clear();
        self.replicas.clear();
    }

    /// What is known of the targets.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Takes a report.
    pub fn report(&mut self, id: &str, seen: Instant, content: Content) -> Change {
        let life = self.loads.find(id).map(|i| self.loads.row(i).incarnation);
        let change = self.loads.report(id, seen, content);
        if change == Change::Holding {
            self.pools.clear();
            self.replicas.clear();
            self.forget_cache(id, life);
        }
        change
    }

    /// Takes cache events of a target.
    pub fn cached(&mut self, id: &str, changes: &[CacheChange]) {
        let Some(row) = self.loads.find(id) else { return };
        for change in changes {
            self.prefixes.take(row, *change);
        }
    }

    /// A target failed just now.
    pub fn failed(&mut self, id: &str, now: Instant) {
        self.loads.failed(id, now);
    }

    /// One step or call of a target took this long.
    pub fn observed(&mut self, id: &str, took: Duration, now: Instant) {
        self.loads.observed(id, took, now);
    }

    /// One step over a chain of targets took this long.
    pub fn paced(&mut self, chain: &[Index], took: Duration, now: Instant) {
        let links = self.links.round(chain.iter().map(|&i| self.loads.row(i).zone));
        self.loads.paced(chain, links, took, now);
    }

    /// Notes whether a target's host is being taken away.
    pub fn set_leaving(&mut self, row: Index, leaving: bool) {
        self.loads.set_leaving(row, leaving);
    }

    /// Counts chosen rows as in flight.
    pub fn begin(&mut self, rows: &[Index], now: Instant) -> Ticket {
        self.loads.begin(rows, now)
    }

    /// Gives a ticket back.
    pub fn end(&mut self, ticket: &Ticket, now: Instant) {
        self.loads.end(ticket, now);
    }

    /// Chooses a chain, or `None` when the usable targets leave a hole.
    pub fn chain(&mut self, need: &ChainNeed<'_>, now: Instant) -> Option<ChainChoice> {
        let place = Place { loads: &self.loads, links: &self.links, own: self.own, now };
        let tiers = self.pools.get(&place, need);
        let loads = &self.loads;
        self.avoid.clear();
        self.avoid.extend(need.avoid.iter().filter_map(|id| loads.find(id)));
        self.hits.clear();
        self.prefixes.find(need.prefixes, &mut self.hits);
        let work = Work { prompt: need.prompt, expected: need.expected };
        let step = Step {
            loads,
            links: &self.links,
            own: self.own,
            avoid: &self.avoid,
            work,
            hits: &self.hits,
            life: tiers.life.predict(work),
            now,
        };
        let choice = step.choose(tiers, self.tuning, &mut self.random, &mut self.scratch)?;
        tiers.life.learn(work, choice.idle);
        self.note_prefixes(need, &choice);
        Some(choice)
    }

    /// Chooses a replica of a service source, or `None` when none is usable.
    pub fn replica(&mut self, serves: &str, avoid: &[TargetId], now: Instant) -> Option<Index> {
        let loads = &self.loads;
        self.avoid.clear();
        self.avoid.extend(avoid.iter().filter_map(|id| loads.find(id)));
        let place = Place { loads, links: &self.links, own: self.own, now };
        let list = self.replicas.get(&place, serves);
        let pick =
            replica::Pick { loads, links: &self.links, own: self.own, avoid: &self.avoid, now };
        pick.choose(list, self.tuning, &mut self.random)
    }

    /// What the usable engines hold of a model.
    pub fn pieces(&self, model: &str, now: Instant) -> Pieces {
        let mut pieces = Pieces { held: Vec::new(), heard: true };
        for row in self.loads.declared().map(|index| self.loads.row(index)) {
            if row.kind != TargetKind::Engine {
                continue;
            }
            let near = row.zone == self.own;
            pieces.heard &= !near || row.reported() || !row.usable(now);
            let Some(engine) = row.engine.as_ref().filter(|_| row.usable(now)) else { continue };
            let serves = engine.whole && !engine.loading && !engine.leaving;
            let Some(version) = engine.version.clone().filter(|_| serves) else { continue };
            if engine.model.as_deref() == Some(model) {
                pieces.held.push(Piece { version, layers: engine.layers, near });
            }
        }
        pieces
    }

    /// The capacity of the narrowest layer of a model's engines.
    pub fn chain_capacity(&mut self, need: &ChainNeed<'_>, now: Instant) -> Option<Capacity> {
        let place = Place { loads: &self.loads, links: &self.links, own: self.own, now };
        let tiers = self.pools.get(&place, need);
        let work = Work { prompt: need.prompt, expected: need.expected };
        capacity::of_chains(&self.loads, need, tiers.life.predict(work), now)
    }

    /// The capacity of the replicas of a service source.
    pub fn replica_capacity(&mut self, serves: &str, now: Instant) -> Option<Capacity> {
        let place = Place { loads: &self.loads, links: &self.links, own: self.own, now };
        let list = self.replicas.get(&place, serves);
        capacity::of_replicas(&self.loads, list, now)
    }

    /// The prompt will be cached along the chain; not waiting for the event keeps it there.
    fn note_prefixes(&mut self, need: &ChainNeed<'_>, choice: &ChainChoice) {
        for stage in &choice.stages {
            for &(tokens, hash) in need.prefixes {
                self.prefixes.take(stage.row, CacheChange::Stored { hash, tokens });
            }
        }
    }

    fn forget_cache(&mut self, id: &str, life: Option<Incarnation>) {
        let Some(row) = self.loads.find(id) else { return };
        if life != Some(self.loads.row(row).incarnation) {
            self.prefixes.take(row, CacheChange::Cleared);
        }
    }
}
