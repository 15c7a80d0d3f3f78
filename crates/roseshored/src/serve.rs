//! What callers can ask: the paths, and the checks before anything is dispatched.
//!
//! The order is fixed, so that a refusal can say "not run" and mean it: is the host leaving, has it
//! a configuration, can the body be read, are service, adapter and organisation declared, is there
//! room, is the key free - and only then is a target given anything.

mod advisory;
mod models;
mod record;
mod request_info;
mod services;
mod status;

use crate::context::ServerContext;
use crate::http::exchange::{Exchange, Finish, RequestHandler};
use crate::http::read::Request;
use roseshore_core::prelude::*;
use roseshore_ports::inside::RequestInfo;
use tiny_http::Method;

/// The path of chats.
const CHAT: &str = "/v1/chat/completions";
/// The path of completions of a text.
const TEXT: &str = "/v1/completions";
/// The path below which names are looked up.
const LOOKUP: &str = "/v1/lookup/";
/// The path below which services are called.
const CALL: &str = "/v1/call/";

/// The paths behind the front.
pub struct Paths;

impl RequestHandler for Paths {
    fn handle(&self, request: &Request, exchange: &mut Exchange<'_>) -> Result<Finish, Refusal> {
        handle(request, exchange)
    }

    fn is_status(&self, request: &Request) -> bool {
        is_status(request)
    }

    fn advisory(
        &self,
        context: &ServerContext,
        request: &Request,
        id: &RequestId,
    ) -> Option<RequestInfo> {
        advisory::ask(context, request, id)
    }
}

/// Whether a request only looks at the daemon; those are served while it is full or leaving.
fn is_status(request: &Request) -> bool {
    let work = [CHAT, TEXT, LOOKUP, CALL];
    !work.iter().any(|it| request.path.starts_with(it))
}

fn handle(request: &Request, exchange: &mut Exchange<'_>) -> Result<Finish, Refusal> {
    let path = request.path.as_str();
    if is_status(request) {
        return status::handle(request, exchange);
    }
    if exchange.context.app.leaving() {
        exchange.reply.close = true;
        let text = "this host is leaving and takes no new work; another one will";
        return Err(Refusal::not_run(Code::Draining, text));
    }
    match request.method {
        Method::Post if path == CHAT => models::run(request, exchange, models::Form::Chat),
        Method::Post if path == TEXT => models::run(request, exchange, models::Form::Text),
        Method::Get | Method::Head if path.starts_with(LOOKUP) => {
            services::lookup(request, exchange, &path[LOOKUP.len()..])
        }
        Method::Post if path.starts_with(CALL) => {
            services::call(request, exchange, &path[CALL.len()..])
        }
        _ => Err(unknown(request)),
    }
}

fn unknown(request: &Request) -> Refusal {
    let text = format!(
        "`{} {}` is not served here; see the paths in the docs",
        request.method, request.path
    );
    Refusal::not_run(Code::UnknownPath, text)
}
