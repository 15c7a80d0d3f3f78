//! Clients of the external systems, and what joining the other daemons needs.

use crate::app::Drain;
use crate::members;
use crate::settings::Settings;
use roseshore_adapters::engine::EngineClient;
use roseshore_adapters::peer::{PeerLimits, TcpPeers, UdpSocket};
use roseshore_adapters::platform::HttpPlatform;
use roseshore_adapters::service::HttpServices;
use roseshore_core::membership::{self, Heartbeat};
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_ports::inside::ConfigSource;
use roseshore_ports::outside::{Engine, HostList, Log, Peers, Services, WeightStore};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

/// Timeout of a call to the platform.
const PLATFORM_LIMIT: Duration = Duration::from_secs(2);
/// Attempts to find a free port when the settings give port 0.
const PORT_TRIES: usize = 16;

/// Clients of the external systems.
pub(super) struct External {
    pub(super) log: Arc<dyn Log>,
    pub(super) list: Arc<dyn HostList>,
    pub(super) weights: Arc<dyn WeightStore>,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) services: Arc<dyn Services>,
    pub(super) peers: Arc<dyn Peers>,
}

impl External {
    pub(super) fn new(settings: &Settings) -> External {
        let platform = |addr| Arc::new(HttpPlatform::new(addr, PLATFORM_LIMIT));
        External {
            log: platform(settings.log),
            list: platform(settings.host_list),
            weights: platform(settings.weight_store),
            engine: Arc::new(EngineClient::new()),
            services: Arc::new(HttpServices::default()),
            peers: Arc::new(TcpPeers::new(PeerLimits::default())),
        }
    }
}

/// Binds UDP and TCP to the same address; with port 0, tries until a port is free for both.
pub(super) fn listen(peer: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    for _ in 0..PORT_TRIES {
        let listener = TcpListener::bind(peer)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((socket, listener)),
            Err(err) if peer.port() != 0 => return Err(err),
            Err(_) => {}
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The timing of membership, shared by the member driver and the digest exchange.
pub(super) fn membership_settings(settings: &Settings) -> membership::Settings {
    membership::Settings { period: settings.heartbeat_interval, ..membership::Settings::default() }
}

/// The configuration of the member driver.
pub(super) fn member_config(
    settings: &Settings,
    external: &External,
    socket: UdpSocket,
    fleets: Arc<dyn ConfigSource>,
    drain: Arc<Drain>,
) -> io::Result<members::MemberConfig> {
    let own = Heartbeat {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: incarnation(),
        sequence: 0,
        leaving: false,
        offset: 0,
        digest: 0,
    };
    Ok(members::MemberConfig {
        own,
        peer: socket.addr()?,
        seeds: settings.seeds.clone(),
        settings: membership_settings(settings),
        list_interval: settings.list_interval,
        socket: Arc::new(socket),
        list: external.list.clone(),
        fleets,
        drain,
    })
}

/// The incarnation of this process, from the wall clock: a restarted process has to have a higher
/// one, and hosts keep no state in which to count.
fn incarnation() -> Incarnation {
    wall::millis(SystemTime::now())
}
