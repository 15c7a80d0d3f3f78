//! Whether the configuration is still known to be the newest.
//!
//! A removed key must stop working within a bound that the operators set, even at a host that is
//! cut off from the store. So each host holds its configuration on a lease: it runs from the
//! *sending* of the last read that the store answered as current, for that bound less a margin.

use crate::prelude::*;

/// Share of the bound that is kept for requests in flight, clock drift and a late wake-up.
const MARGIN: f64 = 0.15;

/// The lease on the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigLease {
    duration: Duration,
    renewed: Option<Instant>,
}

impl ConfigLease {
    /// A lease that no read has renewed yet; `bound` is how long a removed key may still work.
    pub fn new(bound: Duration) -> ConfigLease {
        ConfigLease { duration: bound.mul_f64(1.0 - MARGIN), renewed: None }
    }

    /// Renews the lease after the store answered a read as current; `sent` is when that read was
    /// sent.
    pub fn renew(&mut self, sent: Instant) {
        self.renewed = self.renewed.max(Some(sent));
    }

    /// Whether keys of the configuration may be accepted.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.duration)
    }

    /// Time since the last read that renewed the lease was sent; `None` before the first.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.renewed.map(|at| now.saturating_duration_since(at))
    }
}
