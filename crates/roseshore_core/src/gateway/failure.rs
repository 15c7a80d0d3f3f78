//! What follows a send that did not bring a whole answer.
//!
//! A fault proves either that the target did not run the request or nothing at all. From that, from
//! what may be repeated and from what the caller has already seen follows the next step.

use crate::prelude::*;

/// How a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No byte of the request left this host.
    NotSent,
    /// The target said that it did not run the request.
    Refused,
    /// The connection ended before an answer.
    Lost,
    /// What came is not an answer to this request.
    Garbled,
    /// The answer ended before it was whole.
    Cut,
    /// Nothing came for longer than a live target takes.
    Silent,
    /// A whole answer that says that the target failed while running it.
    Failed,
}

impl Fault {
    /// What it proves of this one send.
    pub fn verdict(self) -> Verdict {
        match self {
            Fault::NotSent | Fault::Refused => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    /// Whether the target said something, so that it lives.
    pub fn proves_alive(self) -> bool {
        matches!(self, Fault::Refused | Fault::Garbled | Fault::Failed)
    }

    /// Attributes the fault, for a send over a path of `hops` engines (0 for a plain service).
    pub fn blame(self, hops: usize) -> Blame {
        match self {
            Fault::Refused => Blame::Busy,
            // The first engine relays the output of the later ones, so its answer is cut when any of them ends.
            Fault::Lost | Fault::Cut if hops > 1 => Blame::Unknown,
            _ => Blame::Failed,
        }
    }

    /// The name in logs and metrics.
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

/// The attribution of a fault to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blame {
    /// The target failed.
    Failed,
    /// The target temporarily has no room.
    Busy,
    /// The target or a later engine of its path failed.
    Unknown,
}

/// Most sends of one request that may cost their targets work, whatever else allows more.
pub const MAX_SENDS: u32 = 4;

/// Where a request stands when a send fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    /// Whether running it again is harmless.
    pub idempotent: bool,
    /// Whether the caller has seen the head of an answer.
    pub head_sent: bool,
    /// What the sends so far prove, this one included.
    pub verdict: Verdict,
    /// Sends so far.
    pub sends: u32,
    /// Sends so far that a target refused to run.
    pub refused: u32,
    /// Time left.
    pub remaining: Duration,
    /// The shortest time in which another send makes sense.
    pub min_remaining: Duration,
}

/// The next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to another target, if there is one and the allowance permits.
    Retry,
    /// Give the final answer.
    Fail(FailureReply),
}

/// A final answer that is no success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReply {
    /// It has not run and will not: come back later.
    NotRun,
    /// It may have run.
    Unknown,
    /// The answer that has begun breaks off visibly.
    Abort,
}

/// The end that a request's standing allows.
pub fn failure_reply(standing: &RetryState) -> FailureReply {
    if standing.head_sent {
        return FailureReply::Abort;
    }
    match standing.verdict {
        Verdict::NotRun => FailureReply::NotRun,
        _ => FailureReply::Unknown,
    }
}

/// What follows a fault.
pub fn next_step(standing: &RetryState) -> NextStep {
    let may = standing.verdict.may_retry(standing.idempotent);
    // Refused sends cost their targets no work. They count only before the answer has begun, when the request can
    // still be refused.
    let counted_sends = standing.sends - if standing.head_sent { standing.refused } else { 0 };
    let room = counted_sends < MAX_SENDS && standing.remaining >= standing.min_remaining;
    if may && room { NextStep::Retry } else { NextStep::Fail(failure_reply(standing)) }
}
