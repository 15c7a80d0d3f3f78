//! Order drivers of several daemons over one fake log and two chains of fake engines, with rounds
//! run by the test.

use parking_lot::Mutex;
use roseshore_adapters::engine::EngineClient;
use roseshore_adapters::platform::HttpPlatform;
use roseshore_core::fleet::TargetKind;
use roseshore_core::order::lease::LeaseTimes;
use roseshore_core::order::placement::PlacementBounds;
use roseshore_core::order::reconciler::ReconcilerLimits;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::{EngineFake, EngineSettings};
use roseshore_fakes::platform::{PlatformFake, PlatformSettings};
pub(crate) use roseshore_fakes::wait::wait_until as wait;
use roseshore_ports::inside::{
    ActiveConfig, ConfigSource, Member, MemberState, Members, Report, ReportContent, ReportStore,
};
use roseshore_ports::outside::{CallError, CallResult, Engine, StreamItem};
use roseshore_wire::engine::{
    CacheEvents, Cancel, Generate, Holding, Kv, KvExport, Load, Order, Role, Stage,
};
use roseshored::app::Drain;
use roseshored::orders::{OrderDeps, OrderDriver, OrderSettings};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

pub(crate) const LAYERS: Layer = 4;
const RANGES: [(Layer, Layer); 2] = [(0, 2), (2, 4)];
const CHAINS: usize = 2;
const SPARE: &str = "spare";

pub(crate) fn order_settings(ttl: Duration) -> OrderSettings {
    let lease = LeaseTimes { ttl, renew_before: ttl * 2 / 3, margin: ttl / 4, settle: ttl / 8 };
    let soon = Duration::from_millis(100);
    let reconciler =
        ReconcilerLimits { retry_after: soon, propagation: soon, ..ReconcilerLimits::default() };
    let placement = PlacementBounds { min_duration: soon, ..PlacementBounds::default() };
    OrderSettings { lease, reconciler, placement, ..OrderSettings::default() }
}

/// One daemon's view of the configuration.
struct DaemonConfig(Mutex<Arc<Fleet>>);

impl ConfigSource for DaemonConfig {
    fn current(&self) -> Option<ActiveConfig> {
        Some(ActiveConfig { fleet: self.0.lock().clone(), offset: 1, digest: 0 })
    }
}

/// One daemon's view of the rendezvous order; the list holds hosts, first one first.
struct Ranks {
    own: HostId,
    order: Mutex<Vec<HostId>>,
}

fn member(host: &HostId) -> Member {
    Member {
        host: host.clone(),
        data_centre: "north".into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        state: MemberState::Alive,
        offset: 0,
        digest: 0,
    }
}

impl Members for Ranks {
    fn own(&self) -> Member {
        member(&self.own)
    }

    fn all(&self) -> Vec<Member> {
        self.ranked("")
    }

    fn ranked(&self, _: &str) -> Vec<Member> {
        self.order.lock().iter().map(member).collect()
    }

    fn leaving(&self, _: &HostId) -> bool {
        false
    }
}

/// Polls the engines on every read, so that no report is outdated.
struct PollingReports(Vec<(TargetId, SocketAddr)>);

impl ReportStore for PollingReports {
    fn store(&self, _: Report) {}

    fn newest(&self) -> Vec<Report> {
        let poll = |(target, addr): &(TargetId, SocketAddr)| {
            let load = EngineClient::new().load(*addr, Duration::from_secs(1)).ok()?;
            let content = ReportContent::Engine(load);
            Some(Report { target: target.clone(), seen: Instant::now(), content })
        };
        self.0.iter().filter_map(poll).collect()
    }
}

/// Forwards orders, but blocks those that change weights while it is shut, which pauses their
/// sender.
#[derive(Default)]
pub(crate) struct Gate {
    client: EngineClient,
    shut: Mutex<bool>,
    pub(crate) waiting: Mutex<usize>,
    /// The status of each refused order.
    pub(crate) refused: Mutex<Vec<u16>>,
}

impl Gate {
    pub(crate) fn shut(&self, shut: bool) {
        *self.shut.lock() = shut;
    }
}

impl Engine for Gate {
    fn load(&self, addr: SocketAddr, limit: Duration) -> CallResult<Load> {
        self.client.load(addr, limit)
    }

    fn generate(
        &self,
        addr: SocketAddr,
        request: &Generate,
        deadline: Instant,
    ) -> CallResult<flume::Receiver<StreamItem>> {
        self.client.generate(addr, request, deadline)
    }

    fn cancel(&self, addr: SocketAddr, request: &Cancel, limit: Duration) -> CallResult<()> {
        self.client.cancel(addr, request, limit)
    }

    fn export(&self, addr: SocketAddr, request: &KvExport, limit: Duration) -> CallResult<Kv> {
        self.client.export(addr, request, limit)
    }

    fn import(&self, addr: SocketAddr, kv: &Kv, limit: Duration) -> CallResult<()> {
        self.client.import(addr, kv, limit)
    }

    fn cache(&self, addr: SocketAddr, from: u64, limit: Duration) -> CallResult<CacheEvents> {
        self.client.cache(addr, from, limit)
    }

    fn order(&self, addr: SocketAddr, order: &Order, limit: Duration) -> CallResult<Holding> {
        if order.role == Role::Both {
            *self.waiting.lock() += 1;
            while *self.shut.lock() {
                thread::sleep(Duration::from_millis(5));
            }
            *self.waiting.lock() -= 1;
        }
        let done = self.client.order(addr, order, limit);
        if let Err(CallError::Refused(status, ..)) = &done {
            self.refused.lock().push(*status);
        }
        done
    }
}

