//! The operators' interface of a daemon, JSON over HTTP.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `GET /v1/admin/config` | - | [`Config`] |
//! | `POST /v1/admin/commands?wait_ms=W` | a [`Command`] | [`Report`] |
//! | `GET /v1/admin/commands/ID` | - | [`Report`] |
//! | `GET /v1/admin/status` | - | [`Status`] |
//! | `POST /v1/admin/query` | [`crate::query::Query`] | [`crate::query::Reply`] |
//! | `POST /v1/admin/drain` | - | [`Drained`]; the daemon that is asked drains |
//! | `GET /v1/admin/keys?organisation=O&service=S&key=K` | - | [`KeyReport`] |
//! | `POST /v1/admin/keys/settle` | a [`Settle`] | [`Settled`] |
//!
//! Sending a command again with the same id is harmless: it is one command.

use roseshore_core::config::{Command, Object, ObjectKey, Reason};
use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The configuration as one daemon has it in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// One past the last record folded.
    pub offset: Offset,
    /// The digest of the folded state.
    pub digest: u64,
    /// Every object, in order of key.
    pub objects: Vec<Versioned>,
}

/// An object with the record that made it what it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// Which object.
    pub key: ObjectKey,
    /// The offset of the record that last changed it.
    pub version: Offset,
    /// Its content.
    pub object: Object,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The command.
    pub command: CommandId,
    /// What is known of it.
    pub outcome: Outcome,
}

/// What is known of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// It is decided and will not be undone.
    Accepted {
        /// Its place in the log, and the version of every object it touched.
        version: Offset,
        /// Data centres whose daemons all say that they have it in force.
        in_force: Vec<DataCentreId>,
        /// Data centres of which that is not known yet.
        unconfirmed: Vec<DataCentreId>,
    },
    /// It changed nothing and never will.
    Rejected {
        /// Why, as a stable numbered code.
        code: Code,
        /// Why, if the fold decided so.
        reason: Option<Reason>,
        /// Why, for people.
        message: String,
    },
    /// Nobody here knows; ask again with the command's id.
    Unknown {
        /// Why it is not known.
        message: String,
    },
}

/// The daemons as one of them sees them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon that was asked.
    pub host: HostId,
    /// Whether the log service answered this daemon the last time.
    pub log: bool,
    /// Every daemon known.
    pub daemons: Vec<Daemon>,
}

/// One daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Daemon {
    /// Its host.
    pub host: HostId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// `alive`, `suspect`, `leaving` or `gone`.
    pub state: String,
    /// One past the last configuration record it says it has folded.
    pub offset: Offset,
    /// The digest it gives for that offset, in hexadecimal.
    pub digest: String,
}

/// A daemon's confirmation that it takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drained {
    /// The daemon.
    pub host: HostId,
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyReport {
    /// The key, joined with its organisation and service.
    pub key: Key,
    /// One past the last record of its stream that this daemon has folded.
    pub offset: Offset,
    /// Whether the log's end was read for this answer.
    pub current: bool,
    /// Whether no older record of the key can be missing.
    pub complete: bool,
    /// Where it stands.
    pub state: KeyState,
    /// The last operator's word that took effect.
    pub word: Option<DecisionReport>,
}

/// Where a key stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum KeyState {
    /// Nobody holds it.
    Free,
    /// A claimant may be working on it.
    Held {
        /// The claimant's host, where it is known.
        host: Option<HostId>,
        /// The log's time of the claim, milliseconds of the epoch.
        since_ms: u64,
        /// The log's time after which the claimant does not dispatch any more.
        until_ms: u64,
    },
    /// Its claimant recorded that nobody knows whether it ran.
    Unknown {
        /// The claimant's host, where it is known.
        host: Option<HostId>,
        /// The log's time of the record, milliseconds of the epoch.
        since_ms: u64,
    },
    /// It ran, and its answer is recorded at this offset.
    Settled {
        /// What repeats are told.
        verdict: Verdict,
        /// Where the record stands.
        offset: Offset,
    },
    /// It ran by an operator's word, and its answer is not recorded.
    Ran,
}

/// An operator's word that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionReport {
    /// Who said so.
    pub operator: String,
    /// What the operator looked at.
    pub note: String,
    /// Whether the key ran.
    pub ran: bool,
    /// Where the record stands.
    pub offset: Offset,
}

/// An operator's word on a key that nobody else can settle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The customer.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// The key as the caller gave it.
    pub key: String,
    /// Whether it ran.
    pub ran: bool,
    /// What the operator looked at.
    pub note: String,
    /// Who says so.
    pub operator: String,
}

/// What became of an operator's word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Settled {
    /// It took effect, and stands at this offset of the key's stream.
    Taken {
        /// Where it stands.
        offset: Offset,
    },
    /// It changed nothing and never will.
    Rejected {
        /// Why, as a stable numbered code.
        code: Code,
        /// Why, for people.
        message: String,
    },
    /// It may take effect; look at the key.
    Unknown {
        /// Why it is not known.
        message: String,
    },
}

/// A refusal of the interface itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Why, as a stable numbered code.
    pub code: Code,
    /// Why, for people.
    pub message: String,
}

/// The body of `POST /v1/admin/commands`.
pub type CommandBody = Command;
