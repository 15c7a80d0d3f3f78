//! The protocols of the platform: log service, host list and weight store, JSON over HTTP.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/streams/NAME/records` | [`Append`] | [`Appended`]; `429` over the rate, `503` in an outage, both with nothing appended |
//! | `GET /v1/streams/NAME/records?from=O&max=N&wait_ms=W` | - | [`Records`]; `410` with [`Trimmed`] when `from` is no longer kept |
//! | `GET /v1/hosts` | - | [`Hosts`], late |
//! | `GET /v1/weights` | - | [`Weights`] |
//!
//! A reply to an append may be lost after it took effect. Offsets of a stream begin at 0 and have
//! no holes. A read of a stream that was never written to is empty.

use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Records to add, all or none, one after the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Append {
    /// The records.
    pub records: Vec<String>,
}

/// Where the records were put.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first.
    pub first: Offset,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its place.
    pub offset: Offset,
    /// When the log service took it, milliseconds of the epoch, never falling within a stream.
    pub time_ms: u64,
    /// Its content.
    pub data: String,
}

/// A part of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// In order of offset, without holes.
    pub records: Vec<Record>,
    /// One past the last record of the whole stream at the time of reading.
    pub end: Offset,
    /// The oldest offset kept.
    pub oldest: Offset,
}

/// Why a read from an old offset failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trimmed {
    /// The oldest offset kept.
    pub oldest: Offset,
    /// One past the last record.
    pub end: Offset,
}

/// The host list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    /// Grows with every change.
    pub version: u64,
    /// The hosts known.
    pub hosts: Vec<Host>,
}

/// One host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub host: HostId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Whether it is being taken away.
    pub state: HostState,
    /// Where a daemon of ours on it hears peers, UDP and TCP; absent for targets.
    pub peer: Option<std::net::SocketAddr>,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Being taken away.
    Leaving,
}

/// The state of the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Bytes a second that it gives to all engines together.
    pub rate: u64,
    /// Bytes that are asked for and not yet given.
    pub backlog: u64,
}
