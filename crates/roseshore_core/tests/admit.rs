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

/// Admission whose service has `slots` slots and whose requests take 100 ms.
fn admission(fleet: &Fleet, slots: f64, now: Instant) -> Admission {
    let mut admission = Admission::default();
    admission.tick(1, now);
    let id = fleet.organisations.keys().next().unwrap();
    let start = now.checked_sub(Duration::from_millis(100)).unwrap();
    let AdmitResult::Admitted(slot) =
        admission.arrive(fleet, &arrival(id, 4, now + LONG), start, 0.0)
    else {
        panic!("the first request is admitted")
    };
    admission.release(slot, now, 0.0);
    admission.update_limit("s", Capacity { slots: slots / 1.25, busy: 0.0 });
    admission
}

const LONG: Duration = Duration::from_secs(30);

#[test]
fn refusals_have_a_code_and_a_retry_time() {
    struct Case {
        name: &'static str,
        organisation: &'static str,
        service: &'static str,
        earlier: u32,
        left: Duration,
        code: Code,
        retry: bool,
    }
    let case = |name, organisation, service, earlier, left, code, retry| Case {
        name,
        organisation,
        service,
        earlier,
        left,
        code,
        retry,
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
        let mut admission = admission(&fleet, 2.0, now);
        for _ in 0..case.earlier {
            admission.arrive(&fleet, &arrival(case.organisation, 4, now + LONG), now, 0.0);
        }
        let request =
            Arrival { service: case.service, ..arrival(case.organisation, 4, now + case.left) };
        for spread in [0.0, 0.9] {
            let AdmitResult::Refused(refusal) = admission.arrive(&fleet, &request, now, spread)
            else {
                panic!("{}: admitted", case.name)
            };
            assert_eq!(refusal.code, case.code, "{}", case.name);
            assert_eq!(refusal.verdict, Verdict::NotRun, "{}", case.name);
            let least = Duration::from_secs(1).mul_f64(1.0 + 2.0 * spread);
            let has_retry = refusal.retry_after.is_some_and(|after| after >= least);
            assert_eq!(has_retry, case.retry, "{}: {:?}", case.name, refusal.retry_after);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { org: usize, priority: u8, left: u64 },
    Leave { which: usize },
    GiveUp { which: usize },
    Wait { millis: u64 },
    Tick,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3_usize, 0..10_u8, 0..4000_u64)
            .prop_map(|(org, priority, left)| Step::Arrive { org, priority, left }),
        4 => any::<usize>().prop_map(|which| Step::Leave { which }),
        1 => any::<usize>().prop_map(|which| Step::GiveUp { which }),
        2 => (0..500_u64).prop_map(|millis| Step::Wait { millis }),
        1 => Just(Step::Tick),
    ]
}

const ORGS: [(&str, f64, f64, f64); 3] =
    [("a", 1.0, 5.0, 4.0), ("b", 3.0, 50.0, 20.0), ("c", 1.0, 1000.0, 1000.0)];

