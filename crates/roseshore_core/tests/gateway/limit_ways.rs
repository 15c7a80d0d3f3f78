//! Strategies for many hosts to keep a limit, under the same load in virtual time.
//!
//! Requests for one limited target arrive at random hosts at a steady mean rate. Two figures are
//! computed: the requests sent in the busiest four seconds, relative to the users' bound (half more
//! than the limit, and five), and the fraction of the limit that is used, for which the goal is
//! 0.9.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::quota::limits::share::ShareInputs;
use roseshore_core::gateway::quota::limits::{Issuer, PermitShare};
use roseshore_core::prelude::*;
use std::collections::VecDeque;

/// Simulated duration of each load and span in which requests are counted, in seconds.
const DURATION: f64 = 60.0;
const SPAN: f64 = 4.0;
/// Hash of the target.
const TARGET: u32 = 1;

/// A strategy that decides which requests are sent.
trait Strategy {
    /// Whether a request that arrives at a host at `at` seconds is sent.
    fn sends(&mut self, host: usize, at: f64) -> bool;
}

/// A token bucket.
struct Bucket {
    rate: f64,
    most: f64,
    level: f64,
    filled: f64,
}

impl Bucket {
    fn new(rate: f64, most: f64) -> Bucket {
        Bucket { rate, most, level: most, filled: 0.0 }
    }

    fn take(&mut self, at: f64) -> bool {
        self.level = (self.level + self.rate * (at - self.filled)).min(self.most);
        self.filled = at;
        let enough = self.level >= 1.0;
        self.level -= f64::from(u8::from(enough));
        enough
    }
}

/// Each host obeys a token bucket of its own.
struct Independent(Vec<Bucket>);

impl Strategy for Independent {
    fn sends(&mut self, host: usize, at: f64) -> bool {
        self.0[host].take(at)
    }
}

/// Permits are dealt out with heartbeats to the hosts that last needed one, and are returned after
/// two seconds.
struct Prepaid {
    bucket: Bucket,
    /// Permits of each host, and their expiry.
    held: Vec<(u32, f64)>,
    /// Hosts that needed a permit, with the times of their next heartbeats.
    wanted: VecDeque<(usize, f64)>,
}

impl Prepaid {
    const HEARTBEAT: f64 = 0.4;
    const VALIDITY: f64 = 2.0;

    fn deal(&mut self, at: f64) {
        for held in &mut self.held {
            if held.0 > 0 && at >= held.1 {
                self.bucket.level += f64::from(held.0);
                held.0 = 0;
            }
        }
        while let Some((host, _)) = self.wanted.front().copied().filter(|(_, due)| *due <= at) {
            if self.held[host].0 > 0 {
                self.wanted.pop_front();
                continue;
            }
            if !self.bucket.take(at) {
                break;
            }
            self.wanted.pop_front();
            self.held[host] = (1, at + Prepaid::VALIDITY);
        }
    }
}

impl Strategy for Prepaid {
    fn sends(&mut self, host: usize, at: f64) -> bool {
        self.deal(at);
        let sends = self.held[host].0 > 0;
        self.held[host].0 -= u32::from(sends);
        self.wanted.push_back((host, at + Prepaid::HEARTBEAT));
        sends
    }
}

/// Permits are requested one by one.
struct Requested {
    limit: f64,
    issuer: Issuer,
    start: Instant,
    /// Unused permits of each host, and until when it requests no more.
    held: Vec<(u16, f64)>,
}

impl Strategy for Requested {
    fn sends(&mut self, host: usize, at: f64) -> bool {
        let held = &mut self.held[host];
        if held.0 == 0 && at >= held.1 {
            let now = self.start + Duration::from_secs_f64(at);
            let limit = self.limit;
            let share = |own| {
                PermitShare::of(limit, &ShareInputs { own, others: &[], home: true, heard: 1.0 })
            };
            let grant = self.issuer.issue(TARGET, 1, now, share);
            *held = (grant.permits, at + f64::from(grant.wait) / 1000.0);
        }
        let sends = held.0 > 0;
        held.0 -= u16::from(sends);
        sends
    }
}

