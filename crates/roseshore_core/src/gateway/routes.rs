//! The operator's configuration as one immutable, versioned snapshot, with look-ups of routes,
//! services and keys.

use super::demand::Rank;
use crate::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Whether a route's requests may run more than once, and the form of their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Answered by a stream of events.
    Stream {
        /// Whether another target can continue the stream after a given event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, CallKind::Idempotent | CallKind::Stream { resumable: true })
    }

    /// The kind's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Idempotent => "idempotent",
            CallKind::NonIdempotent => "unrepeatable",
            CallKind::Stream { .. } => "stream",
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// A service of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Its weight, relative to those of the route's other services.
    pub weight: f64,
}

/// A configured route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host name that callers ask for, in lower case.
    pub host: String,
    /// The prefix of the request path; it begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once, and the form of their answers.
    pub kind: CallKind,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The latency within which an answer has its full value.
    pub objective: Duration,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// The services that answer its requests.
    pub services: Vec<WeightedService>,
    /// Targets to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub anonymous: bool,
    /// The longest gap between two events that still counts as in time; `None` without such an
    /// objective.
    pub max_gap: Option<Duration>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Its name.
    pub name: String,
    /// Memory, MB.
    pub memory_mb: f64,
    /// Factor on the service's time of a decode step.
    pub step_factor: f64,
    /// Factor on the service's time to read prompts.
    pub prefill_factor: f64,
}

/// The published performance figures of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine serves at the same time as the first of their paths.
    pub slots: u32,
    /// Layers of the model.
    pub layers: Layer,
    /// Memory for the weights of one layer, MB.
    pub layer_mb: f64,
    /// KV cache of one token over all layers, bytes.
    pub kv_bytes: f64,
    /// Time of a decode step over all layers, ms.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, ms.
    pub per_seq_ms: f64,
    /// Time that each token of context adds to a step, ms.
    pub context_ms: f64,
    /// Prompt tokens read per ms, over all layers.
    pub prefill_per_ms: f64,
    /// Tokens in one event of a stream.
    pub event_tokens: f64,
    /// Time to load all layers.
    pub load_time: Duration,
    /// Mean length of a prompt, tokens.
    pub mean_prompt: f64,
    /// Mean length of an answer, tokens.
    pub mean_answer: f64,
    /// The kinds of accelerators that its engines run on.
    pub kinds: Vec<AcceleratorKind>,
}

impl EngineSpec {
    /// The accelerator kind with this name.
    pub fn kind(&self, name: Option<&str>) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|k| Some(k.name.as_str()) == name)
    }

    /// Whether a range of layers, the first and one past the last, is not empty and lies within the
    /// model.
    pub fn contains(&self, (from, to): (Layer, Layer)) -> bool {
        from < to && to <= self.layers
    }

    /// KV cache of one token in one layer, MB.
    pub fn kv_mb(&self) -> f64 {
        self.kv_bytes / f64::from(self.layers) / 1e6
    }

    /// Tokens that fit into the KV cache of an engine with this much memory beside the weights of
    /// so many layers.
    pub fn kv_capacity(&self, memory_mb: f64, layers: Layer) -> f64 {
        let held = f64::from(layers);
        let free = memory_mb - held * self.layer_mb;
        if layers == 0 { 0.0 } else { (free / (held * self.kv_mb())).max(0.0) }
    }
}

/// A configured service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// Connections that a target accepts from all hosts together; `None` for no limit.
    pub max_connections: Option<u32>,
    /// The figures of its engines; `None` if its targets are not engines.
    pub engine: Option<EngineSpec>,
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationSpec {
    /// Its name.
    pub name: OrganisationId,
    /// Its API keys.
    pub keys: Vec<String>,
    /// Its priority, which goes before that of routes.
    pub priority: Option<u32>,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Size of a request's head, bytes.
    pub head_bytes: usize,
    /// Size of a request's body, bytes.
    pub body_bytes: usize,
    /// Time from the first byte of a request to its last.
    pub receive_timeout: Duration,
    /// Time that a connection may be silent while no request is on it.
    pub idle_timeout: Duration,
}

