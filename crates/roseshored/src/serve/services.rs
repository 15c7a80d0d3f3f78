//! Handlers of lookups and of calls of plain services.

use super::request_info::{self, InfoBuilder};
use crate::http::exchange::{Exchange, Finish};
use crate::http::read::Request;
use crate::http::reply::Response;
use crate::{calls, lookups};
use roseshore_core::fleet::ServiceKind;
use roseshore_core::prelude::*;
use roseshore_ports::outside::ServiceReply;

/// Handles `GET /v1/lookup/SERVICE/NAME`; the name is passed on unchanged and may contain slashes.
pub(super) fn lookup(
    request: &Request,
    exchange: &mut Exchange<'_>,
    rest: &str,
) -> Result<Finish, Refusal> {
    let fleet = request_info::fleet(exchange)?;
    let (service, name) = rest.split_once('/').unwrap_or((rest, ""));
    let declared = find_service(&fleet, service, ServiceKind::Lookup)?;
    if !is_valid_name(name) {
        let text =
            "a name is missing or has an empty or dotted part; ask for `/v1/lookup/SERVICE/NAME`";
        return Err(Refusal::not_run(Code::BadRequest, text));
    }
    let builder = InfoBuilder { fleet: &fleet, service, declared, cost: 1 };
    let info = builder.build(request, exchange)?;
    let _permit = request_info::admit(exchange, &info)?;
    exchange.dispatched = true;
    exchange.key_checked = true;
    let trace = exchange.trace.header();
    let reply = lookups::run(&exchange.context.app, &info, name, Some(&trace))?;
    send_reply(exchange, &reply, false);
    Ok(Finish::default())
}

/// Handles `POST /v1/call/SERVICE`.
pub(super) fn call(
    request: &Request,
    exchange: &mut Exchange<'_>,
    service: &str,
) -> Result<Finish, Refusal> {
    let fleet = request_info::fleet(exchange)?;
    let declared = find_service(&fleet, service, ServiceKind::Plain)?;
    let builder = InfoBuilder { fleet: &fleet, service, declared, cost: 1 };
    let info = builder.build(request, exchange)?;
    let key = request_info::key(request, &info)?;
    let _permit = request_info::admit(exchange, &info)?;
    let digest = request_info::digest([&*request.body]);
    let trace = exchange.trace.header();
    exchange.dispatched = true;
    exchange.key_checked = true;
    let app = &exchange.context.app;
    let outcome = calls::run(app, &info, &request.body, key.as_ref(), digest, Some(&trace))?;
    let repeated = outcome.repeated || outcome.reply.replayed;
    send_reply(exchange, &outcome.reply, repeated);
    Ok(Finish { repeated, resumed: 0 })
}

fn send_reply(exchange: &mut Exchange<'_>, reply: &ServiceReply, repeated: bool) {
    let mut response = Response::new(reply.status, reply.content.clone(), reply.body.clone())
        .with("x-request-id", exchange.external_id.as_str())
        .with("x-verdict", Verdict::Answered.name());
    if repeated {
        response = response.with("idempotency-replayed", "true");
    }
    exchange.first_byte = Some(Instant::now());
    exchange.reply.send(&response);
}

fn find_service<'a>(
    fleet: &'a Fleet,
    name: &str,
    kind: ServiceKind,
) -> Result<&'a Service, Refusal> {
    fleet.services.get(name).filter(|it| it.kind == kind).ok_or_else(|| {
        let text = format!(
            "service `{name}` is not declared for this path; declare it with `roseshore apply`"
        );
        Refusal::not_run(Code::UnknownService, text)
    })
}

/// Rejects path segments like `..`, which could escape the target's path for lookups.
fn is_valid_name(name: &str) -> bool {
    !name.split('/').any(|it| it.is_empty() || it == "." || it == "..")
}
