//! The platform over HTTP.

use crate::call;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, HostList, Log, WeightStore};
use roseshore_wire::platform::{Append, Appended, Hosts, Records, Trimmed, Weights};
use std::net::SocketAddr;

/// The status of a read whose records are no longer kept.
const GONE: u16 = 410;

/// The log service, the host list and the weight store behind one address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
    limit: Duration,
}

impl HttpPlatform {
    /// The platform at an address, whose replies are waited for up to `limit`, in whole seconds.
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
        if reply.status_code == GONE {
            let trimmed: Trimmed = serde_json::from_slice(reply.as_bytes())
                .map_err(|e| CallError::Garbled(e.to_string()))?;
            return Err(CallError::Trimmed(trimmed.oldest, trimmed.end));
        }
        let records: Records = call::read_json(&reply)?;
        check(&records, from)?;
        Ok(records)
    }
}

/// Holds a read against the protocol: from the asked offset on, without holes.
fn check(records: &Records, from: Offset) -> CallResult<()> {
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
