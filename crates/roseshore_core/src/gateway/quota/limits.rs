//! Limits that targets advertise for all hosts together.
//!
//! An overloaded target states in its responses how many requests per second it accepts from all
//! hosts. No host sees the total, so none can obey the limit by its own count: hosts that each kept
//! to the limit alone would together send several times as much. Therefore the first host of each
//! data centre issues permits from one token bucket per target ([`issuer`]), and a host that wants
//! to send there requests a permit, which takes a millisecond or two. Data centres divide the limit
//! in proportion to their hosts' recent permit requests ([`share`]).
//!
//! Permits are requested one at a time, since most hosts send few requests to a given target.
//! Permits dealt out in advance, a part of the limit to each host, would sit unused at hosts that
//! have no requests for them. The issuer is the first host by rank, as for other roles, and holds
//! no state that must outlive it.
//!
//! What a target has advertised is forwarded to the other hosts (`advertisement`), so that a host
//! which has not received it from the target obeys it, too.

mod advertisement;
pub mod issuer;
pub mod share;

use crate::gateway::hashes::TargetHash;
use crate::gateway::peers::{PermitGrant, PermitRequest};
use crate::gateway::reports::LimitReport;
use crate::prelude::*;
use advertisement::{Advertisement, Advertisements};
pub use issuer::Issuer;
pub use share::{PermitShare, RecentDemand};
use std::collections::HashMap;

/// How long an unused permit is valid. It delays less than a second's worth of the target's limit.
const PERMIT_VALIDITY: Duration = Duration::from_secs(1);
/// How long no permit is requested after a request without a reply: the issuer is busy, or down.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(200);
/// How long the limit of a target that is unknown, or no longer known, is kept. Entries that lapsed
/// are back within seconds.
const RETENTION: Duration = Duration::from_mins(1);
/// Relative change of a limit up to which it is not logged.
const LOGGED_CHANGE: f64 = 0.1;

/// The limit that a response advertises.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// The response advertises no limit.
    #[default]
    None,
    /// Requests per second that the target accepts from all hosts together; finite and not
    /// negative.
    Limit(f64),
    /// The limit cannot be parsed, which shows neither that there is a limit nor that there is
    /// none.
    Unreadable,
}

/// Whether the limit of a target allows a request to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The target has no limit.
    Unlimited,
    /// This host holds a permit.
    Held,
    /// A permit must be requested from the issuer.
    Ask,
    /// The issuer has recently refused a permit, or does not reply.
    None,
}

/// A change of a limit, in requests per second; `None` stands for no limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit before the change.
    pub before: Option<f64>,
    /// Limit after the change.
    pub after: Option<f64>,
}

/// What this host knows about one target's limit.
#[derive(Clone, Debug)]
struct LimitState {
    advertisements: Advertisements,
    /// When the limit was last advertised to this host or reported to it.
    last_heard: Instant,
    /// Number of unused permits, and the end of their validity.
    permits: u32,
    valid_until: Instant,
    /// When permits may be requested again.
    backoff_until: Instant,
}

/// Limits of all targets, by incarnation.
#[derive(Clone, Debug)]
pub struct TargetLimits {
    /// Identifies this host as the origin of advertisements.
    origin: u32,
    /// Sequence number of this host's latest advertisement.
    number: u32,
    all: HashMap<TargetHash, LimitState>,
    /// Counts the heartbeats that had room for only some of the limits.
    turn: usize,
}

impl TargetLimits {
    /// Creates an empty set of limits; `origin` identifies this process.
    pub fn new(origin: u32) -> TargetLimits {
        TargetLimits { origin, number: 0, all: HashMap::new(), turn: 0 }
    }

    /// Records a limit that a target advertised in a response received at `now`. Returns the change
    /// if it is significant.
    pub fn advertised(
        &mut self,
        target: TargetHash,
        limit: f64,
        now: Instant,
    ) -> Option<LimitChange> {
        self.number += 1;
        self.apply(target, Advertisement::limited(limit, now, (self.origin, self.number)), now)
    }

    /// Records that a target advertised no limit in the response to a request sent at `sent`.
    /// Returns the change if it is significant.
    pub fn not_advertised(
        &mut self,
        target: TargetHash,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let known = self.all.get(&target)?.advertisements.current();
        self.number += 1;
        let advertisement = known.ended_by(sent, (self.origin, self.number))?;
        self.apply(target, advertisement, now)
    }

    /// Records another host's report of a limit. Returns the change if it is significant.
    pub fn receive(&mut self, report: &LimitReport, now: Instant) -> Option<LimitChange> {
        self.apply(report.target, Advertisement::from_report(report, now)?, now)
    }

