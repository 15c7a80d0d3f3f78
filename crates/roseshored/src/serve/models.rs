//! Handlers of chat and text completions, compatible with the OpenAI API.

mod body;
mod form;

use super::record::{self, RecordedAnswer};
use super::request_info::{self, InfoBuilder};
use crate::answer::{self, AnswerRequest, CallerLeft, CompletedAnswer, TokenSink};
use crate::claims::ClaimGuard;
use crate::http::exchange::{Exchange, Finish};
use crate::http::read::Request;
use crate::http::reply::{Field, Response};
use body::CompletionRequest;
use form::Formatter;
use roseshore_core::fleet::ServiceKind;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ClaimResult, RequestInfo};

pub(super) use form::ApiFormat;

/// Handles `POST /v1/chat/completions` and `POST /v1/completions`.
pub(super) fn run(
    request: &Request,
    exchange: &mut Exchange<'_>,
    format: ApiFormat,
) -> Result<Finish, Refusal> {
    let fleet = request_info::fleet(exchange)?;
    let completion = CompletionRequest::read(&request.body, format)?;
    let (service, adapter) = split_adapter(&completion.model);
    let declared = find_service(&fleet, service)?;
    let model = declared.model.as_deref().unwrap_or(service);
    let declared_model = fleet.models.get(model).ok_or_else(|| unknown_model(service))?;
    if let Some(adapter) = adapter.filter(|it| !declared_model.adapters.contains(*it)) {
        let text = format!(
            "adapter `{adapter}` is not declared for model `{model}`; declare it with `roseshore apply`"
        );
        return Err(Refusal::not_run(Code::UnknownAdapter, text));
    }
    let cost = completion.prompt.len() as u32 + completion.max_tokens;
    let builder = InfoBuilder { fleet: &fleet, service, declared, cost };
    let info = builder.build(request, exchange)?;
    let key = request_info::key(request, &info)?;
    let version = exchange.context.app.router.version(&model.to_owned());
    let version = version.unwrap_or_else(|| declared_model.version.clone());
    let work = AnswerRequest {
        model: model.to_owned(),
        version,
        layers: declared_model.layers,
        adapter: adapter.map(str::to_owned),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens,
        trace: Some(exchange.trace.header()),
    };
    let formatter = Formatter::new(format, &exchange.external_id, &completion);
    let _permit = request_info::admit(exchange, &info)?;
    match key.filter(|_| !declared.idempotent) {
        Some(key) => run_once(exchange, &info, work, &formatter, &key),
        None => generate(exchange, &info, work, &formatter, None),
    }
}

/// Serves a non-idempotent request with a key: generates the answer, or returns the recorded one.
fn run_once(
    exchange: &mut Exchange<'_>,
    info: &RequestInfo,
    work: AnswerRequest,
    formatter: &Formatter,
    key: &Key,
) -> Result<Finish, Refusal> {
    let claims = exchange.context.app.claims.clone();
    let claim = {
        let _span = tracing::info_span!("claim").entered();
        claims.begin(key, digest(&work), info.deadline)
    };
    exchange.key_checked = true;
    match claim {
        ClaimResult::Won(claim) => {
            generate(exchange, info, work, formatter, Some(ClaimGuard::new(claims.as_ref(), claim)))
        }
        ClaimResult::Settled(outcome) => {
            Ok(replay(exchange, formatter, &RecordedAnswer::read(&outcome)?))
        }
        ClaimResult::Refused(refusal) => Err(refusal),
    }
}

/// A digest over all that determines the answer; the body's formatting and the delivery, whole or as a
/// stream, make no difference.
fn digest(work: &AnswerRequest) -> u64 {
    let max = work.max_tokens.to_be_bytes();
    let adapter = work.adapter.as_deref().unwrap_or_default();
    let head = [work.model.as_bytes(), adapter.as_bytes(), &max];
    request_info::digest(head.into_iter().chain(work.prompt.iter().map(String::as_bytes)))
}

fn generate(
    exchange: &mut Exchange<'_>,
    info: &RequestInfo,
    work: AnswerRequest,
    formatter: &Formatter,
    claim: Option<ClaimGuard<'_>>,
) -> Result<Finish, Refusal> {
    let app = exchange.context.app.clone();
    let request = exchange.id.clone();
    let mut sink = ExchangeSink { exchange, formatter, claim };
    let result = answer::run(&app, info, work, &mut sink);
    let ExchangeSink { exchange, claim, .. } = sink;
    // Dropping a claim that was not dispatched abandons it.
    if let Some(claim) = claim.filter(|_| exchange.dispatched) {
        claim.settle(match &result {
            Ok(answer) => RecordedAnswer::new(&request, answer).outcome(),
            Err(refusal) => record::refusal_outcome(refusal),
        });
    }
    let answer = result?;
    send_answer(exchange, formatter, &answer);
    Ok(Finish { repeated: false, resumed: answer.reroutes })
}

