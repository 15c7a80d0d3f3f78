//! One request and its one end.
//!
//! Whatever a handler does - answer, refuse, panic, or forget to answer - ends here, in one
//! place, with one verdict: to the caller, the ledger, the metrics and the log.

use crate::context::ServerContext;
use crate::event;
use crate::http::read::Request;
use crate::http::reply::{Reply, Response};
use crate::spans::{Trace, hex16};
use rand::RngExt;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{RequestEnd, RequestInfo};
use serde_json::json;
use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use tiny_http::Method;

/// How long to stay away when a refusal does not say; as much again is added by chance.
const AWAY: Duration = Duration::from_millis(500);
/// The longest id that a caller may give its request.
const MAX_ID: usize = 64;

/// How an answered request went.
#[derive(Clone, Copy, Debug, Default)]
pub struct Finish {
    /// Whether it was a recorded answer given again.
    pub repeated: bool,
    /// Re-routes it took.
    pub resumed: u32,
}

/// What is behind the front.
pub trait RequestHandler: Sync {
    /// Serves one request.
    ///
    /// # Errors
    /// The refusal that ends it.
    fn handle(&self, request: &Request, exchange: &mut Exchange<'_>) -> Result<Finish, Refusal>;

    /// Whether a request only looks at the daemon; those are served while it is full or leaving.
    fn is_status(&self, request: &Request) -> bool;

    /// Whose request it is, if it is one that must not be dropped silently.
    fn advisory(
        &self,
        context: &ServerContext,
        request: &Request,
        id: &RequestId,
    ) -> Option<RequestInfo>;
}

/// One request on its way to its end.
pub struct Exchange<'a> {
    /// The daemon's parts.
    pub context: &'a ServerContext,
    behind: &'a dyn RequestHandler,
    /// The request's own id: the caller's, if it gave one, and a part that never occurs twice.
    pub id: RequestId,
    /// The id as the caller knows it.
    pub given: RequestId,
    /// The request's place in the caller's trace.
    pub trace: Trace,
    /// The way back.
    pub reply: Reply,
    /// Whose it is, once that is known.
    pub ask: Option<RequestInfo>,
    /// Whether a target may have been given it.
    pub dispatched: bool,
    /// Whether the record of its key was read.
    pub consulted: bool,
    /// Whether the service may run it twice; `None` until the service is known.
    pub idempotent: Option<bool>,
    /// When the first token or byte was sent.
    pub first: Option<Instant>,
    /// Whether its service's work must not be dropped silently.
    pub advisory: bool,
    keyed: bool,
    request: Option<&'a Request>,
}

