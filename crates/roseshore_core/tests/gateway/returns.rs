//! Tests of when refused callers should come back.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::demand::{CentreDemand, Rank, RankDemand, ServiceDemand};
use roseshore_core::gateway::returns::{Lack, RETURNED_AGE, RefusedCaller, Return};
use roseshore_core::gateway::{CallerAges, Fingerprint, Returns};
use roseshore_core::prelude::*;

/// Time that callers have from their first try on.
const DEADLINE_MS: u64 = 20_000;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A data centre of `hosts` hosts that is offered and ends this many mean requests a second.
fn demand(offered: f64, ended: f64, hosts: usize) -> CentreDemand {
    let ranks = vec![RankDemand { offered: offered as f32, ..RankDemand::default() }];
    let total = ServiceDemand { ended: ended as f32, ranks, ..ServiceDemand::default() };
    CentreDemand { total, own_part: 1.0 / hosts as f64, hosts }
}

fn caller(id: u64, remaining: Duration) -> RefusedCaller {
    RefusedCaller {
        request: Fingerprint { organisation: 1, digest: id },
        rank: Rank::default(),
        work: 1.0,
        remaining,
        lack: Lack::Room,
    }
}

/// Callers of a data centre that ends `drain` requests a second.
#[derive(Clone, Copy)]
struct Load {
    hosts: usize,
    drain: f64,
    /// Requests a second while demand is high, and for how long, ms.
    high: f64,
    high_ms: u64,
    /// Requests a second afterwards.
    low: f64,
    /// Part of the callers that come back at once whatever they are told, up to `tries` times.
    impatient: f64,
    tries: u32,
    remaining_ms: u64,
}

#[derive(Clone, Copy)]
struct Try {
    id: u64,
    began_ms: u64,
    tries: u32,
    impatient: bool,
}

/// What happened in each half second.
#[derive(Clone, Debug, Default)]
struct Seen {
    fresh: u32,
    fresh_served: u32,
    returns: u32,
    refused_again: u32,
    /// Sum of the waits of patient callers, ms, and their number.
    waits: (u64, u64),
}

/// Plays a load of which callers are served in the order in which they come.
fn play(
    load: &Load,
    mut back: impl FnMut(&RefusedCaller, &CentreDemand, usize, Instant, f64) -> Duration,
) -> Vec<Seen> {
    let mut random = SmallRng::seed_from_u64(7);
    let start = Instant::now();
    let total_ms = load.high_ms + 16_000;
    let mut due: Vec<Vec<Try>> = vec![Vec::new(); total_ms as usize + 1];
    let mut seen = vec![Seen::default(); total_ms as usize / 500];
    let (mut room, mut ids) = (0.0_f64, 0);
    let (mut offered, mut ended) = (load.low, load.low.min(load.drain));
    for now_ms in 0..total_ms {
        let rate = if now_ms < load.high_ms { load.high } else { load.low };
        room = f64::min(room + load.drain / 1000.0, load.drain * 0.02 + 1.0);
        let mut trying = std::mem::take(&mut due[now_ms as usize]);
        let fresh = (rate / 1000.0).floor() as usize
            + usize::from(random.random::<f64>() < (rate / 1000.0).fract());
        for _ in 0..fresh {
            ids += 1;
            let impatient = random.random::<f64>() < load.impatient;
            trying.push(Try { id: ids, began_ms: now_ms, tries: 0, impatient });
        }
        let slot = &mut seen[now_ms as usize / 500];
        let (offers, mut ends) = (trying.len() as f64, 0.0);
        for mut one in trying {
            let again = u32::from(one.tries > 0);
            slot.fresh += 1 - again;
            slot.returns += again;
            one.tries += 1;
            if room >= 1.0 {
                (room, ends) = (room - 1.0, ends + 1.0);
                slot.fresh_served += 1 - again;
                continue;
            }
            slot.refused_again += again;
            if one.tries >= load.tries {
                continue;
            }
            let remaining = ms(load.remaining_ms.saturating_sub(now_ms - one.began_ms));
            let at = demand(offered, ended, load.hosts);
            let host = random.random_range(0..load.hosts);
            let draw = random.random::<f64>();
            let wait = back(&caller(one.id, remaining), &at, host, start + ms(now_ms), draw);
            let wait_ms = if one.impatient { 30 } else { wait.as_millis() as u64 };
            if !one.impatient {
                slot.waits = (slot.waits.0 + wait_ms, slot.waits.1 + 1);
            }
            if let Some(list) = due.get_mut((now_ms + wait_ms.max(1)) as usize) {
                list.push(one);
            }
        }
        // Measured over about a second.
        offered += (offers * 1000.0 - offered) / 1000.0;
        ended += (ends * 1000.0 - ended) / 1000.0;
    }
    seen
}

