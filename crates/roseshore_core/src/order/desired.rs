//! Derives the desired state of targets from the declared fleet.

use crate::fleet::TargetKind;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// State that a target should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Desired {
    /// Model to load.
    pub model: ModelId,
    /// Version of the weights.
    pub version: VersionId,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// Adapters to load.
    pub adapters: BTreeSet<AdapterId>,
    /// Size of the weights of these layers, in bytes, to be read from the weight store.
    pub bytes: u64,
    /// Number of layers of the whole model.
    pub depth: Layer,
    /// Whether the target rejects stale fencing tokens.
    pub checks_fence: bool,
}

/// Returns the desired state of every engine of a data centre that is declared with a model and
/// layers.
///
/// Spare engines are left to [`crate::order::placement`], other targets stay as they are.
pub fn desired(fleet: &Fleet, data_centre: &DataCentreId) -> BTreeMap<TargetId, Desired> {
    let own = fleet.targets.iter().filter(|(_, t)| t.data_centre == *data_centre);
    own.filter_map(|(id, target)| Some((id.clone(), desired_state(fleet, target)?))).collect()
}

/// Returns the spare engines of a data centre, which are declared with neither a model nor layers,
/// and whether each rejects stale fencing tokens.
pub fn spares(fleet: &Fleet, data_centre: &DataCentreId) -> BTreeMap<TargetId, bool> {
    let own = fleet.targets.iter().filter(|(_, t)| t.data_centre == *data_centre);
    own.filter(|(_, t)| t.kind == TargetKind::Engine && t.model.is_none() && t.layers.is_none())
        .map(|(id, target)| (id.clone(), target.checks_fence))
        .collect()
}

fn desired_state(fleet: &Fleet, target: &Target) -> Option<Desired> {
    let id = target.model.as_ref()?;
    let layers = target.layers?;
    let model = fleet.models.get(id)?;
    Some(Desired {
        model: id.clone(),
        version: model.version.clone(),
        layers,
        adapters: model.adapters.clone(),
        bytes: u64::from(layers.1.saturating_sub(layers.0)) * model.layer_bytes,
        depth: model.layers,
        checks_fence: target.checks_fence,
    })
}
