//! The way without a daemon: straight to the head stage of a chain, or to a replica.

use crate::load::run::prompt;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::Stats;
use roseshore_fakes::engine::text::expected;
use roseshore_harness::caller::ClientReply;
use roseshore_wire::engine::{Generate, Load, Output, Stage};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use ureq::Agent;

/// Tokens that the front puts before a message's words.
const ROLE: &str = "<user>";

/// One chain and the model that it holds.
#[derive(Clone, Debug)]
pub struct Chain {
    /// Where the first stage listens.
    pub head: SocketAddr,
    /// The stages in order.
    pub route: Vec<Stage>,
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
}

/// A caller of targets, with kept connections.
#[derive(Clone, Debug)]
pub struct Direct {
    agent: Agent,
}

impl Direct {
    /// A caller that gives up after `limit`.
    pub fn new(limit: Duration) -> Direct {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(limit))
            .max_idle_connections_per_host(64)
            .build();
        Direct { agent: config.into() }
    }

    /// A chain over these targets of a fleet, asked for their lives; `None` when one is silent.
    pub fn chain(&self, fleet: &Fleet, targets: &[TargetId]) -> Option<Chain> {
        let stage = |id: &TargetId| {
            let target = fleet.targets.get(id)?;
            let mut reply =
                self.agent.get(format!("http://{}/v1/load", target.addr)).call().ok()?;
            let load: Load = reply.body_mut().read_json().ok()?;
            let (layers, incarnation) = (load.holding.layers, load.holding.incarnation);
            Some(Stage { target: id.clone(), addr: target.addr, layers, incarnation })
        };
        let route = targets.iter().map(stage).collect::<Option<Vec<_>>>()?;
        let first = fleet.targets.get(targets.first()?)?;
        let (model, row) = fleet.models.get_key_value(first.model.as_ref()?)?;
        let (model, version) = (model.clone(), row.version.clone());
        Some(Chain { head: first.addr, route, model, version })
    }

    /// Asks a chain for an answer and reads it to its end.
    pub fn stream(&self, chain: &Chain, unique: &str, words: usize, tokens: u32) -> ClientReply {
        let begun = Instant::now();
        let text = format!("{ROLE} {}", prompt(unique, words));
        let ask = Generate {
            answer: format!("direct-{unique}"),
            epoch: 1,
            route: chain.route.clone(),
            model: chain.model.clone(),
            version: chain.version.clone(),
            adapter: None,
            prompt: text.split_whitespace().map(str::to_owned).collect(),
            done: Vec::new(),
            warm: false,
            max_tokens: tokens,
            priority: 4,
            trace: None,
        };
        let url = format!("http://{}/v1/generate", chain.head);
        let Ok(reply) = self.agent.post(url).send_json(&ask) else { return ClientReply::default() };
        let mut got = ClientReply { status: reply.status().as_u16(), ..ClientReply::default() };
        let lines = BufReader::new(reply.into_body().into_reader()).lines();
        let mut last = begun;
        let mut texts = Vec::new();
        for line in lines.map_while(Result::ok) {
            match serde_json::from_str(&line) {
                Ok(Output::Token { text, .. }) => {
                    let now = Instant::now();
                    if texts.is_empty() {
                        got.first = now - begun;
                    } else {
                        got.gaps.push(now - last);
                    }
                    last = now;
                    texts.push(text);
                }
                Ok(Output::Done { .. }) => got.whole = true,
                _ => break,
            }
        }
        let right = expected(&chain.model, &chain.version, None, &ask.prompt, tokens);
        got.whole &= texts == right;
        got.took = begun.elapsed();
        got
    }

    /// Steps that an engine's stand-in has run; 0 when it does not say.
    pub fn steps(&self, addr: SocketAddr) -> u64 {
        let reply = self.agent.get(format!("http://{addr}/_stats")).call().ok();
        let stats = reply.and_then(|mut reply| reply.body_mut().read_json::<Stats>().ok());
        stats.map_or(0, |stats| stats.steps)
    }

    /// Gets a path of a replica; whether it answered 200 or 404.
    pub fn get(&self, addr: SocketAddr, path: &str) -> bool {
        let reply = self.agent.get(format!("http://{addr}{path}")).call();
        reply.is_ok_and(|mut reply| {
            [200, 404].contains(&reply.status().as_u16()) && reply.body_mut().read_to_vec().is_ok()
        })
    }

    /// Posts to a path of a replica; whether it answered 200.
    pub fn post(&self, addr: SocketAddr, path: &str, body: &str) -> bool {
        let reply = self.agent.post(format!("http://{addr}{path}")).send(body);
        reply.is_ok_and(|mut reply| {
            reply.status().as_u16() == 200 && reply.body_mut().read_to_vec().is_ok()
        })
    }
}
