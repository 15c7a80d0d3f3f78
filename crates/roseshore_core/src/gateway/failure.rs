//! The next step after a send that did not return a complete answer.
//!
//! A fault either proves that the target did not run the request, or proves nothing. The next step
//! depends on that, on whether the request may run twice, and on what the caller has already
//! received.

use crate::prelude::*;

/// How a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No byte of the request left this host.
    NotSent,
    /// The target replied that it did not run the request.
    Refused,
    /// The connection ended before any answer.
    Lost,
    /// The bytes received are not an answer to this request.
    Garbled,
    /// The answer ended before it was complete.
    Cut,
    /// Nothing was received for longer than a live target takes.
    Silent,
    /// A complete answer which says that the target failed while running the request.
    Failed,
}

impl Fault {
    /// What the fault proves about this send.
    pub fn verdict(self) -> Verdict {
        match self {
            Fault::NotSent | Fault::Refused => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Whether the target sent something, which proves that it is alive.
    pub fn proves_alive(self) -> bool {
        matches!(self, Fault::Refused | Fault::Garbled | Fault::Failed)
    }

    /// Whether the fault is in what the target sent, so that it does not lie at the link to it.
    pub fn is_in_response(self) -> bool {
        matches!(self, Fault::Garbled | Fault::Failed)
    }

    /// Attributes the fault of a send over a path of `hops` engines; 0 for a service without
    /// engines.
    pub fn blame(self, hops: usize) -> Blame {
        match self {
            Fault::Refused => Blame::Busy,
            // The first engine relays the output of the later ones, so its answer is cut when any
            // of them fails.
            Fault::Lost | Fault::Cut if hops > 1 => Blame::Unknown,
            _ => Blame::Failed,
        }
    }

    /// The fault's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Fault::NotSent => "not_sent",
            Fault::Refused => "refused",
            Fault::Lost => "lost",
            Fault::Garbled => "garbled",
            Fault::Cut => "cut",
            Fault::Silent => "silent",
            Fault::Failed => "failed",
        }
    }
}

/// Which target a fault is attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blame {
    /// The target failed.
    Failed,
    /// The target has no capacity for the moment.
    Busy,
    /// Either the target or a later engine of its path failed.
    Unknown,
}

/// Sends of one request that may cost targets work; bounds retries even where the retry budget
/// allows more.
pub const MAX_SENDS: u32 = 4;

/// The state of a request when a send fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the caller has received the head of an answer.
    pub head_sent: bool,
    /// What all sends prove, including this one.
    pub verdict: Verdict,
    /// Sends, including this one.
    pub sends: u32,
    /// Sends that targets refused to run.
    pub refused: u32,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// The shortest time to the deadline in which another send can succeed.
    pub min_remaining: Duration,
}

/// The next step after a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another target, if there is one and the retry budget permits.
    Retry,
    /// Answer the caller with this failure.
    Fail(FailureReply),
}

/// The kind of failure that a caller is told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReply {
    /// The request has not run and will not, so the caller may try again later.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer has begun, so it ends in a way that the caller recognises as incomplete.
    Abort,
}

/// The failure that the state of a request allows to report.
pub fn failure_reply(state: &RetryState) -> FailureReply {
    if state.head_sent {
        return FailureReply::Abort;
    }
    match state.verdict {
        Verdict::NotRun => FailureReply::NotRun,
        _ => FailureReply::Unknown,
    }
}

/// Decides between a retry and a failure.
pub fn next_step(state: &RetryState) -> NextStep {
    let repeatable = state.verdict.may_retry(state.idempotent);
    // Refused sends cost their targets no work. They count only before the answer has begun, while
    // the request itself can still be refused.
    let counted_sends = state.sends - if state.head_sent { state.refused } else { 0 };
    let permitted = counted_sends < MAX_SENDS && state.remaining >= state.min_remaining;
    if repeatable && permitted { NextStep::Retry } else { NextStep::Fail(failure_reply(state)) }
}
