//! HTTP client for model engines.
//!
//! All calls use `ureq`: it reuses connections for polls, supports timeouts of less than a second,
//! and lets another thread shut down a connection. `minreq` is not suitable, because it reports a
//! reply without a status line, or a connection closed without a reply, as status 503, which for an
//! engine means that nothing ran.

mod client;
mod status;
mod stream;

use client::Client;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, Engine, StreamItem};
use roseshore_wire::engine::{CacheEvents, Cancel, Generate, Holding, Kv, KvExport, Load, Order};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use stream::Streams;

/// Client for the engines of a fleet.
pub struct EngineClient {
    pooled: Client,
    unpooled: Client,
    streams: Streams,
}

impl Default for EngineClient {
    fn default() -> EngineClient {
        EngineClient::new()
    }
}

impl EngineClient {
    /// Creates a client and starts the thread that closes streams whose receiver was dropped.
    pub fn new() -> EngineClient {
        let (pooled, unpooled) = (Client::pooled(), Client::unpooled());
        EngineClient { pooled, unpooled, streams: Streams::start() }
    }
}

impl Engine for EngineClient {
    fn load(&self, addr: SocketAddr, limit: Duration) -> CallResult<Load> {
        parse(&self.pooled.get(addr, "/v1/load", limit)?)
    }

    fn generate(
        &self,
        addr: SocketAddr,
        ask: &Generate,
        deadline: Instant,
    ) -> CallResult<flume::Receiver<StreamItem>> {
        self.streams.open(addr, ask, deadline)
    }

    fn cancel(&self, addr: SocketAddr, ask: &Cancel, limit: Duration) -> CallResult<()> {
        self.unpooled.post(addr, "/v1/cancel", body(ask)?, limit).map(drop)
    }

    fn export(&self, addr: SocketAddr, ask: &KvExport, limit: Duration) -> CallResult<Kv> {
        parse(&self.unpooled.post(addr, "/v1/kv/export", body(ask)?, limit)?)
    }

    fn import(&self, addr: SocketAddr, kv: &Kv, limit: Duration) -> CallResult<()> {
        self.unpooled.post(addr, "/v1/kv/import", body(kv)?, limit).map(drop)
    }

    fn cache(&self, addr: SocketAddr, from: u64, limit: Duration) -> CallResult<CacheEvents> {
        parse(&self.pooled.get(addr, &format!("/v1/cache?from={from}"), limit)?)
    }

    fn order(&self, addr: SocketAddr, order: &Order, limit: Duration) -> CallResult<Holding> {
        parse(&self.unpooled.post(addr, "/v1/order", body(order)?, limit)?)
    }
}

/// Serializes a request body. A failure is [`CallError::Unreached`], since nothing was sent.
fn body<T: serde::Serialize>(message: &T) -> CallResult<Vec<u8>> {
    serde_json::to_vec(message).map_err(|e| CallError::Unreached(e.to_string()))
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> CallResult<T> {
    serde_json::from_slice(bytes).map_err(|e| CallError::Garbled(e.to_string()))
}
