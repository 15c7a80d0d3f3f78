//! The lease for orders: one holder at a time, whatever is lost, paused or repeated.

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
    folded: Vec<LeaseOutcome>,
    holder: Option<(&'static str, Fence)>,
}

fn cases() -> Vec<Case> {
    use LeaseOutcome::{Accepted, Repeat, Void};
    vec![
        Case {
            name: "two writers at once, the first in the log wins",
            records: vec![(0, 0, take("a", 1)), (1, 0, take("b", 2))],
            folded: vec![Accepted, Void],
            holder: Some(("a", 0)),
        },
        Case {
            name: "a lease that ran out by the log's clock is taken over",
            records: vec![(0, 0, take("a", 1)), (1, TTL, take("b", 2))],
            folded: vec![Accepted, Accepted],
            holder: Some(("b", 1)),
        },
        Case {
            name: "a renewal keeps the fencing number",
            records: vec![(0, 0, take("a", 1)), (1, TTL - 1, renew(0)), (2, TTL, take("b", 2))],
            folded: vec![Accepted, Accepted, Void],
            holder: Some(("a", 0)),
        },
        Case {
            name: "a renewal that comes after the end is void",
            records: vec![(0, 0, take("a", 1)), (1, TTL, renew(0)), (2, TTL, take("b", 2))],
            folded: vec![Accepted, Void, Accepted],
            holder: Some(("b", 2)),
        },
        Case {
            name: "a paused holder's renewal does not touch its successor",
            records: vec![(0, 0, take("a", 1)), (1, TTL, take("b", 2)), (2, TTL + 1, renew(0))],
            folded: vec![Accepted, Accepted, Void],
            holder: Some(("b", 1)),
        },
        Case {
            name: "a release frees the lease at once",
            records: vec![
                (0, 0, take("a", 1)),
                (1, 1, LeaseRecord::Release { fence: 0 }),
                (2, 2, take("b", 2)),
            ],
            folded: vec![Accepted, Accepted, Accepted],
            holder: Some(("b", 2)),
        },
        Case {
            name: "a record read twice counts once",
            records: vec![(0, 0, take("a", 1)), (0, 0, take("a", 1)), (1, 1, take("b", 2))],
            folded: vec![Accepted, Repeat, Void],
            holder: Some(("a", 0)),
        },
    ]
}

#[test]
fn folds() {
    for case in cases() {
        let mut state = LeaseState::default();
        let folded: Vec<LeaseOutcome> =
            case.records.iter().map(|(o, t, r)| state.apply(*o, *t, r)).collect();
        assert_eq!(folded, case.folded, "{}", case.name);
        let held = state.lease().map(|h| (h.holder.as_str(), h.fence));
        assert_eq!(held, case.holder, "{}", case.name);
    }
}

#[test]
fn a_holder_paused_past_its_lease_gives_no_order() {
    let start = Instant::now();
    let mut client = LeaseClient::new("a".into(), 1, LeaseTimes::default());
    let record = client.due(start, true, 1).expect("nobody holds it");
    client.record(0, 50, &record, start + Duration::from_millis(60));
    let awake = start + Duration::from_secs(1);
    assert_eq!(client.may_order(awake, true), Some(0));
    assert_eq!(client.may_order(awake, false), None, "the last holder's orders may still land");
    assert_eq!(client.may_order(start + Duration::from_secs(2), false), Some(0));
    let paused = start + Duration::from_hours(1);
    assert_eq!(client.may_order(paused, true), None);
    assert_eq!(client.may_order(paused, false), None);
}

/// One step of a run of three daemons on one log.
#[derive(Clone, Debug)]
enum Step {
    /// Time goes on, milliseconds.
    Pass(u64),
    /// A daemon wakes, sends what is due, and the record takes this long to the log.
    Wake { daemon: usize, delay: u64 },
    /// A daemon's record is sent and never arrives.
    Lost { daemon: usize },
    /// A daemon reads some records.
    Read { daemon: usize, count: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1..4_000_u64).prop_map(Step::Pass),
        4 => (0..3_usize, 0..3_000_u64).prop_map(|(daemon, delay)| Step::Wake { daemon, delay }),
        1 => (0..3_usize).prop_map(|daemon| Step::Lost { daemon }),
        5 => (0..3_usize, 1..5_usize).prop_map(|(daemon, count)| Step::Read { daemon, count }),
    ]
}

/// The log with records on their way to it.
struct World {
    start: Instant,
    now: u64,
    flying: Vec<(u64, LeaseRecord)>,
    log: Vec<(u64, LeaseRecord)>,
    daemons: Vec<LeaseClient>,
    nonce: u64,
}

impl World {
    fn new() -> World {
        let client = |i: usize| LeaseClient::new(format!("host-{i}"), 1, LeaseTimes::default());
        let daemons = (0..3).map(client).collect();
        let start = Instant::now();
        World { start, now: 0, flying: Vec::new(), log: Vec::new(), daemons, nonce: 0 }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Pass(millis) => self.now += millis,
            Step::Wake { daemon, delay } => {
                if let Some(record) = self.due(*daemon) {
                    self.flying.push((self.now + delay, record));
                }
            }
            Step::Lost { daemon } => drop(self.due(*daemon)),
            Step::Read { daemon, count } => self.read(*daemon, *count),
        }
        self.land();
    }

    fn due(&mut self, daemon: usize) -> Option<LeaseRecord> {
        self.nonce += 1;
        let now = self.at(self.now);
        self.daemons[daemon].due(now, true, self.nonce)
    }

    fn land(&mut self) {
        self.flying.sort_by_key(|(time, _)| *time);
        let landed = self.flying.iter().take_while(|(time, _)| *time <= self.now).count();
        self.log.extend(self.flying.drain(..landed));
    }

    fn read(&mut self, daemon: usize, count: usize) {
        let now = self.at(self.now);
        let from = self.daemons[daemon].state().next_offset() as usize;
        for (offset, (time, record)) in self.log.iter().enumerate().skip(from).take(count) {
            self.daemons[daemon].record(offset as Offset, *time, record, now);
        }
    }

    /// The lease by a reader who has read everything.
    fn truth(&self) -> LeaseState {
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
    fn only_the_true_holder_orders_and_fences_grow(steps in proptest::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        let mut highest = 0;
        for step in &steps {
            world.apply(step);
            let now = world.at(world.now);
            let truth = world.truth();
            let givers: Vec<(usize, Fence)> = (0..3)
                .filter_map(|i| Some((i, world.daemons[i].may_order(now, true)?)))
                .collect();
            prop_assert!(givers.len() <= 1, "two holders: {givers:?}");
            if let Some((daemon, fence)) = givers.first() {
                let held = truth.lease().expect("somebody holds it");
                prop_assert_eq!(&held.holder, &format!("host-{daemon}"));
                prop_assert_eq!(held.fence, *fence);
                prop_assert!(world.now < held.until, "ordered past the end");
                prop_assert!(*fence >= highest, "a fencing number fell");
                highest = *fence;
            }
        }
    }
}
