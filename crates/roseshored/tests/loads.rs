//! Polling and sharing of load reports over real sockets on loopback, with targets in memory.

// Each test program uses only part of this shared module.
#[allow(dead_code)]
#[path = "cluster/cluster.rs"]
mod cluster;

use cluster::*;
use parking_lot::Mutex;
use roseshore_core::fleet::TargetKind;
use roseshore_core::polling::Settings;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ActiveConfig, ConfigSource, Report, ReportContent};
use roseshore_ports::outside::{
    CallContext, CallError, CallResult, Engine, ServiceReply, Services, StreamItem,
};
use roseshore_wire::engine::{CacheEvents, Cancel, Generate, Holding, Kv, KvExport, Load, Order};
use roseshore_wire::peer::{LoadReport, Summary};
use roseshore_wire::service::ServiceLoad;
use roseshored::loads::delta::{DeltaDecoder, DeltaEncoder};
use roseshored::loads::{self, LoadDriver};
use roseshored::peers::summarise;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// What the targets report: the queue of all of them, and one that does not respond.
#[derive(Default)]
struct TargetState {
    queue: AtomicU32,
    silent: Mutex<Option<SocketAddr>>,
}

struct Targets(Arc<TargetState>);

impl Targets {
    fn poll(&self, addr: SocketAddr) -> CallResult<u32> {
        if *self.0.silent.lock() == Some(addr) {
            return Err(CallError::Lost("no reply in time".into()));
        }
        Ok(self.0.queue.load(Ordering::SeqCst))
    }
}

fn unused<T>() -> CallResult<T> {
    Err(CallError::Unreached("not part of this test".into()))
}

impl Engine for Targets {
    fn load(&self, addr: SocketAddr, _limit: Duration) -> CallResult<Load> {
        let queue = self.poll(addr)?;
        Ok(Load { queue, ..load() })
    }
    fn generate(
        &self,
        _: SocketAddr,
        _: &Generate,
        _: Instant,
    ) -> CallResult<flume::Receiver<StreamItem>> {
        unused()
    }
    fn cancel(&self, _: SocketAddr, _: &Cancel, _: Duration) -> CallResult<()> {
        unused()
    }
    fn export(&self, _: SocketAddr, _: &KvExport, _: Duration) -> CallResult<Kv> {
        unused()
    }
    fn import(&self, _: SocketAddr, _: &Kv, _: Duration) -> CallResult<()> {
        unused()
    }
    fn cache(&self, _: SocketAddr, _: u64, _: Duration) -> CallResult<CacheEvents> {
        unused()
    }
    fn order(&self, _: SocketAddr, _: &Order, _: Duration) -> CallResult<Holding> {
        unused()
    }
}

impl Services for Targets {
    fn lookup(&self, _: SocketAddr, _: &str, _: &str, _: &CallContext) -> CallResult<ServiceReply> {
        unused()
    }
    fn call(
        &self,
        _: SocketAddr,
        _: &str,
        _: &[u8],
        _: Option<&str>,
        _: &CallContext,
    ) -> CallResult<ServiceReply> {
        unused()
    }
    fn load(&self, addr: SocketAddr, _: Duration) -> CallResult<ServiceLoad> {
        Ok(ServiceLoad { queue: self.poll(addr)?, ..service_load() })
    }
}

const TARGETS: usize = 6;

/// Six targets in the daemons' data centre, half of them engines, and one in another data centre.
struct TargetsConfig;

impl ConfigSource for TargetsConfig {
    fn current(&self) -> Option<ActiveConfig> {
        let mut fleet = Fleet::default();
        for n in 0..=TARGETS {
            let kind = if n % 2 == 0 { TargetKind::Engine } else { TargetKind::Service };
            let data_centre = if n < TARGETS { "near" } else { "far" }.into();
            let target = Target {
                kind,
                host: format!("t{n}"),
                data_centre,
                addr: target_addr(n),
                serves: None,
                model: None,
                layers: None,
                accelerator: None,
                checks_fence: false,
            };
            fleet.targets.insert(format!("t{n}"), target);
        }
        Some(ActiveConfig { fleet: Arc::new(fleet), offset: 1, digest: 1 })
    }
}

fn target_addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + n as u16))
}

