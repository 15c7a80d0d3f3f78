//! Copies of store data that one host hands to another.
//!
//! A heartbeat shows that its sender has a newer configuration, or a different target list. Copying
//! this from the host is faster than reading the store, puts no load on the store, and works while
//! the store is down or refuses this host. Only one copy is requested at a time; after a failed one
//! the host reads the store, as if it had no neighbours.
//!
//! Hundreds of hosts that receive the same heartbeat must not all load its sender's link. So each
//! host hands out a limited number of bytes per window, as far as its link bears it, and redirects
//! further requests to one of the hosts that it has given a copy. This way a copy spreads as a tree
//! that grows in width with each step.

use super::position::Position;
use super::targets::ListDelta;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Time-out for the next bytes of a copy: some milliseconds between data centres, and time for a
/// busy host.
pub const COPY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long no copy is requested after a failed one; the store is read in the meantime.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Window in which handed-out bytes are counted.
const WINDOW: Duration = Duration::from_millis(200);
/// Share of the host's link that copies may take.
const LINK_SHARE: f64 = 0.4;
/// Most bytes handed out per window: those of a link of 20 Mbit/s, or if the host's link carries
/// more, as many as the host may hold in memory until they are written.
const WINDOW_BYTES: (usize, usize) = (200_000, 8_000_000);
/// How long no other host is asked after a refusal.
const REFUSED_BACKOFF: Duration = Duration::from_millis(60);

/// How much of the store a host has read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extent {
    /// Version of the known configuration; 0 for none.
    pub config: u64,
    /// Position up to which the target list is known; the default before it was read.
    pub list: Position,
}

/// What a host knows of the store, however far it has read. Offsets move on with each heartbeat of
/// a target, while the list stays the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// Version of the known configuration; 0 for none.
    pub config: u64,
    /// Digest of the known target list.
    pub digest: u64,
}

/// Request for what a host has read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRequest {
    /// Address at which the requesting host receives heartbeats and serves copies.
    pub from: SocketAddr,
    /// What it has read itself.
    pub known: Extent,
}

/// What a host has read beyond the extent in a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCopy {
    /// The configuration, if it is newer.
    pub config: Option<ConfigCopy>,
    /// The target list, if it is newer.
    pub list: Option<ListCopy>,
    /// Another host that has the data, if this one has handed out enough in this window.
    pub instead: Option<SocketAddr>,
}

/// The configuration as a host has read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCopy {
    /// The configuration as stored.
    pub bytes: Vec<u8>,
    /// Position up to which the configuration was read; `None` if that is not known.
    pub next: Option<Position>,
    /// Time in milliseconds since it was last proven to be the newest; `None` if it was not.
    pub age: Option<u64>,
}

/// The target list as a host has read it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListCopy {
    /// Position up to which it was read.
    pub next: Position,
    /// Changes since the requesting host's list, or the whole list. Sending the whole list each
    /// time would fill hosts' links at each change of one record when there are thousands of
    /// targets.
    pub changes: ListDelta,
    /// Digest of the resulting list.
    pub digest: u64,
    /// Time in milliseconds for which missing entries may belong to live targets whose heartbeats
    /// lapsed while the store was unreachable.
    pub lapse: u64,
    /// Time in milliseconds since the list was last proven to be current; `None` if it was not.
    pub age: Option<u64>,
}

impl StoreCopy {
    /// Whether nothing was handed out: the host has nothing newer, or has handed out enough in this
    /// window.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.list.is_none()
    }
}

/// Controls when copies are requested and handed out.
#[derive(Clone, Debug)]
pub struct Copies {
    /// Most bytes handed out per window.
    window_limit: usize,
    /// When the copy in progress was requested, and when it times out.
    requested_at: Option<Instant>,
    deadline: Option<Instant>,
    /// When the next copy may be requested.
    retry_at: Option<Instant>,
    /// Whether the wait is due to a refusal.
    refused: bool,
    /// Start of the current window, and bytes handed out in it.
    window_start: Option<Instant>,
    window_bytes: usize,
    /// What was last handed out, its recipients, and the index of the one last named in a redirect.
    contents: Contents,
    recipients: Vec<SocketAddr>,
    last_redirect: usize,
}

