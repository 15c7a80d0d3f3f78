//! When a liveness check of a target counts as unanswered.
//!
//! All input of a host arrives over one link, in order. While a large transfer fills a narrow link,
//! the answer of a live target waits behind it, so a check that is unanswered after the usual time
//! says nothing about its target. The wait goes on until the transfer is over, or until a later
//! check is answered, which shows that the link has delivered what arrived before.

mod schedule;

use crate::prelude::*;
pub use schedule::{CheckDuty, Doubt, LinkChecks};

/// Time-out of a check. Answers take two milliseconds between data centres, and 12 ms from a target
/// that is twelve times slower than usual.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(45);
/// Time from the first of the unanswered checks in a row after which a transfer no longer delays
/// the time-out: a target may have failed during the transfer.
pub const MAX_TRANSFER_WAIT: Duration = Duration::from_millis(250);
/// Bytes of a message from which it counts as a large transfer: 6 ms of a link with 20 Mbit/s.
pub const LARGE_TRANSFER: usize = 16 << 10;

/// Why a target is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckReason {
    /// A request makes no progress there, or has failed.
    Request,
    /// The check before it was not answered.
    Unanswered,
    /// It fails this host's checks: whether it is back.
    Failing,
    /// Another host reports that it fails checks.
    Reported,
    /// Another host asks whether this one reaches it.
    Asked,
    /// This host's links may be lost.
    Link,
}

impl CheckReason {
    /// All reasons.
    pub const ALL: [CheckReason; 6] = [
        CheckReason::Request,
        CheckReason::Unanswered,
        CheckReason::Failing,
        CheckReason::Reported,
        CheckReason::Asked,
        CheckReason::Link,
    ];

    /// Value used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CheckReason::Request => "request",
            CheckReason::Unanswered => "unanswered",
            CheckReason::Failing => "failing",
            CheckReason::Reported => "reported",
            CheckReason::Asked => "asked",
            CheckReason::Link => "link",
        }
    }
}

/// Checks that were begun, by reason.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckCounts([u32; CheckReason::ALL.len()]);

impl CheckCounts {
    /// Counts a check.
    pub fn record(&mut self, reason: CheckReason) {
        self.0[reason as usize] += 1;
    }

    /// The reasons of the counted checks with their numbers; `None` if there are none.
    pub fn summary(&self) -> Option<String> {
        let counted = CheckReason::ALL.iter().zip(self.0).filter(|(_, count)| *count > 0);
        let parts: Vec<String> =
            counted.map(|(r, count)| format!("{}={count}", r.name())).collect();
        (!parts.is_empty()).then(|| parts.join(" "))
    }
}

/// What a host knows about the delay of its own link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkState {
    /// When a part of a large transfer was last received or sent.
    transfer_at: Option<Instant>,
    /// Start of the latest check that was answered.
    answered: Option<Instant>,
}

impl LinkState {
    /// Records that a part of a message of `bytes` so far was received or sent.
    pub fn record_transfer(&mut self, bytes: usize, now: Instant) {
        if bytes >= LARGE_TRANSFER {
            self.transfer_at = Some(now);
        }
    }

    /// Records the answer to a check that began at `started`.
    pub fn record_answer(&mut self, started: Instant) {
        self.answered = self.answered.max(Some(started));
    }

    /// When a check that began at `started` counts as unanswered, by what is known now. `first` is
    /// the start of the first unanswered check in a row with this one.
    pub fn check_timeout(&self, first: Instant, started: Instant) -> Instant {
        let usual = started + CHECK_TIMEOUT;
        if self.answered.is_some_and(|answered| answered >= first) {
            return usual;
        }
        let after_transfer = self.transfer_at.map_or(usual, |at| at + CHECK_TIMEOUT);
        after_transfer.min(first + MAX_TRANSFER_WAIT).max(usual)
    }
}
