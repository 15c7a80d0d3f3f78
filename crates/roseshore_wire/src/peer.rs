//! What daemons say to each other.
//!
//! [`Datagram`] goes over UDP and may be lost; [`Ask`] and [`Reply`] go over one TCP connection per
//! pair, one reply per question.

use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A message that may be lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A daemon lives.
    Heartbeat(Heartbeat),
}

/// What a daemon says of itself, several times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Grows with every heartbeat of one life.
    pub sequence: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// One past the last configuration record it has folded.
    pub offset: Offset,
    /// The digest of its configuration at that offset.
    pub digest: u64,
}

/// A question over TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
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
    /// Load reports of targets that the sender polled.
    Loads {
        /// The reports, as JSON.
        reports: String,
    },
}

/// The answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// See [`Ask::Records`]; offset, time in milliseconds of the epoch, data.
    Records {
        /// The records.
        records: Vec<(Offset, u64, String)>,
        /// One past the last record known to the sender.
        end: Offset,
    },
    /// See [`Ask::Outcome`]: the recorded answer, as JSON, once there is one.
    Outcome {
        /// The answer.
        outcome: Option<String>,
    },
    /// See [`Ask::Query`]: rows, as JSON.
    Rows {
        /// The rows.
        rows: String,
    },
    /// Taken note.
    Done,
    /// The receiver cannot say.
    Unable {
        /// Why.
        reason: String,
    },
}
