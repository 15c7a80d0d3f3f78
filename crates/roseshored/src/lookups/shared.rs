//! What lookups of one service share.

use parking_lot::{Mutex, RwLock};
use roseshore_core::lookup::{Budgets, LatencyEstimate};
use roseshore_core::prelude::*;
use rustc_hash::FxHashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Attempts at one source that are open at once, so that a frozen one leaves threads to others.
const OPEN: usize = 96;
/// The least time between two log lines about one source.
const LOG_PAUSE: Duration = Duration::from_secs(1);

/// Every service that was looked into.
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
    /// What replicas of it are declared to serve.
    pub(super) serves: String,
    pace: Mutex<LatencyEstimate>,
    open: AtomicUsize,
    /// Log lines about its silence.
    pub(super) silence: Pause,
    /// Log lines about its contradictions.
    pub(super) conflicts: Pause,
}

/// Lets one log line through in a while.
#[derive(Default)]
pub(super) struct Pause {
    logged: Mutex<Option<Instant>>,
}

impl Shared {
    /// The shared state of a service; made anew when the declared sources have changed.
    pub(super) fn service(&self, name: &str, sources: &[String]) -> Arc<Service> {
        let known = self.services.read().get(name).cloned();
        if let Some(known) = known.filter(|k| k.serves(name, sources)) {
            return known;
        }
        let fresh = Arc::new(Service::new(name, sources));
        self.services.write().insert(name.to_owned(), fresh.clone());
        fresh
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

    fn serves(&self, name: &str, sources: &[String]) -> bool {
        let known = self.sources.iter().map(|s| s.name.as_str());
        if sources.is_empty() {
            return known.eq([name]);
        }
        known.eq(sources.iter().map(String::as_str))
    }

    /// The longest of the sources' hedge delays.
    pub(super) fn hedge_after(&self) -> Duration {
        let delays = self.sources.iter().map(|s| s.pace.lock().hedge_after());
        delays.max().unwrap_or_default()
    }
}

impl Source {
    fn new(name: &str, serves: String) -> Source {
        Source {
            name: name.to_owned(),
            serves,
            pace: Mutex::default(),
            open: AtomicUsize::new(0),
            silence: Pause::default(),
            conflicts: Pause::default(),
        }
    }

    pub(super) fn observe(&self, took: Duration) {
        self.pace.lock().observe(took);
    }

    /// A place among the open attempts, or `None` when there are too many.
    pub(super) fn enter(self: &Arc<Source>) -> Option<Place> {
        let place = Place { source: self.clone() };
        let before = self.open.fetch_add(1, Ordering::SeqCst);
        (before < OPEN).then_some(place)
    }
}

impl Pause {
    /// Whether a line may be logged now.
    pub(super) fn may_log(&self, now: Instant) -> bool {
        let mut logged = self.logged.lock();
        let due = logged.is_none_or(|t| now.saturating_duration_since(t) >= LOG_PAUSE);
        if due {
            *logged = Some(now);
        }
        due
    }
}

/// A place among a source's open attempts; given back when dropped.
pub(super) struct Place {
    source: Arc<Source>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.source.open.fetch_sub(1, Ordering::SeqCst);
    }
}
