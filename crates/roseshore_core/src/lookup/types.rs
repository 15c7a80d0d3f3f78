//! What goes into a lookup and what comes out.

use crate::prelude::*;
use crate::retry::RetryBudget;

/// The index of a source in the declared order.
pub type SourceIndex = usize;

/// How a lookup goes about it.
#[derive(Clone, Debug)]
pub struct Policy {
    /// When a silent attempt is hedged and the next source is asked beside it, from its start.
    pub hedge_after: Duration,
    /// When an attempt is given up, from its start.
    pub attempt_limit: Duration,
    /// Attempts at one source, hedges included.
    pub attempts: u32,
    /// When a caller that was refused should come back.
    pub retry_after: Duration,
    /// Whether all sources are asked at once, to compare them.
    pub compare: bool,
    /// A random number in `0.0..1.0` that spreads retries out.
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

/// What extra attempts are paid from.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    /// For attempts after a failure.
    pub retries: RetryBudget,
    /// For attempts beside a slow one.
    pub hedges: RetryBudget,
}

/// What one attempt at a source brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceReply<T> {
    /// The source holds the name, with this record.
    Found(T),
    /// The source certainly does not hold the name.
    Missing,
    /// The source could not say; the verdict tells whether it may have worked on it.
    Failed(Verdict),
    /// No replica could be asked.
    NoReplica,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is the first at its source.
    First,
    /// The ones before failed; another replica is better, the same will do.
    Retry,
    /// The one before is slow; only another replica makes sense.
    Hedge,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<T> {
    /// Ask a source, and tell what came of it with the number of the attempt.
    Ask {
        /// The source.
        source: SourceIndex,
        /// The number of the attempt, unique within the lookup.
        attempt: usize,
        /// Why.
        reason: Reason,
        /// When to give the attempt up.
        limit: Instant,
    },
    /// Tell the caller; said once.
    Done(Outcome<T>),
    /// Two sources, or two replicas of one source, contradict each other.
    Conflict {
        /// The earlier source in declared order.
        earlier: SourceIndex,
        /// The later one, or the same.
        later: SourceIndex,
    },
}

/// How a lookup ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<T> {
    /// The first source in order that holds the name, and its record.
    Found(SourceIndex, T),
    /// Every source said that it does not hold the name.
    NotFound,
    /// A source that could hold the name was given up on.
    Unavailable(SourceIndex, Verdict),
}
