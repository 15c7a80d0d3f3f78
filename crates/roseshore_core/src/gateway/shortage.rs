//! How long room has been short, and when a refused caller should come back.

use crate::prelude::*;

/// The shortest time to come back while targets are missing or full: a hole in the layers is found
/// and filled in two to three seconds, and by then the answers that fill the caches are done.
const LEAST: Duration = Duration::from_millis(2400);
/// The longest time that is asked for. Callers keep to a third of the time that they have left.
const MOST: Duration = Duration::from_secs(9);
/// Without a refusal for so long, the next one begins another shortage.
const OVER: Duration = Duration::from_secs(2);

/// The refusals of one host for want of room.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    since: Option<Instant>,
    latest: Option<Instant>,
}

impl Shortage {
    /// A request is refused; returns when its caller should come back. Nothing says when a shortage
    /// ends, but one that has lasted long is seldom over soon: callers who came back in the same time always would be
    /// refused again more often.
    pub fn record_refusal(&mut self, now: Instant) -> Duration {
        let goes_on = self.latest.is_some_and(|at| now.saturating_duration_since(at) <= OVER);
        let since = self.since.filter(|_| goes_on).unwrap_or(now);
        (self.since, self.latest) = (Some(since), Some(now));
        (LEAST + now.saturating_duration_since(since)).min(MOST)
    }
}