impl<'a> Exchange<'a> {
    /// The exchange of a request, or of one whose head could not be read.
    pub fn new(
        context: &'a ServerContext,
        behind: &'a dyn RequestHandler,
        stream: TcpStream,
        request: Option<&'a Request>,
        last: bool,
    ) -> Exchange<'a> {
        let header = |name| request.and_then(|it| it.header(name));
        let bare = request.is_some_and(|it| it.method == Method::Head);
        let chunks = request.is_none_or(|it| it.chunks);
        let nonce = hex16();
        let sane = header("x-request-id").filter(|it| is_sane(it));
        let id = sane.map_or(nonce.clone(), |it| format!("{it}~{nonce}"));
        Exchange {
            context,
            behind,
            given: sane.map_or(nonce, str::to_owned),
            id,
            trace: Trace::below(header("traceparent")),
            reply: Reply::new(stream, bare, chunks, last),
            ask: None,
            dispatched: false,
            consulted: false,
            idempotent: None,
            first: None,
            advisory: false,
            keyed: header("idempotency-key").is_some(),
            request,
        }
    }

    /// Serves the request to its end.
    pub fn run(&mut self, request: &Request) {
        let span = tracing::info_span!(
            "request",
            request = self.id.as_str(),
            trace = self.trace.id(),
            path = request.path.as_str(),
        );
        let behind = self.behind;
        let result =
            span.in_scope(|| catch_unwind(AssertUnwindSafe(|| behind.handle(request, self))));
        match result {
            Ok(Ok(finish)) if !self.reply.unsent() && !self.reply.streaming() => {
                self.end(Verdict::Answered, None, finish);
            }
            Ok(Err(refusal)) => self.refuse(refusal),
            Ok(Ok(_)) => self.refuse(internal("the request was left without an answer")),
            Err(_) => {
                event!(Event::ThreadLost, "request={} thread=caller", self.id);
                self.refuse(internal("a fault of this daemon; ask again by the request's id"));
            }
        }
    }

    /// Ends the request with a refusal.
    pub fn refuse(&mut self, refusal: Refusal) {
        self.look_whose();
        let settled = self.settle(refusal);
        let body = self.error(&settled);
        if self.reply.streaming() {
            self.reply.fail(&body);
        } else if self.reply.unsent() {
            let response = self.response(&settled, &body);
            self.reply.send(&response);
        }
        let Settled { refusal, .. } = settled;
        // "Not found" is an answer in the form of a refusal.
        let answered = refusal.verdict == Verdict::Answered;
        if !self.reply.broken && !answered {
            event!(
                Event::RequestRefused,
                "request={} code={} verdict={} {}",
                self.id,
                refusal.code,
                refusal.verdict.name(),
                refusal.message
            );
        }
        self.end(refusal.verdict, Some(refusal.code), Finish::default());
    }

    /// A request that was refused before it was read may be advisory work.
    fn look_whose(&mut self) {
        let (None, Some(request)) = (&self.ask, self.request) else { return };
        self.ask = self.behind.advisory(self.context, request, &self.id);
        if let Some(ask) = &self.ask {
            self.advisory = true;
            self.context.app.ledger.begun(ask);
        }
    }

    /// Whether the connection must be closed.
    pub fn closes(&self) -> bool {
        self.reply.close
    }

    /// A verdict is only made less certain here: tokens that were sent prove that it ran, and an
    /// attempt whose key's record was not read proves nothing of earlier attempts.
    fn settle(&self, mut refusal: Refusal) -> Settled {
        let ran = self.reply.streaming() || refusal.code == Code::Internal && self.dispatched;
        if ran {
            refusal.verdict = refusal.verdict.join(Verdict::MayHaveRun);
        }
        let attempt = refusal.verdict;
        if self.keyed && !self.consulted && may_repeat(refusal.code) {
            refusal.verdict = refusal.verdict.join(Verdict::MayHaveRun);
        }
        let comes_back = comes_back(refusal.code) || self.advisory && attempt == Verdict::NotRun;
        if refusal.retry_after.is_none() && comes_back {
            refusal.retry_after = Some(AWAY + rand::rng().random_range(Duration::ZERO..AWAY));
        }
        Settled { refusal, attempt }
    }

    fn error(&self, settled: &Settled) -> serde_json::Value {
        let refusal = &settled.refusal;
        json!({"error": {
            "message": refusal.message,
            "type": kind(refusal.code),
            "code": refusal.code.to_string(),
            "param": param(refusal.code),
            "verdict": refusal.verdict.name(),
            "attempt": settled.attempt.name(),
            "request": self.given,
            "retry_after_ms": refusal.retry_after.map(|it| it.as_millis() as u64),
        }})
    }

    fn response(&self, settled: &Settled, body: &serde_json::Value) -> Response {
        let refusal = &settled.refusal;
        let mut response = Response::json(refusal.code.status(), body)
            .with("x-request-id", self.given.as_str())
            .with("x-verdict", refusal.verdict.name())
            .with("x-attempt", settled.attempt.name())
            .with("x-code", refusal.code.to_string());
        if let Some(wait) = refusal.retry_after {
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            response = response.with("retry-after", seconds.to_string());
        }
        // Stock clients repeat refusals by themselves unless they are told not to.
        let harmful = refusal.verdict == Verdict::MayHaveRun && !self.keyed;
        if harmful && self.idempotent == Some(false) {
            response = response.with("x-should-retry", "false");
        }
        response
    }

    fn end(&mut self, verdict: Verdict, code: Option<Code>, finish: Finish) {
        let now = Instant::now();
        let caller_left = self.reply.broken;
        if caller_left {
            event!(Event::CallerLeft, "request={} verdict={}", self.id, verdict.name());
        }
        let Some(ask) = self.ask.take() else {
            if let Some(code) = code {
                let code = code.to_string();
                metrics::counter!("roseshore_unread_total", "code" => code).increment(1);
            }
            return;
        };
        count(&ask, verdict, code, caller_left);
        if let Some(first) = self.first {
            metrics::histogram!("roseshore_first_seconds").record(first - ask.arrived);
        }
        metrics::histogram!("roseshore_request_seconds").record(now - ask.arrived);
        if verdict == Verdict::Answered && now > ask.deadline {
            event!(Event::AnswerLate, "request={} service={}", self.id, ask.service);
        }
        event!(Event::RequestEnded, "request={} verdict={}", self.id, verdict.name());
        let Finish { repeated, resumed } = finish;
        let first = self.first;
        let advisory = self.advisory;
        let end = RequestEnd {
            ask,
            verdict,
            code,
            repeated,
            caller_left,
            ended: now,
            first,
            resumed,
            advisory,
        };
        if end.missed() {
            tell_missed(&end);
        }
        self.context.app.ledger.ended(&end);
    }
}