/// The usual values of the operators' configurations, in force until one is read.
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

/// What a request was accepted by.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedRequest<'a> {
    /// Its route.
    pub route: &'a str,
    /// The service that it was given to.
    pub service: &'a str,
    /// The host name that it asks for.
    pub host: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Its API key.
    pub key: Option<&'a str>,
    /// The organisation that the key belonged to.
    pub organisation: Option<&'a str>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route matches its host name and path.
    NoRoute,
    /// The route needs a key, and the request has none or an unknown one.
    BadKey,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Snapshot {
    version: u64,
    /// Routes by host name, those with longer prefixes first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
    /// Organisations by API key.
    keys: HashMap<String, Arc<OrganisationSpec>>,
    /// Whether there are organisations, with keys or without.
    has_organisations: bool,
    limits: RequestLimits,
}

impl Snapshot {
    /// A snapshot of what was configured, indexed for look-ups.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        organisations: Vec<OrganisationSpec>,
        limits: RequestLimits,
    ) -> Snapshot {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        let has_organisations = !organisations.is_empty();
        let mut keys = HashMap::new();
        for organisation in organisations.into_iter().map(Arc::new) {
            for key in organisation.keys.iter().filter(|key| !key.is_empty()) {
                keys.insert(key.clone(), organisation.clone());
            }
        }
        Snapshot { version, by_host, services, keys, has_organisations, limits }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// The services whose targets are engines.
    pub fn engine_services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values().filter(|s| s.engine.is_some())
    }

    /// The route of a request: the one of its host name with the longest prefix of its path. The
    /// port of the host name and the query of the path are ignored.
    ///
    /// # Errors
    /// [`Denied::NoRoute`] if none matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Denied> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let routes = self.by_host.get(&host).ok_or(Denied::NoRoute)?;
        routes.iter().find(|r| path.starts_with(&r.prefix)).ok_or(Denied::NoRoute)
    }

    /// Whether a request that was accepted under an earlier configuration would be accepted again.
    pub fn still_accepts(&self, accepted: &AcceptedRequest<'_>) -> bool {
        let Ok(route) = self.route(accepted.host, accepted.path) else { return false };
        let served = route.services.iter().any(|s| s.service == accepted.service)
            && self.services.contains_key(accepted.service);
        let owner = self.authorise(route, accepted.key).map(|owner| owner.map(|o| o.name.as_str()));
        route.name == accepted.route && served && owner == Ok(accepted.organisation)
    }

    /// The ranks that requests to a service may have, in order.
    pub fn ranks(&self, service: &str) -> Vec<Rank> {
        let mut organisations: Vec<Option<u32>> = self.keys.values().map(|o| o.priority).collect();
        organisations.sort_unstable();
        organisations.dedup();
        let routes = self.by_host.values().flatten();
        let routes = routes.filter(|r| r.services.iter().any(|s| s.service == service));
        let mut ranks: Vec<Rank> = routes
            .flat_map(|route| {
                let anonymous = route.anonymous || !self.has_organisations;
                let owners = if anonymous { &[None] } else { organisations.as_slice() };
                owners.iter().map(|owner| Rank::new(*owner, route.priority))
            })
            .collect();
        ranks.sort_unstable();
        ranks.dedup();
        ranks
    }

    /// The organisation that a key belongs to; `None` if the route is anonymous, or if there are no
    /// organisations and the request has no key. Organisations whose keys were all removed still
    /// require one, and a key is never accepted for want of known ones: it may be a removed one.
    ///
    /// # Errors
    /// [`Denied::BadKey`] if a key is needed and missing, or if it is unknown.
    pub fn authorise(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<OrganisationSpec>>, Denied> {
        if route.anonymous {
            return Ok(None);
        }
        match key.filter(|key| !key.is_empty()) {
            Some(key) => self.keys.get(key).map(Some).ok_or(Denied::BadKey),
            None if self.has_organisations => Err(Denied::BadKey),
            None => Ok(None),
        }
    }
}

impl Route {
    /// The service for a request, drawn by weight; the same attempt id always gives the same one.
    /// `None` if no service has a weight.
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
