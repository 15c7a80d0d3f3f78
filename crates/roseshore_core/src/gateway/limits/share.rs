//! How data centres divide a target's limit.
//!
//! Each goes by what the hosts of all have asked for, as told in heartbeats, so their parts add up to about the
//! limit. One that is not heard keeps its part by its last word: both halves of a cut may reach the target.

use crate::prelude::*;
use std::collections::VecDeque;

/// What was asked for in this time decides.
const WINDOW: Duration = Duration::from_secs(2);
/// Counts as asked for by every data centre, so that one which begins to ask has a part to begin with.
const BASE_WEIGHT: f64 = 0.1;
/// What may be sent at once beside the rate: so many requests, and the limit's part of this time.
const BURST_REQUESTS: f64 = 2.5;
const BURST_TIME: Duration = Duration::from_millis(800);
/// What users bear beside the rate, in the same terms: half of the limit more within four seconds, and five requests.
const MAX_BURST_REQUESTS: f64 = 5.0;
const MAX_BURST_TIME: Duration = Duration::from_secs(2);

/// What one data centre may send to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitShare {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

/// What decides a data centre's share.
#[derive(Clone, Debug)]
pub struct ShareInputs<'a> {
    /// What its hosts have asked for.
    pub own: u16,
    /// What those of each other data centre have.
    pub others: &'a [u16],
    /// Whether the target is one of its own.
    pub home: bool,
    /// The part of its hosts that are heard: others of them may issue permits, too.
    pub heard: f64,
}

impl PermitShare {
    /// The share of a limit, requests a second.
    pub fn of(limit: f64, claims: &ShareInputs<'_>) -> PermitShare {
        let weight = |asked: &u16| f64::from(*asked) + BASE_WEIGHT;
        let own = weight(&claims.own);
        let all = own + claims.others.iter().map(weight).sum::<f64>();
        let part = own / all * claims.heard;
        let (least, shared) = PermitShare::burst_parts(limit, claims);
        PermitShare { rate: part * limit, burst: least + part * shared }
    }

    /// What this data centre may send at once in any case, and what all of them divide beside that. Where users bear
    /// a request of each, each may save up a whole one; else only the target's own.
    fn burst_parts(limit: f64, claims: &ShareInputs<'_>) -> (f64, f64) {
        let usual = BURST_REQUESTS + limit * BURST_TIME.as_secs_f64();
        let centres = claims.others.len() as f64 + 1.0;
        let left = MAX_BURST_REQUESTS + limit * MAX_BURST_TIME.as_secs_f64() - centres;
        match (left >= 0.0, claims.home) {
            (true, _) => (1.0, usual.min(left)),
            (false, true) => (1.0, usual),
            (false, false) => (0.0, usual),
        }
    }
}

/// What was asked for of late.
#[derive(Clone, Debug, Default)]
pub struct RecentDemand {
    times: VecDeque<Instant>,
}

impl RecentDemand {
    /// The most that is counted; more says the same.
    const MAX_COUNTED: usize = 4096;

    /// One more was asked for.
    pub fn add(&mut self, now: Instant) {
        self.forget(now);
        if self.times.len() < RecentDemand::MAX_COUNTED {
            self.times.push_back(now);
        }
    }

    /// How many were asked for.
    pub fn count(&self, now: Instant) -> u16 {
        let late = self.times.partition_point(|at| RecentDemand::over(*at, now));
        (self.times.len() - late) as u16
    }

    fn forget(&mut self, now: Instant) {
        let late = self.times.partition_point(|at| RecentDemand::over(*at, now));
        self.times.drain(..late);
    }

    fn over(at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) >= WINDOW
    }
}