/// A refusal as the caller is told it.
struct Settled {
    refusal: Refusal,
    /// What is known of this attempt alone, whatever earlier ones with its key did.
    attempt: Verdict,
}

fn count(ask: &RequestInfo, verdict: Verdict, code: Option<Code>, left: bool) {
    let code = code.map(|it| it.to_string()).unwrap_or_default();
    metrics::counter!(
        "roseshore_requests_total",
        "service" => ask.service.clone(),
        "verdict" => verdict.name(),
        "code" => code
    )
    .increment(1);
    if left {
        metrics::counter!("roseshore_callers_left_total").increment(1);
    }
}

/// Says that advisory work ended without a whole answer in time.
fn tell_missed(end: &RequestEnd) {
    let RequestInfo { request, organisation, service, .. } = &end.ask;
    let verdict = end.verdict.name();
    let code = end.code.map(|it| it.to_string()).unwrap_or_default();
    let late = end.ended.saturating_duration_since(end.ask.deadline).as_millis();
    event!(
        Event::AdvisoryMissed,
        "request={request} organisation={organisation} service={service} verdict={verdict} \
         code={code} late_ms={late} left={}",
        end.caller_left
    );
    metrics::counter!(
        "roseshore_advisory_missed_total",
        "service" => service.clone(),
        "verdict" => verdict,
        "code" => code
    )
    .increment(1);
}

fn internal(text: &str) -> Refusal {
    Refusal::not_run(Code::Internal, text)
}

/// Whether a refusal with this code may have met a request that an earlier attempt ran. One that
/// cannot be read is no repeat of one that could.
fn may_repeat(code: Code) -> bool {
    !matches!(
        code,
        Code::BadRequest
            | Code::BodyTooLarge
            | Code::SlowCaller
            | Code::UnknownPath
            | Code::BadHeader
    )
}

fn comes_back(code: Code) -> bool {
    matches!(code.status(), 429 | 503)
}

/// The class of error in the form that callers of language models know.
fn kind(code: Code) -> &'static str {
    match code.status() {
        429 => "rate_limit_error",
        403 => "permission_error",
        404 => "not_found_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

fn param(code: Code) -> Option<&'static str> {
    match code {
        Code::UnknownModel | Code::UnknownAdapter => Some("model"),
        _ => None,
    }
}

fn is_sane(id: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=MAX_ID).contains(&id.len()) && id.chars().all(plain)
}
