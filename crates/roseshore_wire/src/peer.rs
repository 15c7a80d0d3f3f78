//! Messages between daemons.
//!
//! [`Datagram`] is sent over UDP and may be lost. [`PeerRequest`] and [`PeerReply`] are sent over
//! one TCP connection per pair of daemons, with one reply per request.

use crate::engine::Load;
use crate::service::ServiceLoad;
pub use roseshore_core::membership::{Heartbeat, MemberDigest};
use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A message over UDP, which may be lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat of a daemon, with load reports of the targets that it polls.
    Beat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Load reports polled since the previous heartbeat, as many as fit.
        notes: Vec<TargetLoad>,
    },
}

/// A target's load report as sent to the other daemons of the data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Age of the report when it was sent, milliseconds.
    pub age_ms: u32,
    /// The report.
    pub content: LoadReport,
}

/// Six bytes of a hash. This is short on the wire and enough for the few hundred keys of a data
/// centre.
pub type LoadReportKey = [u8; 6];

/// The content of a [`TargetLoad`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LoadReport {
    /// The complete report of an engine.
    Engine {
        /// Id of the target.
        target: TargetId,
        /// The report.
        load: Load,
    },
    /// The complete report of a service replica.
    Service {
        /// Id of the target.
        target: TargetId,
        /// The report.
        load: ServiceLoad,
    },
    /// Only the values that change with each poll. The other values equal those of the last
    /// complete report with the same key.
    Brief {
        /// Hash of the target's id and of all values that are left out.
        key: LoadReportKey,
        /// Waiting requests.
        queue: u32,
        /// Running requests.
        running: u32,
        /// Duration of one step or call, microseconds.
        step_us: u64,
        /// Used KV cache, tokens; 0 for a service.
        kv_used: u64,
    },
    /// The target does not answer.
    Silent {
        /// Id of the target.
        target: TargetId,
    },
}

/// The state of a data centre, as sent to other data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Its daemons.
    pub members: Vec<MemberDigest>,
    /// Its load, per model.
    pub summaries: Vec<Summary>,
}

/// The load of one model in one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The model.
    pub model: ModelId,
    /// Waiting requests on its targets.
    pub queue: u32,
    /// Running requests.
    pub running: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Age of the oldest report in this summary when it was sent, milliseconds.
    pub age_ms: u32,
}

/// A request to another daemon over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests the records of a stream that the receiver holds, from an offset on.
    Records {
        /// The stream.
        stream: String,
        /// The first requested offset.
        from: Offset,
    },
    /// Requests the outcome of a key that the receiver has claimed.
    Outcome {
        /// The key.
        key: Key,
    },
    /// Requests the receiver's rows for an operator's query.
    Query {
        /// The query ([`crate::query::Query`]) as JSON.
        query: String,
    },
    /// Sends digests of data centres, from the speaker of a data centre to the speaker of another
    /// one or to the daemons of its own.
    Digests {
        /// The digests.
        digests: Vec<Digest>,
        /// Whether the receiver is to forward them within its data centre and reply with the digest
        /// of its own.
        speaker: bool,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Records`].
    Records {
        /// The records: offset, Unix time in milliseconds, data.
        records: Vec<(Offset, u64, String)>,
        /// One past the last offset known to the sender.
        end: Offset,
    },
    /// Reply to [`PeerRequest::Outcome`].
    Outcome {
        /// The recorded outcome as JSON; `None` until there is one.
        outcome: Option<String>,
    },
    /// Reply to [`PeerRequest::Query`].
    Rows {
        /// The rows ([`crate::query::Reply`]) as JSON.
        rows: String,
    },
    /// Reply to [`PeerRequest::Digests`], with the receiver's own data centre.
    Digests {
        /// The digests.
        digests: Vec<Digest>,
    },
    /// Acknowledges the request.
    Done,
    /// The receiver cannot answer the request.
    Unable {
        /// Why.
        reason: String,
    },
}
