//! What callers ask of a service, and how much of it gets done, in one data centre.
//!
//! Every host counts its own part and tells it in its heartbeats, so that all hosts of a data
//! centre decide by the same sums. Work is counted in mean requests: a request that needs twice the
//! KV cache of the mean one counts as two.

use super::hashes::TargetHash;
use serde::{Deserialize, Serialize};

/// Rank of a request; the lowest goes first. The organisation's priority comes before the route's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank(u16);

impl Rank {
    /// The rank by the priorities of an organisation and a route, of which 0 is the highest. An
    /// organisation without a priority comes last; priorities above 254 count as 254.
    pub fn new(organisation: Option<u32>, route: u32) -> Rank {
        let level = |priority: u32| priority.min(254) as u16;
        Rank(organisation.map_or(255, level) << 8 | level(route))
    }
}

/// Work of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankDemand {
    /// The rank.
    pub rank: Rank,
    /// Work that callers offered, mean requests a second; what is refused and comes back counts
    /// again.
    pub offered: f32,
    /// Requests that wait for room.
    pub waiting: u16,
}

/// Work of one organisation in one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrganisationDemand {
    /// Hash of the organisation's name.
    pub organisation: u32,
    /// The rank.
    pub rank: Rank,
    /// Work that it offered, mean requests a second.
    pub offered: f32,
}

/// Work of a service, as one host or all of a data centre count it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Hash of the service's name.
    pub service: TargetHash,
    /// Work whose room was freed by ended requests, mean requests a second.
    pub ended: f32,
    /// By rank, the first rank first.
    pub ranks: Vec<RankDemand>,
    /// By organisation and rank, the largest first; only the largest ones.
    pub organisations: Vec<OrganisationDemand>,
}

/// Work of a service in the data centre of this host, with this host's part of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CentreDemand {
    /// All hosts together, this one included.
    pub total: ServiceDemand,
    /// This host's part of the offered work, 0 to 1; an equal part while nothing is offered.
    pub own_part: f64,
    /// Hosts that are counted in.
    pub hosts: usize,
}
