//! The start-up settings of a fake engine.

use roseshore_core::prelude::*;
use roseshore_wire::engine::Role;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

/// How the fault that ends an engine takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitMode {
    /// The process exits immediately.
    Exit,
    /// The engine closes its sockets and stops; for engines that run inside a test process.
    Close,
}

/// The settings of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The address to listen on; port 0 for any free port.
    pub bind: SocketAddr,
    /// The target id of the engine.
    pub target: TargetId,
    /// The incarnation number of the engine.
    pub incarnation: Incarnation,
    /// The model loaded at the start, if any.
    pub model: Option<ModelId>,
    /// The version of the weights.
    pub version: Option<VersionId>,
    /// The layer range: the first layer, and one past the last.
    pub layers: (Layer, Layer),
    /// The adapters loaded at the start.
    pub adapters: BTreeSet<AdapterId>,
    /// The kinds of stages that it serves.
    pub role: Role,
    /// The duration of one step of one token.
    pub step: Duration,
    /// The number of steps that run at once.
    pub slots: u32,
    /// The limit on concurrent answers; further ones are refused with 503.
    pub max_running: u32,
    /// The prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// The capacity of the KV cache, in tokens.
    pub kv_cap: u64,
    /// The size of the KV cache of one token, in bytes.
    pub kv_bytes: u64,
    /// The one-way delay of the link to the next stage.
    pub link_delay: Duration,
    /// The rate of the link for KV caches, in bytes per second.
    pub link_rate: f64,
    /// How long a stage waits for the next one before it aborts the answer.
    pub hop_timeout: Duration,
    /// The capacity of the prefix cache, in tokens.
    pub cache_cap: u64,
    /// The block size of the prefix cache, in tokens.
    pub cache_block: u32,
    /// The delay with which cache events are published.
    pub cache_lag: Duration,
    /// The number of cache events that are kept; older ones are lost.
    pub cache_keep: usize,
    /// The maximum age of a load report.
    pub load_lag: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fence: bool,
    /// The duration of a load, excluding the transfer from the weight store.
    pub load_time: Duration,
    /// The size of the weights of one layer, in bytes.
    pub layer_bytes: u64,
    /// The weight store that loads fetch their bytes from, if any.
    pub weights: Option<SocketAddr>,
    /// The effect of the fault that ends the engine.
    pub exit_mode: ExitMode,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            bind: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            target: "engine".to_owned(),
            incarnation: 1,
            model: None,
            version: None,
            layers: (0, 0),
            adapters: BTreeSet::new(),
            role: Role::Both,
            step: Duration::from_micros(500),
            slots: 8,
            max_running: 256,
            prefill_rate: 100_000.0,
            kv_cap: 1 << 20,
            kv_bytes: 1024,
            link_delay: Duration::ZERO,
            link_rate: 1e9,
            hop_timeout: Duration::from_secs(10),
            cache_cap: 1 << 16,
            cache_block: 16,
            cache_lag: Duration::ZERO,
            cache_keep: 1024,
            load_lag: Duration::ZERO,
            checks_fence: true,
            load_time: Duration::ZERO,
            layer_bytes: 64 << 20,
            weights: None,
            exit_mode: ExitMode::Close,
        }
    }
}

impl EngineSettings {
    /// Settings of a fast engine for tests that holds `layers` of `model` at `version`.
    pub fn holding(target: &str, model: &str, version: &str, layers: (Layer, Layer)) -> Self {
        EngineSettings {
            target: target.to_owned(),
            model: Some(model.to_owned()),
            version: Some(version.to_owned()),
            layers,
            ..EngineSettings::default()
        }
    }
}
