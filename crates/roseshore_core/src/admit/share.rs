//! This daemon's part of an organisation's limits.
//!
//! A limit holds for the whole system, but there is no central counter. Each daemon takes a part in
//! proportion to its own demand among the demands that the daemons report. A daemon without a
//! report counts as having the same demand as this one, so that without any reports all parts are
//! equal.

use crate::ids::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Time for which another daemon's reported demand counts.
const PEER_DEMAND_TTL: Duration = Duration::from_secs(5);
/// Time constant of the demand estimate.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Time without a request after which an organisation counts as inactive.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Lower bound on the demand, in requests a second, that each daemon counts as having; without it,
/// an organisation's first request would find no part.
const MIN_DEMAND: f64 = 0.05;

/// Demand of the most active organisations at one daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demands {
    /// Demands, the largest first.
    pub organisations: Vec<Demand>,
}

/// One organisation's demand at one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests a second, including refused ones.
    pub rate: f32,
}

/// Latest report of each other daemon.
pub type PeerDemands = FxHashMap<HostId, PeerDemand>;

/// Demand reported by another daemon.
#[derive(Clone, Debug)]
pub struct PeerDemand {
    rates: FxHashMap<OrganisationId, f64>,
    at: Instant,
}

impl PeerDemand {
    /// Creates it from a report received at `now`.
    pub fn new(demands: &Demands, now: Instant) -> PeerDemand {
        let rates = demands.organisations.iter();
        let rates = rates.map(|d| (d.organisation.clone(), f64::from(d.rate))).collect();
        PeerDemand { rates, at: now }
    }

    /// Whether the report still counts at `now`.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < PEER_DEMAND_TTL
    }
}

/// Estimates the request rate of one organisation with exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct DemandMeter {
    rate: f64,
    last: Instant,
}

impl DemandMeter {
    /// Creates an estimate of zero.
    pub fn new(now: Instant) -> DemandMeter {
        DemandMeter { rate: 0.0, last: now }
    }

    /// Counts one request.
    pub fn count(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.last = self.last.max(now);
    }

    /// Requests a second.
    pub fn rate(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.rate * (-passed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Whether no request has arrived for a while.
    pub fn idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) >= IDLE_TIMEOUT
    }
}

/// Fraction of an organisation's limits that this daemon may use.
pub fn limit_part(own: f64, id: &str, peers: &PeerDemands, daemons: usize) -> f64 {
    let own = own + MIN_DEMAND;
    let known = peers.len().min(daemons.saturating_sub(1));
    let others: f64 =
        peers.values().map(|peer| MIN_DEMAND + peer.rates.get(id).copied().unwrap_or(0.0)).sum();
    let unknown = daemons.saturating_sub(1 + known) as f64;
    own / (own * (1.0 + unknown) + others)
}
