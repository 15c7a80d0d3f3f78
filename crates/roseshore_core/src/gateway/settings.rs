//! What an entry host is told at its start.

use crate::prelude::*;
use std::net::SocketAddr;

/// Bounds that the operators set for all hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// After a target's leaving is known, no request may reach it later than this.
    pub drain: Duration,
    /// From the stop signal to the kill.
    pub grace: Duration,
    /// After a key's removal, no request with it may run later than this.
    pub revoke: Duration,
    /// Repeated sends for each request of a service.
    pub retry_ratio: f64,
    /// The time over which repeated sends are counted.
    pub retry_window: Duration,
    /// Repeated sends that all hosts together may make beyond the ratio in a window.
    pub retry_slack: f64,
    /// After this time a target's address may be given to another service.
    pub reuse_after: Duration,
    /// How long a request stands still that depends on a dead engine.
    pub stall: Duration,
    /// Between two heartbeats of a target.
    pub heartbeat: Duration,
}

/// The operators' usual figures, for settings that leave some out.
impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            revoke: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 200.0,
            reuse_after: Duration::from_secs(2),
            stall: Duration::from_secs(3),
            heartbeat: Duration::from_millis(1200),
        }
    }
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// This host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where callers come in.
    pub caller_addr: SocketAddr,
    /// Where the balancer asks whether this host is ready.
    pub probe_addr: SocketAddr,
    /// The platform's store.
    pub store_addr: SocketAddr,
    /// The bounds.
    pub bounds: Bounds,
    /// Where this host hears others; without it, it stays alone.
    pub peer_addr: Option<SocketAddr>,
    /// Where some others hear.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Processor share of this host, thousandths of a core; 0 when it is not told.
    pub millicores: u16,
    /// Descriptors this process may use.
    pub max_descriptors: Option<usize>,
}
