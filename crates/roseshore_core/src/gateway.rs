//! The decisions of an entry host that forwards declared routes.
//!
//! [`routes`] is the operator's configuration as one immutable snapshot, [`targets`] is what is
//! known of the targets, [`plan`] says which layers each engine should hold, [`path`] which engines
//! a request runs through, [`paces`] how fast these are, [`failure`] what follows a failed send, [`hindrance`] why none can be made, [`outage`] what a missing entry
//! means, [`leaving`] what a host that stops still takes, [`look`] how late a busy host looks at what
//! came, [`allowance`] how many sends may be
//! repeated, [`avoid`] which targets a request is kept from, [`limits`] what targets take from all hosts together, [`peers`] what hosts tell each other, [`reading`] which of them ask the store,
//! [`position`] how far they have read, [`copies`] what they hand each other of it, and [`currency`] whether the configuration is still
//! known to be the newest, and [`fingerprint`] what makes two requests the same,
//! and [`fatal`] which of them end their targets.

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
pub use fatal::Fatal;
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
