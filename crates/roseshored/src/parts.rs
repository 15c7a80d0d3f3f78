//! The parts of a daemon in its own process, put together.

use crate::app::{App, Drain};
use crate::fleets::{FleetDriver, FleetSettings};
use crate::gate::Door;
use crate::operators::Console;
use crate::routing::Routing;
use crate::settings::Settings;
use crate::simple;
use roseshore_adapters::engine::EngineClient;
use roseshore_adapters::platform::HttpPlatform;
use roseshore_adapters::service::HttpServices;
use roseshore_core::prelude::*;
use roseshore_ports::inside::Members;
use roseshore_ports::outside::{Engine, Peers, Services};
use std::io;
use std::sync::Arc;

/// How long the platform may take to answer.
const PLATFORM_LIMIT: Duration = Duration::from_secs(2);

/// The parts of one daemon.
pub struct Parts {
    /// What serving a request needs.
    pub app: App,
    /// What operators' calls touch.
    pub console: Console,
}

impl Parts {
    /// Starts every part.
    ///
    /// # Errors
    /// When the system gives no thread or socket.
    pub fn start(settings: &Settings) -> io::Result<Parts> {
        let platform = Arc::new(HttpPlatform::new(settings.log, PLATFORM_LIMIT));
        let engine: Arc<dyn Engine> = Arc::new(EngineClient::new());
        let services: Arc<dyn Services> = Arc::new(HttpServices::default());
        let members: Arc<dyn Members> = Arc::new(simple::Alone::new(settings));
        let peers: Arc<dyn Peers> = Arc::new(simple::NoPeers);
        let drain = Arc::new(Drain::default());
        let fleets = FleetDriver::new(platform, FleetSettings::default());
        fleets.start(members.clone(), peers)?;
        let routing = Arc::new(Routing::new(fleets.clone(), members.clone()));
        let poller = simple::Poller {
            fleets: fleets.clone(),
            engine: engine.clone(),
            services: services.clone(),
            reports: routing.clone(),
            every: settings.poll,
        };
        poller.start()?;
        let console = Console {
            fleets: fleets.clone(),
            members: members.clone(),
            queries: None,
            drain: drain.clone(),
        };
        let app = App {
            gate: Arc::new(Door::new(fleets.clone(), members.clone(), routing.clone())),
            router: routing,
            fleets,
            claims: Arc::new(simple::NoClaims),
            ledger: Arc::new(simple::Recent::default()),
            members,
            engine,
            services,
            drain,
        };
        Ok(Parts { app, console })
    }

    /// Ends the threads that are not bound to a request.
    pub fn stop(&self) {
        self.console.fleets.stop();
    }
}