proptest! {
    /// Every request ends once, slots are conserved, and no organisation exceeds its token bucket.
    #[test]
    fn nothing_is_lost_or_exceeded(steps in prop::collection::vec(any_step(), 1..400)) {
        let fleet = fleet(&ORGS);
        let start = Instant::now();
        let mut now = start;
        let mut admission = admission(&fleet, 3.0, now);
        let mut in_flight: Vec<Slot> = Vec::new();
        let mut waiting: HashMap<WaiterId, usize> = HashMap::new();
        let mut taken = [1.0, 0.0, 0.0];
        for step in steps {
            let mut outcomes = Vec::new();
            match step {
                Step::Arrive { org, priority, left } => {
                    let deadline = now + Duration::from_millis(left);
                    match admission.arrive(&fleet, &arrival(ORGS[org].0, priority, deadline), now, 0.5) {
                        AdmitResult::Admitted(slot) => {
                            taken[org] += 1.0;
                            in_flight.push(slot);
                        }
                        AdmitResult::Queued(queued) => {
                            taken[org] += 1.0;
                            prop_assert!(queued.until <= deadline);
                            prop_assert!(waiting.insert(queued.waiter, org).is_none());
                            outcomes.extend(queued.displaced);
                        }
                        AdmitResult::Refused(refusal) => prop_assert_eq!(refusal.verdict, Verdict::NotRun),
                    }
                }
                Step::Leave { which } if !in_flight.is_empty() => {
                    let slot = in_flight.swap_remove(which % in_flight.len());
                    outcomes = admission.release(slot, now, 0.5);
                }
                Step::GiveUp { which } if !waiting.is_empty() => {
                    let waiter = *waiting.keys().nth(which % waiting.len()).unwrap();
                    prop_assert!(admission.give_up(waiter, 0.5).is_some());
                    waiting.remove(&waiter);
                }
                Step::Wait { millis } => now += Duration::from_millis(millis),
                Step::Tick => admission.tick(1, now),
                Step::Leave { .. } | Step::GiveUp { .. } => {}
            }
            for outcome in outcomes {
                prop_assert!(waiting.remove(&outcome.waiter).is_some(), "each request ends once");
                in_flight.extend(outcome.result.ok());
            }
            prop_assert_eq!(admission.counts("s"), (in_flight.len(), waiting.len()));
            prop_assert!(waiting.is_empty() || in_flight.len() >= 3, "no request waits while slots are free");
            for (taken, (_, _, rate, burst)) in taken.iter().zip(ORGS) {
                let passed = (now - start).as_secs_f64() + 0.1;
                prop_assert!(*taken <= burst + rate * passed + 1e-6);
            }
        }
    }
}

/// Requests of one organisation at a constant rate.
#[derive(Clone, Copy)]
struct Source {
    org: &'static str,
    /// Requests a second.
    rate: f64,
    priority: u8,
}

/// Results of one source's requests: time from arrival to end, and the number refused.
#[derive(Default)]
struct SourceResult {
    took: Vec<Duration>,
    refused: usize,
}

