//! Admission keeps its bounds in any order of events.

use proptest::prelude::*;
use roseshore_core::admit::share::{self, Demand, Demands};
use roseshore_core::admit::{Admission, AdmitResult, Arrival, Capacity, Slot, WaiterId};
use roseshore_core::fleet::ServiceKind;
use roseshore_core::prelude::*;
use std::cmp::Reverse;
use std::collections::HashMap;

fn fleet(orgs: &[(&str, f64, f64, f64)]) -> Fleet {
    let mut fleet = Fleet::default();
    let service = Service {
        kind: ServiceKind::Plain,
        model: None,
        sources: Vec::new(),
        idempotent: true,
        advisory: false,
        deadline: Duration::from_secs(30),
    };
    fleet.services.insert("s".into(), service);
    for &(id, share, rate, burst) in orgs {
        fleet.organisations.insert(id.into(), Organisation { share, rate, burst });
    }
    fleet
}

fn arrival(organisation: &str, priority: u8, deadline: Instant) -> Arrival<'_> {
    Arrival { organisation, service: "s", deadline, priority, cost: 1 }
}

/// Admission whose line has `slots` places and whose requests take 100 ms.
fn door(fleet: &Fleet, slots: f64, now: Instant) -> Admission {
    let mut door = Admission::default();
    door.tick(1, now);
    let id = fleet.organisations.keys().next().unwrap();
    let start = now.checked_sub(Duration::from_millis(100)).unwrap();
    let AdmitResult::Admitted(pass) = door.arrive(fleet, &arrival(id, 4, now + LONG), start, 0.0)
    else {
        panic!("the first is let in")
    };
    door.release(pass, now, 0.0);
    door.update_limit("s", Capacity { slots: slots / 1.25, busy: 0.0 });
    door
}

const LONG: Duration = Duration::from_secs(30);

#[test]
fn refusals_say_why_and_when_to_come_back() {
    struct Case {
        name: &'static str,
        organisation: &'static str,
        service: &'static str,
        earlier: u32,
        left: Duration,
        code: Code,
        back: bool,
    }
    let case = |name, organisation, service, earlier, left, code, back| Case {
        name,
        organisation,
        service,
        earlier,
        left,
        code,
        back,
    };
    let short = Duration::from_millis(150);
    let past = Duration::ZERO;
    let cases = [
        case("unknown organisation", "x", "s", 0, LONG, Code::UnknownOrganisation, false),
        case("unknown service", "big", "x", 0, LONG, Code::UnknownService, false),
        case("over its rate", "tiny", "s", 2, LONG, Code::RateLimited, true),
        case("no time left", "big", "s", 0, past, Code::TooLate, true),
        case("not in time behind the queue", "big", "s", 4, short, Code::TooLate, true),
        case("the line too long", "big", "s", 60, LONG, Code::QueueFull, true),
    ];
    for case in cases {
        let now = Instant::now();
        let fleet = fleet(&[("big", 1.0, 1e6, 1e6), ("tiny", 1.0, 1.0, 2.0)]);
        let mut door = door(&fleet, 2.0, now);
        for _ in 0..case.earlier {
            door.arrive(&fleet, &arrival(case.organisation, 4, now + LONG), now, 0.0);
        }
        let who =
            Arrival { service: case.service, ..arrival(case.organisation, 4, now + case.left) };
        for spread in [0.0, 0.9] {
            let AdmitResult::Refused(refusal) = door.arrive(&fleet, &who, now, spread) else {
                panic!("{}: let in", case.name)
            };
            assert_eq!(refusal.code, case.code, "{}", case.name);
            assert_eq!(refusal.verdict, Verdict::NotRun, "{}", case.name);
            let least = Duration::from_secs(1).mul_f64(1.0 + 2.0 * spread);
            let told = refusal.retry_after.is_some_and(|after| after >= least);
            assert_eq!(told, case.back, "{}: {:?}", case.name, refusal.retry_after);
        }
    }
}

