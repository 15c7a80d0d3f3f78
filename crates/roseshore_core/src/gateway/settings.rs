//! Settings that an entry host reads at its start.

use crate::prelude::*;
use std::net::SocketAddr;

/// Bounds that the operators set for all hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The latest time after the news of a target's leaving at which a request may still reach it.
    pub drain: Duration,
    /// The latest time after a change of the configuration at which it has to be in force on all
    /// hosts.
    pub config: Duration,
    /// Time from the stop signal to the kill.
    pub grace: Duration,
    /// The latest time after a key's removal at which a request with it may still run.
    pub revoke: Duration,
    /// Retries per request of a service, for all hosts together.
    pub retry_ratio: f64,
    /// The window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries in a window that all hosts together may make in addition to the ratio.
    pub retry_slack: f64,
    /// Time after which the address of a gone target may be given to another service.
    pub reuse_after: Duration,
    /// How long a request may stand still when an engine that it depends on has died.
    pub stall: Duration,
    /// Interval between the heartbeats of a target.
    pub heartbeat: Duration,
}

/// The operators' usual values, for settings that leave some out.
impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            drain: Duration::from_secs(2),
            config: Duration::from_secs(2),
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
    /// Name of this host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Listen address for callers.
    pub caller_addr: SocketAddr,
    /// Listen address for the load balancer's readiness probes.
    pub probe_addr: SocketAddr,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// The operators' bounds.
    pub bounds: Bounds,
    /// Listen address for heartbeats of other hosts; without it, this host works alone.
    pub peer_addr: Option<SocketAddr>,
    /// Heartbeat addresses of some other hosts, to join the rest by.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// CPU share of this host, thousandths of a core; 0 if it is not configured.
    pub millicores: u16,
    /// File descriptors that this process may use; `None` if it is not configured.
    pub max_descriptors: Option<usize>,
    /// Memory that this process may use, bytes; `None` if it is not configured.
    pub memory: Option<usize>,
    /// Bandwidth of this host's link in bytes per second; `None` if it is not configured.
    pub link_rate: Option<u64>,
}
