//! One HTTP request over a connection of its own, and what its failure proves.
//!
//! `minreq` reads a reply that breaks off as a whole one: without a status line it makes up a
//! `503`, and a body shorter than announced is handed on. Both would turn "may have run" into
//! "not run" or a cut answer into a whole one, so [`send`] takes a reply only with a status line
//! that came over the wire and with the announced length of body. Only a refused connection is
//! known not to have carried the request.

use roseshore_core::prelude::*;
use roseshore_core::retry;
use roseshore_ports::outside::{CallError, CallResult};
use serde::de::DeserializeOwned;
use std::io::ErrorKind;

/// The reason that `minreq` makes up when there was no status line.
const NO_STATUS_LINE: &str = "Server did not provide a status line";
/// The statuses by which an outside system says that it did nothing.
const REFUSALS: [u16; 2] = [429, 503];

/// Sends a request and waits up to `limit`, in whole seconds, for its whole reply.
///
/// # Errors
/// [`CallError::Unreached`] when the connection was refused, [`CallError::Lost`] after that.
pub fn send(request: minreq::Request, limit: Duration) -> CallResult<minreq::Response> {
    let seconds = limit.as_millis().div_ceil(1000).max(1) as u64;
    let request = request
        .with_header("Connection", "close")
        .with_follow_redirects(false)
        .with_timeout(seconds);
    match request.send() {
        Ok(reply) if whole(&reply) => Ok(reply),
        Ok(_) => Err(CallError::Lost("the reply broke off".to_owned())),
        Err(error) => Err(failure(&error)),
    }
}

/// Sends a request and reads the JSON of its `200`.
///
/// # Errors
/// Those of [`send`]; [`CallError::Refused`] for `429` and `503`; [`CallError::Garbled`] for any
/// other reply.
pub fn send_json<T: DeserializeOwned>(request: minreq::Request, limit: Duration) -> CallResult<T> {
    read_json(&send(request, limit)?)
}

/// Reads the JSON of a `200`.
///
/// # Errors
/// As for [`send_json`].
pub fn read_json<T: DeserializeOwned>(reply: &minreq::Response) -> CallResult<T> {
    let status = reply.status_code;
    if REFUSALS.contains(&status) {
        let body = String::from_utf8_lossy(reply.as_bytes()).into_owned();
        return Err(CallError::Refused(status, retry_after(reply), body));
    }
    if status != 200 {
        return Err(CallError::Garbled(format!("unexpected status {status}")));
    }
    serde_json::from_slice(reply.as_bytes()).map_err(|e| CallError::Garbled(e.to_string()))
}

fn whole(reply: &minreq::Response) -> bool {
    if reply.reason_phrase == NO_STATUS_LINE {
        return false;
    }
    let length = header(reply, "content-length").and_then(|v| v.trim().parse::<usize>().ok());
    match length {
        Some(length) => length == reply.as_bytes().len(),
        None => header(reply, "transfer-encoding").is_some(),
    }
}

fn header<'a>(reply: &'a minreq::Response, name: &str) -> Option<&'a str> {
    let found = reply.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn retry_after(reply: &minreq::Response) -> Option<Duration> {
    retry::parse_retry_after(header(reply, "retry-after")?)
}

fn failure(error: &minreq::Error) -> CallError {
    match error {
        minreq::Error::IoError(e) if e.kind() == ErrorKind::ConnectionRefused => {
            CallError::Unreached(e.to_string())
        }
        other => CallError::Lost(other.to_string()),
    }
}
