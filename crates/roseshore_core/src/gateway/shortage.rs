//! How long capacity has been short, and when a refused caller should try again.

use crate::prelude::*;

/// The shortest time after which a caller should try again while targets are missing or full: a gap
/// in the layers is found and filled in two to three seconds, and by then the answers that fill the
/// caches have ended.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(2400);
/// The longest such time. Callers wait for at most a third of the time that they have left.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(9);
/// After this time without a refusal, the next one begins another shortage.
const SHORTAGE_END: Duration = Duration::from_secs(2);

/// Tracks how long one host has refused requests for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    since: Option<Instant>,
    latest: Option<Instant>,
}

impl Shortage {
    /// Records a refusal and returns the time after which the caller should try again. Nothing
    /// tells when a shortage ends, but a long one is seldom over soon: callers who always waited
    /// for the same time would be refused again more often.
    pub fn record_refusal(&mut self, now: Instant) -> Duration {
        let ongoing =
            self.latest.is_some_and(|at| now.saturating_duration_since(at) <= SHORTAGE_END);
        let since = self.since.filter(|_| ongoing).unwrap_or(now);
        (self.since, self.latest) = (Some(since), Some(now));
        (MIN_RETRY_AFTER + now.saturating_duration_since(since)).min(MAX_RETRY_AFTER)
    }
}