impl SourceResult {
    fn p95(&mut self) -> f64 {
        self.took.sort();
        self.took[self.took.len() * 95 / 100].as_secs_f64()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Ends(usize),
    Arrives(usize),
}

/// Simulates a service with 20 slots whose requests take 50 to 150 ms, in virtual time.
fn simulate(fleet: &Fleet, sources: &[Source], length: Duration) -> Vec<SourceResult> {
    let start = Instant::now();
    let mut admission = admission(fleet, 20.0 / 1.5 * 1.25, start);
    let mut results: Vec<SourceResult> = sources.iter().map(|_| SourceResult::default()).collect();
    let mut queue = std::collections::BinaryHeap::new();
    for (i, _) in sources.iter().enumerate() {
        queue.push(Reverse((start + Duration::from_millis(i as u64), Next::Arrives(i))));
    }
    let mut requests: Vec<(usize, Instant, Option<Slot>)> = Vec::new();
    let mut waiting: HashMap<WaiterId, usize> = HashMap::new();
    while let Some(Reverse((now, next))) = queue.pop() {
        let mut outcomes = Vec::new();
        match next {
            Next::Arrives(i) if now < start + length => {
                let Source { org, rate, priority } = sources[i];
                queue.push(Reverse((now + Duration::from_secs_f64(1.0 / rate), next)));
                match admission.arrive(fleet, &arrival(org, priority, now + LONG), now, 0.0) {
                    AdmitResult::Admitted(slot) => {
                        requests.push((i, now, Some(slot)));
                        let ends = now + duration_of(requests.len() - 1);
                        queue.push(Reverse((ends, Next::Ends(requests.len() - 1))));
                    }
                    AdmitResult::Queued(queued) => {
                        requests.push((i, now, None));
                        waiting.insert(queued.waiter, requests.len() - 1);
                        outcomes.extend(queued.displaced);
                    }
                    AdmitResult::Refused(_) => results[i].refused += 1,
                }
            }
            Next::Arrives(_) => {}
            Next::Ends(request) => {
                let (i, arrived, slot) = &mut requests[request];
                results[*i].took.push(now - *arrived);
                outcomes = admission.release(slot.take().unwrap(), now, 0.0);
            }
        }
        for outcome in outcomes {
            let request = waiting.remove(&outcome.waiter).unwrap();
            match outcome.result {
                Ok(slot) => {
                    requests[request].2 = Some(slot);
                    queue.push(Reverse((now + duration_of(request), Next::Ends(request))));
                }
                Err(_) => results[requests[request].0].refused += 1,
            }
        }
    }
    assert!(waiting.is_empty(), "every request ends");
    results
}

/// Time for which a request is in flight; the times differ, since requests of equal length would
/// end in lockstep.
fn duration_of(request: usize) -> Duration {
    Duration::from_millis(50 + request as u64 * 37 % 101)
}

const UNLIMITED: f64 = 1e9;

#[test]
fn a_flood_does_not_slow_other_organisations() {
    let names = ["a", "b", "c", "d", "e"];
    let fleet = fleet(&names.map(|id| (id, 1.0, UNLIMITED, UNLIMITED)));
    // The service handles 200 requests a second, so an organisation's share is 40.
    let run = |first: f64| {
        let rate = |org| if org == "a" { first } else { 31.0 };
        let sources = names.map(|org| Source { org, rate: rate(org), priority: 4 });
        simulate(&fleet, &sources, Duration::from_secs(20))
    };
    let (mut calm, mut flood) = (run(31.0), run(400.0));
    for (before, after) in calm.iter_mut().zip(&mut flood).skip(1) {
        assert!(after.p95() < before.p95() * 1.1, "{} {}", after.p95(), before.p95());
        assert_eq!(after.refused, 0);
    }
    assert!(flood[0].refused > 0);
    let served: usize = flood.iter().map(|result| result.took.len()).sum();
    assert!(served as f64 > 0.98 * 200.0 * 20.0, "no slot stays idle: {served}");
}

#[test]
fn slots_follow_shares() {
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
        let fleet = fleet(&[("a", a, UNLIMITED, UNLIMITED), ("b", b, UNLIMITED, UNLIMITED)]);
        let source = |org, priority| Source { org, rate: 400.0, priority };
        let sources = [source("a", case.priorities[0]), source("b", case.priorities[1])];
        let results = simulate(&fleet, &sources, Duration::from_secs(20));
        let ratio = results[0].took.len() as f64 / results[1].took.len() as f64;
        assert!((ratio / (a / b) - 1.0).abs() < 0.1, "{}: {ratio}", case.name);
    }
}

#[test]
fn priorities_go_first_and_starve_nobody() {
    let fleet = fleet(&[("a", 1.0, UNLIMITED, UNLIMITED)]);
    let source = |rate, priority| Source { org: "a", rate, priority };
    // The urgent requests alone fit the capacity; together with those of low priority they exceed
    // it.
    let sources = [source(150.0, 9), source(150.0, 0)];
    let mut results = simulate(&fleet, &sources, Duration::from_secs(30));
    assert_eq!(results[0].refused, 0, "urgent ones are not shut out by the bulk before them");
    assert!(results[0].p95() < 0.2, "{}", results[0].p95());
    assert!(results[1].took.len() as f64 > 0.9 * 50.0 * 30.0, "{}", results[1].took.len());
    let longest = results[1].took.iter().max().unwrap();
    assert!(*longest < Duration::from_secs(12), "{longest:?}");
    // The urgent requests alone exceed the capacity: those of low priority are refused like them,
    // or still get their turn.
    let results = simulate(&fleet, &[source(250.0, 9), source(10.0, 0)], Duration::from_secs(30));
    let longest = results[1].took.iter().max().unwrap();
    assert!(*longest < Duration::from_secs(14), "{longest:?}");
    assert!(results[1].took.len() > 60, "{} of 300", results[1].took.len());
}

