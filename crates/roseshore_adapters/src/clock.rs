//! System clock that includes the time during which the host is suspended.
//!
//! [`Instant::now`] reads the monotonic clock, which stops while the host is suspended. After
//! resuming, all state of the host would look as fresh as before: an expired configuration lease, a
//! key that has been taken over in the meantime, a peer that has left.

use roseshore_ports::clock::Clock;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime};

/// Time since the host booted, including suspended time.
fn boottime() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    // Neither part is negative, since the clock starts from zero at boot.
    Duration::new(at.tv_sec.unsigned_abs(), at.tv_nsec.unsigned_abs() as u32)
}

/// Clock that returns the [`Instant`] of its creation plus the time since boot that has passed since
/// then, including suspended time.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    start_since_boot: Duration,
    since_boot: fn() -> Duration,
}

impl BootClock {
    /// Creates a clock that reads the boot time of the operating system.
    pub fn new() -> BootClock {
        BootClock::with_source(boottime)
    }

    /// Creates a clock that calls `since_boot` for the time since boot.
    pub fn with_source(since_boot: fn() -> Duration) -> BootClock {
        BootClock { start: Instant::now(), start_since_boot: since_boot(), since_boot }
    }
}

impl Default for BootClock {
    fn default() -> BootClock {
        BootClock::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.start + (self.since_boot)().saturating_sub(self.start_since_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
