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
use super::targets::ListDelta;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// For the next bytes of a copy to come: some milliseconds between data centres, and a busy host.
pub const COPY_TIMEOUT: Duration = Duration::from_millis(400);
/// No copy is asked for so long after one that failed: the store is read in the meantime.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// The moment in which gifts are counted.
const WINDOW: Duration = Duration::from_millis(200);
/// Bytes that a host gives in a moment: one megabyte a second, of which the narrowest links carry
/// two and a half.
const MAX_WINDOW_BYTES: usize = 200_000;
/// After being turned away, another host is asked no sooner.
const REFUSED_BACKOFF: Duration = Duration::from_millis(60);

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
    pub changes: ListDelta,
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
    deadline: Option<Instant>,
    /// No other is asked for until then.
    retry_at: Option<Instant>,
    /// Whether that is since a host turned this one away.
    refused: bool,
    /// The moment that gifts are counted in, and the bytes given.
    window_start: Option<Instant>,
    window_bytes: usize,
    /// What was given last, to whom, and who of them was named last.
    extent: Extent,
    recipients: Vec<SocketAddr>,
    last_redirect: usize,
}

/// What became of a copy that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// It came.
    Received,
    /// The host gave none.
    Refused,
    /// The host named another one.
    Redirected,
    /// It did not come.
    Failed,
}

impl Copies {
    /// Whether a copy may be asked for now; if so, it counts as under way. Returns when it is to be
    /// given up.
    pub fn start(&mut self, now: Instant) -> Option<Instant> {
        if self.deadline.is_some() || self.retry_at.is_some_and(|until| now < until) {
            return None;
        }
        self.deadline = Some(now + COPY_TIMEOUT);
        self.deadline
    }

    /// Whether one is under way.
    pub fn in_progress(&self) -> bool {
        self.deadline.is_some()
    }

    /// Whether a copy is soon to be had: one is under way, or a host that has one gives no more for
    /// a moment. As hosts read the store in that moment, fourteen of 23 read one new configuration.
    pub fn expected(&self, now: Instant) -> bool {
        self.in_progress() || (self.refused && self.retry_at.is_some_and(|until| now < until))
    }

    /// The one under way came, or did not.
    pub fn finish(&mut self, outcome: CopyOutcome, now: Instant) {
        self.deadline = None;
        self.refused = outcome == CopyOutcome::Refused;
        self.retry_at = match outcome {
            CopyOutcome::Received | CopyOutcome::Redirected => None,
            CopyOutcome::Refused => Some(now + REFUSED_BACKOFF),
            CopyOutcome::Failed => Some(now + FAILURE_BACKOFF),
        };
    }

    /// Whether a copy of so many bytes may be given; if so, it is counted. The first in a moment may
    /// be of any size.
    pub fn take_budget(&mut self, bytes: usize, now: Instant) -> bool {
        let over = |at| now.saturating_duration_since(at) >= WINDOW;
        if self.window_start.is_none_or(over) {
            self.window_start = Some(now);
            self.window_bytes = 0;
        }
        let fits = self.window_bytes == 0 || self.window_bytes + bytes <= MAX_WINDOW_BYTES;
        if fits {
            self.window_bytes += bytes;
        }
        fits
    }

    /// Remembers a host that was given a copy of so much.
    pub fn record_recipient(&mut self, host: SocketAddr, extent: Extent) {
        if self.extent != extent {
            self.extent = extent;
            self.recipients.clear();
        }
        self.recipients.push(host);
    }

    /// A host that was given a copy of so much, each in turn.
    pub fn redirect(&mut self, extent: Extent, asker: SocketAddr) -> Option<SocketAddr> {
        if self.extent != extent || self.recipients.is_empty() {
            return None;
        }
        self.last_redirect = (self.last_redirect + 1) % self.recipients.len();
        Some(self.recipients[self.last_redirect]).filter(|owner| *owner != asker)
    }
}