fn send_answer(exchange: &mut Exchange<'_>, formatter: &Formatter, answer: &CompletedAnswer) {
    if !formatter.stream {
        let body = formatter.complete(&answer.text, answer.token_count, &answer.finish_reason);
        send_body(exchange, &body, false);
        return;
    }
    if exchange.reply.unsent() {
        let fields = response_headers(exchange, false);
        exchange.reply.open(&fields, &formatter.stream_start());
    }
    exchange.reply.event(&formatter.stream_end(answer.token_count, &answer.finish_reason));
    exchange.reply.done();
}

fn replay(exchange: &mut Exchange<'_>, formatter: &Formatter, recorded: &RecordedAnswer) -> Finish {
    exchange.first_byte = Some(Instant::now());
    if formatter.stream {
        let fields = response_headers(exchange, true);
        let first = formatter.stream_start() + &formatter.token(&recorded.text);
        exchange.reply.open(&fields, &first);
        exchange.reply.event(&formatter.stream_end(recorded.count, &recorded.reason));
        exchange.reply.done();
    } else {
        let body = formatter.complete(&recorded.text, recorded.count, &recorded.reason);
        send_body(exchange, &body, true);
    }
    Finish { repeated: true, resumed: 0 }
}

fn send_body(exchange: &mut Exchange<'_>, body: &serde_json::Value, replayed: bool) {
    let mut response = Response::json(200, body);
    response.fields = response_headers(exchange, replayed);
    response.fields.push(Field::new("x-verdict", Verdict::Answered.name()));
    exchange.reply.send(&response);
}

fn response_headers(exchange: &Exchange<'_>, replayed: bool) -> Vec<Field> {
    let mut fields = vec![Field::new("x-request-id", exchange.external_id.as_str())];
    if replayed {
        fields.push(Field::new("idempotency-replayed", "true"));
    }
    fields
}

/// Writes each token to the caller as it arrives, if the caller asked for a stream.
struct ExchangeSink<'a, 'b, 'c> {
    exchange: &'a mut Exchange<'b>,
    formatter: &'a Formatter,
    claim: Option<ClaimGuard<'c>>,
}

impl TokenSink for ExchangeSink<'_, '_, '_> {
    fn dispatch(&mut self) -> Result<(), Refusal> {
        if let Some(claim) = &mut self.claim
            && !claim.dispatch()
        {
            let text = "the claim of this key ran out before anything was sent; ask again";
            return Err(Refusal::not_run(Code::KeyInProgress, text));
        }
        self.exchange.dispatched = true;
        Ok(())
    }

    fn token(&mut self, _position: Position, text: &str) -> Result<(), CallerLeft> {
        self.exchange.first_byte.get_or_insert_with(Instant::now);
        if !self.formatter.stream {
            return Ok(());
        }
        if self.exchange.reply.unsent() {
            let fields = response_headers(self.exchange, false);
            let first = self.formatter.stream_start() + &self.formatter.token(text);
            self.exchange.reply.open(&fields, &first);
        } else {
            self.exchange.reply.event(&self.formatter.token(text));
        }
        // A recorded answer is generated to its end even if the caller has left, so that a repeated
        // request with the same key can get it.
        let cancel = self.exchange.reply.disconnected && self.claim.is_none();
        if cancel { Err(CallerLeft) } else { Ok(()) }
    }
}

/// Splits `service:adapter`; the adapter is `None` for a plain `service`.
pub(super) fn split_adapter(model: &str) -> (&str, Option<&str>) {
    match model.split_once(':') {
        Some((service, adapter)) => (service, Some(adapter)),
        None => (model, None),
    }
}

fn find_service<'a>(fleet: &'a Fleet, name: &str) -> Result<&'a Service, Refusal> {
    let service = fleet.services.get(name).filter(|it| it.kind == ServiceKind::Model);
    service.ok_or_else(|| unknown_model(name))
}

fn unknown_model(name: &str) -> Refusal {
    let text = format!("model `{name}` is not declared; `GET /v1/models` lists those that are");
    Refusal::not_run(Code::UnknownModel, text)
}
