//! The configuration: a pure fold over the records of one stream of the log service.
//!
//! A record is a [`Command`]: changes of objects, each with the version that the operator saw.
//! [`State`] accepts or rejects it by its position in the log alone. Every daemon that folds the
//! same records therefore reaches the same decisions, and of concurrent commands exactly one
//! changes each version of an object.
//!
//! Records reach a daemon in any order, with duplicates and gaps; [`Follower`] folds them in order.
//! [`Snapshot`] preserves a state beyond the retention of the log, and [`SnapshotSchedule`] decides
//! when this daemon writes one. [`Reader`] and [`PeerSelector`] decide when to read from the log
//! and from which peer. [`Submission`] decides what may be reported to the operator of a command.

mod check;
mod command;
mod confirm;
mod follower;
mod reader;
mod snapshot;
mod snapshot_schedule;
mod state;
mod submit;

pub use check::{Fault, IndexedFleet, MAX_CHANGES, MAX_ID, check_fleet};
pub use command::{Change, Command, FORMAT, Kind, Object, ObjectKey};
pub use confirm::{Confirmation, Progress, confirmation};
pub use follower::{Follower, MAX_WAITING};
pub use reader::{Peer, PeerSelector, ReadAction, Reader, ReaderLimits, Transition, diverged};
pub use snapshot::{Assembly, MAX_PART_BYTES, Snapshot, SnapshotError, Tail};
pub use snapshot_schedule::{SnapshotAction, SnapshotLimits, SnapshotSchedule};
pub use state::{
    Author, Decision, FoldedRecord, Meta, Outcome, Reason, State, WINDOW, record_digest,
};
pub use submit::{AppendOutcome, CommandResult, Step, Submission};

/// Log stream of commands.
pub const STREAM: &str = "config";
/// Log stream of snapshots of the folded state.
pub const SNAPSHOTS: &str = "config-snapshots";
