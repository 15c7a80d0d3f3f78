//! For how long a request may wait for a place.
//!
//! The wait is predicted from what waits before it and the rate at which the data centre ends work.
//! A request that its caller would not wait for is refused at once, since a refused caller can
//! still be served elsewhere or later.

use super::shares::work;
use crate::gateway::demand::{CentreDemand, Rank};
use crate::prelude::*;

/// Longest time that a request may wait in any case, within an eighth
/// ([`FREE_WAIT_DIVISOR`]) of its route's objective: a refusal after it is not late.
const FREE_WAIT: Duration = Duration::from_millis(80);
/// See [`FREE_WAIT`].
const FREE_WAIT_DIVISOR: u32 = 8;
/// Longest time that a request waits if it will still be answered within its objective: callers who
/// cannot be served are to learn it within a tenth of a second, so that they can try elsewhere.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Longest time that a begun stream waits: its caller leaves after two seconds without an event.
const MAX_STREAM_WAIT: Duration = Duration::from_millis(1300);
/// A request that finds no place now.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Whether it is a stream that its caller has a part of.
    pub begun: bool,
    /// Its rank.
    pub rank: Rank,
    /// Its size in mean requests.
    pub work: f64,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Predicted time to its first token once it is sent.
    pub first_token: Duration,
    /// Time since its arrival.
    pub age: Duration,
}

impl Wait {
    /// Time after which a refusal is not late.
    fn free_wait(&self) -> Duration {
        FREE_WAIT.min(self.objective / FREE_WAIT_DIVISOR)
    }

    /// Longest time from now that the caller bears.
    pub fn patience(&self) -> Duration {
        if self.begun {
            return MAX_STREAM_WAIT;
        }
        let in_time = self.objective.saturating_sub(self.first_token + self.age);
        self.free_wait().max(in_time.min(MAX_WAIT))
    }

    /// Predicted time until its turn, behind at least `ahead` requests; `None` while no work ends.
    pub fn predicted(&self, ahead: usize, demand: &CentreDemand) -> Option<Duration> {
        let before = demand.total.ranks.iter().filter(|r| r.rank <= self.rank);
        let waiting: f64 = before.map(|r| f64::from(r.waiting)).sum();
        let size = if self.work.is_finite() { self.work.clamp(0.0, 1e3) } else { 1.0 };
        let seconds = (waiting.max(ahead as f64) + size) / work(demand.total.ended);
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// The time to hold it for at most; `None` if it is refused at once.
    pub fn hold(&self, ahead: usize, demand: &CentreDemand) -> Option<Duration> {
        let patience = self.patience();
        if self.begun {
            return Some(patience);
        }
        let hold = match self.predicted(ahead, demand) {
            Some(predicted) if predicted > patience => Duration::ZERO,
            Some(_) => patience,
            None => patience.min(FREE_WAIT),
        };
        Some(hold).filter(|hold| !hold.is_zero())
    }

    /// The longest time for which a request waits for a path that does not exist: what is missing
    /// for longer does not come back within a request's patience.
    pub fn for_path(&self) -> Duration {
        if self.begun { MAX_STREAM_WAIT } else { self.free_wait() }
    }
}
