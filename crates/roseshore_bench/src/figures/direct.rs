//! Direct requests, without a daemon, to the first stage of a chain or to a replica.

use crate::load::run::prompt;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::Stats;
use roseshore_fakes::engine::text::expected;
use roseshore_harness::caller::ClientReply;
use roseshore_wire::engine::{Generate, Load, Output, Stage};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use ureq::Agent;

/// Role token that the daemon's HTTP front end puts before a message.
const ROLE: &str = "<user>";

/// A chain of stages and the model that it serves.
#[derive(Clone, Debug)]
pub struct Chain {
    /// Address of the first stage.
    pub head: SocketAddr,
    /// The stages in layer order.
    pub route: Vec<Stage>,
    /// The model that the stages hold.
    pub model: ModelId,
    /// Version of the model.
    pub version: VersionId,
}

/// A client of targets that keeps its connections alive.
#[derive(Clone, Debug)]
pub struct Direct {
    agent: Agent,
}

impl Direct {
    /// A client whose requests time out after `limit`.
    pub fn new(limit: Duration) -> Direct {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(limit))
            .max_idle_connections_per_host(64)
            .build();
        Direct { agent: config.into() }
    }

    /// Builds a chain over `targets` after asking each for its layers and incarnation. `None` if a
    /// target or its model is unknown, or if a target does not answer.
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

    /// Requests an answer from a chain and reads it to its end. The result is whole only if the
    /// tokens are those that the simulated engine is expected to generate.
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

    /// Number of steps that a simulated engine has run; 0 if it does not report it.
    pub fn steps(&self, addr: SocketAddr) -> u64 {
        let reply = self.agent.get(format!("http://{addr}/_stats")).call().ok();
        let stats = reply.and_then(|mut reply| reply.body_mut().read_json::<Stats>().ok());
        stats.map_or(0, |stats| stats.steps)
    }

    /// Sends a GET to a replica; true if it answered 200 or 404 with a readable body.
    pub fn get(&self, addr: SocketAddr, path: &str) -> bool {
        let reply = self.agent.get(format!("http://{addr}{path}")).call();
        reply.is_ok_and(|mut reply| {
            [200, 404].contains(&reply.status().as_u16()) && reply.body_mut().read_to_vec().is_ok()
        })
    }

    /// Sends a POST to a replica; true if it answered 200 with a readable body.
    pub fn post(&self, addr: SocketAddr, path: &str, body: &str) -> bool {
        let reply = self.agent.post(format!("http://{addr}{path}")).send(body);
        reply.is_ok_and(|mut reply| {
            reply.status().as_u16() == 200 && reply.body_mut().read_to_vec().is_ok()
        })
    }
}
