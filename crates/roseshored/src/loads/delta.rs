//! Reports on their way between daemons, short where little changed.
//!
//! A whole report is sent when something besides the counts changed, when a daemon joined, and now
//! and then in case it was lost; in between only the counts travel, under a key that is a hash of
//! the target and everything else. Whoever lacks the whole report for a key passes the counts over.

use roseshore_core::prelude::*;
use roseshore_ports::inside::ReportContent;
use roseshore_wire::engine::Load;
use roseshore_wire::peer::{LoadReport, LoadReportKey};
use roseshore_wire::service::ServiceLoad;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// How often a report that did not change is sent whole.
const REFRESH: Duration = Duration::from_secs(30);

/// Shortens reports.
#[derive(Default)]
pub struct DeltaEncoder {
    sent: FxHashMap<TargetId, Sent>,
}

struct Sent {
    key: LoadReportKey,
    at: Instant,
}

impl DeltaEncoder {
    /// What to send of a report.
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
        if last.is_some_and(|s| s.key == key && now.saturating_duration_since(s.at) < REFRESH) {
            return brief(key, content);
        }
        self.sent.insert(target.clone(), Sent { key, at: now });
        whole(target, content)
    }

    /// Sends every report whole again, as a daemon joined.
    pub fn reset(&mut self) {
        self.sent.clear();
    }

    /// Forgets targets that are no longer declared.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.sent.retain(|target, _| keep(target));
    }
}

/// Completes shortened reports.
#[derive(Default)]
pub struct DeltaDecoder {
    whole: FxHashMap<LoadReportKey, Whole>,
    keys: FxHashMap<TargetId, LoadReportKey>,
}

struct Whole {
    target: TargetId,
    content: ReportContent,
}

/// A completed report.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedReport {
    /// The target.
    pub target: TargetId,
    /// What it said.
    pub content: ReportContent,
}

impl DeltaDecoder {
    /// The whole report, or `None` when the part that did not change is not known here.
    pub fn decode(&mut self, note: LoadReport) -> Option<DecodedReport> {
        match note {
            LoadReport::Engine { target, load } => {
                Some(self.learn(target, ReportContent::Engine(load)))
            }
            LoadReport::Service { target, load } => {
                Some(self.learn(target, ReportContent::Service(load)))
            }
            LoadReport::Silent { target } => {
                Some(DecodedReport { target, content: ReportContent::Silent })
            }
            LoadReport::Brief { key, queue, running, step_us, kv_used } => {
                let known = self.whole.get(&key)?;
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

    /// Forgets targets that are no longer declared.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.keys.retain(|target, _| keep(target));
        self.whole.retain(|_, whole| keep(&whole.target));
    }

    fn learn(&mut self, target: TargetId, content: ReportContent) -> DecodedReport {
        if let Some(key) = key(&target, &content) {
            if let Some(old) = self.keys.insert(target.clone(), key)
                && old != key
            {
                self.whole.remove(&old);
            }
            let whole = Whole { target: target.clone(), content: content.clone() };
            self.whole.insert(key, whole);
        }
        DecodedReport { target, content }
    }
}

fn whole(target: &TargetId, content: &ReportContent) -> LoadReport {
    let target = target.clone();
    match content {
        ReportContent::Engine(load) => LoadReport::Engine { target, load: load.clone() },
        ReportContent::Service(load) => LoadReport::Service { target, load: load.clone() },
        ReportContent::Silent => LoadReport::Silent { target },
    }
}

fn brief(key: LoadReportKey, content: &ReportContent) -> LoadReport {
    let (queue, running, step_us, kv_used) = match content {
        ReportContent::Engine(load) => (load.queue, load.running, load.step_us, load.kv_used),
        ReportContent::Service(load) => (load.queue, load.running, load.call_us, 0),
        ReportContent::Silent => (0, 0, 0, 0),
    };
    LoadReport::Brief { key, queue, running, step_us, kv_used }
}

/// The hash of the target and all that is not a count; `None` for a silent target.
fn key(target: &TargetId, content: &ReportContent) -> Option<LoadReportKey> {
    let fixed = match content.clone() {
        ReportContent::Engine(load) => {
            ReportContent::Engine(Load { queue: 0, running: 0, step_us: 0, kv_used: 0, ..load })
        }
        ReportContent::Service(load) => {
            ReportContent::Service(ServiceLoad { queue: 0, running: 0, call_us: 0, ..load })
        }
        ReportContent::Silent => return None,
    };
    let bytes = roseshore_wire::frame::encode(&whole(target, &fixed), usize::MAX).ok()?;
    let hash = xxh3_64(&bytes).to_le_bytes();
    hash.first_chunk().copied()
}
