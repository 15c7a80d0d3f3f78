//! At-most-once execution of non-idempotent requests, by idempotency key.
//!
//! The order of records in the log decides who may dispatch a key: the first claim of a free key
//! holds it. From then on only its claimant can release the key or record its outcome, unless an
//! operator settles it. [`record`] defines the log records, [`keys`] the state folded from one
//! partition of the log, [`key_time`] the creation time that a key carries, [`batch`] which records
//! are appended when, [`read_size`] how many are read at once, and [`partition`] one daemon's state
//! machine for a partition: attempts in; appends, reads and decisions out.

pub mod batch;
pub mod key_time;
pub mod keys;
pub mod partition;
pub mod read_size;
pub mod record;
mod refusals;

pub use read_size::ReadSize;
pub use record::Outcome;

use crate::ids::Key;
use xxhash_rust::xxh3::xxh3_64;

/// The number of partitions of a fleet. It is not configurable: two daemons that disagree on it
/// would judge one key by two streams, and the key could run twice.
///
/// One append goes to one stream, so more partitions mean smaller batches. `docs/design/once.md`
/// has the figures, and describes how to raise the number.
pub const PARTITIONS: usize = 1;

/// The partition that a key belongs to, from 0 to `count - 1`.
pub fn partition_of(key: &Key, count: usize) -> usize {
    (xxh3_64(key.as_bytes()) % count.max(1) as u64) as usize
}

/// The name of a partition's stream in the log.
pub fn stream_of(partition: usize) -> String {
    format!("claims-{partition}")
}
