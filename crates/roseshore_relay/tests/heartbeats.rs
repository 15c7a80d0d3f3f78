//! Simulations of heartbeats among many hosts in virtual time: their cost, and how soon news
//! reaches all hosts.

mod support;

use roseshore_core::gateway::fatal::{Crash, EARLY, FatalChange, MIN_URGENT_GAP, Stage};
use roseshore_core::gateway::peers::{Datagram, LocalState, TargetLoad, name_hash};
use roseshore_core::gateway::{FatalRequests, Fingerprint, Peers};
use roseshore_core::prelude::*;
use roseshore_wire::frame::{self, MAX_DATAGRAM};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use support::{TICK, addr};

/// Network latency between hosts.
const LATENCY: Duration = Duration::from_millis(1);
/// Engines of a data centre.
const ENGINES: usize = 40;
/// Engines of its data centre on which a host has requests running.
const BUSY_ENGINES: usize = 12;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Host {
    peers: Peers,
    own: LocalState,
    fatal: FatalRequests,
    urgent: bool,
    urgent_sent: Option<Instant>,
    data_centre: usize,
    alive: bool,
    /// Datagrams and bytes sent, and those received, since the last count.
    sent: (usize, usize),
    received: (usize, usize),
}

/// Hosts that send each other heartbeats. The first three hosts of each data centre have a larger
/// capacity.
struct Cluster {
    started: Instant,
    now: Instant,
    data_centres: usize,
    hosts: Vec<Host>,
    indices: HashMap<SocketAddr, usize>,
    in_transit: BTreeMap<(Instant, u64), (usize, usize, Vec<u8>)>,
    sent_count: u64,
    /// One datagram in this many is lost; 0 for none.
    loss: u64,
    /// A data centre that is partitioned from all others.
    partitioned: Option<usize>,
    /// Number of datagrams between data centres.
    cross_centre: usize,
}

impl Cluster {
    fn new(count: usize, data_centres: usize) -> Cluster {
        let started = Instant::now();
        let mut cluster = Cluster {
            started,
            now: started,
            data_centres,
            hosts: Vec::new(),
            indices: (0..count).map(|n| (addr(n), n)).collect(),
            in_transit: BTreeMap::new(),
            sent_count: 0,
            loss: 0,
            partitioned: None,
            cross_centre: 0,
        };
        for n in 0..count {
            let host = cluster.fresh(n, 1);
            cluster.hosts.push(host);
        }
        cluster
    }

    fn fresh(&self, n: usize, life: u64) -> Host {
        let data_centre = n % self.data_centres;
        let seeds: Vec<SocketAddr> = (0..3).map(addr).collect();
        let capacity = if n / self.data_centres < 3 { 500 } else { 120 };
        let peers = Peers::new(addr(n), &format!("centre-{data_centre}"), life, &seeds, self.now);
        let load = |k: usize| TargetLoad {
            target: name_hash(&format!("engine-{data_centre}-{}", (n * 7 + k) % ENGINES)),
            own: 1,
            held: 13,
            down: false,
        };
        let own = LocalState {
            config: 1,
            loads: (0..BUSY_ENGINES).map(load).collect(),
            ..LocalState::default()
        };
        let peers = peers.with_capacity(capacity);
        let fatal = FatalRequests::new(self.now);
        Host {
            peers,
            own,
            fatal,
            urgent: false,
            urgent_sent: None,
            data_centre,
            alive: true,
            sent: (0, 0),
            received: (0, 0),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let count = self.hosts.len();
        while self.now < end {
            let tick = self.now;
            // Hosts send at different times within the tick.
            for n in 0..count {
                let at = tick + TICK.mul_f64(n as f64 / count as f64);
                self.deliver(at);
                self.now = at;
                self.send_heartbeats(n);
            }
            self.now = tick + TICK;
            self.deliver(self.now);
        }
    }

    fn send_heartbeats(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        if !host.alive {
            return;
        }
        host.own.fatal = host.fatal.reports(now);
        for (to, beat) in host.peers.due(&host.own, now) {
            let message = Datagram::Beat(Box::new(beat));
            let bytes =
                frame::encode(&message, MAX_DATAGRAM).expect("the heartbeat fits a datagram");
            host.sent.0 += 1;
            host.sent.1 += bytes.len();
            self.sent_count += 1;
            if self.loss > 0 && self.sent_count.is_multiple_of(self.loss) {
                continue;
            }
            let to = self.indices[&to];
            self.in_transit.insert((now + LATENCY, self.sent_count), (n, to, bytes));
        }
    }

    /// Sends an urgent heartbeat to all hosts.
    fn send_urgent(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        (host.urgent, host.urgent_sent) = (false, Some(self.now));
        host.peers.make_due(true);
        self.send_heartbeats(n);
    }

    fn deliver(&mut self, until: Instant) {
        while let Some(entry) = self.in_transit.first_entry().filter(|e| e.key().0 <= until) {
            let ((at, _), (from, to, bytes)) = entry.remove_entry();
            let (a, b) = (self.hosts[from].data_centre, self.hosts[to].data_centre);
            let partitioned =
                a != b && (self.partitioned == Some(a) || self.partitioned == Some(b));
            let host = &mut self.hosts[to];
            if !host.alive || partitioned {
                continue;
            }
            self.cross_centre += usize::from(a != b);
            host.received.0 += 1;
            host.received.1 += bytes.len();
            let Ok(Datagram::Beat(beat)) = frame::decode(&bytes) else {
                panic!("the datagram is not a heartbeat")
            };
            let config = beat.config;
            for note in &beat.fatal {
                match host.fatal.receive(note, at, at) {
                    FatalChange::Blocked => host.peers.make_due(true),
                    FatalChange::CrashedEarly => host.urgent |= host.peers.speaking(),
                    FatalChange::None
                    | FatalChange::Crashed
                    | FatalChange::Cleared
                    | FatalChange::Dropped(_) => {}
                }
            }
            let received = host.peers.receive(addr(from), *beat, at);
            if received.as_ref().is_some_and(|received| received.joined) {
                host.fatal.repeat_blocked(at);
            }
            if received.is_some() {
                host.own.config = host.own.config.max(config);
            }
            let due = |last_sent: Instant| at - last_sent >= MIN_URGENT_GAP;
            if host.urgent && host.urgent_sent.is_none_or(due) {
                self.now = at;
                self.send_urgent(to);
            }
        }
    }

    fn living(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|h| h.alive)
    }

