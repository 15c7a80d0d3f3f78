//! Membership over real sockets on loopback; every wait is for a condition.

use parking_lot::Mutex;
use roseshore_adapters::peer::UdpSocket;
use roseshore_core::fleet::TargetKind;
use roseshore_core::membership::{Heartbeat, Settings};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{
    Fleets, InForce, MemberState, Members, Report, ReportContent, Reports,
};
use roseshore_ports::outside::{
    CallError, Called, Datagrams, Engine, Hop, HostList, Received, ServiceReply, Services,
    StreamItem,
};
use roseshore_wire::engine::{
    CacheEvents, Cancel, Generate, Holding, Kv, KvExport, Load, Order, Role,
};
use roseshore_wire::peer::{Datagram, NoteContent};
use roseshore_wire::platform::{Host, HostState, Hosts};
use roseshore_wire::service::ServiceLoad;
use roseshored::app::Drain;
use roseshored::loads::notes::{Packer, Unpacker};
use roseshored::loads::{self, LoadDriver};
use roseshored::members::{Fresh, MemberDriver, Parts};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;

const BOUND: Duration = Duration::from_secs(20);

fn wait(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + BOUND;
    while !condition() {
        assert!(Instant::now() < end, "waited for: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// The platform's list, which the test changes.
#[derive(Default)]
struct List {
    hosts: Mutex<Hosts>,
    down: AtomicBool,
}

impl List {
    fn set(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut hosts = self.hosts.lock();
        hosts.version += 1;
        change(&mut hosts.hosts);
    }
}

impl HostList for List {
    fn hosts(&self) -> Called<Hosts> {
        if self.down.load(Ordering::SeqCst) {
            return Err(CallError::Unreached("the platform is out".into()));
        }
        Ok(self.hosts.lock().clone())
    }
}

struct Folded;

impl Fleets for Folded {
    fn current(&self) -> Option<InForce> {
        Some(InForce { fleet: Arc::default(), offset: 42, digest: 7 })
    }
}

/// A socket that the test can cut off in either direction.
struct Cable {
    socket: UdpSocket,
    deaf: AtomicBool,
    mute: AtomicBool,
}

impl Datagrams for Cable {
    fn send(&self, to: SocketAddr, datagram: &Datagram) -> Called<()> {
        if self.mute.load(Ordering::SeqCst) {
            return Ok(());
        }
        self.socket.send(to, datagram)
    }

    fn receive(&self, limit: Duration) -> Option<Received> {
        self.socket.receive(limit).filter(|_| !self.deaf.load(Ordering::SeqCst))
    }
}

struct Daemon {
    driver: Arc<MemberDriver>,
    cable: Arc<Cable>,
    drain: Arc<Drain>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.driver.stop();
    }
}

impl Daemon {
    fn start(n: usize, incarnation: u64, addr: SocketAddr, list: &Arc<List>) -> Daemon {
        let socket = UdpSocket::bind(addr).expect("a port");
        let peer = socket.addr().expect("its address");
        let cable = Arc::new(Cable { socket, deaf: false.into(), mute: false.into() });
        let drain = Arc::new(Drain::default());
        let parts = Parts {
            own: Heartbeat {
                host: format!("h{n}"),
                data_centre: "near".into(),
                incarnation,
                sequence: 0,
                leaving: false,
                offset: 0,
                digest: 0,
            },
            peer,
            seeds: Vec::new(),
            settings: Settings::default(),
            socket: cable.clone(),
            list: list.clone(),
            fleets: Arc::new(Folded),
            drain: drain.clone(),
        };
        Daemon { driver: MemberDriver::start(parts).expect("threads"), cable, drain }
    }

    fn peer(&self) -> SocketAddr {
        self.driver.own().peer
    }

    fn sees(&self, n: usize) -> Option<MemberState> {
        let host = format!("h{n}");
        self.driver.all().iter().find(|m| m.host == host).map(|m| m.state)
    }
}

/// Three daemons that know each other.
fn cluster() -> (Arc<List>, Vec<Daemon>) {
    let list = Arc::new(List::default());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let daemons: Vec<_> = (0..3).map(|n| Daemon::start(n, 1, any, &list)).collect();
    list.set(|hosts| {
        hosts.extend(daemons.iter().enumerate().map(|(n, d)| host(n, Some(d.peer()))));
        hosts.push(host(9, None));
    });
    wait("all alive", || {
        daemons.iter().all(|d| d.driver.ranked("x").len() == 3 && !d.driver.stale())
    });
    (list, daemons)
}

fn host(n: usize, peer: Option<SocketAddr>) -> Host {
    let (host, data_centre) = (format!("h{n}"), "near".into());
    Host { host, data_centre, state: HostState::Live, peer }
}

#[test]
fn daemons_find_each_other_and_agree() {
    let (_list, daemons) = cluster();
    let order = |d: &Daemon| d.driver.ranked("x").into_iter().map(|m| m.host).collect::<Vec<_>>();
    wait("one order", || {
        let first = order(&daemons[0]);
        first.len() == 3 && daemons.iter().all(|d| order(d) == first)
    });
    let all = daemons[0].driver.all();
    assert!(all.iter().all(|m| (m.offset, m.digest, m.incarnation) == (42, 7, 1)), "{all:?}");
}

#[test]
fn leaving() {
    struct Case {
        name: &'static str,
        leave: fn(&List, &[Daemon]),
        host: usize,
    }
    let cases = [
        Case { name: "a daemon drains", leave: |_, d| d[2].drain.start(), host: 2 },
        Case {
            name: "the list says so of a daemon",
            leave: |l, _| l.set(|h| h[2].state = HostState::Leaving),
            host: 2,
        },
        Case {
            name: "the list says so of a target's host",
            leave: |l, _| l.set(|h| h[3].state = HostState::Leaving),
            host: 9,
        },
        Case {
            name: "the list said so and is out since",
            leave: |l, d| {
                l.set(|h| h[3].state = HostState::Leaving);
                wait("the notice", || d.iter().all(|d| d.driver.leaving(&"h9".into())));
                l.down.store(true, Ordering::SeqCst);
            },
            host: 9,
        },
    ];
    for case in cases {
        let (list, daemons) = cluster();
        (case.leave)(&list, &daemons);
        let host = format!("h{}", case.host);
        wait(case.name, || daemons.iter().all(|d| d.driver.leaving(&host)));
        let ranked = |d: &Daemon| d.driver.ranked("x").iter().any(|m| m.host == host);
        wait(case.name, || !daemons.iter().any(ranked));
    }
}

#[test]
fn silence_and_return() {
    let (_list, mut daemons) = cluster();
    let last = daemons.pop().expect("three");
    last.cable.mute.store(true, Ordering::SeqCst);
    wait("suspected by both", || daemons.iter().all(|d| d.sees(2) == Some(MemberState::Suspect)));
    wait("one that is not heard still hears the others", || {
        (0..2).all(|n| last.sees(n) == Some(MemberState::Alive))
    });
    last.cable.mute.store(false, Ordering::SeqCst);
    wait("alive again", || daemons.iter().all(|d| d.sees(2) == Some(MemberState::Alive)));
    last.cable.deaf.store(true, Ordering::SeqCst);
    wait("hears nobody", || last.driver.ranked("x").len() == 1);
    wait("still heard", || daemons[0].sees(2) == Some(MemberState::Alive));
}

#[test]
fn a_restarted_daemon_is_the_newer_life() {
    let (list, mut daemons) = cluster();
    let old = daemons.pop().expect("three");
    old.drain.start();
    wait("leaving", || daemons.iter().all(|d| d.sees(2) == Some(MemberState::Leaving)));
    let addr = old.peer();
    let threads = Arc::downgrade(&old.cable);
    drop(old);
    wait("the socket is free", || threads.strong_count() == 0);
    let _new = Daemon::start(2, 2, addr, &list);
    wait("alive in its second life", || {
        daemons.iter().all(|d| {
            let all = d.driver.all();
            let new = all.iter().find(|m| m.host == "h2").map(|m| (m.incarnation, m.state));
            new == Some((2, MemberState::Alive))
        })
    });
}

#[test]
fn notes_reach_the_others_once() {
    let (_list, daemons) = cluster();
    let name = |n| format!("a target with quite a long name {n}");
    for n in 0..100 {
        let content = NoteContent::Silent { target: name(n) };
        daemons[0].driver.share(Fresh { seen: Instant::now(), content, urgent: n == 99 });
    }
    for other in &daemons[1..] {
        let inbox = other.driver.told();
        let mut got = Vec::new();
        while got.len() < 100 {
            let told = inbox.recv_timeout(BOUND).expect("notes");
            got.extend(told.notes.into_iter().map(|n| n.content));
        }
        let want = (0..100).map(|n| NoteContent::Silent { target: name(n) });
        assert_eq!(got, want.collect::<Vec<_>>(), "over several datagrams");
        assert!(inbox.is_empty());
    }
}

/// Targets that answer as the test says, and the reports that one daemon took.
#[derive(Default)]
struct Site {
    queue: AtomicU32,
    silent: Mutex<Option<SocketAddr>>,
}

struct Targets(Arc<Site>);

impl Targets {
    fn ask(&self, addr: SocketAddr) -> Called<u32> {
        if *self.0.silent.lock() == Some(addr) {
            return Err(CallError::Lost("no reply in time".into()));
        }
        Ok(self.0.queue.load(Ordering::SeqCst))
    }
}

fn unused<T>() -> Called<T> {
    Err(CallError::Unreached("not part of this test".into()))
}

impl Engine for Targets {
    fn load(&self, addr: SocketAddr, _limit: Duration) -> Called<Load> {
        let queue = self.ask(addr)?;
        Ok(Load { queue, ..load() })
    }
    fn generate(
        &self,
        _: SocketAddr,
        _: &Generate,
        _: Instant,
    ) -> Called<flume::Receiver<StreamItem>> {
        unused()
    }
    fn cancel(&self, _: SocketAddr, _: &Cancel, _: Duration) -> Called<()> {
        unused()
    }
    fn export(&self, _: SocketAddr, _: &KvExport, _: Duration) -> Called<Kv> {
        unused()
    }
    fn import(&self, _: SocketAddr, _: &Kv, _: Duration) -> Called<()> {
        unused()
    }
    fn cache(&self, _: SocketAddr, _: u64, _: Duration) -> Called<CacheEvents> {
        unused()
    }
    fn order(&self, _: SocketAddr, _: &Order, _: Duration) -> Called<Holding> {
        unused()
    }
}

impl Services for Targets {
    fn lookup(&self, _: SocketAddr, _: &str, _: &str, _: &Hop) -> Called<ServiceReply> {
        unused()
    }
    fn call(
        &self,
        _: SocketAddr,
        _: &str,
        _: &[u8],
        _: Option<&str>,
        _: &Hop,
    ) -> Called<ServiceReply> {
        unused()
    }
    fn load(&self, addr: SocketAddr, _: Duration) -> Called<ServiceLoad> {
        Ok(ServiceLoad { queue: self.ask(addr)?, ..service_load() })
    }
}

fn load() -> Load {
    let holding = Holding {
        incarnation: 3,
        model: Some("indus-notes".into()),
        version: Some("v12".into()),
        layers: (0, 16),
        adapters: ["summary".to_owned()].into(),
        role: Role::Both,
        fence: None,
        loading: false,
    };
    Load {
        holding,
        queue: 0,
        running: 1,
        slots: 8,
        step_us: 900,
        prefill_rate: 4000.0,
        kv_used: 100,
        kv_cap: 100_000,
        kv_bytes: 4096,
        leaving: false,
    }
}

fn service_load() -> ServiceLoad {
    ServiceLoad { incarnation: 1, queue: 0, running: 0, slots: 4, call_us: 500, leaving: false }
}

#[derive(Default)]
struct Taken(Mutex<BTreeMap<TargetId, Report>>);

impl Reports for Taken {
    fn take(&self, report: Report) {
        let mut all = self.0.lock();
        if all.get(&report.target).is_none_or(|known| known.seen < report.seen) {
            all.insert(report.target.clone(), report);
        }
    }

    fn newest(&self) -> Vec<Report> {
        self.0.lock().values().cloned().collect()
    }
}

impl Taken {
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

const TARGETS: usize = 6;

/// Six targets in the data centre of the daemons, half of them engines, and one elsewhere.
struct Declared;

impl Fleets for Declared {
    fn current(&self) -> Option<InForce> {
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
        Some(InForce { fleet: Arc::new(fleet), offset: 1, digest: 1 })
    }
}

fn target_addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + n as u16))
}

