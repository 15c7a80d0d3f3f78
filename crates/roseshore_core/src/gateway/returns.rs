//! When refused callers should come back.
//!
//! Callers that are refused in a burst and all told the same time come back as a burst. Here each
//! refused caller takes the next slot of a schedule instead, the first refused the first slot, and
//! slots are as far apart as the room for returns needs that the data centre's engines free: what
//! they are measured to end, this host's part of it, and of that a part, since new callers come
//! meanwhile. Each rank has a schedule of its own; a slot moves those of lower ranks back.
//!
//! Callers wait for at most a third of the time that they have left. Who finds no slot within it is
//! spread over the end of that third and takes none.

use super::demand::{CentreDemand, Rank};
use super::fingerprint::Fingerprint;
use crate::prelude::*;
use std::collections::{BTreeMap, VecDeque};

mod ages;
pub use ages::{CallerAges, RETURNED_AGE};

/// Part of the ended work whose room is kept for callers that come back.
const RETURN_PART: f64 = 0.25;
/// Shortest and longest time to come back while paths have room: another host may send the request.
const MIN_AFTER: Duration = Duration::from_millis(300);
const MAX_AFTER: Duration = Duration::from_millis(400);
/// Shortest time to come back from a shortage, besides as long as it has lasted: nothing tells when
/// one ends, but a long one is seldom over soon. A gap in the layers is filled in two to three
/// seconds.
const MIN_AFTER_SHORTAGE: Duration = Duration::from_millis(2400);
/// Longest time from one slot to the next.
const MAX_SPACING: Duration = Duration::from_secs(3);
/// Part of its remaining time that a caller waits for at most.
const WAITED_PART: f64 = 1.0 / 3.0;
/// After this time without a refusal the shortage is over and its schedule lapses.
const SHORTAGE_END: Duration = Duration::from_secs(2);
/// Offered work above this multiple of the ended work shows that the engines' drain is what limits.
const OVERLOAD_RATIO: f64 = 1.1;
/// Smallest and largest work of one request that is counted, in mean requests.
const WORK_BOUNDS: (f64, f64) = (0.05, 20.0);
/// Largest drain that is believed, mean requests a second.
const MAX_DRAIN: f64 = 1e6;
/// Most ranks with a schedule of their own; lower ones share the last.
const MAX_RANKS: usize = 16;
/// Most callers whose slots are remembered.
const MAX_KEPT: usize = 256;

/// Why a caller is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lack {
    /// Another send: paths have room, but this host may not send the request again.
    Send,
    /// Engines that could run the request are full.
    Room,
    /// No path of engines in use exists.
    Path,
}

/// A caller that is refused.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCaller {
    /// Its request; the same one keeps its slot if it comes back early.
    pub request: Fingerprint,
    /// Its rank.
    pub rank: Rank,
    /// Work of its request, mean requests.
    pub work: f64,
    /// Time until its deadline.
    pub remaining: Duration,
    /// What it is refused for.
    pub lack: Lack,
}

/// When a refused caller should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Return {
    /// Time until then.
    pub after: Duration,
    /// Start of its slot; `None` if the drain is not known or no slot was left in time.
    pub slot: Option<Duration>,
}

/// The schedule of one host.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// Next free slot by rank.
    next: BTreeMap<Rank, Instant>,
    /// Slots of the latest callers.
    kept: VecDeque<(Fingerprint, Instant)>,
    /// When the shortage began, and the latest refusal.
    since: Option<Instant>,
    latest: Option<Instant>,
}

impl Returns {
    /// The time after which a caller that is refused now should come back; `draw` is a random
    /// number from 0 to 1.
    pub fn after(
        &mut self,
        caller: &RefusedCaller,
        demand: &CentreDemand,
        now: Instant,
        draw: f64,
    ) -> Return {
        let draw = if draw.is_finite() { draw.clamp(0.0, 1.0) } else { 0.5 };
        let limit = longest_wait(caller.remaining);
        if caller.lack == Lack::Send {
            return Return { after: unplanned(Lack::Send, limit, draw), slot: None };
        }
        let age = self.record_refusal(now);
        let Some(drain) = Drain::of(demand) else {
            return Return { after: unplanned(caller.lack, limit, draw), slot: None };
        };
        if let Some(at) = self.kept_slot(caller.request, now) {
            let left = at.saturating_duration_since(now);
            return Return { after: left.min(limit), slot: Some(left) };
        }
        let min = (MIN_AFTER_SHORTAGE + age).min(limit / 2);
        let slot = self.next_slot(caller.rank, now + min);
        let spacing = drain.spacing(caller.work);
        let after = slot.saturating_duration_since(now) + spacing.max(min / 4).mul_f64(draw);
        if after > limit {
            return Return { after: spread(limit / 2, limit, draw), slot: None };
        }
        self.take_slot(caller.rank, slot + spacing);
        if self.kept.len() >= MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((caller.request, now + after));
        Return { after, slot: Some(slot.saturating_duration_since(now)) }
    }

