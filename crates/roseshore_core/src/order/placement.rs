//! Assigns shards to spare engines, by loss and by load.
//!
//! An engine declared with neither a model nor layers is a spare. Spares of a data centre take over
//! shards that its declared engines cannot serve alone: first shards that no reporting engine is
//! assigned to, then the most loaded ones. A spare keeps its shard until another shard needs it
//! more.
//!
//! Three rules prevent oscillation: a need has to last for
//! [`PlacementBounds::min_duration`], moves because of load are at least
//! [`PlacementBounds::move_interval`] apart, and a spare leaves a shard only if the load there stays
//! below [`PlacementBounds::cold_ratio`], far below the ratio at which a shard needs a spare.

use crate::order::desired::Desired;
use crate::order::reconciler::Observed;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Range of layers of a model, served by one or more engines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shard {
    /// Model that the layers belong to.
    pub model: ModelId,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
}

impl Shard {
    fn of(want: &Desired) -> Shard {
        Shard { model: want.model.clone(), layers: want.layers }
    }
}

/// Limits of a [`Placement`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementBounds {
    /// Answers per slot from which on a shard needs a spare.
    pub hot_ratio: f64,
    /// Most answers per slot that a shard may have after a spare has left it.
    pub cold_ratio: f64,
    /// How long a need has to last before a spare is assigned.
    pub min_duration: Duration,
    /// Shortest time between two moves because of load.
    pub move_interval: Duration,
}

impl Default for PlacementBounds {
    fn default() -> PlacementBounds {
        PlacementBounds {
            hot_ratio: 0.9,
            cold_ratio: 0.4,
            min_duration: Duration::from_secs(10),
            move_interval: Duration::from_secs(30),
        }
    }
}

/// Load of a shard, summed over the engines that serve it.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Engines that serve the shard.
    serving: u32,
    /// Engines that should serve the shard and send reports.
    assigned: u32,
    /// Running and queued answers.
    answers: f64,
    slots: f64,
}

impl Load {
    fn ratio(&self) -> f64 {
        if self.slots > 0.0 { self.answers / self.slots } else { 0.0 }
    }

    /// Returns the ratio without the given engine; infinite if it is the last one.
    fn ratio_without(&self, observed: &Observed) -> f64 {
        let slots = self.slots - f64::from(observed.slots);
        if slots > 0.0 { self.answers / slots } else { f64::INFINITY }
    }
}

/// Why a shard needs a spare; the first variant is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// No reporting engine is assigned to the shard.
    Lost,
    /// Its ratio has reached [`PlacementBounds::hot_ratio`].
    Overloaded,
}

/// Assignment of shards to spare engines.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    bounds: PlacementBounds,
    placed: BTreeMap<TargetId, Shard>,
    needs: BTreeMap<Shard, (Need, Instant)>,
    moved: Option<Instant>,
}

impl Placement {
    /// Creates a placement that adopts the shards that spares hold already.
    pub fn new(bounds: PlacementBounds) -> Placement {
        Placement { bounds, ..Placement::default() }
    }

    /// Returns the desired state of spares; one that is not in the result stays as it is.
    ///
    /// `declared` is the desired state of the other engines of the data centre. `spares` tells for
    /// each spare whether it rejects stale fencing tokens. `observed` contains only recent reports.
    pub fn place(
        &mut self,
        now: Instant,
        declared: &BTreeMap<TargetId, Desired>,
        spares: &BTreeMap<TargetId, bool>,
        observed: &BTreeMap<TargetId, Observed>,
    ) -> BTreeMap<TargetId, Desired> {
        let shards: BTreeMap<Shard, &Desired> =
            declared.values().map(|w| (Shard::of(w), w)).collect();
        self.adopt(&shards, spares, observed);
        let loads = self.loads(declared, observed);
        self.update_needs(now, &loads);
        if let Some((shard, need)) = self.most_urgent(now, &loads)
            && let Some(spare) = self.choose_spare(need, &shard, spares, observed, &loads)
        {
            if need == Need::Overloaded {
                self.moved = Some(now);
            }
            self.needs.remove(&shard);
            self.placed.insert(spare, shard);
        }
        let want = |(id, shard): (&TargetId, &Shard)| {
            let checks_fence = *spares.get(id)?;
            let like = *shards.get(shard)?;
            Some((id.clone(), Desired { checks_fence, ..like.clone() }))
        };
        self.placed.iter().filter_map(want).collect()
    }

