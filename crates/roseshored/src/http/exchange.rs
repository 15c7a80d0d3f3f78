//! One request from its handler to its end.
//!
//! Whether a handler answers, refuses, panics or does not answer at all, every request ends here, with
//! the same verdict for the caller, the ledger, the metrics and the log.

use crate::context::ServerContext;
use crate::event;
use crate::http::read::Request;
use crate::http::reply::{Reply, Response};
use crate::spans::{TraceContext, hex16};
use rand::RngExt;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{RequestEnd, RequestInfo};
use serde_json::json;
use std::net::TcpStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use tiny_http::Method;

/// Retry delay when a refusal names none; a random delay of up to the same length is added, so that
/// callers do not all come back at once.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest id that a caller may give its request, in bytes.
const MAX_ID_LEN: usize = 64;

/// Details of an answered request for the ledger.
#[derive(Clone, Copy, Debug, Default)]
pub struct Finish {
    /// Whether the answer was a recorded one.
    pub repeated: bool,
    /// Number of re-routes.
    pub resumed: u32,
}

/// Handles the requests that the HTTP server has read.
pub trait RequestHandler: Sync {
    /// Serves one request.
    ///
    /// # Errors
    /// Returns the refusal that ends the request.
    fn handle(&self, request: &Request, exchange: &mut Exchange<'_>) -> Result<Finish, Refusal>;

    /// Whether a request starts no work on targets; such requests are served even if the daemon is full or
    /// leaving.
    fn is_status(&self, request: &Request) -> bool;

    /// The request's info if it belongs to an advisory service, whose requests must not be dropped
    /// silently.
    fn advisory(
        &self,
        context: &ServerContext,
        request: &Request,
        id: &RequestId,
    ) -> Option<RequestInfo>;
}

/// One request in progress.
pub struct Exchange<'a> {
    /// The daemon's components.
    pub context: &'a ServerContext,
    handler: &'a dyn RequestHandler,
    /// The request's unique id: a random part, after the caller's id if it sent one.
    pub id: RequestId,
    /// The id as the caller knows it; may occur more than once.
    pub external_id: RequestId,
    /// The request's span in the caller's trace.
    pub trace: TraceContext,
    /// Writes the response.
    pub reply: Reply,
    /// Organisation, service and deadline, once they are known.
    pub info: Option<RequestInfo>,
    /// Whether the request may have been sent to a target.
    pub dispatched: bool,
    /// Whether the state of its idempotency key has been checked.
    pub key_checked: bool,
    /// Whether the service is idempotent; `None` until the service is known.
    pub idempotent: Option<bool>,
    /// When the first byte of the answer was sent.
    pub first_byte: Option<Instant>,
    /// Whether the service is advisory, so that its requests must not be dropped silently.
    pub advisory: bool,
    has_key: bool,
    request: Option<&'a Request>,
}

