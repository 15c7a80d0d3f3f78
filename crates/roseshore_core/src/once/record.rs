//! The records of the claim streams, one JSON object per line.

use super::key_time::Millis;
use crate::prelude::*;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// Identifies one claim, settlement or mark. It is random and never used for a second one.
pub type Nonce = u64;

/// The largest answer body that is stored in the log, in bytes.
pub const MAX_BODY: usize = 64 << 10;

/// One record of a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key that the record is about; empty for [`Act::Mark`].
    pub key: Key,
    /// The claim that the record is about; for [`Act::Settle`] and [`Act::Mark`], the record's own
    /// number.
    pub nonce: Nonce,
    /// What the record says of its key.
    pub act: Act,
}

/// What a record says of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// The claimant wants to dispatch the request. It holds the key if the key is free at this
    /// point of the log.
    Claim {
        /// The daemon that claims.
        owner: Owner,
        /// A digest of the request's body.
        digest: u64,
        /// How long after writing the claim the claimant may still dispatch, in milliseconds.
        #[serde(default = "longest")]
        left: Millis,
    },
    /// The claimant has not dispatched the request and never will.
    Abandon,
    /// The result of the claimant's request.
    Outcome {
        /// A digest of the request's body.
        digest: u64,
        /// The answer; its body is omitted if it is larger than [`MAX_BODY`].
        outcome: Outcome,
        /// Whether the record contains the body.
        whole: bool,
    },
    /// An operator has checked the target and says whether the request ran.
    Settle(Settlement),
    /// Says nothing of any key. It keeps the log's retention window from being empty while no
    /// claims arrive, so that a daemon that starts then learns how far back the stream reaches.
    Mark,
}

/// An operator's statement on a key whose outcome nobody else can determine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The operator's name.
    pub operator: String,
    /// What the operator checked.
    pub note: String,
    /// Whether the request ran.
    pub ran: bool,
    /// The claim that the settlement is about, and no later one; `None` for a key that nobody
    /// holds.
    pub claim: Option<Nonce>,
}

/// One incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The daemon's host.
    pub host: HostId,
    /// The daemon's incarnation on that host.
    pub incarnation: Incarnation,
}

/// The recorded result of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the request ran.
    pub verdict: Verdict,
    /// The HTTP status of the answer.
    pub status: u16,
    /// The content type of the answer.
    pub content: String,
    /// The body of the answer; base64 in JSON.
    #[serde(serialize_with = "write_body", deserialize_with = "read_body")]
    pub body: Vec<u8>,
}

impl Outcome {
    /// The outcome of a request that may or may not have run.
    pub fn unknown() -> Outcome {
        Outcome { verdict: Verdict::MayHaveRun, status: 0, content: String::new(), body: vec![] }
    }

    /// The outcome of a request that certainly did not run, so that its key is free again.
    pub fn not_run() -> Outcome {
        Outcome { verdict: Verdict::NotRun, ..Outcome::unknown() }
    }
}

impl Record {
    /// The record as a line of JSON.
    ///
    /// # Panics
    /// Never: every record can be represented in JSON.
    pub fn line(&self) -> String {
        serde_json::to_string(self).expect("a record is plain data")
    }

    /// Parses a line; `None` for one that this version does not understand.
    pub fn parse(line: &str) -> Option<Record> {
        serde_json::from_str(line).ok()
    }

    /// A mark, which is about no key.
    pub fn mark(nonce: Nonce) -> Record {
        Record { key: Key::new(), nonce, act: Act::Mark }
    }

    /// The record of an outcome, without the body if that is larger than [`MAX_BODY`].
    pub fn outcome(key: Key, nonce: Nonce, digest: u64, outcome: &Outcome) -> Record {
        let whole = outcome.body.len() <= MAX_BODY;
        let mut outcome = outcome.clone();
        if !whole {
            outcome.body.clear();
        }
        Record { key, nonce, act: Act::Outcome { digest, outcome, whole } }
    }
}

/// The default of `left` for a claim without the field: the longest deadline that a caller may ask
/// for.
fn longest() -> Millis {
    Duration::from_hours(1).as_millis() as Millis
}

fn write_body<S: Serializer>(body: &[u8], s: S) -> Result<S::Ok, S::Error> {
    s.serialize_str(&STANDARD.encode(body))
}

fn read_body<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
    let encoded = String::deserialize(d)?;
    STANDARD.decode(encoded).map_err(D::Error::custom)
}
