//! Asks the engines of the own data centre how fast they run.

use super::calls::{CallFault, Purpose};
use super::{EntryHost, note};
use roseshore_core::gateway::paces::{EnginePace, MAX_POLLED, POLL_INTERVAL};
use roseshore_core::gateway::targets::Target;
use roseshore_core::prelude::*;
use roseshore_ports::entry::CallReply;
use std::collections::VecDeque;

/// Between turns in which some engines are asked.
const TURN: Duration = Duration::from_millis(200);
/// For a report.
const REPORT_TIME: Duration = Duration::from_millis(600);

/// A change of pace that is told in the log.
const NEWS: f64 = 0.3;

/// The engines that are still to be asked in this round.
#[derive(Debug, Default)]
pub(super) struct Pacing {
    turned: Option<Instant>,
    queue: VecDeque<TargetId>,
    /// How many of them belong to one turn.
    each: usize,
}

impl EntryHost {
    /// Asks the next engines, if this host is the first of its data centre.
    pub(super) fn ask_paces(&mut self) {
        let now = self.now;
        let early = |at: Instant| now.saturating_duration_since(at) < TURN;
        if self.pacing.turned.is_some_and(early) || self.stopping.is_some() {
            return;
        }
        self.pacing.turned = Some(now);
        if self.peers.rank_in_centre(now) > 0 {
            self.pacing.queue.clear();
            return;
        }
        if self.pacing.queue.is_empty() {
            self.pacing.queue = self.used_engines();
            let turns = POLL_INTERVAL.div_duration_f64(TURN).round() as usize;
            self.pacing.each = self.pacing.queue.len().div_ceil(turns).min(MAX_POLLED);
        }
        for _ in 0..self.pacing.each {
            let Some(id) = self.pacing.queue.pop_front() else { break };
            let Some(addr) = self.callable(&id) else { continue };
            let request = self.platform.report();
            self.call(Purpose::Pace(id), addr, &request, REPORT_TIME);
        }
    }

    /// The engines of the own data centre that hold layers.
    fn used_engines(&self) -> VecDeque<TargetId> {
        let Some(snapshot) = &self.snapshot else { return VecDeque::new() };
        let holds = |t: &&Target| t.holding().is_some();
        let engines =
            snapshot.engine_services().flat_map(|service| self.live(&service.name).filter(holds));
        engines.map(|t| t.record.id.clone()).collect()
    }

    /// An engine reported its pace, or did not.
    pub(super) fn pace_came(&mut self, id: &str, reply: Result<CallReply, CallFault>) {
        let report = match self.read_report(reply) {
            Ok(report) => report,
            Err(why) => return note!(self, ReportFailed, "target={id} pace=unknown why={why:?}"),
        };
        let Some(target) = self.targets.get(id) else { return };
        let before = target.slowdown(self.now);
        let pace = EnginePace::reported(report.pace, self.now);
        if (pace.factor(self.now) - before).abs() >= NEWS {
            note!(self, PaceChanged, "target={id} pace={:.2} before={before:.2}", report.pace);
        }
        if let Some(mark) = self.targets.hash(id) {
            self.targets.record_pace(mark, pace);
        }
    }
}
