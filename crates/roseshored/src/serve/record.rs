//! The recorded answer of a non-idempotent request.

use crate::answer::CompletedAnswer;
use roseshore_core::prelude::*;
use roseshore_ports::inside::Outcome;
use serde::{Deserialize, Serialize};

/// Content type of a [`RecordedAnswer`].
const CONTENT_TYPE: &str = "application/json; record=answer";

/// A complete answer as it is stored with its key; serialized as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RecordedAnswer {
    /// Id of the request that ran.
    pub(super) request: RequestId,
    /// The complete text.
    pub(super) text: String,
    /// Number of tokens in the text.
    pub(super) count: u32,
    /// `stop` or `length`.
    pub(super) reason: String,
}

impl RecordedAnswer {
    pub(super) fn new(request: &str, answer: &CompletedAnswer) -> RecordedAnswer {
        RecordedAnswer {
            request: request.to_owned(),
            text: answer.text.clone(),
            count: answer.token_count,
            reason: answer.finish_reason.clone(),
        }
    }

    /// The outcome to record for the key.
    pub(super) fn outcome(&self) -> Outcome {
        let body = serde_json::to_vec(self).unwrap_or_default();
        Outcome { verdict: Verdict::Answered, status: 200, content: CONTENT_TYPE.to_owned(), body }
    }

    /// Reads the answer of a settled key, or the refusal if there is none.
    pub(super) fn read(outcome: &Outcome) -> Result<RecordedAnswer, Refusal> {
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

/// The outcome to record for a dispatched request that ended in a refusal.
pub(super) fn refusal_outcome(refusal: &Refusal) -> Outcome {
    let body = refusal.message.clone().into_bytes();
    let content = "text/plain".to_owned();
    Outcome { verdict: refusal.verdict, status: refusal.code.status(), content, body }
}
