//! How data centres divide a target's limit.
//!
//! Each goes by what the hosts of all have asked for, as told in heartbeats, so their parts add up to about the
//! limit. One that is not heard keeps its part by its last word: both halves of a cut may reach the target.

use crate::prelude::*;
use std::collections::VecDeque;

/// What was asked for in this time decides.
const WINDOW: Duration = Duration::from_secs(2);
/// Counts as asked for by every data centre, so that one which begins to ask has a part to begin with.
const EVEN: f64 = 0.1;
/// What may be sent at once beside the rate: so many requests, and the limit's part of this time.
const AT_ONCE: f64 = 2.5;
const SAVED: Duration = Duration::from_millis(800);
/// What users bear beside the rate, in the same terms: half of the limit more within four seconds, and five requests.
const BORNE: f64 = 5.0;
const BORNE_TIME: Duration = Duration::from_secs(2);

/// What one data centre may send to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

/// What decides a data centre's share.
#[derive(Clone, Debug)]
pub struct Claims<'a> {
    /// What its hosts have asked for.
    pub own: u16,
    /// What those of each other data centre have.
    pub others: &'a [u16],
    /// Whether the target is one of its own.
    pub home: bool,
    /// The part of its hosts that are heard: others of them may issue permits, too.
    pub heard: f64,
}

impl Share {
    /// The share of a limit, requests a second.
    pub fn of(limit: f64, claims: &Claims<'_>) -> Share {
        let weight = |asked: &u16| f64::from(*asked) + EVEN;
        let own = weight(&claims.own);
        let all = own + claims.others.iter().map(weight).sum::<f64>();
        let part = own / all * claims.heard;
        let (least, shared) = Share::at_once(limit, claims);
        Share { rate: part * limit, burst: least + part * shared }
    }

    /// What this data centre may send at once in any case, and what all of them divide beside that. Where users bear
    /// a request of each, each may save up a whole one; else only the target's own.
    fn at_once(limit: f64, claims: &Claims<'_>) -> (f64, f64) {
        let usual = AT_ONCE + limit * SAVED.as_secs_f64();
        let centres = claims.others.len() as f64 + 1.0;
        let left = BORNE + limit * BORNE_TIME.as_secs_f64() - centres;
        match (left >= 0.0, claims.home) {
            (true, _) => (1.0, usual.min(left)),
            (false, true) => (1.0, usual),
            (false, false) => (0.0, usual),
        }
    }
}

/// What was asked for of late.
#[derive(Clone, Debug, Default)]
pub struct Wants {
    times: VecDeque<Instant>,
}

impl Wants {
    /// The most that is counted; more says the same.
    const MOST: usize = 4096;

    /// One more was asked for.
    pub fn add(&mut self, now: Instant) {
        self.forget(now);
        if self.times.len() < Wants::MOST {
            self.times.push_back(now);
        }
    }

    /// How many were asked for.
    pub fn count(&self, now: Instant) -> u16 {
        let late = self.times.partition_point(|at| Wants::over(*at, now));
        (self.times.len() - late) as u16
    }

    fn forget(&mut self, now: Instant) {
        let late = self.times.partition_point(|at| Wants::over(*at, now));
        self.times.drain(..late);
    }

    fn over(at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) >= WINDOW
    }
}
