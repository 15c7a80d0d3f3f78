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

/// A daemon's word that it takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drained {
    /// The daemon.
    pub host: HostId,
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
