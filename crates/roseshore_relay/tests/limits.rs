//! Simulations of rate limits of targets that many hosts enforce together, in virtual time.
//!
//! Hosts of several data centres exchange heartbeats. Requests for a rate-limited target arrive at
//! random hosts; some of these know the limit from a response of the target, the others from
//! heartbeats. The tests check, from three seconds after the target first stated its limit, the
//! number of requests that it gets in the busiest four seconds, and the fraction of the limit that
//! is used.

mod support;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::Peers;
use roseshore_core::gateway::peers::{Datagram, LocalState, PermitGrant, PermitRequest};
use roseshore_core::gateway::quota::limits::{Issuer, Permit, TargetLimits};
use roseshore_core::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use support::{TICK, addr};

/// Network latency between hosts.
const LATENCY: Duration = Duration::from_millis(1);
/// Time until a target's response arrives at the host.
const RESPONSE_TIME: Duration = Duration::from_millis(20);
/// Time after the first requests from which the limits must be kept.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Duration of the load.
const LOAD_TIME: Duration = Duration::from_secs(40);
/// Time in which the hosts discover each other before the load starts.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// The rate limits of the targets in requests per second; all targets are in the first data centre.
const LIMITS: [f64; 4] = [0.5, 2.0, 6.0, 50.0];

struct Host {
    peers: Peers,
    limits: TargetLimits,
    issuer: Issuer,
    data_centre: usize,
    alive: bool,
}

/// What arrives at a host.
enum Arrival {
    Message(usize, Box<Datagram>),
    /// A target's response to a request that was sent at this time, and whether it states the
    /// limit.
    Response(u32, Instant, bool),
}

/// A load, and the failures during it.
struct Case {
    name: &'static str,
    hosts: usize,
    data_centres: usize,
    /// Number of data centres whose hosts get requests for the targets.
    loaded_centres: usize,
    /// When the permit issuer of the first data centre is killed; it restarts five seconds later.
    killed: Option<Duration>,
    /// One datagram in this many is lost; 0 for none.
    loss: u64,
}

struct World {
    now: Instant,
    hosts: Vec<Host>,
    arrivals: BTreeMap<(Instant, u64), (usize, Arrival)>,
    sent_count: u64,
    loss: u64,
    /// For each target, the times at which requests reached it.
    received: Vec<Vec<Instant>>,
    /// Time until which targets state their limits.
    stated_until: Instant,
}

impl World {
    fn new(case: &Case) -> World {
        let now = Instant::now();
        let mut world = World {
            now,
            hosts: Vec::new(),
            arrivals: BTreeMap::new(),
            sent_count: 0,
            loss: case.loss,
            received: vec![Vec::new(); LIMITS.len()],
            stated_until: now + Duration::from_hours(1),
        };
        world.hosts = (0..case.hosts).map(|n| world.fresh(n, case.data_centres, 1)).collect();
        world
    }

    fn fresh(&self, n: usize, data_centres: usize, life: u64) -> Host {
        let seeds: Vec<SocketAddr> = (0..3).map(addr).collect();
        let data_centre = n % data_centres;
        let peers = Peers::new(addr(n), &format!("centre-{data_centre}"), life, &seeds, self.now);
        let limits = TargetLimits::new((n as u32) << 8 | life as u32);
        Host { peers, limits, issuer: Issuer::default(), data_centre, alive: true }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Datagram) {
        self.sent_count += 1;
        if self.loss > 0 && self.sent_count.is_multiple_of(self.loss) {
            return;
        }
        let to = (0..self.hosts.len()).find(|n| addr(*n) == to).expect("a known address");
        let arrival = Arrival::Message(from, Box::new(message));
        self.arrivals.insert((self.now + LATENCY, self.sent_count), (to, arrival));
    }

    fn beat(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        if !host.alive {
            return;
        }
        let issuer = &host.issuer;
        let limits = host.limits.reports(12, |target| Some(issuer.demand(target, now)), now);
        let own = LocalState { config: 1, limits, ..LocalState::default() };
        for (to, beat) in host.peers.due(&own, now) {
            self.send(n, to, Datagram::Beat(Box::new(beat)));
        }
    }

