//! Driver of the configuration: records in, the fleet in force out.
//!
//! One thread reads the log, one pulls from peers that are ahead; both hand records to the fold
//! of `roseshore_core::config`, whose decisions say who asks whom and when. What was folded is
//! published as one shared fleet, and only forward. A daemon that starts publishes nothing until
//! it stands where the first source that answered stood, so that callers never see an old state.

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
    /// Who reads the log when.
    pub reader: ReaderLimits,
    /// Who writes snapshots when.
    pub snapshots: SnapshotLimits,
    /// How often peers are looked at.
    pub tick: Duration,
    /// How long a peer may take to answer.
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

/// The configuration of this daemon.
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
    /// Where the first source that answered stood; nothing is published before it.
    goal: Option<Offset>,
    /// The records of a snapshot while a peer fetches them.
    served: Vec<String>,
}

impl FleetDriver {
    /// A driver that knows nothing yet and does nothing until [`FleetDriver::start`].
    pub fn new(log: Arc<dyn Log>, settings: FleetSettings) -> Arc<FleetDriver> {
        let folding = Folding {
            follower: Follower::default(),
            assembly: Assembly::default(),
            tail: RecordTail::default(),
            goal: None,
            served: Vec::new(),
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

    /// Ends the threads, each after its call under way.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Whether the log answered the last time.
    pub fn healthy(&self) -> bool {
        self.healthy.load(Ordering::SeqCst)
    }

    /// Looks at the folded state.
    pub fn inspect<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        look(self.folding.lock().follower.state())
    }

    /// Notes where a source stood when it first answered.
    fn stands(&self, end: Offset) {
        let mut folding = self.folding.lock();
        if folding.goal.is_none() {
            folding.goal = Some(end);
            self.publish(&folding, false);
        }
    }

    /// Puts the folded state in force.
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

    /// Publishes and logs what records did.
    fn after(&self, folding: &Folding, folded: &[FoldedRecord]) {
        let accepted = |it: &FoldedRecord| it.outcome == Outcome::Decided(Decision::Accepted);
        if !folded.is_empty() {
            self.publish(folding, folded.iter().any(accepted));
        }
        folded.iter().for_each(tell);
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
            folding.tail.take(record);
            folded.extend(folding.follower.take(record.offset, &record.data));
        }
        self.after(&folding, &folded);
    }
}

/// Logs and counts what one record did.
fn tell(folded: &FoldedRecord) {
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
