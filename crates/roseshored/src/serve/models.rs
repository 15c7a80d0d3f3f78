//! Answers of models in the form that callers of language models use.

mod body;
mod form;

use super::record::{self, Recorded};
use super::request_info::{self, RequestHeaders};
use crate::answer::{self, AnswerRequest, CallerLeft, CompletedAnswer, TokenSink};
use crate::claims::ClaimGuard;
use crate::http::exchange::{Exchange, Finish};
use crate::http::read::Request;
use crate::http::reply::{Field, Response};
use body::Question;
use form::Shape;
use roseshore_core::fleet::ServiceKind;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ClaimResult, RequestInfo};

pub(super) use form::Form;

/// `POST /v1/chat/completions` and `POST /v1/completions`.
pub(super) fn run(
    request: &Request,
    exchange: &mut Exchange<'_>,
    form: Form,
) -> Result<Finish, Refusal> {
    let fleet = request_info::fleet(exchange)?;
    let question = Question::read(&request.body, form)?;
    let (service, adapter) = split(&question.model);
    let declared = find(&fleet, service)?;
    let model = declared.model.as_deref().unwrap_or(service);
    let behind = fleet.models.get(model).ok_or_else(|| unknown(service))?;
    if let Some(adapter) = adapter.filter(|it| !behind.adapters.contains(*it)) {
        let text = format!(
            "adapter `{adapter}` is not declared for model `{model}`; declare it with `roseshore apply`"
        );
        return Err(Refusal::not_run(Code::UnknownAdapter, text));
    }
    let cost = question.prompt.len() as u32 + question.max_tokens;
    let headers = RequestHeaders { fleet: &fleet, service, declared, cost };
    let ask = headers.ask(request, exchange)?;
    let key = request_info::key(request, &ask)?;
    let version = exchange.context.app.router.version(&model.to_owned());
    let version = version.unwrap_or_else(|| behind.version.clone());
    let work = AnswerRequest {
        model: model.to_owned(),
        version,
        layers: behind.layers,
        adapter: adapter.map(str::to_owned),
        prompt: question.prompt.clone(),
        max_tokens: question.max_tokens,
        trace: Some(exchange.trace.header()),
    };
    let shape = Shape::new(form, &exchange.given, &question);
    let _permit = request_info::admit(exchange, &ask)?;
    match key.filter(|_| !declared.idempotent) {
        Some(key) => once(exchange, &ask, work, &shape, &key),
        None => give(exchange, &ask, work, &shape, None),
    }
}

/// Answers a question that may run once, from the record if it has run.
fn once(
    exchange: &mut Exchange<'_>,
    ask: &RequestInfo,
    work: AnswerRequest,
    shape: &Shape,
    key: &Key,
) -> Result<Finish, Refusal> {
    let claims = exchange.context.app.claims.clone();
    let begin = {
        let _span = tracing::info_span!("claim").entered();
        claims.begin(key, digest(&work), ask.deadline)
    };
    exchange.consulted = true;
    match begin {
        ClaimResult::Won(claim) => {
            give(exchange, ask, work, shape, Some(ClaimGuard::new(claims.as_ref(), claim)))
        }
        ClaimResult::Settled(outcome) => Ok(replay(exchange, shape, &Recorded::read(&outcome)?)),
        ClaimResult::Refused(refusal) => Err(refusal),
    }
}

/// A digest over what decides the answer, however the body is written and delivered.
fn digest(work: &AnswerRequest) -> u64 {
    let max = work.max_tokens.to_be_bytes();
    let adapter = work.adapter.as_deref().unwrap_or_default();
    let head = [work.model.as_bytes(), adapter.as_bytes(), &max];
    request_info::digest(head.into_iter().chain(work.prompt.iter().map(String::as_bytes)))
}

