//! What a stand-in is told at its start.

use roseshore_core::prelude::*;
use roseshore_wire::engine::Role;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

/// What happens when the fault that ends an engine strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Death {
    /// The process exits at once.
    Exit,
    /// The stand-in closes its sockets and stops; for those that run inside a test.
    Close,
}

/// The settings of a stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where to listen; port 0 for any.
    pub bind: SocketAddr,
    /// Its name.
    pub target: TargetId,
    /// The number of its life.
    pub incarnation: Incarnation,
    /// The model loaded at the start, if any.
    pub model: Option<ModelId>,
    /// The version of the weights.
    pub version: Option<VersionId>,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// The adapters loaded at the start.
    pub adapters: BTreeSet<AdapterId>,
    /// What stages it serves.
    pub role: Role,
    /// Time of one step of one token.
    pub step: Duration,
    /// Steps that run at once.
    pub slots: u32,
    /// Answers that are taken at once; further ones are refused with 503.
    pub max_running: u32,
    /// Prefill rate, tokens a second.
    pub prefill_rate: f64,
    /// KV cache in all, tokens.
    pub kv_cap: u64,
    /// Bytes of KV cache of one token.
    pub kv_bytes: u64,
    /// Delay of the link to the next stage, one way.
    pub link_delay: Duration,
    /// Rate of the link for KV caches, bytes a second.
    pub link_rate: f64,
    /// How long a stage waits for the next one before it gives the answer up.
    pub hop_timeout: Duration,
    /// Prefix cache in all, tokens.
    pub cache_cap: u64,
    /// Tokens of one block of the prefix cache.
    pub cache_block: u32,
    /// How late cache events are published.
    pub cache_lag: Duration,
    /// Cache events that are kept; older ones are lost.
    pub cache_keep: usize,
    /// How old a load report may be.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Time of a load besides the weight store's.
    pub load_time: Duration,
    /// Bytes of the weights of one layer.
    pub layer_bytes: u64,
    /// The weight store, if loads are to ask it for their bytes.
    pub weights: Option<SocketAddr>,
    /// What the ending fault does.
    pub death: Death,
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
            death: Death::Close,
        }
    }
}

impl EngineSettings {
    /// A quick engine for tests that holds `layers` of `model` at `version`.
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
