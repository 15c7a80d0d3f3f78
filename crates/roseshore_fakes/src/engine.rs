//! A fake model engine that holds a range of layers.
//!
//! It speaks [`roseshore_wire::engine`] to the router and exchanges small frames with other stages.
//! Work takes time but computes nothing: a stage sleeps for its step time while it occupies a slot
//! and adds a stamp of what it ran. The last stage samples a token that is a pure function of the
//! model and of the tokens that the KV cache covers ([`text`]). Tests can therefore compare whole
//! answers, and a step that uses a wrong cache or a wrong range of layers changes the output.

mod answers;
mod api;
mod cache;
pub mod chain;
mod core;
mod faults;
mod kv;
mod link;
mod loader;
mod run;
mod settings;
mod slots;
mod stats;
mod stream;
pub mod text;

pub use faults::EngineFaults;
pub use settings::{EngineSettings, ExitMode};
pub use stats::Stats;

use crate::fault::Faults;
use crate::http::Server;
use api::Api;
use core::Core;
use roseshore_wire::engine::{Holding, Stage};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// The most requests that an engine handles at once, including open streams.
const WORKERS: usize = 1024;

/// A running fake engine.
pub struct EngineFake {
    addr: SocketAddr,
    core: Arc<Core>,
    server: Option<JoinHandle<()>>,
}

impl EngineFake {
    /// Starts an engine.
    ///
    /// # Errors
    /// When its addresses cannot be bound.
    pub fn start(settings: EngineSettings) -> io::Result<EngineFake> {
        let bind = settings.bind;
        let hops = TcpListener::bind(SocketAddr::new(bind.ip(), 0))?;
        let core = Arc::new(Core::new(settings, hops.local_addr()?));
        link::listen(core.clone(), hops);
        let mut server = Server::start(bind, WORKERS, Arc::new(Api::new(core.clone())))?;
        let addr = server.addr();
        let ended = core.ended();
        let server = thread::spawn(move || {
            let _ = ended.recv();
            server.stop();
        });
        Ok(EngineFake { addr, core, server: Some(server) })
    }

    /// The HTTP address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The switchable faults of the engine.
    pub fn faults(&self) -> &Faults<EngineFaults> {
        &self.core.faults
    }

    /// The current holding, without the delay of its report.
    pub fn holding(&self) -> Holding {
        self.core.holding.get()
    }

    /// The counters since the start.
    pub fn stats(&self) -> Stats {
        self.core.stats.get()
    }

    /// The engine as a stage of a route, with the layers that it holds.
    pub fn stage(&self) -> Stage {
        let holding = self.holding();
        Stage {
            target: self.core.settings.target.clone(),
            addr: self.addr,
            layers: holding.layers,
            incarnation: holding.incarnation,
        }
    }

    /// Asks for no new work from now on.
    pub fn leave(&self) {
        self.core.stats.leave();
    }

    /// Stops the engine and its streams immediately; later connections are refused.
    pub fn stop(&mut self) {
        self.core.end();
        if let Some(server) = self.server.take() {
            let _ = server.join();
        }
    }
}

impl Drop for EngineFake {
    fn drop(&mut self) {
        self.stop();
    }
}