impl<'a> Exchange<'a> {
    /// Creates the exchange of a request; `request` is `None` if its head could not be read. `close` is
    /// whether the connection is closed afterwards.
    pub fn new(
        context: &'a ServerContext,
        handler: &'a dyn RequestHandler,
        stream: TcpStream,
        request: Option<&'a Request>,
        close: bool,
    ) -> Exchange<'a> {
        let header = |name| request.and_then(|it| it.header(name));
        let head_only = request.is_some_and(|it| it.method == Method::Head);
        let chunked = request.is_none_or(|it| it.chunked);
        let nonce = hex16();
        let valid = header("x-request-id").filter(|it| is_valid_id(it));
        let id = valid.map_or(nonce.clone(), |it| format!("{it}~{nonce}"));
        Exchange {
            context,
            handler,
            external_id: valid.map_or(nonce, str::to_owned),
            id,
            trace: TraceContext::from_header(header("traceparent")),
            reply: Reply::new(stream, head_only, chunked, close),
            info: None,
            dispatched: false,
            key_checked: false,
            idempotent: None,
            first_byte: None,
            advisory: false,
            has_key: header("idempotency-key").is_some(),
            request,
        }
    }

    /// Runs the handler and ends the request.
    pub fn run(&mut self, request: &Request) {
        let span = tracing::info_span!(
            "request",
            request = self.id.as_str(),
            trace = self.trace.id(),
            path = request.path.as_str(),
        );
        let handler = self.handler;
        let result =
            span.in_scope(|| catch_unwind(AssertUnwindSafe(|| handler.handle(request, self))));
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
        self.identify_advisory();
        let last = self.final_refusal(refusal);
        let body = self.error_body(&last);
        if self.reply.streaming() {
            self.reply.fail(&body);
        } else if self.reply.unsent() {
            let response = self.error_response(&last, &body);
            self.reply.send(&response);
        }
        let FinalRefusal { refusal, .. } = last;
        // "Not found" is an answer that is sent in the form of a refusal.
        let answered = refusal.verdict == Verdict::Answered;
        if !self.reply.disconnected && !answered {
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

    /// Identifies a request of an advisory service that was refused before its headers were read.
    fn identify_advisory(&mut self) {
        let (None, Some(request)) = (&self.info, self.request) else { return };
        self.info = self.handler.advisory(self.context, request, &self.id);
        if let Some(info) = &self.info {
            self.advisory = true;
            self.context.app.ledger.begun(info);
        }
    }

    /// Whether the connection must be closed after this request.
    pub fn must_close(&self) -> bool {
        self.reply.close
    }

    /// Completes a refusal before it is sent. The verdict can only become less certain: tokens that were
    /// sent prove that the request ran, and if the state of its key was not checked, an earlier attempt
    /// may have run. Also sets a retry delay where one is missing.
    fn final_refusal(&self, mut refusal: Refusal) -> FinalRefusal {
        let ran = self.reply.streaming() || refusal.code == Code::Internal && self.dispatched;
        if ran {
            refusal.verdict = refusal.verdict.join(Verdict::MayHaveRun);
        }
        let attempt = refusal.verdict;
        if self.has_key && !self.key_checked && may_be_repeat(refusal.code) {
            refusal.verdict = refusal.verdict.join(Verdict::MayHaveRun);
        }
        let retryable = is_overload(refusal.code) || self.advisory && attempt == Verdict::NotRun;
        if refusal.retry_after.is_none() && retryable {
            refusal.retry_after =
                Some(RETRY_AFTER + rand::rng().random_range(Duration::ZERO..RETRY_AFTER));
        }
        FinalRefusal { refusal, attempt }
    }

    fn error_body(&self, last: &FinalRefusal) -> serde_json::Value {
        let refusal = &last.refusal;
        json!({"error": {
            "message": refusal.message,
            "type": error_type(refusal.code),
            "code": refusal.code.to_string(),
            "param": error_param(refusal.code),
            "verdict": refusal.verdict.name(),
            "attempt": last.attempt.name(),
            "request": self.external_id,
            "retry_after_ms": refusal.retry_after.map(|it| it.as_millis() as u64),
        }})
    }

    fn error_response(&self, last: &FinalRefusal, body: &serde_json::Value) -> Response {
        let refusal = &last.refusal;
        let mut response = Response::json(refusal.code.status(), body)
            .with("x-request-id", self.external_id.as_str())
            .with("x-verdict", refusal.verdict.name())
            .with("x-attempt", last.attempt.name())
            .with("x-code", refusal.code.to_string());
        if let Some(wait) = refusal.retry_after {
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            response = response.with("retry-after", seconds.to_string());
        }
        // OpenAI-compatible clients retry on their own unless this header forbids it.
        let unsafe_retry = refusal.verdict == Verdict::MayHaveRun && !self.has_key;
        if unsafe_retry && self.idempotent == Some(false) {
            response = response.with("x-should-retry", "false");
        }
        response
    }

    fn end(&mut self, verdict: Verdict, code: Option<Code>, finish: Finish) {
        let now = Instant::now();
        let caller_left = self.reply.disconnected;
        if caller_left {
            event!(Event::CallerLeft, "request={} verdict={}", self.id, verdict.name());
        }
        let Some(ask) = self.info.take() else {
            if let Some(code) = code {
                let code = code.to_string();
                metrics::counter!("roseshore_unread_total", "code" => code).increment(1);
            }
            return;
        };
        count_request(&ask, verdict, code, caller_left);
        if let Some(first) = self.first_byte {
            metrics::histogram!("roseshore_first_seconds").record(first - ask.arrived);
        }
        metrics::histogram!("roseshore_request_seconds").record(now - ask.arrived);
        if verdict == Verdict::Answered && now > ask.deadline {
            event!(Event::AnswerLate, "request={} service={}", self.id, ask.service);
        }
        event!(Event::RequestEnded, "request={} verdict={}", self.id, verdict.name());
        let Finish { repeated, resumed } = finish;
        let first = self.first_byte;
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
            report_missed(&end);
        }
        self.context.app.ledger.ended(&end);
    }
}

/// A refusal as it is sent to the caller.
struct FinalRefusal {
    refusal: Refusal,
    /// The verdict on this attempt alone, without earlier attempts with the same key.
    attempt: Verdict,
}

fn count_request(info: &RequestInfo, verdict: Verdict, code: Option<Code>, left: bool) {
    let code = code.map(|it| it.to_string()).unwrap_or_default();
    metrics::counter!(
        "roseshore_requests_total",
        "service" => info.service.clone(),
        "verdict" => verdict.name(),
        "code" => code
    )
    .increment(1);
    if left {
        metrics::counter!("roseshore_callers_left_total").increment(1);
    }
}

/// Logs and counts an advisory request that ended without a complete answer in time.
fn report_missed(end: &RequestEnd) {
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

/// Whether a request refused with this code may repeat an earlier one that ran. A request that cannot
/// be parsed cannot repeat one that was.
fn may_be_repeat(code: Code) -> bool {
    !matches!(
        code,
        Code::BadRequest
            | Code::BodyTooLarge
            | Code::SlowCaller
            | Code::UnknownPath
            | Code::BadHeader
    )
}

fn is_overload(code: Code) -> bool {
    matches!(code.status(), 429 | 503)
}

/// The error type of the OpenAI API.
fn error_type(code: Code) -> &'static str {
    match code.status() {
        429 => "rate_limit_error",
        403 => "permission_error",
        404 => "not_found_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

fn error_param(code: Code) -> Option<&'static str> {
    match code {
        Code::UnknownModel | Code::UnknownAdapter => Some("model"),
        _ => None,
    }
}

fn is_valid_id(id: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=MAX_ID_LEN).contains(&id.len()) && id.chars().all(allowed)
}