/// Result of a requested copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy arrived.
    Received,
    /// The host refused.
    Refused,
    /// The host named another one.
    Redirected,
    /// The copy did not arrive.
    Failed,
}

impl Default for Copies {
    fn default() -> Copies {
        Copies::new(None)
    }
}

impl Copies {
    /// Copies over a link that carries this many bytes per second; `None` if that is not known.
    pub fn new(link_rate: Option<u64>) -> Copies {
        let (least, most) = WINDOW_BYTES;
        let carried = link_rate.unwrap_or(0) as f64 * WINDOW.as_secs_f64() * LINK_SHARE;
        Copies {
            window_limit: (carried as usize).clamp(least, most),
            requested_at: None,
            deadline: None,
            retry_at: None,
            refused: false,
            window_start: None,
            window_bytes: 0,
            contents: Contents::default(),
            recipients: Vec::new(),
            last_redirect: 0,
        }
    }

    /// Starts a copy if one may be requested now. Returns its deadline.
    pub fn start(&mut self, now: Instant) -> Option<Instant> {
        if self.deadline.is_some() || self.retry_at.is_some_and(|until| now < until) {
            return None;
        }
        self.requested_at = Some(now);
        self.deadline = Some(now + COPY_TIMEOUT);
        self.deadline
    }

    /// When contents were proven that a host of which the copy in progress was requested had last
    /// proven `age` milliseconds before it replied. The request was sent before the reply, so this
    /// is no later than the proof.
    pub fn proven_at(&self, age: Option<u64>) -> Option<Instant> {
        self.requested_at?.checked_sub(Duration::from_millis(age?))
    }

    /// Whether a copy is in progress.
    pub fn in_progress(&self) -> bool {
        self.deadline.is_some()
    }

    /// Whether a copy can be expected soon: one is in progress, or a host that has one refuses for
    /// the moment. Without the second condition, 14 of 23 hosts read the same new configuration
    /// from the store in that moment.
    pub fn expected(&self, now: Instant) -> bool {
        self.in_progress() || (self.refused && self.retry_at.is_some_and(|until| now < until))
    }

    /// Records the result of the copy in progress.
    pub fn finish(&mut self, outcome: CopyOutcome, now: Instant) {
        self.deadline = None;
        self.refused = outcome == CopyOutcome::Refused;
        self.retry_at = match outcome {
            CopyOutcome::Received | CopyOutcome::Redirected => None,
            CopyOutcome::Refused => Some(now + REFUSED_BACKOFF),
            CopyOutcome::Failed => Some(now + FAILURE_BACKOFF),
        };
    }

    /// Whether a copy of this size may be handed out; if so, its bytes are counted. The first in a
    /// window may be of any size.
    pub fn take_budget(&mut self, bytes: usize, now: Instant) -> bool {
        let over = |at| now.saturating_duration_since(at) >= WINDOW;
        if self.window_start.is_none_or(over) {
            self.window_start = Some(now);
            self.window_bytes = 0;
        }
        let fits = self.window_bytes == 0 || self.window_bytes + bytes <= self.window_limit;
        if fits {
            self.window_bytes += bytes;
        }
        fits
    }

    /// Records a host that was given a copy of these contents.
    pub fn record_recipient(&mut self, host: SocketAddr, contents: Contents) {
        if self.contents != contents {
            self.contents = contents;
            self.recipients.clear();
        }
        self.recipients.push(host);
    }

    /// A host that was given a copy of these contents, in rotation; `None` if there is none, or it
    /// is the asker's turn.
    pub fn redirect(&mut self, contents: Contents, asker: SocketAddr) -> Option<SocketAddr> {
        if self.contents != contents || self.recipients.is_empty() {
            return None;
        }
        self.last_redirect = (self.last_redirect + 1) % self.recipients.len();
        Some(self.recipients[self.last_redirect]).filter(|host| *host != asker)
    }
}
