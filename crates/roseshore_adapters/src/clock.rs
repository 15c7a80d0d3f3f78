//! The system's clock that counts suspended time.
//!
//! [`Instant::now`] reads the steady clock, which stands still while the machine is suspended. All that a
//! host holds then looks as fresh after it as before: a lease on the configuration that ran out, a key taken
//! away meanwhile, a neighbour that is gone.

use roseshore_ports::clock::Clock;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime};

/// Time since the machine was started, suspended time included.
fn since_boot() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    // Neither part of a time since the start is negative.
    Duration::new(at.tv_sec.unsigned_abs(), at.tv_nsec.unsigned_abs() as u32)
}

/// The time since the machine's start as instants: those of the steady clock at its making, moved on by
/// what has passed since.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    made: Instant,
    made_at: Duration,
    read: fn() -> Duration,
}

impl BootClock {
    /// The system's.
    pub fn new() -> BootClock {
        BootClock::reading(since_boot)
    }

    /// One that reads the time since the start elsewhere.
    pub fn reading(read: fn() -> Duration) -> BootClock {
        BootClock { made: Instant::now(), made_at: read(), read }
    }
}

impl Default for BootClock {
    fn default() -> BootClock {
        BootClock::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.made + (self.read)().saturating_sub(self.made_at)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