#[derive(Clone, Debug)]
enum Do {
    Arrive { org: usize, priority: u8, left: u64 },
    Leave { which: usize },
    GiveUp { which: usize },
    Pass { millis: u64 },
    Tick,
}

fn any_do() -> impl Strategy<Value = Do> {
    prop_oneof![
        6 => (0..3_usize, 0..10_u8, 0..4000_u64)
            .prop_map(|(org, priority, left)| Do::Arrive { org, priority, left }),
        4 => any::<usize>().prop_map(|which| Do::Leave { which }),
        1 => any::<usize>().prop_map(|which| Do::GiveUp { which }),
        2 => (0..500_u64).prop_map(|millis| Do::Pass { millis }),
        1 => Just(Do::Tick),
    ]
}

const ORGS: [(&str, f64, f64, f64); 3] =
    [("a", 1.0, 5.0, 4.0), ("b", 3.0, 50.0, 20.0), ("c", 1.0, 1000.0, 1000.0)];

proptest! {
    /// Every arrival has one end, places are conserved, and no organisation exceeds its bucket.
    #[test]
    fn nothing_is_lost_or_exceeded(steps in prop::collection::vec(any_do(), 1..400)) {
        let fleet = fleet(&ORGS);
        let start = Instant::now();
        let mut now = start;
        let mut door = door(&fleet, 3.0, now);
        let mut inside: Vec<Slot> = Vec::new();
        let mut waiting: HashMap<WaiterId, usize> = HashMap::new();
        let mut taken = [1.0, 0.0, 0.0];
        for step in steps {
            let mut turns = Vec::new();
            match step {
                Do::Arrive { org, priority, left } => {
                    let deadline = now + Duration::from_millis(left);
                    match door.arrive(&fleet, &arrival(ORGS[org].0, priority, deadline), now, 0.5) {
                        AdmitResult::Admitted(pass) => {
                            taken[org] += 1.0;
                            inside.push(pass);
                        }
                        AdmitResult::Queued(waits) => {
                            taken[org] += 1.0;
                            prop_assert!(waits.until <= deadline);
                            prop_assert!(waiting.insert(waits.waiter, org).is_none());
                            turns.extend(waits.displaced);
                        }
                        AdmitResult::Refused(refusal) => prop_assert_eq!(refusal.verdict, Verdict::NotRun),
                    }
                }
                Do::Leave { which } if !inside.is_empty() => {
                    let pass = inside.swap_remove(which % inside.len());
                    turns = door.release(pass, now, 0.5);
                }
                Do::GiveUp { which } if !waiting.is_empty() => {
                    let waiter = *waiting.keys().nth(which % waiting.len()).unwrap();
                    prop_assert!(door.give_up(waiter, 0.5).is_some());
                    waiting.remove(&waiter);
                }
                Do::Pass { millis } => now += Duration::from_millis(millis),
                Do::Tick => door.tick(1, now),
                Do::Leave { .. } | Do::GiveUp { .. } => {}
            }
            for turn in turns {
                prop_assert!(waiting.remove(&turn.waiter).is_some(), "one end for each");
                inside.extend(turn.result.ok());
            }
            prop_assert_eq!(door.counts("s"), (inside.len(), waiting.len()));
            prop_assert!(waiting.is_empty() || inside.len() >= 3, "nobody waits for nothing");
            for (taken, (_, _, rate, burst)) in taken.iter().zip(ORGS) {
                let passed = (now - start).as_secs_f64() + 0.1;
                prop_assert!(*taken <= burst + rate * passed + 1e-6);
            }
        }
    }
}

/// Requests of one organisation that come regularly.
#[derive(Clone, Copy)]
struct Source {
    org: &'static str,
    /// Requests a second.
    rate: f64,
    priority: u8,
}

/// What came of each source's requests: time from arrival to end, and how many were refused.
#[derive(Default)]
struct Fate {
    took: Vec<Duration>,
    refused: usize,
}

