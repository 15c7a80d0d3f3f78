//! A fake platform: log service, host list and weight store.
//!
//! The protocol is that of `roseshore_wire::platform`. In addition, tests and scripts can use
//! `POST /_hosts` (replaces the list), `POST /_hosts/leave` (`{"host": "..."}`, marks a host as
//! leaving) and `GET`/`POST /_fault` with [`PlatformFaults`]. Fake engines fetch weights with
//! `GET /v1/weights/take?bytes=N`, which replies once the transfer is complete.

mod handler;
pub mod hosts;
pub mod log;
pub mod weights;

use crate::fault::Faults;
use crate::http::Server;
use handler::Platform;
use roseshore_core::prelude::*;
use roseshore_wire::platform::Host;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The most requests handled at once; each long-polling read occupies one.
const WORKERS: usize = 1024;

/// The configuration of a platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The address to listen on.
    pub bind: SocketAddr,
    /// The limit on appends per second over all streams.
    pub appends: f64,
    /// The retention of each stream.
    pub keep: log::Retention,
    /// The delay with which the host list shows a change.
    pub lag: Duration,
    /// The transfer rate of the weight store, in bytes per second.
    pub rate: u64,
    /// The initial host list.
    pub hosts: Vec<Host>,
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        PlatformSettings {
            bind: SocketAddr::from(([127, 0, 0, 1], 0)),
            appends: 400.0,
            keep: log::Retention::default(),
            lag: Duration::ZERO,
            rate: 1 << 30,
            hosts: Vec::new(),
        }
    }
}

/// The active faults of a platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The log service does not reply: connections are cut.
    pub log_out: bool,
    /// Reads are answered with `503`.
    pub reads_out: bool,
    /// Appends are answered with `503` and append nothing.
    pub appends_out: bool,
    /// Appends are answered with `429` and append nothing.
    pub appends_limited: bool,
    /// The number of upcoming appends that take effect but whose replies are lost.
    pub lose_replies: u32,
    /// Restricts lost replies to appends to streams with this name prefix.
    pub lose_stream: String,
    /// Extra latency of every log call, in milliseconds; appends take effect after it.
    pub slow_ms: u64,
    /// The replies of the log service are malformed.
    pub garbled: bool,
    /// The host list does not reply.
    pub hosts_out: bool,
    /// The host list is frozen and shows no further changes.
    pub hosts_frozen: bool,
    /// The delay of the host list in milliseconds, which overrides the setting.
    pub hosts_lag_ms: Option<u64>,
    /// The weight store does not reply.
    pub weights_out: bool,
    /// Trims each stream once, when this is set, to this many of its newest records.
    pub trim_to: Option<usize>,
}

/// A running fake platform.
pub struct PlatformFake {
    /// The switchable faults of the platform.
    pub faults: Faults<PlatformFaults>,
    platform: Arc<Platform>,
    server: Server,
}

impl PlatformFake {
    /// Starts a platform.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(settings: PlatformSettings) -> std::io::Result<PlatformFake> {
        let bind = settings.bind;
        let platform = Arc::new(Platform::new(settings, Instant::now()));
        let server = Server::start(bind, WORKERS, platform.clone())?;
        Ok(PlatformFake { faults: platform.faults(), platform, server })
    }

    /// The address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.platform.set_hosts(hosts);
    }

    /// Marks a host as leaving; `false` if it is not listed.
    pub fn leave(&self, host: &str) -> bool {
        self.platform.leave(host)
    }

    /// The number of accepted appends; refused ones do not count.
    pub fn appends(&self) -> u64 {
        self.platform.appends()
    }

    /// Stops the platform; later connections are refused.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}
