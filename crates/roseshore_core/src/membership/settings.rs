//! Timing of membership.

use std::time::Duration;

/// Intervals and timeouts of membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Shortest interval between heartbeats; see [`Settings::period`].
    pub period: Duration,
    /// Interval per peer, which applies in large data centres so that the traffic does not grow with
    /// the square of the number of daemons.
    pub per_peer: Duration,
    /// Silence in heartbeat intervals after which a daemon of the own data centre is suspected.
    pub suspect_periods: f32,
    /// Silence after which a daemon is gone if it is not in the host list.
    pub gone_unlisted: Duration,
    /// Silence after which a daemon is gone even if it is in the host list.
    pub gone_listed: Duration,
    /// Shortest interval between digests of two data centres; see [`Settings::digest_period`].
    pub digest_interval: Duration,
    /// Digest interval per other data centre, which applies if there are many.
    pub per_centre: Duration,
    /// Longest gap between two events that does not count as a pause of this process.
    pub pause_threshold: Duration,
    /// How long the view is stale after a start or a pause.
    pub settle_time: Duration,
    /// How long incarnations and leaving hosts are remembered after the last heartbeat or listing.
    pub retention: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: Duration::from_millis(200),
            per_peer: Duration::from_millis(28),
            suspect_periods: 3.0,
            gone_unlisted: Duration::from_secs(10),
            gone_listed: Duration::from_mins(1),
            digest_interval: Duration::from_secs(2),
            per_centre: Duration::from_secs(1),
            pause_threshold: Duration::from_millis(500),
            settle_time: Duration::from_millis(600),
            retention: Duration::from_hours(24),
        }
    }
}

/// Silence after which daemons of a data centre change their state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub(super) suspect: Duration,
    pub(super) gone_unlisted: Duration,
    pub(super) gone_listed: Duration,
}

/// Silence in digest intervals after which a daemon of another data centre is suspected.
const SUSPECT_DIGESTS: u32 = 3;

impl Settings {
    /// Interval between heartbeats to each of `peers` other daemons.
    pub fn period(&self, peers: usize) -> Duration {
        self.period.max(self.per_peer * peers as u32)
    }

    /// Bounds for the own data centre with `peers` other daemons.
    pub(super) fn local_bounds(&self, peers: usize) -> Bounds {
        let suspect = self.period(peers).mul_f32(self.suspect_periods);
        Bounds { suspect, gone_unlisted: self.gone_unlisted, gone_listed: self.gone_listed }
    }

    /// Interval between digests with each of `centres` other data centres.
    pub fn digest_period(&self, centres: usize) -> Duration {
        self.digest_interval.max(self.per_centre * centres as u32)
    }

    /// Bounds for `centres` other data centres.
    pub(super) fn remote_bounds(&self, centres: usize) -> Bounds {
        let suspect = self.digest_period(centres) * SUSPECT_DIGESTS;
        Bounds {
            suspect,
            gone_unlisted: self.gone_unlisted.max(suspect * 2),
            gone_listed: self.gone_listed.max(suspect * 4),
        }
    }
}
