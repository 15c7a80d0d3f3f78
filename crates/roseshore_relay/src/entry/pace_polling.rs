//! Polls the engines of this host's data centre for their pace, how fast they run.

use super::calls::{CallFault, Purpose};
use super::{EntryHost, log_event};
use crate::slab::Key;
use roseshore_core::gateway::paces::{BATCH_INTERVAL, EnginePace, PollRounds, PolledEngine};
use roseshore_core::gateway::targets::Target;
use roseshore_core::prelude::*;
use roseshore_ports::entry::CallReply;

/// Time-out of a report.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Smallest change of pace that is logged.
const LOGGED_CHANGE: f64 = 0.3;

/// Progress of polling.
#[derive(Debug, Default)]
pub(super) struct PacePolling {
    last_batch: Option<Instant>,
    rounds: PollRounds,
    /// Requests that wait until engines that were asked for a report respond.
    pub(super) awaited_by: Vec<Key>,
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
            self.pace_polling.rounds.clear();
            return;
        }
        let mut rounds = std::mem::take(&mut self.pace_polling.rounds);
        let batch = rounds.next_batch(|| self.engines_with_layers());
        self.pace_polling.rounds = rounds;
        for id in batch {
            let Some(addr) = self.call_address(&id) else { continue };
            let request = self.platform.report();
            self.call(Purpose::Pace(id), addr, &request, REPORT_TIMEOUT);
        }
    }

    /// The engines of this host's data centre that hold layers.
    fn engines_with_layers(&self) -> Vec<PolledEngine> {
        let Some(snapshot) = &self.snapshot else { return Vec::new() };
        let holds = |t: &&Target| t.holding().is_some();
        let engines = snapshot
            .engine_services()
            .flat_map(|service| self.live_engines(&service.name).filter(holds));
        let polled = |t: &Target| PolledEngine {
            id: t.record.id.clone(),
            matters: t.total_in_flight() > 0.0 || t.pace_differs(self.now),
        };
        engines.map(polled).collect()
    }

    /// Handles the reply of an engine to a poll.
    pub(super) fn pace_received(&mut self, id: &str, reply: Result<CallReply, CallFault>) {
        let report = match self.read_report(id, reply) {
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
