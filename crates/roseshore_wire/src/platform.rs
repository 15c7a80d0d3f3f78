//! The protocols of the platform's log service, host list and weight store, JSON over HTTP.
//!
//! | call | body | reply |
//! |---|---|---|
//! | `POST /v1/streams/NAME/records` | [`Append`] | [`Appended`]; `429` above the rate limit, `503` in an outage; neither appends anything |
//! | `GET /v1/streams/NAME/records?from=O&max=N&wait_ms=W` | - | [`Records`]; `410` with [`Trimmed`] if `from` is no longer kept |
//! | `GET /v1/hosts` | - | [`Hosts`], which lags behind the actual state |
//! | `GET /v1/weights` | - | [`Weights`] |
//!
//! The reply to an append may be lost although the records were appended. Offsets of a stream start
//! at 0 and are contiguous. A stream that was never written to reads as empty.

use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Records to append, all or none, at consecutive offsets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Append {
    /// The records.
    pub records: Vec<String>,
}

/// Where the records were appended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first record.
    pub first: Offset,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its offset in the stream.
    pub offset: Offset,
    /// When the log service accepted it, Unix milliseconds. Never decreases within a stream.
    pub time_ms: u64,
    /// Its content.
    pub data: String,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// The records, in order of offset without gaps.
    pub records: Vec<Record>,
    /// One past the last offset of the whole stream at the time of the read.
    pub end: Offset,
    /// The oldest offset kept.
    pub oldest: Offset,
}

/// The reply to a read from an offset that is no longer kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trimmed {
    /// The oldest offset kept.
    pub oldest: Offset,
    /// One past the last offset.
    pub end: Offset,
}

/// The list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    /// Increases with every change.
    pub version: u64,
    /// The known hosts.
    pub hosts: Vec<Host>,
}

/// A host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub host: HostId,
    /// The data centre it is in.
    pub data_centre: DataCentreId,
    /// Whether it is in service or leaving.
    pub state: HostState,
    /// The address, for UDP and TCP, on which a daemon on this host listens for its peers; `None`
    /// for hosts of targets.
    pub peer: Option<std::net::SocketAddr>,
}

/// The state of a host according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// The state of the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Transfer rate to all engines together, bytes per second.
    pub rate: u64,
    /// Requested bytes that have not been transferred yet.
    pub backlog: u64,
}
