//! Recent history of the number of own requests in flight.
//!
//! A report describes the moment at which it was taken. Correcting it requires the number of own
//! requests that it already includes. The last two seconds are kept in steps of an eighth of a
//! second.

use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(125);
const STEPS: usize = 16;

/// A counter with its recent history.
#[derive(Clone, Debug, Default)]
pub struct InFlightHistory {
    current: u32,
    past: [u32; STEPS],
    newest: Option<Instant>,
}

impl InFlightHistory {
    /// Current count.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Changes the count at `now`.
    pub fn change(&mut self, now: Instant, by: i32) {
        self.advance(now);
        self.current = self.current.saturating_add_signed(by);
    }

    /// Count at an earlier time, or the oldest one kept.
    pub fn at_time(&mut self, time: Instant) -> u32 {
        let Some(newest) = self.newest else { return self.current };
        if time >= newest {
            return self.current;
        }
        let back = (newest - time).as_nanos() / STEP.as_nanos();
        self.past[(back as usize).min(STEPS - 1)]
    }

    /// Shifts the history; `past[0]` is the count just before `newest`.
    fn advance(&mut self, now: Instant) {
        let Some(newest) = self.newest else {
            self.newest = Some(now);
            return;
        };
        let steps = now.saturating_duration_since(newest).as_nanos() / STEP.as_nanos();
        let shift = (steps as usize).min(STEPS);
        if shift == 0 {
            return;
        }
        self.past.copy_within(..STEPS - shift, shift);
        self.past[..shift].fill(self.current);
        self.newest = Some(newest + STEP * (steps as u32));
    }
}