    /// Adopts the shards that spares hold, so that a new lease holder does not move them.
    fn adopt(
        &mut self,
        shards: &BTreeMap<Shard, &Desired>,
        spares: &BTreeMap<TargetId, bool>,
        observed: &BTreeMap<TargetId, Observed>,
    ) {
        self.placed.retain(|id, shard| spares.contains_key(id) && shards.contains_key(shard));
        for id in spares.keys() {
            let Some(shard) = observed.get(id).and_then(Observed::shard) else { continue };
            if shards.contains_key(&shard) {
                self.placed.entry(id.clone()).or_insert(shard);
            }
        }
    }

    fn loads(
        &self,
        declared: &BTreeMap<TargetId, Desired>,
        observed: &BTreeMap<TargetId, Observed>,
    ) -> BTreeMap<Shard, Load> {
        let mut loads: BTreeMap<Shard, Load> = BTreeMap::new();
        let declared = declared.iter().map(|(id, want)| (id, Shard::of(want)));
        let placed = self.placed.iter().map(|(id, shard)| (id, shard.clone()));
        for (id, shard) in declared.chain(placed) {
            let load = loads.entry(shard.clone()).or_default();
            let Some(observed) = observed.get(id) else { continue };
            load.assigned += 1;
            if observed.serves && observed.shard() == Some(shard) {
                load.serving += 1;
                load.answers += f64::from(observed.running) + f64::from(observed.queue);
                load.slots += f64::from(observed.slots);
            }
        }
        loads
    }

    fn update_needs(&mut self, now: Instant, loads: &BTreeMap<Shard, Load>) {
        let need = |load: &Load| {
            let hot = load.serving > 0 && load.ratio() >= self.bounds.hot_ratio;
            if load.assigned == 0 { Some(Need::Lost) } else { hot.then_some(Need::Overloaded) }
        };
        let needs = loads.iter().filter_map(|(shard, load)| Some((shard.clone(), need(load)?)));
        let needs: Vec<(Shard, Need)> = needs.collect();
        let kept: BTreeSet<&(Shard, Need)> = needs.iter().collect();
        self.needs.retain(|shard, (need, _)| kept.contains(&(shard.clone(), *need)));
        for (shard, need) in needs {
            self.needs.entry(shard).or_insert((need, now));
        }
    }

    /// Returns the shard that needs a spare most, among those whose need has lasted.
    fn most_urgent(&self, now: Instant, loads: &BTreeMap<Shard, Load>) -> Option<(Shard, Need)> {
        let paced = |need| {
            let moved = self.moved.map(|at| now.saturating_duration_since(at));
            need == Need::Lost || moved.is_none_or(|past| past >= self.bounds.move_interval)
        };
        // A shard gets no further spare while an engine assigned to it is still loading.
        let settled = |shard: &Shard| loads.get(shard).is_some_and(|l| l.assigned == l.serving);
        let lasting = self.needs.iter().filter(|(shard, (need, since))| {
            let lasts = now.saturating_duration_since(*since) >= self.bounds.min_duration;
            lasts && paced(*need) && settled(shard)
        });
        let ratio = |shard: &Shard| loads.get(shard).map_or(0.0, Load::ratio);
        let most = lasting.min_by(|(a, (x, _)), (b, (y, _))| {
            x.cmp(y).then_with(|| ratio(b).total_cmp(&ratio(a)))
        });
        most.map(|(shard, (need, _))| (shard.clone(), *need))
    }

    /// Returns a spare without a shard, or else the one that leaves its shard the least loaded.
    fn choose_spare(
        &self,
        need: Need,
        shard: &Shard,
        spares: &BTreeMap<TargetId, bool>,
        observed: &BTreeMap<TargetId, Observed>,
        loads: &BTreeMap<Shard, Load>,
    ) -> Option<TargetId> {
        let ready = |id: &&TargetId| observed.get(*id).is_some_and(|s| !s.loading);
        if let Some(free) = spares.keys().filter(ready).find(|id| !self.placed.contains_key(*id)) {
            return Some(free.clone());
        }
        let bound = if need == Need::Lost { self.bounds.hot_ratio } else { self.bounds.cold_ratio };
        let rest = |(id, from): (&TargetId, &Shard)| {
            let observed = observed.get(id)?;
            let load = loads.get(from)?;
            let serves = observed.serves && observed.shard().as_ref() == Some(from);
            (serves && from != shard).then(|| (load.ratio_without(observed), id.clone()))
        };
        let rests = self.placed.iter().filter_map(rest).filter(|(ratio, _)| *ratio <= bound);
        rests.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }
}

impl Observed {
    /// Returns the shard that the target holds; `None` while it is loading.
    fn shard(&self) -> Option<Shard> {
        let model = self.model.clone().filter(|_| !self.loading)?;
        Some(Shard { model, layers: self.layers })
    }
}
