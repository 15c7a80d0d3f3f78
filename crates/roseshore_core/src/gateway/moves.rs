//! How many silent requests may be sent to other targets while the first one has not read them.
//!
//! A stopped target reads what it was sent when it goes on. If the request was answered elsewhere
//! meanwhile, that copy is work for nobody, and its target is given time that the caller no longer
//! has. Most requests that are moved were read and fell silent in the middle of their streams. So
//! the others may be a part of all moves; beyond that they wait for their targets, as all requests
//! do while a whole service is stopped.

/// Largest part of a host's moves that may leave unread copies behind.
const MAX_UNREAD_PART: f64 = 0.125;
/// Moves that may leave unread copies behind whatever that part is, of all hosts together.
const UNREAD_SLACK: f64 = 8.0;

/// The moves of silent requests that a host has made.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moves {
    made: u32,
    unread: u32,
}

impl Moves {
    /// Whether one more request may leave an unread copy behind, at one of so many hosts.
    pub fn may_leave_unread(&self, hosts: usize) -> bool {
        let slack = UNREAD_SLACK / hosts.max(1) as f64;
        let part = MAX_UNREAD_PART * f64::from(self.made + 1);
        f64::from(self.unread + 1) <= slack.max(part)
    }

    /// Records that a request was moved, and whether it left an unread copy behind.
    pub fn record(&mut self, unread: bool) {
        self.made += 1;
        self.unread += u32::from(unread);
    }
}
