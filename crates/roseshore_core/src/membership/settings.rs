//! The bounds of membership.

use std::time::Duration;

/// How long silence means what.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Heartbeats in a small data centre come this often; see [`Settings::period`].
    pub period: Duration,
    /// What each further peer adds to the period, so that traffic does not grow with the square.
    pub spread: Duration,
    /// Silence, in periods, after which a daemon of the own data centre is suspected.
    pub misses: f32,
    /// Silence after which a daemon is gone if the host list does not know it either.
    pub gone: Duration,
    /// Silence after which it is gone, whatever the list says.
    pub longest: Duration,
    /// How often two data centres exchange digests; see [`Settings::digest_period`].
    pub digest: Duration,
    /// What each further data centre adds to that period.
    pub digest_spread: Duration,
    /// A gap between two events longer than this was a pause of this process.
    pub pause: Duration,
    /// How long after a start or a pause the view is not relied on.
    pub settle: Duration,
    /// How long incarnations and leaving hosts are remembered after they were last heard of or listed.
    pub remember: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: Duration::from_millis(200),
            spread: Duration::from_millis(28),
            misses: 3.0,
            gone: Duration::from_secs(10),
            longest: Duration::from_mins(1),
            digest: Duration::from_secs(2),
            digest_spread: Duration::from_secs(1),
            pause: Duration::from_millis(500),
            settle: Duration::from_millis(600),
            remember: Duration::from_hours(24),
        }
    }
}

/// The bounds of one data centre's daemons.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub(super) suspect: Duration,
    pub(super) gone: Duration,
    pub(super) longest: Duration,
}

/// Digests that may be lost before the daemons of another data centre are suspected.
const FAR_MISSES: u32 = 3;

impl Settings {
    /// How often heartbeats are sent to each of `peers` others.
    pub fn period(&self, peers: usize) -> Duration {
        self.period.max(self.spread * peers as u32)
    }

    /// The bounds in the own data centre with `peers` others in it.
    pub(super) fn near(&self, peers: usize) -> Bounds {
        let suspect = self.period(peers).mul_f32(self.misses);
        Bounds { suspect, gone: self.gone, longest: self.longest }
    }

    /// How often digests are exchanged with each of `centres` other data centres.
    pub fn digest_period(&self, centres: usize) -> Duration {
        self.digest.max(self.digest_spread * centres as u32)
    }

    /// The bounds in the other data centres, `centres` of them.
    pub(super) fn far(&self, centres: usize) -> Bounds {
        let suspect = self.digest_period(centres) * FAR_MISSES;
        Bounds { suspect, gone: self.gone.max(suspect * 2), longest: self.longest.max(suspect * 4) }
    }
}
