//! A stand-in for one replica of a lookup or plain service.
//!
//! The protocol is that of `roseshore_wire::service`. `GET /_ran` shows how often each call ran,
//! so that tests can prove "at most once"; `GET`/`POST /_fault` shows and switches
//! [`ServiceFaults`]. A call counts as run the moment its work begins.

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
use work::Ran;

/// Requests that are worked on or wait at once.
const WORKERS: usize = 1024;

/// How a replica behaves without faults.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Where it listens.
    pub bind: SocketAddr,
    /// The sources it answers lookups for.
    pub sources: Vec<Source>,
    /// Time of one lookup or call.
    pub call: Duration,
    /// Lookups and calls that run at once.
    pub slots: u32,
    /// Whether repeats of an idempotency key get the first result.
    pub remembers: bool,
    /// The number of its life.
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

/// What is wrong with a replica now.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// It is gone: the process ends if it may, or else every connection is cut.
    pub die: bool,
    /// It answers nothing until this is switched off, and then goes on.
    pub freeze: bool,
    /// Every call takes so much longer, milliseconds.
    pub slow_ms: u64,
    /// Calls and lookups are answered with `500` after they ran.
    pub error: bool,
    /// Replies are not HTTP.
    pub garbled: bool,
    /// Replies break off in the body.
    pub cut_body: bool,
    /// Calls are answered with `503` and "not run", and do not run.
    pub not_run: bool,
    /// The replies to so many calls to come are lost after they ran.
    pub lose_replies: u32,
    /// Lookups are answered with `500`, since the source cannot say.
    pub unknown: bool,
    /// It asks for no new work, in its report.
    pub leaving: bool,
}

/// A running replica.
pub struct ServiceFake {
    /// Its faults.
    pub faults: Faults<ServiceFaults>,
    service: Arc<Service>,
    server: Server,
}

impl ServiceFake {
    /// Starts one.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(settings: ServiceSettings) -> std::io::Result<ServiceFake> {
        let bind = settings.bind;
        let service = Arc::new(Service::new(settings));
        let server = Server::start(bind, WORKERS, service.clone())?;
        Ok(ServiceFake { faults: service.faults(), service, server })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// How often each call ran.
    pub fn ran(&self) -> Ran {
        self.service.ran()
    }

    /// Ends it; connections are refused from then on.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}
