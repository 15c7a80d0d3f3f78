//! A target's advertised limit, and the order among advertisements.
//!
//! Responses do not arrive in the order in which a target made them: the head of one that was
//! delayed is older than that of a later request. An advertised limit counts from the time of its
//! arrival, since it may have been made then. The absence of a limit counts from the time when the
//! request was sent: all that is certain is that the response was not made before that, and the
//! response to a request that was sent before the limit was advertised does not show that the limit
//! has ended.
//!
//! Each advertisement has an origin: a host and a sequence number. When it is forwarded from host
//! to host, its age shrinks a little with each hop. Therefore the last advertisement of each origin
//! is kept with the greatest age reported, and among advertisements of about the same time the
//! lowest limit applies. Two hosts that preferred the younger of two such advertisements would send
//! each other theirs, and accept them, forever.

use crate::gateway::hashes::TargetHash;
use crate::gateway::reports::LimitReport;
use crate::prelude::*;

/// Lowest limit, in requests per second. Only a response shows that a limit of 0 has ended, so such
/// a target is tried now and then.
const MIN_LIMIT: f64 = 0.2;
/// Highest limit, in requests per second; no target accepts as many.
const MAX_LIMIT: f64 = 100_000.0;
/// After a limit has ended, the rate that hosts may send doubles in each period of this length. All
/// hosts learn of the end within a moment, and a sudden return of all requests could trigger the
/// next limit.
const DOUBLING: Duration = Duration::from_millis(500);
/// Duration of the ramp, which ends at 64 times the limit, where it no longer restricts anything.
const RAMP_TIME: Duration = Duration::from_secs(3);

/// Advertisements at most this far apart are taken as simultaneous: forwarding may take this long,
/// including the wait for a busy host's next heartbeat.
const CONCURRENT_WINDOW: Duration = Duration::from_millis(250);
/// How long an advertisement is kept beside a newer one, so that it is recognised when it is
/// reported again.
const SUPERSEDED_RETENTION: Duration = Duration::from_secs(2);

/// An advertised limit, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Advertisement {
    /// Limit last advertised, in requests per second from all hosts together.
    limit: f64,
    /// Whether the target no longer advertises a limit.
    ended: bool,
    /// Time from which the advertisement counts.
    at: Instant,
    /// The host that received it from the target, and its sequence number there.
    origin: (u32, u32),
}

impl Advertisement {
    /// A limit advertised in a response that arrived at `at`.
    pub(super) fn limited(limit: f64, at: Instant, origin: (u32, u32)) -> Advertisement {
        let limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
        Advertisement { limit, ended: false, at, origin }
    }

    /// The end of this limit, by a response without a limit to a request sent at `sent`; `None` if
    /// that proves nothing.
    pub(super) fn ended_by(self, sent: Instant, origin: (u32, u32)) -> Option<Advertisement> {
        let shown = !self.ended && sent >= self.at;
        shown.then_some(Advertisement { ended: true, at: sent, origin, ..self })
    }

    /// Another host's report; `None` if it is invalid.
    pub(super) fn from_report(report: &LimitReport, now: Instant) -> Option<Advertisement> {
        let at = now.checked_sub(Duration::from_millis(u64::from(report.age)))?;
        let limit =
            Some(f64::from(report.limit)).filter(|limit| limit.is_finite() && *limit >= 0.0)?;
        Some(Advertisement {
            ended: report.ended,
            ..Advertisement::limited(limit, at, report.origin)
        })
    }

    /// The report for other hosts.
    pub(super) fn report(&self, target: TargetHash, wanted: u16, now: Instant) -> LimitReport {
        let age = now.saturating_duration_since(self.at).as_millis();
        LimitReport {
            target,
            limit: self.limit as f32,
            ended: self.ended,
            age: u32::try_from(age).unwrap_or(u32::MAX),
            origin: self.origin,
            wanted,
        }
    }

    /// The advertised limit; `None` once it has ended.
    pub(super) fn advertised_limit(&self) -> Option<f64> {
        (!self.ended).then_some(self.limit)
    }

    /// Requests per second that all hosts together may send now; `None` without a limit.
    pub(super) fn rate(&self, now: Instant) -> Option<f64> {
        if !self.ended {
            return Some(self.limit);
        }
        let since = now.saturating_duration_since(self.at);
        (since < RAMP_TIME).then(|| self.limit * since.div_duration_f64(DOUBLING).exp2())
    }
}

/// The last advertisements of several origins for one target; never empty.
#[derive(Clone, Debug)]
pub(super) struct Advertisements {
    current: Advertisement,
    all: Vec<Advertisement>,
}

impl Advertisements {
    pub(super) fn new(advertisement: Advertisement) -> Advertisements {
        Advertisements { current: advertisement, all: vec![advertisement] }
    }

    /// The advertisement that applies.
    pub(super) fn current(&self) -> Advertisement {
        self.current
    }

    /// Adds an advertisement and determines which one applies.
    pub(super) fn add(&mut self, advertisement: Advertisement) {
        let (host, number) = advertisement.origin;
        match self.all.iter_mut().find(|known| known.origin.0 == host) {
            Some(known) if known.origin.1 == number => known.at = known.at.min(advertisement.at),
            Some(known) if known.origin.1 < number => *known = advertisement,
            Some(_) => {}
            None => self.all.push(advertisement),
        }
        let Some(newest) = self.all.iter().map(|known| known.at).max() else { return };
        self.all.retain(|known| known.at + SUPERSEDED_RETENTION > newest);
        let concurrent = self.all.iter().filter(|known| known.at + CONCURRENT_WINDOW > newest);
        let lowest = |a: &&Advertisement, b: &&Advertisement| {
            let limits = a.limit.total_cmp(&b.limit);
            a.ended.cmp(&b.ended).then(limits).then(a.origin.cmp(&b.origin))
        };
        if let Some(advertisement) = concurrent.min_by(lowest) {
            self.current = *advertisement;
        }
    }
}
