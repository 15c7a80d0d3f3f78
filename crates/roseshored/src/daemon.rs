//! The parts of a daemon in its own process, put together.
//!
//! First what everything stands on ([`Ground`]: configuration and members), then one function for
//! each subsystem.

mod external;
mod worker;

use crate::admin::AdminApi;
use crate::admission::AdmissionDriver;
use crate::app::{App, Drain};
use crate::claims::{ClaimsConfig, ClaimsDriver};
use crate::event;
use crate::fleets::{FleetDriver, FleetSettings};
use crate::ledger::account::Account;
use crate::ledger::{LedgerDriver, QueryFanout};
use crate::loads::caches::CacheReader;
use crate::loads::{self, LoadDriver};
use crate::members::MemberDriver;
use crate::orders::{OrderDeps, OrderDriver, OrderSettings};
use crate::peers::{self, PeerDriver};
use crate::routing::Routing;
use crate::settings::Settings;
use external::{External, join, listen, times};
use parking_lot::Mutex;
use roseshore_adapters::peer::{Server, serve};
use roseshore_core::polling;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ConfigSource, Members, PeerHandler};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use worker::Worker;

/// How long the log may take for the last outcomes at the end.
const FLUSH_LIMIT: Duration = Duration::from_secs(10);

/// The parts of one daemon.
pub struct Daemon {
    /// What serving a request needs.
    pub app: App,
    /// What operators' calls touch.
    pub admin_api: AdminApi,
    /// Unrepeatable work, as [`App::claims`] and for peers' questions.
    pub claims: Arc<ClaimsDriver>,
    members: Arc<MemberDriver>,
    speaker: Arc<PeerDriver>,
    loads: Mutex<Option<LoadDriver>>,
    peer: Server,
    workers: Mutex<Vec<Worker>>,
}

/// What the other parts stand on.
struct Ground {
    external: External,
    drain: Arc<Drain>,
    configuration: Arc<FleetDriver>,
    fleets: Arc<dyn ConfigSource>,
    joined: Arc<MemberDriver>,
    members: Arc<dyn Members>,
}

/// The record of requests, and who asks the other daemons for theirs.
struct Books {
    account: Arc<Account>,
    ledger: Arc<LedgerDriver>,
    queries: Arc<QueryFanout>,
}

impl Ground {
    /// Follows the configuration and joins the other daemons.
    fn start(settings: &Settings) -> io::Result<(Ground, TcpListener)> {
        let external = External::new(settings);
        let drain = Arc::new(Drain::default());
        let configuration = FleetDriver::new(external.log.clone(), FleetSettings::default());
        let (socket, listener) = listen(settings.peer)?;
        let part = join(settings, &external, socket, configuration.clone(), drain.clone())?;
        let joined = MemberDriver::start(part)?;
        configuration.start(joined.clone(), external.peers.clone())?;
        let (fleets, members) = (configuration.clone(), joined.clone());
        Ok((Ground { external, drain, configuration, fleets, joined, members }, listener))
    }

    fn claims(&self) -> io::Result<Arc<ClaimsDriver>> {
        let (log, peers) = (self.external.log.clone(), self.external.peers.clone());
        let members = self.members.clone();
        ClaimsDriver::start(ClaimsConfig::default(), log, peers, members).map(Arc::new)
    }

    fn books(&self) -> Books {
        let own = self.members.own();
        let account = Arc::new(Account::new(self.external.log.clone(), &own));
        let ledger = Arc::new(LedgerDriver::new(&own, account.clone()));
        let (members, peers) = (self.members.clone(), self.external.peers.clone());
        let queries = Arc::new(QueryFanout::new(ledger.clone(), account.clone(), members, peers));
        Books { account, ledger, queries }
    }

    /// Polls the targets of the own data centre and shares what they say.
    fn loads(&self, settings: &Settings, routing: &Arc<Routing>) -> io::Result<LoadDriver> {
        let period = settings.poll;
        LoadDriver::start(loads::LoadConfig {
            members: self.joined.clone(),
            fleets: self.fleets.clone(),
            engine: self.external.engine.clone(),
            services: self.external.services.clone(),
            reports: routing.clone(),
            settings: polling::Settings { period, ..polling::Settings::default() },
        })
    }

    /// Speaks to the other data centres.
    fn speaker(&self, settings: &Settings, routing: &Arc<Routing>) -> io::Result<Arc<PeerDriver>> {
        PeerDriver::start(peers::PeerConfig {
            members: self.joined.clone(),
            peers: self.external.peers.clone(),
            reports: routing.clone(),
            settings: times(settings),
        })
    }

    fn workers(&self, routing: &Arc<Routing>, account: Arc<Account>) -> io::Result<Vec<Worker>> {
        let caches = CacheReader {
            fleets: self.fleets.clone(),
            engine: self.external.engine.clone(),
            reports: routing.clone(),
            sink: routing.clone(),
        };
        let orders = OrderDeps {
            log: self.external.log.clone(),
            engine: self.external.engine.clone(),
            weights: self.external.weights.clone(),
            fleets: self.fleets.clone(),
            reports: routing.clone(),
            members: self.members.clone(),
            drain: self.drain.clone(),
        };
        let members = self.members.clone();
        Ok(vec![
            Worker::start("caches", move |stop| caches.run(stop))?,
            Worker::start("orders", move |stop| {
                OrderDriver::new(orders, OrderSettings::default()).run(stop);
            })?,
            Worker::start("account", move |stop| account.run(&*members, stop))?,
        ])
    }
}

impl Daemon {
    /// Starts every part.
    ///
    /// # Errors
    /// When the system gives no thread or socket.
    pub fn start(settings: &Settings) -> io::Result<Daemon> {
        let (ground, listener) = Ground::start(settings)?;
        let claims = ground.claims()?;
        let books = ground.books();
        let routing = Arc::new(Routing::new(ground.fleets.clone(), ground.members.clone()));
        let loads = ground.loads(settings, &routing)?;
        let speaker = ground.speaker(settings, &routing)?;
        let workers = ground.workers(&routing, books.account)?;
        let answers: Vec<Arc<dyn PeerHandler>> = vec![
            ground.configuration.clone(),
            claims.clone(),
            books.ledger.clone(),
            speaker.clone(),
        ];
        let peer = serve(listener, answers)?;
        let admin_api = AdminApi {
            fleets: ground.configuration,
            members: ground.members.clone(),
            queries: Some(books.queries),
            keys: claims.clone(),
            drain: ground.drain.clone(),
        };
        let (fleets, members) = (ground.fleets, ground.members);
        let app = App {
            admission: Arc::new(AdmissionDriver::new(
                fleets.clone(),
                members.clone(),
                routing.clone(),
            )),
            router: routing,
            fleets,
            claims: claims.clone(),
            ledger: books.ledger,
            members,
            engine: ground.external.engine,
            services: ground.external.services,
            budgets: Arc::default(),
            drain: ground.drain,
        };
        Ok(Daemon {
            app,
            admin_api,
            claims,
            members: ground.joined,
            speaker,
            loads: Mutex::new(Some(loads)),
            peer,
            workers: Mutex::new(workers),
        })
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
        drop(self.loads.lock().take());
        self.speaker.stop();
        self.admin_api.fleets.stop();
        self.members.stop();
    }
}
