//! A stand-in for the platform: log service, host list and weight store.
//!
//! The protocol is that of `roseshore_wire::platform`. Besides, tests and scripts have
//! `POST /_hosts` (replaces the list), `POST /_hosts/leave` (`{"host": "..."}`, marks one as being
//! taken away) and `GET`/`POST /_fault` with [`PlatformFaults`]. Engine stand-ins fetch weights
//! with `GET /v1/weights/take?bytes=N`, which is answered when the bytes are given.

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

/// Requests that are worked on at once; long-polling reads hold one each.
const WORKERS: usize = 1024;

/// How a platform behaves without faults.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Where it listens.
    pub bind: SocketAddr,
    /// Appends a second over all streams.
    pub appends: f64,
    /// What is kept of each stream.
    pub keep: log::Retention,
    /// How late the host list shows a change.
    pub lag: Duration,
    /// Bytes a second of the weight store.
    pub rate: u64,
    /// The hosts listed from the start.
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

/// What is wrong with a platform now.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The log service answers nothing: connections are cut.
    pub log_out: bool,
    /// Reads are answered with `503`.
    pub reads_out: bool,
    /// Appends are answered with `503`, with nothing appended.
    pub appends_out: bool,
    /// Appends are answered with `429`, with nothing appended.
    pub appends_limited: bool,
    /// The replies to so many appends to come are lost after they took effect.
    pub lose_replies: u32,
    /// Only appends to streams whose name begins so lose their replies.
    pub lose_stream: String,
    /// Every call to the log takes so much longer, milliseconds; appends take effect after it.
    pub slow_ms: u64,
    /// The replies of the log are not what they should be.
    pub garbled: bool,
    /// The host list answers nothing.
    pub hosts_out: bool,
    /// The host list shows no change any more.
    pub hosts_frozen: bool,
    /// How late the host list shows a change, instead of the setting, milliseconds.
    pub hosts_lag_ms: Option<u64>,
    /// The weight store answers nothing.
    pub weights_out: bool,
    /// All but so many of the newest records of each stream are trimmed, once, when this is set.
    pub trim_to: Option<usize>,
}

/// A running platform.
pub struct PlatformFake {
    /// Its faults.
    pub faults: Faults<PlatformFaults>,
    platform: Arc<Platform>,
    server: Server,
}

impl PlatformFake {
    /// Starts one.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(settings: PlatformSettings) -> std::io::Result<PlatformFake> {
        let bind = settings.bind;
        let platform = Arc::new(Platform::new(settings, Instant::now()));
        let server = Server::start(bind, WORKERS, platform.clone())?;
        Ok(PlatformFake { faults: platform.faults(), platform, server })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.platform.set_hosts(hosts);
    }

    /// Marks a host as being taken away; `false` when it is not listed.
    pub fn leave(&self, host: &str) -> bool {
        self.platform.leave(host)
    }

    /// Appends taken so far, refused ones left out.
    pub fn appends(&self) -> u64 {
        self.platform.appends()
    }

    /// Ends it; connections are refused from then on.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}