fn planned(load: &Load) -> Vec<Seen> {
    let mut hosts = vec![Returns::default(); load.hosts];
    play(load, |caller, demand, host, now, draw| hosts[host].after(caller, demand, now, draw).after)
}

/// The same with 2.4 s and as long as the shortage lasts, 9 s at most.
fn by_age(load: &Load) -> Vec<Seen> {
    let mut since = vec![None; load.hosts];
    play(load, |caller, _, host, now, draw| {
        let (first, latest) =
            since[host].filter(|(_, at)| now - *at <= ms(2000)).unwrap_or((now, now));
        let _: Instant = latest;
        since[host] = Some((first, now));
        let wait = (ms(2400) + (now - first)).min(ms(9000)).mul_f64(0.75 + 0.5 * draw);
        wait.min(caller.remaining / 3)
    })
}

fn sum(seen: &[Seen], of: impl Fn(&Seen) -> u32) -> f64 {
    seen.iter().map(|one| f64::from(of(one))).sum()
}

/// Part of the first tries that are served.
fn goodput(seen: &[Seen]) -> f64 {
    sum(seen, |of| of.fresh_served) / sum(seen, |of| of.fresh).max(1.0)
}

/// Worth for each caller: a quarter for one that is served when it comes back, and as much less for
/// one that is refused again.
fn worth(seen: &[Seen]) -> f64 {
    let again = sum(seen, |of| of.refused_again);
    let late = sum(seen, |of| of.returns) - 2.0 * again;
    (sum(seen, |of| of.fresh_served) + 0.25 * late) / sum(seen, |of| of.fresh)
}

/// Mean wait of patient callers, ms.
fn mean_wait(seen: &[Seen]) -> f64 {
    let (total, count) = seen.iter().fold((0, 0), |(t, n), of| (t + of.waits.0, n + of.waits.1));
    total as f64 / count.max(1) as f64
}

const LOAD: Load = Load {
    hosts: 20,
    drain: 200.0,
    high: 600.0,
    high_ms: 4_000,
    low: 140.0,
    impatient: 0.0,
    tries: 2,
    remaining_ms: DEADLINE_MS,
};

#[test]
fn returns_come_at_the_rate_of_the_drain() {
    struct Case {
        name: &'static str,
        load: Load,
        /// Most returns in half a second, as a multiple of what is served in it.
        most_returns: f64,
        /// Least part of first tries served from two seconds after the demand has gone back.
        goodput: f64,
        /// Least gain in worth over times that grow with the shortage.
        gain: f64,
    }
    let (many, few) = (LOAD, Load { high: 270.0, ..LOAD });
    let long = Load { high_ms: 10_000, ..few };
    let cases = [
        Case { name: "3 times for 4 s", load: many, most_returns: 2.0, goodput: 0.65, gain: 0.01 },
        Case { name: "1.35 times for 4 s", load: few, most_returns: 0.5, goodput: 0.9, gain: 0.0 },
        Case { name: "for 10 s", load: long, most_returns: 0.7, goodput: 0.85, gain: -0.01 },
    ];
    for case in cases {
        let (before, after) = (by_age(&case.load), planned(&case.load));
        let most = after.iter().map(|of| f64::from(of.returns)).fold(0.0, f64::max);
        let most = most / (case.load.drain / 2.0);
        let back = case.load.high_ms as usize / 500 + 4;
        let (good, gain) = (goodput(&after[back..]), worth(&after) - worth(&before));
        println!("{}: {most:.2} of the drain, goodput {good:.2}, gain {gain:.3}", case.name);
        assert!(most <= case.most_returns, "{}: {most:.2} of the drain", case.name);
        assert!(good >= case.goodput, "{}: goodput {good:.2}", case.name);
        assert!(gain >= case.gain, "{}: gain {gain:.3}", case.name);
    }
}

