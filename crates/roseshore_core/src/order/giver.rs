//! Which orders to give now.
//!
//! Orders are level-triggered: an order says what to hold, and is given again until the target
//! reports that. So a lost reply needs no memory, and an order of a former holder that lands late
//! is put right by the next round. Three bounds hold: a target whose going would break the last
//! whole chain of what it serves now waits for another, the weight store's backlog stays within a
//! horizon, and a target is not ordered again before its last order can have taken effect.

use crate::order::desired::Desired;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// What a target reports that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The model, if any.
    pub model: Option<ModelId>,
    /// The version.
    pub version: Option<VersionId>,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// The adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// Whether a load is under way.
    pub loading: bool,
}

impl Seen {
    fn fits(&self, want: &Desired) -> bool {
        !self.loading
            && self.model.as_ref() == Some(&want.model)
            && self.version.as_ref() == Some(&want.version)
            && self.layers == want.layers
            && self.adapters == want.adapters
    }
}

/// The weight store's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Store {
    /// Bytes a second.
    pub rate: u64,
    /// Bytes asked for and not yet given.
    pub backlog: u64,
}

/// The bounds of [`Giver`].
#[derive(Clone, Copy, Debug)]
pub struct GiverBounds {
    /// The longest backlog that a new load may find at the weight store.
    pub horizon: Duration,
    /// How long an order has before it is given again.
    pub again: Duration,
    /// The longest wait between repeats of an order that has no effect.
    pub longest: Duration,
}

impl Default for GiverBounds {
    fn default() -> GiverBounds {
        GiverBounds {
            horizon: Duration::from_secs(20),
            again: Duration::from_secs(2),
            longest: Duration::from_mins(1),
        }
    }
}

#[derive(Clone, Debug)]
struct Given {
    want: Desired,
    next: Instant,
    tries: u32,
}

/// Decides which orders to give.
#[derive(Clone, Debug, Default)]
pub struct Giver {
    bounds: GiverBounds,
    given: BTreeMap<TargetId, Given>,
}

impl Giver {
    /// A giver that has given nothing yet.
    pub fn new(bounds: GiverBounds) -> Giver {
        Giver { bounds, given: BTreeMap::new() }
    }

    /// The targets to order now, each with what it should hold.
    ///
    /// `seen` has only targets whose report is fresh; a silent target is not ordered. `allowed`
    /// says whether orders may be given to a target with this `checks` mark. `store` is `None`
    /// while the weight store does not answer; loads wait for it then.
    pub fn due(
        &mut self,
        now: Instant,
        wants: &BTreeMap<TargetId, Desired>,
        seen: &BTreeMap<TargetId, Seen>,
        store: Option<Store>,
        allowed: impl Fn(bool) -> bool,
    ) -> Vec<(TargetId, Desired)> {
        self.forget(wants, seen);
        let mut serving = Serving::new(seen, wants);
        let (spare, blocked): (Vec<_>, Vec<_>) = wants
            .iter()
            .filter_map(|(id, want)| Some((id, want, seen.get(id)?)))
            .filter(|(_, want, holds)| !holds.loading && !holds.fits(want))
            .partition(|(id, want, holds)| serving.spare(id, holds, want));
        let mut changing = self.changing(seen);
        changing.extend(spare.iter().map(|(_, want, _)| &want.model));
        // Nothing else of the model is on the move, so waiting would last for ever: a model with a
        // single chain has to go out of service for its change.
        let forced = blocked.into_iter().filter(|(_, want, _)| !changing.contains(&want.model));
        let candidates: Vec<_> = spare.iter().copied().chain(forced).collect();
        let mut budget = Budget::new(store, self.bounds.horizon);
        let mut orders = Vec::new();
        for (id, want, holds) in candidates {
            let bytes = if same_weights(holds, want) { 0 } else { want.bytes };
            if allowed(want.checks) && self.waited(id, want, now) && budget.take(bytes) {
                orders.push((id.clone(), want.clone()));
            }
        }
        for (id, want) in &orders {
            self.note(id, want, now);
        }
        orders
    }

    /// The models of which a load is under way or ordered.
    fn changing<'a>(&'a self, seen: &'a BTreeMap<TargetId, Seen>) -> BTreeSet<&'a ModelId> {
        let loading = seen.values().filter(|holds| holds.loading);
        let ordered = self.given.values().map(|given| &given.want.model);
        loading.filter_map(|holds| holds.model.as_ref()).chain(ordered).collect()
    }

    fn waited(&self, id: &TargetId, want: &Desired, now: Instant) -> bool {
        self.given.get(id).is_none_or(|given| given.want != *want || now >= given.next)
    }

    fn note(&mut self, id: &TargetId, want: &Desired, now: Instant) {
        let tries = match self.given.get(id) {
            Some(given) if given.want == *want => given.tries + 1,
            _ => 0,
        };
        let backoff = self.bounds.again * 2_u32.saturating_pow(tries.min(10));
        let next = now + backoff.min(self.bounds.longest);
        self.given.insert(id.clone(), Given { want: want.clone(), next, tries });
    }

