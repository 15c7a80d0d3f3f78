//! How late a loop that was busy looks at what came.
//!
//! A caller's time runs from when its request came, not from when a host of little processor time
//! looked at it. A host that stood still for two seconds passed requests on whose callers had waited
//! their whole time, and gave each of them its whole time anew.

use crate::prelude::*;

/// A wait that is over sooner found what was there before it began.
const AT_ONCE: Duration = Duration::from_millis(1);

/// One look at the sockets.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// When the look before this one ended.
    pub before: Instant,
    /// When this one began to wait.
    pub began: Instant,
    /// When it ended.
    pub ended: Instant,
}

impl Look {
    /// The earliest moment at which what it found may have come.
    pub fn earliest(&self) -> Instant {
        let waited = self.ended.saturating_duration_since(self.began) >= AT_ONCE;
        if waited { self.ended } else { self.before }
    }
}