#[test]
fn who_comes_back_at_once_moves_nobody_back() {
    let patient = Load { high: 400.0, ..LOAD };
    let mixed = Load { impatient: 0.3, tries: 5, ..patient };
    let (alone, beside) = (mean_wait(&planned(&patient)), mean_wait(&planned(&mixed)));
    println!("{alone:.0} ms alone, {beside:.0} ms beside impatient callers");
    assert!(beside < alone + 500.0, "{beside:.0} ms instead of {alone:.0} ms");
}

/// Callers who try again once, at a service that lacks a quarter of its capacity for `short_s`
/// seconds.
struct Shortage {
    short_s: f64,
    /// Share of the returning callers that are refused again if each is told 2.4 s.
    before: f64,
    /// The most with planned times.
    after: f64,
}

/// Plays fifty callers a second, of whom 37 can be served during the shortage. Returns the share of
/// those who came back that were refused again.
fn refused_again(short_s: f64, mut back: impl FnMut(Instant, f64) -> Duration) -> f64 {
    let mut random = SmallRng::seed_from_u64(7);
    let start = Instant::now();
    let mut returning: Vec<u64> = Vec::new();
    let (mut came, mut again, mut capacity) = (0.0_f64, 0.0, 0.0);
    for now_ms in 0..120_000_u64 {
        let short = (now_ms as f64) < short_s * 1000.0;
        capacity = f64::min(capacity + if short { 0.037 } else { 0.2 }, 3.0);
        let due = returning.iter().filter(|due| **due == now_ms).count();
        let fresh = usize::from(random.random::<f64>() < 0.05);
        for caller in 0..due + fresh {
            came += f64::from(u8::from(caller < due));
            if capacity >= 1.0 {
                capacity -= 1.0;
            } else if caller < due {
                again += 1.0;
            } else {
                let wait = back(start + ms(now_ms), random.random::<f64>());
                returning.push(now_ms + wait.as_millis() as u64);
            }
        }
    }
    again / came.max(1.0)
}

#[test]
fn fewer_returning_callers_are_refused_again() {
    let cases = [
        Shortage { short_s: 4.0, before: 0.11, after: 0.13 },
        Shortage { short_s: 10.0, before: 0.35, after: 0.15 },
        Shortage { short_s: 20.0, before: 0.42, after: 0.23 },
    ];
    for case in cases {
        let (mut returns, demand) = (Returns::default(), demand(50.0, 37.0, 1));
        let before = refused_again(case.short_s, |_, draw| ms(2_400).mul_f64(0.75 + 0.5 * draw));
        let mut id = 0;
        let after = refused_again(case.short_s, |now, draw| {
            id += 1;
            returns.after(&caller(id, ms(27_000)), &demand, now, draw).after
        });
        println!("{} s: {before:.2} before, {after:.2} after", case.short_s);
        assert!((before - case.before).abs() < 0.02, "{} s: {before:.2}", case.short_s);
        assert!(after < case.after + 0.02, "{} s: {after:.2}", case.short_s);
    }
}

#[test]
fn the_first_refused_come_back_first() {
    let (mut returns, now) = (Returns::default(), Instant::now());
    let mut random = SmallRng::seed_from_u64(3);
    let demand = demand(600.0, 400.0, 10);
    // A quarter of a tenth of 400 a second is a slot in 100 ms.
    let mut plan = |at: u64| {
        let planned =
            returns.after(&caller(at, ms(18_000)), &demand, now + ms(at), random.random());
        planned.slot.map(|slot| (slot + ms(at), planned.after + ms(at)))
    };
    let slots: Vec<(Duration, Duration)> = (0..20).filter_map(|i| plan(i * 20)).collect();
    assert_eq!(slots.len(), 20, "each finds a slot");
    for pair in slots.windows(2) {
        let (former, next) = (pair[0], pair[1]);
        assert!(next.0 >= former.0 + ms(99), "slots overlap: {pair:?}");
        assert!(next.1 + ms(600) >= former.1, "out of order by more than the spread: {pair:?}");
    }
}

