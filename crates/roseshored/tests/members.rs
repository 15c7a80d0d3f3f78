//! Membership over real sockets on loopback; every wait is for a condition.

// A part of it is unused in each test program, since both share it.
#[allow(dead_code)]
#[path = "cluster/cluster.rs"]
mod cluster;

use cluster::*;
use roseshore_adapters::peer::{PeerLimits, Server, TcpPeers, serve};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{MemberState, Members, Report, ReportContent, ReportStore};
use roseshore_ports::outside::{CallError, CallResult, Peers};
use roseshore_wire::engine::Load;
use roseshore_wire::peer::{LoadReport, PeerReply, PeerRequest};
use roseshore_wire::platform::HostState;
use roseshored::members::LocalReport;
use roseshored::peers::{self, PeerDriver};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

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
        let content = LoadReport::Silent { target: name(n) };
        daemons[0].driver.queue_report(LocalReport {
            seen: Instant::now(),
            content,
            urgent: n == 99,
        });
    }
    for other in &daemons[1..] {
        let inbox = other.driver.peer_reports();
        let mut got = Vec::new();
        while got.len() < 100 {
            let told = inbox.recv_timeout(BOUND).expect("notes");
            got.extend(told.notes.into_iter().map(|n| n.content));
        }
        let want = (0..100).map(|n| LoadReport::Silent { target: name(n) });
        assert_eq!(got, want.collect::<Vec<_>>(), "over several datagrams");
        assert!(inbox.is_empty());
    }
}

/// Links that the test can cut.
struct Wire {
    peers: TcpPeers,
    cut: Arc<AtomicBool>,
}

impl Peers for Wire {
    fn ask(&self, addr: SocketAddr, ask: &PeerRequest, limit: Duration) -> CallResult<PeerReply> {
        if self.cut.load(Ordering::SeqCst) {
            return Err(CallError::Unreached("cut".into()));
        }
        self.peers.ask(addr, ask, limit)
    }
}

struct Speaking {
    daemon: Daemon,
    driver: Arc<PeerDriver>,
    _server: Server,
}

impl Drop for Speaking {
    fn drop(&mut self) {
        self.driver.stop();
    }
}

/// A daemon that speaks with other data centres; its targets' queue is its own number.
fn speaking(n: usize, list: &Arc<List>, cut: &Arc<AtomicBool>) -> Speaking {
    let daemon = Daemon::start(n, 1, SocketAddr::from(([127, 0, 0, 1], 0)), list);
    let reports = Arc::new(Taken::default());
    let content = ReportContent::Engine(Load { queue: n as u32, ..load() });
    reports.store(Report { target: "t".into(), seen: Instant::now(), content });
    let parts = peers::PeerConfig {
        members: daemon.driver.clone(),
        peers: Arc::new(Wire { peers: TcpPeers::new(PeerLimits::default()), cut: cut.clone() }),
        reports,
        settings: settings(),
    };
    let driver = PeerDriver::start(parts).expect("threads");
    let listener = daemon.listener.try_clone().expect("the listener");
    let server = serve(listener, vec![driver.clone()]).expect("a server");
    Speaking { daemon, driver, _server: server }
}

#[test]
fn data_centres_part_and_meet_again() {
    let list = Arc::new(List::default());
    let cut = Arc::new(AtomicBool::new(false));
    let numbers = [1, 2, 51, 52];
    let all: Vec<_> = numbers.iter().map(|n| speaking(*n, &list, &cut)).collect();
    list.set(|hosts| {
        let peers = all.iter().map(|s| Some(s.daemon.peer()));
        hosts.extend(numbers.iter().zip(peers).map(|(n, peer)| host(*n, peer)));
    });
    let far = |n: usize| if n < 50 { [51, 52] } else { [1, 2] };
    let sees = |state: Option<MemberState>| {
        let both = |(n, s): (&usize, &Speaking)| far(*n).iter().all(|f| s.daemon.sees(*f) == state);
        numbers.iter().zip(&all).all(both)
    };
    let queues = |s: &Speaking| -> Vec<(DataCentreId, u32)> {
        let far = s.driver.remote_loads();
        far.iter().map(|f| (f.data_centre.clone(), f.summaries[0].queue)).collect()
    };
    wait("all alive to all", || sees(Some(MemberState::Alive)));
    wait("the load over there, of one of its daemons", || {
        numbers.iter().zip(&all).all(|(n, s)| {
            let told = queues(s);
            told.len() == 1
                && told[0].0 == centre(far(*n)[0])
                && far(*n).contains(&(told[0].1 as usize))
        })
    });
    cut.store(true, Ordering::SeqCst);
    wait("suspected, then gone over there", || sees(None));
    let near = |s: &Speaking| s.daemon.driver.ranked("x").len() == 2;
    wait("alive here meanwhile", || all.iter().all(near));
    all[0].daemon.drain.start();
    cut.store(false, Ordering::SeqCst);
    wait("met again, with what happened meanwhile", || {
        let leaving = |n: usize| if n == 1 { MemberState::Leaving } else { MemberState::Alive };
        numbers
            .iter()
            .zip(&all)
            .all(|(n, s)| far(*n).iter().all(|f| s.daemon.sees(*f) == Some(leaving(*f))))
    });
}
