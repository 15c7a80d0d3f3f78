//! What keeps a request from every target that could run it, when none can be chosen.
//!
//! Several targets of a service may rest or have reached their limit while a request fails for another reason, such
//! as layers that nobody holds. So the reason is found by asking whether there would be a way without the rests, and
//! without the limits: a caller that is told to come back after a rest is served then.

use crate::prelude::*;

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// Targets want a rest; there is a way after so long.
    BackingOff(Duration),
    /// Targets take no more a second from all hosts.
    RateLimited,
    /// Something that neither the end of a rest nor more permits would mend.
    Other,
}

/// A question of [`Unavailable::of`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionConditions {
    /// The moment at which there would be a way.
    pub at: Instant,
    /// Whether limits are heeded.
    pub enforce_limits: bool,
}

impl Unavailable {
    /// The reason, where nothing can be chosen at `now`: `rests` are the ends of the rests of the service's targets,
    /// `limited` says whether any of them takes no more now, and `way` whether something could be chosen.
    pub fn of(
        mut rests: Vec<Instant>,
        limited: bool,
        now: Instant,
        mut way: impl FnMut(SelectionConditions) -> bool,
    ) -> Unavailable {
        rests.sort_unstable();
        let mut after = |enforce_limits| {
            let end =
                rests.iter().find(|end| way(SelectionConditions { at: **end, enforce_limits }));
            end.map(|end| Unavailable::BackingOff(end.saturating_duration_since(now)))
        };
        if let Some(rest) = after(true) {
            return rest;
        }
        if !limited {
            return Unavailable::Other;
        }
        let rest = after(false);
        if way(SelectionConditions { at: now, enforce_limits: false }) {
            return Unavailable::RateLimited;
        }
        rest.unwrap_or(Unavailable::Other)
    }
}
