//! Messages between entry hosts: heartbeats, about the sender and the hosts that it speaks for, and
//! permit requests.

use crate::gateway::copies::CopyRequest;
use crate::gateway::demand::ServiceDemand;
use crate::gateway::fatal::FatalReport;
use crate::gateway::hashes::{CentreHash, TargetHash};
use crate::gateway::paces::PaceReport;
use crate::gateway::reports::{LimitReport, ListVersion, TargetLoad};
use crate::gateway::targets::LayersReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Layers that a target reported to hold, or was ordered to hold, before the list says so. An empty
/// range means that the target was shown not to hold what the list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingReport {
    /// Hash of the target.
    pub target: TargetHash,
    /// The report of its layers.
    pub word: LayersReport,
    /// Whether it holds the layers; otherwise it was ordered to.
    pub done: bool,
}

/// Requests of a service that a host has counted in the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Hash of the service's name.
    pub service: TargetHash,
    /// Requests.
    pub requests: u32,
}

/// Request to the issuer for a permit to send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Identifies the request; copied to the reply.
    pub number: u64,
    /// The target, and what the sender knows of its limit.
    pub limit: LimitReport,
}

/// Reply to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Hash of the target.
    pub target: TargetHash,
    /// Number of the permit request.
    pub number: u64,
    /// Requests that may be sent; 0 for none.
    pub permits: u16,
    /// Time for which no more permits should be requested, in milliseconds.
    pub wait: u16,
}

/// Request to a lender for retries of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryLoanRequest {
    /// Identifies the request; copied to the reply.
    pub number: u64,
    /// Hash of the service's name.
    pub service: TargetHash,
    /// Retries that the sender needs.
    pub wanted: u16,
}

/// Reply to a request for retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryLoan {
    /// Number of the request.
    pub number: u64,
    /// Hash of the service's name.
    pub service: TargetHash,
    /// Retries that may be made; 0 for none.
    pub granted: u16,
}

/// Asks another host which of these targets it reaches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachQuery {
    /// Send time on the sender's clock, in milliseconds since its start; copied to the reply.
    pub sent: u64,
    /// Age of a sign of life, in milliseconds, up to which a target counts as reached.
    pub max_age: u16,
    /// Hashes of the targets.
    pub targets: Vec<TargetHash>,
}

/// Targets of a query that the replying host reaches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachReply {
    /// Send time of the query.
    pub sent: u64,
    /// Hashes of the targets.
    pub targets: Vec<TargetHash>,
}

/// Asks a host to connect to a target and to forward all that follows on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Hash of the target.
    pub target: TargetHash,
}

/// Precedes the target's bytes on a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelReply {
    /// Whether the host is connected to the target.
    pub open: bool,
}

/// The first message on a connection to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A request for a copy of the store data.
    Copy(CopyRequest),
    /// A request for a tunnel.
    Tunnel(TunnelRequest),
}

/// A datagram between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Beat(Box<Heartbeat>),
    /// A permit request.
    Ask(PermitRequest),
    /// The reply to a permit request.
    Grant(PermitGrant),
    /// A request for retries.
    AskRetries(RetryLoanRequest),
    /// The reply to a request for retries.
    LendRetries(RetryLoan),
    /// A question for the targets that the receiver reaches.
    AskReach(ReachQuery),
    /// The reply to such a question.
    Reached(ReachReply),
}

/// Identifies a process of a host in an [`Echo`], whose times are relative to that process.
pub(super) fn life_tag(life: u64) -> u32 {
    (life ^ (life >> 32)) as u32
}

/// When the sender's copy of the store was last proven to be current, in a form that the receiver
/// can convert to its own clock: milliseconds after the sender received the receiver's heartbeat,
/// negative if the proof is older than that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Tag of the receiver's process that sent it; see [`life_tag`].
    pub life: u32,
    /// Send time of the receiver's last heartbeat that arrived, in milliseconds on the receiver's
    /// clock.
    pub sent: u64,
    /// Proof for the configuration; `None` if there is none.
    pub config: Option<i64>,
    /// Proof for the target list; `None` if there is none.
    pub list: Option<i64>,
}

/// Hosts whose loads a heartbeat reports, with their number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Only the sender.
    #[default]
    Own,
    /// All hosts of the sender's data centre; sent to another data centre.
    Centre(u16),
    /// All hosts but the receiver; sent to a host that receives heartbeats only from speakers.
    Others(u16),
}

/// A host that a heartbeat makes known to its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownHost {
    /// Address at which it receives heartbeats.
    pub addr: SocketAddr,
    /// Hash of its data centre.
    pub centre: CentreHash,
    /// Its CPU share, in thousandths of a core.
    pub capacity: u16,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Hash of the sender's data centre.
    pub centre: CentreHash,
    /// The sender's CPU share, in thousandths of a core.
    pub capacity: u16,
    /// Identifies the sender's process.
    pub life: u64,
    /// Increases with every heartbeat of a process.
    pub sequence: u64,
    /// Send time on the sender's clock, in milliseconds since its start.
    pub sent: u64,
    /// Freshness proofs for this receiver; `None` if the sender has not heard from it.
    pub echo: Option<Echo>,
    /// Whether the sender accepts no new work.
    pub leaving: bool,
    /// Whether the store answers the sender.
    pub reading: bool,
    /// Whether the sender is a speaker for its data centre.
    pub speaks: bool,
    /// Whether the sender wants heartbeats from the receiver.
    pub asks: bool,
    /// Version of the sender's configuration; 0 for none.
    pub config: u64,
    /// How far the sender has read the target list.
    pub list: ListVersion,
    /// Hosts that the following loads include.
    pub scope: Scope,
    /// Hosts that the sender hears or has heard and not forgotten: in its data centre for a receiver
    /// in another one, otherwise in the whole system, or as many as the store says.
    pub known: u16,
    /// Loads, by target.
    pub loads: Vec<TargetLoad>,
    /// Loads at some of the other targets, different ones with each heartbeat: those that only other
    /// data centres use, and those for which there is no space above.
    pub far: Vec<TargetLoad>,
    /// Requests of the sender, by service; only with [`Scope::Own`].
    pub counts: Vec<ServiceCounts>,
    /// Hosts of the sender's data centre that the demand includes.
    pub demand_hosts: u16,
    /// What callers ask of services at the sender or, with another scope, at all hosts of its data
    /// centre; without the receiver.
    pub demand: Vec<ServiceDemand>,
    /// Layers that the sender has ordered targets to hold, or found them to hold.
    pub holds: Vec<HoldingReport>,
    /// Paces that engines reported.
    pub paces: Vec<PaceReport>,
    /// Requests under which targets crashed.
    pub fatal: Vec<FatalReport>,
    /// Limits that targets advertised.
    pub limits: Vec<LimitReport>,
    /// Some of the hosts that the sender hears from.
    pub named: Vec<KnownHost>,
}
