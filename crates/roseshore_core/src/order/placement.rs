//! What spare engines should hold, by demand.
//!
//! An engine that is declared with neither a model nor layers is spare. A spare engine takes the
//! layers that the declared ones of its data centre are short of: first those of which every
//! declared engine is lost, then those in most demand. A spare that has layers keeps them until
//! others need it more. What keeps it from going to and fro: a need has to last, moves by demand
//! have a pace, and a spare leaves only layers that stay far below the bound that calls for help.

use crate::order::desired::Desired;
use crate::order::reconciler::Observed;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Layers of a model that engines hold together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shard {
    /// The model.
    pub model: ModelId,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
}

impl Shard {
    fn of(want: &Desired) -> Shard {
        Shard { model: want.model.clone(), layers: want.layers }
    }
}

/// The bounds of [`Placement`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementBounds {
    /// Answers for each slot from which on a shard needs help.
    pub hot_ratio: f64,
    /// Answers for each slot that a shard may have once a spare has left it.
    pub cold_ratio: f64,
    /// How long a need has to last.
    pub min_duration: Duration,
    /// Time between two moves by demand.
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

/// The load of a shard, over the engines that serve it.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Engines that serve it.
    live: u32,
    /// Engines that are to serve it and report.
    coming: u32,
    work: f64,
    slots: f64,
}

impl Load {
    fn ratio(&self) -> f64 {
        if self.slots > 0.0 { self.work / self.slots } else { 0.0 }
    }

    /// The ratio once an engine has left; infinite if it is the last.
    fn without(&self, seen: &Observed) -> f64 {
        let slots = self.slots - f64::from(seen.slots);
        if slots > 0.0 { self.work / slots } else { f64::INFINITY }
    }
}

/// Why a shard needs a spare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    Lost,
    Hot,
}

/// Chooses what spare engines should hold.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    bounds: PlacementBounds,
    placed: BTreeMap<TargetId, Shard>,
    needs: BTreeMap<Shard, (Need, Instant)>,
    moved: Option<Instant>,
}

impl Placement {
    /// A placement that starts from what spares hold.
    pub fn new(bounds: PlacementBounds) -> Placement {
        Placement { bounds, ..Placement::default() }
    }

    /// What each spare should hold now; one that is not named is left as it is.
    ///
    /// `fixed` is what the other engines of the data centre should hold, `spares` says of each
    /// spare whether it refuses old fencing numbers, and `seen` has fresh reports only.
    pub fn place(
        &mut self,
        now: Instant,
        fixed: &BTreeMap<TargetId, Desired>,
        spares: &BTreeMap<TargetId, bool>,
        seen: &BTreeMap<TargetId, Observed>,
    ) -> BTreeMap<TargetId, Desired> {
        let shards: BTreeMap<Shard, &Desired> = fixed.values().map(|w| (Shard::of(w), w)).collect();
        self.adopt(&shards, spares, seen);
        let loads = self.loads(fixed, seen);
        self.note_needs(now, &loads);
        if let Some((shard, need)) = self.pressing(now, &loads)
            && let Some(spare) = self.donor(need, &shard, spares, seen, &loads)
        {
            if need == Need::Hot {
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

    /// Takes over what spares hold, so that a new holder of the lease moves nothing.
    fn adopt(
        &mut self,
        shards: &BTreeMap<Shard, &Desired>,
        spares: &BTreeMap<TargetId, bool>,
        seen: &BTreeMap<TargetId, Observed>,
    ) {
        self.placed.retain(|id, shard| spares.contains_key(id) && shards.contains_key(shard));
        for id in spares.keys() {
            let Some(shard) = seen.get(id).and_then(Observed::shard) else { continue };
            if shards.contains_key(&shard) {
                self.placed.entry(id.clone()).or_insert(shard);
            }
        }
    }

    fn loads(
        &self,
        fixed: &BTreeMap<TargetId, Desired>,
        seen: &BTreeMap<TargetId, Observed>,
    ) -> BTreeMap<Shard, Load> {
        let mut loads: BTreeMap<Shard, Load> = BTreeMap::new();
        let declared = fixed.iter().map(|(id, want)| (id, Shard::of(want)));
        let placed = self.placed.iter().map(|(id, shard)| (id, shard.clone()));
        for (id, shard) in declared.chain(placed) {
            let load = loads.entry(shard.clone()).or_default();
            let Some(holds) = seen.get(id) else { continue };
            load.coming += 1;
            if holds.serves && holds.shard() == Some(shard) {
                load.live += 1;
                load.work += f64::from(holds.running) + f64::from(holds.queue);
                load.slots += f64::from(holds.slots);
            }
        }
        loads
    }

    fn note_needs(&mut self, now: Instant, loads: &BTreeMap<Shard, Load>) {
        let need = |load: &Load| {
            let hot = load.live > 0 && load.ratio() >= self.bounds.hot_ratio;
            if load.coming == 0 { Some(Need::Lost) } else { hot.then_some(Need::Hot) }
        };
        let needs = loads.iter().filter_map(|(shard, load)| Some((shard.clone(), need(load)?)));
        let needs: Vec<(Shard, Need)> = needs.collect();
        let kept: BTreeSet<&(Shard, Need)> = needs.iter().collect();
        self.needs.retain(|shard, (need, _)| kept.contains(&(shard.clone(), *need)));
        for (shard, need) in needs {
            self.needs.entry(shard).or_insert((need, now));
        }
    }

    /// The shard that needs a spare most, if one has needed it for long enough.
    fn pressing(&self, now: Instant, loads: &BTreeMap<Shard, Load>) -> Option<(Shard, Need)> {
        let paced = |need| {
            let moved = self.moved.map(|at| now.saturating_duration_since(at));
            need == Need::Lost || moved.is_none_or(|past| past >= self.bounds.move_interval)
        };
        // Help that is on its way counts before more is sent.
        let settled = |shard: &Shard| loads.get(shard).is_some_and(|l| l.coming == l.live);
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

    /// A spare without a shard, or else the one whose shard misses it least.
    fn donor(
        &self,
        need: Need,
        shard: &Shard,
        spares: &BTreeMap<TargetId, bool>,
        seen: &BTreeMap<TargetId, Observed>,
        loads: &BTreeMap<Shard, Load>,
    ) -> Option<TargetId> {
        let ready = |id: &&TargetId| seen.get(*id).is_some_and(|s| !s.loading);
        if let Some(free) = spares.keys().filter(ready).find(|id| !self.placed.contains_key(*id)) {
            return Some(free.clone());
        }
        let bound = if need == Need::Lost { self.bounds.hot_ratio } else { self.bounds.cold_ratio };
        let rest = |(id, from): (&TargetId, &Shard)| {
            let holds = seen.get(id)?;
            let load = loads.get(from)?;
            let serves = holds.serves && holds.shard().as_ref() == Some(from);
            (serves && from != shard).then(|| (load.without(holds), id.clone()))
        };
        let rests = self.placed.iter().filter_map(rest).filter(|(ratio, _)| *ratio <= bound);
        rests.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }
}

impl Observed {
    /// The shard that it holds, if it is not loading.
    fn shard(&self) -> Option<Shard> {
        let model = self.model.clone().filter(|_| !self.loading)?;
        Some(Shard { model, layers: self.layers })
    }
}