    fn arrive(&mut self, to: usize, arrival: Arrival) {
        let now = self.now;
        let host = &mut self.hosts[to];
        if !host.alive {
            return;
        }
        match arrival {
            Arrival::Message(from, message) => match *message {
                Datagram::Beat(beat) => {
                    for note in &beat.limits {
                        host.limits.receive(note, now);
                    }
                    host.peers.receive(addr(from), *beat, now);
                }
                Datagram::Ask(ask) => {
                    host.limits.receive(&ask.limit, now);
                    let grant = self.issue_grant(to, &ask);
                    self.send(to, addr(from), Datagram::Grant(grant));
                }
                Datagram::Grant(grant) => {
                    host.limits.apply_grant(&grant, now);
                    if host.limits.permit(grant.target, now) == Permit::Held {
                        self.reach(to, grant.target);
                    }
                }
                Datagram::AskRetries(_)
                | Datagram::LendRetries(_)
                | Datagram::AskReach(_)
                | Datagram::Reached(_) => {}
            },
            Arrival::Response(target, _, true) => {
                let first = host.limits.rate(target, now).is_none();
                host.limits.advertised(target, LIMITS[target as usize], now);
                if first {
                    host.peers.make_due(false);
                    self.beat(to);
                }
            }
            Arrival::Response(target, sent, false) => {
                host.limits.not_advertised(target, sent, now);
            }
        }
    }

    fn issue_grant(&mut self, n: usize, ask: &PermitRequest) -> PermitGrant {
        let host = &mut self.hosts[n];
        host.issuer.answer(ask, &host.limits, &host.peers, host.data_centre == 0, self.now)
    }

    /// A request reaches a target, which responds.
    fn reach(&mut self, host: usize, target: u32) {
        let now = self.now;
        self.hosts[host].limits.consume(target, now);
        self.received[target as usize].push(now);
        self.sent_count += 1;
        let response = Arrival::Response(target, now, now < self.stated_until);
        self.arrivals.insert((now + RESPONSE_TIME, self.sent_count), (host, response));
    }

    /// A request for a target arrives at a host.
    fn request(&mut self, n: usize, target: u32) {
        let now = self.now;
        let host = &mut self.hosts[n];
        if !host.alive {
            return;
        }
        match host.limits.permit(target, now) {
            Permit::Unlimited | Permit::Held => self.reach(n, target),
            Permit::None => {}
            Permit::Ask => {
                let ask = host.limits.permit_request(target, 1, now).expect("a limit is known");
                match host.peers.issuer(now) {
                    Some(issuer) if issuer == addr(n) => {
                        let grant = self.issue_grant(n, &ask);
                        self.arrive(n, Arrival::Message(n, Box::new(Datagram::Grant(grant))));
                    }
                    Some(issuer) => self.send(n, issuer, Datagram::Ask(ask)),
                    None => host.limits.request_failed(target, now),
                }
            }
        }
    }

    /// Simulates a time in which the requests for each target arrive at three times its limit.
    fn simulate(&mut self, time: Duration, case: &Case, random: &mut SmallRng) {
        let end = self.now + time;
        let count = self.hosts.len();
        let loaded: Vec<usize> =
            (0..count).filter(|n| n % case.data_centres < case.loaded_centres).collect();
        let gap = |random: &mut SmallRng, limit: f64| {
            Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / (3.0 * limit))
        };
        let mut next: Vec<Instant> = LIMITS.iter().map(|l| self.now + gap(random, *l)).collect();
        let mut beats: Vec<Instant> =
            (0..count).map(|n| self.now + TICK.mul_f64(n as f64 / count as f64)).collect();
        let mut turn = 0;
        loop {
            let arrival = self.arrivals.first_key_value().map(|((at, _), _)| *at);
            let target = (0..next.len()).min_by_key(|n| next[*n]).expect("there are targets");
            let at = next[target].min(beats[turn]).min(arrival.unwrap_or(end));
            if at >= end {
                self.now = end;
                return;
            }
            self.now = at;
            if arrival == Some(at) {
                let (_, (to, arrival)) = self.arrivals.pop_first().expect("an arrival is pending");
                self.arrive(to, arrival);
            } else if next[target] == at {
                self.request(loaded[random.random_range(0..loaded.len())], target as u32);
                next[target] = at + gap(random, LIMITS[target]);
            } else {
                self.beat(turn);
                beats[turn] += TICK;
                turn = (turn + 1) % count;
            }
        }
    }

    /// The number of requests that a target got in the busiest window from a time on, and in all.
    fn counted(&self, target: usize, from: Instant) -> (usize, usize) {
        let received = &self.received[target];
        let received = &received[received.partition_point(|at| *at < from)..];
        let within = |n: usize| received[n..].partition_point(|at| *at < received[n] + WINDOW);
        ((0..received.len()).map(within).max().unwrap_or(0), received.len())
    }
}