    fn apply(
        &mut self,
        target: TargetHash,
        advertisement: Advertisement,
        now: Instant,
    ) -> Option<LimitChange> {
        if let Some(known) = self.all.get_mut(&target) {
            known.last_heard = now;
            let before = known.advertisements.current().advertised_limit();
            known.advertisements.add(advertisement);
            return LimitChange {
                before,
                after: known.advertisements.current().advertised_limit(),
            }
            .significant();
        }
        advertisement.rate(now)?;
        let advertisements = Advertisements::new(advertisement);
        let state = LimitState {
            advertisements,
            last_heard: now,
            permits: 0,
            valid_until: now,
            backoff_until: now,
        };
        self.all.insert(target, state);
        LimitChange { before: None, after: advertisement.advertised_limit() }.significant()
    }

    /// Requests per second that a target accepts from all hosts now; `None` without a limit.
    pub fn rate(&self, target: TargetHash, now: Instant) -> Option<f64> {
        self.all.get(&target)?.rate(now)
    }

    /// Whether the limit of a target allows a request to be sent.
    pub fn permit(&self, target: TargetHash, now: Instant) -> Permit {
        let Some(known) = self.all.get(&target).filter(|known| known.rate(now).is_some()) else {
            return Permit::Unlimited;
        };
        if known.permits > 0 && now < known.valid_until {
            Permit::Held
        } else if now < known.backoff_until {
            Permit::None
        } else {
            Permit::Ask
        }
    }

    /// Targets to which nothing may be sent now.
    pub fn without_permit(&self, now: Instant) -> impl Iterator<Item = TargetHash> {
        let none = move |target: &TargetHash| self.permit(*target, now) == Permit::None;
        self.all.keys().copied().filter(none)
    }

    /// Uses up a permit for a request to a target. Returns whether it may be sent.
    pub fn consume(&mut self, target: TargetHash, now: Instant) -> bool {
        match self.permit(target, now) {
            Permit::Unlimited => true,
            Permit::Held => {
                self.all.entry(target).and_modify(|known| known.permits -= 1);
                true
            }
            Permit::Ask | Permit::None => false,
        }
    }

    /// Builds a permit request; `None` if the target's limit is unknown.
    pub fn permit_request(
        &self,
        target: TargetHash,
        number: u64,
        now: Instant,
    ) -> Option<PermitRequest> {
        let advertisement = self.all.get(&target)?.advertisements.current();
        Some(PermitRequest { number, limit: advertisement.report(target, 0, now) })
    }

    /// Applies the issuer's reply.
    pub fn apply_grant(&mut self, grant: &PermitGrant, now: Instant) {
        let Some(known) = self.all.get_mut(&grant.target) else { return };
        if now >= known.valid_until {
            known.permits = 0;
        }
        if grant.permits > 0 {
            known.permits += u32::from(grant.permits);
            known.valid_until = now + PERMIT_VALIDITY;
        }
        known.backoff_until = now + Duration::from_millis(u64::from(grant.wait));
    }

    /// Records that the issuer did not reply.
    pub fn request_failed(&mut self, target: TargetHash, now: Instant) {
        if let Some(known) = self.all.get_mut(&target) {
            known.backoff_until = now + UNANSWERED_BACKOFF;
        }
    }

    /// Up to `most` limits to report to other hosts, different ones with each turn. `wanted` gives
    /// the permit requests that this host has got as the issuer, or `None` for a target that must
    /// not be reported.
    pub fn reports(
        &mut self,
        most: usize,
        wanted: impl Fn(TargetHash) -> Option<u16>,
        now: Instant,
    ) -> Vec<LimitReport> {
        let lasting = self.all.iter().filter(|(_, known)| known.rate(now).is_some());
        let report = |(target, known): (&TargetHash, &LimitState)| {
            Some(known.advertisements.current().report(*target, wanted(*target)?, now))
        };
        let mut reports: Vec<LimitReport> = lasting.filter_map(report).collect();
        reports.sort_unstable_by_key(|report| report.target);
        if reports.len() > most {
            self.turn = self.turn.wrapping_add(1);
            let first = (self.turn * most) % reports.len();
            reports.rotate_left(first);
            reports.truncate(most);
        }
        reports
    }

    /// Drops limits that have ended, and those of incarnations that are no longer `known`.
    pub fn expire(&mut self, known: impl Fn(TargetHash) -> bool, now: Instant) {
        self.all.retain(|target, state| {
            let expired = now.saturating_duration_since(state.last_heard) >= RETENTION;
            let lasts = state.rate(now).is_some();
            if known(*target) { lasts || !expired } else { !expired }
        });
    }
}

impl LimitState {
    fn rate(&self, now: Instant) -> Option<f64> {
        self.advertisements.current().rate(now)
    }
}

impl LimitChange {
    /// Returns the change if it is large enough to be logged.
    fn significant(self) -> Option<LimitChange> {
        let small = match (self.before, self.after) {
            (Some(before), Some(after)) => (after - before).abs() <= LOGGED_CHANGE * before,
            (None, None) => true,
            _ => false,
        };
        (!small).then_some(self)
    }
}
