//! Daemons on loopback with a host list that the test changes. Tests wait for conditions, never for
//! a fixed time.

use parking_lot::Mutex;
use roseshore_adapters::peer::UdpSocket;
use roseshore_core::membership::{Heartbeat, Settings};
use roseshore_core::prelude::*;
pub(crate) use roseshore_fakes::wait::wait_until as wait;
use roseshore_ports::inside::{
    ActiveConfig, ConfigSource, MemberState, Members, Report, ReportStore,
};
use roseshore_ports::outside::{CallError, CallResult, Datagrams, HostList, ReceivedDatagram};
use roseshore_wire::engine::{Holding, Load, Role};
use roseshore_wire::peer::Datagram;
use roseshore_wire::platform::{Host, HostState, Hosts};
use roseshore_wire::service::ServiceLoad;
use roseshored::app::Drain;
use roseshored::members::{MemberConfig, MemberDriver};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

pub(crate) const BOUND: Duration = Duration::from_secs(20);

/// The platform's host list, which the test changes or makes unavailable.
#[derive(Default)]
pub(crate) struct List {
    pub(crate) hosts: Mutex<Hosts>,
    pub(crate) down: AtomicBool,
}

impl List {
    pub(crate) fn set(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut hosts = self.hosts.lock();
        hosts.version += 1;
        change(&mut hosts.hosts);
    }
}

impl HostList for List {
    fn hosts(&self) -> CallResult<Hosts> {
        if self.down.load(Ordering::SeqCst) {
            return Err(CallError::Unreached("the platform is out".into()));
        }
        Ok(self.hosts.lock().clone())
    }
}

pub(crate) struct FixedConfig;

impl ConfigSource for FixedConfig {
    fn current(&self) -> Option<ActiveConfig> {
        Some(ActiveConfig { fleet: Arc::default(), offset: 42, digest: 7 })
    }
}

/// A socket whose sending and receiving the test can block separately.
pub(crate) struct FaultySocket {
    pub(crate) inner: UdpSocket,
    pub(crate) drop_received: AtomicBool,
    pub(crate) drop_sent: AtomicBool,
}

impl Datagrams for FaultySocket {
    fn send(&self, to: SocketAddr, datagram: &Datagram) -> CallResult<()> {
        if self.drop_sent.load(Ordering::SeqCst) {
            return Ok(());
        }
        self.inner.send(to, datagram)
    }

    fn receive(&self, limit: Duration) -> Option<ReceivedDatagram> {
        self.inner.receive(limit).filter(|_| !self.drop_received.load(Ordering::SeqCst))
    }
}

pub(crate) struct Daemon {
    pub(crate) driver: Arc<MemberDriver>,
    pub(crate) socket: Arc<FaultySocket>,
    pub(crate) drain: Arc<Drain>,
    pub(crate) listener: TcpListener,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.driver.stop();
    }
}

/// Sockets on a port that is free for both UDP and TCP.
pub(crate) fn sockets(addr: SocketAddr) -> (UdpSocket, TcpListener) {
    let end = Instant::now() + BOUND;
    loop {
        let listener = TcpListener::bind(addr).expect("a port");
        match UdpSocket::bind(listener.local_addr().expect("its address")) {
            Ok(socket) => return (socket, listener),
            Err(e) => assert!(Instant::now() < end, "no port for both: {e}"),
        }
    }
}

/// Settings short enough for a test to see a partition between data centres detected.
pub(crate) fn settings() -> Settings {
    Settings {
        digest_interval: Duration::from_millis(200),
        gone_listed: Duration::from_secs(4),
        ..Settings::default()
    }
}

impl Daemon {
    pub(crate) fn start(n: usize, incarnation: u64, addr: SocketAddr, list: &Arc<List>) -> Daemon {
        let (inner, listener) = sockets(addr);
        let peer = inner.addr().expect("its address");
        let socket =
            Arc::new(FaultySocket { inner, drop_received: false.into(), drop_sent: false.into() });
        let drain = Arc::new(Drain::default());
        let config = MemberConfig {
            own: Heartbeat {
                host: format!("h{n}"),
                data_centre: centre(n),
                incarnation,
                sequence: 0,
                leaving: false,
                offset: 0,
                digest: 0,
            },
            peer,
            seeds: Vec::new(),
            settings: settings(),
            list_interval: Duration::from_millis(500),
            socket: socket.clone(),
            list: list.clone(),
            fleets: Arc::new(FixedConfig),
            drain: drain.clone(),
        };
        Daemon { driver: MemberDriver::start(config).expect("threads"), socket, drain, listener }
    }

    pub(crate) fn peer(&self) -> SocketAddr {
        self.driver.own().peer
    }

    pub(crate) fn sees(&self, n: usize) -> Option<MemberState> {
        let host = format!("h{n}");
        self.driver.all().iter().find(|m| m.host == host).map(|m| m.state)
    }
}

/// Three daemons that see each other as alive.
pub(crate) fn cluster() -> (Arc<List>, Vec<Daemon>) {
    let list = Arc::new(List::default());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let daemons: Vec<_> = (0..3).map(|n| Daemon::start(n, 1, any, &list)).collect();
    list.set(|hosts| {
        hosts.extend(daemons.iter().enumerate().map(|(n, d)| host(n, Some(d.peer()))));
        hosts.push(host(9, None));
    });
    wait("all alive", || {
        daemons.iter().all(|d| d.driver.ranked("x").len() == 3 && !d.driver.stale())
    });
    (list, daemons)
}

/// The data centre of a daemon by its number; numbers from 50 on are in `far`.
pub(crate) fn centre(n: usize) -> DataCentreId {
    if n < 50 { "near" } else { "far" }.into()
}

pub(crate) fn host(n: usize, peer: Option<SocketAddr>) -> Host {
    Host { host: format!("h{n}"), data_centre: centre(n), state: HostState::Live, peer }
}

pub(crate) fn load() -> Load {
    let holding = Holding {
        incarnation: 3,
        model: Some("indus-notes".into()),
        version: Some("v12".into()),
        layers: (0, 16),
        adapters: ["summary".to_owned()].into(),
        role: Role::Both,
        fence: None,
        loading: false,
    };
    Load {
        holding,
        queue: 0,
        running: 1,
        slots: 8,
        step_us: 900,
        prefill_rate: 4000.0,
        kv_used: 100,
        kv_cap: 100_000,
        kv_bytes: 4096,
        leaving: false,
    }
}

pub(crate) fn service_load() -> ServiceLoad {
    ServiceLoad { incarnation: 1, queue: 0, running: 0, slots: 4, call_us: 500, leaving: false }
}

#[derive(Default)]
pub(crate) struct StoredReports(pub(crate) Mutex<BTreeMap<TargetId, Report>>);

impl ReportStore for StoredReports {
    fn store(&self, report: Report) {
        let mut all = self.0.lock();
        if all.get(&report.target).is_none_or(|known| known.seen < report.seen) {
            all.insert(report.target.clone(), report);
        }
    }

    fn newest(&self) -> Vec<Report> {
        self.0.lock().values().cloned().collect()
    }
}
