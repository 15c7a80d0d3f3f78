//! The state of the weight store, without I/O: one queue with a fixed transfer rate.

use roseshore_core::prelude::*;
use roseshore_wire::platform::Weights;

/// The transfer queue of the weight store.
#[derive(Debug)]
pub struct WeightsState {
    rate: u64,
    free: Instant,
}

impl WeightsState {
    /// Creates an idle store with a rate in bytes per second.
    pub fn new(rate: u64, now: Instant) -> WeightsState {
        WeightsState { rate: rate.max(1), free: now }
    }

    /// Queues a transfer and returns the time at which it is complete.
    pub fn take(&mut self, bytes: u64, now: Instant) -> Instant {
        let takes = Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        self.free = self.free.max(now) + takes;
        self.free
    }

    /// The rate and the bytes that are still queued.
    pub fn report(&self, now: Instant) -> Weights {
        let left = self.free.saturating_duration_since(now).as_secs_f64();
        Weights { rate: self.rate, backlog: (left * self.rate as f64) as u64 }
    }
}
