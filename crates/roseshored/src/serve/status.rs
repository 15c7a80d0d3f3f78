//! Handlers of health checks, operators' requests, metrics and other reads of the daemon's status.

use super::request_info;
use crate::admin::{self, AdminApi, Call};
use crate::http::exchange::{Exchange, Finish};
use crate::http::read::Request;
use crate::http::reply::Response;
use roseshore_core::fleet::ServiceKind;
use roseshore_core::ledger::history::{EndedRequest, RequestState};
use roseshore_core::prelude::*;
use serde_json::{Value, json};
use tiny_http::Method;

/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves the requests that start no work on targets.
pub(super) fn handle(request: &Request, exchange: &mut Exchange<'_>) -> Result<Finish, Refusal> {
    if let Some(admin_api) = &exchange.context.admin_api
        && request.path.starts_with(admin::PREFIX)
    {
        let response = admin_response(admin_api, request);
        exchange.reply.send(&response);
        return Ok(Finish::default());
    }
    if !matches!(request.method, Method::Get | Method::Head) {
        return Err(super::unknown_path(request));
    }
    let path = request.path.as_str();
    let response = match path {
        "/healthz" => Response::json(200, &json!({"status": "ok"})),
        "/readyz" => readiness(exchange)?,
        "/metrics" => Response::new(200, METRICS_TYPE, render_metrics(exchange).into_bytes()),
        "/v1/models" => Response::json(200, &list_models(exchange)?),
        _ => match path.rsplit_once('/') {
            Some(("/v1/requests", id)) => request_state(exchange, id),
            Some(("/v1/trace", id)) => trace(exchange, id),
            _ => return Err(super::unknown_path(request)),
        },
    };
    let response = response.with("x-request-id", exchange.external_id.as_str());
    exchange.reply.send(&response);
    Ok(Finish::default())
}

fn admin_response(admin_api: &AdminApi, request: &Request) -> Response {
    let path = format!("{}?{}", request.path, request.query);
    let method = request.method.as_str();
    let answer = admin::handle(admin_api, &Call { method, path: &path, body: &request.body });
    Response::new(answer.status, "application/json", answer.body)
}

fn readiness(exchange: &Exchange<'_>) -> Result<Response, Refusal> {
    if exchange.context.app.leaving() {
        return Err(Refusal::not_run(Code::Draining, "this host is leaving"));
    }
    request_info::fleet(exchange)?;
    Ok(Response::json(200, &json!({"status": "ready"})))
}

fn render_metrics(exchange: &Exchange<'_>) -> String {
    let Some(handle) = &exchange.context.metrics else { return String::new() };
    handle.run_upkeep();
    handle.render()
}

/// All model services, and each combined with its adapters, as an OpenAI-compatible model list.
fn list_models(exchange: &Exchange<'_>) -> Result<Value, Refusal> {
    let fleet = request_info::fleet(exchange)?;
    let mut ids = Vec::new();
    for (name, service) in &fleet.services {
        if service.kind != ServiceKind::Model {
            continue;
        }
        ids.push(name.clone());
        let model = service.model.as_ref().unwrap_or(name);
        let adapters = fleet.models.get(model).map(|it| &it.adapters);
        ids.extend(adapters.into_iter().flatten().map(|it| format!("{name}:{it}")));
    }
    let data: Vec<Value> = ids.into_iter().map(|it| model_object(&it)).collect();
    Ok(json!({"object": "list", "data": data}))
}

fn model_object(id: &str) -> Value {
    json!({"id": id, "object": "model", "created": 0, "owned_by": "roseshore"})
}

fn request_state(exchange: &Exchange<'_>, id: &str) -> Response {
    match exchange.context.app.ledger.find(id) {
        Some(RequestState::Running(it)) => {
            let body = json!({"request": id, "state": "running", "service": it.meta.service});
            Response::json(200, &body)
        }
        Some(RequestState::Ended(ended)) => Response::json(200, &ended_object(id, &ended)),
        None => {
            let text = "this host knows nothing of it; it may be another host's, or too long ago";
            let body = json!({"request": id, "state": "unknown", "message": text});
            Response::json(404, &body)
        }
    }
}

fn ended_object(id: &str, ended: &EndedRequest) -> Value {
    json!({
        "request": id,
        "state": "ended",
        "service": ended.meta.service,
        "organisation": ended.meta.organisation,
        "verdict": ended.verdict.name(),
        "code": ended.code.map(|it| it.to_string()),
        "repeated": ended.repeated,
        "left": ended.caller_left,
        "late_ms": ended.late_by.as_millis() as u64,
        "resumed": ended.reroutes,
    })
}

fn trace(exchange: &Exchange<'_>, id: &str) -> Response {
    if let Some(tree) = exchange.context.spans.find(id) {
        return Response::json(200, &json!({"request": id, "spans": tree}));
    }
    let text = "no spans of it are kept here; raise `--traces`, or ask the host that served it";
    Response::json(404, &json!({"request": id, "message": text}))
}