#[test]
fn a_higher_rank_comes_back_earlier() {
    struct Case {
        name: &'static str,
        /// Priorities of those refused before, and of the one that is asked for.
        before: &'static [u32],
        rank: u32,
        /// Its slot, ms: 2.4 s and 100 ms for each that it is behind.
        slot_ms: u64,
    }
    let cases = [
        Case { name: "the first", before: &[], rank: 1, slot_ms: 2_400 },
        Case { name: "behind its own rank", before: &[1, 1], rank: 1, slot_ms: 2_600 },
        Case { name: "not behind a lower rank", before: &[2, 2, 2], rank: 1, slot_ms: 2_400 },
        Case { name: "behind a higher rank", before: &[0, 0, 0], rank: 1, slot_ms: 2_700 },
        Case { name: "behind both", before: &[1, 0, 1, 0], rank: 2, slot_ms: 2_600 },
    ];
    let (now, demand) = (Instant::now(), demand(600.0, 400.0, 10));
    for case in cases {
        let mut returns = Returns::default();
        let mut refuse = |id: usize, priority: u32| {
            let rank = Rank::new(Some(0), priority);
            let refused = RefusedCaller { rank, ..caller(id as u64, ms(18_000)) };
            returns.after(&refused, &demand, now, 0.0)
        };
        for (id, priority) in case.before.iter().enumerate() {
            refuse(id, *priority);
        }
        let slot = refuse(99, case.rank).slot;
        assert_eq!(slot, Some(ms(case.slot_ms)), "{}", case.name);
    }
}

#[test]
fn times_fit_what_is_known() {
    struct Case {
        name: &'static str,
        lack: Lack,
        /// Offered and ended work, mean requests a second.
        demand: (f64, f64),
        remaining_ms: u64,
        /// The earliest and the latest time, ms.
        after_ms: (u64, u64),
    }
    let room = |name, demand, remaining_ms, after_ms| Case {
        name,
        lack: Lack::Room,
        demand,
        remaining_ms,
        after_ms,
    };
    let cases = [
        room("no overload", (100.0, 100.0), 20_000, (2_400, 3_000)),
        Case { lack: Lack::Send, ..room("another host", (300.0, 100.0), 20_000, (300, 400)) },
        room("overload", (300.0, 100.0), 20_000, (2_400, 3_400)),
        room("little time left", (300.0, 100.0), 900, (150, 300)),
        room("no time left", (300.0, 100.0), 0, (0, 0)),
        room("nothing known", (0.0, 0.0), 20_000, (2_400, 4_800)),
        room("absurd drain", (300.0, f64::NAN), 20_000, (2_400, 4_800)),
        room("boundless drain", (300.0, f64::INFINITY), 20_000, (2_400, 4_800)),
        room("absurd demand", (f64::NAN, 100.0), 20_000, (2_400, 4_800)),
        room("a tiny drain", (300.0, 1e-30), 20_000, (2_400, 6_667)),
        Case { lack: Lack::Path, ..room("gap", (0.0, 0.0), 20_000, (2_400, 4_800)) },
        Case { lack: Lack::Path, ..room("gap, known", (9.0, 9.0), 20_000, (2_400, 3_000)) },
    ];
    for case in cases {
        let demand = demand(case.demand.0, case.demand.1, 1);
        let within = |after: Duration| {
            after >= ms(case.after_ms.0) && after <= ms(case.after_ms.1) + Duration::from_micros(1)
        };
        for (work, draw) in [(1.0, 0.0), (1.0, 1.0), (f64::NAN, 0.5), (0.0, f64::NAN)] {
            let mut returns = Returns::default();
            let refused =
                RefusedCaller { lack: case.lack, work, ..caller(1, ms(case.remaining_ms)) };
            let Return { after, .. } = returns.after(&refused, &demand, Instant::now(), draw);
            assert!(within(after), "{}: {after:?} with draw {draw}", case.name);
        }
    }
}

