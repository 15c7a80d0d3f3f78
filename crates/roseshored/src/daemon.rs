//! Creates and connects the components of a daemon.
//!
//! [`Foundation`] (configuration and members) comes first; one function per subsystem builds on it.

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
use external::{External, listen, member_config, membership_settings};
use parking_lot::Mutex;
use roseshore_adapters::peer::{Server, serve};
use roseshore_core::polling;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ConfigSource, Members, PeerHandler};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use worker::Worker;

/// Longest wait for the log to accept the last outcomes of unrepeatable work at the end.
const FLUSH_LIMIT: Duration = Duration::from_secs(10);

/// The components of one daemon.
pub struct Daemon {
    /// What serving requests needs.
    pub app: App,
    /// The admin API for operators.
    pub admin_api: AdminApi,
    /// Claims on unrepeatable work, for requests ([`App::claims`]) and for peers.
    pub claims: Arc<ClaimsDriver>,
    members: Arc<MemberDriver>,
    digests: Arc<PeerDriver>,
    loads: Mutex<Option<LoadDriver>>,
    peer: Server,
    workers: Mutex<Vec<Worker>>,
}

/// What all other components depend on.
struct Foundation {
    external: External,
    drain: Arc<Drain>,
    configuration: Arc<FleetDriver>,
    fleets: Arc<dyn ConfigSource>,
    member_driver: Arc<MemberDriver>,
    members: Arc<dyn Members>,
}

/// The ledger of requests, the account and the queries over all daemons.
struct LedgerParts {
    account: Arc<Account>,
    ledger: Arc<LedgerDriver>,
    queries: Arc<QueryFanout>,
}

impl Foundation {
    /// Starts to follow the configuration and joins the other daemons.
    fn start(settings: &Settings) -> io::Result<(Foundation, TcpListener)> {
        let external = External::new(settings);
        let drain = Arc::new(Drain::default());
        let configuration = FleetDriver::new(external.log.clone(), FleetSettings::default());
        let (socket, listener) = listen(settings.peer)?;
        let config =
            member_config(settings, &external, socket, configuration.clone(), drain.clone())?;
        let member_driver = MemberDriver::start(config)?;
        configuration.start(member_driver.clone(), external.peers.clone())?;
        let (fleets, members) = (configuration.clone(), member_driver.clone());
        Ok((
            Foundation { external, drain, configuration, fleets, member_driver, members },
            listener,
        ))
    }

    fn claims(&self) -> io::Result<Arc<ClaimsDriver>> {
        let (log, peers) = (self.external.log.clone(), self.external.peers.clone());
        let members = self.members.clone();
        ClaimsDriver::start(ClaimsConfig::default(), log, peers, members).map(Arc::new)
    }

    fn ledger_parts(&self) -> LedgerParts {
        let own = self.members.own();
        let account = Arc::new(Account::new(self.external.log.clone(), &own));
        let ledger = Arc::new(LedgerDriver::new(&own, account.clone()));
        let (members, peers) = (self.members.clone(), self.external.peers.clone());
        let queries = Arc::new(QueryFanout::new(ledger.clone(), account.clone(), members, peers));
        LedgerParts { account, ledger, queries }
    }

    /// Starts polling targets and sharing their reports.
    fn loads(&self, settings: &Settings, routing: &Arc<Routing>) -> io::Result<LoadDriver> {
        let period = settings.poll_interval;
        LoadDriver::start(loads::LoadConfig {
            members: self.member_driver.clone(),
            fleets: self.fleets.clone(),
            engine: self.external.engine.clone(),
            services: self.external.services.clone(),
            reports: routing.clone(),
            settings: polling::Settings { period, ..polling::Settings::default() },
        })
    }

    /// Starts the exchange of digests with the other data centres.
    fn digests(&self, settings: &Settings, routing: &Arc<Routing>) -> io::Result<Arc<PeerDriver>> {
        PeerDriver::start(peers::PeerConfig {
            members: self.member_driver.clone(),
            peers: self.external.peers.clone(),
            reports: routing.clone(),
            settings: membership_settings(settings),
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
    /// Starts all components.
    ///
    /// # Errors
    /// When a thread or socket cannot be created.
    pub fn start(settings: &Settings) -> io::Result<Daemon> {
        let (foundation, listener) = Foundation::start(settings)?;
        let claims = foundation.claims()?;
        let ledger_parts = foundation.ledger_parts();
        let routing = Arc::new(Routing::new(foundation.fleets.clone(), foundation.members.clone()));
        let loads = foundation.loads(settings, &routing)?;
        let digests = foundation.digests(settings, &routing)?;
        let workers = foundation.workers(&routing, ledger_parts.account)?;
        let answers: Vec<Arc<dyn PeerHandler>> = vec![
            foundation.configuration.clone(),
            claims.clone(),
            ledger_parts.ledger.clone(),
            digests.clone(),
        ];
        let peer = serve(listener, answers)?;
        let admin_api = AdminApi {
            fleets: foundation.configuration,
            members: foundation.members.clone(),
            queries: Some(ledger_parts.queries),
            keys: claims.clone(),
            drain: foundation.drain.clone(),
        };
        let (fleets, members) = (foundation.fleets, foundation.members);
        let app = App {
            admission: Arc::new(AdmissionDriver::new(
                fleets.clone(),
                members.clone(),
                routing.clone(),
            )),
            router: routing,
            fleets,
            claims: claims.clone(),
            ledger: ledger_parts.ledger,
            members,
            engine: foundation.external.engine,
            services: foundation.external.services,
            budgets: Arc::default(),
            drain: foundation.drain,
        };
        Ok(Daemon {
            app,
            admin_api,
            claims,
            members: foundation.member_driver,
            digests,
            loads: Mutex::new(Some(loads)),
            peer,
            workers: Mutex::new(workers),
        })
    }

    /// The address at which other daemons reach this one.
    pub fn peer(&self) -> SocketAddr {
        self.peer.addr()
    }

    /// Writes the last outcomes to the log and stops the threads that do not belong to a request.
    pub fn stop(&self) {
        if !self.claims.flush(FLUSH_LIMIT) {
            event!(Event::KeyUnsettled, "the log did not take the last outcomes");
        }
        for worker in self.workers.lock().drain(..) {
            worker.stop();
        }
        drop(self.loads.lock().take());
        self.digests.stop();
        self.admin_api.fleets.stop();
        self.members.stop();
    }
}
