//! What goes into a partition's machine and what comes out.

use super::settle::{KeyStatus, SettleResult};
use crate::once::record::{Outcome, Owner};
use crate::prelude::*;
use std::sync::Arc;

/// The number of an attempt, unique in its partition's machine.
pub type AttemptId = u64;

/// What a caller wants done once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The key.
    pub key: Key,
    /// A digest of the request's body.
    pub digest: u64,
    /// When the answer is due.
    pub deadline: Instant,
}

/// What becomes of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It holds the key by the claim at this offset, and may ask to be dispatched.
    Won(Offset),
    /// The key's end is recorded.
    Replay(Arc<Outcome>),
    /// The key's end is recorded, and its answer is to be read at this offset; this is said if it
    /// cannot be.
    ReadFromLog(Offset, Refusal),
    /// The claimant may know the answer; this is said if it does not tell.
    AskOwner(Owner, Refusal),
    /// It is given up.
    Refused(Refusal),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append these lines to the stream.
    Append(Vec<String>),
    /// Read the stream.
    Read {
        /// From this offset on.
        from: Offset,
        /// Waiting so long for the first record.
        wait: Duration,
    },
    /// Tell an attempt.
    Decide(AttemptId, Decision),
    /// The outcome of the claim at this offset stands in the log.
    Recorded(Offset),
    /// Tell an operator what is known of a key.
    ReportKey(AttemptId, KeyStatus),
    /// Tell an operator what became of a word.
    ReportSettle(AttemptId, SettleResult),
}

/// What a daemon knows of its own work on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalWork {
    /// It does not work on the key, or does not remember.
    Unknown,
    /// It may dispatch the key, or has.
    InProgress,
    /// It has ended.
    Done(Arc<Outcome>),
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// Records came.
    Records {
        /// The records in order.
        records: Vec<LogRecord>,
        /// One past the stream's last record.
        end: Offset,
    },
    /// The offset is no longer kept.
    Trimmed {
        /// The oldest offset kept.
        oldest: Offset,
    },
    /// The log did not answer.
    Failed,
}

/// A record as the log gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Its place.
    pub offset: Offset,
    /// The log's time.
    pub time: u64,
    /// Its content.
    pub data: String,
}
