//! Who asks the log and the peers for records, and when.
//!
//! The first few daemons of a data centre, in rendezvous order, hold a long poll on the log; the
//! others ask it now and then as a backstop, and pull from a peer as soon as one says that it is
//! ahead. A log that fails is asked again after a growing, spread out pause.

use crate::ids::*;
use std::time::{Duration, Instant};

/// The settings of a [`Reader`].
#[derive(Clone, Debug)]
pub struct ReaderLimits {
    /// How many daemons of a data centre hold a long poll.
    pub readers: usize,
    /// How long a long poll lasts.
    pub wait: Duration,
    /// How often the others ask the log.
    pub backstop: Duration,
    /// The first pause after a failure.
    pub pause: Duration,
    /// The longest pause after failures.
    pub most: Duration,
}

impl Default for ReaderLimits {
    fn default() -> ReaderLimits {
        ReaderLimits {
            readers: 2,
            wait: Duration::from_secs(2),
            backstop: Duration::from_secs(5),
            pause: Duration::from_millis(100),
            most: Duration::from_secs(2),
        }
    }
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAction {
    /// Read the log, waiting so long for a record.
    Read {
        /// How long to wait; zero returns at once.
        wait: Duration,
    },
    /// Nothing until then, unless the rank changes.
    Wait {
        /// When to ask again.
        until: Instant,
    },
}

/// A change worth an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The log stopped answering.
    Lost,
    /// The log answers again.
    Recovered,
}

/// When this daemon reads the log.
#[derive(Clone, Debug)]
pub struct Reader {
    limits: ReaderLimits,
    due: Instant,
    failures: u32,
    answered: bool,
}

impl Reader {
    /// A reader that has not asked yet.
    pub fn new(limits: ReaderLimits, now: Instant) -> Reader {
        Reader { limits, due: now, failures: 0, answered: false }
    }

    /// What to do now; `rank` is this daemon's place in rendezvous order.
    pub fn next(&self, now: Instant, rank: Option<usize>) -> ReadAction {
        let first = rank.is_some_and(|it| it < self.limits.readers);
        // The first answer, and the first after a failure, are worth having at once.
        let poll = first && self.answered && self.failures == 0;
        if poll || now >= self.due {
            return ReadAction::Read { wait: if poll { self.limits.wait } else { Duration::ZERO } };
        }
        ReadAction::Wait { until: self.due }
    }

    /// The log answered; with `more`, records are left to be read at once.
    pub fn answered(&mut self, now: Instant, more: bool) -> Option<Transition> {
        let back = self.failures > 0;
        self.failures = 0;
        self.answered = true;
        self.due = if more { now } else { now + self.limits.backstop };
        back.then_some(Transition::Recovered)
    }

    /// The log did not answer; `spread` in 0..1 keeps daemons from coming back together.
    pub fn failed(&mut self, now: Instant, spread: f64) -> Option<Transition> {
        let doubled = self.limits.pause * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.due = now + doubled.min(self.limits.most).mul_f64(0.5 + spread / 2.0);
        (self.failures == 1).then_some(Transition::Lost)
    }

    /// Whether the log answered the last time.
    pub fn healthy(&self) -> bool {
        self.failures == 0
    }
}

/// A peer, as its heartbeats show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its host.
    pub host: HostId,
    /// Whether it is in this daemon's data centre.
    pub near: bool,
    /// One past the last record that it has folded.
    pub offset: Offset,
    /// Its digest at that offset.
    pub digest: u64,
}

/// Whom to pull records from.
#[derive(Clone, Debug, Default)]
pub struct PeerSelector {
    failures: usize,
}

impl PeerSelector {
    /// The peer to ask, if one is ahead: the near ones first, then the furthest ahead; a failure
    /// moves on to the next.
    pub fn next<'a>(&self, offset: Offset, peers: &'a [Peer]) -> Option<&'a Peer> {
        let mut ahead: Vec<&Peer> = peers.iter().filter(|it| it.offset > offset).collect();
        ahead.sort_by_key(|it| (!it.near, u64::MAX - it.offset, &it.host));
        ahead.get(self.failures % ahead.len().max(1)).copied()
    }

    /// The peer that was asked gave something new, or not.
    pub fn asked(&mut self, gave: bool) {
        self.failures = if gave { 0 } else { self.failures + 1 };
    }
}

/// Peers that stand at the same offset with another digest.
pub fn diverged(offset: Offset, digest: u64, peers: &[Peer]) -> Vec<&Peer> {
    let differs = |it: &&Peer| it.offset == offset && offset > 0 && it.digest != digest;
    peers.iter().filter(differs).collect()
}
