//! The declared state of a fleet.
//!
//! A [`Fleet`] is what the fold over the configuration stream yields and what every other decision
//! reads. Objects are kept by id in ordered maps, so that equal fleets serialize alike and a
//! digest over them can be compared between daemons.

use crate::ids::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Everything that operators have declared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The zones, by id.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// The models, by id.
    pub models: BTreeMap<ModelId, Model>,
    /// The services, by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// The customers, by id.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// The back ends, by id.
    pub targets: BTreeMap<TargetId, Target>,
}

/// A zone of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The region it lies in.
    pub region: RegionId,
    /// One-way delay to other data centres, in milliseconds; absent ones count as a default.
    #[serde(default)]
    pub links: BTreeMap<DataCentreId, f64>,
}

/// A model family and the version that is served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The number of layers that every token passes.
    pub layers: Layer,
    /// The version that new answers use.
    pub version: VersionId,
    /// Adapters that callers may ask for.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterId>,
    /// Size of the weights of one layer, in bytes; what a load costs the weight store.
    #[serde(default = "layer_bytes")]
    pub layer_bytes: u64,
}

/// What a service is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Answers by a model over several stages.
    Model,
    /// Answers by name from one or more sources, idempotent.
    Lookup,
    /// Forwards the call to one replica.
    Plain,
}

/// A named service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What it is.
    pub kind: ServiceKind,
    /// The model behind it, for [`ServiceKind::Model`].
    #[serde(default)]
    pub model: Option<ModelId>,
    /// The sources behind it in declared order, for [`ServiceKind::Lookup`]; the first that holds a
    /// name gives the answer.
    #[serde(default)]
    pub sources: Vec<String>,
    /// Whether a call may be run more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Whether its answers are counted in the account of late and repeated ones.
    #[serde(default)]
    pub advisory: bool,
    /// The time a request has when the caller names none.
    #[serde(default = "default_deadline", with = "millis")]
    pub deadline: Duration,
}

/// A customer and its limits, for the whole system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its part of a saturated service, relative to the others.
    #[serde(default = "one")]
    pub share: f64,
    /// Requests a second over all daemons.
    #[serde(default = "default_rate")]
    pub rate: f64,
    /// Requests that may come at once.
    #[serde(default = "default_burst")]
    pub burst: f64,
}

/// What a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine that holds a range of layers.
    Engine,
    /// A replica of a plain or lookup service.
    Service,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// What it is.
    pub kind: TargetKind,
    /// The machine it runs on, as the host list names it.
    pub host: HostId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The service source it serves, for [`TargetKind::Service`]: `service` or `service/source`.
    #[serde(default)]
    pub serves: Option<String>,
    /// The model it should hold, for [`TargetKind::Engine`]; one without model and layers is spare,
    /// see [`crate::order::placement`].
    #[serde(default)]
    pub model: Option<ModelId>,
    /// The layers it should hold, first and one past the last.
    #[serde(default)]
    pub layers: Option<(Layer, Layer)>,
    /// The kind of accelerator, for the operators' eyes and the cost model's default.
    #[serde(default)]
    pub accelerator: Option<String>,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

fn yes() -> bool {
    true
}

fn one() -> f64 {
    1.0
}

fn default_rate() -> f64 {
    100.0
}

fn default_burst() -> f64 {
    200.0
}

fn default_deadline() -> Duration {
    Duration::from_secs(30)
}

fn layer_bytes() -> u64 {
    64 << 20
}

/// Durations as whole milliseconds, in files and records alike.
pub mod millis {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    /// Writes whole milliseconds.
    ///
    /// # Errors
    /// Those of the serializer.
    pub fn serialize<S: Serializer>(d: &Duration, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_u64(d.as_millis() as u64)
    }

    /// Reads whole milliseconds.
    ///
    /// # Errors
    /// Those of the deserializer.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
        u64::deserialize(d).map(Duration::from_millis)
    }
}
