//! The records of the claim streams, as JSON.

use super::key_time::Millis;
use crate::prelude::*;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// Marks one claim; random, and never used for a second one.
pub type Nonce = u64;

/// Larger answers are not kept in the log, bytes.
pub const MAX_BODY: usize = 64 << 10;

/// One record of a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key it is about.
    pub key: Key,
    /// The claim it is about.
    pub nonce: Nonce,
    /// What it says.
    pub act: Act,
}

/// What a record says of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// The claimant wants to dispatch; it holds the key if the key is free here.
    Claim {
        /// Who claims.
        owner: Owner,
        /// A digest of the request's body.
        digest: u64,
        /// How long after it is made the claimant may still dispatch, milliseconds.
        #[serde(default = "longest")]
        left: Millis,
    },
    /// The claimant has not dispatched and never will.
    Abandon,
    /// The claimant's end of the work.
    Outcome {
        /// A digest of the request's body.
        digest: u64,
        /// The answer; its body is left out above [`MAX_BODY`].
        outcome: Outcome,
        /// Whether the body stands here.
        whole: bool,
    },
    /// An operator has looked and says whether it ran.
    Settle(Settlement),
    /// Nothing; it keeps the window from being empty while no key comes, so that a daemon that
    /// starts then finds out how far back the stream reaches.
    Mark,
}

/// An operator's word on a key that nobody else can settle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Who says so.
    pub operator: String,
    /// What the operator looked at.
    pub note: String,
    /// Whether the key ran.
    pub ran: bool,
    /// The claim that it is about, and no later one; `None` for a key that nobody holds.
    pub claim: Option<Nonce>,
}

/// One life of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Its host.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// The recorded end of unrepeatable work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether it ran.
    pub verdict: Verdict,
    /// The HTTP status of the answer.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// The answer.
    #[serde(serialize_with = "write_body", deserialize_with = "read_body")]
    pub body: Vec<u8>,
}

impl Outcome {
    /// The end of work of which nobody knows whether it ran.
    pub fn unknown() -> Outcome {
        Outcome { verdict: Verdict::MayHaveRun, status: 0, content: String::new(), body: vec![] }
    }

    /// The end of work that certainly did not run, so that the key is free again.
    pub fn not_run() -> Outcome {
        Outcome { verdict: Verdict::NotRun, ..Outcome::unknown() }
    }
}

impl Record {
    /// The line that stands in the log.
    ///
    /// # Panics
    /// Never: a record holds nothing that JSON cannot say.
    pub fn line(&self) -> String {
        serde_json::to_string(self).expect("a record is plain data")
    }

    /// Reads a line; `None` for one that this version does not understand.
    pub fn parse(line: &str) -> Option<Record> {
        serde_json::from_str(line).ok()
    }

    /// A record that is about no key.
    pub fn mark(nonce: Nonce) -> Record {
        Record { key: Key::new(), nonce, act: Act::Mark }
    }

    /// The record of an outcome, without its body where that is too large for the log.
    pub fn outcome(key: Key, nonce: Nonce, digest: u64, outcome: &Outcome) -> Record {
        let whole = outcome.body.len() <= MAX_BODY;
        let mut outcome = outcome.clone();
        if !whole {
            outcome.body.clear();
        }
        Record { key, nonce, act: Act::Outcome { digest, outcome, whole } }
    }
}

/// What a claim that does not say so may have left: the longest deadline that a caller may ask for.
fn longest() -> Millis {
    Duration::from_hours(1).as_millis() as Millis
}

fn write_body<S: Serializer>(body: &[u8], s: S) -> Result<S::Ok, S::Error> {
    s.serialize_str(&STANDARD.encode(body))
}

fn read_body<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(d)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}
