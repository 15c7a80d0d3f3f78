//! Model engines over HTTP.
//!
//! Polls, cancels and streams go through `ureq`, which keeps connections, has timeouts finer than
//! a second and can be shut down from another thread. Orders and KV transfers are rare and large
//! enough for `minreq`, which opens a connection for each.

mod client;
mod slow;
mod status;
mod stream;

use client::Client;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, Called, Engine, StreamItem};
use roseshore_wire::engine::{CacheEvents, Cancel, Generate, Holding, Kv, KvExport, Load, Order};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use stream::Streams;

/// The engines of a fleet.
pub struct EngineClient {
    client: Client,
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
        EngineClient { client: Client::pooled(), streams: Streams::start() }
    }
}

impl Engine for EngineClient {
    fn load(&self, addr: SocketAddr, limit: Duration) -> Called<Load> {
        parse(&self.client.get(addr, "/v1/load", limit)?)
    }

    fn generate(
        &self,
        addr: SocketAddr,
        ask: &Generate,
        deadline: Instant,
    ) -> Called<flume::Receiver<StreamItem>> {
        self.streams.open(addr, ask, deadline)
    }

    fn cancel(&self, addr: SocketAddr, ask: &Cancel, limit: Duration) -> Called<()> {
        self.client.post(addr, "/v1/cancel", body(ask)?, limit).map(drop)
    }

    fn export(&self, addr: SocketAddr, ask: &KvExport, limit: Duration) -> Called<Kv> {
        parse(&slow::post(addr, "/v1/kv/export", body(ask)?, limit)?)
    }

    fn import(&self, addr: SocketAddr, kv: &Kv, limit: Duration) -> Called<()> {
        slow::post(addr, "/v1/kv/import", body(kv)?, limit).map(drop)
    }

    fn cache(&self, addr: SocketAddr, from: u64, limit: Duration) -> Called<CacheEvents> {
        parse(&self.client.get(addr, &format!("/v1/cache?from={from}"), limit)?)
    }

    fn order(&self, addr: SocketAddr, order: &Order, limit: Duration) -> Called<Holding> {
        parse(&slow::post(addr, "/v1/order", body(order)?, limit)?)
    }
}

/// A message that cannot be coded was never sent.
fn body<T: serde::Serialize>(message: &T) -> Called<Vec<u8>> {
    serde_json::to_vec(message).map_err(|e| CallError::Unreached(e.to_string()))
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Called<T> {
    serde_json::from_slice(bytes).map_err(|e| CallError::Garbled(e.to_string()))
}
