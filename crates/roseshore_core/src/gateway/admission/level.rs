//! The rate at which new requests are admitted in an overload.
//!
//! Engines that are filled to the last place preempt requests and answer all of them late. So the
//! data centre admits as much work as it ends, more while its engines are below [`TARGET_FILL`] and
//! less while they are above.
//!
//! Ranks are served in order. In the first one that does not fit, organisations get equal shares.
//! Within an organisation, [`RETURNED_PART`] is kept for callers who return, then come new ones,
//! who can still be answered in time, and callers who return get what these leave.

use super::shares::{self, work};
use super::{Arrival, FREE_UTILISATION};
use crate::gateway::demand::{CentreDemand, Rank};
use crate::prelude::*;
use rustc_hash::FxHashMap;

/// Utilisation of the best path that admission aims at. The rest is kept for begun streams and for
/// answers that grow longer than expected.
const TARGET_FILL: f64 = 0.97;
/// Steepness of the admitted rate: it grows by e for each such part of utilisation below the
/// target, and falls as much above. Flatter, callers are refused beside free room while demand
/// grows, since ended work lags behind; steeper, the rate swings with loads that are 300 ms old.
const GAIN: f64 = 12.0;
/// Bounds of the admitted rate as a multiple of the rate at which work ends.
const RATE_BOUNDS: (f64, f64) = (0.4, 4.0);
/// Ended work below which it says nothing about capacity, mean requests a second.
const MIN_ENDED: f64 = 1.0;
/// Least part of a rank and an organisation that is admitted, so that none starves.
const MIN_PART: f64 = 0.03;
/// Part of what is admitted that goes to callers who return before new ones are considered. More of
/// it would only trade answers in time for late ones, since new callers who are refused return too;
/// less would let those starve who return.
const RETURNED_PART: f64 = 0.1;
/// Time in which what waits already is to be sent, before what arrives.
const WAITING_TIME: Duration = Duration::from_millis(500);
/// Time constant of the utilisation: as long as loads take to reach the other hosts.
const FILL_TIME: Duration = Duration::from_millis(250);
/// Time constant of the part of callers who return.
const RETURNED_TIME: Duration = Duration::from_secs(1);

/// Whether a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is sent, or waits for a place.
    Admit,
    /// It is refused at once.
    Refuse {
        /// Probability with which requests like it are admitted.
        probability: f64,
    },
}

/// An average in which a sample's weight decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    sum: f64,
    weight: f64,
    at: Option<Instant>,
}

impl Average {
    fn record(&mut self, value: f64, time: Duration, now: Instant) {
        let passed = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-passed.as_secs_f64() / time.as_secs_f64()).exp();
        self.sum = self.sum * kept + value;
        self.weight = self.weight * kept + 1.0;
        self.at = Some(now);
    }

    fn value(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }
}

/// Admission of new requests to one service, at one host.
#[derive(Clone, Debug, Default)]
pub struct Level {
    fill: Average,
    returned: FxHashMap<Rank, Average>,
}

impl Level {
    /// Decides on a request that has not been sent. `utilisation` is that of the best path,
    /// and `draw` a random number in `0..1`.
    pub fn decide(
        &mut self,
        arrival: &Arrival,
        utilisation: f64,
        demand: &CentreDemand,
        now: Instant,
        draw: f64,
    ) -> Decision {
        let utilisation = if utilisation.is_finite() { utilisation.clamp(0.0, 2.0) } else { 1.0 };
        self.fill.record(utilisation, FILL_TIME, now);
        let returned = self.returned.entry(arrival.rank).or_default();
        returned.record(f64::from(u8::from(arrival.returned)), RETURNED_TIME, now);
        if utilisation < FREE_UTILISATION {
            return Decision::Admit;
        }
        let part = admitted_part(arrival, self.fill.value(), demand).max(MIN_PART);
        let probability = split_returned(part, returned.value(), arrival.returned);
        if draw < probability { Decision::Admit } else { Decision::Refuse { probability } }
    }

    /// Mean utilisation of the best paths of recent arrivals.
    pub fn fill(&self) -> f64 {
        self.fill.value()
    }

    /// Drops the state of ranks without arrivals, such as those of an earlier configuration.
    pub fn expire(&mut self, now: Instant) {
        let recent = |a: &Average| a.at.is_some_and(|at| now < at + RETURNED_TIME * 10);
        self.returned.retain(|_, average| recent(average));
    }
}

/// Part of the work of a request's rank and organisation that is admitted, 0 to 1.
fn admitted_part(arrival: &Arrival, fill: f64, demand: &CentreDemand) -> f64 {
    let ranks = &demand.total.ranks;
    let offered = |wanted: &dyn Fn(Rank) -> bool| -> f64 {
        ranks.iter().filter(|r| wanted(r.rank)).map(|r| work(r.offered)).sum()
    };
    let rate = admitted_rate(work(demand.total.ended), offered(&|_| true), fill);
    let waiting = ranks.iter().filter(|r| r.rank <= arrival.rank);
    let waiting: f64 = waiting.map(|r| f64::from(r.waiting)).sum();
    let room = rate - offered(&|rank| rank < arrival.rank) - waiting / WAITING_TIME.as_secs_f64();
    let own = offered(&|rank| rank == arrival.rank);
    if room >= own {
        return 1.0;
    }
    if room <= 0.0 {
        return 0.0;
    }
    shares::admitted_part(&demand.total, arrival.rank, arrival.organisation, own, room)
}

/// Work to admit, mean requests a second.
fn admitted_rate(ended: f64, offered: f64, fill: f64) -> f64 {
    if ended < MIN_ENDED {
        return offered;
    }
    ended * ((TARGET_FILL - fill) * GAIN).exp().clamp(RATE_BOUNDS.0, RATE_BOUNDS.1)
}

/// The probability for callers who return, or for new ones, when `part` of all is admitted and
/// `returned` of all return.
fn split_returned(part: f64, returned: f64, is_returned: bool) -> f64 {
    let left_by_new = part - (1.0 - returned);
    let of_returned = (part * RETURNED_PART).max(left_by_new).min(returned);
    let (admitted, offered) =
        if is_returned { (of_returned, returned) } else { (part - of_returned, 1.0 - returned) };
    (admitted / offered.max(f64::EPSILON)).clamp(0.0, 1.0)
}
