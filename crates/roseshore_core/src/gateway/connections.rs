//! How the connections that a host may have are divided.
//!
//! A crowd of callers must not use up the connections that serving others takes. Callers may have
//! most of them; beyond that those are closed that have done nothing for longest, and first those
//! that never sent a whole request. The host's own calls keep a part that neither callers nor what
//! they start can take.

use super::memory::{Candidate, least_active};

/// Part of the connections that is kept for targets, the store, probes and other hosts.
const OWN_SHARE: usize = 4;
/// Part of the connections that requests of callers may not take either.
const CALLS_SHARE: usize = 16;
/// Part of the connections that probes, and that scrapes of metrics, may have.
const PROBES_SHARE: usize = 32;
/// Connections that either may have at least.
const MIN_PROBES: usize = 8;
/// Part of the probes that is closed at once for a new one.
const PROBES_CLOSED_SHARE: usize = 8;
/// Part of the connections that tunnels for other hosts may have; each takes two.
const TUNNELS_SHARE: usize = 3;
/// Most tunnels for other hosts.
const MAX_TUNNELS: usize = 512;
/// Part of the callers' connections that is closed at once, so that not each new caller makes the
/// host look for one to close.
const CLOSED_SHARE: usize = 32;

/// Numbers of connections of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    max: usize,
}

impl ConnectionLimits {
    /// The limits of a host that may have so many connections.
    pub fn new(max: usize) -> ConnectionLimits {
        ConnectionLimits { max }
    }

    /// Connections of all kinds up to which new callers are taken without closing others.
    pub fn with_callers(&self) -> usize {
        self.max - self.max / OWN_SHARE
    }

    /// Connections of all kinds up to which requests open further ones to targets.
    pub fn with_sends(&self) -> usize {
        self.max - self.max / CALLS_SHARE
    }

    /// Connections that probes may have, and that scrapes of metrics may.
    pub fn probes(&self) -> usize {
        (self.max / PROBES_SHARE).max(MIN_PROBES)
    }

    /// Probes of one kind that are closed at once for a new one.
    pub fn probes_closed(&self) -> usize {
        self.probes() / PROBES_CLOSED_SHARE
    }

    /// Tunnels that a host may keep open for others.
    pub fn tunnels(&self) -> usize {
        (self.max / TUNNELS_SHARE / 2).min(MAX_TUNNELS)
    }

    /// The callers to close when there are too many connections: of `fresh` ones, which never sent
    /// a whole request, if there are any, else of those that wait for their next one.
    pub fn closed<K>(&self, fresh: Vec<Candidate<K>>, kept: Vec<Candidate<K>>) -> Vec<K> {
        let count = (self.with_callers() / CLOSED_SHARE).max(1);
        let from = if fresh.is_empty() { kept } else { fresh };
        let connections = from.into_iter().map(|caller| Candidate { bytes: 1, ..caller });
        least_active(connections.collect(), count)
    }
}
