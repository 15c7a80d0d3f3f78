//! Operators' questions about requests, and their rows.
//!
//! `POST /v1/admin/query` takes a [`Query`] and answers [`Reply`] for the whole system; between
//! daemons the same two travel as JSON in [`crate::peer::PeerRequest::Query`] and
//! [`crate::peer::PeerReply::Rows`], where the reply is about the receiver alone.

use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// One question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// What is asked for.
    pub topic: Topic,
    /// Which rows.
    #[serde(default)]
    pub filter: Filter,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Requests in flight.
    Running,
    /// Answers that were given after their deadline.
    Late,
    /// Requests that were refused.
    Refused,
    /// Counts of late and repeated answers by week.
    Account,
}

/// Which rows; an absent field lets every row through.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Filter {
    /// Only of this service.
    pub service: Option<ServiceId>,
    /// Only of this organisation.
    pub organisation: Option<OrganisationId>,
    /// Only of daemons in this data centre.
    pub data_centre: Option<DataCentreId>,
    /// Only what ended, or for [`Topic::Running`] began, at this time or later, milliseconds of
    /// the epoch.
    pub since_ms: Option<u64>,
}

/// The rows, and what could not be asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The rows.
    pub rows: Rows,
    /// Daemons that did not answer; their rows are missing.
    #[serde(default)]
    pub unasked: Vec<HostId>,
    /// Whether rows were left out to keep the reply within its bound.
    #[serde(default)]
    pub cut: bool,
}

/// Rows of one topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rows {
    /// See [`Topic::Running`].
    Running(Vec<RunningRow>),
    /// See [`Topic::Late`].
    Late(Vec<LateRow>),
    /// See [`Topic::Refused`].
    Refused(Vec<RefusedRow>),
    /// See [`Topic::Account`].
    Account(Vec<AccountRow>),
}

/// Whose request it is and where it came in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub organisation: OrganisationId,
    /// Where the daemon is.
    pub data_centre: DataCentreId,
    /// The daemon.
    pub host: HostId,
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRow {
    /// Whose it is.
    pub origin: Origin,
    /// When it came in, milliseconds of the epoch.
    pub begun_ms: u64,
    /// Time left to its deadline in milliseconds; negative once it is late.
    pub left_ms: i64,
}

/// An answer that was late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateRow {
    /// Whose it was.
    pub origin: Origin,
    /// When it ended, milliseconds of the epoch.
    pub ended_ms: u64,
    /// By how much it was late, milliseconds.
    pub late_ms: u64,
    /// What the caller was told.
    pub verdict: Verdict,
    /// Re-routes it took.
    pub resumed: u32,
}

/// A request that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRow {
    /// Whose it was.
    pub origin: Origin,
    /// When it ended, milliseconds of the epoch.
    pub ended_ms: u64,
    /// What the caller was told.
    pub verdict: Verdict,
    /// Why.
    pub code: Code,
}

/// Counts of one week, service and organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// The start of the week, Monday 00:00 UTC, milliseconds of the epoch.
    pub week_ms: u64,
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub organisation: OrganisationId,
    /// Whole answers in time.
    pub answered: u64,
    /// Whole answers after their deadline.
    pub late: u64,
    /// Recorded answers that were given again.
    pub repeated: u64,
    /// Refusals that did not run.
    pub refused: u64,
    /// Requests of which the caller was told that they may have run.
    pub unsettled: u64,
    /// Advisory requests that ended without a whole answer in time, however they ended.
    #[serde(default)]
    pub missed: u64,
    /// Whether the service is declared advisory now.
    #[serde(default)]
    pub advisory: bool,
}
