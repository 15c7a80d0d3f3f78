//! Work that may run once only.
//!
//! The order of records in the log decides who may dispatch a key: the first claim of a free key
//! holds it, and only its claimant can free it again or record its outcome. [`record`] is what
//! stands in the log, [`keys`] the fold over one partition of it, [`key_time`] the time that a key
//! carries, [`batch`] the choice of what is appended when, and [`partition`] one daemon's part in
//! it all: attempts in, appends, reads and decisions out.

pub mod batch;
pub mod key_time;
pub mod keys;
pub mod partition;
pub mod record;
mod refusals;

pub use record::Outcome;

use crate::ids::Key;
use xxhash_rust::xxh3::xxh3_64;

/// The number of partitions of a fleet. It is no setting: two daemons that disagree would judge one
/// key in two streams, and it could run twice.
///
/// One append goes to one stream, so more partitions mean smaller batches: `docs/design/once.md`
/// has the figures, and the way to more of them.
pub const PARTITIONS: usize = 1;

/// The partition that a key belongs to, below `count`.
pub fn partition_of(key: &Key, count: usize) -> usize {
    (xxh3_64(key.as_bytes()) % count.max(1) as u64) as usize
}

/// The log's stream of one partition.
pub fn stream_of(partition: usize) -> String {
    format!("claims-{partition}")
}
