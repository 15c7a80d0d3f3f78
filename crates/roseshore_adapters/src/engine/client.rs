//! Short calls through `ureq`.
//!
//! Polls go over connections that are kept. Calls that change something get a connection each: one
//! that was kept may have been closed by the engine just now, and then nobody knows whether the
//! call was read.

use super::status::Reply;
use crate::agent::{Kept, agent, failure};
use roseshore_core::prelude::*;
use roseshore_ports::outside::CallResult;
use std::net::SocketAddr;
use ureq::{Agent, Body, Error};

/// The longest reply of a short call, bytes.
const MAX_REPLY: u64 = 8 << 20;
/// The longest time for the making of a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Two connections for each engine; in all one for each replica of the largest fleet and some more.
const KEPT: Kept = Kept { each: 2, all: 4096, age: Duration::from_secs(15) };

/// Short calls.
pub(super) struct Client {
    agent: Agent,
}

impl Client {
    /// A client that keeps connections.
    pub(super) fn pooled() -> Client {
        Client { agent: agent(KEPT) }
    }

    /// A client that opens a connection for each call.
    pub(super) fn fresh() -> Client {
        Client { agent: agent(Kept::NONE) }
    }

    /// Calls without a body.
    pub(super) fn get(&self, addr: SocketAddr, path: &str, limit: Duration) -> CallResult<Vec<u8>> {
        let request = self.agent.get(url(addr, path)).config();
        let request = request.timeout_global(Some(limit)).timeout_connect(Some(connect(limit)));
        finish(request.build().call())
    }

    /// Calls with a JSON body.
    pub(super) fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> CallResult<Vec<u8>> {
        let request = self.agent.post(url(addr, path)).content_type("application/json");
        let request = request.header("Connection", "close").config();
        let request = request.timeout_global(Some(limit)).timeout_connect(Some(connect(limit)));
        finish(request.build().send(&body))
    }
}

/// How long the making of a connection may take within a call's limit. It is shorter than the
/// limit, so that a timeout says in which part of the call it struck.
pub(super) fn connect(limit: Duration) -> Duration {
    CONNECT_LIMIT.min(limit / 2)
}

/// The URL of a call.
pub(super) fn url(addr: SocketAddr, path: &str) -> String {
    format!("http://{addr}{path}")
}

/// Reads a whole reply.
pub(super) fn finish(outcome: Result<ureq::http::Response<Body>, Error>) -> CallResult<Vec<u8>> {
    reply(outcome.map_err(failure)?)?.accept()
}

/// Reads the body of a reply.
pub(super) fn reply(mut response: ureq::http::Response<Body>) -> CallResult<Reply> {
    let status = response.status().as_u16();
    let after = response.headers().get("retry-after");
    let after = after.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = response.body_mut().with_config().limit(MAX_REPLY).read_to_vec();
    Ok(Reply { status, after, body: body.map_err(failure)? })
}