#[test]
fn parts_of_a_limit_follow_demand() {
    struct Case {
        name: &'static str,
        daemons: usize,
        reported: &'static [f32],
        part: f64,
    }
    let cases = [
        Case { name: "alone", daemons: 1, reported: &[], part: 1.0 },
        Case { name: "nothing heard", daemons: 4, reported: &[], part: 0.25 },
        Case { name: "no demand elsewhere", daemons: 4, reported: &[0.0, 0.0, 0.0], part: 1.0 },
        Case { name: "equal demand", daemons: 2, reported: &[10.0], part: 0.5 },
        Case { name: "most elsewhere", daemons: 2, reported: &[90.0], part: 0.1 },
        Case { name: "one silent", daemons: 3, reported: &[10.0], part: 0.33 },
    ];
    for case in cases {
        let now = Instant::now();
        let peers: share::PeerDemands = (0..)
            .zip(case.reported)
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
    let mut admission = Admission::default();
    let mut now = Instant::now();
    for id in &ids {
        now += Duration::from_millis(10);
        if let AdmitResult::Admitted(slot) =
            admission.arrive(&fleet, &arrival(id, 4, now + LONG), now, 0.0)
        {
            admission.release(slot, now, 0.0);
        }
        admission.tick(1, now);
        assert!(admission.active() <= 1002, "{}", admission.active());
    }
    assert_eq!(admission.demands(now).organisations.len(), 32);
}

#[test]
fn a_deadline_is_judged_by_requests_of_at_most_the_same_cost() {
    struct Case {
        name: &'static str,
        /// Cost and milliseconds of each request that has ended.
        ended: &'static [(u32, u64)],
        /// Cost of a request that arrives while another one is in flight, with a deadline of 20 s.
        cost: u32,
        admitted: bool,
    }
    let cases = [
        Case { name: "none has ended", ended: &[], cost: 300, admitted: true },
        Case { name: "a small one took 0.15 s", ended: &[(2, 150)], cost: 300, admitted: true },
        Case { name: "a small one took 25 s", ended: &[(2, 25_000)], cost: 300, admitted: false },
        Case {
            name: "an equal one took 25 s",
            ended: &[(300, 25_000)],
            cost: 300,
            admitted: false,
        },
        Case { name: "a large one took 25 s", ended: &[(300, 25_000)], cost: 30, admitted: true },
        Case {
            name: "two of four equal ones were slow",
            ended: &[(300, 25_000), (300, 600), (300, 25_000), (300, 600)],
            cost: 300,
            admitted: true,
        },
        Case {
            name: "three of four equal ones were slow",
            ended: &[(300, 25_000), (300, 25_000), (300, 600), (300, 25_000)],
            cost: 300,
            admitted: false,
        },
    ];
    let fleet = fleet(&[("a", 1.0, 1000.0, 1000.0)]);
    for case in cases {
        let mut now = Instant::now();
        let mut admission = Admission::default();
        admission.tick(1, now);
        let arrive = |admission: &mut Admission, cost: u32, left: Duration, now: Instant| {
            let arrival = Arrival { cost, ..arrival("a", 4, now + left) };
            match admission.arrive(&fleet, &arrival, now, 0.0) {
                AdmitResult::Admitted(slot) => Some(slot),
                _ => None,
            }
        };
        for (cost, took) in case.ended {
            let slot = arrive(&mut admission, *cost, LONG, now).expect("nothing is in flight");
            now += Duration::from_millis(*took);
            admission.release(slot, now, 0.0);
        }
        arrive(&mut admission, 1, LONG, now).expect("nothing is in flight");
        let admitted = arrive(&mut admission, case.cost, Duration::from_secs(20), now).is_some();
        assert_eq!(admitted, case.admitted, "{}", case.name);
    }
}
