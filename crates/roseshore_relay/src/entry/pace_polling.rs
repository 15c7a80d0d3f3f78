//! Polls the engines of this host's data centre for their pace, how fast they run.

use super::calls::{CallFault, Purpose};
use super::{EntryHost, log_event};
use roseshore_core::gateway::paces::{EnginePace, MAX_POLLED, POLL_INTERVAL};
use roseshore_core::gateway::targets::Target;
use roseshore_core::prelude::*;
use roseshore_ports::entry::CallReply;
use std::collections::VecDeque;

/// Interval between batches of polls.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Smallest change of pace that is logged.
const LOGGED_CHANGE: f64 = 0.3;

/// The engines that have not been polled yet in this round.
#[derive(Debug, Default)]
pub(super) struct PacePolling {
    last_batch: Option<Instant>,
    queue: VecDeque<TargetId>,
    /// Engines per batch.
    batch_size: usize,
}

impl EntryHost {
    /// Polls the next batch of engines, if this host is the first of its data centre.
    pub(super) fn poll_paces(&mut self) {
        let now = self.now;
        let early = |at: Instant| now.saturating_duration_since(at) < BATCH_INTERVAL;
        if self.pace_polling.last_batch.is_some_and(early) || self.stopping_since.is_some() {
            return;
        }
        self.pace_polling.last_batch = Some(now);
        if self.peers.rank_in_centre(now) > 0 {
            self.pace_polling.queue.clear();
            return;
        }
        if self.pace_polling.queue.is_empty() {
            self.pace_polling.queue = self.engines_with_layers();
            let batches = POLL_INTERVAL.div_duration_f64(BATCH_INTERVAL).round() as usize;
            self.pace_polling.batch_size =
                self.pace_polling.queue.len().div_ceil(batches).min(MAX_POLLED);
        }
        for _ in 0..self.pace_polling.batch_size {
            let Some(id) = self.pace_polling.queue.pop_front() else { break };
            let Some(addr) = self.call_address(&id) else { continue };
            let request = self.platform.report();
            self.call(Purpose::Pace(id), addr, &request, REPORT_TIMEOUT);
        }
    }

    /// The engines of this host's data centre that hold layers.
    fn engines_with_layers(&self) -> VecDeque<TargetId> {
        let Some(snapshot) = &self.snapshot else { return VecDeque::new() };
        let holds = |t: &&Target| t.holding().is_some();
        let engines = snapshot
            .engine_services()
            .flat_map(|service| self.live_engines(&service.name).filter(holds));
        engines.map(|t| t.record.id.clone()).collect()
    }

    /// Handles the reply of an engine to a poll.
    pub(super) fn pace_received(&mut self, id: &str, reply: Result<CallReply, CallFault>) {
        let report = match self.read_report(reply) {
            Ok(report) => report,
            Err(why) => {
                return log_event!(self, ReportFailed, "target={id} pace=unknown why={why:?}");
            }
        };
        let Some(target) = self.targets.get(id) else { return };
        let before = target.slowdown(self.now);
        let pace = EnginePace::reported(report.pace, self.now);
        if (pace.factor(self.now) - before).abs() >= LOGGED_CHANGE {
            log_event!(self, PaceChanged, "target={id} pace={:.2} before={before:.2}", report.pace);
        }
        if let Some(hash) = self.targets.hash(id) {
            self.targets.record_pace(hash, pace);
        }
    }
}
