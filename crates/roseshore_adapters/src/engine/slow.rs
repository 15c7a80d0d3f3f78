//! Rare calls through `minreq`: orders and KV transfers.
//!
//! `minreq` counts its timeout in whole seconds, so the call runs on a thread of its own that is
//! left behind at the limit; it ends by itself within the second after. `minreq` cannot tell a
//! connection that was not made from a reply that did not come, except when it was refused, so
//! everything else counts as lost. That is harmless here: an order says what to hold, and a
//! transfer may be repeated.

use super::client::url;
use super::status::Reply;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, Called};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::thread;

/// Calls with a JSON body.
pub(super) fn post(
    addr: SocketAddr,
    path: &str,
    body: Vec<u8>,
    limit: Duration,
) -> Called<Vec<u8>> {
    let request = minreq::post(url(addr, path))
        .with_header("Content-Type", "application/json")
        .with_header("Connection", "close")
        .with_body(body)
        .with_follow_redirects(false)
        .with_timeout(limit.as_secs() + 1);
    let (sender, outcome) = flume::bounded(1);
    let spawned = thread::Builder::new().spawn(move || sender.send(request.send()));
    spawned.map_err(|e| CallError::Unreached(e.to_string()))?;
    match outcome.recv_timeout(limit) {
        Ok(outcome) => reply(outcome.map_err(failure)?).accept(),
        Err(_) => Err(CallError::Lost("no reply within the limit".to_owned())),
    }
}

fn reply(response: minreq::Response) -> Reply {
    let status = response.status_code;
    let mut headers = response.headers.iter();
    let after = headers.find(|(name, _)| name.eq_ignore_ascii_case("retry-after"));
    let after = after.map(|(_, value)| value.clone());
    Reply { status, after, body: response.into_bytes() }
}

fn failure(error: minreq::Error) -> CallError {
    match error {
        minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused => {
            CallError::Unreached(io.to_string())
        }
        minreq::Error::IoError(io) => CallError::Lost(io.to_string()),
        other => CallError::Garbled(other.to_string()),
    }
}
