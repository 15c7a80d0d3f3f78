//! Divides a target's limit among data centres.
//!
//! Each data centre computes its share from the permit requests of all, as reported in heartbeats,
//! so the shares add up to about the limit. A data centre that is not heard keeps its share by its
//! last report, since both sides of a network partition may reach the target.

use crate::prelude::*;
use std::collections::VecDeque;

/// Time for which permit requests are counted.
const WINDOW: Duration = Duration::from_secs(2);
/// Weight of a data centre beside its requests, so that one that starts to ask has a share to begin
/// with.
const BASE_WEIGHT: f64 = 0.1;
/// What may be sent in a burst beside the rate: a number of requests, and the limit's worth of a
/// period.
const BURST_REQUESTS: f64 = 2.5;
const BURST_TIME: Duration = Duration::from_millis(800);
/// The burst that users tolerate, in the same terms: half more than the limit within four seconds,
/// and five requests.
const MAX_BURST_REQUESTS: f64 = 5.0;
const MAX_BURST_TIME: Duration = Duration::from_secs(2);

/// What one data centre may send to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitShare {
    /// Requests per second.
    pub rate: f64,
    /// Requests in a burst.
    pub burst: f64,
}

/// Inputs to a data centre's share.
#[derive(Clone, Debug)]
pub struct ShareInputs<'a> {
    /// Recent permit requests of its own hosts.
    pub own: u16,
    /// Recent permit requests in each other data centre.
    pub others: &'a [u16],
    /// Whether the target is in this data centre.
    pub home: bool,
    /// Fraction of its hosts that are heard; the others may have an issuer of their own.
    pub heard: f64,
}

impl PermitShare {
    /// Computes the share of a limit given in requests per second.
    pub fn of(limit: f64, inputs: &ShareInputs<'_>) -> PermitShare {
        let weight = |asked: &u16| f64::from(*asked) + BASE_WEIGHT;
        let own = weight(&inputs.own);
        let all = own + inputs.others.iter().map(weight).sum::<f64>();
        let part = own / all * inputs.heard;
        let (fixed, shared) = PermitShare::burst_parts(limit, inputs);
        PermitShare { rate: part * limit, burst: fixed + part * shared }
    }

    /// Burst that this data centre may send in any case, and the burst that all data centres divide
    /// in addition. Where users tolerate a request from each, every data centre may save up a whole
    /// one, otherwise only the target's own.
    fn burst_parts(limit: f64, inputs: &ShareInputs<'_>) -> (f64, f64) {
        let usual = BURST_REQUESTS + limit * BURST_TIME.as_secs_f64();
        let centres = inputs.others.len() as f64 + 1.0;
        let left = MAX_BURST_REQUESTS + limit * MAX_BURST_TIME.as_secs_f64() - centres;
        match (left >= 0.0, inputs.home) {
            (true, _) => (1.0, usual.min(left)),
            (false, true) => (1.0, usual),
            (false, false) => (0.0, usual),
        }
    }
}

/// Times of recent permit requests.
#[derive(Clone, Debug, Default)]
pub struct RecentDemand {
    times: VecDeque<Instant>,
}

impl RecentDemand {
    /// Most that are counted; a higher number would make no difference.
    const MAX_COUNTED: usize = 4096;

    /// Adds a request.
    pub fn add(&mut self, now: Instant) {
        self.forget(now);
        if self.times.len() < RecentDemand::MAX_COUNTED {
            self.times.push_back(now);
        }
    }

    /// Number of recent requests.
    pub fn count(&self, now: Instant) -> u16 {
        let expired = self.times.partition_point(|at| RecentDemand::is_expired(*at, now));
        (self.times.len() - expired) as u16
    }

    fn forget(&mut self, now: Instant) {
        let expired = self.times.partition_point(|at| RecentDemand::is_expired(*at, now));
        self.times.drain(..expired);
    }

    fn is_expired(at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) >= WINDOW
    }
}
