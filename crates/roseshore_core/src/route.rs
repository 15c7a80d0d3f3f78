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
use crate::load::{DataCentreIndex, LoadTable, PollResult, ReportChange, TargetIndex, Ticket};
use crate::order::rollout::{Piece, Pieces};
use crate::prelude::*;
use chain::{ChainSearch, Scratch};
use cost::Work;
use links::LinkDelays;
use pool::{PoolContext, Pools};
use prefix::{CacheChange, PrefixHit, PrefixIndex};
use rand::rngs::SmallRng;
use replica::Replicas;

/// What an answer needs of its chain.
#[derive(Clone, Debug)]
pub struct ChainRequest<'a> {
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
    pub row: TargetIndex,
    /// First layer and one past the last that it is to run.
    pub layers: (Layer, Layer),
}

/// A chosen chain.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainChoice {
    /// In order of layers.
    pub stages: Vec<StageChoice>,
    /// Predicted time to the next token.
    pub first_token: Duration,
    /// Predicted time between tokens.
    pub token_interval: Duration,
    /// Seconds for the whole answer if the chain were idle.
    pub idle_secs: f64,
}

/// How a choice is made; the defaults are those measured best.
#[derive(Clone, Copy, Debug)]
pub struct SampleSizes {
    /// Candidates drawn for each piece in the own data centre.
    pub near: usize,
    /// Candidates drawn for each piece elsewhere.
    pub far: usize,
}

impl Default for SampleSizes {
    fn default() -> SampleSizes {
        SampleSizes { near: 3, far: 1 }
    }
}

/// Everything that choices are made from.
pub struct Router {
    loads: LoadTable,
    links: LinkDelays,
    pools: Pools,
    replicas: Replicas,
    prefixes: PrefixIndex,
    own: DataCentreIndex,
    sample_sizes: SampleSizes,
    random: SmallRng,
    scratch: Scratch,
    avoid: Vec<TargetIndex>,
    hits: Vec<PrefixHit>,
}

impl Router {
    /// A router of a daemon in the data centre `own`.
    pub fn new(own: &str, sample_sizes: SampleSizes, random: SmallRng) -> Router {
        let mut loads = LoadTable::default();
        let own = loads.data_centre_index(own);
        Router {
            loads,
            links: LinkDelays::default(),
            pools: Pools::default(),
            replicas: Replicas::default(),
            prefixes: PrefixIndex::default(),
            own,
            sample_sizes,
            random,
            scratch: Scratch::default(),
            avoid: Vec::new(),
            hits: Vec::new(),
        }
    }

    /// Takes over a configuration.
    pub fn apply_fleet(&mut self, fleet: &Fleet) {
        self.loads.apply_fleet(fleet);
        self.links = LinkDelays::from_fleet(&mut self.loads, fleet);
        self.pools.clear();
        self.replicas.clear();
    }

    /// What is known of the targets.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Takes a report.
    pub fn report(&mut self, id: &str, seen: Instant, content: PollResult) -> ReportChange {
        let life = self.loads.find(id).map(|i| self.loads.row(i).incarnation);
        let change = self.loads.report(id, seen, content);
        if change == ReportChange::Capabilities {
            self.pools.clear();
            self.replicas.clear();
            self.forget_cache(id, life);
        }
        change
    }

    /// Takes cache events of a target.
    pub fn apply_cache_changes(&mut self, id: &str, changes: &[CacheChange]) {
        let Some(row) = self.loads.find(id) else { return };
        for change in changes {
            self.prefixes.apply(row, *change);
        }
    }