fn poll(daemon: &Daemon, site: &Arc<Site>) -> (LoadDriver, Arc<Taken>) {
    let taken = Arc::new(Taken::default());
    let parts = loads::Parts {
        members: daemon.driver.clone(),
        fleets: Arc::new(Declared),
        engine: Arc::new(Targets(site.clone())),
        services: Arc::new(Targets(site.clone())),
        reports: taken.clone(),
        settings: roseshore_core::polling::Settings::default(),
    };
    (LoadDriver::start(parts).expect("threads"), taken)
}

#[test]
fn reports_reach_every_daemon() {
    let (list, mut daemons) = cluster();
    let site = Arc::new(Site::default());
    let mut loads: Vec<_> = daemons.iter().map(|d| poll(d, &site)).collect();
    let all = |loads: &[(LoadDriver, Arc<Taken>)], queue| {
        let of = |t: &Taken| (0..TARGETS).all(|n| t.queue(&format!("t{n}")) == Some(queue));
        loads.iter().all(|(_, t)| of(t) && t.all(|_| true))
    };
    wait("all targets at all daemons", || all(&loads, 0));
    site.queue.store(7, Ordering::SeqCst);
    wait("a change at all daemons", || all(&loads, 7));

    *site.silent.lock() = Some(target_addr(2));
    wait("silent at all daemons", || loads.iter().all(|(_, t)| t.queue("t2").is_none()));
    *site.silent.lock() = None;
    wait("back at all daemons", || all(&loads, 7));

    daemons.remove(0).driver.stop();
    drop(loads.remove(0));
    let since = Instant::now();
    wait("the others poll what it polled", || loads.iter().all(|(_, t)| t.all(|r| r.seen > since)));

    let new = Daemon::start(4, 1, SocketAddr::from(([127, 0, 0, 1], 0)), &list);
    list.set(|hosts| hosts.push(host(4, Some(new.peer()))));
    loads.push(poll(&new, &site));
    site.queue.store(9, Ordering::SeqCst);
    wait("one that joins knows all", || all(&loads, 9));
}

