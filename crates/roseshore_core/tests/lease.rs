//! Tests of the order lease: there is one holder at a time, whatever records are lost or repeated
//! and whichever daemons pause.

use proptest::prelude::*;
use roseshore_core::order::lease::{
    LeaseClient, LeaseOutcome, LeaseRecord, LeaseState, LeaseTimes,
};
use roseshore_core::prelude::*;

const TTL: u64 = 6_000;

fn take(holder: &str, nonce: u64) -> LeaseRecord {
    LeaseRecord::Take { holder: holder.into(), incarnation: 1, nonce, ttl: TTL }
}

fn renew(fence: Fence) -> LeaseRecord {
    LeaseRecord::Renew { fence, nonce: 99, ttl: TTL }
}

struct Case {
    name: &'static str,
    records: Vec<(Offset, u64, LeaseRecord)>,
    outcomes: Vec<LeaseOutcome>,
    holder: Option<(&'static str, Fence)>,
}

fn cases() -> Vec<Case> {
    use LeaseOutcome::{Accepted, Repeat, Void};
    vec![
        Case {
            name: "of two concurrent takers the first in the log wins",
            records: vec![(0, 0, take("a", 1)), (1, 0, take("b", 2))],
            outcomes: vec![Accepted, Void],
            holder: Some(("a", 0)),
        },
        Case {
            name: "a lease that has expired by the log's clock is taken over",
            records: vec![(0, 0, take("a", 1)), (1, TTL, take("b", 2))],
            outcomes: vec![Accepted, Accepted],
            holder: Some(("b", 1)),
        },
        Case {
            name: "a renewal keeps the fencing token",
            records: vec![(0, 0, take("a", 1)), (1, TTL - 1, renew(0)), (2, TTL, take("b", 2))],
            outcomes: vec![Accepted, Accepted, Void],
            holder: Some(("a", 0)),
        },
        Case {
            name: "a renewal after expiry is void",
            records: vec![(0, 0, take("a", 1)), (1, TTL, renew(0)), (2, TTL, take("b", 2))],
            outcomes: vec![Accepted, Void, Accepted],
            holder: Some(("b", 2)),
        },
        Case {
            name: "a paused holder's renewal does not touch its successor",
            records: vec![(0, 0, take("a", 1)), (1, TTL, take("b", 2)), (2, TTL + 1, renew(0))],
            outcomes: vec![Accepted, Accepted, Void],
            holder: Some(("b", 1)),
        },
        Case {
            name: "a release frees the lease at once",
            records: vec![
                (0, 0, take("a", 1)),
                (1, 1, LeaseRecord::Release { fence: 0 }),
                (2, 2, take("b", 2)),
            ],
            outcomes: vec![Accepted, Accepted, Accepted],
            holder: Some(("b", 2)),
        },
        Case {
            name: "a record read twice counts once",
            records: vec![(0, 0, take("a", 1)), (0, 0, take("a", 1)), (1, 1, take("b", 2))],
            outcomes: vec![Accepted, Repeat, Void],
            holder: Some(("a", 0)),
        },
    ]
}

#[test]
fn records_apply_in_order() {
    for case in cases() {
        let mut state = LeaseState::default();
        let outcomes: Vec<LeaseOutcome> =
            case.records.iter().map(|(o, t, r)| state.apply(*o, *t, r)).collect();
        assert_eq!(outcomes, case.outcomes, "{}", case.name);
        let held = state.lease().map(|h| (h.holder.as_str(), h.fence));
        assert_eq!(held, case.holder, "{}", case.name);
    }
}

#[test]
fn a_holder_paused_past_its_lease_gives_no_order() {
    let start = Instant::now();
    let mut client = LeaseClient::new("a".into(), 1, LeaseTimes::default());
    let record = client.due(start, true, 1).expect("the lease is free");
    client.record(0, 50, &record, start + Duration::from_millis(60));
    let later = start + Duration::from_secs(1);
    assert_eq!(client.may_order(later, true), Some(0));
    assert_eq!(
        client.may_order(later, false),
        None,
        "orders of the previous holder may still arrive"
    );
    assert_eq!(client.may_order(start + Duration::from_secs(2), false), Some(0));
    let after_pause = start + Duration::from_hours(1);
    assert_eq!(client.may_order(after_pause, true), None);
    assert_eq!(client.may_order(after_pause, false), None);
}

/// Step of a simulation of three daemons with one log.
#[derive(Clone, Debug)]
enum Step {
    /// Time advances, in milliseconds.
    Advance(u64),
    /// A daemon sends the record that is due; it arrives at the log after `delay` milliseconds.
    Send { daemon: usize, delay: u64 },
    /// A daemon sends the record that is due; it never arrives.
    SendLost { daemon: usize },
    /// A daemon reads up to `count` records.
    Read { daemon: usize, count: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1..4_000_u64).prop_map(Step::Advance),
        4 => (0..3_usize, 0..3_000_u64).prop_map(|(daemon, delay)| Step::Send { daemon, delay }),
        1 => (0..3_usize).prop_map(|daemon| Step::SendLost { daemon }),
        5 => (0..3_usize, 1..5_usize).prop_map(|(daemon, count)| Step::Read { daemon, count }),
    ]
}

