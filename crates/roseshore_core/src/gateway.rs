//! The decisions of an entry host that forwards declared routes.
//!
//! What is known:
//! - [`routes`]: the operator's configuration as one immutable snapshot;
//! - [`targets`]: the targets; [`paces`]: how fast engines are; [`limits`]: what targets take from all hosts together;
//! - [`position`], [`config_lease`]: how far the store was read, and whether the configuration is known to be the newest;
//! - [`fatal`]: which requests end their targets, by [`fingerprint`].
//!
//! What follows for a request:
//! - [`path`]: the engines that it runs through; [`avoid`]: the targets that it is kept from;
//! - [`failure`]: what follows a failed send; [`retry_budget`]: how many sends may be repeated;
//! - [`unavailable`]: why none can be made; [`shortage`]: when its caller should come back;
//! - [`leaving`]: what a host that stops still takes; [`poll_timing`]: how late a busy host looks at what came.
//!
//! What hosts do together:
//! - [`plan`]: the layers that each engine should hold;
//! - [`peers`]: what hosts tell each other; [`copies`]: what they hand each other of the store;
//! - [`store_reads`]: which of them ask the store; [`outage`]: what a missing entry means.

pub mod avoid;
pub mod config_lease;
pub mod copies;
pub mod failure;
pub mod fatal;
pub mod fingerprint;
pub mod leaving;
pub mod limits;
pub mod outage;
pub mod paces;
pub mod path;
pub mod peers;
pub mod plan;
pub mod poll_timing;
pub mod position;
pub mod retry_budget;
pub mod routes;
pub mod settings;
pub mod shortage;
pub mod store_reads;
pub mod targets;
pub mod unavailable;

pub use avoid::AvoidedTargets;
pub use config_lease::ConfigLease;
pub use copies::Copies;
pub use failure::{Fault, NextStep, RetryState};
pub use fatal::FatalRequests;
pub use fingerprint::Fingerprint;
pub use outage::StoreOutage;
pub use path::{Candidate, Hop, PathRequest};
pub use peers::Peers;
pub use position::Position;
pub use retry_budget::RetryBudget;
pub use routes::{
    AcceleratorKind, CallKind, EngineSpec, OrganisationSpec, RequestLimits, Route, ServiceSpec,
    Snapshot, WeightedService,
};
pub use settings::{Bounds, EntrySettings};
pub use shortage::Shortage;
pub use targets::{Holding, TargetRecord, Targets};
pub use unavailable::{SelectionConditions, Unavailable};
