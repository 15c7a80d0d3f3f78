//! How many sends may be repeated.
//!
//! The operators bound the repeated sends of all hosts together: a ratio of the requests in a
//! window and a slack. A host does not know the others' requests, so it keeps to the ratio of its
//! own and to a small part of the slack; the sum then holds without a word between hosts.

use crate::prelude::*;
use std::collections::VecDeque;

/// Part of the slack that one host may use: hosts of the largest site that was announced, twice.
const SLACK_SHARE: f64 = 1.0 / 40.0;
/// Part of the ratio that is used; the rest covers requests that windows cut apart.
const RATIO_SHARE: f64 = 0.8;

/// Requests and repeated sends of one service within the window.
#[derive(Clone, Debug)]
pub struct Allowance {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Allowance {
    /// An allowance of `ratio` repeats a request and `slack` for all hosts, in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Allowance {
        let (requests, repeats) = (VecDeque::new(), VecDeque::new());
        let (ratio, slack) = (ratio * RATIO_SHARE, slack * SLACK_SHARE);
        Allowance { ratio, slack, window, requests, repeats }
    }

    /// A request came.
    pub fn request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Whether one more send may be repeated; if so, it is counted.
    pub fn repeat(&mut self, now: Instant) -> bool {
        self.forget(now);
        let most = self.slack + self.ratio * self.requests.len() as f64;
        let allowed = (self.repeats.len() as f64) + 1.0 <= most;
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }

    fn forget(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.saturating_duration_since(*at) > self.window) {
                times.pop_front();
            }
        }
    }
}
