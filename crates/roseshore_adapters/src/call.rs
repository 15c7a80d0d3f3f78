//! HTTP requests over a new connection each, with errors that tell whether the call may have run.
//!
//! `minreq` accepts truncated replies: if the status line is missing it invents a `503`, and it
//! returns a body that is shorter than its `Content-Length`. This would report a call that may have
//! run as not run, or a truncated reply as complete. [`send`] therefore accepts a reply only if its
//! status line was received and its body has the announced length. Only a refused connection
//! guarantees that the request was not sent.

use roseshore_core::prelude::*;
use roseshore_core::retry;
use roseshore_ports::outside::{CallError, CallResult};
use serde::de::DeserializeOwned;
use std::io::ErrorKind;

/// Reason phrase that `minreq` invents if no status line was received.
const NO_STATUS_LINE: &str = "Server did not provide a status line";
/// Statuses with which an external system replies that it did not carry out the call.
const REFUSALS: [u16; 2] = [429, 503];

/// Sends a request and waits up to `limit`, rounded up to whole seconds, for the complete reply.
///
/// # Errors
/// [`CallError::Unreached`] if the connection was refused, [`CallError::Lost`] for any other
/// failure.
pub fn send(request: minreq::Request, limit: Duration) -> CallResult<minreq::Response> {
    let seconds = limit.as_millis().div_ceil(1000).max(1) as u64;
    let request = request
        .with_header("Connection", "close")
        .with_follow_redirects(false)
        .with_timeout(seconds);
    match request.send() {
        Ok(reply) if is_complete(&reply) => Ok(reply),
        Ok(_) => Err(CallError::Lost("the reply broke off".to_owned())),
        Err(error) => Err(call_error(&error)),
    }
}

/// Sends a request and parses the JSON body of a `200` reply.
///
/// # Errors
/// Those of [`send`]; [`CallError::Refused`] for `429` and `503`; [`CallError::Garbled`] for any
/// other reply.
pub fn send_json<T: DeserializeOwned>(request: minreq::Request, limit: Duration) -> CallResult<T> {
    read_json(&send(request, limit)?)
}

/// Parses the JSON body of a `200` reply.
///
/// # Errors
/// [`CallError::Refused`] for `429` and `503`; [`CallError::Garbled`] for any other reply.
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

fn is_complete(reply: &minreq::Response) -> bool {
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

fn call_error(error: &minreq::Error) -> CallError {
    match error {
        minreq::Error::IoError(e) if e.kind() == ErrorKind::ConnectionRefused => {
            CallError::Unreached(e.to_string())
        }
        other => CallError::Lost(other.to_string()),
    }
}
