//! Calls of plain services, once where they may not be repeated.
//!
//! A call that proved that nothing ran goes to another replica; one that may have run is sent again
//! only where the service is declared idempotent, and then out of the service's retry budget. An
//! unrepeatable call under a key is claimed first: the claim is dispatched right before the first
//! byte, and whatever ends the call ends the claim.

use crate::app::App;
use crate::claims::ClaimGuard;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ClaimResult, Outcome, Replica, RequestInfo};
use roseshore_ports::outside::{CallContext, CallError, ServiceReply};

/// Replicas that one call is offered to at most.
const ATTEMPTS: usize = 4;
/// When callers are told to come back where the target does not say.
const COME_BACK: Duration = Duration::from_secs(1);

/// The end of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// What the replica said, now or when the key was first used.
    pub reply: ServiceReply,
    /// Whether it is the recorded answer given again.
    pub repeated: bool,
}

/// Runs a call; `key` is the joined [`Key`], `digest` is over the body.
///
/// # Errors
/// [`Verdict::NotRun`] only when no replica began it.
pub fn run(
    app: &App,
    ask: &RequestInfo,
    body: &[u8],
    key: Option<&Key>,
    digest: u64,
    trace: Option<&str>,
) -> Result<CallOutcome, Refusal> {
    let idempotent = is_idempotent(app, &ask.service)?;
    let mut call = Call { app, ask, body, key, trace, idempotent, won: None };
    let Some(key) = key.filter(|_| !idempotent) else { return call.run() };
    match app.claims.begin(key, digest, ask.deadline) {
        ClaimResult::Settled(outcome) => Ok(repeat(outcome)),
        ClaimResult::Refused(refusal) => Err(refusal),
        ClaimResult::Won(claim) => {
            call.won = Some(ClaimGuard::new(&*app.claims, claim));
            call.run()
        }
    }
}

fn is_idempotent(app: &App, service: &ServiceId) -> Result<bool, Refusal> {
    let Some(current) = app.fleets.current() else {
        let text = "this host has no configuration yet; ask another one";
        return Err(Refusal::not_run(Code::NoConfiguration, text).after(COME_BACK));
    };
    let declared = current.fleet.services.get(service);
    declared.map(|service| service.idempotent).ok_or_else(|| {
        let text = format!("no service `{service}` is declared; declare it with `roseshore apply`");
        Refusal::not_run(Code::UnknownService, text)
    })
}

fn repeat(outcome: Outcome) -> CallOutcome {
    let Outcome { status, content, body, .. } = outcome;
    CallOutcome { reply: ServiceReply { status, content, body, replayed: true }, repeated: true }
}

struct Call<'a> {
    app: &'a App,
    ask: &'a RequestInfo,
    body: &'a [u8],
    key: Option<&'a Key>,
    trace: Option<&'a str>,
    idempotent: bool,
    won: Option<ClaimGuard<'a>>,
}

impl Call<'_> {
    fn run(mut self) -> Result<CallOutcome, Refusal> {
        let mut tried: Vec<TargetId> = vec![];
        let mut last: Option<Refusal> = None;
        while tried.len() < ATTEMPTS {
            let (replica, _place) = match self.app.router.replica(&self.ask.service, &tried) {
                Ok(found) => found,
                Err(none) => return self.refuse(last.unwrap_or(none)),
            };
            if !self.may_send() {
                return self.refuse(last.unwrap_or_else(late));
            }
            tried.push(replica.target.clone());
            let refusal = match self.send(&replica) {
                Ok(reply) => return Ok(self.answer(reply)),
                Err(err) => refused(&replica, &err),
            };
            let refusal = join(last.take(), refusal);
            let again = self.may_retry(refusal.verdict);
            last = Some(refusal);
            if !again {
                break;
            }
        }
        self.refuse(last.unwrap_or_else(late))
    }

    /// Asks for the dispatch of the claim, if there is one; the answer holds for every attempt.
    fn may_send(&mut self) -> bool {
        let in_time = Instant::now() < self.ask.deadline;
        in_time && self.won.as_mut().is_none_or(ClaimGuard::dispatch)
    }

    fn send(&self, replica: &Replica) -> Result<ServiceReply, CallError> {
        let hop = CallContext {
            deadline: self.ask.deadline,
            trace: self.trace.map(str::to_owned),
            request: self.ask.request.clone(),
        };
        let key = self.key.map(String::as_str);
        let began = Instant::now();
        let call = self.app.services.call(replica.addr, &self.ask.service, self.body, key, &hop);
        match &call {
            Ok(_) => self.app.router.record_latency(&replica.target, began.elapsed()),
            // A target that refuses is alive; the next one is tried, and its load report tells.
            Err(CallError::Refused(..)) => {}
            Err(_) => self.app.router.failed(&replica.target),
        }
        call
    }

    fn may_retry(&self, verdict: Verdict) -> bool {
        verdict.may_retry(self.idempotent) && self.app.budgets.try_spend(&self.ask.service)
    }

    fn answer(self, reply: ServiceReply) -> CallOutcome {
        self.app.budgets.record_success(&self.ask.service);
        if let Some(won) = self.won {
            let (status, content) = (reply.status, reply.content.clone());
            let body = reply.body.clone();
            won.settle(Outcome { verdict: Verdict::Answered, status, content, body });
        }
        CallOutcome { reply, repeated: false }
    }

    /// Ends the claim as the refusal says; a dropped one is abandoned or recorded as not known.
    fn refuse(self, refusal: Refusal) -> Result<CallOutcome, Refusal> {
        if let Some(won) = self.won.filter(ClaimGuard::dispatched)
            && refusal.verdict == Verdict::NotRun
        {
            won.settle(Outcome::not_run());
        }
        Err(refusal)
    }
}

/// What all attempts together prove.
fn join(last: Option<Refusal>, mut refusal: Refusal) -> Refusal {
    if let Some(last) = last {
        refusal.verdict = refusal.verdict.join(last.verdict);
    }
    refusal
}

fn refused(replica: &Replica, err: &CallError) -> Refusal {
    let target = &replica.target;
    let verdict = err.verdict();
    let (code, wait, advice) = match err {
        CallError::Unreached(_) => (Code::TargetUnreachable, Some(COME_BACK), "come back"),
        CallError::Refused(_, after, _) => {
            (Code::TargetRefused, Some(after.unwrap_or(COME_BACK)), "come back")
        }
        CallError::Lost(_) | CallError::Trimmed(..) => {
            (Code::TargetLost, None, "ask with the same key, or look before you send it again")
        }
        CallError::Garbled(_) => {
            (Code::TargetGarbled, None, "ask with the same key, or look before you send it again")
        }
    };
    let message = format!("target `{target}`: {err}; {advice}");
    Refusal { verdict, code, message, retry_after: wait }
}

fn late() -> Refusal {
    let text = "the deadline passed before the call was sent; send it again with a later one";
    Refusal::not_run(Code::DeadlinePassed, text).after(COME_BACK)
}
