//! The systems outside, behind their adapters, and this daemon's place among the others.

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

/// How long the platform may take to answer.
const PLATFORM_LIMIT: Duration = Duration::from_secs(2);
/// Ports that are tried where the settings leave the choice to the system.
const PORT_TRIES: usize = 16;

/// The systems outside.
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

/// Listens on one address over both; with port 0, until a port is free for both.
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

/// The bounds of membership, for the members and for those who speak to other data centres.
pub(super) fn times(settings: &Settings) -> membership::Settings {
    membership::Settings { period: settings.heartbeat, ..membership::Settings::default() }
}

/// What the members need.
pub(super) fn join(
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
        settings: times(settings),
        list_interval: settings.list_interval,
        socket: Arc::new(socket),
        list: external.list.clone(),
        fleets,
        drain,
    })
}

/// The number of this process's life: later ones are higher, as hosts keep nothing to count in.
fn incarnation() -> Incarnation {
    wall::millis(SystemTime::now())
}
