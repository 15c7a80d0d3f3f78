//! HTTP agent for calls to engines and service replicas, based on `ureq`.
//!
//! Two parts of `ureq` are replaced. The connector marks errors that occur before a connection
//! exists, so that [`CallError::Unreached`] is certain and not inferred from the kind of error. The
//! resolver only parses socket addresses: with a timeout set, the resolver of `ureq` starts a
//! thread for each request, even for IP addresses and reused connections, which was the larger
//! part of the cost of a lookup (`docs/design/services.md`).

use quick_error::quick_error;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult};
use roseshore_wire::http::{ResponseKind, response_kind};
use std::net::SocketAddr;
use ureq::config::Config;
use ureq::http::{Response, Uri};
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::{Agent, Body, Error};

/// Size of the input and of the output buffer that each connection holds, also while it is idle.
/// With the 128 KiB that `ureq` uses by default, these buffers were nearly all of the memory used
/// for a polled target.
const BUFFER_BYTES: usize = 16 << 10;

/// How many idle connections are kept open, and for how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLimits {
    pub(crate) per_addr: usize,
    pub(crate) total: usize,
    pub(crate) max_age: Duration,
}

impl PoolLimits {
    /// Keeps no idle connections, so that each call opens a new one.
    pub(crate) const NONE: PoolLimits =
        PoolLimits { per_addr: 0, total: 0, max_age: Duration::ZERO };
}

/// Creates an agent that follows no redirects, uses no proxy and returns a response of any status
/// as `Ok`.
pub(crate) fn agent(pool: PoolLimits) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .max_idle_connections(pool.total)
        .max_idle_connections_per_host(pool.per_addr)
        .max_idle_age(pool.max_age)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build();
    Agent::with_parts(config, MarkingConnector, NumericResolver)
}

/// Converts an error to the [`CallError`] that tells whether the call may have run.
pub(crate) fn call_error(error: Error) -> CallError {
    match error {
        Error::Other(other) if other.is::<ConnectError>() => {
            CallError::Unreached(other.to_string())
        }
        Error::BadUri(_) | Error::Http(_) | Error::HostNotFound => {
            CallError::Unreached(error.to_string())
        }
        Error::Protocol(_) | Error::LargeResponseHeader(..) | Error::BodyExceedsLimit(_) => {
            CallError::Garbled(error.to_string())
        }
        other => CallError::Lost(other.to_string()),
    }
}

/// The response of a call. The library takes statuses that no response has.
pub(crate) fn response(outcome: Result<Response<Body>, Error>) -> CallResult<Response<Body>> {
    let response = outcome.map_err(call_error)?;
    let status = response.status().as_u16();
    match response_kind(status) {
        Some(ResponseKind::Final) => Ok(response),
        Some(ResponseKind::Interim) | None => {
            Err(CallError::Garbled(format!("the response has the status {status}")))
        }
    }
}

/// Like [`response`], for one that states where its body ends.
pub(crate) fn delimited(outcome: Result<Response<Body>, Error>) -> CallResult<Response<Body>> {
    let response = response(outcome)?;
    let headers = response.headers();
    if !headers.contains_key("content-length") && !headers.contains_key("transfer-encoding") {
        return Err(CallError::Lost("the reply has no length".to_owned()));
    }
    Ok(response)
}

/// Converts the error of a request that could not be built, and so was not sent.
pub(crate) fn invalid_request(error: ureq::http::Error) -> CallError {
    CallError::Unreached(error.to_string())
}

/// Opens TCP connections and wraps errors that occur before the connection exists in a
/// [`ConnectError`].
#[derive(Debug)]
struct MarkingConnector;

impl Connector<()> for MarkingConnector {
    type Out = Box<dyn Transport>;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Box<dyn Transport>>, Error> {
        let made = TcpConnector::default().connect(details, chained);
        let transport =
            made.map_err(|e| Error::Other(Box::new(ConnectError::Failed(e.to_string()))))?;
        Ok(transport.map(|transport| Box::new(transport) as Box<dyn Transport>))
    }
}

quick_error! {
    /// An error while a connection was being opened. Nothing has been sent.
    #[derive(Debug)]
    enum ConnectError {
        Failed(why: String) {
            display("{why}")
        }
    }
}

/// Parses the URI's authority as an IP address and port, without DNS.
#[derive(Debug)]
struct NumericResolver;

impl Resolver for NumericResolver {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let named = uri.authority().and_then(|a| a.as_str().parse::<SocketAddr>().ok());
        let mut found = self.empty();
        found.push(named.ok_or(Error::HostNotFound)?);
        Ok(found)
    }
}
