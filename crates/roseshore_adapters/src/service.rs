//! HTTP client for the replicas of plain and lookup services.
//!
//! Lookups are frequent and idempotent, so they reuse idle connections. If a replica closes an idle
//! connection while a request is written to it, it is unknown whether the request ran. A lookup can
//! be retried, but a call would be reported as "may have run" although it did not start. Each call
//! therefore uses a new connection.

use crate::agent::{PoolLimits, agent, call_error, delimited, invalid_request};
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallContext, CallError, CallResult, ServiceReply, Services};
use roseshore_wire::service::{
    DEADLINE_MS, IDEMPOTENCY_KEY, NotStarted, REPLAYED, REQUEST_ID, ServiceLoad, TRACEPARENT,
};
use std::net::SocketAddr;
use ureq::http::{Request, Response, request::Builder};
use ureq::{Agent, Body};

/// Limit for the size of a reply body.
const MAX_BODY_BYTES: u64 = 16 << 20;
/// Idle connections for lookups and load reports.
const LOOKUP_POOL: PoolLimits =
    PoolLimits { per_addr: 64, total: 1024, max_age: Duration::from_secs(10) };
const STATUS_UNAVAILABLE: u16 = 503;

/// Client for service replicas.
#[derive(Clone, Debug)]
pub struct HttpServices {
    pooled: Agent,
    unpooled: Agent,
}

impl Default for HttpServices {
    fn default() -> HttpServices {
        HttpServices { pooled: agent(LOOKUP_POOL), unpooled: agent(PoolLimits::NONE) }
    }
}

impl Services for HttpServices {
    fn lookup(
        &self,
        addr: SocketAddr,
        source: &str,
        name: &str,
        context: &CallContext,
    ) -> CallResult<ServiceReply> {
        let remaining = remaining(context.deadline)?;
        let url = format!("http://{addr}/v1/lookup/{source}/{name}");
        let request = with_context(Request::get(url), context, remaining)
            .body(())
            .map_err(invalid_request)?;
        let request = self.pooled.configure_request(request);
        let reply = self.pooled.run(request.timeout_global(Some(remaining)).build());
        read_reply(delimited(reply)?)
    }

    fn call(
        &self,
        addr: SocketAddr,
        service: &str,
        body: &[u8],
        key: Option<&str>,
        context: &CallContext,
    ) -> CallResult<ServiceReply> {
        let remaining = remaining(context.deadline)?;
        let url = format!("http://{addr}/v1/call/{service}");
        let mut request =
            with_context(Request::post(url), context, remaining).header("connection", "close");
        if let Some(key) = key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        let request = self.unpooled.configure_request(request.body(body).map_err(invalid_request)?);
        let reply = self.unpooled.run(request.timeout_global(Some(remaining)).build());
        let reply = read_reply(delimited(reply)?)?;
        if is_not_run(&reply) {
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(CallError::Refused(reply.status, None, body));
        }
        Ok(reply)
    }

    fn load(&self, addr: SocketAddr, limit: Duration) -> CallResult<ServiceLoad> {
        let request =
            Request::get(format!("http://{addr}/v1/load")).body(()).map_err(invalid_request)?;
        let request = self.pooled.configure_request(request);
        let reply = self.pooled.run(request.timeout_global(Some(limit)).build());
        let reply = read_reply(delimited(reply)?)?;
        serde_json::from_slice(&reply.body).map_err(|e| CallError::Garbled(e.to_string()))
    }
}

/// Returns the time until the deadline.
///
/// # Errors
/// [`CallError::Unreached`] if the deadline has passed, since nothing is sent then.
fn remaining(deadline: Instant) -> CallResult<Duration> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(CallError::Unreached("the deadline passed".to_owned()));
    }
    Ok(remaining)
}

/// Adds the headers for the request id, the remaining time and the trace.
fn with_context(request: Builder, context: &CallContext, remaining: Duration) -> Builder {
    let request = request
        .header(REQUEST_ID, &context.request)
        .header(DEADLINE_MS, remaining.as_millis().to_string());
    match &context.trace {
        Some(trace) => request.header(TRACEPARENT, trace),
        None => request,
    }
}

fn read_reply(mut reply: Response<Body>) -> CallResult<ServiceReply> {
    let headers = reply.headers();
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let content = text("content-type").to_owned();
    let replayed = text(REPLAYED) == "true";
    let status = reply.status().as_u16();
    let body =
        reply.body_mut().with_config().limit(MAX_BODY_BYTES).read_to_vec().map_err(call_error)?;
    Ok(ServiceReply { status, content, body, replayed })
}

/// Whether the replica states that it did not run the call.
fn is_not_run(reply: &ServiceReply) -> bool {
    let said = serde_json::from_slice::<NotStarted>(&reply.body);
    reply.status == STATUS_UNAVAILABLE && said.is_ok_and(|u| u.not_run)
}
