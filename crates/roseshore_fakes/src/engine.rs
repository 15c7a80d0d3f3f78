//! A stand-in for a model engine that holds a range of layers.
//!
//! It speaks [`roseshore_wire::engine`] towards the router and small frames towards other stages.
//! Work takes time but no arithmetic: a stage sleeps for its step under a slot, stamps what it
//! ran, and the last stage samples a token that is a pure function of the model and of the tokens
//! that the KV cache covers ([`text`]). So whole answers can be compared, and a step over a wrong
//! cache or a wrong range of layers cannot pass unseen.

mod answers;
mod api;
mod cache;
mod core;
mod faults;
mod kv;
mod link;
mod loader;
pub mod rig;
mod run;
mod settings;
mod slots;
mod stats;
mod stream;
pub mod text;

pub use faults::EngineFaults;
pub use settings::{Death, EngineSettings};
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

/// Requests that one stand-in takes at once; streams count.
const WORKERS: usize = 1024;

/// A running stand-in.
pub struct EngineFake {
    addr: SocketAddr,
    core: Arc<Core>,
    server: Option<JoinHandle<()>>,
}

impl EngineFake {
    /// Starts a stand-in.
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

    /// Where it listens for HTTP.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its faults.
    pub fn faults(&self) -> &Faults<EngineFaults> {
        &self.core.faults
    }

    /// What it holds now, without the lag of its report.
    pub fn holding(&self) -> Holding {
        self.core.holding.get()
    }

    /// What it has done so far.
    pub fn stats(&self) -> Stats {
        self.core.stats.get()
    }

    /// Its place in a route, with the layers it holds.
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

    /// Ends it at once, streams included; later connections are refused.
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
