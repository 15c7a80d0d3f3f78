//! Decisions of an entry host, which forwards requests of the configured routes to targets.
//!
//! What a host knows:
//! - [`routes`]: the operator's configuration as one immutable snapshot;
//! - [`settings`]: the settings of the process;
//! - [`targets`]: the targets and their load; [`paces`]: how fast engines run;
//!   [`demand`]: what callers ask of a service;
//! - [`position`]: how far the store's logs were read; [`config_lease`]: whether the configuration
//!   is still known to be the newest;
//! - [`fatal`]: which requests crash their targets, identified by [`fingerprint`];
//! - [`liveness`]: when an unanswered check shows that a target is dead.
//!
//! What a host decides for a request:
//! - [`admission`]: whether it is sent, waits or is refused under load;
//! - [`path`]: the engines that it runs through; [`tried`]: the targets that it was sent to;
//!   [`avoid`]: those that it is not sent to again;
//! - [`failure`]: the next step after a failed send; [`progress`]: whether its targets are full,
//!   slow or dead; [`moves`]: how many silent requests are sent elsewhere before they were read;
//!   [`partial`]: whether what a target sends will become an answer; [`memory`]: what is held for
//!   others, and what of it is given up;
//! - [`unavailable`]: why no target can be chosen; [`returns`]: when a refused caller should come
//!   back;
//! - [`leaving`]: which requests a stopping host still accepts; [`shutdown`]: when it accepts no more
//!   callers, and when it ends; [`poll_timing`]: when a request arrived that a busy host polled late.
//!
//! What hosts do together:
//! - [`quota`]: what they spend together, such as retries;
//! - [`plan`]: the layers that each engine should hold;
//! - [`peers`]: the heartbeats between hosts; [`hashes`] and [`reports`]: what these refer to; [`copies`]: the store's contents that they hand each
//!   other;
//! - [`overload`]: when a host turns new callers away; [`connections`]: how many each may have;
//! - [`store_reads`]: which hosts read the store; [`outage`]: whether a missing entry means that
//!   its target left.

pub mod admission;
pub mod avoid;
pub mod config_lease;
pub mod connections;
pub mod copies;
pub mod demand;
pub mod failure;
pub mod fatal;
pub mod fingerprint;
pub mod hashes;
pub mod leaving;
pub mod liveness;
pub mod memory;
pub mod moves;
pub mod newer_configs;
pub mod outage;
pub mod overload;
pub mod paces;
pub mod partial;
pub mod path;
pub mod peers;
pub mod plan;
pub mod poll_timing;
pub mod position;
pub mod progress;
pub mod quota;
pub mod reports;
pub mod returns;
pub mod routes;
pub mod settings;
pub mod shutdown;
pub mod store_reads;
pub mod targets;
pub mod tried;
pub mod unavailable;
mod window_max;

pub use avoid::AvoidedTargets;
pub use config_lease::ConfigLease;
pub use copies::Copies;
pub use failure::{Fault, NextStep, RetryState};
pub use fatal::FatalRequests;
pub use fingerprint::{Fingerprint, Suspects};
pub use moves::Moves;
pub use newer_configs::NewerConfigs;
pub use outage::StoreOutage;
pub use overload::Overload;
pub use path::{Candidate, Hop, PathRequest};
pub use peers::Peers;
pub use position::Position;
pub use quota::pending_retries::PendingRetries;
pub use quota::retry_budget::RetryBudget;
pub use quota::retry_loans::RetryLoans;
pub use returns::{CallerAges, Returns};
pub use routes::{
    AcceleratorKind, CallKind, EngineSpec, OrganisationSpec, RequestLimits, Route, ServiceSpec,
    Snapshot, WeightedService,
};
pub use settings::{Bounds, EntrySettings};
pub use targets::{Holding, TargetRecord, Targets};
pub use tried::TriedTargets;
pub use unavailable::{SelectionConditions, Unavailable};