#[test]
fn who_finds_no_slot_is_spread_within_a_third_of_its_time() {
    let (mut returns, now) = (Returns::default(), Instant::now());
    let mut random = SmallRng::seed_from_u64(5);
    let demand = demand(900.0, 300.0, 20);
    let mut by_half_second = [0_u32; 14];
    for id in 0..1_000 {
        let planned = returns.after(&caller(id, ms(20_000)), &demand, now, random.random());
        assert!(planned.after <= ms(6_667), "more than a third: {planned:?}");
        by_half_second[planned.after.as_millis() as usize / 500] += 1;
    }
    // The last half of the third holds nearly all; none of its half seconds much more than others.
    let most = by_half_second.iter().max().copied().unwrap_or_default();
    assert!(most < 1_000 / 6 * 5 / 4, "piled up: {by_half_second:?}");
}

#[test]
fn a_schedule_lapses_when_the_shortage_ends() {
    let (mut returns, now) = (Returns::default(), Instant::now());
    let demand = demand(600.0, 400.0, 10);
    let mut plan = |id, at| returns.after(&caller(id, ms(18_000)), &demand, now + ms(at), 0.0).slot;
    let during: Vec<_> = (0..8).filter_map(|id| plan(id, id * 250)).collect();
    assert!(during.last() > Some(&ms(2_900)), "the schedule grows: {during:?}");
    assert_eq!(plan(8, 1_750 + 2_000), Some(ms(2_400)), "another shortage");
}

#[test]
fn a_request_that_comes_back_early_keeps_its_slot() {
    let (mut returns, now) = (Returns::default(), Instant::now());
    let demand = demand(600.0, 400.0, 10);
    let mut plan =
        |id, at| returns.after(&caller(id, ms(18_000)), &demand, now + ms(at), 0.0).after;
    let first = plan(1, 0);
    assert_eq!(plan(1, 50) + ms(50), first, "its own slot");
    assert_eq!(plan(2, 50) + ms(50), first + ms(100), "nobody is moved back");
}

#[test]
fn ages_follow_from_the_time_that_callers_have_left() {
    struct Case {
        name: &'static str,
        /// Deadlines while nobody is refused, ms.
        quiet: Vec<u64>,
        /// Then many of these while callers are refused.
        busy: Vec<u64>,
        deadline_ms: u64,
        /// The time-out of the route changes before.
        changed: bool,
        age_ms: u64,
    }
    let alike: Vec<u64> = vec![20_000; 20];
    let spread: Vec<u64> = (0..32).map(|i| 17_000 + i % 10 * 300).collect();
    let case = |name, quiet: &[u64], deadline_ms, age_ms| Case {
        name,
        quiet: quiet.to_vec(),
        busy: Vec::new(),
        deadline_ms,
        changed: false,
        age_ms,
    };
    let cases = [
        case("first try", &alike, 20_000, 0),
        case("came back", &alike, 13_000, 7_000),
        case("more time than usual", &alike, 60_000, 0),
        case("first tries differ", &spread, 17_100, 0),
        case("came back beside such", &spread, 12_000, 5_000),
        case("too few are known", &[20_000; 5], 10_000, 0),
        case("none is known", &[], 10_000, 0),
        case("absurd", &[u64::MAX; 20], 10_000, 0),
        Case { busy: vec![9_000; 40], ..case("many come back", &alike, 9_000, 11_000) },
        Case { changed: true, ..case("another time-out", &alike, 10_000, 0) },
    ];
    for case in cases {
        let (mut ages, timeout) = (CallerAges::default(), ms(30_000));
        for deadline in &case.quiet {
            ages.age("route", timeout, ms(*deadline), true);
        }
        for deadline in &case.busy {
            ages.age("route", timeout, ms(*deadline), false);
        }
        let timeout = if case.changed { ms(10_000) } else { timeout };
        let age = ages.age("route", timeout, ms(case.deadline_ms), false);
        assert!(age.abs_diff(ms(case.age_ms)) < RETURNED_AGE, "{}: {age:?}", case.name);
    }
}
