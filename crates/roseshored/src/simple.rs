//! A first, simple poll of targets' loads, until it has its own part.

use roseshore_core::fleet::TargetKind;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Fleets, Report, ReportContent, Reports};
use roseshore_ports::outside::{Engine, Services};
use std::sync::Arc;

/// How long a target may take to report.
const REPORT_LIMIT: Duration = Duration::from_millis(500);

/// Polls every declared target, one after the other.
pub struct Poller {
    /// The configuration in force.
    pub fleets: Arc<dyn Fleets>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Plain and lookup services.
    pub services: Arc<dyn Services>,
    /// Who takes the reports.
    pub reports: Arc<dyn Reports>,
    /// Between two rounds.
    pub every: Duration,
}

impl Poller {
    /// Polls until `stop` is closed.
    pub fn run(&self, stop: &flume::Receiver<()>) {
        while let Err(flume::RecvTimeoutError::Timeout) = stop.recv_timeout(self.every) {
            self.round();
        }
    }

    fn round(&self) {
        let Some(force) = self.fleets.current() else { return };
        for (id, target) in &force.fleet.targets {
            let content = self.poll(target);
            self.reports.take(Report { target: id.clone(), seen: Instant::now(), content });
        }
    }

    fn poll(&self, target: &Target) -> ReportContent {
        let silent = ReportContent::Silent;
        match target.kind {
            TargetKind::Engine => {
                let load = self.engine.load(target.addr, REPORT_LIMIT);
                load.map_or(silent, ReportContent::Engine)
            }
            TargetKind::Service => {
                let load = self.services.load(target.addr, REPORT_LIMIT);
                load.map_or(silent, ReportContent::Service)
            }
        }
    }
}
