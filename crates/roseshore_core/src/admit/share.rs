//! This daemon's part of an organisation's limits.
//!
//! A limit holds for the whole system, but nobody counts centrally. Each daemon takes the part that
//! its own demand has in the demand it has heard of. A daemon that was not heard of counts as if
//! it had the same demand as this one, so that without any report each takes an equal part.

use crate::ids::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// How long another daemon's demand counts.
const PEER_DEMAND_TTL: Duration = Duration::from_secs(5);
/// Time constant of the measured demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Without a request for so long, an organisation is no longer active.
const IDLE: Duration = Duration::from_secs(10);
/// Requests a second that each daemon counts as having at least, so that a first request finds a part.
const MIN_DEMAND: f64 = 0.05;

/// The demand of the most active organisations at one daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demands {
    /// The largest first.
    pub organisations: Vec<Demand>,
}

/// One organisation's demand at one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub organisation: OrganisationId,
    /// Requests a second, refused ones included.
    pub rate: f32,
}

/// What each other daemon said last.
pub type PeerDemands = FxHashMap<HostId, PeerDemand>;

/// What another daemon said.
#[derive(Clone, Debug)]
pub struct PeerDemand {
    rates: FxHashMap<OrganisationId, f64>,
    at: Instant,
}

impl PeerDemand {
    /// Its demand at `now`.
    pub fn new(demands: &Demands, now: Instant) -> PeerDemand {
        let rates = demands.organisations.iter();
        let rates = rates.map(|d| (d.organisation.clone(), f64::from(d.rate))).collect();
        PeerDemand { rates, at: now }
    }

    /// Whether it still counts.
    pub fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < PEER_DEMAND_TTL
    }
}

/// Measures the requests a second of one organisation.
#[derive(Clone, Copy, Debug)]
pub struct DemandMeter {
    rate: f64,
    last: Instant,
}

impl DemandMeter {
    /// No demand yet.
    pub fn new(now: Instant) -> DemandMeter {
        DemandMeter { rate: 0.0, last: now }
    }

    /// One more request.
    pub fn count(&mut self, now: Instant) {
        self.rate = self.rate(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.last = self.last.max(now);
    }

    /// Requests a second.
    pub fn rate(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.rate * (-passed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Whether there was no request for long.
    pub fn idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) >= IDLE
    }
}

/// The part of an organisation's limits that this daemon may give out.
pub fn limit_part(own: f64, id: &str, peers: &PeerDemands, daemons: usize) -> f64 {
    let own = own + MIN_DEMAND;
    let known = peers.len().min(daemons.saturating_sub(1));
    let others: f64 =
        peers.values().map(|peer| MIN_DEMAND + peer.rates.get(id).copied().unwrap_or(0.0)).sum();
    let unknown = daemons.saturating_sub(1 + known) as f64;
    own / (own * (1.0 + unknown) + others)
}