    /// Drops what was given to targets that hold it by now or are no longer declared.
    fn forget(&mut self, wants: &BTreeMap<TargetId, Desired>, seen: &BTreeMap<TargetId, Seen>) {
        self.given.retain(|id, given| {
            // A silent target does not hold up the change of the others.
            let open = seen.get(id).is_some_and(|holds| !holds.fits(&given.want));
            open && wants.contains_key(id)
        });
    }
}

/// An order that changes adapters only costs the weight store nothing worth counting.
fn same_weights(holds: &Seen, want: &Desired) -> bool {
    holds.model.as_ref() == Some(&want.model)
        && holds.version.as_ref() == Some(&want.version)
        && holds.layers == want.layers
}

/// Bytes that may be asked of the weight store in one round.
struct Budget {
    left: u64,
    idle: bool,
}

impl Budget {
    fn new(store: Option<Store>, horizon: Duration) -> Budget {
        let most = store.map_or(0, |s| (s.rate as f64 * horizon.as_secs_f64()) as u64);
        let backlog = store.map_or(0, |s| s.backlog);
        Budget { left: most.saturating_sub(backlog), idle: store.is_some() && backlog == 0 }
    }

    /// Takes bytes if there is room; an idle store takes any one load, however large.
    fn take(&mut self, bytes: u64) -> bool {
        if bytes > self.left && !(self.idle && bytes > 0) {
            return false;
        }
        self.left = self.left.saturating_sub(bytes);
        self.idle &= bytes == 0;
        true
    }
}

/// The layer ranges that serve one version of one model.
type Ranges<'a> = BTreeMap<&'a TargetId, (Layer, Layer)>;

/// The targets that serve now, by model and version.
struct Serving<'a> {
    now: BTreeMap<(&'a ModelId, &'a VersionId), Ranges<'a>>,
    /// Those among them that hold what they should.
    done: BTreeMap<(&'a ModelId, &'a VersionId), Ranges<'a>>,
    /// The number of layers of each model that is wanted.
    depths: BTreeMap<&'a ModelId, Layer>,
}

impl<'a> Serving<'a> {
    fn new(
        seen: &'a BTreeMap<TargetId, Seen>,
        wants: &'a BTreeMap<TargetId, Desired>,
    ) -> Serving<'a> {
        let depths = wants.values().map(|want| (&want.model, want.depth)).collect();
        let mut serving = Serving { now: BTreeMap::new(), done: BTreeMap::new(), depths };
        for (id, holds) in seen {
            let (Some(model), Some(version), false) = (&holds.model, &holds.version, holds.loading)
            else {
                continue;
            };
            serving.now.entry((model, version)).or_default().insert(id, holds.layers);
            if wants.get(id).is_some_and(|want| holds.fits(want)) {
                serving.done.entry((model, version)).or_default().insert(id, holds.layers);
            }
        }
        serving
    }

    /// Takes a target out of service if nothing is lost by it: what it serves is not whole, stays
    /// whole without it, or is replaced by a whole chain that holds what it should.
    fn spare(&mut self, id: &TargetId, holds: &Seen, want: &Desired) -> bool {
        let (Some(model), Some(version)) = (&holds.model, &holds.version) else {
            return true;
        };
        // A model that no target is wanted for may go.
        let Some(&depth) = self.depths.get(model) else {
            return true;
        };
        let replaced = *model == want.model
            && find(&mut self.done, model, &want.version)
                .is_some_and(|ranges| tiles(ranges.values().copied(), depth));
        let Some(group) = find(&mut self.now, model, version) else {
            return true;
        };
        let whole = tiles(group.values().copied(), depth);
        let Some((key, range)) = group.remove_entry(id) else {
            return true;
        };
        if whole && !replaced && !tiles(group.values().copied(), depth) {
            group.insert(key, range);
            return false;
        }
        true
    }
}

/// Looks up a group by borrowed ids of any lifetime.
fn find<'a, 'b>(
    groups: &'b mut BTreeMap<(&'a ModelId, &'a VersionId), Ranges<'a>>,
    model: &ModelId,
    version: &VersionId,
) -> Option<&'b mut Ranges<'a>> {
    groups.iter_mut().find(|((m, v), _)| *m == model && *v == version).map(|(_, ranges)| ranges)
}

/// Whether some of the ranges follow each other from 0 to `depth` without hole or overlap.
pub fn tiles(ranges: impl Iterator<Item = (Layer, Layer)>, depth: Layer) -> bool {
    let mut sorted: Vec<(Layer, Layer)> = ranges.filter(|(from, to)| from < to).collect();
    sorted.sort_unstable();
    let mut reached = BTreeSet::from([0]);
    for (from, to) in sorted {
        if reached.contains(&from) {
            reached.insert(to);
        }
    }
    reached.contains(&depth)
}
