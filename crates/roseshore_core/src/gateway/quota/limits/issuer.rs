//! Issues permits to the hosts of one data centre, from one token bucket per limited target.
//!
//! A bucket holds no more than may be sent at once, so however many hosts ask at the same time,
//! what they send stays within the limit. A new issuer starts with a single permit, since it does
//! not know what the former one has issued recently.

use super::TargetLimits;
use super::share::{PermitShare, RecentDemand, ShareInputs};
use crate::gateway::hashes::TargetHash;
use crate::gateway::peers::{Peers, PermitGrant, PermitRequest};
use crate::prelude::*;
use std::collections::HashMap;

/// Fraction of the bucket that is issued in addition to one permit. While there are plenty, this
/// spares a host's next requests the round trip; when there are few, each permit goes to a request
/// that waits for it.
const EXTRA_FRACTION: f64 = 0.125;
/// Shortest and longest time for which a host is told not to ask again. The shortest lets the
/// request of another host take the next permit.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// How long a host that asked one which is not, or no longer, the issuer does not ask again.
const NOT_ISSUER_BACKOFF: Duration = Duration::from_millis(100);
/// How long an unused bucket is kept.
const RETENTION: Duration = Duration::from_mins(1);

/// Permits for one target.
#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    filled: Instant,
    demand: RecentDemand,
}

/// Token buckets of all limited targets.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    buckets: HashMap<TargetHash, Bucket>,
}

impl Issuer {
    /// Answers a permit request from a host of the own data centre; `home` states whether the
    /// target is in it, too. The limit reported in the request must have been recorded before.
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

    /// Issues permits; `share` computes the data centre's share from the number of its recent
    /// permit requests.
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

    /// Recent permit requests for a target.
    pub fn demand(&self, target: TargetHash, now: Instant) -> u16 {
        self.buckets.get(&target).map_or(0, |bucket| bucket.demand.count(now))
    }

    /// Drops unused buckets.
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

    /// Time until there is another permit, within the bounds.
    fn wait(&self, rate: f64) -> Duration {
        let left = (1.0 - self.level).max(0.0) / rate;
        Duration::try_from_secs_f64(left)
            .unwrap_or(WAIT_BOUNDS.1)
            .clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1)
    }
}
