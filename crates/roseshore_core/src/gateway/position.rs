//! Read positions in a stream of the store.
//!
//! A store that is restored from an older copy reuses offsets, so an offset alone does not identify
//! what was read: a host that continued from its old offset would miss what was written in its
//! place. The store therefore has an era, which increases with each restoration, and whatever
//! orders or compares positions uses both.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// A position in a stream of the store; a position of a later era is after all of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Era of the store.
    pub era: Era,
    /// Offset to read next.
    pub next: Offset,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.era, self.next)
    }
}

/// How the era of a reply compares with the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyEra {
    /// The reply belongs to the known era.
    Known,
    /// The reply is of a later era, and nothing was read before.
    First(Era),
    /// The store has been restored from an older copy since.
    Later(Era),
    /// The reply, or the offset that was requested, belongs to an earlier era.
    Stale,
}

impl ReplyEra {
    /// Compares the era `replied` by the store, if any, with the known one. `requested` is the era
    /// of the requested offset, if any; `fresh` states that nothing of the store was read yet.
    pub fn of(known: Era, requested: Option<Era>, replied: Option<Era>, fresh: bool) -> ReplyEra {
        let era = replied.or(requested).unwrap_or(known);
        match era.cmp(&known) {
            Ordering::Greater if fresh => ReplyEra::First(era),
            Ordering::Greater => ReplyEra::Later(era),
            Ordering::Equal if requested.is_none_or(|requested| requested == known) => {
                ReplyEra::Known
            }
            Ordering::Equal | Ordering::Less => ReplyEra::Stale,
        }
    }
}