    /// A target failed just now.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        self.loads.record_failure(id, now);
    }

    /// One step or call of a target took this long.
    pub fn record_step(&mut self, id: &str, took: Duration, now: Instant) {
        self.loads.record_step(id, took, now);
    }

    /// One step over a chain of targets took this long.
    pub fn record_chain_step(&mut self, chain: &[TargetIndex], took: Duration, now: Instant) {
        let links = self.links.round_trip(chain.iter().map(|&i| self.loads.row(i).data_centre));
        self.loads.record_chain_step(chain, links, took, now);
    }

    /// Notes whether a target's host is being taken away.
    pub fn set_leaving(&mut self, row: TargetIndex, leaving: bool) {
        self.loads.set_leaving(row, leaving);
    }

    /// Counts chosen rows as in flight.
    pub fn begin(&mut self, rows: &[TargetIndex], now: Instant) -> Ticket {
        self.loads.begin(rows, now)
    }

    /// Gives a ticket back.
    pub fn end(&mut self, ticket: &Ticket, now: Instant) {
        self.loads.end(ticket, now);
    }

    /// Chooses a chain, or `None` when the usable targets leave a hole.
    pub fn choose_chain(
        &mut self,
        request: &ChainRequest<'_>,
        now: Instant,
    ) -> Option<ChainChoice> {
        let place = PoolContext { loads: &self.loads, links: &self.links, own: self.own, now };
        let tiers = self.pools.get(&place, request);
        let loads = &self.loads;
        self.avoid.clear();
        self.avoid.extend(request.avoid.iter().filter_map(|id| loads.find(id)));
        self.hits.clear();
        self.prefixes.find(request.prefixes, &mut self.hits);
        let work = Work { prompt: request.prompt, expected: request.expected };
        let step = ChainSearch {
            loads,
            links: &self.links,
            own: self.own,
            avoid: &self.avoid,
            work,
            hits: &self.hits,
            idle_time: tiers.idle_time.predict(work),
            now,
        };
        let choice = step.choose(tiers, self.sample_sizes, &mut self.random, &mut self.scratch)?;
        tiers.idle_time.learn(work, choice.idle_secs);
        self.note_prefixes(request, &choice);
        Some(choice)
    }

    /// Chooses a replica of a service source, or `None` when none is usable.
    pub fn choose_replica(
        &mut self,
        serves: &str,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetIndex> {
        let loads = &self.loads;
        self.avoid.clear();
        self.avoid.extend(avoid.iter().filter_map(|id| loads.find(id)));
        let place = PoolContext { loads, links: &self.links, own: self.own, now };
        let list = self.replicas.get(&place, serves);
        let pick = replica::ReplicaSearch {
            loads,
            links: &self.links,
            own: self.own,
            avoid: &self.avoid,
            now,
        };
        pick.choose(list, self.sample_sizes, &mut self.random)
    }

    /// What the usable engines hold of a model.
    pub fn pieces(&self, model: &str, now: Instant) -> Pieces {
        let mut pieces = Pieces { held: Vec::new(), heard: true };
        for row in self.loads.declared().map(|index| self.loads.row(index)) {
            if row.kind != TargetKind::Engine {
                continue;
            }
            let near = row.data_centre == self.own;
            pieces.heard &= !near || row.reported() || !row.usable(now);
            let Some(engine) = row.engine.as_ref().filter(|_| row.usable(now)) else { continue };
            let serves = engine.both_phases && !engine.loading && !engine.draining;
            let Some(version) = engine.version.clone().filter(|_| serves) else { continue };
            if engine.model.as_deref() == Some(model) {
                pieces.held.push(Piece { version, layers: engine.layers, near });
            }
        }
        pieces
    }

    /// The capacity of the narrowest layer of a model's engines.
    pub fn chain_capacity(&mut self, request: &ChainRequest<'_>, now: Instant) -> Option<Capacity> {
        let place = PoolContext { loads: &self.loads, links: &self.links, own: self.own, now };
        let tiers = self.pools.get(&place, request);
        let work = Work { prompt: request.prompt, expected: request.expected };
        capacity::chain_capacity(&self.loads, request, tiers.idle_time.predict(work), now)
    }

    /// The capacity of the replicas of a service source.
    pub fn replica_capacity(&mut self, serves: &str, now: Instant) -> Option<Capacity> {
        let place = PoolContext { loads: &self.loads, links: &self.links, own: self.own, now };
        let list = self.replicas.get(&place, serves);
        capacity::replica_capacity(&self.loads, list, now)
    }

    /// The prompt will be cached along the chain; not waiting for the event keeps it there.
    fn note_prefixes(&mut self, request: &ChainRequest<'_>, choice: &ChainChoice) {
        for stage in &choice.stages {
            for &(tokens, hash) in request.prefixes {
                self.prefixes.apply(stage.row, CacheChange::Stored { hash, tokens });
            }
        }
    }

    fn forget_cache(&mut self, id: &str, life: Option<Incarnation>) {
        let Some(row) = self.loads.find(id) else { return };
        if life != Some(self.loads.row(row).incarnation) {
            self.prefixes.apply(row, CacheChange::Cleared);
        }
    }
}
