//! Which requests are sent, wait or are refused.

use roseshore_core::gateway::admission::{
    Arrival, Decision, Joined, Level, Queue, Scan, Wait, Waiter, urgency,
};
use roseshore_core::gateway::demand::{
    CentreDemand, OrganisationDemand, Rank, RankDemand, ServiceDemand,
};
use std::time::{Duration, Instant};

fn rank(priority: u32) -> Rank {
    Rank::new(None, priority)
}

/// What a data centre ends, and offers by priority and by organisation of priority 0.
fn demand(ended: f32, ranks: &[(u32, f32)], organisations: &[(u32, f32)]) -> CentreDemand {
    let ranks = ranks.iter().map(|(priority, offered)| RankDemand {
        rank: rank(*priority),
        offered: *offered,
        waiting: 0,
    });
    let organisations = organisations.iter().map(|(organisation, offered)| OrganisationDemand {
        organisation: *organisation,
        rank: rank(0),
        offered: *offered,
    });
    let (ranks, organisations) = (ranks.collect(), organisations.collect());
    let total = ServiceDemand { service: 0, ended, ranks, organisations };
    CentreDemand { total, own_part: 0.1, hosts: 10 }
}

/// The part of a kind of request that is admitted at a utilisation, to 0.01.
fn admitted(arrival: Arrival, best: f64, demand: &CentreDemand) -> f64 {
    let now = Instant::now();
    let draws = (0..100).map(|draw| f64::from(draw) / 100.0);
    let admits =
        |draw: &f64| Level::default().decide(&arrival, best, demand, now, *draw) == Decision::Admit;
    draws.filter(admits).count() as f64 / 100.0
}

#[test]
fn the_level_admits_by_rank_and_by_shares() {
    struct Case {
        name: &'static str,
        best: f64,
        ended: f32,
        ranks: &'static [(u32, f32)],
        organisations: &'static [(u32, f32)],
        priority: u32,
        organisation: Option<u32>,
        /// Bounds of the part that is admitted.
        part: (f64, f64),
    }
    const BASE: Case = Case {
        name: "",
        best: 0.97,
        ended: 100.0,
        ranks: &[(0, 200.0)],
        organisations: &[],
        priority: 0,
        organisation: None,
        part: (0.0, 1.0),
    };
    let cases = [
        Case { name: "nobody is refused beside free room", best: 0.6, part: (1.0, 1.0), ..BASE },
        Case { name: "what fits is admitted", ranks: &[(0, 90.0)], part: (1.0, 1.0), ..BASE },
        Case { name: "twice what fits", part: (0.48, 0.52), ..BASE },
        Case { name: "less above the target", best: 1.02, part: (0.25, 0.3), ..BASE },
        Case { name: "more below it", best: 0.94, part: (0.7, 0.8), ..BASE },
        Case {
            name: "the first rank fits",
            ranks: &[(0, 80.0), (1, 200.0)],
            part: (1.0, 1.0),
            ..BASE
        },
        Case {
            name: "the second gets the rest",
            ranks: &[(0, 80.0), (1, 200.0)],
            priority: 1,
            part: (0.08, 0.12),
            ..BASE
        },
        Case {
            name: "the last does not starve",
            ranks: &[(0, 180.0), (1, 200.0)],
            priority: 1,
            part: (0.02, 0.05),
            ..BASE
        },
        Case {
            name: "an absurd rank comes last",
            ranks: &[(0, 180.0)],
            priority: u32::MAX,
            part: (0.02, 0.05),
            ..BASE
        },
        Case {
            name: "a small organisation is served whole",
            organisations: &[(1, 20.0), (2, 180.0)],
            organisation: Some(1),
            part: (1.0, 1.0),
            ..BASE
        },
        Case {
            name: "a greedy one gets what is left",
            organisations: &[(1, 20.0), (2, 180.0)],
            organisation: Some(2),
            part: (0.42, 0.46),
            ..BASE
        },
        Case {
            name: "one that is not listed is small",
            organisations: &[(2, 150.0), (3, 30.0)],
            organisation: Some(77),
            part: (1.0, 1.0),
            ..BASE
        },
        Case { name: "a cold start refuses nobody", ended: 0.0, part: (1.0, 1.0), ..BASE },
        Case {
            name: "numbers that are none count as nothing",
            ranks: &[(0, f32::NAN), (1, f32::INFINITY), (2, -5.0)],
            organisations: &[(1, f32::NAN)],
            organisation: Some(1),
            part: (1.0, 1.0),
            ..BASE
        },
        Case { name: "an absurd utilisation", best: f64::NAN, part: (0.33, 0.37), ..BASE },
    ];
    for case in cases {
        let demand = demand(case.ended, case.ranks, case.organisations);
        let arrival =
            Arrival { rank: rank(case.priority), organisation: case.organisation, returned: false };
        let part = admitted(arrival, case.best, &demand);
        let (least, most) = case.part;
        assert!((least..=most).contains(&part), "{}: {part}", case.name);
    }
}

