//! Certainty about whether a request ran.
//!
//! Every error carries a [`Verdict`] through all layers. On the way out it can only become less
//! certain: [`Verdict::join`] never turns an unknown result into "not run".

use crate::code::Code;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Certain: no target has begun it, and none will.
    NotRun,
    /// Unknown: a target may have begun or completed it.
    MayHaveRun,
    /// Certain: it ran, and the complete answer was delivered.
    Answered,
}

impl Verdict {
    /// Combines the verdicts of two attempts of one request.
    ///
    /// The result is "not run" only if neither attempt ran for certain.
    #[must_use]
    pub fn join(self, other: Verdict) -> Verdict {
        self.max(other)
    }

    /// Whether a retry is safe for a request that is `idempotent` or not.
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => idempotent,
            Verdict::Answered => false,
        }
    }

    /// Stable name used in bodies, headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Answered => "answered",
        }
    }
}

/// Final response to a request that gets no result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Stable numbered code of the reason.
    pub code: Code,
    /// Message for operators and callers, with names in backticks and a way to resolve the problem.
    pub message: String,
    /// When a retry makes sense; `None` where it does not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::NotRun, code, message: message.into(), retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::MayHaveRun, code, message: message.into(), retry_after: None }
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub fn after(mut self, wait: Duration) -> Refusal {
        self.retry_after = Some(wait);
        self
    }
}
