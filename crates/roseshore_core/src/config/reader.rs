//! Decides when this daemon reads records from the log and from which peer.
//!
//! The first few daemons of a data centre, in rendezvous order, long-poll the log. The others read
//! it at a longer interval as a fallback and pull records from a peer as soon as its heartbeat shows
//! a later offset. After a failure the log is read again with exponential backoff and jitter.

use crate::ids::*;
use std::time::{Duration, Instant};

/// Settings of a [`Reader`].
#[derive(Clone, Debug)]
pub struct ReaderLimits {
    /// Number of daemons of a data centre that long-poll the log.
    pub readers: usize,
    /// Duration of a long poll.
    pub poll_wait: Duration,
    /// Interval at which the other daemons read the log.
    pub poll_interval: Duration,
    /// Delay after the first failure; doubles with each further failure.
    pub min_backoff: Duration,
    /// Longest delay after failures.
    pub max_backoff: Duration,
}

impl Default for ReaderLimits {
    fn default() -> ReaderLimits {
        ReaderLimits {
            readers: 2,
            poll_wait: Duration::from_secs(2),
            poll_interval: Duration::from_secs(5),
            min_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// Next action of a [`Reader`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAction {
    /// Read the log.
    Read {
        /// How long to wait for a record; zero returns at once.
        wait: Duration,
    },
    /// Do not read until then, unless the rank changes.
    Wait {
        /// Time of the next read.
        until: Instant,
    },
}

/// Change of the availability of the log, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The first read has failed.
    Lost,
    /// A read has succeeded after failures.
    Recovered,
}

/// Schedule of this daemon's reads of the log.
#[derive(Clone, Debug)]
pub struct Reader {
    limits: ReaderLimits,
    next_read: Instant,
    failures: u32,
    answered: bool,
}

impl Reader {
    /// Creates a reader whose first read is due at `now`.
    pub fn new(limits: ReaderLimits, now: Instant) -> Reader {
        Reader { limits, next_read: now, failures: 0, answered: false }
    }

    /// Returns the action for `now`; `rank` is this daemon's place in rendezvous order.
    pub fn next(&self, now: Instant, rank: Option<usize>) -> ReadAction {
        let is_reader = rank.is_some_and(|it| it < self.limits.readers);
        // The first read, and the first one after a failure, must not wait for a new record.
        let long_poll = is_reader && self.answered && self.failures == 0;
        if long_poll || now >= self.next_read {
            return ReadAction::Read {
                wait: if long_poll { self.limits.poll_wait } else { Duration::ZERO },
            };
        }
        ReadAction::Wait { until: self.next_read }
    }

    /// Records that a read succeeded; with `more`, the next read is due at once.
    pub fn answered(&mut self, now: Instant, more: bool) -> Option<Transition> {
        let back = self.failures > 0;
        self.failures = 0;
        self.answered = true;
        self.next_read = if more { now } else { now + self.limits.poll_interval };
        back.then_some(Transition::Recovered)
    }

    /// Records that a read failed; `jitter` in 0..1 keeps daemons from retrying at the same time.
    pub fn failed(&mut self, now: Instant, jitter: f64) -> Option<Transition> {
        let doubled = self.limits.min_backoff * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.next_read = now + doubled.min(self.limits.max_backoff).mul_f64(0.5 + jitter / 2.0);
        (self.failures == 1).then_some(Transition::Lost)
    }

    /// Whether the last read succeeded.
    pub fn healthy(&self) -> bool {
        self.failures == 0
    }
}

/// Peer, as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Host of the peer.
    pub host: HostId,
    /// Whether it is in this daemon's data centre.
    pub local: bool,
    /// One past the last record that it has folded.
    pub offset: Offset,
    /// Digest of its state at that offset.
    pub digest: u64,
}

/// Selects the peer to pull records from.
#[derive(Clone, Debug, Default)]
pub struct PeerSelector {
    failures: usize,
}

impl PeerSelector {
    /// Returns a peer with a later offset, if there is one: peers in the own data centre first, then
    /// the latest offset. Each failure moves on to the next peer.
    pub fn next<'a>(&self, offset: Offset, peers: &'a [Peer]) -> Option<&'a Peer> {
        let mut ahead: Vec<&Peer> = peers.iter().filter(|it| it.offset > offset).collect();
        ahead.sort_by_key(|it| (!it.local, u64::MAX - it.offset, &it.host));
        ahead.get(self.failures % ahead.len().max(1)).copied()
    }

    /// Records whether the selected peer supplied new records.
    pub fn record(&mut self, progress: bool) {
        self.failures = if progress { 0 } else { self.failures + 1 };
    }
}

/// Returns the peers that have the same offset but another digest.
pub fn diverged(offset: Offset, digest: u64, peers: &[Peer]) -> Vec<&Peer> {
    let differs = |it: &&Peer| it.offset == offset && offset > 0 && it.digest != digest;
    peers.iter().filter(differs).collect()
}
