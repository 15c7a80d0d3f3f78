//! This host's part of the room that is free at an engine.
//!
//! All hosts of a data centre see the same free room, by reports that are some hundred milliseconds
//! old. If each took all of it, they would together take it many times. So each host takes at most
//! its part, which is its part of the requests that callers offer. Nothing is held: what a host
//! leaves is free in the next reports, and parts are divided anew. So a host that stops, freezes or
//! is cut off withholds nothing for longer than it counts as alive.
//!
//! The others' changes since their reports are estimated from this host's own in the same time.
//! Where the part is smaller than a request, a draw decides, so that all hosts together take the
//! room once on average.

use crate::gateway::demand::CentreDemand;
use crate::prelude::*;
use std::collections::VecDeque;

/// Occupancy of an engine, as a fraction, below which its room is not divided.
pub const BUSY: f64 = 0.7;
/// Weight of an equal part for each host beside its part of the demand, which is not known exactly.
const EQUAL_WEIGHT: f64 = 0.5;
/// Part of the free room that is left to the hosts of all other data centres together.
const FAR_PART: f64 = 0.1;
/// Factor on the requests that an engine is expected to get by its part of the free room: requests
/// are not spread evenly.
const CROWD_FACTOR: f64 = 2.0;
/// Part of the expected requests that are taken to use a draw. Some find no room elsewhere on their
/// path.
const DRAW_FACTOR: f64 = 0.37;
/// Part of a busy engine's KV cache that is left to streams that have begun.
const BEGUN_RESERVE: f64 = 0.01;
/// Largest part of an engine's requests that is expected to change while a report is on its way.
const MAX_TURNOVER: f64 = 0.17;
/// Longest time for which a change may be missing in reports.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1200);
/// Time in which an engine refuses a request.
const REFUSAL_TIME: Duration = Duration::from_millis(50);
/// Part of the room that is usable at least, whatever was refused. Layers that an engine gives up
/// may take half of it while requests still run through them.
const MIN_USABLE: f64 = 0.4;
/// An engine that refuses is taken to be full at this fraction of the KV cache counted there.
const REFUSED_FACTOR: f64 = 0.95;
/// Growth of the usable room a second after a refusal, as a fraction of the room.
const RECOVERY_RATE: f64 = 0.03;
/// Refusals closer together show no more than one does.
const REPEAT_GAP: Duration = Duration::from_millis(300);
/// Most repeated refusals that slow the growth down.
const MAX_REPEATS: u32 = 4;

/// KV cache that a host may still claim of a busy engine, given the free one by its reports, its
/// part, and its own net claims in the time that the others' reports do not cover.
pub fn allowance(free: f64, own_part: f64, recent: f64) -> f64 {
    (own_part * (free + recent) - recent).max(0.0)
}

/// What a host may take of the free room of engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Part of the room of engines in the own data centre, and in another one.
    near: f64,
    far: f64,
    /// Time that reports about engines of the own data centre and of others do not cover.
    near_age: Duration,
    far_age: Duration,
    /// Requests that this host expects in that time.
    own_requests: f64,
    /// Requests that others may send in that time to the own data centre, and to another one.
    near_requests: f64,
    far_requests: f64,
    /// Decides where the part is smaller than a request; 0 to 1.
    draw: f64,
    /// Whether the request is for a stream that has begun.
    begun: bool,
}

/// What is known of the room at an engine, in requests or in KV cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// All room.
    pub capacity: f64,
    /// Free room by the reports of other hosts and this host's own claims.
    pub free: f64,
    /// This host's claims in the time that the reports do not cover, less what ended.
    pub recent: f64,
    /// Room that the request takes.
    pub request: f64,
    /// This engine's part of the free room in its data centre, for the same layers.
    pub free_part: f64,
}

/// Ages of the reports of other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportAges {
    /// Of hosts of the own data centre.
    pub near: Duration,
    /// Of hosts of other data centres.
    pub far: Duration,
}

impl Share {
    /// All of the room, for a host without others.
    pub const WHOLE: Share = Share {
        near: 1.0,
        far: 1.0,
        near_age: Duration::ZERO,
        far_age: Duration::ZERO,
        own_requests: 0.0,
        near_requests: 0.0,
        far_requests: 0.0,
        draw: 0.0,
        begun: false,
    };

    /// The share of a host in a system of so many data centres; `draw` is between 0 and 1.
    pub fn new(demand: &CentreDemand, ages: ReportAges, centres: usize, draw: f64) -> Share {
        let equal = 1.0 / demand.hosts.max(1) as f64;
        let part = (1.0 - EQUAL_WEIGHT) * demand.own_part + EQUAL_WEIGHT * equal;
        let others = centres.saturating_sub(1);
        let left = if others > 0 { FAR_PART } else { 0.0 };
        let offered = demand.total.offered();
        let near_requests = offered * ages.near.as_secs_f64();
        Share {
            near: part * (1.0 - left),
            far: part * FAR_PART / others.max(1) as f64,
            near_age: ages.near,
            far_age: ages.far,
            own_requests: near_requests * demand.own_part,
            near_requests,
            // The other data centres are taken to be as large.
            far_requests: offered * ages.far.as_secs_f64() * others as f64,
            draw,
            begun: false,
        }
    }

    /// The share for a stream that has begun, which may use all of the room.
    #[must_use]
    pub fn for_begun(self, begun: bool) -> Share {
        Share { begun, ..self }
    }

    /// Part of the free room that the host takes of a busy engine in its data centre.
    pub fn part(&self) -> f64 {
        self.near
    }

    /// Time that reports about an engine do not cover.
    pub fn report_age(&self, near: bool) -> Duration {
        if near { self.near_age } else { self.far_age }
    }