    /// Runs until a condition holds; returns the time that this took.
    fn until(&mut self, what: &str, most: Duration, holds: impl Fn(&Cluster) -> bool) -> Duration {
        let started = self.now;
        while !holds(self) {
            assert!(self.now - started < most, "{what}: not within {most:?}");
            self.run(TICK);
        }
        self.now - started
    }

    /// Whether every host knows the load of all others, there are few speakers, and exactly one
    /// host reads the store.
    fn settled(&self) -> bool {
        let living = self.living().count();
        let all = self.living().all(|h| h.peers.view(self.now).hosts >= living);
        let speakers = |data_centre| {
            let of = self.living().filter(|h| h.data_centre == data_centre);
            of.filter(|h| h.peers.speaks(self.now)).count()
        };
        let most = |data_centre| {
            let hosts = self.living().filter(|h| h.data_centre == data_centre).count();
            if hosts <= 10 { hosts } else { 3 }
        };
        let few = (0..self.data_centres).all(|c| speakers(c) <= most(c));
        let readers = self.living().filter(|h| h.peers.read_rank(self.now) == 0).count();
        all && few && readers == 1
    }

    /// Datagrams and bytes per second, sent and received: those of the busiest host, and the mean
    /// of all hosts.
    fn cost(&mut self, time: Duration) -> ((f64, f64), (f64, f64)) {
        for host in &mut self.hosts {
            (host.sent, host.received) = ((0, 0), (0, 0));
        }
        self.cross_centre = 0;
        self.run(time);
        let seconds = time.as_secs_f64();
        let counts = self.living().map(|h| (h.sent.0 + h.received.0, h.sent.1 + h.received.1));
        let all: Vec<(usize, usize)> = counts.collect();
        let most = |pick: fn(&(usize, usize)) -> usize| {
            all.iter().map(pick).max().unwrap_or(0) as f64 / seconds
        };
        let mean = |pick: fn(&(usize, usize)) -> usize| {
            all.iter().map(pick).sum::<usize>() as f64 / seconds / all.len() as f64
        };
        ((most(|c| c.0), most(|c| c.1)), (mean(|c| c.0), mean(|c| c.1)))
    }

    fn kill(&mut self, which: impl Fn(usize) -> bool) {
        for (n, host) in self.hosts.iter_mut().enumerate() {
            host.alive &= !which(n);
        }
    }

    fn revive(&mut self, life: u64) {
        for n in 0..self.hosts.len() {
            if !self.hosts[n].alive {
                self.hosts[n] = self.fresh(n, life);
            }
        }
    }
}

/// A system without changes, and the allowed cost of its heartbeats.
struct Size {
    hosts: usize,
    data_centres: usize,
    /// Datagrams and bytes per second and host, sent and received, on average.
    mean: (f64, f64),
    /// The same for the busiest host.
    most: (f64, f64),
    /// Datagrams per second between data centres in the whole system.
    cross_centre: f64,
}

