//! The inputs and outputs of the [`Partition`](super::Partition) state machine.

use super::settle::{KeyStatus, SettleResult};
use crate::once::record::{Outcome, Owner};
use crate::prelude::*;
use std::sync::Arc;

/// The number of an attempt or of an operator's request, unique within its partition.
pub type AttemptId = u64;

/// A caller's request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The idempotency key.
    pub key: Key,
    /// A digest of the request's body.
    pub digest: u64,
    /// By when the request must be answered.
    pub deadline: Instant,
}

/// The decision on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The attempt holds the key by the claim at this offset, and may ask to be dispatched.
    Won(Offset),
    /// The outcome of the key is recorded, and is to be given again.
    Replay(Arc<Outcome>),
    /// The outcome of the key is recorded, and is to be read from the log.
    ReadFromLog(StoredAnswer),
    /// The claimant may know the outcome. The refusal is the reply if it does not tell.
    AskOwner(Owner, Refusal),
    /// The attempt is given up.
    Refused(Refusal),
}

/// An answer that is not in memory any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The offset of its record.
    pub offset: Offset,
    /// The reply if the log does not hold the record any more.
    pub lost: Refusal,
    /// The reply if the log cannot be read.
    pub unreadable: Refusal,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append these lines to the stream.
    Append(Vec<String>),
    /// Read the stream.
    Read {
        /// The first offset to read.
        from: Offset,
        /// How long to wait for a first record.
        wait: Duration,
    },
    /// Pass a decision on to the attempt.
    Decide(AttemptId, Decision),
    /// The outcome of the claim at this offset is in the log.
    Recorded(Offset),
    /// Answer an operator's query with the status of the key.
    ReportKey(AttemptId, KeyStatus),
    /// Tell an operator the result of a settlement.
    ReportSettle(AttemptId, SettleResult),
}

/// What a daemon knows of its own work on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalWork {
    /// It does not work on the key, or has no record of having done so.
    Unknown,
    /// It may dispatch the request, or has done so.
    InProgress,
    /// Its request has ended with this outcome.
    Done(Arc<Outcome>),
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The log answered.
    Records {
        /// The records, by offset.
        records: Vec<LogRecord>,
        /// One past the last record of the stream.
        end: Offset,
    },
    /// The log no longer has the offset.
    Trimmed {
        /// The oldest offset that the log still has.
        oldest: Offset,
    },
    /// The log did not answer.
    Failed,
}

/// A record as read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Its offset in the stream.
    pub offset: Offset,
    /// The log's time of the append, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Its content, a line of JSON.
    pub data: String,
}
