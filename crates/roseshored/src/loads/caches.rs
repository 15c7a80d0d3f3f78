//! Reads the events of engines' prefix caches.
//!
//! One thread asks one engine in a while; nothing waits for it. An engine that does not answer is
//! not asked, since its newest report is silence.

use roseshore_core::polling;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{CacheEventSink, ConfigSource, ReportContent, ReportStore};
use roseshore_ports::outside::Engine;
use roseshore_wire::engine::CacheEvent;
use std::sync::Arc;

/// The time between two questions.
const PACE: Duration = Duration::from_millis(200);
/// The time between two questions to one engine.
const REST: Duration = Duration::from_secs(2);
/// How long an engine may take to answer.
const LIMIT: Duration = Duration::from_millis(200);

/// Reads the events of the engines that report.
pub struct CacheReader {
    /// Where the engines are.
    pub fleets: Arc<dyn ConfigSource>,
    /// The engines.
    pub engine: Arc<dyn Engine>,
    /// Which of them answer.
    pub reports: Arc<dyn ReportStore>,
    /// Who takes the events.
    pub caches: Arc<dyn CacheEventSink>,
}

impl CacheReader {
    /// Asks until `stop` is closed.
    pub fn run(&self, stop: &flume::Receiver<()>) {
        let mut cursors = polling::CacheCursors::new(REST);
        while let Err(flume::RecvTimeoutError::Timeout) = stop.recv_timeout(PACE) {
            self.round(&mut cursors, Instant::now());
        }
    }

    fn round(&self, cursors: &mut polling::CacheCursors, now: Instant) {
        for restarted in cursors.set_engines(self.answering()) {
            self.caches.apply_events(&restarted, &[CacheEvent::Cleared]);
        }
        let Some((target, from)) = cursors.due(now) else { return };
        let Some(force) = self.fleets.current() else { return };
        let Some(declared) = force.fleet.targets.get(&target) else { return };
        match self.engine.cache(declared.addr, from, LIMIT) {
            Ok(read) => {
                self.caches.apply_events(&target, &read.events);
                cursors.advance(&target, read.next);
            }
            Err(e) => {
                metrics::counter!("roseshore_cache_reads_failed_total").increment(1);
                log::debug!("cache events of `{target}`: {e}");
            }
        }
    }

    fn answering(&self) -> impl Iterator<Item = (TargetId, Incarnation)> {
        let reports = self.reports.newest().into_iter();
        reports.filter_map(|report| match report.content {
            ReportContent::Engine(load) => Some((report.target, load.holding.incarnation)),
            ReportContent::Service(_) | ReportContent::Silent => None,
        })
    }
}
