//! How far a stream of the store was read.
//!
//! A store that comes back from an older copy gives its offsets out again, so an offset alone does not say what
//! was read: a host that went on from its old one never saw what was written in its place. It names an era,
//! which rises with each such return, and whatever orders or compares what hosts have read uses both.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// A place in a stream of the store; one of a later era is further than any of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The store's era.
    pub era: Era,
    /// The offset to read next.
    pub next: Offset,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.era, self.next)
    }
}
