//! Selection of a chain of engines for an answer, and of a replica for a service call.
//!
//! The engines that hold one model version form a graph whose vertices are the boundaries of their
//! layer ranges. A selection samples a few random candidates for each range, mostly from the own
//! data centre, adds those that probably have the prompt's prefix cached, and takes the path with
//! the lowest predicted time. Random sampling keeps daemons that share the same outdated reports
//! from all choosing the same target. It can only cost time, never a chain: when the sampled
//! candidates do not cover every layer, all targets are considered.

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
use crate::load::{DataCentreIndex, LoadTable, PollResult, ReportChange, Row, TargetIndex, Ticket};
use crate::order::reconciler::tiles;
use crate::order::rollout::{LoadedRange, LoadedRanges};
use crate::prelude::*;
use chain::{ChainSearch, Scratch};
use cost::Work;
use links::LinkDelays;
use pool::{PoolContext, Pools};
use prefix::{CacheChange, PrefixHit, PrefixIndex};
use rand::rngs::SmallRng;
use replica::Replicas;

/// What an answer requires of its chain.
#[derive(Clone, Debug)]
pub struct ChainRequest<'a> {
    /// The model.
    pub model: &'a str,
    /// The version of the weights.
    pub version: &'a str,
    /// Number of layers of the model.
    pub layers: Layer,
    /// The adapter, if any.
    pub adapter: Option<&'a str>,
    /// Hashes of prefixes of the prompt as `(tokens, hash)`, shortest first.
    pub prefixes: &'a [(u32, u64)],
    /// Number of tokens to prefill if nothing is cached.
    pub prompt: u32,
    /// Number of tokens expected to be generated.
    pub expected: u32,
    /// Targets that the chain must not use because they failed for this answer.
    pub avoid: &'a [TargetId],
}

/// One stage of a chosen chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChoice {
    /// Index of the target's row in the load table.
    pub row: TargetIndex,
    /// Layers to run, as `first..end`.
    pub layers: (Layer, Layer),
}

/// A chosen chain.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainChoice {
    /// Stages, in order of layers.
    pub stages: Vec<StageChoice>,
    /// Predicted time to the next token.
    pub first_token: Duration,
    /// Predicted time between two tokens.
    pub token_interval: Duration,
    /// Predicted seconds for the whole answer if the chain were idle.
    pub idle_secs: f64,
}

/// Number of random candidates per selection. The defaults performed best among the values
/// compared.
#[derive(Clone, Copy, Debug)]
pub struct SampleSizes {
    /// Candidates sampled for each layer range in the own data centre.
    pub near: usize,
    /// Candidates sampled for each layer range in other data centres.
    pub far: usize,
}

impl Default for SampleSizes {
    fn default() -> SampleSizes {
        SampleSizes { near: 3, far: 1 }
    }
}

/// Selects targets from their reported and observed load.
pub struct Router {
    loads: LoadTable,
    links: LinkDelays,
    pools: Pools,
    replicas: Replicas,
    prefixes: PrefixIndex,
    local: DataCentreIndex,
    sample_sizes: SampleSizes,
    random: SmallRng,
    scratch: Scratch,
    avoid: Vec<TargetIndex>,
    hits: Vec<PrefixHit>,
}

impl Router {
    /// Creates a router for a daemon in the data centre `local`.
    pub fn new(local: &str, sample_sizes: SampleSizes, random: SmallRng) -> Router {
        let mut loads = LoadTable::default();
        let local = loads.data_centre_index(local);
        Router {
            loads,
            links: LinkDelays::default(),
            pools: Pools::default(),
            replicas: Replicas::default(),
            prefixes: PrefixIndex::default(),
            local,
            sample_sizes,
            random,
            scratch: Scratch::default(),
            avoid: Vec::new(),
            hits: Vec::new(),
        }
    }

    /// Applies a configuration.
    pub fn apply_fleet(&mut self, fleet: &Fleet) {
        self.loads.apply_fleet(fleet);
        self.links = LinkDelays::from_fleet(&mut self.loads, fleet);
        self.pools.clear();
        self.replicas.clear();
    }

    /// Load of each target.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Applies a target's report, polled at `seen`.
    pub fn report(&mut self, id: &str, seen: Instant, result: PollResult) -> ReportChange {
        let incarnation = self.loads.find(id).map(|i| self.loads.row(i).incarnation);
        let change = self.loads.report(id, seen, result);
        if change == ReportChange::Capabilities {
            self.pools.clear();
            self.replicas.clear();
            self.forget_cache(id, incarnation);
        }
        change
    }

    /// Applies cache events of a target.
    pub fn apply_cache_changes(&mut self, id: &str, changes: &[CacheChange]) {
        let Some(row) = self.loads.find(id) else { return };
        for change in changes {
            self.prefixes.apply(row, *change);
        }
    }

