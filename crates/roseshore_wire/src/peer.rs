//! What daemons say to each other.
//!
//! [`Datagram`] goes over UDP and may be lost; [`PeerRequest`] and [`PeerReply`] go over one TCP connection per
//! pair, one reply per question.

use crate::engine::Load;
use crate::service::ServiceLoad;
pub use roseshore_core::membership::{Heartbeat, MemberDigest};
use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A message that may be lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A daemon lives, and what the targets that it polls said.
    Beat {
        /// The daemon's own heartbeat.
        heartbeat: Heartbeat,
        /// Reports polled since the last one, as many as fit.
        notes: Vec<TargetLoad>,
    },
}

/// A target's report on its way to the other daemons of the data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Its age when it was sent, milliseconds.
    pub age_ms: u32,
    /// What it says.
    pub content: LoadReport,
}

/// Six bytes of a hash: short on the wire, and a data centre has a few hundred of them at most.
pub type LoadReportKey = [u8; 6];

/// The content of a [`TargetLoad`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LoadReport {
    /// An engine's whole report.
    Engine {
        /// The target.
        target: TargetId,
        /// The report.
        load: Load,
    },
    /// A service replica's whole report.
    Service {
        /// The target.
        target: TargetId,
        /// The report.
        load: ServiceLoad,
    },
    /// Only what changes from poll to poll; the rest is as in the last whole report with this key.
    Brief {
        /// Hash of the target and all that is not in here.
        key: LoadReportKey,
        /// Requests waiting.
        queue: u32,
        /// Requests being worked on.
        running: u32,
        /// Time of one step or call, microseconds.
        step_us: u64,
        /// KV cache in use, tokens; 0 for a service.
        kv_used: u64,
    },
    /// The target does not answer.
    Silent {
        /// The target.
        target: TargetId,
    },
}

/// The state of one data centre, for another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The data centre that it is about.
    pub data_centre: DataCentreId,
    /// Its daemons.
    pub members: Vec<MemberDigest>,
    /// Its load by model.
    pub summaries: Vec<Summary>,
}

/// The load of one model in one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The model.
    pub model: ModelId,
    /// Requests waiting at its targets.
    pub queue: u32,
    /// Requests being worked on.
    pub running: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// Age of the oldest report in it when it was sent, milliseconds.
    pub age_ms: u32,
}

/// A question over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Records of a stream from an offset on, as this daemon knows them.
    Records {
        /// The stream.
        stream: String,
        /// The first offset wanted.
        from: Offset,
    },
    /// What became of a key that the receiver claimed.
    Outcome {
        /// The key.
        key: Key,
    },
    /// Rows for an operator's query about the receiver.
    Query {
        /// The query, as JSON.
        query: String,
    },
    /// Digests of data centres, from a speaker to another data centre's or to its own daemons.
    Digests {
        /// The digests.
        digests: Vec<Digest>,
        /// Whether the receiver is to pass them on to its data centre and answer with its own.
        speaker: bool,
    },
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// See [`PeerRequest::Records`]; offset, time in milliseconds of the epoch, data.
    Records {
        /// The records.
        records: Vec<(Offset, u64, String)>,
        /// One past the last record known to the sender.
        end: Offset,
    },
    /// See [`PeerRequest::Outcome`]: the recorded answer, as JSON, once there is one.
    Outcome {
        /// The answer.
        outcome: Option<String>,
    },
    /// See [`PeerRequest::Query`]: rows, as JSON.
    Rows {
        /// The rows.
        rows: String,
    },
    /// See [`PeerRequest::Digests`]: what the receiver's data centre says of itself.
    Digests {
        /// The digests.
        digests: Vec<Digest>,
    },
    /// Taken note.
    Done,
    /// The receiver cannot say.
    Unable {
        /// Why.
        reason: String,
    },
}
