//! The operators' API of a daemon, JSON over HTTP.
//!
//! | call | body | reply |
//! |---|---|---|
//! | `GET /v1/admin/config` | - | [`Config`] |
//! | `POST /v1/admin/commands?wait_ms=W` | a [`Command`] | [`Report`] |
//! | `GET /v1/admin/commands/ID` | - | [`Report`] |
//! | `GET /v1/admin/status` | - | [`Status`] |
//! | `POST /v1/admin/query` | [`crate::query::Query`] | [`crate::query::Reply`] |
//! | `POST /v1/admin/drain` | - | [`Drained`]; drains the daemon that receives the call |
//! | `GET /v1/admin/keys?organisation=O&service=S&key=K` | - | [`KeyReport`] |
//! | `POST /v1/admin/keys/settle` | a [`Settle`] | [`Settled`] |
//!
//! A command may be sent again with the same id; it takes effect only once.

use roseshore_core::config::{Command, Object, ObjectKey, Reason};
use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The active configuration of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// One past the offset of the last record applied.
    pub offset: Offset,
    /// Digest of the state after that record.
    pub digest: u64,
    /// All objects, ordered by key.
    pub objects: Vec<Versioned>,
}

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// Key of the object.
    pub key: ObjectKey,
    /// Offset of the record that last changed it.
    pub version: Offset,
    /// Its content.
    pub object: Object,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the command.
    pub command: CommandId,
    /// Its outcome, as far as known.
    pub outcome: Outcome,
}

/// The known outcome of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// The command is accepted and will not be undone.
    Accepted {
        /// Its offset in the log, which is the new version of every object it changed.
        version: Offset,
        /// Data centres in which all daemons have confirmed that it is active.
        in_force: Vec<DataCentreId>,
        /// Data centres that have not confirmed it yet.
        unconfirmed: Vec<DataCentreId>,
    },
    /// The command is rejected and will never take effect.
    Rejected {
        /// Stable numeric code of the refusal.
        code: Code,
        /// The reason, if the command was rejected when it was applied to the state.
        reason: Option<Reason>,
        /// Explanation for people.
        message: String,
    },
    /// The outcome is not known. Query again with the id of the command.
    Unknown {
        /// Why the outcome is not known.
        message: String,
    },
}

/// The daemons from the point of view of one of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Host of the daemon that replies.
    pub host: HostId,
    /// Whether the last call of this daemon to the log service succeeded.
    pub log: bool,
    /// All known daemons.
    pub daemons: Vec<Daemon>,
}

/// The state of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Daemon {
    /// Host of the daemon.
    pub host: HostId,
    /// Data centre of the daemon.
    pub data_centre: DataCentreId,
    /// `alive`, `suspect`, `leaving` or `gone`.
    pub state: String,
    /// One past the offset of the last configuration record that it reports as applied.
    pub offset: Offset,
    /// The digest that it reports for that offset, in hexadecimal.
    pub digest: String,
}

/// Confirmation that a daemon accepts no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drained {
    /// Host of the daemon.
    pub host: HostId,
}

/// The known state of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyReport {
    /// The key, combined with its organisation and service.
    pub key: Key,
    /// One past the offset of the last record of its stream that this daemon has applied.
    pub offset: Offset,
    /// Whether the end of the log was read for this reply.
    pub current: bool,
    /// Whether all older records of the key are known, so that none can be missing.
    pub complete: bool,
    /// State of the key.
    pub state: KeyState,
    /// The last operator's decision that took effect.
    pub word: Option<DecisionReport>,
}

/// The state of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum KeyState {
    /// The key is not claimed.
    Free,
    /// The key is claimed, and the claimant may be running its request.
    Held {
        /// Host of the claimant, if known.
        host: Option<HostId>,
        /// Log time of the claim, Unix milliseconds.
        since_ms: u64,
        /// Log time after which the claimant no longer dispatches the request, Unix milliseconds.
        until_ms: u64,
    },
    /// The claimant recorded that it is not known whether the request ran.
    Unknown {
        /// Host of the claimant, if known.
        host: Option<HostId>,
        /// Log time of the record, Unix milliseconds.
        since_ms: u64,
    },
    /// The request ran, and its answer is recorded.
    Settled {
        /// The verdict that repeated requests get.
        verdict: Verdict,
        /// Offset of the record.
        offset: Offset,
    },
    /// An operator stated that the request ran. Its answer is not recorded.
    Ran,
}

/// An operator's decision that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionReport {
    /// Name of the operator.
    pub operator: String,
    /// The operator's evidence.
    pub note: String,
    /// Whether the request with the key ran.
    pub ran: bool,
    /// Offset of the record.
    pub offset: Offset,
}

/// An operator's decision on a key that cannot be settled otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The organisation of the key.
    pub organisation: OrganisationId,
    /// The service of the key.
    pub service: ServiceId,
    /// The key as given by the caller.
    pub key: String,
    /// Whether the request with the key ran.
    pub ran: bool,
    /// The operator's evidence.
    pub note: String,
    /// Name of the operator.
    pub operator: String,
}

/// The result of an operator's decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Settled {
    /// The decision took effect.
    Taken {
        /// Its offset in the stream of the key.
        offset: Offset,
    },
    /// The decision is rejected and will never take effect.
    Rejected {
        /// Stable numeric code of the refusal.
        code: Code,
        /// Explanation for people.
        message: String,
    },
    /// The decision may take effect. Query the key to find out.
    Unknown {
        /// Why the outcome is not known.
        message: String,
    },
}

/// A refusal by the operators' API itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable numeric code of the refusal.
    pub code: Code,
    /// Explanation for people.
    pub message: String,
}

/// The body of `POST /v1/admin/commands`.
pub type CommandBody = Command;
