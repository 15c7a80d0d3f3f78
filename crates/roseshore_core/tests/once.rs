//! At-most-once execution: the folded state of a key, and any interleaving of daemons, faults of
//! the log and callers.

// Shared by two test programs, each of which leaves a part of it unused.
#[allow(dead_code)]
#[path = "once/simulation.rs"]
mod simulation;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore_core::once::key_time::created_at;
use roseshore_core::once::keys::{Keys, State};
use roseshore_core::once::partition::Decision;
use roseshore_core::once::record::{Act, Nonce, Record, Settlement};
use roseshore_core::once::{Outcome, ReadSize};
use roseshore_core::prelude::*;
use simulation::*;

fn daemon() -> impl Strategy<Value = usize> {
    0..DAEMONS
}

fn fault() -> impl Strategy<Value = AppendFault> {
    prop_oneof![
        6 => Just(AppendFault::None),
        1 => Just(AppendFault::RateLimited),
        1 => Just(AppendFault::Unreachable),
        1 => Just(AppendFault::LostBefore),
        2 => Just(AppendFault::LostAfter),
        2 => Just(AppendFault::LostLater),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let verdict = prop_oneof![
        3 => Just(Verdict::Answered),
        1 => Just(Verdict::MayHaveRun),
        1 => Just(Verdict::NotRun),
    ];
    prop_oneof![
        5 => (daemon(), any::<bool>()).prop_map(|(d, timed)| Step::Begin(d, timed)),
        1 => daemon().prop_map(Step::Reuse),
        8 => (daemon(), fault()).prop_map(|(d, fault)| Step::Append(d, fault)),
        8 => (daemon(), prop::bool::weighted(0.8)).prop_map(|(d, works)| Step::Read(d, works)),
        5 => daemon().prop_map(Step::Dispatch),
        3 => (daemon(), verdict).prop_map(|(d, verdict)| Step::RecordOutcome(d, verdict)),
        1 => daemon().prop_map(Step::Abandon),
        2 => Just(Step::DeliverLate),
        3 => prop_oneof![Just(10), Just(600), Just(6000), Just(70_000)].prop_map(Step::Advance),
        1 => prop_oneof![Just(600), Just(6000)].prop_map(Step::Freeze),
        1 => daemon().prop_map(Step::Replace),
        1 => Just(Step::Trim),
        1 => Just(Step::Members),
        3 => (daemon(), any::<bool>()).prop_map(|(d, timed)| Step::Operator(d, timed)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        max_shrink_iters: 20_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Under any interleaving and any faults, no key runs twice, "not run" is true, and repeated
    /// answers are equal.
    #[test]
    fn any_interleaving(steps in prop::collection::vec(step(), 1..120)) {
        let mut sim = Simulation::new();
        for step in steps {
            sim.step(step);
        }
        sim.run_until_idle();
        sim.step(Step::Members);
        sim.step(Step::Advance(11_000));
        sim.run_until_idle();
        for daemon in &sim.daemons {
            prop_assert!(daemon.attempts.is_empty(), "an attempt was never answered");
            prop_assert!(daemon.machine.is_idle(), "work is left over");
        }
    }

    /// Without faults, a key runs exactly once, and every other attempt gets the recorded answer.
    #[test]
    fn exactly_once(begins in prop::collection::vec((daemon(), any::<bool>(), 0..30_u64), 1..20)) {
        let mut sim = Simulation::new();
        for (d, timed, pause) in begins {
            sim.step(Step::Begin(d, timed));
            sim.step(Step::Advance(pause));
            let other = (d + 1) % DAEMONS;
            sim.step(Step::Append(other, AppendFault::None));
            sim.step(Step::Read(other, true));
        }
        sim.run_until_idle();
        for (key, decision) in &sim.decisions {
            let allowed = matches!(decision, Decision::Won(_) | Decision::Replay(_));
            prop_assert!(allowed, "{}: {:?}", key, decision);
        }
        let once = sim.dispatches.values().all(|dispatches| dispatches.len() == 1);
        prop_assert!(once, "{:?}", sim.dispatches);
    }
}

fn claim(nonce: Nonce) -> Act {
    Act::Claim { owner: owner(nonce as usize, 1), digest: 7, left: 0 }
}

fn outcome(text: &str) -> Act {
    Act::Outcome { digest: 7, outcome: answer(text), whole: true }
}

fn unanswered(verdict: Verdict) -> Act {
    Act::Outcome { digest: 7, outcome: Outcome { verdict, ..answer("") }, whole: true }
}

#[test]
fn fold_of_a_key() {
    struct Case {
        name: &'static str,
        records: Vec<(Nonce, Act)>,
        state: &'static str,
    }
    let settlement =
        Settlement { operator: "op".into(), note: "looked".into(), ran: true, claim: Some(1) };
    let ran = || Act::Settle(settlement.clone());
    let cases = [
        Case {
            name: "first claim holds",
            records: vec![(1, claim(1)), (2, claim(2))],
            state: "held 1",
        },
        Case {
            name: "own abandonment frees",
            records: vec![(1, claim(1)), (1, Act::Abandon)],
            state: "free",
        },
        Case {
            name: "another's abandonment does not",
            records: vec![(1, claim(1)), (2, claim(2)), (2, Act::Abandon)],
            state: "held 1",
        },
        Case {
            name: "a claim that came in between stays void",
            records: vec![(1, claim(1)), (2, claim(2)), (1, Act::Abandon), (2, claim(2))],
            state: "free",
        },
        Case {
            name: "a new claim after the release holds",
            records: vec![(1, claim(1)), (2, claim(2)), (1, Act::Abandon), (3, claim(3))],
            state: "held 3",
        },
        Case {
            name: "a claim that lands after its abandonment is void",
            records: vec![(1, Act::Abandon), (1, claim(1))],
            state: "free",
        },
        Case {
            name: "a claim sent twice is one",
            records: vec![(1, claim(1)), (1, claim(1)), (1, Act::Abandon), (1, claim(1))],
            state: "free",
        },
        Case {
            name: "first outcome stays",
            records: vec![(1, claim(1)), (1, outcome("a")), (1, outcome("b"))],
            state: "settled a",
        },
        Case {
            name: "no claim after an outcome",
            records: vec![(1, claim(1)), (1, outcome("a")), (1, Act::Abandon), (2, claim(2))],
            state: "settled a",
        },
        Case {
            name: "an outcome proves a claim that is no longer kept",
            records: vec![(2, claim(2)), (1, outcome("a"))],
            state: "settled a",
        },
        Case {
            name: "not run frees",
            records: vec![(1, claim(1)), (1, unanswered(Verdict::NotRun))],
            state: "free",
        },
        Case {
            name: "may have run is not free",
            records: vec![(1, claim(1)), (1, unanswered(Verdict::MayHaveRun)), (2, claim(2))],
            state: "unknown 1",
        },
        Case {
            name: "an operator settles what is unknown",
            records: vec![(1, claim(1)), (1, unanswered(Verdict::MayHaveRun)), (9, ran())],
            state: "ran",
        },
        Case {
            name: "an operator's settlement precedes a late outcome",
            records: vec![(1, claim(1)), (9, ran()), (1, outcome("late"))],
            state: "ran",
        },
    ];
    for case in cases {
        let mut keys = Keys::new(100);
        for (at, (nonce, act)) in case.records.into_iter().enumerate() {
            let record = Record { key: PLAIN_KEY.into(), nonce, act };
            // Records are a minute apart, so that a claim with no time left can be settled by the
            // next one.
            keys.apply(at as Offset, LOG_START + at as u64 * 60_000, &record.line());
        }
        let state = match keys.state(&PLAIN_KEY.into()) {
            State::Ran(_) => "ran".into(),
            State::Free => "free".into(),
            State::Held(held) => format!("held {}", held.nonce),
            State::Unknown(held) => format!("unknown {}", held.nonce),
            State::Recorded(settled) => {
                let outcome = settled.outcome.as_ref().expect("the bodies are short");
                format!("settled {}", String::from_utf8_lossy(&outcome.body))
            }
        };
        assert_eq!(state, case.state, "{}", case.name);
    }
}

#[test]
fn time_in_a_key() {
    struct Case {
        name: &'static str,
        key: &'static str,
        created_at: Option<u64>,
    }
    let cases = [
        Case {
            name: "uuid 7",
            key: "o/s/017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
            created_at: Some(0x017f_22e2_79b0),
        },
        Case { name: "uuid 4", key: "o/s/017f22e2-79b0-4cc3-98c4-dc0c0c07398f", created_at: None },
        Case {
            name: "wrong variant",
            key: "o/s/017f22e2-79b0-7cc3-c8c4-dc0c0c07398f",
            created_at: None,
        },
        Case { name: "not hex", key: "o/s/017f22e2-79b0-7cc3-98c4-dc0c0c07398z", created_at: None },
        Case { name: "stamped", key: TIMED_KEY, created_at: Some(LOG_START) },
        Case { name: "stamp is no number", key: "o/s/a@b", created_at: None },
        Case { name: "plain", key: PLAIN_KEY, created_at: None },
        Case { name: "ulid is no proof", key: "o/s/01ARZ3NDEKTSV4RRFFQ69G5FAV", created_at: None },
    ];
    for case in cases {
        assert_eq!(created_at(case.key), case.created_at, "{}", case.name);
    }
}

#[test]
fn reach_of_the_fold() {
    struct Case {
        name: &'static str,
        oldest: Offset,
        max_records: usize,
        key: &'static str,
        covered: bool,
    }
    let cases = [
        Case {
            name: "whole stream, plain key",
            oldest: 0,
            max_records: 9,
            key: PLAIN_KEY,
            covered: true,
        },
        Case {
            name: "trimmed, plain key",
            oldest: 5,
            max_records: 9,
            key: PLAIN_KEY,
            covered: false,
        },
        Case {
            name: "trimmed, old key",
            oldest: 5,
            max_records: 9,
            key: TIMED_KEY,
            covered: false,
        },
        Case {
            name: "trimmed, key inside the skew",
            oldest: 5,
            max_records: 9,
            key: "k@1800000060000",
            covered: false,
        },
        Case {
            name: "trimmed, key past the skew",
            oldest: 5,
            max_records: 9,
            key: "k@1800000060001",
            covered: true,
        },
        Case {
            name: "memory full, plain key",
            oldest: 0,
            max_records: 1,
            key: PLAIN_KEY,
            covered: false,
        },
        Case {
            name: "memory full, key past the skew",
            oldest: 0,
            max_records: 1,
            key: "k@1800000060001",
            covered: true,
        },
    ];
    for case in cases {
        let mut keys = Keys::new(case.max_records);
        keys.restart(case.oldest);
        for nonce in 0..2 {
            let record = Record { key: format!("other{nonce}"), nonce, act: claim(nonce) };
            keys.apply(case.oldest + nonce, LOG_START, &record.line());
        }
        assert_eq!(keys.covers(&case.key.into()), case.covered, "{}", case.name);
    }
}

#[test]
fn marks_keep_the_window_open() {
    let mut sim = Simulation::new();
    let minutes = |minutes: u64| Step::Advance(minutes * 60_000);
    for step in [minutes(0), minutes(10), Step::Append(0, AppendFault::None)] {
        sim.step(step);
    }
    assert_eq!(sim.log.len(), 1, "one mark");
    // The mark is still in the log, so a daemon that starts now can judge a key created now.
    let mut keys = Keys::new(9);
    keys.restart(5);
    keys.apply(5, sim.log[0].0, &sim.log[0].1);
    assert!(keys.is_empty());
    assert!(keys.covers(&format!("k@{}", LOG_START + 12 * 60_000)));
}

#[test]
fn a_key_from_the_future_is_void() {
    let mut keys = Keys::new(9);
    let key = Key::from("k@1800000060001");
    let first = Record { key: key.clone(), nonce: 1, act: claim(1) };
    keys.apply(0, LOG_START, &first.line());
    assert_eq!((keys.state(&key), keys.is_in_future(&key)), (&State::Free, true));
    keys.apply(1, LOG_START + 1, &Record { nonce: 2, ..first }.line());
    assert!(matches!(keys.state(&key), State::Held(held) if held.nonce == 2));
}

#[test]
fn reads_grow_while_they_are_fast_and_shrink_when_they_are_slow_or_fail() {
    struct Case {
        name: &'static str,
        /// How long the log takes for a record.
        per_record: Duration,
        /// Reads that take longer fail.
        limit: Duration,
        /// Bounds on the size of the reads after the first few.
        sizes: (usize, usize),
    }
    let millis = Duration::from_millis;
    let cases = [
        Case { name: "fast", per_record: millis(0), limit: millis(2_000), sizes: (128, 128) },
        Case { name: "slow", per_record: millis(20), limit: millis(2_000), sizes: (8, 12) },
        Case { name: "slower", per_record: millis(180), limit: millis(250), sizes: (1, 1) },
        Case { name: "away", per_record: millis(300), limit: millis(200), sizes: (1, 1) },
    ];
    for case in cases {
        let mut size = ReadSize::default();
        let reads = (0..20).map(|_| {
            let records = size.records();
            let took = case.per_record * records as u32;
            size.record(Some(took).filter(|took| *took <= case.limit));
            records
        });
        for records in reads.skip(8) {
            let (least, most) = case.sizes;
            assert!((least..=most).contains(&records), "{}: {records} records", case.name);
        }
    }
}
