//! HTTP client for the platform.

use crate::agent::invalid_request;
use crate::call;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, HostList, Log, WeightStore};
use roseshore_wire::platform::{Append, Appended, Hosts, Records, Trimmed, Weights};
use std::net::SocketAddr;
use ureq::Agent;
use ureq::http::Request;

/// Status of a read from an offset that has been trimmed.
const STATUS_GONE: u16 = 410;

/// Client for the log service, the host list and the weight store at one address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
    limit: Duration,
    client: Agent,
}

impl HttpPlatform {
    /// Creates a client that waits up to `limit` for a reply, rounded up to whole seconds.
    pub fn new(addr: SocketAddr, limit: Duration) -> HttpPlatform {
        HttpPlatform { addr, limit, client: call::client() }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    fn get(&self, path: &str) -> CallResult<Request<()>> {
        Request::get(self.url(path)).header("Connection", "close").body(()).map_err(invalid_request)
    }
}

impl Log for HttpPlatform {
    fn append(&self, stream: &str, records: &[String]) -> CallResult<Offset> {
        let body = serde_json::to_vec(&Append { records: records.to_vec() });
        let body = body.map_err(|e| CallError::Unreached(e.to_string()))?;
        let request = Request::post(self.url(&format!("/v1/streams/{stream}/records")))
            .header("Content-Type", "application/json")
            .header("Connection", "close")
            .body(body)
            .map_err(invalid_request)?;
        let appended: Appended = call::send_json(&self.client, request, self.limit)?;
        Ok(appended.first)
    }

    fn read(&self, stream: &str, from: Offset, max: usize, wait: Duration) -> CallResult<Records> {
        let wait_ms = wait.as_millis();
        let query = format!("from={from}&max={max}&wait_ms={wait_ms}");
        let request = self.get(&format!("/v1/streams/{stream}/records?{query}"))?;
        let reply = call::send(&self.client, request, wait + self.limit)?;
        if reply.status == STATUS_GONE {
            let trimmed: Trimmed = serde_json::from_slice(&reply.body)
                .map_err(|e| CallError::Garbled(e.to_string()))?;
            return Err(CallError::Trimmed(trimmed.oldest, trimmed.end));
        }
        let records: Records = call::read_json(&reply)?;
        check_offsets(&records, from)?;
        Ok(records)
    }
}

/// Checks that the records start at the requested offset and are contiguous, as the protocol
/// requires.
fn check_offsets(records: &Records, from: Offset) -> CallResult<()> {
    let offsets = records.records.iter().map(|r| r.offset);
    if offsets.zip(from..).any(|(found, wanted)| found != wanted) {
        return Err(CallError::Garbled("the records have a hole".to_owned()));
    }
    Ok(())
}

impl HostList for HttpPlatform {
    fn hosts(&self) -> CallResult<Hosts> {
        call::send_json(&self.client, self.get("/v1/hosts")?, self.limit)
    }
}

impl WeightStore for HttpPlatform {
    fn weights(&self) -> CallResult<Weights> {
        call::send_json(&self.client, self.get("/v1/weights")?, self.limit)
    }
}