#[test]
fn heartbeats_cost_a_host_the_same_in_a_large_system() {
    // When each host sent heartbeats to every other, 295 hosts in 5 data centres exchanged 1,380
    // datagrams per second and host, and 173,000 per second between data centres.
    let sizes = [
        Size {
            hosts: 9,
            data_centres: 3,
            mean: (80.0, 20e3),
            most: (80.0, 20e3),
            cross_centre: 150.0,
        },
        Size {
            hosts: 60,
            data_centres: 5,
            mean: (80.0, 32e3),
            most: (220.0, 85e3),
            cross_centre: 700.0,
        },
        Size {
            hosts: 295,
            data_centres: 5,
            mean: (80.0, 32e3),
            most: (850.0, 320e3),
            cross_centre: 700.0,
        },
        Size {
            hosts: 1000,
            data_centres: 18,
            mean: (80.0, 32e3),
            most: (850.0, 320e3),
            cross_centre: 8e3,
        },
    ];
    std::thread::scope(|scope| {
        for size in &sizes {
            scope.spawn(|| size.check());
        }
    });
}

impl Size {
    fn check(&self) {
        let mut cluster = Cluster::new(self.hosts, self.data_centres);
        let took = cluster.until("settled", ms(8000), Cluster::settled);
        // Hosts that were speakers while they knew no others stop being known as speakers.
        cluster.run(ms(2600));
        let (most, mean) = cluster.cost(ms(2000));
        let cross_centre = cluster.cross_centre as f64 / 2.0;
        let text = format!(
            "{} hosts in {}: settled in {took:?}; {mean:.0?} mean, {most:.0?} most, {cross_centre:.0} far",
            self.hosts, self.data_centres
        );
        println!("{text}");
        assert!(mean.0 <= self.mean.0 && mean.1 <= self.mean.1, "{text}");
        assert!(most.0 <= self.most.0 && most.1 <= self.most.1, "{text}");
        assert!(cross_centre <= self.cross_centre, "{text}");
        assert!(cluster.settled(), "{text}");
    }
}

#[test]
fn every_host_sees_the_load_of_all() {
    for (hosts, data_centres) in [(8, 2), (60, 4), (120, 2)] {
        let mut cluster = Cluster::new(hosts, data_centres);
        cluster.until("settled", ms(8000), Cluster::settled);
        cluster.run(ms(1500));
        for n in 0..hosts {
            let host = &cluster.hosts[n];
            let loads = host.peers.loads(cluster.now);
            let own = &host.own.loads;
            for k in 0..ENGINES {
                let target = name_hash(&format!("engine-{}-{k}", host.data_centre));
                let all = cluster.hosts.iter().flat_map(|h| &h.own.loads);
                let there = all.filter(|l| l.target == target).count();
                let others = there - own.iter().filter(|l| l.target == target).count();
                let seen = loads.get(&target).map_or(0, |l| usize::from(l.own));
                assert_eq!(seen, others, "host {n} of {hosts}, engine {k}");
            }
        }
    }
}

/// A failure in a system of 120 hosts in four data centres, and the time within which the remaining
/// hosts settle.
struct Failure {
    name: &'static str,
    lost: fn(usize) -> bool,
    /// One datagram in this many is lost throughout; 0 for none.
    loss: u64,
    settled: Duration,
}

#[test]
fn remaining_hosts_choose_speakers_and_a_reader() {
    let cases = [
        Failure { name: "nothing", lost: |_| false, loss: 0, settled: ms(100) },
        Failure { name: "the first of all", lost: |n| n == 0, loss: 0, settled: ms(3000) },
        Failure { name: "all speakers", lost: |n| n < 12, loss: 0, settled: ms(6000) },
        Failure {
            name: "speakers of one",
            lost: |n| n < 12 && n % 4 == 1,
            loss: 0,
            settled: ms(4000),
        },
        Failure { name: "one in three", lost: |n| n % 3 == 0, loss: 0, settled: ms(6000) },
        Failure { name: "a data centre", lost: |n| n % 4 == 2, loss: 0, settled: ms(4000) },
        Failure { name: "speakers on lossy links", lost: |n| n < 8, loss: 10, settled: ms(8000) },
    ];
    for case in cases {
        let mut cluster = Cluster::new(120, 4);
        cluster.until("settled", ms(8000), Cluster::settled);
        cluster.run(ms(1000));
        cluster.loss = case.loss;
        cluster.kill(case.lost);
        cluster.run(ms(1300));
        let took = cluster.until(case.name, case.settled, Cluster::settled);
        println!("{}: {took:?} after 1.3 s", case.name);
        // The hosts are known again after they restart.
        cluster.loss = 0;
        cluster.revive(2);
        cluster.until(case.name, ms(8000), Cluster::settled);
    }
}