/// Daemons, the log and the records in flight to it.
struct Simulation {
    start: Instant,
    now: u64,
    in_flight: Vec<(u64, LeaseRecord)>,
    log: Vec<(u64, LeaseRecord)>,
    daemons: Vec<LeaseClient>,
    nonce: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let client = |i: usize| LeaseClient::new(format!("host-{i}"), 1, LeaseTimes::default());
        let daemons = (0..3).map(client).collect();
        let start = Instant::now();
        Simulation { start, now: 0, in_flight: Vec::new(), log: Vec::new(), daemons, nonce: 0 }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Advance(millis) => self.now += millis,
            Step::Send { daemon, delay } => {
                if let Some(record) = self.due(*daemon) {
                    self.in_flight.push((self.now + delay, record));
                }
            }
            Step::SendLost { daemon } => drop(self.due(*daemon)),
            Step::Read { daemon, count } => self.read(*daemon, *count),
        }
        self.deliver();
    }

    fn due(&mut self, daemon: usize) -> Option<LeaseRecord> {
        self.nonce += 1;
        let now = self.at(self.now);
        self.daemons[daemon].due(now, true, self.nonce)
    }

    fn deliver(&mut self) {
        self.in_flight.sort_by_key(|(time, _)| *time);
        let delivered = self.in_flight.iter().take_while(|(time, _)| *time <= self.now).count();
        self.log.extend(self.in_flight.drain(..delivered));
    }

    fn read(&mut self, daemon: usize, count: usize) {
        let now = self.at(self.now);
        let from = self.daemons[daemon].state().next_offset() as usize;
        for (offset, (time, record)) in self.log.iter().enumerate().skip(from).take(count) {
            self.daemons[daemon].record(offset as Offset, *time, record, now);
        }
    }

    /// State after all records of the log.
    fn log_state(&self) -> LeaseState {
        let mut state = LeaseState::default();
        for (offset, (time, record)) in self.log.iter().enumerate() {
            state.apply(offset as Offset, *time, record);
        }
        state
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn only_the_holder_orders_and_fences_grow(steps in proptest::collection::vec(step(), 1..80)) {
        let mut sim = Simulation::new();
        let mut highest = 0;
        for step in &steps {
            sim.apply(step);
            let now = sim.at(sim.now);
            let actual = sim.log_state();
            let senders: Vec<(usize, Fence)> = (0..3)
                .filter_map(|i| Some((i, sim.daemons[i].may_order(now, true)?)))
                .collect();
            prop_assert!(senders.len() <= 1, "two holders: {senders:?}");
            if let Some((daemon, fence)) = senders.first() {
                let held = actual.lease().expect("the lease is held");
                prop_assert_eq!(&held.holder, &format!("host-{daemon}"));
                prop_assert_eq!(held.fence, *fence);
                prop_assert!(sim.now < held.until, "order after expiry");
                prop_assert!(*fence >= highest, "fencing token decreased");
                highest = *fence;
            }
        }
    }
}
