//! The recorded answer of an unrepeatable question, and the claim it is recorded under.

use crate::answer::Whole;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Claim, Claims, Outcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

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
    pub(super) fn new(request: &str, whole: &Whole) -> Recorded {
        Recorded {
            request: request.to_owned(),
            text: whole.text.clone(),
            count: whole.count,
            reason: whole.reason.clone(),
        }
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

/// A won key that is ended exactly once, whatever happens to its handler.
pub(super) struct Held {
    claims: Arc<dyn Claims>,
    claim: Claim,
    dispatched: bool,
    ended: bool,
}

impl Held {
    pub(super) fn new(claims: Arc<dyn Claims>, claim: Claim) -> Held {
        Held { claims, claim, dispatched: false, ended: false }
    }

    /// Whether the first byte may go to a target now.
    pub(super) fn dispatch(&mut self) -> bool {
        self.dispatched = self.dispatched || self.claims.dispatch(&self.claim);
        self.dispatched
    }

    /// Records how it went.
    pub(super) fn end(mut self, result: Result<&Recorded, &Refusal>) {
        match result {
            Ok(recorded) => self.settle(Verdict::Answered, 200, to_json(recorded)),
            Err(refusal) if self.dispatched => {
                let body = refusal.message.clone().into_bytes();
                self.settle(refusal.verdict, refusal.code.status(), body);
            }
            // The drop abandons it.
            Err(_) => {}
        }
    }

    fn settle(&mut self, verdict: Verdict, status: u16, body: Vec<u8>) {
        self.ended = true;
        let outcome = Outcome { verdict, status, content: CONTENT.to_owned(), body };
        self.claims.settle(&self.claim, outcome);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if self.dispatched {
            let text = "the daemon lost track of this key after its dispatch";
            self.settle(Verdict::MayHaveRun, Code::Internal.status(), text.into());
        } else {
            self.claims.abandon(&self.claim);
        }
    }
}

fn to_json(recorded: &Recorded) -> Vec<u8> {
    serde_json::to_vec(recorded).unwrap_or_default()
}
