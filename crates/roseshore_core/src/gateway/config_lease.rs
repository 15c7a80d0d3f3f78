//! Whether the configuration at hand is still known to be the newest.
//!
//! A removed key must not be honoured for long, not even by a host that is cut off from the store.
//! So each host holds its configuration on a lease: it runs from the *sending* of the last read
//! that the store answered as current, for the bound that the operators set, less a margin.

use crate::prelude::*;

/// Part of the bound that is kept for requests on their way, clocks' drift and a late wake-up.
const MARGIN: f64 = 0.15;

/// The lease on the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigLease {
    bound: Duration,
    proven: Option<Instant>,
}

impl ConfigLease {
    /// A lease that nothing has proven yet; `bound` is how long a removed key may still work.
    pub fn new(bound: Duration) -> ConfigLease {
        ConfigLease { bound: bound.mul_f64(1.0 - MARGIN), proven: None }
    }

    /// A read that was sent at `sent` was answered as current.
    pub fn renew(&mut self, sent: Instant) {
        self.proven = self.proven.max(Some(sent));
    }

    /// Whether keys may be honoured.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < self.bound)
    }

    /// Time since the last proof.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proven.map(|at| now.saturating_duration_since(at))
    }
}
