//! For how long callers have tried already.
//!
//! Callers tell how much time they have left. Those of a route begin with about the same time, so
//! one that has clearly less has tried before. What they begin with is learned while nobody is
//! refused, when few come back.

use crate::prelude::*;
use std::collections::{HashMap, VecDeque};

/// An age above this shows that the caller comes back; below it, first tries differ as much.
pub const RETURNED_AGE: Duration = Duration::from_millis(400);
/// Latest deadlines of a route that are kept.
const MAX_SEEN: usize = 32;
/// Fewest that tell what callers begin with.
const MIN_SEEN: usize = 8;
/// Of the kept ones in order, the one that counts as the shortest of first tries: a few are of
/// callers who came back after a failure.
const SHORTEST_PART: usize = 10;
/// Most routes that are kept.
const MAX_ROUTES: usize = 512;
/// Longest deadline that is believed.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// Deadlines of callers by route.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    routes: HashMap<String, RouteDeadlines>,
}

#[derive(Clone, Debug, Default)]
struct RouteDeadlines {
    /// Time-out of the route.
    timeout: Duration,
    /// Latest deadlines, the newest last.
    seen: VecDeque<Duration>,
}

impl CallerAges {
    /// The least time for which a caller with this much time left must have tried. The deadline is
    /// learned from if `quiet`: nobody was refused lately. A changed time-out of the route makes it
    /// forget.
    pub fn age(
        &mut self,
        route: &str,
        timeout: Duration,
        deadline: Duration,
        quiet: bool,
    ) -> Duration {
        if deadline > MAX_DEADLINE {
            return Duration::ZERO;
        }
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.clear();
            }
            self.routes.insert(route.to_owned(), RouteDeadlines::default());
        }
        let Some(known) = self.routes.get_mut(route) else { return Duration::ZERO };
        if known.timeout != timeout {
            *known = RouteDeadlines { timeout, ..RouteDeadlines::default() };
        }
        let age = known.shortest().map_or(Duration::ZERO, |first| first.saturating_sub(deadline));
        if quiet {
            known.record(deadline);
        }
        age
    }
}

impl RouteDeadlines {
    fn record(&mut self, deadline: Duration) {
        if self.seen.len() >= MAX_SEEN {
            self.seen.pop_front();
        }
        self.seen.push_back(deadline);
    }

    /// The shortest deadline of first tries; `None` while too few are known.
    fn shortest(&self) -> Option<Duration> {
        let mut seen: Vec<Duration> = self.seen.iter().copied().collect();
        if seen.len() < MIN_SEEN {
            return None;
        }
        let place = seen.len() / SHORTEST_PART;
        Some(*seen.select_nth_unstable(place).1)
    }
}
