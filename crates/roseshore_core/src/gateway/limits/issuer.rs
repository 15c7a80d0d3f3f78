//! Issues permits for the hosts of one data centre, from one token bucket for each limited target.
//!
//! A bucket holds no more than may be sent at once, so however many hosts ask in one moment, what they send stays
//! within the limit. One that takes over begins with a single permit: what the host before it has issued of late
//! is not known.

use super::super::peers::{Peers, PermitGrant, PermitRequest, TargetHash};
use super::TargetLimits;
use super::share::{PermitShare, RecentDemand, ShareInputs};
use crate::prelude::*;
use std::collections::HashMap;

/// Part of a bucket that is added to one permit. While there is plenty, the next requests of a host need not ask;
/// when permits are short, each is for a request that waits for it.
const EXTRA_FRACTION: f64 = 0.125;
/// The longest and shortest time for which a host is told not to ask again. Within the shortest one another host's
/// request takes the next permit.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// How long who asks a host that does not issue permits, or not any more, asks no more.
const NOT_ISSUER_BACKOFF: Duration = Duration::from_millis(100);
/// How long a bucket is kept that nobody asks.
const RETENTION: Duration = Duration::from_mins(1);

/// The permits for one target.
#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    filled: Instant,
    demand: RecentDemand,
}

/// The buckets of all limited targets.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    buckets: HashMap<TargetHash, Bucket>,
}

impl Issuer {
    /// The answer to a host of the own data centre that asks for a permit; `home` says whether the target is in
    /// this data centre, too. The word that the question bears has been taken before.
    pub fn answer(
        &mut self,
        ask: &PermitRequest,
        limits: &TargetLimits,
        peers: &Peers,
        home: bool,
        now: Instant,
    ) -> PermitGrant {
        let (target, number) = (ask.limit.target, ask.number);
        if peers.rank_in_centre(now) > 0 {
            let wait = NOT_ISSUER_BACKOFF.as_millis() as u16;
            return PermitGrant { target, number, permits: 0, wait };
        }
        let Some(limit) = limits.rate(target, now) else {
            return PermitGrant { target, number, permits: 1, wait: 0 };
        };
        let others = peers.remote_demand(target);
        let heard = peers.heard_share(now);
        let share =
            |own| PermitShare::of(limit, &ShareInputs { own, others: &others, home, heard });
        self.issue(target, number, now, share)
    }

    /// A host asks for a permit. `share` says what may be issued where so much was asked for.
    pub fn issue(
        &mut self,
        target: TargetHash,
        number: u64,
        now: Instant,
        share: impl FnOnce(u16) -> PermitShare,
    ) -> PermitGrant {
        let fresh = || Bucket { level: 1.0, filled: now, demand: RecentDemand::default() };
        let bucket = self.buckets.entry(target).or_insert_with(fresh);
        bucket.demand.add(now);
        let share = share(bucket.demand.count(now));
        bucket.fill(share, now);
        let permits = bucket.issue();
        let wait = if permits == 0 { bucket.wait(share.rate) } else { Duration::ZERO };
        PermitGrant { target, number, permits, wait: wait.as_millis() as u16 }
    }

    /// What was asked for of late.
    pub fn demand(&self, target: TargetHash, now: Instant) -> u16 {
        self.buckets.get(&target).map_or(0, |bucket| bucket.demand.count(now))
    }

    /// Forgets buckets that nobody asks.
    pub fn expire(&mut self, now: Instant) {
        self.buckets.retain(|_, b| now.saturating_duration_since(b.filled) < RETENTION);
    }
}

impl Bucket {
    fn fill(&mut self, share: PermitShare, now: Instant) {
        let time = now.saturating_duration_since(self.filled).as_secs_f64();
        self.level = (self.level + share.rate * time).min(share.burst);
        self.filled = now;
    }

    fn issue(&mut self) -> u16 {
        if self.level < 1.0 {
            return 0;
        }
        let issued = 1.0 + (self.level * EXTRA_FRACTION).floor();
        self.level -= issued;
        issued as u16
    }

    /// The time until there is another permit.
    fn wait(&self, rate: f64) -> Duration {
        let left = (1.0 - self.level).max(0.0) / rate;
        Duration::try_from_secs_f64(left)
            .unwrap_or(WAIT_BOUNDS.1)
            .clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1)
    }
}