struct Load {
    hosts: usize,
    limit: f64,
    /// Requests per second of all hosts for the target.
    demand: f64,
}

/// The busiest span relative to the bound, and the fraction of the limit that was used.
fn simulate(load: &Load, strategy: &mut dyn Strategy) -> (f64, f64) {
    let mut random = SmallRng::seed_from_u64(5);
    let (mut at, mut sent) = (0.0, Vec::new());
    while at < DURATION {
        at -= (1.0 - random.random::<f64>()).ln() / load.demand;
        if strategy.sends(random.random_range(0..load.hosts), at) {
            sent.push(at);
        }
    }
    let within = |n: usize| sent.partition_point(|at| *at < sent[n] + SPAN) - n;
    let busiest = (0..sent.len()).map(within).max().unwrap_or(0);
    let bound = 1.5 * load.limit * SPAN + 5.0;
    (busiest as f64 / bound, sent.len() as f64 / (load.limit * DURATION))
}

fn strategies(load: &Load) -> [(&'static str, Box<dyn Strategy>); 4] {
    let independent =
        |rate: f64| Independent((0..load.hosts).map(|_| Bucket::new(rate, 1.0)).collect());
    let (hosts, limit) = (load.hosts, load.limit);
    let bucket = Bucket::new(limit, limit + 3.0);
    let prepaid = Prepaid { bucket, held: vec![(0, 0.0); hosts], wanted: VecDeque::new() };
    let held = vec![(0, 0.0); hosts];
    let requested = Requested { limit, issuer: Issuer::default(), start: Instant::now(), held };
    [
        ("each host alone", Box::new(independent(limit))),
        ("even shares", Box::new(independent(limit / hosts as f64))),
        ("dealt in advance", Box::new(prepaid)),
        ("requested", Box::new(requested)),
    ]
}

/// Demand is three times the limit. Busiest span relative to the bound, and fraction of the limit
/// used, over all these cases: each host alone 1.00 to 2.19 and 1.90 to 2.96; even shares 0.47 to
/// 1.59 and 0.73 to 2.30; dealt in advance 0.24 to 0.83 and 0.10 to 1.01; requested one by one 0.38
/// to 0.67 and 1.00 to 1.01.
#[test]
fn permits_requested_one_by_one_keep_the_bound_and_use_the_limit() {
    for hosts in [8, 64, 300] {
        for limit in [0.5, 2.0, 6.0, 20.0, 50.0] {
            let load = Load { hosts, limit, demand: 3.0 * limit };
            for (name, mut strategy) in strategies(&load) {
                let (busiest, used) = simulate(&load, strategy.as_mut());
                println!(
                    "{hosts} hosts, {limit} a second, {name}: {busiest:.2} of the bound, {used:.2} used"
                );
                if name == "requested" {
                    assert!(busiest <= 1.0, "{hosts} hosts, {limit} a second: {busiest:.2}");
                    assert!(used >= 0.9, "{hosts} hosts, {limit} a second: {used:.2}");
                }
            }
        }
    }
}

/// Demand is two thirds of the limit. Fraction of it that is sent: even shares 0.58 to 0.70, dealt
/// in advance 0.05 to 0.60, requested one by one 0.98 and more.
#[test]
fn a_limit_above_demand_withholds_nothing() {
    for hosts in [8, 64, 300] {
        for limit in [6.0, 20.0, 50.0] {
            let load = Load { hosts, limit, demand: limit / 1.5 };
            for (name, mut strategy) in strategies(&load) {
                let (_, used) = simulate(&load, strategy.as_mut());
                let sent = used * 1.5;
                println!("{hosts} hosts, {limit} a second, {name}: {sent:.2} of the demand sent");
                if name == "requested" {
                    assert!(sent >= 0.9, "{hosts} hosts, {limit} a second: {sent:.2}");
                }
            }
        }
    }
}
