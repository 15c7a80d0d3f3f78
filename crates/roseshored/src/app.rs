//! The components of a running daemon.

use crate::budgets::Budgets;
use roseshore_ports::inside::{
    AdmissionControl, Claims, ConfigSource, Ledger, MemberState, Members, Router,
};
use roseshore_ports::outside::{Engine, Services};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The components that serving a request needs; cheap to clone.
#[derive(Clone)]
pub struct App {
    /// Source of the current configuration.
    pub fleets: Arc<dyn ConfigSource>,
    /// Admission control.
    pub admission: Arc<dyn AdmissionControl>,
    /// Chooses targets.
    pub router: Arc<dyn Router>,
    /// Claims of idempotency keys.
    pub claims: Arc<dyn Claims>,
    /// Record of running and ended requests.
    pub ledger: Arc<dyn Ledger>,
    /// The member list of daemons.
    pub members: Arc<dyn Members>,
    /// Client of model engines.
    pub engine: Arc<dyn Engine>,
    /// Client of plain and lookup services.
    pub services: Arc<dyn Services>,
    /// Retry budgets of the services.
    pub budgets: Arc<Budgets>,
    /// Whether this daemon has been told to drain.
    pub drain: Arc<Drain>,
}

impl App {
    /// Whether this daemon refuses new work: it was told to drain, or the host list marks its host as
    /// leaving. The list may revoke that, so it does not start a drain.
    pub fn leaving(&self) -> bool {
        self.drain.draining() || self.members.own().state == MemberState::Leaving
    }
}

/// The drain state of this daemon; once started, a drain is not revoked.
#[derive(Debug, Default)]
pub struct Drain {
    draining: AtomicBool,
}

impl Drain {
    /// Refuses new work from now on.
    pub fn start(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether a drain has been started.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
}