#[test]
fn callers_who_return_have_a_part_of_the_room() {
    let (demand, now) = (demand(100.0, &[(0, 400.0)], &[]), Instant::now());
    let mut level = Level::default();
    let mut counts = [0_u32; 2];
    for number in 0..4000 {
        let returned = number % 2 == 1;
        let arrival = Arrival { rank: rank(0), organisation: None, returned };
        let draw = f64::from(number / 2 % 100) / 100.0;
        let at = now + Duration::from_millis(number as u64);
        if level.decide(&arrival, 0.97, &demand, at, draw) == Decision::Admit {
            counts[usize::from(returned)] += 1;
        }
    }
    let [new, returned] = counts.map(f64::from);
    assert!(
        (0.08..0.12).contains(&(returned / (new + returned))),
        "{new} new, {returned} returned"
    );
}

const OBJECTIVE: Duration = Duration::from_millis(500);

fn wait(begun: bool, age_ms: u64) -> Wait {
    Wait {
        begun,
        rank: rank(0),
        work: 1.0,
        objective: OBJECTIVE,
        first_token: Duration::from_millis(150),
        age: Duration::from_millis(age_ms),
    }
}

#[test]
fn a_request_waits_only_if_it_can_be_served_in_time() {
    struct Case {
        name: &'static str,
        wait: Wait,
        ahead: usize,
        ended: f32,
        /// Bounds of the time for which it is held; `None` if it is refused at once.
        hold: Option<(u64, u64)>,
    }
    let cases = [
        Case { name: "next", wait: wait(false, 0), ahead: 0, ended: 100.0, hold: Some((20, 100)) },
        Case { name: "many before it", wait: wait(false, 0), ahead: 50, ended: 100.0, hold: None },
        Case {
            name: "nothing ends",
            wait: wait(false, 0),
            ahead: 0,
            ended: 0.0,
            hold: Some((60, 100)),
        },
        Case {
            name: "no rate",
            wait: wait(false, 0),
            ahead: 0,
            ended: f32::NAN,
            hold: Some((60, 100)),
        },
        Case {
            name: "late, but soon",
            wait: wait(false, 600),
            ahead: 0,
            ended: 100.0,
            hold: Some((60, 80)),
        },
        Case { name: "already late", wait: wait(false, 600), ahead: 10, ended: 100.0, hold: None },
        Case {
            name: "a begun stream",
            wait: wait(true, 600),
            ahead: 50,
            ended: 1.0,
            hold: Some((1300, 1300)),
        },
    ];
    for case in cases {
        let hold = case.wait.hold(case.ahead, &demand(case.ended, &[(0, 200.0)], &[]));
        let hold = hold.map(|hold| hold.as_millis() as u64);
        let as_expected = match (hold, case.hold) {
            (None, None) => true,
            (Some(hold), Some((least, most))) => (least..=most).contains(&hold),
            _ => false,
        };
        assert!(as_expected, "{}: {hold:?}", case.name);
    }
}

fn waiter(id: u64, since: Instant) -> Waiter {
    Waiter {
        id,
        begun: false,
        rank: rank(0),
        returned: false,
        organisation: 0,
        work: 1.0,
        bytes: 1000,
        since,
    }
}

/// The order in which all that wait are served.
fn order(mut queue: Queue) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(waiter) = queue.next(&mut Scan::default()) {
        queue.take(waiter.id);
        order.push(waiter.id);
    }
    order
}

