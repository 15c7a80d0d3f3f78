//! State shared by the lookups of one service.

use parking_lot::{Mutex, RwLock};
use roseshore_core::lookup::{Budgets, LatencyEstimate};
use roseshore_core::prelude::*;
use rustc_hash::FxHashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Most attempts open at one source, so that a source that hangs leaves threads to the others.
const MAX_OPEN: usize = 96;
/// Minimum time between two log lines of one kind about one source.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The state of every service that has been looked up.
#[derive(Default)]
pub(super) struct Shared {
    services: RwLock<FxHashMap<ServiceId, Arc<Service>>>,
}

/// One service with its sources, in declared order.
pub(super) struct Service {
    pub(super) budgets: Mutex<Budgets>,
    pub(super) sources: Vec<Arc<Source>>,
}

/// One source.
pub(super) struct Source {
    pub(super) name: String,
    /// The name under which its replicas are declared: `service/source`, or the service's own name.
    pub(super) serves: String,
    latency: Mutex<LatencyEstimate>,
    open: AtomicUsize,
    /// Rate limit of log lines about missing replies.
    pub(super) silent_log: LogThrottle,
    /// Rate limit of log lines about conflicting records.
    pub(super) conflict_log: LogThrottle,
}

/// Allows one log line per [`LOG_INTERVAL`].
#[derive(Default)]
pub(super) struct LogThrottle {
    logged: Mutex<Option<Instant>>,
}

impl Shared {
    /// The state of a service; replaced by a new one when the declared sources have changed.
    pub(super) fn service(&self, name: &str, sources: &[String]) -> Arc<Service> {
        let known = self.services.read().get(name).cloned();
        if let Some(known) = known.filter(|k| k.matches(name, sources)) {
            return known;
        }
        let created = Arc::new(Service::new(name, sources));
        self.services.write().insert(name.to_owned(), created.clone());
        created
    }
}

impl Service {
    fn new(name: &str, sources: &[String]) -> Service {
        let declared = sources.iter().map(|s| Source::new(s, format!("{name}/{s}")));
        let mut sources: Vec<Arc<Source>> = declared.map(Arc::new).collect();
        if sources.is_empty() {
            sources.push(Arc::new(Source::new(name, name.to_owned())));
        }
        Service { budgets: Mutex::default(), sources }
    }

    fn matches(&self, name: &str, sources: &[String]) -> bool {
        let known = self.sources.iter().map(|s| s.name.as_str());
        if sources.is_empty() {
            return known.eq([name]);
        }
        known.eq(sources.iter().map(String::as_str))
    }

    /// The longest of the sources' hedge delays.
    pub(super) fn hedge_after(&self) -> Duration {
        let delays = self.sources.iter().map(|s| s.latency.lock().hedge_after());
        delays.max().unwrap_or_default()
    }
}

impl Source {
    fn new(name: &str, serves: String) -> Source {
        Source {
            name: name.to_owned(),
            serves,
            latency: Mutex::default(),
            open: AtomicUsize::new(0),
            silent_log: LogThrottle::default(),
            conflict_log: LogThrottle::default(),
        }
    }

    pub(super) fn observe(&self, latency: Duration) {
        self.latency.lock().observe(latency);
    }

    /// Reserves one of the [`MAX_OPEN`] attempts, or returns `None` when all are in use.
    pub(super) fn acquire_slot(self: &Arc<Source>) -> Option<Slot> {
        let slot = Slot { source: self.clone() };
        let before = self.open.fetch_add(1, Ordering::SeqCst);
        (before < MAX_OPEN).then_some(slot)
    }
}

impl LogThrottle {
    /// Whether a line may be logged now; if so, the interval starts anew.
    pub(super) fn may_log(&self, now: Instant) -> bool {
        let mut logged = self.logged.lock();
        let due = logged.is_none_or(|t| now.saturating_duration_since(t) >= LOG_INTERVAL);
        if due {
            *logged = Some(now);
        }
        due
    }
}

/// A reserved attempt of a source; released on drop.
pub(super) struct Slot {
    source: Arc<Source>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.source.open.fetch_sub(1, Ordering::SeqCst);
    }
}
