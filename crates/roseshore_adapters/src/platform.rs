//! HTTP client for the platform.

use crate::call;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, HostList, Log, WeightStore};
use roseshore_wire::platform::{Append, Appended, Hosts, Records, Trimmed, Weights};
use std::net::SocketAddr;

/// Status of a read from an offset that has been trimmed.
const STATUS_GONE: u16 = 410;

/// Client for the log service, the host list and the weight store at one address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
    limit: Duration,
}

impl HttpPlatform {
    /// Creates a client that waits up to `limit` for a reply, rounded up to whole seconds.
    pub fn new(addr: SocketAddr, limit: Duration) -> HttpPlatform {
        HttpPlatform { addr, limit }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }
}

impl Log for HttpPlatform {
    fn append(&self, stream: &str, records: &[String]) -> CallResult<Offset> {
        let body = serde_json::to_vec(&Append { records: records.to_vec() });
        let body = body.map_err(|e| CallError::Unreached(e.to_string()))?;
        let url = self.url(&format!("/v1/streams/{stream}/records"));
        let request = minreq::post(url).with_header("Content-Type", "application/json");
        let appended: Appended = call::send_json(request.with_body(body), self.limit)?;
        Ok(appended.first)
    }

    fn read(&self, stream: &str, from: Offset, max: usize, wait: Duration) -> CallResult<Records> {
        let wait_ms = wait.as_millis();
        let query = format!("from={from}&max={max}&wait_ms={wait_ms}");
        let url = self.url(&format!("/v1/streams/{stream}/records?{query}"));
        let reply = call::send(minreq::get(url), wait + self.limit)?;
        if reply.status_code == STATUS_GONE {
            let trimmed: Trimmed = serde_json::from_slice(reply.as_bytes())
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
        call::send_json(minreq::get(self.url("/v1/hosts")), self.limit)
    }
}

impl WeightStore for HttpPlatform {
    fn weights(&self) -> CallResult<Weights> {
        call::send_json(minreq::get(self.url("/v1/weights")), self.limit)
    }
}