#[test]
fn news_reaches_all_hosts_within_a_second() {
    for (hosts, data_centres) in [(9, 3), (60, 4), (295, 5)] {
        let mut cluster = Cluster::new(hosts, data_centres);
        cluster.until("settled", ms(8000), Cluster::settled);
        cluster.run(ms(1000));
        cluster.hosts[0].own.config = 2;
        cluster.hosts[0].peers.make_due(true);
        let all = |cluster: &Cluster| cluster.living().all(|h| h.own.config == 2);
        let took = cluster.until("news", ms(1000), all);
        println!("{hosts} hosts: {took:?}");
    }
}

#[test]
fn a_data_centre_rejoins_after_a_partition() {
    let mut cluster = Cluster::new(60, 3);
    cluster.until("settled", ms(8000), Cluster::settled);
    cluster.partitioned = Some(0);
    cluster.run(ms(6000));
    let readers = cluster.living().filter(|h| h.peers.read_rank(cluster.now) == 0).count();
    assert_eq!(readers, 2, "one host on each side reads the store");
    // Its speakers die during the partition.
    cluster.kill(|n| n % 3 == 0 && n < 9);
    cluster.run(ms(4000));
    cluster.partitioned = None;
    cluster.until("joined again", ms(7000), Cluster::settled);
    assert!(cluster.now - cluster.started < ms(30_000));
}

/// A process that ended under a run.
fn crash(target: u32, stage: Stage, at: Instant) -> Crash {
    Crash { target, stage, silent: false, at }
}

/// The request under which targets crash.
fn fatal_request() -> Fingerprint {
    Fingerprint::of(Some("acme"), &[b"/draft/", b"body"])
}

impl Cluster {
    /// Three hosts, in different data centres if there are several, each see one target crash under
    /// the fatal request.
    fn crash_at_three_hosts(&mut self) {
        for n in 0..3 {
            self.hosts[n].fatal.record_crash(
                fatal_request(),
                crash(n as u32, Stage::BEGINNING, self.now),
                self.now,
            );
        }
    }

    /// A host sees a target crash under a request.
    fn record_crash_at(&mut self, n: usize, request: Fingerprint, target: u32, early: bool) {
        let stage = if early { Stage::BEGINNING } else { Stage::after(EARLY) };
        let now = self.now;
        if self.hosts[n].fatal.record_crash(request, crash(target, stage, now), now)
            == FatalChange::CrashedEarly
        {
            self.hosts[n].urgent = true;
        }
    }

    /// A target crashes while it runs this many requests of hosts of one data centre. A quarter of
    /// them had hardly begun.
    fn crash_target(&mut self, target: u32, requests: usize) {
        let data_centre = target as usize % self.data_centres;
        let hosts: Vec<usize> =
            (0..self.hosts.len()).filter(|n| n % self.data_centres == data_centre).collect();
        for n in 0..requests {
            let request = Fingerprint::of(None, &[&target.to_le_bytes(), &n.to_le_bytes()]);
            self.record_crash_at(hosts[n % hosts.len()], request, target, n.is_multiple_of(4));
        }
    }

    /// Hosts that saw early crashes send urgent heartbeats.
    fn send_urgent_heartbeats(&mut self) {
        for n in 0..self.hosts.len() {
            if self.hosts[n].urgent {
                self.send_urgent(n);
            }
        }
    }

    fn all_block(&self) -> bool {
        let blocks = |h: &Host| h.fatal.blocked(fatal_request(), self.now).is_some();
        self.living().all(blocks)
    }
}

/// A system in which all hosts must block a request soon after its third crash.
struct BlockCase {
    hosts: usize,
    data_centres: usize,
    loss: u64,
}

#[test]
fn crashes_seen_by_three_hosts_add_up_on_all_within_three_seconds() {
    let cases = [
        BlockCase { hosts: 9, data_centres: 3, loss: 0 },
        BlockCase { hosts: 60, data_centres: 4, loss: 0 },
        BlockCase { hosts: 60, data_centres: 4, loss: 8 },
        BlockCase { hosts: 295, data_centres: 5, loss: 0 },
        BlockCase { hosts: 295, data_centres: 5, loss: 8 },
    ];
    for case in cases {
        let BlockCase { hosts, data_centres, loss } = case;
        let mut cluster = Cluster::new(hosts, data_centres);
        cluster.until("settled", ms(8000), Cluster::settled);
        cluster.run(ms(1000));
        cluster.loss = loss;
        cluster.crash_at_three_hosts();
        let took = cluster.until("blocked everywhere", ms(3000), Cluster::all_block);
        println!("{hosts} hosts, one of {loss} lost: {took:?}");
    }
}