fn run(case: &Case) {
    let mut random = SmallRng::seed_from_u64(case.hosts as u64);
    let mut world = World::new(case);
    let discovery = Case { loaded_centres: case.data_centres, ..*case };
    world.stated_until = world.now;
    world.simulate(DISCOVERY_TIME, &discovery, &mut random);
    world.received.iter_mut().for_each(Vec::clear);
    world.stated_until = world.now + Duration::from_hours(1);
    let started = world.now;
    if let Some(killed) = case.killed {
        world.simulate(killed, case, &mut random);
        let first = (0..case.hosts)
            .find(|n| {
                n % case.data_centres == 0 && world.hosts[*n].peers.rank_in_centre(world.now) == 0
            })
            .expect("the first data centre has an issuer");
        world.hosts[first].alive = false;
        world.simulate(Duration::from_secs(5), case, &mut random);
        world.hosts[first] = world.fresh(first, case.data_centres, 2);
    }
    world.simulate((started + LOAD_TIME).saturating_duration_since(world.now), case, &mut random);
    let enforced_for = LOAD_TIME.saturating_sub(ENFORCED_AFTER).as_secs_f64();
    for (n, limit) in LIMITS.iter().enumerate() {
        let (busiest, all) = world.counted(n, started + ENFORCED_AFTER);
        let bound = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        let used = all as f64 / (limit * enforced_for);
        println!("{}: limit {limit}: {busiest} of {bound} in a span, {used:.2} used", case.name);
        assert!(busiest as f64 <= bound, "{}, {limit}: {busiest} of {bound}", case.name);
        // With a low limit, a single request is a large fraction of all.
        let least = if case.killed.is_some() || case.loss > 0 { 0.7 } else { 0.9 };
        let enough = (all + 1) as f64 >= least * limit * enforced_for;
        assert!(enough, "{}, {limit}: {used:.2} used", case.name);
    }
}

const CALM: Case =
    Case { name: "calm", hosts: 8, data_centres: 3, loaded_centres: 1, killed: None, loss: 0 };

/// Requests arrive at three times the limits. Before hosts enforced limits, the targets got all of
/// them: more than twice the bound of this test.
#[test]
fn hosts_enforce_limits_together_and_use_them_up() {
    let cases = [
        Case { name: "8 hosts, one data centre", ..CALM },
        Case { name: "8 hosts, all data centres", loaded_centres: 3, ..CALM },
        Case { name: "64 hosts, one data centre", hosts: 64, ..CALM },
        Case { name: "64 hosts, all data centres", hosts: 64, loaded_centres: 3, ..CALM },
        Case {
            name: "300 hosts, all data centres",
            hosts: 300,
            data_centres: 5,
            loaded_centres: 5,
            ..CALM
        },
    ];
    cases.iter().for_each(run);
}

#[test]
fn limits_are_kept_while_the_host_that_issues_permits_dies_and_comes_back() {
    let killed = Some(Duration::from_secs(6));
    let cases = [
        Case { name: "8 hosts, issuer killed", killed, ..CALM },
        Case { name: "64 hosts, issuer killed", hosts: 64, loaded_centres: 3, killed, ..CALM },
        Case { name: "64 hosts, datagrams lost", hosts: 64, loaded_centres: 3, loss: 20, ..CALM },
    ];
    cases.iter().for_each(run);
}
