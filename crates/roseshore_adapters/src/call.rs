//! HTTP requests to the platform over a new connection each, with errors that tell whether the call
//! may have run.
//!
//! Only a connection that could not be opened guarantees that the request was not sent. A reply
//! counts once it is complete, which a reply that ends with its connection never is.

use crate::agent::{PoolLimits, agent, call_error, delimited};
use roseshore_core::prelude::*;
use roseshore_core::retry;
use roseshore_ports::outside::{CallError, CallResult};
use serde::de::DeserializeOwned;
use ureq::http::Request;
use ureq::{Agent, AsSendBody};

/// Limit for the size of a reply body.
const MAX_REPLY_BYTES: u64 = 64 << 20;
/// Statuses with which an external system replies that it did not carry out the call.
const REFUSALS: [u16; 2] = [429, 503];

/// A complete reply.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
    retry_after: Option<Duration>,
}

/// A client that opens a new connection for each request.
pub(crate) fn client() -> Agent {
    agent(PoolLimits::NONE)
}

/// Sends a request and waits up to `limit`, rounded up to whole seconds, for the complete reply.
///
/// # Errors
/// [`CallError::Unreached`] if no connection could be opened, [`CallError::Garbled`] if the reply is
/// malformed, [`CallError::Lost`] for any other failure.
pub(crate) fn send(
    client: &Agent,
    request: Request<impl AsSendBody>,
    limit: Duration,
) -> CallResult<Reply> {
    let seconds = limit.as_millis().div_ceil(1000).max(1) as u64;
    let request = client.configure_request(request);
    let request = request.timeout_global(Some(Duration::from_secs(seconds))).build();
    let mut response = delimited(client.run(request))?;
    let retry_after = response.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let retry_after = retry_after.and_then(retry::parse_retry_after);
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES).read_to_vec();
    Ok(Reply { status, body: body.map_err(call_error)?, retry_after })
}

/// Sends a request and parses the JSON body of a `200` reply.
///
/// # Errors
/// Those of [`send`] and [`read_json`].
pub(crate) fn send_json<T: DeserializeOwned>(
    client: &Agent,
    request: Request<impl AsSendBody>,
    limit: Duration,
) -> CallResult<T> {
    read_json(&send(client, request, limit)?)
}

/// Parses the JSON body of a `200` reply.
///
/// # Errors
/// [`CallError::Refused`] for `429` and `503`; [`CallError::Garbled`] for any other reply.
pub(crate) fn read_json<T: DeserializeOwned>(reply: &Reply) -> CallResult<T> {
    let status = reply.status;
    if REFUSALS.contains(&status) {
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        return Err(CallError::Refused(status, reply.retry_after, body));
    }
    if status != 200 {
        return Err(CallError::Garbled(format!("unexpected status {status}")));
    }
    serde_json::from_slice(&reply.body).map_err(|e| CallError::Garbled(e.to_string()))
}
