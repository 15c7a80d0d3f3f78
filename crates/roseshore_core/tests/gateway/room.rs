//! Room of an engine that hosts share.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::demand::{CentreDemand, Rank, RankDemand, ServiceDemand};
use roseshore_core::gateway::peers::relation::report_ages;
use roseshore_core::gateway::quota::room::{
    Occupancy, RecentClaims, Share, SteadyDraw, UsableRoom, allowance,
};
use roseshore_core::prelude::*;

/// Silence after which a host no longer counts.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// Runs with different random numbers.
const RUNS: u64 = 5;
/// Steps of the clock.
const STEP: Duration = Duration::from_millis(5);
/// Mean time for which a request takes its room, seconds.
const MEAN_RUN: f64 = 2.0;
const SECONDS: u64 = 16;
/// Time in which the engine fills up, which is not counted.
const WARM_UP: Duration = Duration::from_secs(3);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Hosts that share the room of an engine.
struct Fleet {
    name: &'static str,
    hosts: usize,
    /// Room of the engine, in requests.
    room: f64,
    /// Offered requests, as a multiple of those that end while the engine is full.
    load: f64,
    /// Share of the reports that are lost.
    lost: f64,
    /// Time from one report of a host to the next, and longest way of a report to the others, ms.
    period: u64,
    way: u64,
    /// Hosts that freeze halfway with what they hold.
    frozen: usize,
    /// Share of the requests that the first host gets; the others get equal shares.
    first: f64,
    /// Largest share of refused sends, and least use of the room.
    refused: f64,
    used: f64,
}

/// A host and what the others know of it.
#[derive(Clone, Default)]
struct Host {
    ends: Vec<Instant>,
    recent: RecentClaims,
    usable: Option<UsableRoom>,
    draw: SteadyDraw,
    reported: f64,
    /// Reports on their way, with the times of arrival.
    on_way: Vec<(Instant, f64)>,
    frozen: bool,
    /// When it last sent a report that was not lost.
    told: Option<Instant>,
}

/// Share of refused sends, and mean use of the room, over several runs.
fn play_all(fleet: &Fleet) -> (f64, f64) {
    let runs = (1..=RUNS).map(|seed| play(fleet, seed));
    let (refused, used) = runs.fold((0.0, 0.0), |sum, run| (sum.0 + run.0, sum.1 + run.1));
    (refused / RUNS as f64, used / RUNS as f64)
}

/// Share of refused sends, and mean use of the room.
fn play(fleet: &Fleet, seed: u64) -> (f64, f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let ages = report_ages(fleet.hosts);
    let rate = fleet.load * fleet.room / MEAN_RUN;
    let equal = (1.0 - fleet.first) / (fleet.hosts.max(2) - 1) as f64;
    let part = |host: usize| if host == 0 { fleet.first } else { equal };
    let mut hosts = vec![Host::default(); fleet.hosts];
    let (mut sends, mut refused, mut used, mut steps) = (0.0_f64, 0.0, 0.0, 0.0);
    for step in 0..SECONDS * 1000 / STEP.as_millis() as u64 {
        let now = start + STEP * step as u32;
        let halfway = now >= start + Duration::from_secs(SECONDS / 2);
        for (n, host) in hosts.iter_mut().enumerate() {
            host.frozen = halfway && n < fleet.frozen;
            host.step(fleet, (n as u64, step), &mut random, now);
        }
        let live = hosts.iter().filter(|host| !host.frozen).count();
        let known: f64 = hosts.iter().map(|host| host.reported).sum();
        for _ in 0..poisson(rate * STEP.as_secs_f64(), &mut random) {
            let at = random.random::<f64>();
            let n = if at < fleet.first { 0 } else { 1 + ((at - fleet.first) / equal) as usize };
            let Some(host) = hosts.get_mut(n).filter(|host| !host.frozen) else { continue };
            let draw = host.draw.get(random.random(), ages.near, now);
            let share = Share::new(&demand(rate, part(n), live), ages, 1, draw);
            let counted = host.ends.len() as f64 + known - host.reported;
            let usable = host.usable.map_or(1.0, |usable| usable.part(fleet.room, now));
            let (room, free) = (fleet.room * usable, fleet.room * usable - counted);
            let recent = host.recent.net(ages.near, now).0;
            let at = Occupancy { capacity: room, free, recent, request: 1.0, free_part: 1.0 };
            if share.room(true, &at) < 1.0 {
                continue;
            }
            sends += 1.0;
            let taken: usize = hosts.iter().map(|host| host.ends.len()).sum();
            if taken as f64 + 1.0 > fleet.room {
                refused += 1.0;
                let host = &mut hosts[n];
                host.usable = Some(UsableRoom::after_refusal(host.usable, counted + 1.0, now));
                continue;
            }
            let run = -MEAN_RUN * (1.0 - random.random::<f64>()).ln();
            hosts[n].ends.push(now + Duration::from_secs_f64(run));
            hosts[n].recent.claim(1.0, now);
        }
        if now >= start + WARM_UP {
            used += hosts.iter().map(|host| host.ends.len() as f64).sum::<f64>() / fleet.room;
            steps += 1.0;
        }
    }
    (refused / sends.max(1.0), used / steps)
}

