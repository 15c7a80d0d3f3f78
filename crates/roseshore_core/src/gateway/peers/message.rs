//! What one host tells another: the heartbeat, of itself and of those that it speaks for, and what is asked between
//! them.

use crate::gateway::fatal::FatalReport;
use crate::gateway::paces::PaceReport;
use crate::gateway::position::Position;
use crate::gateway::targets::LayersReport;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// A target in a heartbeat.
pub type TargetHash = u32;
/// A data centre in a heartbeat.
pub type CentreHash = u32;

/// The mark of a target, a service or a data centre.
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// The mark of a target in one of its lives. What hosts tell of a former life has another mark, so it is
/// not taken for word of this one, however late it comes.
pub fn target_hash(id: &str, life: Incarnation) -> TargetHash {
    if life == 0 { name_hash(id) } else { name_hash(&format!("{id}@{life}")) }
}

/// What a host has at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetHash,
    /// Requests in flight.
    pub own: u16,
    /// KV cache that they take, thousands of tokens times layers.
    pub held: u32,
    /// Whether it failed that host of late.
    pub down: bool,
}

/// The layers that a target holds by its own word, or was ordered to hold; the list says so
/// later. An empty range says that it was shown not to hold what the list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingReport {
    /// The target.
    pub target: TargetHash,
    /// Its layers.
    pub word: LayersReport,
    /// Whether it holds them; else it was ordered to.
    pub done: bool,
}

/// What a host has counted of a service's requests and repeated sends in the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// The mark of the service.
    pub service: TargetHash,
    /// Requests.
    pub requests: u32,
    /// Repeated sends.
    pub repeats: u32,
}

/// What a target said of its limit, as one host or another heard it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The target.
    pub target: TargetHash,
    /// Requests a second that it takes from all hosts together, as last named.
    pub limit: f32,
    /// Whether it names none any more.
    pub ended: bool,
    /// How long ago that was, ms.
    pub age: u32,
    /// The host that heard it, and the number of the word there.
    pub origin: (u32, u32),
    /// What the hosts that the sender issues permits to have asked for of late.
    pub wanted: u16,
}

/// A question for a permit to send to a target, to the host that issues them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Comes back with the answer.
    pub number: u64,
    /// The target, and what is known of its limit.
    pub limit: LimitReport,
}

/// The answer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The target.
    pub target: TargetHash,
    /// The number of the question.
    pub number: u64,
    /// Requests that may be sent; 0 for none.
    pub permits: u16,
    /// How long nothing more is to be asked for, ms.
    pub wait: u16,
}

/// A datagram between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Beat(Box<Heartbeat>),
    /// A question for a permit.
    Ask(PermitRequest),
    /// The answer to it.
    Grant(PermitGrant),
}

/// How far a host has read the list of targets, and what it came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// How far that is.
    pub next: Position,
    /// The digest of the list.
    pub digest: u64,
}

/// When what a host has read was last proven to be what the store holds, as times that the hearer
/// can place: from hearing its heartbeat, ms; negative when the proof is older than that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The hearer's time in its last heartbeat that was heard, ms.
    pub sent: u64,
    /// The proof of the configuration.
    pub config: Option<i64>,
    /// The proof of the list of targets.
    pub list: Option<i64>,
}

/// Whose loads and counts a heartbeat tells, and of how many hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender's.
    #[default]
    Own,
    /// Those of the sender's data centre, for another one.
    Centre(u16),
    /// Those of all hosts but the hearer, for a host that hears none but speakers.
    Others(u16),
}

/// A host that a heartbeat names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownHost {
    /// Where it hears.
    pub addr: SocketAddr,
    /// Its data centre.
    pub centre: CentreHash,
    /// Its processor share, thousandths of a core.
    pub capacity: u16,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's data centre.
    pub centre: CentreHash,
    /// The sender's processor share, thousandths of a core.
    pub capacity: u16,
    /// The sender's life.
    pub life: u64,
    /// Grows with every heartbeat of a life.
    pub sequence: u64,
    /// When it was sent on the sender's clock, ms since its start.
    pub sent: u64,
    /// The sender's proof, for this hearer.
    pub echo: Option<Echo>,
    /// Whether the sender takes no new work.
    pub leaving: bool,
    /// Whether the store answers the sender.
    pub reading: bool,
    /// Whether the sender speaks for its data centre.
    pub speaks: bool,
    /// Whether the sender wants to hear the hearer.
    pub asks: bool,
    /// The version of its configuration; 0 for none.
    pub config: u64,
    /// How far it has read the list of targets.
    pub list: ListVersion,
    /// Whose loads and counts follow.
    pub scope: Scope,
    /// What is in flight.
    pub loads: Vec<TargetLoad>,
    /// The same of some targets that only other data centres use.
    pub far: Vec<TargetLoad>,
    /// What was counted.
    pub counts: Vec<ServiceCounts>,
    /// What the sender has ordered, and learned, of targets' layers.
    pub holds: Vec<HoldingReport>,
    /// What engines reported of their pace.
    pub paces: Vec<PaceReport>,
    /// Requests that end targets.
    pub fatal: Vec<FatalReport>,
    /// Limits that targets named.
    pub limits: Vec<LimitReport>,
    /// Some hosts that the sender hears.
    pub named: Vec<KnownHost>,
}
