//! Addresses are IP numbers, so there is nothing to resolve.
//!
//! With a timeout in force, the resolver that comes with `ureq` starts a thread for each request,
//! kept connections included; that was the larger part of a lookup's cost (`docs/design/platform.md`).

use std::net::SocketAddr;
use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Reads the address that the URI names by its numbers.
#[derive(Debug)]
pub struct NumericResolver;

impl Resolver for NumericResolver {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let named = uri.authority().and_then(|a| a.as_str().parse::<SocketAddr>().ok());
        let mut found = self.empty();
        found.push(named.ok_or(Error::HostNotFound)?);
        Ok(found)
    }
}
