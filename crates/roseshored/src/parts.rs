//! The parts of a daemon in its own process, put together.

use crate::app::{App, Drain};
use crate::claims::{ClaimsConfig, ClaimsDriver};
use crate::event;
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
/// How long the log may take for the last outcomes at the end.
const FLUSH_LIMIT: Duration = Duration::from_secs(10);

/// The parts of one daemon.
pub struct Parts {
    /// What serving a request needs.
    pub app: App,
    /// What operators' calls touch.
    pub console: Console,
    /// Unrepeatable work, as [`App::claims`] and for peers' questions.
    pub claims: Arc<ClaimsDriver>,
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
        let (log, links) = (platform.clone(), peers.clone());
        let claims = ClaimsDriver::start(ClaimsConfig::default(), log, links, members.clone())?;
        let claims = Arc::new(claims);
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
            claims: claims.clone(),
            ledger: Arc::new(simple::Recent::default()),
            members,
            engine,
            services,
            drain,
        };
        Ok(Parts { app, console, claims })
    }

    /// Ends the threads that are not bound to a request.
    pub fn stop(&self) {
        if !self.claims.flush(FLUSH_LIMIT) {
            event!(Event::KeyUnsettled, "the log did not take the last outcomes");
        }
        self.console.fleets.stop();
    }
}
