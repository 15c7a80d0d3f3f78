//! The state of the weight store, without I/O: one queue at a fixed rate.

use roseshore_core::prelude::*;
use roseshore_wire::platform::Weights;

/// The queue of the weight store.
#[derive(Debug)]
pub struct WeightsState {
    rate: u64,
    free: Instant,
}

impl WeightsState {
    /// An idle store of so many bytes a second.
    pub fn new(rate: u64, now: Instant) -> WeightsState {
        WeightsState { rate: rate.max(1), free: now }
    }

    /// Queues a fetch and returns when its last byte is given.
    pub fn take(&mut self, bytes: u64, now: Instant) -> Instant {
        let takes = Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        self.free = self.free.max(now) + takes;
        self.free
    }

    /// The rate, and what is still to be given.
    pub fn report(&self, now: Instant) -> Weights {
        let left = self.free.saturating_duration_since(now).as_secs_f64();
        Weights { rate: self.rate, backlog: (left * self.rate as f64) as u64 }
    }
}