#[test]
fn all_go_by_the_word_of_one_poller() {
    let (_list, daemons) = cluster();
    let number = |n| Arc::new(Site { queue: AtomicU32::new(n), ..Site::default() });
    let loads: Vec<_> = daemons.iter().zip(1..).map(|(d, n)| poll(d, &number(n))).collect();
    for target in (0..TARGETS).map(|n| format!("t{n}")) {
        wait("the same poller's word at all daemons", || {
            let first = loads[0].1.queue(&target);
            first.is_some() && loads.iter().all(|(_, taken)| taken.queue(&target) == first)
        });
    }
}

#[test]
fn short_notes() {
    enum Step {
        /// A report, milliseconds after the last; whether it travels whole, and arrives or not.
        Say(u64, ReportContent, bool, bool),
        /// Somebody joined.
        Join,
    }
    use Step::{Join, Say};
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
    }
    let engine = |queue, kv_used| ReportContent::Engine(Load { queue, kv_used, ..load() });
    let service = |queue| ReportContent::Service(ServiceLoad { queue, ..service_load() });
    let leaving = ReportContent::Engine(Load { leaving: true, ..load() });
    let cases = [
        Case {
            name: "counts travel short",
            steps: vec![
                Say(0, engine(0, 0), true, true),
                Say(250, engine(5, 9000), false, true),
                Say(250, engine(0, 1), false, true),
            ],
        },
        Case {
            name: "what else changes travels whole",
            steps: vec![
                Say(0, engine(0, 0), true, true),
                Say(250, leaving, true, true),
                Say(250, engine(0, 0), true, true),
            ],
        },
        Case {
            name: "now and then whole, for those who lost it",
            steps: vec![
                Say(0, service(0), true, true),
                Say(4900, service(1), false, true),
                Say(200, service(2), true, true),
            ],
        },
        Case {
            name: "whole for one that joins",
            steps: vec![Say(0, service(0), true, true), Join, Say(250, service(1), true, true)],
        },
        Case {
            name: "counts without their whole report are passed over",
            steps: vec![Say(0, service(0), true, false), Say(250, service(1), false, false)],
        },
        Case {
            name: "silence needs nothing",
            steps: vec![
                Say(0, ReportContent::Silent, true, true),
                Say(250, engine(0, 0), true, true),
                Say(250, ReportContent::Silent, true, true),
                Say(250, engine(1, 0), false, true),
            ],
        },
    ];
    for case in cases {
        let (mut packer, mut unpacker) = (Packer::default(), Unpacker::default());
        let mut now = Instant::now();
        for (i, step) in case.steps.into_iter().enumerate() {
            let Say(after, content, whole, arrives) = step else {
                packer.reset();
                continue;
            };
            now += Duration::from_millis(after);
            let note = packer.pack(&"t".to_owned(), &content, now);
            let short = matches!(note, NoteContent::Brief { .. });
            assert_eq!(short, !whole, "{}, step {i}", case.name);
            if arrives || short {
                let got = unpacker.unpack(note).map(|u| u.content);
                assert_eq!(got, arrives.then_some(content), "{}, step {i}", case.name);
            }
        }
    }
}
