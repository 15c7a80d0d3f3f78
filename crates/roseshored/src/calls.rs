//! Calls of plain services, at most once where the service is not idempotent.
//!
//! A failed attempt that provably did not run is retried on another replica; one that may have run is
//! retried only if the service is declared idempotent. Every retry is charged to the service's retry
//! budget. A non-idempotent call with a key first claims the key: the claim is dispatched right before
//! the first byte is sent, and ends together with the call.

use crate::app::App;
use crate::claims::ClaimGuard;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ClaimResult, Outcome, Replica, RequestInfo};
use roseshore_ports::outside::{CallContext, CallError, ServiceReply};

/// Maximum number of replicas that one call is sent to.
const MAX_ATTEMPTS: usize = 4;
/// Retry delay given to callers when the target names none.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The reply to a call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The replica's reply, from this call or recorded when the key was first used.
    pub reply: ServiceReply,
    /// Whether the reply is the recorded one of an earlier call with the same key.
    pub repeated: bool,
}

/// Runs a call. `key` includes organisation and service; `digest` is over the body and guards against
/// the use of one key for two different requests.
///
/// # Errors
/// The refusal's verdict is [`Verdict::NotRun`] only if no replica started the call.
pub fn run(
    app: &App,
    info: &RequestInfo,
    body: &[u8],
    key: Option<&Key>,
    digest: u64,
    trace: Option<&str>,
) -> Result<CallOutcome, Refusal> {
    let idempotent = is_idempotent(app, &info.service)?;
    let mut call = Call { app, info, body, key, trace, idempotent, claim: None };
    let Some(key) = key.filter(|_| !idempotent) else { return call.run() };
    match app.claims.begin(key, digest, info.deadline) {
        ClaimResult::Settled(outcome) => Ok(replay(outcome)),
        ClaimResult::Refused(refusal) => Err(refusal),
        ClaimResult::Won(claim) => {
            call.claim = Some(ClaimGuard::new(&*app.claims, claim));
            call.run()
        }
    }
}

fn is_idempotent(app: &App, service: &ServiceId) -> Result<bool, Refusal> {
    let Some(current) = app.fleets.current() else {
        let text = "this host has no configuration yet; ask another one";
        return Err(Refusal::not_run(Code::NoConfiguration, text).after(RETRY_AFTER));
    };
    let declared = current.fleet.services.get(service);
    declared.map(|service| service.idempotent).ok_or_else(|| {
        let text = format!("no service `{service}` is declared; declare it with `roseshore apply`");
        Refusal::not_run(Code::UnknownService, text)
    })
}

fn replay(outcome: Outcome) -> CallOutcome {
    let Outcome { status, content, body, .. } = outcome;
    CallOutcome { reply: ServiceReply { status, content, body, replayed: true }, repeated: true }
}

/// A call in progress.
struct Call<'a> {
    app: &'a App,
    info: &'a RequestInfo,
    body: &'a [u8],
    key: Option<&'a Key>,
    trace: Option<&'a str>,
    idempotent: bool,
    claim: Option<ClaimGuard<'a>>,
}

impl Call<'_> {
    fn run(mut self) -> Result<CallOutcome, Refusal> {
        let mut tried: Vec<TargetId> = vec![];
        let mut last: Option<Refusal> = None;
        while tried.len() < MAX_ATTEMPTS {
            let (replica, _permit) = match self.app.router.replica(&self.info.service, &tried) {
                Ok(found) => found,
                Err(no_route) => return self.refuse(last.unwrap_or(no_route)),
            };
            if !self.may_send() {
                return self.refuse(last.unwrap_or_else(deadline_passed));
            }
            tried.push(replica.target.clone());
            let refusal = match self.send(&replica) {
                Ok(reply) => return Ok(self.finish(reply)),
                Err(err) => call_refusal(&replica, &err),
            };
            let refusal = join_verdicts(last.take(), refusal);
            let retry = self.may_retry(refusal.verdict);
            last = Some(refusal);
            if !retry {
                break;
            }
        }
        self.refuse(last.unwrap_or_else(deadline_passed))
    }

    /// Whether the call may be sent: the deadline has not passed and the claim, if any, is dispatched.
    /// The claim is dispatched once for all attempts.
    fn may_send(&mut self) -> bool {
        let in_time = Instant::now() < self.info.deadline;
        in_time && self.claim.as_mut().is_none_or(ClaimGuard::dispatch)
    }

    fn send(&self, replica: &Replica) -> Result<ServiceReply, CallError> {
        let context = CallContext {
            deadline: self.info.deadline,
            trace: self.trace.map(str::to_owned),
            request: self.info.request.clone(),
        };
        let key = self.key.map(String::as_str);
        let started = Instant::now();
        let result =
            self.app.services.call(replica.addr, &self.info.service, self.body, key, &context);
        match &result {
            Ok(_) => self.app.router.record_latency(&replica.target, started.elapsed()),
            // A target that refuses is alive, so it is not marked as failed; its load report shows
            // that it is full, and the next replica is tried.
            Err(CallError::Refused(..)) => {}
            Err(_) => self.app.router.failed(&replica.target),
        }
        result
    }

    fn may_retry(&self, verdict: Verdict) -> bool {
        verdict.may_retry(self.idempotent) && self.app.budgets.try_spend(&self.info.service)
    }

    fn finish(self, reply: ServiceReply) -> CallOutcome {
        self.app.budgets.record_success(&self.info.service);
        if let Some(claim) = self.claim {
            let (status, content) = (reply.status, reply.content.clone());
            let body = reply.body.clone();
            claim.settle(Outcome { verdict: Verdict::Answered, status, content, body });
        }
        CallOutcome { reply, repeated: false }
    }

    /// Ends the call with a refusal. A dispatched claim is settled as not run if the refusal proves it;
    /// otherwise dropping the guard abandons the claim or records its outcome as unknown.
    fn refuse(self, refusal: Refusal) -> Result<CallOutcome, Refusal> {
        if let Some(claim) = self.claim.filter(ClaimGuard::dispatched)
            && refusal.verdict == Verdict::NotRun
        {
            claim.settle(Outcome::not_run());
        }
        Err(refusal)
    }
}

/// Joins the verdicts of all attempts so far: one that may have run makes the call one that may.
fn join_verdicts(last: Option<Refusal>, mut refusal: Refusal) -> Refusal {
    if let Some(last) = last {
        refusal.verdict = refusal.verdict.join(last.verdict);
    }
    refusal
}

fn call_refusal(replica: &Replica, err: &CallError) -> Refusal {
    let target = &replica.target;
    let verdict = err.verdict();
    let (code, wait, advice) = match err {
        CallError::Unreached(_) => (Code::TargetUnreachable, Some(RETRY_AFTER), "come back"),
        CallError::Refused(_, after, _) => {
            (Code::TargetRefused, Some(after.unwrap_or(RETRY_AFTER)), "come back")
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

fn deadline_passed() -> Refusal {
    let text = "the deadline passed before the call was sent; send it again with a later one";
    Refusal::not_run(Code::DeadlinePassed, text).after(RETRY_AFTER)
}
