//! The inputs and outputs of the [`Lookup`](super::Lookup) state machine.

use crate::prelude::*;
use crate::retry::RetryBudget;

/// The index of a source in the declared order.
pub type SourceIndex = usize;

/// The timing and limits of a lookup.
#[derive(Clone, Debug)]
pub struct Policy {
    /// How long after its start an attempt is hedged, and the next source is asked as well.
    pub hedge_after: Duration,
    /// How long after its start an attempt is given up.
    pub attempt_limit: Duration,
    /// The most attempts at one source, hedges included.
    pub attempts: u32,
    /// When a refused caller is told to retry.
    pub retry_after: Duration,
    /// Whether all sources are asked at once, to compare their replies.
    pub compare: bool,
    /// A random number in `0.0..1.0` that spreads out retries.
    pub unit_random: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            hedge_after: Duration::from_millis(30),
            attempt_limit: Duration::from_secs(1),
            attempts: 3,
            retry_after: Duration::from_secs(1),
            compare: false,
            unit_random: 0.5,
        }
    }
}

/// The budgets for extra attempts.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    /// For attempts after a failure.
    pub retries: RetryBudget,
    /// For attempts in parallel with a slow one.
    pub hedges: RetryBudget,
}

/// The result of one attempt at a source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceReply<T> {
    /// The source has the name, with this record.
    Found(T),
    /// The source certainly does not have the name.
    Missing,
    /// The source did not answer the question. The verdict tells whether it may have run the
    /// lookup.
    Failed(Verdict),
    /// There was no replica to ask.
    NoReplica,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is the first one at its source.
    First,
    /// The earlier ones failed. Another replica is preferred, but the same one will do.
    Retry,
    /// The earlier one is slow. Only another replica is of use.
    Hedge,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<T> {
    /// Ask a source, and pass the result on with the number of the attempt.
    Ask {
        /// The source.
        source: SourceIndex,
        /// The number of the attempt, unique within the lookup.
        attempt: usize,
        /// Why the attempt is made.
        reason: Reason,
        /// When to give up the attempt.
        limit: Instant,
    },
    /// Pass the outcome on to the caller; occurs once.
    Done(Outcome<T>),
    /// Two sources, or two replicas of one source, contradict each other.
    Conflict {
        /// The earlier source in declared order.
        earlier: SourceIndex,
        /// The later source, or the same one.
        later: SourceIndex,
    },
}

/// The outcome of a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<T> {
    /// The first source in order that has the name, and its record.
    Found(SourceIndex, T),
    /// Every source replied that it does not have the name.
    NotFound,
    /// A source that may have the name was given up on.
    Unavailable(SourceIndex, Verdict),
}
