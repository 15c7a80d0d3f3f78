//! Model engines over HTTP.
//!
//! Every call goes through `ureq`. It keeps connections for polls, has timeouts finer than a second,
//! and can be shut down from another thread. `minreq` is not used: it turns a reply without a status
//! line, and a connection that was closed without any reply, into status 503, by which an engine
//! says that nothing ran.

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

/// The engines of a fleet.
pub struct EngineClient {
    kept: Client,
    fresh: Client,
    streams: Streams,
}

impl Default for EngineClient {
    fn default() -> EngineClient {
        EngineClient::new()
    }
}

impl EngineClient {
    /// A client without connections; starts the thread that ends abandoned streams.
    pub fn new() -> EngineClient {
        let (kept, fresh) = (Client::pooled(), Client::fresh());
        EngineClient { kept, fresh, streams: Streams::start() }
    }
}

impl Engine for EngineClient {
    fn load(&self, addr: SocketAddr, limit: Duration) -> CallResult<Load> {
        parse(&self.kept.get(addr, "/v1/load", limit)?)
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
        self.fresh.post(addr, "/v1/cancel", body(ask)?, limit).map(drop)
    }

    fn export(&self, addr: SocketAddr, ask: &KvExport, limit: Duration) -> CallResult<Kv> {
        parse(&self.fresh.post(addr, "/v1/kv/export", body(ask)?, limit)?)
    }

    fn import(&self, addr: SocketAddr, kv: &Kv, limit: Duration) -> CallResult<()> {
        self.fresh.post(addr, "/v1/kv/import", body(kv)?, limit).map(drop)
    }

    fn cache(&self, addr: SocketAddr, from: u64, limit: Duration) -> CallResult<CacheEvents> {
        parse(&self.kept.get(addr, &format!("/v1/cache?from={from}"), limit)?)
    }

    fn order(&self, addr: SocketAddr, order: &Order, limit: Duration) -> CallResult<Holding> {
        parse(&self.fresh.post(addr, "/v1/order", body(order)?, limit)?)
    }
}

/// A message that cannot be coded was never sent.
fn body<T: serde::Serialize>(message: &T) -> CallResult<Vec<u8>> {
    serde_json::to_vec(message).map_err(|e| CallError::Unreached(e.to_string()))
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> CallResult<T> {
    serde_json::from_slice(bytes).map_err(|e| CallError::Garbled(e.to_string()))
}
