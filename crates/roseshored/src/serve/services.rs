//! Lookups by name and calls of plain services.

use super::asking::{self, Asking};
use crate::front::exchange::{Exchange, Finish};
use crate::front::read::Request;
use crate::front::reply::Response;
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
    let fleet = asking::fleet(exchange)?;
    let (service, name) = rest.split_once('/').unwrap_or((rest, ""));
    let declared = find(&fleet, service, ServiceKind::Lookup)?;
    if !is_name(name) {
        let text =
            "a name is missing or has an empty or dotted part; ask for `/v1/lookup/SERVICE/NAME`";
        return Err(Refusal::not_run(Code::BadRequest, text));
    }
    let asking = Asking { fleet: &fleet, service, declared, cost: 1 };
    let ask = asking.ask(request, exchange)?;
    let _permit = asking::admit(exchange, &ask)?;
    exchange.dispatched = true;
    exchange.consulted = true;
    let trace = exchange.trace.header();
    let reply = lookups::run(&exchange.site.app, &ask, name, Some(&trace))?;
    give(exchange, &reply, false);
    Ok(Finish::default())
}

/// `POST /v1/call/SERVICE`.
pub(super) fn call(
    request: &Request,
    exchange: &mut Exchange<'_>,
    service: &str,
) -> Result<Finish, Refusal> {
    let fleet = asking::fleet(exchange)?;
    let declared = find(&fleet, service, ServiceKind::Plain)?;
    let asking = Asking { fleet: &fleet, service, declared, cost: 1 };
    let ask = asking.ask(request, exchange)?;
    let key = asking::key(request, &ask)?;
    let _permit = asking::admit(exchange, &ask)?;
    let digest = asking::digest([request.body.as_slice()]);
    let trace = exchange.trace.header();
    exchange.dispatched = true;
    exchange.consulted = true;
    let app = &exchange.site.app;
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
