//! The operator's configuration as one immutable, versioned snapshot.

use crate::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// What may be repeated, and in which form the answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// A series of events.
    Stream {
        /// Whether another target may go on after a given event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether running it again is harmless.
    pub fn is_idempotent(self) -> bool {
        matches!(self, CallKind::Idempotent | CallKind::Stream { resumable: true })
    }

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Idempotent => "idempotent",
            CallKind::NonIdempotent => "unrepeatable",
            CallKind::Stream { .. } => "stream",
        }
    }

    /// Whether its answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// A declared route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that callers name, in lower case.
    pub host: String,
    /// The path's beginning; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time a request is held.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// Its rank, 0 first.
    pub priority: u32,
    /// Who serves it.
    pub services: Vec<WeightedService>,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub anonymous: bool,
    /// The longest pause between events that is still in time.
    pub max_gap: Option<Duration>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Its name.
    pub name: String,
    /// Memory, MB.
    pub memory_mb: f64,
    /// Factor on the time of steps.
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub prefill_factor: f64,
}

/// The published figures of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests at once that an engine takes as the first of a path.
    pub slots: u32,
    /// Layers of the model.
    pub layers: Layer,
    /// Memory of one layer's weights, MB.
    pub layer_mb: f64,
    /// KV cache of a token over all layers, bytes.
    pub kv_bytes: f64,
    /// A step over all layers, ms.
    pub step_ms: f64,
    /// Added to a step by each request that writes, ms.
    pub per_seq_ms: f64,
    /// Added to a step by each token of context, ms.
    pub context_ms: f64,
    /// Prompt tokens read in a ms, over all layers.
    pub prefill_per_ms: f64,
    /// Tokens of an event.
    pub event_tokens: f64,
    /// Time to load all layers.
    pub load_time: Duration,
    /// Mean tokens of a prompt.
    pub mean_prompt: f64,
    /// Mean tokens of an answer.
    pub mean_answer: f64,
    /// Kinds of accelerators.
    pub kinds: Vec<AcceleratorKind>,
}

impl EngineSpec {
    /// The figures of a kind.
    pub fn kind(&self, name: Option<&str>) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|k| Some(k.name.as_str()) == name)
    }

    /// KV cache of a token and layer, MB.
    pub fn kv_mb(&self) -> f64 {
        self.kv_bytes / f64::from(self.layers) / 1e6
    }

    /// KV tokens that an engine of this size has room for beside so many layers.
    pub fn kv_capacity(&self, size_mb: f64, layers: Layer) -> f64 {
        let held = f64::from(layers);
        let free = size_mb - held * self.layer_mb;
        if layers == 0 { 0.0 } else { (free / (held * self.kv_mb())).max(0.0) }
    }
}

/// A declared service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// Connections that a target takes from all hosts together.
    pub max_connections: Option<u32>,
    /// The figures of its engines, if they are engines.
    pub engine: Option<EngineSpec>,
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationSpec {
    /// Its name.
    pub name: OrganisationId,
    /// Its API keys.
    pub keys: Vec<String>,
    /// Its rank, before that of routes.
    pub priority: Option<u32>,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// From the first byte of a request to its last.
    pub receive_timeout: Duration,
    /// Silence on a connection that waits for a request.
    pub idle_timeout: Duration,
}

/// The usual figures of the operators' configurations, until one is read.
impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            receive_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route fits host and path.
    NoRoute,
    /// A key is needed and none came, or it is not known.
    BadKey,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Snapshot {
    version: u64,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
    keys: HashMap<String, Arc<OrganisationSpec>>,
    limits: RequestLimits,
}

impl Snapshot {
    /// Orders what was declared for look-ups.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        organisations: Vec<OrganisationSpec>,
        limits: RequestLimits,
    ) -> Snapshot {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        let mut keys = HashMap::new();
        for organisation in organisations.into_iter().map(Arc::new) {
            for key in &organisation.keys {
                keys.insert(key.clone(), organisation.clone());
            }
        }
        Snapshot { version, hosts, services, keys, limits }
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// A service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// The services whose targets are engines.
    pub fn engine_services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values().filter(|s| s.engine.is_some())
    }

    /// The route of a request: of those of its host, the longest prefix of its path.
    ///
    /// # Errors
    /// When none fits.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Denied> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let routes = self.hosts.get(&host).ok_or(Denied::NoRoute)?;
        routes.iter().find(|r| path.starts_with(&r.prefix)).ok_or(Denied::NoRoute)
    }

    /// The organisation of a key; `None` where no key is asked for.
    ///
    /// # Errors
    /// When a key is needed and missing or not known.
    pub fn authorise(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<OrganisationSpec>>, Denied> {
        if route.anonymous || self.keys.is_empty() {
            return Ok(None);
        }
        let found = key.and_then(|key| self.keys.get(key));
        found.map(Some).ok_or(Denied::BadKey)
    }
}

impl Route {
    /// The service for a request, the same one for the same attempt id.
    pub fn service(&self, attempt: &str) -> Option<&ServiceId> {
        let total: f64 = self.services.iter().map(|s| s.weight).sum();
        let mut at = xxh3_64(attempt.as_bytes()) as f64 / u64::MAX as f64 * total;
        for share in &self.services {
            at -= share.weight;
            if at < 0.0 {
                return Some(&share.service);
            }
        }
        self.services.iter().rev().find(|s| s.weight > 0.0).map(|s| &s.service)
    }
}
