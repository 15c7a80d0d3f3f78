//! How long callers of streams stay without an event.
//!
//! A stream that has begun and has no target with room is kept as long as its caller stays: broken off earlier it is
//! lost although room may come, and kept longer nobody hears its end.

use super::routes::Route;
use crate::prelude::*;

/// A caller stays at least so long after the last event.
const LEAST: Duration = Duration::from_secs(2);
/// It also stays for so many times its route's objective, and for so many of the longest pauses that are in time.
const OBJECTIVES: u32 = 4;
const PAUSES: u32 = 8;
/// For the next event to reach it once there is room: a connection, and reading the prompt and what was written.
const TO_GO_ON: Duration = Duration::from_millis(200);

/// How long a route's callers stay without an event.
pub fn borne(route: &Route) -> Duration {
    let pauses = route.pause.unwrap_or_default().saturating_mul(PAUSES);
    LEAST.max(route.objective.saturating_mul(OBJECTIVES)).max(pauses)
}

/// Until when a stream whose last event was passed on at `latest` is kept without a target.
pub fn kept_until(route: &Route, latest: Instant) -> Instant {
    latest + borne(route).saturating_sub(TO_GO_ON)
}
