//! The protocol of a lookup or plain service, HTTP.
//!
//! `GET /v1/lookup/SOURCE/NAME` answers `200` with the record, `404` with [`Missing`] when the
//! source certainly does not hold the name, and anything else when it cannot say. `POST /v1/call/SERVICE`
//! runs a call whose body is opaque and answers `200` with the result; the header `idempotency-key`
//! is passed on, and a target that remembers it answers a repeat with the first result and the
//! header `idempotency-replayed: true`. `503` with [`NotStarted`] says that nothing ran.
//! `GET /v1/load` answers [`ServiceLoad`].

use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The header with the request's id.
pub const REQUEST_ID: &str = "x-request-id";
/// The header with the time left for the answer, whole milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// The header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header of a reply that is an earlier call's result, with the value `true`.
pub const REPLAYED: &str = "idempotency-replayed";
/// The header with the W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// A source's reply that it does not hold a name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The source that replied.
    pub source: String,
    /// The name asked for.
    pub missing: String,
}

/// A replica's reply that a call was not begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStarted {
    /// Always true.
    pub not_run: bool,
}

/// A replica's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The number of the replica's life.
    pub incarnation: Incarnation,
    /// Calls waiting.
    pub queue: u32,
    /// Calls being worked on.
    pub running: u32,
    /// Calls that run at once.
    pub slots: u32,
    /// Time of one call, microseconds.
    pub call_us: u64,
    /// Whether the replica asks for no new work.
    pub leaving: bool,
}
