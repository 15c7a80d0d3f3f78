//! What callers ask of a service, and how much of it gets done, in one data centre.
//!
//! Every host counts its own part and tells it in its heartbeats, so that all hosts of a data
//! centre decide by the same sums. Work is counted in mean requests: a request that needs twice the
//! KV cache of the mean one counts as two.

mod meter;

use super::hashes::TargetHash;
pub use meter::DemandMeter;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most ranks of a service in a report; lower ones count to the last.
pub const MAX_RANKS: usize = 4;
/// Most organisations of all services in a report.
pub const MAX_ORGANISATIONS: usize = 8;
/// Most services in a report.
pub const MAX_SERVICES: usize = 4;
/// Work above this is no possible report, mean requests a second.
const MAX_WORK: f32 = 1e6;
/// Encoded size of a service without its lists, of a rank and of an organisation, bytes.
const SERVICE_BYTES: usize = 11;
const RANK_BYTES: usize = 10;
const ORGANISATION_BYTES: usize = 12;
/// Offered work below which a host's part is not known, mean requests a second.
const MIN_OFFERED: f64 = 0.1;

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

    /// The part of the rank that the route's priority gives.
    fn route(self) -> u16 {
        self.0 & 0xff
    }

    /// Whether routes are ranked: some of these ranks differ by the route's priority.
    pub fn routes_differ(ranks: &[Rank]) -> bool {
        ranks.windows(2).any(|pair| pair[0].route() != pair[1].route())
    }
}

/// The priority of the organisation, `-` if it has none, and that of the route: `0.2`.
impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 >> 8 {
            255 => write!(f, "-.{}", self.0 & 255),
            organisation => write!(f, "{organisation}.{}", self.0 & 255),
        }
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

impl ServiceDemand {
    /// No demand for a service.
    pub fn none(service: TargetHash) -> ServiceDemand {
        ServiceDemand { service, ..ServiceDemand::default() }
    }

    /// Work that callers offered, mean requests a second.
    pub fn offered(&self) -> f64 {
        self.ranks.iter().map(|rank| f64::from(rank.offered)).sum()
    }

    /// Adds the demand of other hosts.
    pub fn add(&mut self, other: &ServiceDemand) {
        self.ended += other.ended;
        for more in &other.ranks {
            let rank = self.rank_mut(more.rank);
            rank.offered += more.offered;
            rank.waiting = rank.waiting.saturating_add(more.waiting);
        }
        for more in &other.organisations {
            match self.organisations.iter_mut().find(|known| known.is_same(more)) {
                Some(known) => known.offered += more.offered,
                None => self.organisations.push(*more),
            }
        }
    }

    /// Takes out the demand of a host that is included.
    fn remove(&mut self, part: &ServiceDemand) {
        self.ended = (self.ended - part.ended).max(0.0);
        for less in &part.ranks {
            let rank = self.rank_mut(less.rank);
            rank.offered = (rank.offered - less.offered).max(0.0);
            rank.waiting = rank.waiting.saturating_sub(less.waiting);
        }
        for less in &part.organisations {
            if let Some(known) = self.organisations.iter_mut().find(|known| known.is_same(less)) {
                known.offered = (known.offered - less.offered).max(0.0);
            }
        }
    }

    fn rank_mut(&mut self, rank: Rank) -> &mut RankDemand {
        let at = self.ranks.partition_point(|known| known.rank < rank);
        if self.ranks.get(at).is_none_or(|known| known.rank != rank) {
            self.ranks.insert(at, RankDemand { rank, ..RankDemand::default() });
        }
        &mut self.ranks[at]
    }

    /// Counts the lowest ranks as one, so that there are at most so many.
    fn merge_ranks(&mut self, most: usize) {
        let last = self.ranks.len().min(most);
        for lower in self.ranks.split_off(last) {
            if let Some(rank) = self.ranks.last_mut() {
                rank.offered += lower.offered;
                rank.waiting = rank.waiting.saturating_add(lower.waiting);
            }
        }
    }

    /// Shortens the lists to what a report may hold.
    fn shorten(&mut self, organisations: usize) {
        self.merge_ranks(MAX_RANKS);
        self.organisations.sort_by(|a, b| b.offered.total_cmp(&a.offered));
        self.organisations.truncate(organisations);
    }

