//! The limits of targets among many hosts that tell each other, in virtual time.
//!
//! Hosts of several data centres hear each other's heartbeats. Requests that would go to a limited target come to
//! random hosts; some of these have been told the limit by the target, the others hear of it. Counted are the
//! requests that the target gets in the busiest four seconds, from three seconds after it has first named its limit,
//! and the part of the limit that it gets.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::Peers;
use roseshore_core::gateway::limits::{Issuer, Permit, TargetLimits};
use roseshore_core::gateway::peers::{Datagram, LocalState, PermitGrant, PermitRequest};
use roseshore_core::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Hosts look after their heartbeats this often.
const TICK: Duration = Duration::from_millis(100);
/// On its way to another host, and from a target back to a host.
const WAY: Duration = Duration::from_millis(1);
const ANSWER: Duration = Duration::from_millis(20);
/// From when the limits are to be kept, in which span requests are counted, and how long a load is played.
const KEPT_FROM: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(4);
const PLAYED: Duration = Duration::from_secs(40);
/// Hosts find each other first.
const FOUND: Duration = Duration::from_secs(3);
/// The limits of the targets, requests a second; all are of the first data centre.
const LIMITS: [f64; 4] = [0.5, 2.0, 6.0, 50.0];

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7000))
}

struct Host {
    peers: Peers,
    limits: TargetLimits,
    issuer: Issuer,
    centre: usize,
    alive: bool,
}

/// What comes to a host.
enum Arrival {
    Message(usize, Box<Datagram>),
    /// A target's answer to a request that was sent then, and whether it names its limit.
    Answer(u32, Instant, bool),
}

/// A load and what befalls the hosts.
struct Case {
    name: &'static str,
    hosts: usize,
    centres: usize,
    /// Data centres whose hosts want the targets.
    wanting: usize,
    /// The issuer of the first data centre is killed at that time, and begins again after a while.
    killed: Option<Duration>,
    /// Every so many-th datagram is lost; 0 for none.
    loss: u64,
}

struct World {
    now: Instant,
    hosts: Vec<Host>,
    coming: BTreeMap<(Instant, u64), (usize, Arrival)>,
    serial: u64,
    loss: u64,
    /// Of each target, when requests reached it.
    got: Vec<Vec<Instant>>,
    /// Until when targets name their limits.
    named_until: Instant,
}

impl World {
    fn new(case: &Case) -> World {
        let now = Instant::now();
        let mut world = World {
            now,
            hosts: Vec::new(),
            coming: BTreeMap::new(),
            serial: 0,
            loss: case.loss,
            got: vec![Vec::new(); LIMITS.len()],
            named_until: now + Duration::from_hours(1),
        };
        world.hosts = (0..case.hosts).map(|n| world.fresh(n, case.centres, 1)).collect();
        world
    }

    fn fresh(&self, n: usize, centres: usize, life: u64) -> Host {
        let seeds: Vec<SocketAddr> = (0..3).map(addr).collect();
        let centre = n % centres;
        let peers = Peers::new(addr(n), &format!("centre-{centre}"), life, &seeds, self.now);
        let limits = TargetLimits::new((n as u32) << 8 | life as u32);
        Host { peers, limits, issuer: Issuer::default(), centre, alive: true }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Datagram) {
        self.serial += 1;
        if self.loss > 0 && self.serial.is_multiple_of(self.loss) {
            return;
        }
        let to = (0..self.hosts.len()).find(|n| addr(*n) == to).expect("a known address");
        let arrival = Arrival::Message(from, Box::new(message));
        self.coming.insert((self.now + WAY, self.serial), (to, arrival));
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
                    let grant = self.answer(to, &ask);
                    self.send(to, addr(from), Datagram::Grant(grant));
                }
                Datagram::Grant(grant) => {
                    host.limits.apply_grant(&grant, now);
                    if host.limits.permit(grant.target, now) == Permit::Held {
                        self.reach(to, grant.target);
                    }
                }
            },
            Arrival::Answer(target, _, true) => {
                let first = host.limits.rate(target, now).is_none();
                host.limits.advertised(target, LIMITS[target as usize], now);
                if first {
                    host.peers.make_due(false);
                    self.beat(to);
                }
            }
            Arrival::Answer(target, sent, false) => {
                host.limits.not_advertised(target, sent, now);
            }
        }
    }

    fn answer(&mut self, n: usize, ask: &PermitRequest) -> PermitGrant {
        let host = &mut self.hosts[n];
        host.issuer.answer(ask, &host.limits, &host.peers, host.centre == 0, self.now)
    }

    /// A request reaches a target, which answers.
    fn reach(&mut self, host: usize, target: u32) {
        let now = self.now;
        self.hosts[host].limits.consume(target, now);
        self.got[target as usize].push(now);
        self.serial += 1;
        let answer = Arrival::Answer(target, now, now < self.named_until);
        self.coming.insert((now + ANSWER, self.serial), (host, answer));
    }

    /// A request that would go to a target comes to a host.
    fn want(&mut self, n: usize, target: u32) {
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
                        let grant = self.answer(n, &ask);
                        self.arrive(n, Arrival::Message(n, Box::new(Datagram::Grant(grant))));
                    }
                    Some(issuer) => self.send(n, issuer, Datagram::Ask(ask)),
                    None => host.limits.request_failed(target, now),
                }
            }
        }
    }

    /// Plays a time in which each target is wanted three times as much as it takes.
    fn play(&mut self, time: Duration, case: &Case, random: &mut SmallRng) {
        let end = self.now + time;
        let count = self.hosts.len();
        let wanting: Vec<usize> = (0..count).filter(|n| n % case.centres < case.wanting).collect();
        let gap = |random: &mut SmallRng, limit: f64| {
            Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / (3.0 * limit))
        };
        let mut next: Vec<Instant> = LIMITS.iter().map(|l| self.now + gap(random, *l)).collect();
        let mut beats: Vec<Instant> =
            (0..count).map(|n| self.now + TICK.mul_f64(n as f64 / count as f64)).collect();
        let mut turn = 0;
        loop {
            let arrival = self.coming.first_key_value().map(|((at, _), _)| *at);
            let want = (0..next.len()).min_by_key(|n| next[*n]).expect("there are targets");
            let at = next[want].min(beats[turn]).min(arrival.unwrap_or(end));
            if at >= end {
                self.now = end;
                return;
            }
            self.now = at;
            if arrival == Some(at) {
                let (_, (to, arrival)) = self.coming.pop_first().expect("it was seen");
                self.arrive(to, arrival);
            } else if next[want] == at {
                self.want(wanting[random.random_range(0..wanting.len())], want as u32);
                next[want] = at + gap(random, LIMITS[want]);
            } else {
                self.beat(turn);
                beats[turn] += TICK;
                turn = (turn + 1) % count;
            }
        }
    }

    /// The most requests that a target got in a span from a moment on, and how many in all.
    fn counted(&self, target: usize, from: Instant) -> (usize, usize) {
        let got = &self.got[target];
        let got = &got[got.partition_point(|at| *at < from)..];
        let within = |n: usize| got[n..].partition_point(|at| *at < got[n] + SPAN);
        ((0..got.len()).map(within).max().unwrap_or(0), got.len())
    }
}

