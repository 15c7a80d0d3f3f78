//! The decisions of an entry host that forwards declared routes.
//!
//! What is known:
//! - [`routes`]: the operator's configuration as one immutable snapshot;
//! - [`targets`]: the targets; [`paces`]: how fast engines are; [`limits`]: what targets take from all hosts together;
//! - [`position`], [`currency`]: how far the store was read, and whether the configuration is known to be the newest;
//! - [`fatal`]: which requests end their targets, by [`fingerprint`].
//!
//! What follows for a request:
//! - [`path`]: the engines that it runs through; [`avoid`]: the targets that it is kept from;
//! - [`failure`]: what follows a failed send; [`allowance`]: how many sends may be repeated;
//! - [`hindrance`]: why none can be made; [`shortage`]: when its caller should come back;
//! - [`leaving`]: what a host that stops still takes; [`look`]: how late a busy host looks at what came.
//!
//! What hosts do together:
//! - [`plan`]: the layers that each engine should hold;
//! - [`peers`]: what hosts tell each other; [`copies`]: what they hand each other of the store;
//! - [`reading`]: which of them ask the store; [`outage`]: what a missing entry means.

pub mod allowance;
pub mod avoid;
pub mod copies;
pub mod currency;
pub mod failure;
pub mod fatal;
pub mod fingerprint;
pub mod hindrance;
pub mod leaving;
pub mod limits;
pub mod look;
pub mod outage;
pub mod paces;
pub mod path;
pub mod peers;
pub mod plan;
pub mod position;
pub mod reading;
pub mod routes;
pub mod settings;
pub mod shortage;
pub mod targets;

pub use allowance::Allowance;
pub use avoid::Avoid;
pub use copies::Copies;
pub use currency::Currency;
pub use failure::{Fault, Next, Standing};
pub use fatal::FatalRequests;
pub use fingerprint::Fingerprint;
pub use hindrance::{Hindrance, Wish};
pub use outage::Outage;
pub use path::{Hop, Part, PathNeed};
pub use peers::Peers;
pub use position::Position;
pub use routes::{
    CallKind, EngineSpec, Kind, Limits, OrganisationSpec, Route, ServiceSpec, Share, Snapshot,
};
pub use settings::{Bounds, EntrySettings};
pub use shortage::Shortage;
pub use targets::{Holding, TargetRecord, Targets};