    /// Whether nothing is offered, waits or ends.
    fn is_empty(&self) -> bool {
        let idle = |rank: &RankDemand| rank.offered <= 0.0 && rank.waiting == 0;
        self.ended <= 0.0 && self.ranks.iter().all(idle)
    }

    /// Drops values that cannot be true, and what exceeds a report.
    fn sanitise(&mut self) {
        let possible = |work: f32| (0.0..=MAX_WORK).contains(&work);
        if !possible(self.ended) {
            self.ended = 0.0;
        }
        self.ranks.retain(|rank| possible(rank.offered));
        self.ranks.sort_by_key(|rank| rank.rank);
        self.ranks.dedup_by_key(|rank| rank.rank);
        self.organisations.retain(|organisation| possible(organisation.offered));
        self.shorten(MAX_ORGANISATIONS);
    }

    /// Upper bound on the encoded size, bytes.
    fn max_bytes(&self) -> usize {
        SERVICE_BYTES
            + self.ranks.len() * RANK_BYTES
            + self.organisations.len() * ORGANISATION_BYTES
    }
}

impl OrganisationDemand {
    fn is_same(&self, other: &OrganisationDemand) -> bool {
        (self.organisation, self.rank) == (other.organisation, other.rank)
    }
}

impl CentreDemand {
    /// The demand at the other hosts of the data centre, of which there are so many, and this one.
    pub fn of(others: ServiceDemand, hosts: usize, own: &ServiceDemand) -> CentreDemand {
        let mut total = others;
        total.add(own);
        let (hosts, offered) = (hosts + 1, total.offered());
        let equal = 1.0 / hosts as f64;
        let own_part = if offered < MIN_OFFERED { equal } else { own.offered() / offered };
        CentreDemand { total, own_part: own_part.clamp(0.0, 1.0), hosts }
    }
}

/// Sums of several hosts' demand, by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandSums(Vec<ServiceDemand>);

impl DemandSums {
    /// Adds what a host reported.
    pub fn add(&mut self, report: &[ServiceDemand]) {
        for more in report {
            match self.0.iter_mut().find(|known| known.service == more.service) {
                Some(known) => known.add(more),
                None => self.0.push(more.clone()),
            }
        }
    }

    /// Takes out what a host reported that is included.
    pub fn remove(&mut self, report: &[ServiceDemand]) {
        for less in report {
            if let Some(known) = self.0.iter_mut().find(|known| known.service == less.service) {
                known.remove(less);
            }
        }
    }

    /// The demand for a service.
    pub fn of_service(&self, service: TargetHash) -> ServiceDemand {
        let found = self.0.iter().find(|known| known.service == service);
        found.cloned().unwrap_or_else(|| ServiceDemand::none(service))
    }

    /// The demand as a heartbeat reports it: the services with the most, and their largest
    /// organisations.
    pub fn into_report(self) -> Vec<ServiceDemand> {
        let mut all = self.0;
        all.retain(|service| !service.is_empty());
        all.sort_by(|a, b| b.offered().total_cmp(&a.offered()));
        all.truncate(MAX_SERVICES);
        let organisations = MAX_ORGANISATIONS / all.len().max(1);
        for service in &mut all {
            service.shorten(organisations);
        }
        all
    }
}

/// A received report without values that cannot be true, and no longer than it may be.
pub fn sanitised(mut report: Vec<ServiceDemand>) -> Vec<ServiceDemand> {
    report.truncate(MAX_SERVICES);
    for service in &mut report {
        service.sanitise();
    }
    report
}

/// Shortens a report to a size: the smallest organisations go first, then the differences between
/// ranks, then the last services.
pub fn fit(report: &mut Vec<ServiceDemand>, max_bytes: usize) {
    while report_bytes(report) > max_bytes {
        let lists =
            |service: &&mut ServiceDemand| (service.organisations.len(), service.ranks.len());
        let Some(longest) = report.iter_mut().max_by_key(lists) else { return };
        let ranks = longest.ranks.len();
        if longest.organisations.pop().is_some() {
            continue;
        }
        if ranks > 1 {
            longest.merge_ranks(ranks - 1);
        } else {
            report.pop();
        }
    }
}

/// Upper bound on the encoded size of a report, bytes.
pub fn report_bytes(report: &[ServiceDemand]) -> usize {
    report.iter().map(ServiceDemand::max_bytes).sum()
}
