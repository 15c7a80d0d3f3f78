//! How many sends may be repeated.
//!
//! The operators bound the repeated sends of all hosts together, for each service: a ratio of the
//! requests in a window, and a slack. Hosts tell each other what they have counted. What is left
//! is dealt out for the time that such a word takes, so that hosts which all repeat at the same
//! moment stay within the bound together: most of it by requests, since a host that has three times
//! as many loses three times as many with an engine.

use crate::prelude::*;
use std::collections::VecDeque;

/// Part of the bound that is used; the rest covers words that are late and windows that are cut
/// in another place.
const SHARE: f64 = 0.8;
/// Part of what is left that is dealt out evenly; the rest goes by the requests of each host.
const EVEN: f64 = 0.2;
/// The time within which hosts hear of each other's repeats.
const WORD: Duration = Duration::from_millis(500);

/// Requests and repeated sends within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Requests.
    pub requests: u32,
    /// Repeated sends.
    pub retries: u32,
}

/// What one host has counted for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
    others: RetryCounts,
    hosts: usize,
    told: usize,
}

impl RetryBudget {
    /// An allowance of `ratio` repeats a request and `slack`, for all hosts, in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> RetryBudget {
        RetryBudget {
            ratio,
            slack,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
            others: RetryCounts::default(),
            hosts: 1,
            told: 1,
        }
    }

    /// A request came.
    pub fn record_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// What the other hosts have counted, how many hosts that is, and how many there are or were of late,
    /// this one included: one that is out of touch may still repeat.
    pub fn set_peer_counts(&mut self, counted: RetryCounts, told: usize, hosts: usize) {
        self.others = counted;
        self.hosts = hosts.max(1);
        self.told = told.clamp(1, self.hosts);
    }

    /// This host's share of what is left for all.
    fn share(&self) -> f64 {
        let own = self.requests.len() as f64;
        let all = own + f64::from(self.others.requests);
        let even = 1.0 / self.hosts as f64;
        if all == 0.0 {
            return even;
        }
        // Requests of hosts that are out of touch are not counted, but their share is theirs.
        let heard = self.told as f64 * even;
        EVEN * even + (1.0 - EVEN) * own / all * heard
    }

    /// What this host has counted.
    pub fn counts(&mut self, now: Instant) -> RetryCounts {
        self.forget(now);
        RetryCounts { requests: self.requests.len() as u32, retries: self.repeats.len() as u32 }
    }

    /// Whether one more send may be repeated; if so, it is counted.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.forget(now);
        let requests = self.requests.len() as f64 + f64::from(self.others.requests);
        let word = |at: &&Instant| now.saturating_duration_since(**at) < WORD;
        let recent = self.repeats.iter().rev().take_while(word).count();
        let known = (self.repeats.len() - recent) as f64 + f64::from(self.others.retries);
        let left = SHARE * (self.ratio * requests + self.slack) - known;
        let allowed = recent as f64 + 1.0 <= left * self.share();
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
