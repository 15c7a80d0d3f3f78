//! What keeps a request from every target that could run it, when none can be chosen.
//!
//! Several targets of a service may rest or have reached their limit while a request fails for another reason, such
//! as layers that nobody holds. So the reason is found by asking whether there would be a way without the rests, and
//! without the limits: a caller that is told to come back after a rest is served then.

use crate::prelude::*;

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hindrance {
    /// Targets want a rest; there is a way after so long.
    Rest(Duration),
    /// Targets take no more a second from all hosts.
    Limit,
    /// Something that neither the end of a rest nor more permits would mend.
    Other,
}

/// A question of [`Hindrance::of`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wish {
    /// The moment at which there would be a way.
    pub at: Instant,
    /// Whether limits are heeded.
    pub limits: bool,
}

impl Hindrance {
    /// The reason, where nothing can be chosen at `now`: `rests` are the ends of the rests of the service's targets,
    /// `limited` says whether any of them takes no more now, and `way` whether something could be chosen.
    pub fn of(
        mut rests: Vec<Instant>,
        limited: bool,
        now: Instant,
        mut way: impl FnMut(Wish) -> bool,
    ) -> Hindrance {
        rests.sort_unstable();
        let mut after = |limits| {
            let end = rests.iter().find(|end| way(Wish { at: **end, limits }));
            end.map(|end| Hindrance::Rest(end.saturating_duration_since(now)))
        };
        if let Some(rest) = after(true) {
            return rest;
        }
        if !limited {
            return Hindrance::Other;
        }
        let rest = after(false);
        if way(Wish { at: now, limits: false }) {
            return Hindrance::Limit;
        }
        rest.unwrap_or(Hindrance::Other)
    }
}
