//! A fake replica of a lookup or plain service.
//!
//! The protocol is that of `roseshore_wire::service`. `GET /_ran` returns how often each call ran,
//! so that tests can verify at-most-once execution; `GET`/`POST /_fault` reads and replaces
//! [`ServiceFaults`]. A call counts as run as soon as its work begins.

mod handler;
pub mod records;
pub mod work;

use crate::fault::Faults;
use crate::http::Server;
use handler::Service;
use records::Source;
use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use work::CallCounts;

/// The most requests that run or wait at once.
const WORKERS: usize = 1024;

/// The configuration of a replica.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The address to listen on.
    pub bind: SocketAddr,
    /// The sources that lookups can query.
    pub sources: Vec<Source>,
    /// The duration of one lookup or call.
    pub call: Duration,
    /// The number of lookups and calls that run at once.
    pub slots: u32,
    /// Whether repeated calls with the same idempotency key get the first result.
    pub remembers: bool,
    /// The incarnation number of the replica.
    pub incarnation: Incarnation,
    /// Whether the fault `die` ends the process.
    pub exits: bool,
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings {
            bind: SocketAddr::from(([127, 0, 0, 1], 0)),
            sources: Vec::new(),
            call: Duration::ZERO,
            slots: 64,
            remembers: false,
            incarnation: 1,
            exits: false,
        }
    }
}

/// The active faults of a replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The replica is dead: the process exits if the settings allow it; otherwise every connection
    /// is cut.
    pub die: bool,
    /// Requests block until this is switched off, and then continue.
    pub freeze: bool,
    /// Extra latency of every call, in milliseconds.
    pub slow_ms: u64,
    /// Calls and lookups run and are then answered with `500`.
    pub error: bool,
    /// Replies are not valid HTTP.
    pub garbled: bool,
    /// Replies are truncated within the body.
    pub cut_body: bool,
    /// Calls are answered with `503` and "not run", and do not run.
    pub not_run: bool,
    /// The number of upcoming calls that run but whose replies are lost.
    pub lose_replies: u32,
    /// Lookups are answered with `500`, as if the source were unavailable.
    pub unknown: bool,
    /// The replica asks in its report for no new work.
    pub leaving: bool,
}

/// A running fake replica.
pub struct ServiceFake {
    /// The switchable faults of the replica.
    pub faults: Faults<ServiceFaults>,
    service: Arc<Service>,
    server: Server,
}

impl ServiceFake {
    /// Starts a replica.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(settings: ServiceSettings) -> std::io::Result<ServiceFake> {
        let bind = settings.bind;
        let service = Arc::new(Service::new(settings));
        let server = Server::start(bind, WORKERS, service.clone())?;
        Ok(ServiceFake { faults: service.faults(), service, server })
    }

    /// The address that the replica listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How often each call ran.
    pub fn ran(&self) -> CallCounts {
        self.service.ran()
    }

    /// Stops the replica; later connections are refused.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}
