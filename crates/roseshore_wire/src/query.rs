//! Operators' queries about requests, and the result rows.
//!
//! `POST /v1/admin/query` takes a [`Query`] and returns a [`Reply`] for the whole system. Daemons
//! exchange the same types as JSON in [`crate::peer::PeerRequest::Query`] and
//! [`crate::peer::PeerReply::Rows`], where the reply covers the receiver alone.

use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A query about requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// The kind of rows.
    pub topic: Topic,
    /// Restriction of the rows.
    #[serde(default)]
    pub filter: Filter,
}

/// The kind of rows that a query returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// Requests in flight.
    Running,
    /// Answers given after their deadline.
    Late,
    /// Refused requests.
    Refused,
    /// Counts of requests per week, service and organisation.
    Account,
}

/// Conditions that a row has to meet. An absent field matches every row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Filter {
    /// Only requests to this service.
    pub service: Option<ServiceId>,
    /// Only requests of this organisation.
    pub organisation: Option<OrganisationId>,
    /// Only requests to daemons in this data centre.
    pub data_centre: Option<DataCentreId>,
    /// Only requests that ended, or for [`Topic::Running`] began, at or after this Unix time,
    /// milliseconds.
    pub since_ms: Option<u64>,
}

/// The result of a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The rows.
    pub rows: Rows,
    /// Daemons that did not answer, so that their rows are missing.
    #[serde(default)]
    pub unasked: Vec<HostId>,
    /// Whether rows were left out because the reply would have become too large.
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

/// Identity of a request, and the daemon that received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Id of the request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
    /// The organisation that made the request.
    pub organisation: OrganisationId,
    /// The data centre of the daemon.
    pub data_centre: DataCentreId,
    /// The host of the daemon.
    pub host: HostId,
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRow {
    /// Identity of the request.
    pub origin: Origin,
    /// When the request arrived, Unix milliseconds.
    pub begun_ms: u64,
    /// Time left until the deadline, milliseconds; negative after it.
    pub left_ms: i64,
}

/// An answer that came after its deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateRow {
    /// Identity of the request.
    pub origin: Origin,
    /// When the request ended, Unix milliseconds.
    pub ended_ms: u64,
    /// Time between deadline and end, milliseconds.
    pub late_ms: u64,
    /// The verdict that the caller got.
    pub verdict: Verdict,
    /// How many times it was rerouted.
    pub resumed: u32,
}

/// A request that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRow {
    /// Identity of the request.
    pub origin: Origin,
    /// When the request ended, Unix milliseconds.
    pub ended_ms: u64,
    /// The verdict that the caller got.
    pub verdict: Verdict,
    /// The code of the refusal.
    pub code: Code,
}

/// Request counts of one week, service and organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// Start of the week, Monday 00:00 UTC, Unix milliseconds.
    pub week_ms: u64,
    /// The service.
    pub service: ServiceId,
    /// The organisation that made the request.
    pub organisation: OrganisationId,
    /// Complete answers in time.
    pub answered: u64,
    /// Complete answers after their deadline.
    pub late: u64,
    /// Recorded answers that were returned again.
    pub repeated: u64,
    /// Refused requests that did not run.
    pub refused: u64,
    /// Requests that the caller was told may have run.
    pub unsettled: u64,
    /// Advisory requests that ended without a complete answer in time, for any reason.
    #[serde(default)]
    pub missed: u64,
    /// Whether the service is currently declared as advisory.
    #[serde(default)]
    pub advisory: bool,
}