    /// Records that a target failed at `now`.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        self.loads.record_failure(id, now);
    }

    /// Records the time that one step or call of a target took.
    pub fn record_step(&mut self, id: &str, took: Duration, now: Instant) {
        self.loads.record_step(id, took, now);
    }

    /// Records the time that one step over a chain of targets took.
    pub fn record_chain_step(&mut self, chain: &[TargetIndex], took: Duration, now: Instant) {
        let links = self.links.round_trip(chain.iter().map(|&i| self.loads.row(i).data_centre));
        self.loads.record_chain_step(chain, links, took, now);
    }

    /// Sets whether a target's host is being withdrawn.
    pub fn set_host_leaving(&mut self, row: TargetIndex, leaving: bool) {
        self.loads.set_host_leaving(row, leaving);
    }

    /// Counts the chosen rows as in flight until the ticket is returned.
    pub fn begin(&mut self, rows: &[TargetIndex], now: Instant) -> Ticket {
        self.loads.begin(rows, now)
    }

    /// Returns a ticket.
    pub fn end(&mut self, ticket: &Ticket, now: Instant) {
        self.loads.end(ticket, now);
    }

    /// Chooses a chain; `None` when the usable targets do not cover every layer.
    pub fn choose_chain(
        &mut self,
        request: &ChainRequest<'_>,
        now: Instant,
    ) -> Option<ChainChoice> {
        let context =
            PoolContext { loads: &self.loads, links: &self.links, local: self.local, now };
        let pools = self.pools.get(&context, request);
        let loads = &self.loads;
        self.avoid.clear();
        self.avoid.extend(request.avoid.iter().filter_map(|id| loads.find(id)));
        self.hits.clear();
        self.prefixes.find(request.prefixes, &mut self.hits);
        let work = Work { prompt: request.prompt, expected: request.expected };
        let search = ChainSearch {
            loads,
            links: &self.links,
            local: self.local,
            avoid: &self.avoid,
            work,
            hits: &self.hits,
            idle_time: pools.idle_time.predict(work),
            now,
        };
        let choice =
            search.choose(pools, self.sample_sizes, &mut self.random, &mut self.scratch)?;
        pools.idle_time.learn(work, choice.idle_secs);
        self.record_prefixes(request, &choice);
        Some(choice)
    }

    /// Chooses a replica of a service source; `None` when none is usable.
    pub fn choose_replica(
        &mut self,
        serves: &str,
        avoid: &[TargetId],
        now: Instant,
    ) -> Option<TargetIndex> {
        let loads = &self.loads;
        self.avoid.clear();
        self.avoid.extend(avoid.iter().filter_map(|id| loads.find(id)));
        let context = PoolContext { loads, links: &self.links, local: self.local, now };
        let list = self.replicas.get(&context, serves);
        let search = replica::ReplicaSearch {
            loads,
            links: &self.links,
            local: self.local,
            avoid: &self.avoid,
            now,
        };
        search.choose(list, self.sample_sizes, &mut self.random)
    }

    /// Versions and layer ranges of a model that the usable engines hold.
    pub fn loaded_ranges(&self, model: &str, now: Instant) -> LoadedRanges {
        let mut loaded = LoadedRanges { ranges: Vec::new(), complete: true };
        for row in self.engines() {
            let local = row.data_centre == self.local;
            loaded.complete &= !local || row.reported() || !row.usable(now);
            let Some((version, layers)) = served(row, model).filter(|_| row.usable(now)) else {
                continue;
            };
            loaded.ranges.push(LoadedRange { version: version.clone(), layers, local });
        }
        loaded
    }

    /// Whether the only obstacle to a chain is that targets are out of use after failures, and a
    /// complete one will be in use by `until` if none fails again.
    pub fn is_paused(&self, request: &ChainRequest<'_>, now: Instant, until: Instant) -> bool {
        let has_chain = |usable: &dyn Fn(&Row) -> bool| {
            let ranges = self.engines().filter_map(|row| {
                let (version, layers) = served(row, request.model).filter(|_| usable(row))?;
                let engine = row.engine.as_ref()?;
                let fits = request.adapter.is_none_or(|it| engine.adapters.contains(it));
                (fits && version == request.version).then_some(layers)
            });
            tiles(ranges, request.layers)
        };
        !has_chain(&|row| row.usable(now)) && has_chain(&|row| row.usable_by(until))
    }

    fn engines(&self) -> impl Iterator<Item = &Row> {
        let declared = self.loads.declared().map(|index| self.loads.row(index));
        declared.filter(|row| row.kind == TargetKind::Engine)
    }

    /// Capacity of the layer with the fewest slots among a model's engines.
    pub fn chain_capacity(&mut self, request: &ChainRequest<'_>, now: Instant) -> Option<Capacity> {
        let context =
            PoolContext { loads: &self.loads, links: &self.links, local: self.local, now };
        let pools = self.pools.get(&context, request);
        let work = Work { prompt: request.prompt, expected: request.expected };
        capacity::chain_capacity(&self.loads, request, pools.idle_time.predict(work), now)
    }

    /// Capacity of the replicas of a service source.
    pub fn replica_capacity(&mut self, serves: &str, now: Instant) -> Option<Capacity> {
        let context =
            PoolContext { loads: &self.loads, links: &self.links, local: self.local, now };
        let list = self.replicas.get(&context, serves);
        capacity::replica_capacity(&self.loads, list, now)
    }

    /// Records at once that the prompt will be cached along the chain, so that requests with the
    /// same prefix follow it before the cache event arrives.
    fn record_prefixes(&mut self, request: &ChainRequest<'_>, choice: &ChainChoice) {
        for stage in &choice.stages {
            for &(tokens, hash) in request.prefixes {
                self.prefixes.apply(stage.row, CacheChange::Stored { hash, tokens });
            }
        }
    }

    fn forget_cache(&mut self, id: &str, incarnation: Option<Incarnation>) {
        let Some(row) = self.loads.find(id) else { return };
        if incarnation != Some(self.loads.row(row).incarnation) {
            self.prefixes.apply(row, CacheChange::Cleared);
        }
    }
}

/// The version and layers of a model that an engine has loaded and serves; `None` if it serves none.
fn served<'a>(row: &'a Row, model: &str) -> Option<(&'a VersionId, (Layer, Layer))> {
    let engine = row.engine.as_ref()?;
    let serves = engine.both_phases && !engine.loading && !engine.draining;
    let version = engine.version.as_ref().filter(|_| serves)?;
    (engine.model.as_deref() == Some(model)).then_some((version, engine.layers))
}
