//! The routes of the callers' API, and the checks before a request is dispatched.
//!
//! The checks have a fixed order, and all of them precede the first byte to a target, so that a refusal
//! can truthfully say "not run": the host is not leaving, it has a configuration, the body is valid,
//! service, adapter and organisation are declared, the request is admitted, and its key is free.

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

/// Path of chat completions.
const CHAT: &str = "/v1/chat/completions";
/// Path of text completions.
const TEXT: &str = "/v1/completions";
/// Path prefix of lookups.
const LOOKUP: &str = "/v1/lookup/";
/// Path prefix of calls of plain services.
const CALL: &str = "/v1/call/";

/// The request handler of the daemon's HTTP server.
pub struct ApiRoutes;

impl RequestHandler for ApiRoutes {
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
        advisory::request_info(context, request, id)
    }
}

/// Whether a request only reads the daemon's status or is an operator's; such requests are served even
/// if the daemon is full or leaving.
fn is_status(request: &Request) -> bool {
    let work_paths = [CHAT, TEXT, LOOKUP, CALL];
    !work_paths.iter().any(|it| request.path.starts_with(it))
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
        Method::Post if path == CHAT => models::run(request, exchange, models::ApiFormat::Chat),
        Method::Post if path == TEXT => models::run(request, exchange, models::ApiFormat::Text),
        Method::Get | Method::Head if path.starts_with(LOOKUP) => {
            services::lookup(request, exchange, &path[LOOKUP.len()..])
        }
        Method::Post if path.starts_with(CALL) => {
            services::call(request, exchange, &path[CALL.len()..])
        }
        _ => Err(unknown_path(request)),
    }
}

fn unknown_path(request: &Request) -> Refusal {
    let text = format!(
        "`{} {}` is not served here; see the paths in the docs",
        request.method, request.path
    );
    Refusal::not_run(Code::UnknownPath, text)
}
