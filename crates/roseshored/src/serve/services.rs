//! Lookups by name and calls of plain services.

use super::request_info::{self, RequestHeaders};
use crate::http::exchange::{Exchange, Finish};
use crate::http::read::Request;
use crate::http::reply::Response;
use crate::{calls, lookups};
use roseshore_core::fleet::ServiceKind;
use roseshore_core::prelude::*;
use roseshore_ports::outside::ServiceReply;

/// `GET /v1/lookup/SERVICE/NAME`; the name is passed on as it stands, slashes included.
pub(super) fn lookup(
    request: &Request,
    exchange: &mut Exchange<'_>,
    rest: &str,
) -> Result<Finish, Refusal> {
    let fleet = request_info::fleet(exchange)?;
    let (service, name) = rest.split_once('/').unwrap_or((rest, ""));
    let declared = find(&fleet, service, ServiceKind::Lookup)?;
    if !is_name(name) {
        let text =
            "a name is missing or has an empty or dotted part; ask for `/v1/lookup/SERVICE/NAME`";
        return Err(Refusal::not_run(Code::BadRequest, text));
    }
    let headers = RequestHeaders { fleet: &fleet, service, declared, cost: 1 };
    let ask = headers.ask(request, exchange)?;
    let _permit = request_info::admit(exchange, &ask)?;
    exchange.dispatched = true;
    exchange.consulted = true;
    let trace = exchange.trace.header();
    let reply = lookups::run(&exchange.context.app, &ask, name, Some(&trace))?;
    give(exchange, &reply, false);
    Ok(Finish::default())
}

/// `POST /v1/call/SERVICE`.
pub(super) fn call(
    request: &Request,
    exchange: &mut Exchange<'_>,
    service: &str,
) -> Result<Finish, Refusal> {
    let fleet = request_info::fleet(exchange)?;
    let declared = find(&fleet, service, ServiceKind::Plain)?;
    let headers = RequestHeaders { fleet: &fleet, service, declared, cost: 1 };
    let ask = headers.ask(request, exchange)?;
    let key = request_info::key(request, &ask)?;
    let _permit = request_info::admit(exchange, &ask)?;
    let digest = request_info::digest([request.body.as_slice()]);
    let trace = exchange.trace.header();
    exchange.dispatched = true;
    exchange.consulted = true;
    let app = &exchange.context.app;
    let end = calls::run(app, &ask, &request.body, key.as_ref(), digest, Some(&trace))?;
    let repeated = end.repeated || end.reply.replayed;
    give(exchange, &end.reply, repeated);
    Ok(Finish { repeated, resumed: 0 })
}

fn give(exchange: &mut Exchange<'_>, reply: &ServiceReply, repeated: bool) {
    let mut response = Response::new(reply.status, reply.content.clone(), reply.body.clone())
        .with("x-request-id", exchange.given.as_str())
        .with("x-verdict", Verdict::Answered.name());
    if repeated {
        response = response.with("idempotency-replayed", "true");
    }
    exchange.first = Some(Instant::now());
    exchange.reply.send(&response);
}

fn find<'a>(fleet: &'a Fleet, name: &str, kind: ServiceKind) -> Result<&'a Service, Refusal> {
    fleet.services.get(name).filter(|it| it.kind == kind).ok_or_else(|| {
        let text = format!(
            "service `{name}` is not declared for this path; declare it with `roseshore apply`"
        );
        Refusal::not_run(Code::UnknownService, text)
    })
}

/// Parts like `..` would let a name leave its place in the target's paths.
fn is_name(name: &str) -> bool {
    !name.split('/').any(|it| it.is_empty() || it == "." || it == "..")
}