fn poll(daemon: &Daemon, state: &Arc<TargetState>) -> (LoadDriver, Arc<StoredReports>) {
    poll_full(daemon, state, TARGETS)
}

/// Polls a fleet of at most `full_limit` targets in full.
fn poll_full(
    daemon: &Daemon,
    state: &Arc<TargetState>,
    full_limit: usize,
) -> (LoadDriver, Arc<StoredReports>) {
    let stored = Arc::new(StoredReports::default());
    let config = loads::LoadConfig {
        members: daemon.driver.clone(),
        fleets: Arc::new(TargetsConfig),
        engine: Arc::new(Targets(state.clone())),
        services: Arc::new(Targets(state.clone())),
        reports: stored.clone(),
        settings: Settings { full_limit, ..Settings::default() },
    };
    (LoadDriver::start(config).expect("threads"), stored)
}

impl StoredReports {
    /// Whether every target's newest report satisfies a condition.
    fn all(&self, condition: impl Fn(&Report) -> bool) -> bool {
        let all = self.0.lock();
        all.len() == TARGETS && all.values().all(condition)
    }

    fn queue(&self, target: &str) -> Option<u32> {
        match &self.0.lock().get(target)?.content {
            ReportContent::Engine(load) => Some(load.queue),
            ReportContent::Service(load) => Some(load.queue),
            ReportContent::Silent => None,
        }
    }
}

#[test]
fn reports_reach_every_daemon() {
    let (list, mut daemons) = cluster();
    let state = Arc::new(TargetState::default());
    let mut loads: Vec<_> = daemons.iter().map(|d| poll(d, &state)).collect();
    let all = |loads: &[(LoadDriver, Arc<StoredReports>)], queue| {
        let of = |t: &StoredReports| (0..TARGETS).all(|n| t.queue(&format!("t{n}")) == Some(queue));
        loads.iter().all(|(_, t)| of(t) && t.all(|_| true))
    };
    wait("all targets at all daemons", || all(&loads, 0));
    state.queue.store(7, Ordering::SeqCst);
    wait("a change at all daemons", || all(&loads, 7));

    *state.silent.lock() = Some(target_addr(2));
    wait("silent at all daemons", || loads.iter().all(|(_, t)| t.queue("t2").is_none()));
    *state.silent.lock() = None;
    wait("responding at all daemons", || all(&loads, 7));

    daemons.remove(0).driver.stop();
    drop(loads.remove(0));
    let since = Instant::now();
    wait("the others poll what it polled", || loads.iter().all(|(_, t)| t.all(|r| r.seen > since)));

    let new = Daemon::start(4, 1, SocketAddr::from(([127, 0, 0, 1], 0)), &list);
    list.set(|hosts| hosts.push(host(4, Some(new.peer()))));
    loads.push(poll(&new, &state));
    state.queue.store(9, Ordering::SeqCst);
    wait("a joining daemon has all reports", || all(&loads, 9));
}

#[test]
fn all_daemons_use_the_report_of_one_poller() {
    let (_list, daemons) = cluster();
    let number = |n| Arc::new(TargetState { queue: AtomicU32::new(n), ..TargetState::default() });
    let loads: Vec<_> = daemons.iter().zip(1..).map(|(d, n)| poll(d, &number(n))).collect();
    for target in (0..TARGETS).map(|n| format!("t{n}")) {
        wait("the same poller's report at all daemons", || {
            let first = loads[0].1.queue(&target);
            first.is_some() && loads.iter().all(|(_, stored)| stored.queue(&target) == first)
        });
    }
}

