//! Membership over real sockets on loopback; every wait is for a condition.

use parking_lot::Mutex;
use roseshore_adapters::peer::UdpSocket;
use roseshore_core::membership::{Heartbeat, Settings};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Fleets, InForce, MemberState, Members};
use roseshore_ports::outside::{CallError, Called, Datagrams, HostList, Received};
use roseshore_wire::peer::{Datagram, LoadNote, NoteContent};
use roseshore_wire::platform::{Host, HostState, Hosts};
use roseshored::app::Drain;
use roseshored::members::{MemberDriver, Parts};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
    for n in 0..100 {
        let content = NoteContent::Silent { target: format!("a target with quite a name {n}") };
        daemons[0].driver.share(LoadNote { age_ms: n, content });
    }
    for other in &daemons[1..] {
        let inbox = other.driver.told();
        let mut ages = Vec::new();
        wait("all notes, over several datagrams", || inbox.len() >= 3);
        while ages.len() < 100 {
            let told = inbox.recv_timeout(BOUND).expect("notes");
            ages.extend(told.notes.iter().map(|n| n.age_ms));
        }
        assert_eq!(ages, (0..100).collect::<Vec<_>>());
        assert!(inbox.is_empty());
    }
}
