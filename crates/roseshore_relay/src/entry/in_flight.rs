//! A request on its way to a target, and how far its answer has come.

use crate::http::{BodyDecoder, ResponseHead};
use crate::slab::Key;
use roseshore_core::gateway::Hop;
use roseshore_core::gateway::peers::TargetHash;
use roseshore_core::gateway::targets::Claim;
use roseshore_core::prelude::*;
use std::net::SocketAddr;

/// A send that is on its way.
pub(super) struct Send {
    pub(super) socket: Key,
    pub(super) target: TargetId,
    pub(super) addr: SocketAddr,
    pub(super) path: Vec<(TargetId, SocketAddr, Hop)>,
    /// What is counted for each target.
    pub(super) claims: Vec<Claim>,
    pub(super) sent: Instant,
    /// All targets that take part, in their lives of when it was sent.
    pub(super) lives: Vec<(TargetId, TargetHash)>,
    /// When something last came.
    pub(super) latest: Instant,
    /// When its first event came.
    pub(super) first: Option<Instant>,
    pub(super) phase: Phase,
    /// The body, or what of it has not been passed on.
    pub(super) body: Vec<u8>,
    /// Predicted time between tokens, ms.
    pub(super) token_ms: f64,
    pub(super) kept: bool,
    /// The status of its answer; 0 before that.
    pub(super) status: u16,
    /// What the target asked for beside it.
    pub(super) rest: Option<Duration>,
    /// Whether the target said that it leaves.
    pub(super) leaving: bool,
}

/// How far an answer has come.
pub(super) enum Phase {
    Head,
    /// An answer to something else, to be passed over.
    Surplus(BodyDecoder),
    Body(ResponseHead, BodyDecoder),
}

impl Send {
    /// The target of its path at an address, and the layers it was to run there.
    pub(super) fn at(&self, addr: SocketAddr) -> Option<(&TargetId, (Layer, Layer))> {
        let (id, _, hop) = self.path.iter().find(|(_, at, _)| *at == addr)?;
        Some((id, hop.layers))
    }

    /// All targets that take part.
    pub(super) fn targets(&self) -> Vec<TargetId> {
        if self.path.is_empty() {
            return vec![self.target.clone()];
        }
        self.path.iter().map(|(id, ..)| id.clone()).collect()
    }
}