    /// Room at an engine that this host may claim for a request: all that is free unless the engine
    /// is busy, or may be once the others' requests are reported.
    pub fn room(&self, near: bool, at: &Occupancy) -> f64 {
        let part = if near { self.near } else { self.far };
        if self.begun || part >= 1.0 || self.expected_fill(near, part, at) < BUSY {
            return at.free;
        }
        let free = at.free - self.reserve(near, at);
        let allowed = allowance(free, part, at.recent);
        if allowed >= at.request {
            return allowed.min(free);
        }
        // A host that seldom has a request for the engine takes its part when it has one.
        let expected = DRAW_FACTOR * self.own_requests * at.free_part;
        let any = if near { 1.0 - (-expected).exp() } else { 1.0 };
        let drawn = self.draw * any * at.request < allowed;
        if drawn { at.request.min(free) } else { allowed }
    }

    /// Room that is left for streams that have begun, and since what changes before it is reported
    /// varies by chance.
    fn reserve(&self, near: bool, at: &Occupancy) -> f64 {
        let requests = if near { self.near_requests } else { self.far_requests };
        let changes = requests.min(MAX_TURNOVER * at.capacity / at.request.max(f64::MIN_POSITIVE));
        (changes.sqrt() * at.request).max(BEGUN_RESERVE * at.capacity)
    }

    /// Occupancy, as a fraction, if the other hosts do what this one did and is about to do; they
    /// send no more than callers offer.
    fn expected_fill(&self, near: bool, part: f64, at: &Occupancy) -> f64 {
        let like_this_host = (at.recent.max(0.0) + at.request) / part.max(f64::MIN_POSITIVE);
        let requests = if near { self.near_requests } else { self.far_requests };
        let offered = requests * (CROWD_FACTOR * at.free_part).min(1.0) * at.request;
        (at.capacity - at.free + like_this_host.min(offered)) / at.capacity.max(1.0)
    }
}

/// A claim, or with negative values the end of one.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Instant,
    requests: f64,
    kv_used: f64,
}

/// Own changes at an engine that other hosts' reports may not cover yet.
#[derive(Clone, Debug, Default)]
pub struct RecentClaims {
    changes: VecDeque<Change>,
}

impl RecentClaims {
    /// Records a claim.
    pub fn claim(&mut self, kv_used: f64, now: Instant) {
        self.add(Change { at: now, requests: 1.0, kv_used });
    }

    /// Records the end of a claim. If it was made just before, it was refused and has changed
    /// nothing, so both are forgotten.
    pub fn end(&mut self, kv_used: f64, since: Instant, now: Instant) {
        let made = |change: &Change| {
            let refused = now.saturating_duration_since(since) < REFUSAL_TIME;
            refused && change.at == since && change.kv_used.total_cmp(&kv_used).is_eq()
        };
        match self.changes.iter().position(made) {
            Some(at) => drop(self.changes.remove(at)),
            None => self.add(Change { at: now, requests: -1.0, kv_used: -kv_used }),
        }
    }

    fn add(&mut self, change: Change) {
        let old = |first: &Change| change.at.saturating_duration_since(first.at) >= MAX_REPORT_AGE;
        while self.changes.front().is_some_and(old) {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Requests and KV cache claimed within `age`, less what ended.
    pub fn net(&self, age: Duration, now: Instant) -> (f64, f64) {
        let recent = |change: &&Change| now.saturating_duration_since(change.at) < age;
        self.changes
            .iter()
            .rev()
            .take_while(recent)
            .fold((0.0, 0.0), |sum, change| (sum.0 + change.requests, sum.1 + change.kv_used))
    }
}

/// The KV cache of an engine that turned out to be usable, by its refusals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsableRoom {
    kv: f64,
    at: Instant,
    /// Refusals in a row that came after some recovery.
    repeats: u32,
}

impl UsableRoom {
    /// What follows from a refusal by an engine where so much KV cache was counted, given what
    /// followed from earlier ones.
    pub fn after_refusal(earlier: Option<UsableRoom>, counted: f64, now: Instant) -> UsableRoom {
        let kv = REFUSED_FACTOR * counted;
        let Some(earlier) = earlier else { return UsableRoom { kv, at: now, repeats: 0 } };
        let again = now.saturating_duration_since(earlier.at) >= REPEAT_GAP;
        let repeats = (earlier.repeats + u32::from(again)).min(MAX_REPEATS);
        UsableRoom { kv: earlier.kv(now).min(kv), at: now, repeats }
    }

    fn kv(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.kv * (1.0 + RECOVERY_RATE / f64::from(1 + self.repeats) * age)
    }

    /// Usable part of an engine's KV cache.
    pub fn part(&self, capacity: f64, now: Instant) -> f64 {
        let part = self.kv(now) / capacity.max(1.0);
        if part.is_finite() { part.clamp(MIN_USABLE, 1.0) } else { 1.0 }
    }
}

/// A random number that stays the same for some time, so that a request that waits does not draw
/// again whenever it is looked at.
#[derive(Clone, Copy, Debug, Default)]
pub struct SteadyDraw {
    drawn: Option<(f64, Instant)>,
}

impl SteadyDraw {
    /// The current number; `fresh` is taken if the last one is older than `period`.
    pub fn get(&mut self, fresh: f64, period: Duration, now: Instant) -> f64 {
        let valid = |at: Instant| now.saturating_duration_since(at) < period;
        match self.drawn {
            Some((draw, at)) if valid(at) => draw,
            _ => {
                self.drawn = Some((fresh, now));
                fresh
            }
        }
    }
}
