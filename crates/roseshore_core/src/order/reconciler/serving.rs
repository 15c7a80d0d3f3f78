//! Which targets of a model serve now, and what is lost when one of them goes.

use super::Observed;
use crate::order::desired::Desired;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// At most one part in so many of the targets with the same layers changes at a time, until the
/// version that they change to serves.
const SHARE: usize = 2;

/// What the going of a target means for its model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Going {
    /// Nothing: it serves nothing whole.
    Free,
    /// Another chain of what it serves stays whole.
    Spare,
    /// What it serves is replaced by a whole chain that holds what it should.
    Replaced,
    /// The last whole chain of the model would go, or too many would go at once.
    Last,
}

/// The layer ranges that serve one version of one model.
type Ranges<'a> = BTreeMap<&'a TargetId, (Layer, Layer)>;

/// The targets that are to hold the same layers.
#[derive(Clone, Copy, Debug, Default)]
struct Peers {
    all: usize,
    moving: usize,
}

/// The targets that serve now, by model and version.
pub(super) struct Serving<'a> {
    now: BTreeMap<(&'a ModelId, &'a VersionId), Ranges<'a>>,
    /// Those among them that hold what they should.
    done: BTreeMap<(&'a ModelId, &'a VersionId), Ranges<'a>>,
    /// The number of layers of each model that is wanted.
    depths: BTreeMap<&'a ModelId, Layer>,
    peers: BTreeMap<(&'a ModelId, (Layer, Layer)), Peers>,
}

impl<'a> Serving<'a> {
    pub(super) fn new(
        seen: &'a BTreeMap<TargetId, Observed>,
        wants: &'a BTreeMap<TargetId, Desired>,
    ) -> Serving<'a> {
        let depths = wants.values().map(|want| (&want.model, want.depth)).collect();
        let mut serving = Serving {
            now: BTreeMap::new(),
            done: BTreeMap::new(),
            depths,
            peers: peers(wants, seen),
        };
        for (id, holds) in seen {
            let (Some(model), Some(version), false) =
                (&holds.model, &holds.version, holds.loading || !holds.serves)
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

    /// Takes a target out of service if nothing is lost by it.
    pub(super) fn leave(&mut self, id: &TargetId, holds: &Observed, want: &'a Desired) -> Going {
        let (Some(model), Some(version)) = (&holds.model, &holds.version) else {
            return Going::Free;
        };
        // A model that no target is wanted for may go.
        let Some(&depth) = self.depths.get(model) else {
            return Going::Free;
        };
        let replaced = *model == want.model
            && find(&mut self.done, model, &want.version)
                .is_some_and(|ranges| tiles(ranges.values().copied(), depth));
        let Some(group) = find(&mut self.now, model, version) else {
            return Going::Free;
        };
        let whole = tiles(group.values().copied(), depth);
        let Some((key, range)) = group.remove_entry(id) else {
            return Going::Free;
        };
        if replaced {
            return Going::Replaced;
        }
        if !whole {
            return Going::Free;
        }
        let rest = tiles(group.values().copied(), depth);
        let peers = self.peers.entry((&want.model, want.layers)).or_default();
        if !rest || peers.moving >= (peers.all / SHARE).max(1) {
            group.insert(key, range);
            return Going::Last;
        }
        peers.moving += 1;
        Going::Spare
    }
}

fn peers<'a>(
    wants: &'a BTreeMap<TargetId, Desired>,
    seen: &BTreeMap<TargetId, Observed>,
) -> BTreeMap<(&'a ModelId, (Layer, Layer)), Peers> {
    let mut peers: BTreeMap<_, Peers> = BTreeMap::new();
    for (id, want) in wants {
        let row = peers.entry((&want.model, want.layers)).or_default();
        row.all += 1;
        row.moving += usize::from(seen.get(id).is_some_and(|s| s.loading || !s.serves));
    }
    peers
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