    /// Whether nobody was refused for `time`.
    pub fn quiet_for(&self, time: Duration, now: Instant) -> bool {
        self.latest.is_none_or(|at| now.saturating_duration_since(at) >= time)
    }

    /// Records a refusal; returns how long the shortage has lasted. Its end drops the schedule.
    fn record_refusal(&mut self, now: Instant) -> Duration {
        if self.quiet_for(SHORTAGE_END, now) {
            *self = Returns { since: Some(now), ..Returns::default() };
        }
        self.latest = Some(now);
        self.since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// The slot that a request has which comes back before it. Each is found once, so that many
    /// callers with the same request do not all come back in one slot.
    fn kept_slot(&mut self, request: Fingerprint, now: Instant) -> Option<Instant> {
        let place = self.kept.iter().position(|(kept, at)| *kept == request && *at > now)?;
        self.kept.remove(place).map(|(_, at)| at)
    }

    /// The next slot of a rank: behind all that higher ranks have taken.
    fn next_slot(&self, rank: Rank, earliest: Instant) -> Instant {
        let taken = self.next.range(..=rank).map(|(_, at)| *at).max();
        taken.map_or(earliest, |at| at.max(earliest))
    }

    /// Takes a slot up to `end`, which moves the next ones of lower ranks behind it.
    fn take_slot(&mut self, rank: Rank, end: Instant) {
        let full = self.next.len() >= MAX_RANKS && !self.next.contains_key(&rank);
        let last = self.next.last_key_value().map(|(last, _)| *last);
        let rank = last.filter(|_| full).unwrap_or(rank);
        self.next.insert(rank, end);
    }
}

impl Lack {
    /// Its name for a log line.
    pub fn name(self) -> &'static str {
        match self {
            Lack::Send => "send",
            Lack::Room => "room",
            Lack::Path => "path",
        }
    }
}

/// The drain of engines as far as this host may count on it.
struct Drain {
    /// Mean requests a second for callers of this host that come back.
    rate: f64,
    /// Whether callers offer more than is ended, so that the drain limits them.
    overloaded: bool,
}

impl Drain {
    /// `None` if nothing is known.
    fn of(demand: &CentreDemand) -> Option<Drain> {
        let ended = f64::from(demand.total.ended);
        let offered = demand.total.offered();
        let rate = ended * demand.own_part.clamp(0.0, 1.0) * RETURN_PART;
        let known = rate.is_finite() && rate > 0.0 && offered.is_finite();
        let overloaded = offered > ended * OVERLOAD_RATIO;
        known.then(|| Drain { rate: rate.min(MAX_DRAIN), overloaded })
    }

    /// Time from the slot of a request of this work to the next slot.
    fn spacing(&self, work: f64) -> Duration {
        if !self.overloaded {
            return Duration::ZERO;
        }
        let work = if work.is_finite() { work.clamp(WORK_BOUNDS.0, WORK_BOUNDS.1) } else { 1.0 };
        Duration::try_from_secs_f64(work / self.rate).map_or(MAX_SPACING, |it| it.min(MAX_SPACING))
    }
}

/// The longest that a caller with this much time left waits before it comes back.
pub fn longest_wait(remaining: Duration) -> Duration {
    remaining.mul_f64(WAITED_PART)
}

/// A time to come back when nothing is known of the drain, within `limit`.
fn unplanned(lack: Lack, limit: Duration, draw: f64) -> Duration {
    let (min, most) = match lack {
        Lack::Send => (MIN_AFTER, MAX_AFTER),
        Lack::Room | Lack::Path => (MIN_AFTER_SHORTAGE, MIN_AFTER_SHORTAGE * 2),
    };
    spread(min, limit.min(most), draw)
}

/// A time between two; within the last half of the later one if that comes first.
fn spread(from: Duration, to: Duration, draw: f64) -> Duration {
    let from = if from < to { from } else { to / 2 };
    from + to.saturating_sub(from).mul_f64(draw)
}