/// The order driver of one daemon.
pub(crate) struct Daemon {
    pub(crate) orders: OrderDriver,
    pub(crate) gate: Arc<Gate>,
    pub(crate) drain: Arc<Drain>,
    view: Arc<DaemonConfig>,
    ranks: Arc<Ranks>,
}

impl Daemon {
    /// Changes the version that is in force in this daemon's view.
    pub(crate) fn declare(&self, fixture: &Fixture, version: &str) {
        *self.view.0.lock() = fixture.fleet(version);
    }

    pub(crate) fn rank(&self, order: &[&str]) {
        *self.ranks.order.lock() = order.iter().map(|host| (*host).to_owned()).collect();
    }
}

/// The fake platform and targets.
pub(crate) struct Fixture {
    pub(crate) platform: PlatformFake,
    pub(crate) engines: Vec<EngineFake>,
    /// An engine that is declared with neither a model nor layers.
    pub(crate) spare: EngineFake,
    checks: bool,
}

impl Fixture {
    pub(crate) fn start(checks: bool) -> Fixture {
        Fixture::loading(checks, Duration::ZERO)
    }

    /// Targets that take `load_time` to load weights.
    pub(crate) fn loading(checks: bool, load_time: Duration) -> Fixture {
        let platform = PlatformFake::start(PlatformSettings::default()).expect("starts");
        let engine = |at: usize| {
            let settings = EngineSettings {
                checks_fence: checks,
                load_time,
                ..EngineSettings::holding(&name(at), "m", "v1", RANGES[at % 2])
            };
            EngineFake::start(settings).expect("starts")
        };
        let spare = EngineSettings { target: SPARE.into(), ..EngineSettings::default() };
        let spare = EngineFake::start(spare).expect("starts");
        Fixture { platform, engines: (0..CHAINS * 2).map(engine).collect(), spare, checks }
    }

    fn fleet(&self, version: &str) -> Arc<Fleet> {
        let mut fleet = Fleet::default();
        let model = Model {
            layers: LAYERS,
            version: version.into(),
            adapters: BTreeSet::new(),
            layer_bytes: 1,
        };
        fleet.models.insert("m".into(), model);
        for (at, engine) in self.engines.iter().enumerate() {
            let target = Target {
                model: Some("m".into()),
                layers: Some(RANGES[at % 2]),
                ..self.target(engine)
            };
            fleet.targets.insert(name(at), target);
        }
        fleet.targets.insert(SPARE.into(), self.target(&self.spare));
        Arc::new(fleet)
    }

    fn target(&self, engine: &EngineFake) -> Target {
        Target {
            kind: TargetKind::Engine,
            host: "host".into(),
            data_centre: "north".into(),
            addr: engine.addr(),
            serves: None,
            model: None,
            layers: None,
            accelerator: None,
            checks_fence: self.checks,
        }
    }

    /// A daemon whose view has version `v1` in force and itself first.
    pub(crate) fn daemon(&self, host: &str, settings: OrderSettings) -> Daemon {
        let platform = || Arc::new(HttpPlatform::new(self.platform.addr(), Duration::from_secs(1)));
        let gate = Arc::new(Gate::default());
        let drain = Arc::new(Drain::default());
        let view = Arc::new(DaemonConfig(Mutex::new(self.fleet("v1"))));
        let order = Mutex::new(vec![host.to_owned()]);
        let ranks = Arc::new(Ranks { own: host.into(), order });
        let addrs = self.engines.iter().enumerate().map(|(at, e)| (name(at), e.addr()));
        let addrs = addrs.chain([(SPARE.to_owned(), self.spare.addr())]);
        let deps = OrderDeps {
            log: platform(),
            engine: gate.clone(),
            weights: platform(),
            fleets: view.clone(),
            reports: Arc::new(PollingReports(addrs.collect())),
            members: ranks.clone(),
            drain: drain.clone(),
        };
        Daemon { orders: OrderDriver::new(deps, settings), gate, drain, view, ranks }
    }

    /// Whether every engine serves a version.
    pub(crate) fn all(&self, version: &str) -> bool {
        self.engines.iter().all(|e| holds(e, version))
    }

    pub(crate) fn loads(&self) -> Vec<u64> {
        self.engines.iter().map(|e| e.stats().loads).collect()
    }

    /// A request over the first chain, as sent by a router that still relies on its last reports.
    pub(crate) fn request(&self, version: &str) -> Generate {
        let stage = |at: usize| Stage { layers: RANGES[at], ..self.engines[at].stage() };
        Generate {
            answer: "a".into(),
            epoch: 1,
            route: (0..2).map(stage).collect(),
            model: "m".into(),
            version: version.into(),
            adapter: None,
            prompt: vec!["one".into()],
            done: Vec::new(),
            warm: false,
            max_tokens: 3,
            priority: 4,
            trace: None,
        }
    }
}

pub(crate) fn name(at: usize) -> TargetId {
    format!("{}-{}", ["a", "b"][at / 2], at % 2)
}

pub(crate) fn holds(engine: &EngineFake, version: &str) -> bool {
    let holding = engine.holding();
    !holding.loading && holding.role == Role::Both && holding.version.as_deref() == Some(version)
}
