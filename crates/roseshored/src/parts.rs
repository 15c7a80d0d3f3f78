//! The parts of a daemon in its own process, put together.

use crate::app::{App, Drain};
use crate::claims::{ClaimsConfig, ClaimsDriver};
use crate::event;
use crate::fleets::{FleetDriver, FleetSettings};
use crate::gate::Door;
use crate::ledger::account::Account;
use crate::ledger::{Asker, LedgerDriver};
use crate::members::{self, MemberDriver};
use crate::operators::Console;
use crate::orders::{OrderParts, OrderTimes, Orders};
use crate::routing::Routing;
use crate::settings::Settings;
use crate::simple::Poller;
use parking_lot::Mutex;
use roseshore_adapters::engine::EngineClient;
use roseshore_adapters::peer::{Limits, Server, TcpPeers, UdpSocket, serve};
use roseshore_adapters::platform::HttpPlatform;
use roseshore_adapters::service::HttpServices;
use roseshore_core::membership::Heartbeat;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Fleets, Members};
use roseshore_ports::outside::{Datagrams, Engine, HostList, Log, Peers, Services, WeightStore};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// How long the platform may take to answer.
const PLATFORM_LIMIT: Duration = Duration::from_secs(2);
/// How long the log may take for the last outcomes at the end.
const FLUSH_LIMIT: Duration = Duration::from_secs(10);

/// Ports that are tried where the settings leave the choice to the system.
const PORT_TRIES: usize = 16;

/// The parts of one daemon.
pub struct Parts {
    /// What serving a request needs.
    pub app: App,
    /// What operators' calls touch.
    pub console: Console,
    /// Unrepeatable work, as [`App::claims`] and for peers' questions.
    pub claims: Arc<ClaimsDriver>,
    members: Arc<MemberDriver>,
    peer: Server,
    workers: Mutex<Vec<Worker>>,
}

/// A thread that ends when its channel is closed.
struct Worker {
    name: &'static str,
    stop: flume::Sender<()>,
    thread: JoinHandle<()>,
}

impl Worker {
    fn start(
        name: &'static str,
        run: impl FnOnce(&flume::Receiver<()>) + Send + 'static,
    ) -> io::Result<Worker> {
        let (stop, stopped) = flume::bounded(0);
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || run(&stopped))?;
        Ok(Worker { name, stop, thread })
    }

    fn end(self) {
        drop(self.stop);
        if self.thread.join().is_err() {
            event!(Event::ThreadLost, "thread={}", self.name);
        }
    }
}

/// The systems outside, behind their adapters.
struct Outside {
    log: Arc<dyn Log>,
    list: Arc<dyn HostList>,
    weights: Arc<dyn WeightStore>,
    engine: Arc<dyn Engine>,
    services: Arc<dyn Services>,
    peers: Arc<dyn Peers>,
}

impl Outside {
    fn new(settings: &Settings) -> Outside {
        let platform = |addr| Arc::new(HttpPlatform::new(addr, PLATFORM_LIMIT));
        Outside {
            log: platform(settings.log),
            list: platform(settings.host_list),
            weights: platform(settings.weight_store),
            engine: Arc::new(EngineClient::new()),
            services: Arc::new(HttpServices::default()),
            peers: Arc::new(TcpPeers::new(Limits::default())),
        }
    }
}

impl Parts {
    /// Starts every part.
    ///
    /// # Errors
    /// When the system gives no thread or socket.
    pub fn start(settings: &Settings) -> io::Result<Parts> {
        let outside = Outside::new(settings);
        let drain = Arc::new(Drain::default());
        let driver = FleetDriver::new(outside.log.clone(), FleetSettings::default());
        let fleets: Arc<dyn Fleets> = driver.clone();
        let (socket, listener) = listen(settings.peer)?;
        let addr = socket.addr()?;
        let part = join(settings, &outside, addr, Arc::new(socket), &fleets, &drain);
        let joined = MemberDriver::start(part)?;
        let members: Arc<dyn Members> = joined.clone();
        driver.start(members.clone(), outside.peers.clone())?;
        let (log, peers) = (outside.log.clone(), outside.peers.clone());
        let claims = ClaimsDriver::start(ClaimsConfig::default(), log, peers, members.clone())?;
        let claims = Arc::new(claims);
        let account = Arc::new(Account::new(outside.log.clone(), &members.own()));
        let ledger = Arc::new(LedgerDriver::new(&members.own(), account.clone()));
        let routing = Arc::new(Routing::new(fleets.clone(), members.clone()));
        let (engine, services) = (outside.engine.clone(), outside.services.clone());
        let (reports, every) = (routing.clone(), settings.poll);
        let poller = Poller { fleets: fleets.clone(), engine, services, reports, every };
        let orders = OrderParts {
            log: outside.log.clone(),
            engine: outside.engine.clone(),
            weights: outside.weights,
            fleets: fleets.clone(),
            reports: routing.clone(),
            members: members.clone(),
            drain: drain.clone(),
        };
        let answers = vec![driver.clone() as _, claims.clone() as _, ledger.clone() as _];
        let asker =
            Asker::new(ledger.clone(), account.clone(), members.clone(), outside.peers.clone());
        let counted = members.clone();
        let workers = vec![
            Worker::start("loads", move |stop| poller.run(stop))?,
            Worker::start("orders", move |stop| {
                Orders::new(orders, OrderTimes::default()).run(stop);
            })?,
            Worker::start("account", move |stop| account.run(&*counted, stop))?,
        ];
        let console = Console {
            fleets: driver,
            members: members.clone(),
            queries: Some(Arc::new(asker)),
            drain: drain.clone(),
        };
        let app = App {
            gate: Arc::new(Door::new(fleets.clone(), members.clone(), routing.clone())),
            router: routing,
            fleets,
            claims: claims.clone(),
            ledger,
            members,
            engine: outside.engine,
            services: outside.services,
            drain,
        };
        let peer = serve(listener, answers)?;
        let workers = Mutex::new(workers);
        Ok(Parts { app, console, claims, members: joined, peer, workers })
    }

    /// Where other daemons reach this one.
    pub fn peer(&self) -> SocketAddr {
        self.peer.addr()
    }

    /// Ends the threads that are not bound to a request, and writes down what is still to be.
    pub fn stop(&self) {
        if !self.claims.flush(FLUSH_LIMIT) {
            event!(Event::KeyUnsettled, "the log did not take the last outcomes");
        }
        for worker in self.workers.lock().drain(..) {
            worker.end();
        }
        self.console.fleets.stop();
        self.members.stop();
    }
}

/// Listens on one address over both; with port 0, until a port is free for both.
fn listen(peer: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
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

fn join(
    settings: &Settings,
    outside: &Outside,
    peer: SocketAddr,
    socket: Arc<dyn Datagrams>,
    fleets: &Arc<dyn Fleets>,
    drain: &Arc<Drain>,
) -> members::Parts {
    let own = Heartbeat {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: incarnation(),
        sequence: 0,
        leaving: false,
        offset: 0,
        digest: 0,
    };
    let times = roseshore_core::membership::Settings {
        period: settings.heartbeat,
        ..roseshore_core::membership::Settings::default()
    };
    members::Parts {
        own,
        peer,
        seeds: settings.seeds.clone(),
        settings: times,
        socket,
        list: outside.list.clone(),
        fleets: fleets.clone(),
        drain: drain.clone(),
    }
}

/// The number of this process's life: later ones are higher, as hosts keep nothing to count in.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map(|it| it.as_millis() as u64).unwrap_or_default()
}
