//! What targets should hold, by the declared fleet.

use crate::fleet::TargetKind;
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// What one target should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Desired {
    /// The model.
    pub model: ModelId,
    /// The version of the weights.
    pub version: VersionId,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// The adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// What loading it costs the weight store, bytes.
    pub bytes: u64,
    /// The number of layers of the whole model.
    pub depth: Layer,
    /// Whether the target refuses old fencing numbers.
    pub checks_fence: bool,
}

/// What every engine of a data centre should hold.
///
/// A target without a model or layers is left as it is, or to [`crate::order::placement`].
pub fn desired(fleet: &Fleet, data_centre: &DataCentreId) -> BTreeMap<TargetId, Desired> {
    let own = fleet.targets.iter().filter(|(_, t)| t.data_centre == *data_centre);
    own.filter_map(|(id, target)| Some((id.clone(), of_target(fleet, target)?))).collect()
}

/// The spare engines of a data centre, those declared with neither a model nor layers, and whether
/// each refuses old fencing numbers.
pub fn spares(fleet: &Fleet, data_centre: &DataCentreId) -> BTreeMap<TargetId, bool> {
    let own = fleet.targets.iter().filter(|(_, t)| t.data_centre == *data_centre);
    own.filter(|(_, t)| t.kind == TargetKind::Engine && t.model.is_none() && t.layers.is_none())
        .map(|(id, target)| (id.clone(), target.checks_fence))
        .collect()
}

fn of_target(fleet: &Fleet, target: &Target) -> Option<Desired> {
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
