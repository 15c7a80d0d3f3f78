//! Calls to engines other than streams.
//!
//! Polls reuse idle connections. Calls with side effects use a new connection each: the engine may
//! be closing an idle connection while the call is written to it, and then it is unknown whether
//! the engine has read the call.

use super::status::Reply;
use crate::agent::{PoolLimits, agent, call_error, response};
use roseshore_core::prelude::*;
use roseshore_ports::outside::CallResult;
use std::net::SocketAddr;
use ureq::{Agent, Body, Error};

/// Limit for the size of a reply body.
const MAX_REPLY_BYTES: u64 = 8 << 20;
/// Upper bound for opening a connection.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle connections for polls. The total leaves room for one connection to each replica of the
/// largest fleet, with a margin.
const POLL_POOL: PoolLimits =
    PoolLimits { per_addr: 2, total: 4096, max_age: Duration::from_secs(15) };

/// Client for short calls.
pub(super) struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client that reuses idle connections.
    pub(super) fn pooled() -> Client {
        Client { agent: agent(POLL_POOL) }
    }

    /// Creates a client that opens a new connection for each call.
    pub(super) fn unpooled() -> Client {
        Client { agent: agent(PoolLimits::NONE) }
    }

    /// Sends a `GET` request and returns the body of a `200` reply.
    pub(super) fn get(&self, addr: SocketAddr, path: &str, limit: Duration) -> CallResult<Vec<u8>> {
        let request = self.agent.get(url(addr, path)).config();
        let request =
            request.timeout_global(Some(limit)).timeout_connect(Some(connect_timeout(limit)));
        read_body(request.build().call())
    }

    /// Sends a `POST` request with a JSON body and returns the body of a `200` reply.
    pub(super) fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> CallResult<Vec<u8>> {
        let request = self.agent.post(url(addr, path)).content_type("application/json");
        let request = request.header("Connection", "close").config();
        let request =
            request.timeout_global(Some(limit)).timeout_connect(Some(connect_timeout(limit)));
        read_body(request.build().send(&body))
    }
}

/// Timeout for opening a connection within a call that may take `limit`. It is shorter than the
/// limit, so that the error tells in which phase of the call the timeout occurred.
pub(super) fn connect_timeout(limit: Duration) -> Duration {
    MAX_CONNECT_TIMEOUT.min(limit / 2)
}

pub(super) fn url(addr: SocketAddr, path: &str) -> String {
    format!("http://{addr}{path}")
}

/// Reads a complete reply and returns its body if the status is `200`.
pub(super) fn read_body(outcome: Result<ureq::http::Response<Body>, Error>) -> CallResult<Vec<u8>> {
    read_reply(response(outcome)?)?.into_body()
}

/// Reads the status, the `Retry-After` header and the complete body of a response.
pub(super) fn read_reply(mut response: ureq::http::Response<Body>) -> CallResult<Reply> {
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES).read_to_vec();
    Ok(Reply { status, retry_after, body: body.map_err(call_error)? })
}
