//! The HTTP client of engines and service replicas, over `ureq`.
//!
//! Two parts of `ureq` are replaced. The connector marks an error that came before there was a
//! connection, so that "not reached" is certain and is not guessed from the kind of the error. The
//! resolver takes the address as it is: with a timeout in force, the library's own starts a thread
//! for each request, kept connections and IP numbers included; that was the larger part of a
//! lookup's cost (`docs/design/services.md`).

use quick_error::quick_error;
use roseshore_core::prelude::*;
use roseshore_ports::outside::CallError;
use std::net::SocketAddr;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::{Agent, Error};

/// Bytes of each of the two buffers that a connection holds for as long as it is kept. With the
/// library's 128 KiB they were nearly all the memory that a polled target costs.
const BUFFER: usize = 16 << 10;

/// How many connections are kept without use, and how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kept {
    pub(crate) each: usize,
    pub(crate) all: usize,
    pub(crate) age: Duration,
}

impl Kept {
    /// Each call has a connection of its own.
    pub(crate) const NONE: Kept = Kept { each: 0, all: 0, age: Duration::ZERO };
}

/// An agent that follows no redirects, asks no proxy, and gives every status as a reply.
pub(crate) fn agent(kept: Kept) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .max_idle_connections(kept.all)
        .max_idle_connections_per_host(kept.each)
        .max_idle_age(kept.age)
        .input_buffer_size(BUFFER)
        .output_buffer_size(BUFFER)
        .build();
    Agent::with_parts(config, Dial, NumericResolver)
}

/// What a failure proves.
pub(crate) fn failure(error: Error) -> CallError {
    match error {
        Error::Other(other) if other.is::<DialError>() => CallError::Unreached(other.to_string()),
        Error::BadUri(_) | Error::Http(_) | Error::HostNotFound => {
            CallError::Unreached(error.to_string())
        }
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

/// Reads the address that the URI names by its numbers.
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
