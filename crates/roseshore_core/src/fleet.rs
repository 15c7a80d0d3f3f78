//! The declared state of a fleet.
//!
//! A [`Fleet`] is the result of folding the configuration stream and the input of all other
//! decisions. Objects are kept in maps ordered by id, so that equal fleets serialize identically and
//! their digests can be compared between daemons.

use crate::ids::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// All objects that operators have declared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Data centres by id.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Models by id.
    pub models: BTreeMap<ModelId, Model>,
    /// Services by id.
    pub services: BTreeMap<ServiceId, Service>,
    /// Organisations by id.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Targets by id.
    pub targets: BTreeMap<TargetId, Target>,
}

/// Data centre: a zone of hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Region of the data centre.
    pub region: RegionId,
    /// One-way delay to other data centres, in milliseconds; a default applies to absent ones.
    #[serde(default)]
    pub links: BTreeMap<DataCentreId, f64>,
}

/// Model family and the version to serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Number of layers that every token passes through.
    pub layers: Layer,
    /// Version for new answers.
    pub version: VersionId,
    /// Adapters that callers may request.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterId>,
    /// Size of the weights of one layer, in bytes; determines the load on the weight store.
    #[serde(default = "layer_bytes")]
    pub layer_bytes: u64,
}

/// Kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Generates answers with a model that is split over several engines.
    Model,
    /// Looks up names in one or more sources; always idempotent.
    Lookup,
    /// Forwards each call to one replica.
    Plain,
}

/// Named service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Model that generates the answers, for [`ServiceKind::Model`].
    #[serde(default)]
    pub model: Option<ModelId>,
    /// Sources in declared order, for [`ServiceKind::Lookup`]; the first that contains a name
    /// answers.
    #[serde(default)]
    pub sources: Vec<String>,
    /// Whether a call may be executed more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Whether its answers are included in the accounting of late and repeated answers.
    #[serde(default)]
    pub advisory: bool,
    /// Deadline of a request if the caller specifies none.
    #[serde(default = "default_deadline", with = "millis")]
    pub deadline: Duration,
}

/// Organisation and its limits over all daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Share of a saturated service, relative to other organisations.
    #[serde(default = "one")]
    pub share: f64,
    /// Requests per second over all daemons.
    #[serde(default = "default_rate")]
    pub rate: f64,
    /// Number of requests that may arrive at once.
    #[serde(default = "default_burst")]
    pub burst: f64,
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Model engine that holds a range of layers.
    Engine,
    /// Replica of a plain or lookup service.
    Service,
}

/// Target: an engine or a service replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Kind of the target.
    pub kind: TargetKind,
    /// Host that it runs on, by its name in the host list.
    pub host: HostId,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// What it serves, for [`TargetKind::Service`]: `service` or `service/source`.
    #[serde(default)]
    pub serves: Option<String>,
    /// Model that it should hold, for [`TargetKind::Engine`]; an engine without model and layers is
    /// a spare, see [`crate::order::placement`].
    #[serde(default)]
    pub model: Option<ModelId>,
    /// Layers that it should hold: the first and one past the last.
    #[serde(default)]
    pub layers: Option<(Layer, Layer)>,
    /// Kind of accelerator; informs operators and selects the default of the cost model.
    #[serde(default)]
    pub accelerator: Option<String>,
    /// Whether it rejects orders with a stale fencing token.
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

/// Serializes durations as whole milliseconds, in files and in records.
pub mod millis {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    /// Serializes a duration as whole milliseconds.
    ///
    /// # Errors
    /// Those of the serializer.
    pub fn serialize<S: Serializer>(d: &Duration, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_u64(d.as_millis() as u64)
    }

    /// Deserializes a duration from whole milliseconds.
    ///
    /// # Errors
    /// Those of the deserializer.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
        u64::deserialize(d).map(Duration::from_millis)
    }
}
