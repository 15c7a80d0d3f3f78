//! Why no target can be chosen for a request.
//!
//! Some targets of a service may have asked for a back-off or reached their limit while the request
//! fails for another reason, such as layers that no engine holds. So the reason is found by trying
//! the selection without the back-offs and without the limits: a caller that is told to try again
//! after a back-off is then served.

use crate::prelude::*;

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// Targets asked for a back-off; the request can be sent after this time.
    BackingOff(Duration),
    /// Targets have reached their limit of requests a second from all hosts.
    RateLimited,
    /// Another reason, which neither the end of a back-off nor a higher limit would remove.
    Other,
}

/// The conditions under which [`Unavailable::of`] tries a selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionConditions {
    /// The moment for which to select; back-offs that end by then do not count.
    pub at: Instant,
    /// Whether targets that have reached their limit are left out.
    pub enforce_limits: bool,
}

impl Unavailable {
    /// The reason why nothing can be chosen at `now`. `backoff_ends` are the ends of the back-offs
    /// of the service's targets, `limited` says whether any of them has reached its limit, and
    /// `selectable` whether something could be chosen under some conditions.
    pub fn of(
        mut backoff_ends: Vec<Instant>,
        limited: bool,
        now: Instant,
        mut selectable: impl FnMut(SelectionConditions) -> bool,
    ) -> Unavailable {
        backoff_ends.sort_unstable();
        let mut backing_off = |enforce_limits| {
            let end = backoff_ends
                .iter()
                .find(|end| selectable(SelectionConditions { at: **end, enforce_limits }));
            end.map(|end| Unavailable::BackingOff(end.saturating_duration_since(now)))
        };
        if let Some(reason) = backing_off(true) {
            return reason;
        }
        if !limited {
            return Unavailable::Other;
        }
        let reason = backing_off(false);
        if selectable(SelectionConditions { at: now, enforce_limits: false }) {
            return Unavailable::RateLimited;
        }
        reason.unwrap_or(Unavailable::Other)
    }
}
