//! Which version of a model new answers use while targets change from one to the next.
//!
//! The declared version is in force in a data centre as soon as a whole chain of it serves there;
//! until then new answers use the version that served before, as long as a chain of that is whole.
//! The step is taken once: an older version is not used again unless it is declared again. An
//! answer keeps the version that it began with, so texts of two versions are never mixed.

use crate::order::reconciler::tiles;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Layers of one version of a model that an engine can run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedRange {
    /// The version of the weights.
    pub version: VersionId,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// Whether the engine stands in the own data centre.
    pub local: bool,
}

/// What the engines of a model hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedRanges {
    /// Of usable engines.
    pub ranges: Vec<LoadedRange>,
    /// Whether every engine of the own data centre has been heard of, or is out of use.
    pub complete: bool,
}

/// The versions of which a whole chain serves.
struct Whole {
    near: BTreeSet<VersionId>,
    anywhere: BTreeSet<VersionId>,
}

impl Whole {
    fn new(loaded: &LoadedRanges, depth: Layer) -> Whole {
        let of = |version: &VersionId, far: bool| {
            let held = loaded.ranges.iter().filter(|p| p.version == *version && (far || p.local));
            tiles(held.map(|p| p.layers), depth)
        };
        let versions: BTreeSet<&VersionId> = loaded.ranges.iter().map(|p| &p.version).collect();
        let whole = |far| versions.iter().filter(|v| of(v, far)).map(|v| (*v).clone()).collect();
        Whole { near: whole(false), anywhere: whole(true) }
    }

    fn newest_but(&self, declared: &VersionId) -> Option<VersionId> {
        let old = |set: &BTreeSet<VersionId>| set.iter().rfind(|v| *v != declared).cloned();
        old(&self.near).or_else(|| old(&self.anywhere))
    }
}

/// The version for a new answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The version.
    pub version: VersionId,
    /// Whether answers used another one until now.
    pub switched: bool,
}

/// The versions in use, by model.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    serving: BTreeMap<ModelId, VersionId>,
}

impl Rollout {
    /// Forgets models that are not declared any more.
    pub fn declare(&mut self, fleet: &Fleet) {
        self.serving.retain(|model, _| fleet.models.contains_key(model));
    }

    /// Chooses the version for a new answer of a model with `depth` layers.
    ///
    /// `look` is called only while the declared version is not yet in use here.
    pub fn choose(
        &mut self,
        model: &ModelId,
        declared: &VersionId,
        depth: Layer,
        look: impl FnOnce() -> LoadedRanges,
    ) -> Choice {
        let serving = self.serving.get(model).cloned();
        let stay = |version: &VersionId| Choice { version: version.clone(), switched: false };
        if serving.as_ref() == Some(declared) {
            return stay(declared);
        }
        let loaded = look();
        let whole = Whole::new(&loaded, depth);
        // A daemon that has just started knows no former version. It takes what it finds, but
        // only once a chain of the declared one cannot merely be unheard of.
        let old =
            serving.clone().or_else(|| whole.newest_but(declared).filter(|_| loaded.complete));
        let old = old.as_ref();
        let new = Some(declared);
        let order = [(new, &whole.near), (old, &whole.near), (new, &whole.anywhere)];
        let last = [(old, &whole.anywhere)];
        let mut ways = order.into_iter().chain(last);
        let Some(version) = ways.find_map(|(v, set)| v.filter(|v| set.contains(*v))) else {
            return stay(declared);
        };
        if serving.as_ref() == Some(version) {
            return stay(version);
        }
        self.serving.insert(model.clone(), version.clone());
        Choice { version: version.clone(), switched: serving.is_some() }
    }
}
