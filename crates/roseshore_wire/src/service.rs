//! The protocol of a lookup or plain service, HTTP.
//!
//! - `GET /v1/lookup/SOURCE/NAME` returns `200` with the record, or `404` with [`Missing`] if the
//!   source definitely does not hold the name. Any other status means that the source cannot tell.
//! - `POST /v1/call/SERVICE` runs a call with an opaque body and returns `200` with the result. The
//!   header `idempotency-key` is passed on. A target that remembers the key answers a repeated call
//!   with the first result and the header `idempotency-replayed: true`. `503` with [`NotStarted`]
//!   means that the call did not run.
//! - `GET /v1/load` returns a [`ServiceLoad`].

use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Header with the id of the request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the time left until the deadline, in whole milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the value `true` on a reply that is the recorded result of an earlier call.
pub const REPLAYED: &str = "idempotency-replayed";
/// Header with the W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// The reply of a source that does not hold the name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The source that replied.
    pub source: String,
    /// The requested name.
    pub missing: String,
}

/// The reply of a replica that did not start the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStarted {
    /// Always true.
    pub not_run: bool,
}

/// The load report of a service replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Incarnation number of the replica.
    pub incarnation: Incarnation,
    /// Waiting calls.
    pub queue: u32,
    /// Running calls.
    pub running: u32,
    /// Calls that can run at once.
    pub slots: u32,
    /// Duration of one call, microseconds.
    pub call_us: u64,
    /// Whether the replica asks for no new work.
    pub leaving: bool,
}