#[test]
fn delta_encoding() {
    enum Step {
        /// A report: milliseconds since the last step, its content, whether it is sent in full, and
        /// whether the receiver gets it.
        Encode(u64, ReportContent, bool, bool),
        /// A daemon joined.
        Join,
    }
    use Step::{Encode, Join};
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
    }
    let engine = |queue, kv_used| ReportContent::Engine(Load { queue, kv_used, ..load() });
    let service = |queue| ReportContent::Service(ServiceLoad { queue, ..service_load() });
    let leaving = ReportContent::Engine(Load { leaving: true, ..load() });
    let cases = [
        Case {
            name: "only the counts are sent",
            steps: vec![
                Encode(0, engine(0, 0), true, true),
                Encode(250, engine(5, 9000), false, true),
                Encode(250, engine(0, 1), false, true),
            ],
        },
        Case {
            name: "any other change is sent in full",
            steps: vec![
                Encode(0, engine(0, 0), true, true),
                Encode(250, leaving, true, true),
                Encode(250, engine(0, 0), true, true),
            ],
        },
        Case {
            name: "sent in full at intervals, in case one was lost",
            steps: vec![
                Encode(0, service(0), true, true),
                Encode(29_900, service(1), false, true),
                Encode(200, service(2), true, true),
            ],
        },
        Case {
            name: "sent in full after a join",
            steps: vec![
                Encode(0, service(0), true, true),
                Join,
                Encode(250, service(1), true, true),
            ],
        },
        Case {
            name: "counts without their full report are ignored",
            steps: vec![Encode(0, service(0), true, false), Encode(250, service(1), false, false)],
        },
        Case {
            name: "a silent target needs no full report",
            steps: vec![
                Encode(0, ReportContent::Silent, true, true),
                Encode(250, engine(0, 0), true, true),
                Encode(250, ReportContent::Silent, true, true),
                Encode(250, engine(1, 0), false, true),
            ],
        },
    ];
    for case in cases {
        let (mut encoder, mut decoder) = (DeltaEncoder::default(), DeltaDecoder::default());
        let mut now = Instant::now();
        for (i, step) in case.steps.into_iter().enumerate() {
            let Encode(after, content, full, arrives) = step else {
                encoder.reset();
                continue;
            };
            now += Duration::from_millis(after);
            let note = encoder.encode(&"t".to_owned(), &content, now);
            let short = matches!(note, LoadReport::Brief { .. });
            assert_eq!(short, !full, "{}, step {i}", case.name);
            if arrives || short {
                let got = decoder.decode(note).map(|u| u.content);
                assert_eq!(got, arrives.then_some(content), "{}, step {i}", case.name);
            }
        }
    }
}

#[test]
fn summaries() {
    struct Case {
        name: &'static str,
        /// First layer, one past the last, queue, slots, leaving.
        engines: &'static [(Layer, Layer, u32, u32, bool)],
        /// Queue and slots of the model, if it is there.
        want: Option<(u32, u32)>,
    }
    let cases = [
        Case { name: "no engines", engines: &[], want: None },
        Case {
            name: "fewest slots and longest queue of any layer",
            engines: &[(0, 8, 1, 4, false), (0, 8, 2, 4, false), (8, 16, 9, 4, false)],
            want: Some((9, 4)),
        },
        Case {
            name: "overlapping layers",
            engines: &[(0, 10, 1, 4, false), (6, 16, 2, 5, false)],
            want: Some((3, 4)),
        },
        Case { name: "a gap in the layers", engines: &[(8, 16, 1, 4, false)], want: Some((1, 0)) },
        Case {
            name: "a leaving engine is not counted",
            engines: &[(0, 16, 1, 4, false), (0, 16, 5, 4, true)],
            want: Some((1, 4)),
        },
    ];
    let now = Instant::now();
    for case in cases {
        let report = |(n, engine): (usize, &(Layer, Layer, u32, u32, bool))| {
            let (first, end, queue, slots, leaving) = *engine;
            let mut load = Load { queue, slots, leaving, ..load() };
            load.holding.layers = (first, end);
            let content = ReportContent::Engine(load);
            Report { target: format!("t{n}"), seen: now, content }
        };
        let reports: Vec<_> = case.engines.iter().enumerate().map(report).collect();
        let got = summarise(&reports, now + Duration::from_millis(70));
        let lines: Vec<_> = got.iter().map(|s: &Summary| (s.queue, s.slots)).collect();
        assert_eq!(lines, case.want.into_iter().collect::<Vec<_>>(), "{}", case.name);
        assert!(got.iter().all(|s| s.age_ms == 70), "{}", case.name);
    }
}

#[test]
fn a_small_fleet_is_polled_in_full() {
    let (_list, daemons) = cluster();
    let state = Arc::new(TargetState::default());
    let loads: Vec<_> = daemons.iter().map(|d| poll_full(d, &state, TARGETS + 1)).collect();
    let far = format!("t{TARGETS}");
    wait("the target in the other data centre", || {
        loads.iter().all(|(_, t)| t.queue(&far) == Some(0))
    });
}