#[test]
fn those_who_wait_are_served_in_order() {
    struct Case {
        name: &'static str,
        waiters: Vec<Waiter>,
        order: &'static [u64],
    }
    let now = Instant::now();
    let base = |id| waiter(id, now);
    let of = |id, organisation| Waiter { organisation, ..waiter(id, now) };
    let cases = [
        Case { name: "by age", waiters: vec![base(1), base(2), base(3)], order: &[1, 2, 3] },
        Case {
            name: "begun streams, ranks, callers who return",
            waiters: vec![
                Waiter { rank: rank(1), returned: true, ..base(1) },
                base(2),
                Waiter { returned: true, ..base(3) },
                Waiter { rank: rank(9), begun: true, ..base(4) },
            ],
            order: &[4, 3, 2, 1],
        },
        Case {
            name: "organisations in turn",
            waiters: vec![of(1, 7), of(2, 7), of(3, 7), of(4, 8), of(5, 8)],
            order: &[1, 4, 2, 5, 3],
        },
        Case {
            name: "sizes that are none",
            waiters: vec![
                Waiter { work: f64::NAN, ..base(1) },
                Waiter { work: f64::INFINITY, ..base(2) },
                Waiter { work: -1.0, ..base(3) },
            ],
            order: &[1, 2, 3],
        },
    ];
    for case in cases {
        let mut queue = Queue::default();
        for waiter in case.waiters {
            assert_eq!(queue.join(waiter), Joined::Waits, "{}", case.name);
        }
        assert_eq!(order(queue), case.order, "{}", case.name);
    }
}

#[test]
fn a_large_request_is_passed_by_smaller_ones_for_a_bounded_time() {
    let since = Instant::now();
    let mut queue = Queue::default();
    let (large, small) = (Waiter { work: 5.0, ..waiter(1, since) }, waiter(2, since));
    queue.join(large);
    queue.join(small);
    for (after_ms, passed) in [(10, true), (1000, false)] {
        let now = since + Duration::from_millis(after_ms);
        let mut scan = Scan::default();
        assert_eq!(queue.next(&mut scan).map(|w| w.id), Some(1), "the first goes first");
        scan.found_none(&large, false, now);
        assert_eq!(queue.next(&mut scan).is_some(), passed, "after {after_ms} ms");
        assert!(!queue.may_pass(&Waiter { id: 3, since: now, ..small }, now));
        let smallest = Waiter { id: 3, work: 0.5, since: now, ..small };
        assert_eq!(queue.may_pass(&smallest, now), passed, "after {after_ms} ms");
    }
}

#[test]
fn a_full_queue_keeps_those_who_go_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let mut id = 0;
    while queue.join(Waiter { rank: rank(1), ..waiter(id, now) }) == Joined::Waits {
        id += 1;
        assert!(id < 100_000, "the queue is bounded");
    }
    let length = queue.len();
    assert_eq!(queue.join(Waiter { rank: rank(2), ..waiter(id, now) }), Joined::Full);
    let first = Waiter { rank: rank(0), ..waiter(id, now) };
    assert_eq!(queue.join(first), Joined::Displaced(vec![id - 1]), "the last one makes room");
    let large = Waiter { bytes: 1 << 30, begun: true, ..waiter(id + 1, now) };
    assert_eq!(queue.join(large), Joined::Full, "memory is bounded for all");
    assert_eq!(queue.len(), length);
}

#[test]
fn a_request_that_leaves_gives_up_its_place() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for id in 1..=3 {
        queue.join(waiter(id, now));
    }
    assert!(queue.remove(1).is_some());
    assert!(queue.remove(1).is_none(), "it left already");
    assert_eq!((queue.len(), queue.bytes()), (2, 2000));
    assert_eq!(order(queue), [2, 3]);
}

#[test]
fn urgency_follows_the_ranks_of_a_service() {
    let ranks: Vec<Rank> = (0..20).map(rank).collect();
    let cases = [
        ("ranks that do not differ", 0, &ranks[..1], false, None),
        ("the first", 0, &ranks[..3], false, Some(1)),
        ("the third", 2, &ranks[..3], false, Some(3)),
        ("a begun stream", 2, &ranks[..3], true, Some(0)),
        ("more ranks than urgencies", 19, &ranks[..], false, Some(9)),
    ];
    for (name, priority, ranks, begun, expected) in cases {
        assert_eq!(urgency(rank(priority), ranks, begun), expected, "{name}");
    }
}
