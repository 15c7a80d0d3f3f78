//! Ways to keep a limit with many hosts, on the same load in virtual time.
//!
//! Requests for one limited target come to random hosts at a steady mean rate. Counted are the requests sent in the
//! busiest four seconds, against the users' bound (half more than the limit, and five), and the part of the limit that
//! is used, against the 0.9 that is aimed at.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::limits::share::ShareInputs;
use roseshore_core::gateway::limits::{Issuer, PermitShare};
use roseshore_core::prelude::*;
use std::collections::VecDeque;

/// How long each load is played, and the span in which requests are counted.
const PLAYED: f64 = 60.0;
const SPAN: f64 = 4.0;
/// The target.
const TARGET: u32 = 1;

/// A way to decide which requests are sent.
trait Way {
    /// Whether a request that comes to a host at so many seconds is sent.
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

/// Each host goes by a bucket of its own.
struct Apart(Vec<Bucket>);

impl Way for Apart {
    fn sends(&mut self, host: usize, at: f64) -> bool {
        self.0[host].take(at)
    }
}

/// Permits are dealt out with heartbeats to the hosts that last wanted one, and come back after two seconds.
struct Dealt {
    bucket: Bucket,
    /// Permits of each host, and until when.
    held: Vec<(u32, f64)>,
    /// Hosts that wanted one, by when their heartbeat comes.
    wanted: VecDeque<(usize, f64)>,
}

impl Dealt {
    const HEARTBEAT: f64 = 0.4;
    const KEPT: f64 = 2.0;

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
            self.held[host] = (1, at + Dealt::KEPT);
        }
    }
}

impl Way for Dealt {
    fn sends(&mut self, host: usize, at: f64) -> bool {
        self.deal(at);
        let sends = self.held[host].0 > 0;
        self.held[host].0 -= u32::from(sends);
        self.wanted.push_back((host, at + Dealt::HEARTBEAT));
        sends
    }
}

/// Permits are asked for one by one.
struct Asked {
    limit: f64,
    issuer: Issuer,
    begun: Instant,
    /// Unused permits of each host, and until when it asks no more.
    held: Vec<(u16, f64)>,
}

impl Way for Asked {
    fn sends(&mut self, host: usize, at: f64) -> bool {
        let held = &mut self.held[host];
        if held.0 == 0 && at >= held.1 {
            let now = self.begun + Duration::from_secs_f64(at);
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
    /// Requests a second of all hosts for the target.
    wanted: f64,
}

/// The busiest span as a part of the bound, and the part of the limit that was used.
fn play(load: &Load, way: &mut dyn Way) -> (f64, f64) {
    let mut random = SmallRng::seed_from_u64(5);
    let (mut at, mut sent) = (0.0, Vec::new());
    while at < PLAYED {
        at -= (1.0 - random.random::<f64>()).ln() / load.wanted;
        if way.sends(random.random_range(0..load.hosts), at) {
            sent.push(at);
        }
    }
    let within = |n: usize| sent.partition_point(|at| *at < sent[n] + SPAN) - n;
    let busiest = (0..sent.len()).map(within).max().unwrap_or(0);
    let bound = 1.5 * load.limit * SPAN + 5.0;
    (busiest as f64 / bound, sent.len() as f64 / (load.limit * PLAYED))
}

fn ways(load: &Load) -> [(&'static str, Box<dyn Way>); 4] {
    let apart = |rate: f64| Apart((0..load.hosts).map(|_| Bucket::new(rate, 1.0)).collect());
    let (hosts, limit) = (load.hosts, load.limit);
    let bucket = Bucket::new(limit, limit + 3.0);
    let dealt = Dealt { bucket, held: vec![(0, 0.0); hosts], wanted: VecDeque::new() };
    let held = vec![(0, 0.0); hosts];
    let asked = Asked { limit, issuer: Issuer::default(), begun: Instant::now(), held };
    [
        ("each alone", Box::new(apart(limit))),
        ("even shares", Box::new(apart(limit / hosts as f64))),
        ("dealt ahead", Box::new(dealt)),
        ("asked", Box::new(asked)),
    ]
}

/// Three times the limit is wanted. Busiest span as a part of the bound, and part of the limit used, over all these
/// cases: each alone 1.00 to 2.19 and 1.90 to 2.96; even shares 0.47 to 1.59 and 0.73 to 2.30; dealt ahead 0.24 to
/// 0.83 and 0.10 to 1.01; asked one by one 0.38 to 0.67 and 1.00 to 1.01.
#[test]
fn permits_asked_for_one_by_one_keep_the_bound_and_use_the_limit() {
    for hosts in [8, 64, 300] {
        for limit in [0.5, 2.0, 6.0, 20.0, 50.0] {
            let load = Load { hosts, limit, wanted: 3.0 * limit };
            for (name, mut way) in ways(&load) {
                let (busiest, used) = play(&load, way.as_mut());
                println!(
                    "{hosts} hosts, {limit} a second, {name}: {busiest:.2} of the bound, {used:.2} used"
                );
                if name == "asked" {
                    assert!(busiest <= 1.0, "{hosts} hosts, {limit} a second: {busiest:.2}");
                    assert!(used >= 0.9, "{hosts} hosts, {limit} a second: {used:.2}");
                }
            }
        }
    }
}

/// Two thirds of the limit are wanted. Part of it that is sent: even shares 0.58 to 0.70, dealt ahead 0.05 to 0.60,
/// asked one by one 0.98 and more.
#[test]
fn a_limit_above_what_is_wanted_holds_nothing_back() {
    for hosts in [8, 64, 300] {
        for limit in [6.0, 20.0, 50.0] {
            let load = Load { hosts, limit, wanted: limit / 1.5 };
            for (name, mut way) in ways(&load) {
                let (_, used) = play(&load, way.as_mut());
                let sent = used * 1.5;
                println!(
                    "{hosts} hosts, {limit} a second, {name}: {sent:.2} of what is wanted sent"
                );
                if name == "asked" {
                    assert!(sent >= 0.9, "{hosts} hosts, {limit} a second: {sent:.2}");
                }
            }
        }
    }
}
