//! Reads the events of engines' prefix caches.
//!
//! One thread reads from one engine at a time, and no other thread waits for it. Engines whose
//! newest load report is [`ReportContent::Silent`] are skipped.

use roseshore_core::polling;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{CacheEventSink, ConfigSource, ReportContent, ReportStore};
use roseshore_ports::outside::Engine;
use roseshore_wire::engine::CacheEvent;
use std::sync::Arc;

/// Time between two reads, over all engines.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads from one engine.
const ENGINE_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Reads cache events from the engines that respond to polls.
pub struct CacheReader {
    /// The configuration in force, which gives the engines' addresses.
    pub fleets: Arc<dyn ConfigSource>,
    /// The client of the engines.
    pub engine: Arc<dyn Engine>,
    /// The newest load reports, which tell which engines respond.
    pub reports: Arc<dyn ReportStore>,
    /// Where the events go.
    pub sink: Arc<dyn CacheEventSink>,
}

impl CacheReader {
    /// Reads events until `stop` is closed.
    pub fn run(&self, stop: &flume::Receiver<()>) {
        let mut cursors = polling::CacheCursors::new(ENGINE_INTERVAL);
        while let Err(flume::RecvTimeoutError::Timeout) = stop.recv_timeout(READ_INTERVAL) {
            self.read_next(&mut cursors, Instant::now());
        }
    }

    fn read_next(&self, cursors: &mut polling::CacheCursors, now: Instant) {
        for restarted in cursors.set_engines(self.responding_engines()) {
            self.sink.apply_events(&restarted, &[CacheEvent::Cleared]);
        }
        let Some((target, from)) = cursors.due(now) else { return };
        let Some(config) = self.fleets.current() else { return };
        let Some(declared) = config.fleet.targets.get(&target) else { return };
        match self.engine.cache(declared.addr, from, READ_TIMEOUT) {
            Ok(read) => {
                self.sink.apply_events(&target, &read.events);
                cursors.advance(&target, read.next);
            }
            Err(e) => {
                metrics::counter!("roseshore_cache_reads_failed_total").increment(1);
                log::debug!("cannot read cache events of `{target}`: {e}");
            }
        }
    }

    fn responding_engines(&self) -> impl Iterator<Item = (TargetId, Incarnation)> {
        let reports = self.reports.newest().into_iter();
        reports.filter_map(|report| match report.content {
            ReportContent::Engine(load) => Some((report.target, load.holding.incarnation)),
            ReportContent::Service(_) | ReportContent::Silent => None,
        })
    }
}
