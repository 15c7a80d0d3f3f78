//! Short calls through `ureq`.
//!
//! Polls go over connections that are kept. Calls that change something get a connection each: one
//! that was kept may have been closed by the engine just now, and then nobody knows whether the
//! call was read.
//!
//! Two parts of `ureq` are replaced. The connector marks an error that came before there was a
//! connection, so that "not reached" is certain and is not guessed from the kind of the error. The
//! resolver takes the address as it is; the library's own starts a thread for each call that has
//! a timeout, IP numbers included.

use super::status::Reply;
use quick_error::quick_error;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, Called};
use std::net::SocketAddr;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::http::uri::Authority;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::{Agent, Body, Error};

/// The longest reply of a short call, bytes.
const MAX_REPLY: u64 = 8 << 20;
/// The longest time for the making of a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Connections kept for one engine.
const IDLE_EACH: usize = 2;
/// Connections kept in all; one for each replica of the largest fleet and some more.
const IDLE_ALL: usize = 4096;

/// Short calls.
pub(super) struct Client {
    agent: Agent,
}

impl Client {
    /// A client that keeps connections.
    pub(super) fn pooled() -> Client {
        Client { agent: agent(IDLE_ALL, IDLE_EACH) }
    }

    /// A client that opens a connection for each call.
    pub(super) fn fresh() -> Client {
        Client { agent: agent(0, 0) }
    }

    /// Calls without a body.
    pub(super) fn get(&self, addr: SocketAddr, path: &str, limit: Duration) -> Called<Vec<u8>> {
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
    ) -> Called<Vec<u8>> {
        let request = self.agent.post(url(addr, path)).content_type("application/json");
        let request = request.header("Connection", "close").config();
        let request = request.timeout_global(Some(limit)).timeout_connect(Some(connect(limit)));
        finish(request.build().send(&body))
    }
}

/// An agent that follows no redirects, asks no proxy, and gives every status as a reply.
pub(super) fn agent(idle_all: usize, idle_each: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .max_idle_connections(idle_all)
        .max_idle_connections_per_host(idle_each)
        .build();
    Agent::with_parts(config, Dial, Literal)
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
pub(super) fn finish(outcome: Result<ureq::http::Response<Body>, Error>) -> Called<Vec<u8>> {
    reply(outcome.map_err(failure)?)?.accept()
}

/// Reads the body of a reply.
pub(super) fn reply(mut response: ureq::http::Response<Body>) -> Called<Reply> {
    let status = response.status().as_u16();
    let after = response.headers().get("retry-after");
    let after = after.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body = response.body_mut().with_config().limit(MAX_REPLY).read_to_vec();
    Ok(Reply { status, after, body: body.map_err(failure)? })
}

/// What a failure proves.
pub(super) fn failure(error: Error) -> CallError {
    match error {
        Error::Other(other) if other.is::<DialError>() => CallError::Unreached(other.to_string()),
        Error::BadUri(_) | Error::Http(_) => CallError::Unreached(error.to_string()),
        Error::Protocol(_) | Error::LargeResponseHeader(..) | Error::BodyExceedsLimit(_) => {
            CallError::Garbled(error.to_string())
        }
        other => CallError::Lost(other.to_string()),
    }
}

/// Makes TCP connections and marks what fails before there is one.
#[derive(Debug)]
struct Dial;

impl Connector<()> for Dial {
    type Out = Box<dyn Transport>;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Box<dyn Transport>>, Error> {
        let made = TcpConnector::default().connect(details, chained);
        let transport =
            made.map_err(|e| Error::Other(Box::new(DialError::Failed(e.to_string()))))?;
        Ok(transport.map(|transport| Box::new(transport) as Box<dyn Transport>))
    }
}

quick_error! {
    /// Why there is no connection.
    #[derive(Debug)]
    enum DialError {
        Failed(why: String) {
            display("{why}")
        }
    }
}

/// Takes IP numbers as they are.
#[derive(Debug)]
struct Literal;

impl Resolver for Literal {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().map(Authority::as_str);
        let addr = authority.and_then(|text| text.parse().ok());
        let mut found = self.empty();
        found.push(addr.ok_or(Error::HostNotFound)?);
        Ok(found)
    }
}
