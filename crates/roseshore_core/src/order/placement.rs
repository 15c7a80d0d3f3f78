//! What spare engines should hold, by demand.
//!
//! An engine that is declared with neither a model nor layers is spare. A spare engine takes the
//! layers that the declared ones of its data centre are short of: first those of which every
//! declared engine is lost, then those in most demand. A spare that has layers keeps them until
//! others need it more. What keeps it from going to and fro: a need has to last, moves by demand
//! have a pace, and a spare leaves only layers that stay far below the bound that calls for help.

use crate::order::desired::Desired;
use crate::order::giver::Seen;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Layers of a model that engines hold together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Part {
    /// The model.
    pub model: ModelId,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
}

impl Part {
    fn of(want: &Desired) -> Part {
        Part { model: want.model.clone(), layers: want.layers }
    }
}

/// The bounds of [`Placement`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementBounds {
    /// Answers for each slot from which on a part needs help.
    pub hot: f64,
    /// Answers for each slot that a part may have once a spare has left it.
    pub cold: f64,
    /// How long a need has to last.
    pub hold: Duration,
    /// Time between two moves by demand.
    pub pace: Duration,
}

impl Default for PlacementBounds {
    fn default() -> PlacementBounds {
        PlacementBounds {
            hot: 0.9,
            cold: 0.4,
            hold: Duration::from_secs(10),
            pace: Duration::from_secs(30),
        }
    }
}

/// The load of a part, over the engines that serve it.
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
    fn without(&self, seen: &Seen) -> f64 {
        let slots = self.slots - f64::from(seen.slots);
        if slots > 0.0 { self.work / slots } else { f64::INFINITY }
    }
}

/// Why a part needs a spare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    Lost,
    Hot,
}

/// Chooses what spare engines should hold.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    bounds: PlacementBounds,
    placed: BTreeMap<TargetId, Part>,
    needs: BTreeMap<Part, (Need, Instant)>,
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
        seen: &BTreeMap<TargetId, Seen>,
    ) -> BTreeMap<TargetId, Desired> {
        let parts: BTreeMap<Part, &Desired> = fixed.values().map(|w| (Part::of(w), w)).collect();
        self.adopt(&parts, spares, seen);
        let loads = self.loads(fixed, seen);
        self.note_needs(now, &loads);
        if let Some((part, need)) = self.pressing(now, &loads)
            && let Some(spare) = self.donor(need, &part, spares, seen, &loads)
        {
            if need == Need::Hot {
                self.moved = Some(now);
            }
            self.needs.remove(&part);
            self.placed.insert(spare, part);
        }
        let want = |(id, part): (&TargetId, &Part)| {
            let checks = *spares.get(id)?;
            let like = *parts.get(part)?;
            Some((id.clone(), Desired { checks, ..like.clone() }))
        };
        self.placed.iter().filter_map(want).collect()
    }

    /// Takes over what spares hold, so that a new holder of the lease moves nothing.
    fn adopt(
        &mut self,
        parts: &BTreeMap<Part, &Desired>,
        spares: &BTreeMap<TargetId, bool>,
        seen: &BTreeMap<TargetId, Seen>,
    ) {
        self.placed.retain(|id, part| spares.contains_key(id) && parts.contains_key(part));
        for id in spares.keys() {
            let Some(part) = seen.get(id).and_then(Seen::part) else { continue };
            if parts.contains_key(&part) {
                self.placed.entry(id.clone()).or_insert(part);
            }
        }
    }

    fn loads(
        &self,
        fixed: &BTreeMap<TargetId, Desired>,
        seen: &BTreeMap<TargetId, Seen>,
    ) -> BTreeMap<Part, Load> {
        let mut loads: BTreeMap<Part, Load> = BTreeMap::new();
        let declared = fixed.iter().map(|(id, want)| (id, Part::of(want)));
        let placed = self.placed.iter().map(|(id, part)| (id, part.clone()));
        for (id, part) in declared.chain(placed) {
            let load = loads.entry(part.clone()).or_default();
            let Some(holds) = seen.get(id) else { continue };
            load.coming += 1;
            if holds.serves && holds.part() == Some(part) {
                load.live += 1;
                load.work += f64::from(holds.running) + f64::from(holds.queue);
                load.slots += f64::from(holds.slots);
            }
        }
        loads
    }

    fn note_needs(&mut self, now: Instant, loads: &BTreeMap<Part, Load>) {
        let need = |load: &Load| {
            let hot = load.live > 0 && load.ratio() >= self.bounds.hot;
            if load.coming == 0 { Some(Need::Lost) } else { hot.then_some(Need::Hot) }
        };
        let needs = loads.iter().filter_map(|(part, load)| Some((part.clone(), need(load)?)));
        let needs: Vec<(Part, Need)> = needs.collect();
        let kept: BTreeSet<&(Part, Need)> = needs.iter().collect();
        self.needs.retain(|part, (need, _)| kept.contains(&(part.clone(), *need)));
        for (part, need) in needs {
            self.needs.entry(part).or_insert((need, now));
        }
    }

    /// The part that needs a spare most, if one has needed it for long enough.
    fn pressing(&self, now: Instant, loads: &BTreeMap<Part, Load>) -> Option<(Part, Need)> {
        let paced = |need| {
            let moved = self.moved.map(|at| now.saturating_duration_since(at));
            need == Need::Lost || moved.is_none_or(|past| past >= self.bounds.pace)
        };
        // Help that is on its way counts before more is sent.
        let settled = |part: &Part| loads.get(part).is_some_and(|l| l.coming == l.live);
        let lasting = self.needs.iter().filter(|(part, (need, since))| {
            let lasts = now.saturating_duration_since(*since) >= self.bounds.hold;
            lasts && paced(*need) && settled(part)
        });
        let ratio = |part: &Part| loads.get(part).map_or(0.0, Load::ratio);
        let most = lasting.min_by(|(a, (x, _)), (b, (y, _))| {
            x.cmp(y).then_with(|| ratio(b).total_cmp(&ratio(a)))
        });
        most.map(|(part, (need, _))| (part.clone(), *need))
    }

    /// A spare without a part, or else the one whose part misses it least.
    fn donor(
        &self,
        need: Need,
        part: &Part,
        spares: &BTreeMap<TargetId, bool>,
        seen: &BTreeMap<TargetId, Seen>,
        loads: &BTreeMap<Part, Load>,
    ) -> Option<TargetId> {
        let ready = |id: &&TargetId| seen.get(*id).is_some_and(|s| !s.loading);
        if let Some(free) = spares.keys().filter(ready).find(|id| !self.placed.contains_key(*id)) {
            return Some(free.clone());
        }
        let bound = if need == Need::Lost { self.bounds.hot } else { self.bounds.cold };
        let rest = |(id, from): (&TargetId, &Part)| {
            let holds = seen.get(id)?;
            let load = loads.get(from)?;
            let serves = holds.serves && holds.part().as_ref() == Some(from);
            (serves && from != part).then(|| (load.without(holds), id.clone()))
        };
        let rests = self.placed.iter().filter_map(rest).filter(|(ratio, _)| *ratio <= bound);
        rests.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }
}

impl Seen {
    /// The part that it holds, if it is not loading.
    fn part(&self) -> Option<Part> {
        let model = self.model.clone().filter(|_| !self.loading)?;
        Some(Part { model, layers: self.layers })
    }
}