impl Fate {
    fn p95(&mut self) -> f64 {
        self.took.sort();
        self.took[self.took.len() * 95 / 100].as_secs_f64()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Ends(usize),
    Comes(usize),
}

/// Runs a line of 20 places whose requests take 50 to 150 ms, in virtual time.
fn serve(fleet: &Fleet, sources: &[Source], length: Duration) -> Vec<Fate> {
    let start = Instant::now();
    let mut door = door(fleet, 20.0 / 1.5 * 1.25, start);
    let mut fates: Vec<Fate> = sources.iter().map(|_| Fate::default()).collect();
    let mut queue = std::collections::BinaryHeap::new();
    for (i, _) in sources.iter().enumerate() {
        queue.push(Reverse((start + Duration::from_millis(i as u64), Next::Comes(i))));
    }
    let mut asks: Vec<(usize, Instant, Option<Slot>)> = Vec::new();
    let mut waiting: HashMap<WaiterId, usize> = HashMap::new();
    while let Some(Reverse((now, next))) = queue.pop() {
        let mut turns = Vec::new();
        match next {
            Next::Comes(i) if now < start + length => {
                let Source { org, rate, priority } = sources[i];
                queue.push(Reverse((now + Duration::from_secs_f64(1.0 / rate), next)));
                match door.arrive(fleet, &arrival(org, priority, now + LONG), now, 0.0) {
                    AdmitResult::Admitted(pass) => {
                        asks.push((i, now, Some(pass)));
                        let ends = now + length_of(asks.len() - 1);
                        queue.push(Reverse((ends, Next::Ends(asks.len() - 1))));
                    }
                    AdmitResult::Queued(waits) => {
                        asks.push((i, now, None));
                        waiting.insert(waits.waiter, asks.len() - 1);
                        turns.extend(waits.displaced);
                    }
                    AdmitResult::Refused(_) => fates[i].refused += 1,
                }
            }
            Next::Comes(_) => {}
            Next::Ends(ask) => {
                let (i, came, pass) = &mut asks[ask];
                fates[*i].took.push(now - *came);
                turns = door.release(pass.take().unwrap(), now, 0.0);
            }
        }
        for turn in turns {
            let ask = waiting.remove(&turn.waiter).unwrap();
            match turn.result {
                Ok(pass) => {
                    asks[ask].2 = Some(pass);
                    queue.push(Reverse((now + length_of(ask), Next::Ends(ask))));
                }
                Err(_) => fates[asks[ask].0].refused += 1,
            }
        }
    }
    assert!(waiting.is_empty(), "everybody has an end");
    fates
}

/// How long a request is inside; unlike lengths, as equal ones would end in step.
fn length_of(ask: usize) -> Duration {
    Duration::from_millis(50 + ask as u64 * 37 % 101)
}

const MANY: f64 = 1e9;

#[test]
fn a_flood_of_one_is_not_felt_by_others() {
    let names = ["a", "b", "c", "d", "e"];
    let fleet = fleet(&names.map(|id| (id, 1.0, MANY, MANY)));
    // 200 requests a second can be served; a share is 40.
    let run = |first: f64| {
        let rate = |org| if org == "a" { first } else { 31.0 };
        let sources = names.map(|org| Source { org, rate: rate(org), priority: 4 });
        serve(&fleet, &sources, Duration::from_secs(20))
    };
    let (mut calm, mut flood) = (run(31.0), run(400.0));
    for (before, after) in calm.iter_mut().zip(&mut flood).skip(1) {
        assert!(after.p95() < before.p95() * 1.1, "{} {}", after.p95(), before.p95());
        assert_eq!(after.refused, 0);
    }
    assert!(flood[0].refused > 0);
    let served: usize = flood.iter().map(|fate| fate.took.len()).sum();
    assert!(served as f64 > 0.98 * 200.0 * 20.0, "no place stands empty: {served}");
}

#[test]
fn turns_go_by_shares() {
    struct Case {
        name: &'static str,
        shares: [f64; 2],
        priorities: [u8; 2],
    }
    let cases = [
        Case { name: "equal", shares: [1.0, 1.0], priorities: [4, 4] },
        Case { name: "three to one", shares: [3.0, 1.0], priorities: [4, 4] },
        Case { name: "priority is no share", shares: [1.0, 1.0], priorities: [9, 0] },
    ];
    for case in cases {
        let [a, b] = case.shares;
        let fleet = fleet(&[("a", a, MANY, MANY), ("b", b, MANY, MANY)]);
        let source = |org, priority| Source { org, rate: 400.0, priority };
        let sources = [source("a", case.priorities[0]), source("b", case.priorities[1])];
        let fates = serve(&fleet, &sources, Duration::from_secs(20));
        let ratio = fates[0].took.len() as f64 / fates[1].took.len() as f64;
        assert!((ratio / (a / b) - 1.0).abs() < 0.1, "{}: {ratio}", case.name);
    }
}

#[test]
fn priorities_go_first_and_starve_nobody() {
    let fleet = fleet(&[("a", 1.0, MANY, MANY)]);
    let source = |rate, priority| Source { org: "a", rate, priority };
    // The urgent ones alone fill the line; the low ones come with a bulk that exceeds it.
    let sources = [source(150.0, 9), source(150.0, 0)];
    let mut fates = serve(&fleet, &sources, Duration::from_secs(30));
    assert_eq!(fates[0].refused, 0, "urgent ones are not shut out by the bulk before them");
    assert!(fates[0].p95() < 0.2, "{}", fates[0].p95());
    assert!(fates[1].took.len() as f64 > 0.9 * 50.0 * 30.0, "{}", fates[1].took.len());
    let longest = fates[1].took.iter().max().unwrap();
    assert!(*longest < Duration::from_secs(12), "{longest:?}");
    // More urgent ones than can be served: others are refused like them, or have their turn.
    let fates = serve(&fleet, &[source(250.0, 9), source(10.0, 0)], Duration::from_secs(30));
    let longest = fates[1].took.iter().max().unwrap();
    assert!(*longest < Duration::from_secs(14), "{longest:?}");
    assert!(fates[1].took.len() > 60, "{} of 300", fates[1].took.len());
}

#[test]
fn parts_of_a_limit_follow_demand() {
    struct Case {
        name: &'static str,
        daemons: usize,
        heard: &'static [f32],
        part: f64,
    }
    let cases = [
        Case { name: "alone", daemons: 1, heard: &[], part: 1.0 },
        Case { name: "nothing heard", daemons: 4, heard: &[], part: 0.25 },
        Case { name: "no demand elsewhere", daemons: 4, heard: &[0.0, 0.0, 0.0], part: 1.0 },
        Case { name: "equal demand", daemons: 2, heard: &[10.0], part: 0.5 },
        Case { name: "most elsewhere", daemons: 2, heard: &[90.0], part: 0.1 },
        Case { name: "one silent", daemons: 3, heard: &[10.0], part: 0.33 },
    ];
    for case in cases {
        let now = Instant::now();
        let peers: share::PeerDemands = (0..)
            .zip(case.heard)
            .map(|(i, &rate)| {
                let demand = Demand { organisation: "a".into(), rate };
                (
                    format!("h{i}"),
                    share::PeerDemand::new(&Demands { organisations: vec![demand] }, now),
                )
            })
            .collect();
        let part = share::limit_part(10.0, "a", &peers, case.daemons);
        assert!((part - case.part).abs() < 0.02, "{}: {part}", case.name);
    }
}

#[test]
fn state_is_kept_only_for_active_organisations() {
    let ids: Vec<String> = (0..5000).map(|i| format!("o{i}")).collect();
    let limits: Vec<_> = ids.iter().map(|id| (id.as_str(), 1.0, 10.0, 10.0)).collect();
    let fleet = fleet(&limits);
    let mut door = Admission::default();
    let mut now = Instant::now();
    for id in &ids {
        now += Duration::from_millis(10);
        if let AdmitResult::Admitted(pass) =
            door.arrive(&fleet, &arrival(id, 4, now + LONG), now, 0.0)
        {
            door.release(pass, now, 0.0);
        }
        door.tick(1, now);
        assert!(door.active() <= 1002, "{}", door.active());
    }
    assert_eq!(door.demands(now).organisations.len(), 32);
}
