//! Chooses the version of a model for new answers while targets change from one version to another.
//!
//! The declared version is used in a data centre as soon as a complete chain of it serves there.
//! Until then new answers use the previous version, as long as a chain of that is complete. The
//! switch happens once: an older version is not used again unless it is declared again. An answer
//! keeps the version that it started with, so texts of two versions are never mixed.

use crate::order::reconciler::tiles;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Layers of one version of a model that an engine serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedRange {
    /// Version of the weights.
    pub version: VersionId,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// Whether the engine is in this daemon's data centre.
    pub local: bool,
}

/// Layer ranges of a model that engines have loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedRanges {
    /// Ranges of usable engines.
    pub ranges: Vec<LoadedRange>,
    /// Whether every engine of this daemon's data centre has sent a report or is unusable.
    pub complete: bool,
}

/// Versions with a complete chain, in this daemon's data centre or in all together.
struct CompleteVersions {
    local: BTreeSet<VersionId>,
    anywhere: BTreeSet<VersionId>,
}

impl CompleteVersions {
    fn new(loaded: &LoadedRanges, depth: Layer) -> CompleteVersions {
        let of = |version: &VersionId, far: bool| {
            let ranges = loaded.ranges.iter().filter(|r| r.version == *version && (far || r.local));
            tiles(ranges.map(|r| r.layers), depth)
        };
        let versions: BTreeSet<&VersionId> = loaded.ranges.iter().map(|r| &r.version).collect();
        let complete = |far| versions.iter().filter(|v| of(v, far)).map(|v| (*v).clone()).collect();
        CompleteVersions { local: complete(false), anywhere: complete(true) }
    }

    fn newest_except(&self, declared: &VersionId) -> Option<VersionId> {
        let old = |set: &BTreeSet<VersionId>| set.iter().rfind(|v| *v != declared).cloned();
        old(&self.local).or_else(|| old(&self.anywhere))
    }
}

/// Version chosen for a new answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Version of the weights.
    pub version: VersionId,
    /// Whether previous answers used another version.
    pub switched: bool,
}

/// Versions that new answers use, by model.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    serving: BTreeMap<ModelId, VersionId>,
}

impl Rollout {
    /// Drops models that are no longer declared.
    pub fn declare(&mut self, fleet: &Fleet) {
        self.serving.retain(|model, _| fleet.models.contains_key(model));
    }

    /// Chooses the version for a new answer of a model with `depth` layers.
    ///
    /// `loaded_ranges` is called only while the declared version is not in use yet.
    pub fn choose(
        &mut self,
        model: &ModelId,
        declared: &VersionId,
        depth: Layer,
        loaded_ranges: impl FnOnce() -> LoadedRanges,
    ) -> Choice {
        let serving = self.serving.get(model).cloned();
        let keep = |version: &VersionId| Choice { version: version.clone(), switched: false };
        if serving.as_ref() == Some(declared) {
            return keep(declared);
        }
        let loaded = loaded_ranges();
        let complete = CompleteVersions::new(&loaded, depth);
        // A daemon that has just started knows no previous version. It adopts a version that
        // serves, but only once all engines have reported: before that, a chain of the declared
        // version may exist without being known.
        let old = serving
            .clone()
            .or_else(|| complete.newest_except(declared).filter(|_| loaded.complete));
        let old = old.as_ref();
        let new = Some(declared);
        let order = [(new, &complete.local), (old, &complete.local), (new, &complete.anywhere)];
        let last = [(old, &complete.anywhere)];
        let mut candidates = order.into_iter().chain(last);
        let Some(version) = candidates.find_map(|(v, set)| v.filter(|v| set.contains(*v))) else {
            return keep(declared);
        };
        if serving.as_ref() == Some(version) {
            return keep(version);
        }
        self.serving.insert(model.clone(), version.clone());
        Choice { version: version.clone(), switched: serving.is_some() }
    }
}
