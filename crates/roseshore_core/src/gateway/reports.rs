//! What hosts report to each other about targets and the list of targets.

use super::hashes::TargetHash;
use super::position::Position;
use serde::{Deserialize, Serialize};

/// Load at a target, by one host or several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Hash of the target.
    pub target: TargetHash,
    /// Requests in flight.
    pub own: u16,
    /// KV cache that they take, in thousands of tokens times layers.
    pub held: u32,
    /// Whether the target fails the liveness checks of a reporting host.
    pub down: bool,
}

/// A target's advertised limit, as this or another host received it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Hash of the target.
    pub target: TargetHash,
    /// Requests per second that it accepts from all hosts together, as last advertised.
    pub limit: f32,
    /// Whether it no longer advertises a limit.
    pub ended: bool,
    /// Time since then, in milliseconds.
    pub age: u32,
    /// The host that received it from the target, and its sequence number there.
    pub origin: (u32, u32),
    /// Recent permit requests that the sender, as issuer, has got from its hosts.
    pub wanted: u16,
}

/// How far a host has read the target list, and the digest of the result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Position to read next.
    pub next: Position,
    /// Digest of the list.
    pub digest: u64,
}