#[test]
fn hosts_that_begin_or_were_cut_off_learn_which_requests_are_blocked() {
    let mut cluster = Cluster::new(60, 3);
    cluster.until("settled", ms(8000), Cluster::settled);
    cluster.run(ms(1000));
    cluster.partitioned = Some(2);
    cluster.run(ms(3000));
    cluster.kill(|n| n % 3 == 0 && n > 20);
    for n in [0, 1, 3] {
        cluster.hosts[n].fatal.record_crash(
            fatal_request(),
            crash(n as u32, Stage::BEGINNING, cluster.now),
            cluster.now,
        );
    }
    cluster.run(ms(5000));
    cluster.partitioned = None;
    cluster.revive(2);
    let took = cluster.until("blocked everywhere", ms(8000), Cluster::all_block);
    println!("joined: {took:?}");
}

/// Guards against late reports of a fatal request. A request under which three targets had crashed
/// was sent nine more times: each crash also interrupted some seventy other requests, which hosts
/// reported to each other four to a heartbeat. Reports of requests that had hardly begun, such as
/// the fatal one, were queued behind the others, so that the first other host learned of the third
/// crash after 0.7 s.
#[test]
fn three_crashes_reach_all_hosts_at_once_despite_many_other_reports() {
    // Callers retry after about 0.2 s, and each request that is sent after the third crash may
    // crash another target.
    let most = ms(200);
    for (hosts, data_centres) in [(9, 3), (64, 3), (295, 5)] {
        let mut cluster = Cluster::new(hosts, data_centres);
        cluster.until("settled", ms(8000), Cluster::settled);
        cluster.run(ms(1000));
        for crash_target in 0..3_u32 {
            cluster.crash_target(crash_target, 72);
            let n = crash_target as usize;
            cluster.record_crash_at(n, fatal_request(), crash_target, true);
            cluster.send_urgent_heartbeats();
            if crash_target < 2 {
                cluster.run(ms(300));
            }
        }
        let took = cluster.until("blocked everywhere", most + TICK, Cluster::all_block);
        println!("{hosts} hosts: {took:?}");
        assert!(took <= most, "{hosts} hosts: {took:?}");
    }
}

/// A system in which one host reports targets to fail its checks.
struct Reports {
    hosts: usize,
    data_centres: usize,
    /// Time within which the whole data centre knows of a target that is lost.
    known: Duration,
}

/// Guards against the loss of a sound target in a whole data centre by the report of one host, and
/// against a true loss that becomes known late.
#[test]
fn speakers_pass_on_only_failures_that_they_have_not_refuted() {
    let sizes = [
        Reports { hosts: 8, data_centres: 1, known: ms(100) },
        Reports { hosts: 64, data_centres: 3, known: ms(500) },
        Reports { hosts: 985, data_centres: 22, known: ms(500) },
    ];
    std::thread::scope(|scope| sizes.iter().for_each(|size| drop(scope.spawn(|| size.check()))));
}

impl Reports {
    fn check(&self) {
        let mut cluster = Cluster::new(self.hosts, self.data_centres);
        cluster.until("settled", ms(8000), Cluster::settled);
        let (lost, sound, reporter) = (name_hash("lost"), name_hash("sound"), self.hosts - 1);
        let load = |target| TargetLoad { target, down: true, ..TargetLoad::default() };
        cluster.hosts[..reporter].iter_mut().for_each(|host| host.own.refuted = vec![sound]);
        cluster.hosts[reporter].own.loads.extend([load(lost), load(sound)]);
        cluster.hosts[reporter].peers.make_due(false);
        cluster.send_heartbeats(reporter);
        let down = |cluster: &Cluster, n: usize, target| {
            let loads = cluster.hosts[n].peers.loads(cluster.now);
            loads.get(&target).is_some_and(|load| load.down)
        };
        let others =
            || (0..reporter).filter(|n| n % self.data_centres == reporter % self.data_centres);
        cluster.until("the loss is known", self.known, |cluster| {
            others().all(|n| down(cluster, n, lost))
        });
        cluster.run(ms(1000));
        let listens = |n: &usize| !cluster.hosts[*n].peers.speaks(cluster.now);
        assert!(others().filter(listens).all(|n| !down(&cluster, n, sound)), "{}", self.hosts);
    }
}
