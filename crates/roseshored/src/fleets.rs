//! Reads configuration records and publishes the fleet in force.
//!
//! One thread reads the log, another pulls from peers that are ahead. Both pass records to the fold
//! of `roseshore_core::config`, which also decides who reads from whom and when. The folded state
//! is published as one shared fleet, and its offset only increases. A daemon that starts publishes
//! nothing until it has reached the offset of the first source that responded, so that callers
//! never see an outdated state.

mod loops;
mod source;
mod submit;
mod tail;

use crate::event;
use parking_lot::{Condvar, Mutex, RwLock};
use roseshore_core::config::{
    Assembly, Decision, FoldedRecord, Follower, Outcome, ReaderLimits, STREAM, SnapshotLimits,
    State,
};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ActiveConfig, ConfigSource, RecordSink};
use roseshore_ports::outside::Log;
use roseshore_wire::platform::Record;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tail::RecordTail;

/// The settings of a [`FleetDriver`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Which daemons read the log, and when.
    pub reader: ReaderLimits,
    /// When snapshots are written.
    pub snapshots: SnapshotLimits,
    /// Interval between checks for peers that are ahead, and longest sleep of both threads.
    pub tick: Duration,
    /// Timeout of a call to a peer.
    pub peer: Duration,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            reader: ReaderLimits::default(),
            snapshots: SnapshotLimits::default(),
            tick: Duration::from_millis(200),
            peer: Duration::from_secs(2),
        }
    }
}

/// Follows the configuration log and holds the configuration in force.
pub struct FleetDriver {
    log: Arc<dyn Log>,
    settings: FleetSettings,
    folding: Mutex<Folding>,
    folded: Condvar,
    current: RwLock<Option<ActiveConfig>>,
    healthy: AtomicBool,
    stopped: AtomicBool,
}

struct Folding {
    follower: Follower,
    assembly: Assembly,
    tail: RecordTail,
    /// The end offset of the first source that responded; nothing is published before it is reached.
    goal: Option<Offset>,
    /// The records of the snapshot that a peer is fetching; empty otherwise.
    snapshot_parts: Vec<String>,
}

impl FleetDriver {
    /// Creates a driver without a configuration; its threads run from [`FleetDriver::start`] on.
    pub fn new(log: Arc<dyn Log>, settings: FleetSettings) -> Arc<FleetDriver> {
        let folding = Folding {
            follower: Follower::default(),
            assembly: Assembly::default(),
            tail: RecordTail::default(),
            goal: None,
            snapshot_parts: Vec::new(),
        };
        Arc::new(FleetDriver {
            log,
            settings,
            folding: Mutex::new(folding),
            folded: Condvar::new(),
            current: RwLock::new(None),
            healthy: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        })
    }

    /// Tells the threads to stop, each after its current call.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Whether the last read of the log succeeded.
    pub fn healthy(&self) -> bool {
        self.healthy.load(Ordering::SeqCst)
    }

    /// Calls `read` with the folded state, which may be ahead of the published one.
    pub fn inspect<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(self.folding.lock().follower.state())
    }

    /// Sets the offset to reach before publishing, if no source has responded before.
    fn set_goal(&self, end: Offset) {
        let mut folding = self.folding.lock();
        if folding.goal.is_none() {
            folding.goal = Some(end);
            self.publish(&folding, false);
        }
    }

    /// Publishes the folded state, if it has reached the start-up goal. `changed` says whether the
    /// fleet differs from the published one; otherwise that one is reused.
    fn publish(&self, folding: &Folding, changed: bool) {
        let state = folding.follower.state();
        let ready = folding.goal.is_some_and(|goal| state.offset() >= goal);
        if state.offset() == 0 || !ready {
            return;
        }
        let mut current = self.current.write();
        let old = current.as_ref().filter(|_| !changed).map(|it| Arc::clone(&it.fleet));
        let fleet = old.unwrap_or_else(|| Arc::new(state.fleet().clone()));
        *current = Some(ActiveConfig { fleet, offset: state.offset(), digest: state.digest() });
        drop(current);
        metrics::gauge!("roseshore_config_offset").set(state.offset() as f64);
        self.folded.notify_all();
    }

    /// Publishes the folded state and logs the outcome of each record.
    fn publish_and_log(&self, folding: &Folding, folded: &[FoldedRecord]) {
        let accepted = |it: &FoldedRecord| it.outcome == Outcome::Decided(Decision::Accepted);
        if !folded.is_empty() {
            self.publish(folding, folded.iter().any(accepted));
        }
        folded.iter().for_each(log_outcome);
    }
}

impl ConfigSource for FleetDriver {
    fn current(&self) -> Option<ActiveConfig> {
        self.current.read().clone()
    }
}

impl RecordSink for FleetDriver {
    fn accept(&self, records: &[Record]) {
        let mut folding = self.folding.lock();
        let mut folded = Vec::new();
        for record in records {
            folding.tail.add(record);
            folded.extend(folding.follower.take(record.offset, &record.data));
        }
        self.publish_and_log(&folding, &folded);
    }
}

/// Logs and counts the outcome of one record.
fn log_outcome(folded: &FoldedRecord) {
    let offset = folded.offset;
    let by = folded.author.as_ref();
    let (id, operator) = by.map_or(("", ""), |it| (it.command.as_str(), it.operator.as_str()));
    let outcome = match &folded.outcome {
        Outcome::Decided(Decision::Accepted) => {
            event!(
                Event::ConfigApplied,
                "command `{id}` of `{operator}` is in force, offset={offset}"
            );
            "accepted"
        }
        Outcome::Decided(Decision::Rejected(reason)) => {
            event!(
                Event::ConfigRejected,
                "command `{id}` of `{operator}`, offset={offset}: {reason}"
            );
            "rejected"
        }
        Outcome::Decided(Decision::TooOld) => {
            event!(
                Event::ConfigRejected,
                "command `{id}` of `{operator}`, offset={offset}: made too long ago"
            );
            "too_old"
        }
        Outcome::Repeated { first, .. } => {
            log::debug!(target: "roseshore", "command `{id}` again, first={first} offset={offset}");
            "repeated"
        }
        Outcome::Skipped { why } => {
            event!(Event::ConfigSkipped, "stream={STREAM} offset={offset}: {why}");
            "skipped"
        }
    };
    metrics::counter!("roseshore_config_records_total", "outcome" => outcome).increment(1);
}
