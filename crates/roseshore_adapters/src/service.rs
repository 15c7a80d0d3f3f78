//! Replicas of plain and lookup services over HTTP.
//!
//! Lookups come in floods and may be repeated, so they go over connections that are kept. A
//! connection that the replica closes just as a request is written on it fails in a way that
//! proves nothing; for a lookup another attempt settles that, but for a call it would turn many a
//! clean start into "may have run". Calls therefore have a connection of their own each.

use crate::agent::{Kept, agent, failure};
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallContext, CallError, CallResult, ServiceReply, Services};
use roseshore_wire::service::{
    DEADLINE_MS, IDEMPOTENCY_KEY, NotStarted, REPLAYED, REQUEST_ID, ServiceLoad, TRACEPARENT,
};
use std::net::SocketAddr;
use ureq::http::{Request, Response, request::Builder};
use ureq::{Agent, Body};

/// The longest body that is read, bytes.
const MAX_BODY: u64 = 16 << 20;
/// Connections kept without use, for each replica and in all.
const KEPT: Kept = Kept { each: 64, all: 1024, age: Duration::from_secs(10) };
const UNAVAILABLE: u16 = 503;

/// Replicas reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpServices {
    kept: Agent,
    fresh: Agent,
}

impl Default for HttpServices {
    fn default() -> HttpServices {
        HttpServices { kept: agent(KEPT), fresh: agent(Kept::NONE) }
    }
}

impl Services for HttpServices {
    fn lookup(
        &self,
        addr: SocketAddr,
        source: &str,
        name: &str,
        hop: &CallContext,
    ) -> CallResult<ServiceReply> {
        let left = left(hop.deadline)?;
        let url = format!("http://{addr}/v1/lookup/{source}/{name}");
        let request = travel(Request::get(url), hop, left).body(()).map_err(unsent)?;
        let request = self.kept.configure_request(request);
        let reply = self.kept.run(request.timeout_global(Some(left)).build());
        read(reply.map_err(failure)?)
    }

    fn call(
        &self,
        addr: SocketAddr,
        service: &str,
        body: &[u8],
        key: Option<&str>,
        hop: &CallContext,
    ) -> CallResult<ServiceReply> {
        let left = left(hop.deadline)?;
        let url = format!("http://{addr}/v1/call/{service}");
        let mut request = travel(Request::post(url), hop, left).header("connection", "close");
        if let Some(key) = key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        let request = self.fresh.configure_request(request.body(body).map_err(unsent)?);
        let reply = self.fresh.run(request.timeout_global(Some(left)).build());
        let reply = read(reply.map_err(failure)?)?;
        if unstarted(&reply) {
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(CallError::Refused(reply.status, None, body));
        }
        Ok(reply)
    }

    fn load(&self, addr: SocketAddr, limit: Duration) -> CallResult<ServiceLoad> {
        let request = Request::get(format!("http://{addr}/v1/load")).body(()).map_err(unsent)?;
        let request = self.kept.configure_request(request);
        let reply = self.kept.run(request.timeout_global(Some(limit)).build());
        let reply = read(reply.map_err(failure)?)?;
        serde_json::from_slice(&reply.body).map_err(|e| CallError::Garbled(e.to_string()))
    }
}

/// The time left, if there is any to begin with.
fn left(deadline: Instant) -> CallResult<Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(CallError::Unreached("the deadline passed".to_owned()));
    }
    Ok(left)
}

fn travel(request: Builder, hop: &CallContext, left: Duration) -> Builder {
    let request =
        request.header(REQUEST_ID, &hop.request).header(DEADLINE_MS, left.as_millis().to_string());
    match &hop.trace {
        Some(trace) => request.header(TRACEPARENT, trace),
        None => request,
    }
}

fn read(mut reply: Response<Body>) -> CallResult<ServiceReply> {
    let headers = reply.headers();
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let content = text("content-type").to_owned();
    let replayed = text(REPLAYED) == "true";
    if !headers.contains_key("content-length") && !headers.contains_key("transfer-encoding") {
        return Err(CallError::Lost("the reply has no length".to_owned()));
    }
    let status = reply.status().as_u16();
    let body = reply.body_mut().with_config().limit(MAX_BODY).read_to_vec().map_err(failure)?;
    Ok(ServiceReply { status, content, body, replayed })
}

fn unstarted(reply: &ServiceReply) -> bool {
    let said = serde_json::from_slice::<NotStarted>(&reply.body);
    reply.status == UNAVAILABLE && said.is_ok_and(|u| u.not_run)
}

/// The request could not even be formed.
fn unsent(error: ureq::http::Error) -> CallError {
    CallError::Unreached(error.to_string())
}
