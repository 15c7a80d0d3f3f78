//! Tracks which targets of a model serve and what taking one of them out of service would break.

use super::Observed;
use crate::order::desired::Desired;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Of the targets that should hold the same layers, at most one in this many changes at a time
/// until the new version serves.
const PEERS_PER_CHANGE: usize = 2;

/// Effect on a model of taking one of its targets out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemovalImpact {
    /// None: the target is not part of a complete chain that is needed.
    None,
    /// Another complete chain of the same version remains.
    Redundant,
    /// A complete chain of the desired version already serves.
    Replaced,
    /// The last complete chain of the version would break, or too many targets would change at once.
    BreaksLastChain,
}

/// Layer ranges that serve one version of a model, by target.
type Ranges<'a> = BTreeMap<&'a TargetId, (Layer, Layer)>;

/// Number of targets that should hold the same layers of a model.
#[derive(Clone, Copy, Debug, Default)]
struct Peers {
    total: usize,
    changing: usize,
}

/// Targets that serve, by model and version.
pub(super) struct Serving<'a> {
    current: BTreeMap<(&'a ModelId, &'a VersionId), Ranges<'a>>,
    /// Those of `current` whose state matches the desired one.
    matching: BTreeMap<(&'a ModelId, &'a VersionId), Ranges<'a>>,
    /// Number of layers of each desired model.
    depths: BTreeMap<&'a ModelId, Layer>,
    peers: BTreeMap<(&'a ModelId, (Layer, Layer)), Peers>,
}

impl<'a> Serving<'a> {
    pub(super) fn new(
        observed: &'a BTreeMap<TargetId, Observed>,
        wants: &'a BTreeMap<TargetId, Desired>,
    ) -> Serving<'a> {
        let depths = wants.values().map(|want| (&want.model, want.depth)).collect();
        let mut serving = Serving {
            current: BTreeMap::new(),
            matching: BTreeMap::new(),
            depths,
            peers: peers(wants, observed),
        };
        for (id, observed) in observed {
            let (Some(model), Some(version), false) =
                (&observed.model, &observed.version, observed.loading || !observed.serves)
            else {
                continue;
            };
            serving.current.entry((model, version)).or_default().insert(id, observed.layers);
            if wants.get(id).is_some_and(|want| observed.matches(want)) {
                serving.matching.entry((model, version)).or_default().insert(id, observed.layers);
            }
        }
        serving
    }

    /// Takes a target out of service unless that breaks the last chain, and returns the effect.
    pub(super) fn remove(
        &mut self,
        id: &TargetId,
        observed: &Observed,
        want: &'a Desired,
    ) -> RemovalImpact {
        let (Some(model), Some(version)) = (&observed.model, &observed.version) else {
            return RemovalImpact::None;
        };
        // A model that no target should hold needs no chain.
        let Some(&depth) = self.depths.get(model) else {
            return RemovalImpact::None;
        };
        let replaced = *model == want.model
            && find(&mut self.matching, model, &want.version)
                .is_some_and(|ranges| tiles(ranges.values().copied(), depth));
        let Some(group) = find(&mut self.current, model, version) else {
            return RemovalImpact::None;
        };
        let whole = tiles(group.values().copied(), depth);
        let Some((key, range)) = group.remove_entry(id) else {
            return RemovalImpact::None;
        };
        if replaced {
            return RemovalImpact::Replaced;
        }
        if !whole {
            return RemovalImpact::None;
        }
        let rest = tiles(group.values().copied(), depth);
        let peers = self.peers.entry((&want.model, want.layers)).or_default();
        if !rest || peers.changing >= (peers.total / PEERS_PER_CHANGE).max(1) {
            group.insert(key, range);
            return RemovalImpact::BreaksLastChain;
        }
        peers.changing += 1;
        RemovalImpact::Redundant
    }
}

fn peers<'a>(
    wants: &'a BTreeMap<TargetId, Desired>,
    observed: &BTreeMap<TargetId, Observed>,
) -> BTreeMap<(&'a ModelId, (Layer, Layer)), Peers> {
    let mut peers: BTreeMap<_, Peers> = BTreeMap::new();
    for (id, want) in wants {
        let row = peers.entry((&want.model, want.layers)).or_default();
        row.total += 1;
        row.changing += usize::from(observed.get(id).is_some_and(|s| s.loading || !s.serves));
    }
    peers
}

/// Looks up the ranges of a version; borrowed ids may have any lifetime.
fn find<'a, 'b>(
    groups: &'b mut BTreeMap<(&'a ModelId, &'a VersionId), Ranges<'a>>,
    model: &ModelId,
    version: &VersionId,
) -> Option<&'b mut Ranges<'a>> {
    groups.iter_mut().find(|((m, v), _)| *m == model && *v == version).map(|(_, ranges)| ranges)
}

/// Whether a subset of `ranges` covers the layers from 0 to `depth` without gap or overlap.
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
