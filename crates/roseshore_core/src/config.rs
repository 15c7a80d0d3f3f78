//! The configuration: a pure fold over the records of one stream of the log service.
//!
//! A record is a [`Command`]: changes of objects, each with the version that the operator saw. The
//! [`State`] accepts or rejects it by its place in the log alone, so every daemon that folds the
//! same records reaches the same verdicts, and of racing commands exactly one wins each object.
//! Records reach a daemon in any order, repeated and with holes; [`Follower`] folds them in order
//! and only forward. [`Snapshot`] carries a state over the log's retention, [`Reader`] and [`PeerSelector`] decide who
//! asks the log and the peers when, [`SnapshotSchedule`] who writes snapshots, and [`Submission`] what an operator may be told of a command.

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
pub use state::{Author, Decision, Folded, Meta, Outcome, Reason, State, WINDOW, record_digest};
pub use submit::{AppendOutcome, Settled, Step, Submission};

/// The stream of commands.
pub const STREAM: &str = "config";
/// The stream of snapshots of the fold.
pub const SNAPSHOTS: &str = "config-snapshots";
