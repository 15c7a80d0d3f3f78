//! Hashes that identify targets, services and data centres in messages between hosts.

use crate::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Hash that identifies a target's incarnation in messages.
pub type TargetHash = u32;
/// Hash that identifies a data centre in messages.
pub type CentreHash = u32;

/// Hash of the name of a target, a service or a data centre.
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Hash of a target's incarnation. Reports about a former incarnation have another hash, so they
/// are never taken for reports about the current one, however late they arrive.
pub fn target_hash(id: &str, life: Incarnation) -> TargetHash {
    if life == 0 { name_hash(id) } else { name_hash(&format!("{id}@{life}")) }
}