fn run(case: &Case) {
    let mut random = SmallRng::seed_from_u64(case.hosts as u64);
    let mut world = World::new(case);
    let quiet = Case { wanting: case.centres, ..*case };
    world.named_until = world.now;
    world.play(FOUND, &quiet, &mut random);
    world.got.iter_mut().for_each(Vec::clear);
    world.named_until = world.now + Duration::from_hours(1);
    let begun = world.now;
    if let Some(killed) = case.killed {
        world.play(killed, case, &mut random);
        let first = (0..case.hosts)
            .find(|n| n % case.centres == 0 && world.hosts[*n].peers.rank_in_centre(world.now) == 0)
            .expect("the first data centre has an issuer");
        world.hosts[first].alive = false;
        world.play(Duration::from_secs(5), case, &mut random);
        world.hosts[first] = world.fresh(first, case.centres, 2);
    }
    world.play((begun + PLAYED).saturating_duration_since(world.now), case, &mut random);
    let kept_for = PLAYED.saturating_sub(KEPT_FROM).as_secs_f64();
    for (n, limit) in LIMITS.iter().enumerate() {
        let (busiest, all) = world.counted(n, begun + KEPT_FROM);
        let bound = 1.5 * limit * SPAN.as_secs_f64() + 5.0;
        let used = all as f64 / (limit * kept_for);
        println!("{}: limit {limit}: {busiest} of {bound} in a span, {used:.2} used", case.name);
        assert!(busiest as f64 <= bound, "{}, {limit}: {busiest} of {bound}", case.name);
        // A single request more or less in the time is no part of a low limit.
        let least = if case.killed.is_some() || case.loss > 0 { 0.7 } else { 0.9 };
        let enough = (all + 1) as f64 >= least * limit * kept_for;
        assert!(enough, "{}, {limit}: {used:.2} used", case.name);
    }
}

const CALM: Case = Case { name: "calm", hosts: 8, centres: 3, wanting: 1, killed: None, loss: 0 };

/// Three times what the targets take is wanted. Before limits were kept each got all of it: twice the bound and more.
#[test]
fn hosts_keep_limits_together_and_use_them() {
    let cases = [
        Case { name: "8 hosts, one data centre", ..CALM },
        Case { name: "8 hosts, all data centres", wanting: 3, ..CALM },
        Case { name: "64 hosts, one data centre", hosts: 64, ..CALM },
        Case { name: "64 hosts, all data centres", hosts: 64, wanting: 3, ..CALM },
        Case { name: "300 hosts, all data centres", hosts: 300, centres: 5, wanting: 5, ..CALM },
    ];
    cases.iter().for_each(run);
}

#[test]
fn limits_are_kept_while_the_host_that_issues_permits_dies_and_comes_back() {
    let killed = Some(Duration::from_secs(6));
    let cases = [
        Case { name: "8 hosts, issuer killed", killed, ..CALM },
        Case { name: "64 hosts, issuer killed", hosts: 64, wanting: 3, killed, ..CALM },
        Case { name: "64 hosts, datagrams lost", hosts: 64, wanting: 3, loss: 20, ..CALM },
    ];
    cases.iter().for_each(run);
}
