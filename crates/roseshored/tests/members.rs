//! Membership over real sockets on loopback. Tests wait for conditions, never for a fixed time.

// Each test program uses only part of this shared module.
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
    wait("the same order at all daemons", || {
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
            name: "the host list marks a daemon as leaving",
            leave: |l, _| l.set(|h| h[2].state = HostState::Leaving),
            host: 2,
        },
        Case {
            name: "the host list marks a target's host as leaving",
            leave: |l, _| l.set(|h| h[3].state = HostState::Leaving),
            host: 9,
        },
        Case {
            name: "the host list marked it as leaving and is unavailable since",
            leave: |l, d| {
                l.set(|h| h[3].state = HostState::Leaving);
                wait("leaving at all daemons", || d.iter().all(|d| d.driver.leaving(&"h9".into())));
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
    last.socket.drop_sent.store(true, Ordering::SeqCst);
    wait("suspected by both", || daemons.iter().all(|d| d.sees(2) == Some(MemberState::Suspect)));
    wait("a daemon that cannot send still receives", || {
        (0..2).all(|n| last.sees(n) == Some(MemberState::Alive))
    });
    last.socket.drop_sent.store(false, Ordering::SeqCst);
    wait("alive again", || daemons.iter().all(|d| d.sees(2) == Some(MemberState::Alive)));
    last.socket.drop_received.store(true, Ordering::SeqCst);
    wait("sees no other daemon alive", || last.driver.ranked("x").len() == 1);
    wait("still seen by the others", || daemons[0].sees(2) == Some(MemberState::Alive));
}

#[test]
fn a_restarted_daemon_replaces_its_old_incarnation() {
    let (list, mut daemons) = cluster();
    let old = daemons.pop().expect("three");
    old.drain.start();
    wait("leaving", || daemons.iter().all(|d| d.sees(2) == Some(MemberState::Leaving)));
    let addr = old.peer();
    let threads = Arc::downgrade(&old.socket);
    drop(old);
    wait("the socket is free", || threads.strong_count() == 0);
    let _new = Daemon::start(2, 2, addr, &list);
    wait("alive in its second incarnation", || {
        daemons.iter().all(|d| {
            let all = d.driver.all();
            let new = all.iter().find(|m| m.host == "h2").map(|m| (m.incarnation, m.state));
            new == Some((2, MemberState::Alive))
        })
    });
}

#[test]
fn reports_reach_the_others_once() {
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
            let batch = inbox.recv_timeout(BOUND).expect("notes");
            got.extend(batch.notes.into_iter().map(|n| n.content));
        }
        let want = (0..100).map(|n| LoadReport::Silent { target: name(n) });
        assert_eq!(got, want.collect::<Vec<_>>(), "over several datagrams");
        assert!(inbox.is_empty());
    }
}

/// Connections to peers that the test can cut.
struct CuttablePeers {
    peers: TcpPeers,
    cut: Arc<AtomicBool>,
}

impl Peers for CuttablePeers {
    fn ask(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
    ) -> CallResult<PeerReply> {
        if self.cut.load(Ordering::SeqCst) {
            return Err(CallError::Unreached("cut".into()));
        }
        self.peers.ask(addr, request, limit)
    }
}

struct PeerDaemon {
    daemon: Daemon,
    driver: Arc<PeerDriver>,
    _server: Server,
}

impl Drop for PeerDaemon {
    fn drop(&mut self) {
        self.driver.stop();
    }
}

/// Starts a daemon that exchanges digests with other data centres; its target reports a queue of
/// `n` requests.
fn peer_daemon(n: usize, list: &Arc<List>, cut: &Arc<AtomicBool>) -> PeerDaemon {
    let daemon = Daemon::start(n, 1, SocketAddr::from(([127, 0, 0, 1], 0)), list);
    let reports = Arc::new(StoredReports::default());
    let content = ReportContent::Engine(Load { queue: n as u32, ..load() });
    reports.store(Report { target: "t".into(), seen: Instant::now(), content });
    let config = peers::PeerConfig {
        members: daemon.driver.clone(),
        peers: Arc::new(CuttablePeers {
            peers: TcpPeers::new(PeerLimits::default()),
            cut: cut.clone(),
        }),
        reports,
        settings: settings(),
    };
    let driver = PeerDriver::start(config).expect("threads");
    let listener = daemon.listener.try_clone().expect("the listener");
    let server = serve(listener, vec![driver.clone()]).expect("a server");
    PeerDaemon { daemon, driver, _server: server }
}

#[test]
fn partitioned_data_centres_rejoin() {
    let list = Arc::new(List::default());
    let cut = Arc::new(AtomicBool::new(false));
    let numbers = [1, 2, 51, 52];
    let all: Vec<_> = numbers.iter().map(|n| peer_daemon(*n, &list, &cut)).collect();
    list.set(|hosts| {
        let peers = all.iter().map(|s| Some(s.daemon.peer()));
        hosts.extend(numbers.iter().zip(peers).map(|(n, peer)| host(*n, peer)));
    });
    let far = |n: usize| if n < 50 { [51, 52] } else { [1, 2] };
    let sees = |state: Option<MemberState>| {
        let both =
            |(n, s): (&usize, &PeerDaemon)| far(*n).iter().all(|f| s.daemon.sees(*f) == state);
        numbers.iter().zip(&all).all(both)
    };
    let queues = |s: &PeerDaemon| -> Vec<(DataCentreId, u32)> {
        let far = s.driver.remote_loads();
        far.iter().map(|f| (f.data_centre.clone(), f.summaries[0].queue)).collect()
    };
    wait("all daemons see each other alive", || sees(Some(MemberState::Alive)));
    wait("the load of the other data centre, from one of its daemons", || {
        numbers.iter().zip(&all).all(|(n, s)| {
            let loads = queues(s);
            loads.len() == 1
                && loads[0].0 == centre(far(*n)[0])
                && far(*n).contains(&(loads[0].1 as usize))
        })
    });
    cut.store(true, Ordering::SeqCst);
    wait("the other data centre suspected, then gone", || sees(None));
    let near = |s: &PeerDaemon| s.daemon.driver.ranked("x").len() == 2;
    wait("the own data centre stays alive", || all.iter().all(near));
    all[0].daemon.drain.start();
    cut.store(false, Ordering::SeqCst);
    wait("rejoined, with the changes made during the partition", || {
        let leaving = |n: usize| if n == 1 { MemberState::Leaving } else { MemberState::Alive };
        numbers
            .iter()
            .zip(&all)
            .all(|(n, s)| far(*n).iter().all(|f| s.daemon.sees(*f) == Some(leaving(*f))))
    });
}
