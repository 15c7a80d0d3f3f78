//! The parts of a running daemon.

use crate::budgets::Budgets;
use roseshore_ports::inside::{
    AdmissionControl, Claims, ConfigSource, Ledger, MemberState, Members, Router,
};
use roseshore_ports::outside::{Engine, Services};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What serving a request needs.
#[derive(Clone)]
pub struct App {
    /// The configuration in force.
    pub fleets: Arc<dyn ConfigSource>,
    /// Admission and limits.
    pub admission: Arc<dyn AdmissionControl>,
    /// The choice of targets.
    pub router: Arc<dyn Router>,
    /// Unrepeatable work.
    pub claims: Arc<dyn Claims>,
    /// The record of requests.
    pub ledger: Arc<dyn Ledger>,
    /// The daemons.
    pub members: Arc<dyn Members>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Plain and lookup services.
    pub services: Arc<dyn Services>,
    /// What services may spend on retries.
    pub budgets: Arc<Budgets>,
    /// Whether this daemon takes no new work.
    pub drain: Arc<Drain>,
}

impl App {
    /// Whether this daemon takes no new work: it was told to drain, or the host list shows its host
    /// as leaving. The list may take that back, so that it begins no drain.
    pub fn leaving(&self) -> bool {
        self.drain.draining() || self.members.own().state == MemberState::Leaving
    }
}

/// Whether this daemon takes no new work.
#[derive(Debug, Default)]
pub struct Drain {
    draining: AtomicBool,
}

impl Drain {
    /// Takes no new work from now on.
    pub fn start(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether no new work is taken.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
}
