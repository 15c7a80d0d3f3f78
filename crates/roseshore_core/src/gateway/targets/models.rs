//! Compares the layers that records and reports state with the models of the configuration.
//!
//! Other programs write to the platform's list too. Layers that a service's model does not have
//! show that an entry is none of its engines, even if every field can be read. The list keeps such
//! an entry, since all hosts compare their lists by digest and may have different configurations
//! for a moment, but nothing uses it while the configuration in force does not fit it.

use super::Targets;
use super::target::{ReportedHolding, Target};
use crate::gateway::routes::{EngineSpec, ServiceSpec, Snapshot};
use crate::prelude::*;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// The services that have a model, by the configuration in force.
#[derive(Clone, Debug, Default)]
pub(super) struct Models {
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
    /// Entries that were found not to fit and have not been collected yet.
    found: Vec<ForeignLayers>,
}

impl Models {
    /// Whether the service's model has these layers; true for a service without a model.
    pub(super) fn contain(&self, service: &str, layers: (Layer, Layer)) -> bool {
        self.model(service).is_none_or(|spec| spec.contains(layers))
    }

    fn model(&self, service: &str) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }

    /// Compares a target's record with the model of its service.
    pub(super) fn check(&mut self, target: &mut Target) {
        let record = &target.record;
        let before = target.foreign;
        target.foreign = record.holding.is_some_and(|h| !self.contain(&record.service, h.layers));
        if target.foreign && !before {
            self.found.push(ForeignLayers {
                target: record.id.clone(),
                layers: record.listed_layers(),
                model: self.model(&record.service).map_or(0, |spec| spec.layers),
            });
        }
    }
}

/// An entry whose layers the model of its service does not have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForeignLayers {
    /// Id of the entry.
    pub target: TargetId,
    /// The layers that it lists.
    pub layers: (Layer, Layer),
    /// Number of layers of the model.
    pub model: Layer,
}

impl fmt::Display for ForeignLayers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = self.layers;
        write!(f, "layers {from}-{to} are outside the model, which has {}", self.model)
    }
}

impl Targets {
    /// Sets the models by a new configuration, and compares all records and reports with them.
    pub fn set_models(&mut self, snapshot: &Snapshot) {
        let services = snapshot.engine_services();
        self.models.services = services.map(|s| (s.name.clone(), s.clone())).collect();
        for target in self.all.values_mut() {
            self.models.check(target);
            let service = &target.record.service;
            let fits = |report: &ReportedHolding| {
                report.holding.is_none_or(|h| self.models.contain(service, h.layers))
            };
            target.reported_holding = target.reported_holding.filter(fits);
        }
    }

    /// Whether the model of a target's service has these layers; false for an unknown target.
    pub fn model_contains(&self, id: &str, layers: (Layer, Layer)) -> bool {
        self.all.get(id).is_some_and(|t| self.models.contain(&t.record.service, layers))
    }

    /// The entries that were found not to fit their model since the last call.
    pub fn take_foreign(&mut self) -> Vec<ForeignLayers> {
        std::mem::take(&mut self.models.found)
    }
}