impl Host {
    /// Ends its requests, and reports them or lets a report arrive when it is time.
    fn step(&mut self, fleet: &Fleet, (n, step): (u64, u64), random: &mut SmallRng, now: Instant) {
        let before = self.ends.len();
        self.ends.retain(|end| *end > now);
        for _ in self.ends.len()..before {
            self.recent.end(1.0, now.checked_sub(ms(500)).unwrap_or(now), now);
        }
        let steps = fleet.period / STEP.as_millis() as u64;
        let lost = random.random::<f64>() < fleet.lost;
        if step % steps == n % steps && !self.frozen && !lost {
            let age = ms(random.random_range(50..fleet.way));
            self.on_way.push((now + age, self.ends.len() as f64));
            self.told = Some(now);
        }
        let arrived = |(at, _): &(Instant, f64)| *at <= now;
        if let Some((_, taken)) = self.on_way.iter().rfind(|report| arrived(report)) {
            self.reported = *taken;
        }
        self.on_way.retain(|report| !arrived(report));
        if self.told.is_some_and(|told| now >= told + SILENCE_LIMIT) {
            self.reported = 0.0;
        }
    }
}

fn demand(offered: f64, own_part: f64, hosts: usize) -> CentreDemand {
    let rank = RankDemand { rank: Rank::default(), offered: offered as f32, waiting: 0 };
    let total = ServiceDemand { ranks: vec![rank], ..ServiceDemand::default() };
    CentreDemand { total, own_part, hosts }
}

/// A number of arrivals in a step.
fn poisson(mean: f64, random: &mut SmallRng) -> usize {
    let (mut product, mut count) = (random.random::<f64>(), 0);
    while product > (-mean).exp() {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}

/// Guards against hosts that all fill the same hole: without shares, a third of these sends is
/// refused. Callers need nearly all of the room, and refused sends take their time.
#[test]
fn hosts_share_the_room_of_a_full_engine() {
    let overload = Fleet {
        name: "8 hosts",
        hosts: 8,
        room: 200.0,
        load: 2.0,
        lost: 0.0,
        period: 100,
        way: 150,
        frozen: 0,
        first: 1.0 / 8.0,
        refused: 0.03,
        used: 0.9,
    };
    // Reports pass a speaker.
    let large =
        Fleet { hosts: 65, first: 1.0 / 65.0, room: 300.0, period: 200, way: 250, ..overload };
    let cases = [
        Fleet { hosts: 22, first: 1.0 / 22.0, name: "22 hosts", ..large },
        Fleet { hosts: 300, first: 1.0 / 300.0, room: 1000.0, name: "300 hosts", ..large },
        Fleet { load: 4.0, name: "much more", ..overload },
        Fleet {
            hosts: 28,
            first: 1.0 / 28.0,
            room: 70.0,
            load: 8.0,
            name: "a small engine",
            ..large
        },
        Fleet { lost: 0.3, name: "lost reports", ..large },
        Fleet { frozen: 13, name: "frozen hosts", ..large },
        Fleet { first: 0.5, name: "uneven", ..large },
        Fleet { hosts: 1, first: 1.0, name: "alone", used: 0.95, ..overload },
        Fleet { name: "65 hosts", ..large },
        overload,
    ];
    for case in cases {
        let (refused, used) = play_all(&case);
        println!("{}: refused {refused:.3}, used {used:.3}", case.name);
        assert!(refused <= case.refused, "{}: refused {refused:.3}", case.name);
        assert!(used >= case.used, "{}: used {used:.3}", case.name);
    }
}

/// What a host may claim of an engine's room.
struct Claimed {
    name: &'static str,
    free: f64,
    recent: f64,
    draw: f64,
    begun: bool,
    near: bool,
    room: f64,
}

#[test]
fn a_host_takes_its_part_of_a_busy_engine() {
    // Chance changes of a report's age are left free.
    let reserve = 17.0_f64.sqrt();
    let busy = Claimed {
        name: "its part",
        free: 30.0,
        recent: 0.0,
        draw: 0.9,
        begun: false,
        near: true,
        room: 0.09 * (30.0 - reserve),
    };
    let cases = [
        Claimed { free: 90.0, name: "with little load", room: 90.0, ..busy },
        Claimed { free: 10.0, name: "less than a request", room: 0.09 * (10.0 - reserve), ..busy },
        Claimed { free: 10.0, draw: 0.5, name: "drawn", room: 1.0, ..busy },
        Claimed { recent: 3.0, name: "taken already", room: 0.0, ..busy },
        Claimed { begun: true, name: "begun", room: 30.0, ..busy },
        Claimed {
            near: false,
            name: "another data centre",
            room: 0.005 * (30.0 - reserve),
            ..busy
        },
        Claimed { free: -5.0, name: "overbooked", room: 0.0, ..busy },
        Claimed { free: f64::NAN, name: "unknown", room: 0.0, ..busy },
        busy,
    ];
    for case in cases {
        let share = Share::new(&demand(1000.0, 0.1, 10), report_ages(10), 3, case.draw);
        let at = Occupancy {
            capacity: 100.0,
            free: case.free,
            recent: case.recent,
            request: 1.0,
            free_part: 1.0,
        };
        let room = share.for_begun(case.begun).room(case.near, &at);
        assert!((room - case.room).abs() < 1e-9, "{}: {room}", case.name);
    }
    assert!((allowance(30.0, 0.1, 2.0) - 1.2).abs() < 1e-9);
}

#[test]
fn refusals_narrow_the_usable_room_for_some_time() {
    let now = Instant::now();
    let first = UsableRoom::after_refusal(None, 90.0, now);
    let later = UsableRoom::after_refusal(Some(first), 95.0, now);
    let absurd = UsableRoom::after_refusal(None, 1.0, now);
    let cases = [
        ("refused at 0.9", first, 0, 0.855),
        ("a second later", first, 1000, 0.8807),
        ("recovered", first, 6000, 1.0),
        ("the narrowest holds", later, 0, 0.855),
        ("no less, whatever is refused", absurd, 0, 0.4),
    ];
    for (name, usable, age, part) in cases {
        let found = usable.part(100.0, now + ms(age));
        assert!((found - part).abs() < 1e-3, "{name}: {found}");
    }
}