fn give(
    exchange: &mut Exchange<'_>,
    ask: &RequestInfo,
    work: AnswerRequest,
    shape: &Shape,
    won: Option<ClaimGuard<'_>>,
) -> Result<Finish, Refusal> {
    let app = exchange.context.app.clone();
    let request = exchange.id.clone();
    let mut live = Live { exchange, shape, won };
    let result = answer::run(&app, ask, work, &mut live);
    let Live { exchange, won, .. } = live;
    // A claim that was not dispatched is abandoned by its drop.
    if let Some(won) = won.filter(|_| exchange.dispatched) {
        won.settle(match &result {
            Ok(whole) => Recorded::new(&request, whole).outcome(),
            Err(refusal) => record::unanswered(refusal),
        });
    }
    let whole = result?;
    finish(exchange, shape, &whole);
    Ok(Finish { repeated: false, resumed: whole.reroutes })
}

fn finish(exchange: &mut Exchange<'_>, shape: &Shape, whole: &CompletedAnswer) {
    if !shape.stream {
        let body = shape.whole(&whole.text, whole.token_count, &whole.finish_reason);
        send(exchange, &body, false);
        return;
    }
    if exchange.reply.unsent() {
        let fields = fields(exchange, false);
        exchange.reply.open(&fields, &shape.first());
    }
    exchange.reply.event(&shape.last(whole.token_count, &whole.finish_reason));
    exchange.reply.done();
}

fn replay(exchange: &mut Exchange<'_>, shape: &Shape, recorded: &Recorded) -> Finish {
    exchange.first = Some(Instant::now());
    if shape.stream {
        let fields = fields(exchange, true);
        let first = shape.first() + &shape.token(&recorded.text);
        exchange.reply.open(&fields, &first);
        exchange.reply.event(&shape.last(recorded.count, &recorded.reason));
        exchange.reply.done();
    } else {
        let body = shape.whole(&recorded.text, recorded.count, &recorded.reason);
        send(exchange, &body, true);
    }
    Finish { repeated: true, resumed: 0 }
}

fn send(exchange: &mut Exchange<'_>, body: &serde_json::Value, replayed: bool) {
    let mut response = Response::json(200, body);
    response.fields = fields(exchange, replayed);
    response.fields.push(Field::new("x-verdict", Verdict::Answered.name()));
    exchange.reply.send(&response);
}

fn fields(exchange: &Exchange<'_>, replayed: bool) -> Vec<Field> {
    let mut fields = vec![Field::new("x-request-id", exchange.given.as_str())];
    if replayed {
        fields.push(Field::new("idempotency-replayed", "true"));
    }
    fields
}

/// Hands tokens on as they come.
struct Live<'a, 'b, 'c> {
    exchange: &'a mut Exchange<'b>,
    shape: &'a Shape,
    won: Option<ClaimGuard<'c>>,
}

impl TokenSink for Live<'_, '_, '_> {
    fn dispatch(&mut self) -> Result<(), Refusal> {
        if let Some(won) = &mut self.won
            && !won.dispatch()
        {
            let text = "the claim of this key ran out before anything was sent; ask again";
            return Err(Refusal::not_run(Code::KeyInProgress, text));
        }
        self.exchange.dispatched = true;
        Ok(())
    }

    fn token(&mut self, _position: Position, text: &str) -> Result<(), CallerLeft> {
        self.exchange.first.get_or_insert_with(Instant::now);
        if !self.shape.stream {
            return Ok(());
        }
        if self.exchange.reply.unsent() {
            let fields = fields(self.exchange, false);
            let first = self.shape.first() + &self.shape.token(text);
            self.exchange.reply.open(&fields, &first);
        } else {
            self.exchange.reply.event(&self.shape.token(text));
        }
        // An answer that is recorded is worked out to its end, so that a repeat can have it.
        let gone = self.exchange.reply.broken && self.won.is_none();
        if gone { Err(CallerLeft) } else { Ok(()) }
    }
}

/// `service:adapter`.
pub(super) fn split(model: &str) -> (&str, Option<&str>) {
    match model.split_once(':') {
        Some((service, adapter)) => (service, Some(adapter)),
        None => (model, None),
    }
}

fn find<'a>(fleet: &'a Fleet, name: &str) -> Result<&'a Service, Refusal> {
    let service = fleet.services.get(name).filter(|it| it.kind == ServiceKind::Model);
    service.ok_or_else(|| unknown(name))
}

fn unknown(name: &str) -> Refusal {
    let text = format!("model `{name}` is not declared; `GET /v1/models` lists those that are");
    Refusal::not_run(Code::UnknownModel, text)
}
