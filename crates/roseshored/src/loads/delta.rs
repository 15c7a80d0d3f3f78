//! Delta encoding of load reports between daemons.
//!
//! A full report is sent when anything but the counts has changed, after a daemon has joined, and
//! every [`FULL_REPORT_INTERVAL`] in case it was lost. In between, only the counts are sent, with a
//! key that is a hash of the target and everything else. A receiver that does not have the full
//! report for a key ignores the counts.

use roseshore_core::prelude::*;
use roseshore_ports::inside::ReportContent;
use roseshore_wire::engine::Load;
use roseshore_wire::peer::{LoadReport, LoadReportKey};
use roseshore_wire::service::ServiceLoad;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Longest time between two full reports of a target.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// Encodes reports, as counts only where the receivers have the rest.
#[derive(Default)]
pub struct DeltaEncoder {
    sent: FxHashMap<TargetId, LastFull>,
}

struct LastFull {
    key: LoadReportKey,
    at: Instant,
}

impl DeltaEncoder {
    /// Encodes a report, in full if the receivers may lack the part that is not counts.
    pub fn encode(
        &mut self,
        target: &TargetId,
        content: &ReportContent,
        now: Instant,
    ) -> LoadReport {
        let Some(key) = key(target, content) else {
            return LoadReport::Silent { target: target.clone() };
        };
        let last = self.sent.get(target);
        if last.is_some_and(|s| {
            s.key == key && now.saturating_duration_since(s.at) < FULL_REPORT_INTERVAL
        }) {
            return brief_report(key, content);
        }
        self.sent.insert(target.clone(), LastFull { key, at: now });
        full_report(target, content)
    }

    /// Makes the next report of every target a full one, because a daemon has joined.
    pub fn reset(&mut self) {
        self.sent.clear();
    }

    /// Drops the state of targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.sent.retain(|target, _| keep(target));
    }
}

/// Decodes reports: completes counts from the last full report with the same key.
#[derive(Default)]
pub struct DeltaDecoder {
    full_reports: FxHashMap<LoadReportKey, FullReport>,
    keys: FxHashMap<TargetId, LoadReportKey>,
}

struct FullReport {
    target: TargetId,
    content: ReportContent,
}

/// A decoded report.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedReport {
    /// The target.
    pub target: TargetId,
    /// What the target reported.
    pub content: ReportContent,
}

impl DeltaDecoder {
    /// The complete report, or `None` for counts whose full report is not known here.
    pub fn decode(&mut self, report: LoadReport) -> Option<DecodedReport> {
        match report {
            LoadReport::Engine { target, load } => {
                Some(self.record_full(target, ReportContent::Engine(load)))
            }
            LoadReport::Service { target, load } => {
                Some(self.record_full(target, ReportContent::Service(load)))
            }
            LoadReport::Silent { target } => {
                Some(DecodedReport { target, content: ReportContent::Silent })
            }
            LoadReport::Brief { key, queue, running, step_us, kv_used } => {
                let known = self.full_reports.get(&key)?;
                let mut content = known.content.clone();
                match &mut content {
                    ReportContent::Engine(load) => {
                        *load = Load { queue, running, step_us, kv_used, ..load.clone() };
                    }
                    ReportContent::Service(load) => {
                        let call_us = step_us;
                        *load = ServiceLoad { queue, running, call_us, ..load.clone() };
                    }
                    ReportContent::Silent => {}
                }
                Some(DecodedReport { target: known.target.clone(), content })
            }
        }
    }

    /// Drops the state of targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.keys.retain(|target, _| keep(target));
        self.full_reports.retain(|_, full| keep(&full.target));
    }

    fn record_full(&mut self, target: TargetId, content: ReportContent) -> DecodedReport {
        if let Some(key) = key(&target, &content) {
            if let Some(old) = self.keys.insert(target.clone(), key)
                && old != key
            {
                self.full_reports.remove(&old);
            }
            let full = FullReport { target: target.clone(), content: content.clone() };
            self.full_reports.insert(key, full);
        }
        DecodedReport { target, content }
    }
}

fn full_report(target: &TargetId, content: &ReportContent) -> LoadReport {
    let target = target.clone();
    match content {
        ReportContent::Engine(load) => LoadReport::Engine { target, load: load.clone() },
        ReportContent::Service(load) => LoadReport::Service { target, load: load.clone() },
        ReportContent::Silent => LoadReport::Silent { target },
    }
}

fn brief_report(key: LoadReportKey, content: &ReportContent) -> LoadReport {
    let (queue, running, step_us, kv_used) = match content {
        ReportContent::Engine(load) => (load.queue, load.running, load.step_us, load.kv_used),
        ReportContent::Service(load) => (load.queue, load.running, load.call_us, 0),
        ReportContent::Silent => (0, 0, 0, 0),
    };
    LoadReport::Brief { key, queue, running, step_us, kv_used }
}

/// The hash of the target and everything that is not a count; `None` for a silent target.
fn key(target: &TargetId, content: &ReportContent) -> Option<LoadReportKey> {
    let without_counts = match content.clone() {
        ReportContent::Engine(load) => {
            ReportContent::Engine(Load { queue: 0, running: 0, step_us: 0, kv_used: 0, ..load })
        }
        ReportContent::Service(load) => {
            ReportContent::Service(ServiceLoad { queue: 0, running: 0, call_us: 0, ..load })
        }
        ReportContent::Silent => return None,
    };
    let bytes =
        roseshore_wire::frame::encode(&full_report(target, &without_counts), usize::MAX).ok()?;
    let hash = xxh3_64(&bytes).to_le_bytes();
    hash.first_chunk().copied()
}
