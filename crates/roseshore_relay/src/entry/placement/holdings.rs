//! Exchanges between hosts which layers targets hold or were ordered to hold.

use super::super::{EntryHost, log_event};
use super::REPORT_TIME;
use roseshore_core::gateway::peers::HoldingReport;
use roseshore_core::gateway::plan::{LayerRange, intersect};
use roseshore_core::gateway::targets::{LayersReport, Target};
use roseshore_core::prelude::*;

/// Maximum number of orders and held layers in a heartbeat; more do not fit a datagram with the
/// other contents.
const MAX_REPORTS: usize = 16;
/// Time for which a report of another host about a target's layers is valid.
const REPORT_LIFETIME: Duration = Duration::from_millis(1200);
/// Layers of a target that was found not to hold what the list shows.
const NOTHING: LayerRange = (0, 0);

impl EntryHost {
    /// Records the layers that a target was found to hold, and reports them to the data centre at
    /// once.
    pub(super) fn record_held(&mut self, id: &str, layers: LayerRange) {
        let Some(target) = self.targets.hash(id) else { return };
        let word = self.targets.next_report(target, layers);
        self.targets.apply_report(target, word, self.now + REPORT_TIME);
        self.report_held(HoldingReport { target, word, done: true });
    }

    /// Reports the layers of a target to the data centre, instead of an earlier report on it.
    fn report_held(&mut self, report: HoldingReport) {
        self.placement.learned.retain(|(old, _)| old.target != report.target);
        self.placement.learned.push((report, self.now));
        self.heartbeat_now(false);
    }

    /// Records that a target refused a request because it does not hold the layers of its part: it
    /// restarted or dropped layers, and the list does not show that yet. All hosts are told at
    /// once. When each of 64 hosts had to find out by itself, a single engine that restarted empty
    /// refused 172 sends within six seconds.
    pub(in crate::entry) fn record_not_held(&mut self, id: &str, part: LayerRange) {
        let held = self.targets.get(id).and_then(Target::holding).map(|h| h.layers);
        let Some((from, to)) = held.filter(|held| intersect(*held, part) == Some(part)) else {
            // The record of its layers has changed meanwhile.
            return;
        };
        log_event!(self, TargetListed, "target={id} layers=- before={from}-{to} by=refusal");
        self.record_held(id, NOTHING);
    }

    /// The ordered and learned layers to report to other hosts.
    pub(in crate::entry) fn holding_reports(&self) -> Vec<HoldingReport> {
        let orders = self.placement.active_orders.iter();
        let ordered = orders.filter_map(|(id, order)| {
            let target = self.targets.hash(id)?;
            let listed = self.targets.get(id)?.record.listed_layers();
            let word = LayersReport { number: 0, layers: order.layers, listed };
            Some(HoldingReport { target, word, done: false })
        });
        let learned = self.placement.learned.iter().map(|(report, _)| *report);
        learned.chain(ordered).take(MAX_REPORTS).collect()
    }

    /// Applies another host's report of ordered layers, or of layers that a target holds.
    pub(in crate::entry) fn apply_holding_report(&mut self, holding: HoldingReport) {
        if holding.done {
            let changed =
                self.targets.apply_report(holding.target, holding.word, self.now + REPORT_LIFETIME);
            if changed && self.peers.speaking() {
                // The other hosts of the data centre hear only their speakers.
                self.report_held(holding);
            }
            return;
        }
        // Another host gives orders, so this one need not step in.
        self.placement.differs_since = None;
        let Some(id) = self.targets.id_of(holding.target).cloned() else { return };
        let layers = holding.word.layers;
        if !self.placement.active_orders.contains_key(&id)
            && self.targets.model_contains(&id, layers)
        {
            self.expect_layers(&id, layers, REPORT_LIFETIME);
        }
    }
}
