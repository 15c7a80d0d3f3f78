//! What is known about whether a request ran.
//!
//! A [`Verdict`] travels with every error through every layer. It can only become less certain on
//! the way out: [`Verdict::join`] never turns an unknown into "not run".

use crate::code::Code;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Certain: no target has begun it, and none will.
    NotRun,
    /// Unknown: a target may have begun or finished it.
    MayHaveRun,
    /// Certain: it ran, and its whole answer was delivered.
    Answered,
}

impl Verdict {
    /// Joins what two attempts of one request proved.
    ///
    /// Only two attempts that certainly did not run make a request that did not run.
    #[must_use]
    pub fn join(self, other: Verdict) -> Verdict {
        self.max(other)
    }

    /// Whether another attempt is harmless for a request with this `idempotent` mark.
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => idempotent,
            Verdict::Answered => false,
        }
    }

    /// The stable name used in bodies, headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Answered => "answered",
        }
    }
}

/// The final answer to a request that gets no result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why, as a stable numbered code.
    pub code: Code,
    /// What a person should know, names in backticks, with a way out.
    pub message: String,
    /// When coming back makes sense; `None` where it does not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that certainly did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::NotRun, code, message: message.into(), retry_after: None }
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::MayHaveRun, code, message: message.into(), retry_after: None }
    }

    /// Adds the time after which to come back.
    #[must_use]
    pub fn after(mut self, wait: Duration) -> Refusal {
        self.retry_after = Some(wait);
        self
    }
}
