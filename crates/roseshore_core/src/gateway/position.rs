//! How far a stream of the store was read.
//!
//! A store that comes back from an older copy gives its offsets out again, so an offset alone does not say what
//! was read: a host that went on from its old one never saw what was written in its place. It names an era,
//! which rises with each such return, and whatever orders or compares what hosts have read uses both.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

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

/// What the era of a reply says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyEra {
    /// The reply is of the era that is known.
    Known,
    /// It names a later era, and nothing was read before.
    First(Era),
    /// The store has come back from an older copy since.
    Later(Era),
    /// The reply, or the offset that it was asked with, is of an earlier era.
    Stale,
}

impl ReplyEra {
    /// Judges a reply that tells an era, if it does, to a question that bore an offset of the era `asked`, if it bore
    /// one; `fresh` where nothing of the store was read yet.
    pub fn of(known: Era, asked: Option<Era>, told: Option<Era>, fresh: bool) -> ReplyEra {
        let era = told.or(asked).unwrap_or(known);
        match era.cmp(&known) {
            Ordering::Greater if fresh => ReplyEra::First(era),
            Ordering::Greater => ReplyEra::Later(era),
            Ordering::Equal if asked.is_none_or(|asked| asked == known) => ReplyEra::Known,
            Ordering::Equal | Ordering::Less => ReplyEra::Stale,
        }
    }
}
