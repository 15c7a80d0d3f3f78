//! What one host has read of the store, handed to another that has read less.
//!
//! A heartbeat shows that a host has a newer configuration, or a list of targets that differs. A copy
//! of that is nearer than the store, costs it nothing, and is to be had when the store is down
//! or turns this host away. One copy is asked for at a time; after one that failed the store is
//! read, as if there were no neighbours.
//!
//! Eighty hosts that hear the same heartbeat must not all ask its sender, whose link is narrow: each
//! host gives so many bytes in a moment and turns the others away, to one of those that it has given
//! a copy. So a copy spreads as a tree, twice as wide with each step.

use super::position::Position;
use super::targets::Changes;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// For the next bytes of a copy to come: some milliseconds between data centres, and a busy host.
pub const COPY_TIME: Duration = Duration::from_millis(400);
/// No copy is asked for so long after one that failed: the store is read in the meantime.
const AFTER_FAILURE: Duration = Duration::from_secs(1);

/// The moment in which gifts are counted.
const MOMENT: Duration = Duration::from_millis(200);
/// Bytes that a host gives in a moment: one megabyte a second, of which the narrowest links carry
/// two and a half.
const MOST_GIVEN: usize = 200_000;
/// After being turned away, another host is asked no sooner.
const TURNED_AWAY: Duration = Duration::from_millis(60);

/// How much of the store a host has read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extent {
    /// The version of the configuration that is known; 0 for none.
    pub config: u64,
    /// How far the list of targets is known; the default before it was read.
    pub list: Position,
}

/// Asks a host for what it has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRequest {
    /// Where the asking host hears others, and gives copies.
    pub from: SocketAddr,
    /// What it has.
    pub known: Extent,
}

/// What a host has read beyond a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCopy {
    /// The configuration as it stands in the store.
    pub config: Option<Vec<u8>>,
    /// The list of targets.
    pub list: Option<ListCopy>,
    /// Another host that has it; the asked one has given enough in this moment.
    pub instead: Option<SocketAddr>,
}

/// The list of targets as a host has read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListCopy {
    /// How far it was read.
    pub next: Position,
    /// What changed since the asking host's list, or all that is listed: were it always all, each change of one
    /// record would fill the links of hosts before thousands of targets.
    pub changes: Changes,
    /// The digest of the list that this leads to.
    pub digest: u64,
    /// For so long, entries that dropped out may be live targets' whose heartbeats lapsed while the
    /// store was away, ms.
    pub lapse: u64,
}

impl StoreCopy {
    /// Whether the host gave nothing: it has nothing more, or has given enough in this moment.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.list.is_none()
    }
}

/// Whether a copy may be asked for, and given.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    /// When the one that is under way is given up.
    until: Option<Instant>,
    /// No other is asked for until then.
    pause: Option<Instant>,
    /// Whether that is since a host turned this one away.
    turned_away: bool,
    /// The moment that gifts are counted in, and the bytes given.
    moment: Option<Instant>,
    given: usize,
    /// What was given last, to whom, and who of them was named last.
    extent: Extent,
    owners: Vec<SocketAddr>,
    named: usize,
}

/// What became of a copy that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It came.
    Came,
    /// The host gave none.
    TurnedAway,
    /// The host named another one.
    SentOn,
    /// It did not come.
    Failed,
}

impl Copies {
    /// Whether a copy may be asked for now; if so, it counts as under way. Returns when it is to be
    /// given up.
    pub fn ask(&mut self, now: Instant) -> Option<Instant> {
        if self.until.is_some() || self.pause.is_some_and(|until| now < until) {
            return None;
        }
        self.until = Some(now + COPY_TIME);
        self.until
    }

    /// Whether one is under way.
    pub fn under_way(&self) -> bool {
        self.until.is_some()
    }

    /// Whether a copy is soon to be had: one is under way, or a host that has one gives no more for
    /// a moment. As hosts read the store in that moment, fourteen of 23 read one new configuration.
    pub fn expected(&self, now: Instant) -> bool {
        self.under_way() || (self.turned_away && self.pause.is_some_and(|until| now < until))
    }

    /// The one under way came, or did not.
    pub fn ended(&mut self, outcome: Outcome, now: Instant) {
        self.until = None;
        self.turned_away = outcome == Outcome::TurnedAway;
        self.pause = match outcome {
            Outcome::Came | Outcome::SentOn => None,
            Outcome::TurnedAway => Some(now + TURNED_AWAY),
            Outcome::Failed => Some(now + AFTER_FAILURE),
        };
    }

    /// Whether a copy of so many bytes may be given; if so, it is counted. The first in a moment may
    /// be of any size.
    pub fn give(&mut self, bytes: usize, now: Instant) -> bool {
        let over = |at| now.saturating_duration_since(at) >= MOMENT;
        if self.moment.is_none_or(over) {
            self.moment = Some(now);
            self.given = 0;
        }
        let fits = self.given == 0 || self.given + bytes <= MOST_GIVEN;
        if fits {
            self.given += bytes;
        }
        fits
    }

    /// Remembers a host that was given a copy of so much.
    pub fn given_to(&mut self, host: SocketAddr, extent: Extent) {
        if self.extent != extent {
            self.extent = extent;
            self.owners.clear();
        }
        self.owners.push(host);
    }

    /// A host that was given a copy of so much, each in turn.
    pub fn owner(&mut self, extent: Extent, asker: SocketAddr) -> Option<SocketAddr> {
        if self.extent != extent || self.owners.is_empty() {
            return None;
        }
        self.named = (self.named + 1) % self.owners.len();
        Some(self.owners[self.named]).filter(|owner| *owner != asker)
    }
}
