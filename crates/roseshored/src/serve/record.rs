//! The recorded answer of an unrepeatable question.

use crate::answer::CompletedAnswer;
use roseshore_core::prelude::*;
use roseshore_ports::inside::Outcome;
use serde::{Deserialize, Serialize};

/// The content type of [`Recorded`].
const CONTENT: &str = "application/json; record=answer";

/// A whole answer as it is kept with its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Recorded {
    /// The id of the request that ran.
    pub(super) request: RequestId,
    /// The text.
    pub(super) text: String,
    /// Tokens in it.
    pub(super) count: u32,
    /// `stop` or `length`.
    pub(super) reason: String,
}

impl Recorded {
    pub(super) fn new(request: &str, whole: &CompletedAnswer) -> Recorded {
        Recorded {
            request: request.to_owned(),
            text: whole.text.clone(),
            count: whole.token_count,
            reason: whole.finish_reason.clone(),
        }
    }

    /// The outcome to record.
    pub(super) fn outcome(&self) -> Outcome {
        let body = serde_json::to_vec(self).unwrap_or_default();
        Outcome { verdict: Verdict::Answered, status: 200, content: CONTENT.to_owned(), body }
    }

    /// Reads the answer of a settled key, or says what is known of it.
    pub(super) fn read(outcome: &Outcome) -> Result<Recorded, Refusal> {
        if outcome.verdict == Verdict::Answered {
            return serde_json::from_slice(&outcome.body).map_err(|_| {
                let text =
                    "this key ran, but its recorded answer cannot be read; ask the operators";
                Refusal::may_have_run(Code::KeyUnknown, text)
            });
        }
        let text = String::from_utf8_lossy(&outcome.body).into_owned();
        let code = Code::KeyUnknown;
        Err(Refusal { verdict: outcome.verdict, code, message: text, retry_after: None })
    }
}

/// The outcome of a dispatched question that got no answer.
pub(super) fn unanswered(refusal: &Refusal) -> Outcome {
    let body = refusal.message.clone().into_bytes();
    let content = "text/plain".to_owned();
    Outcome { verdict: refusal.verdict, status: refusal.code.status(), content, body }
}
