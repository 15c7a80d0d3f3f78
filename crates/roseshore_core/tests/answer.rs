//! An answer under every fault at every step, and under any order of events.

#[path = "answer/faults.rs"]
mod faults;
#[path = "answer/ops.rs"]
mod ops;
#[path = "answer/world.rs"]
mod world;

use faults::*;
use ops::op;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore_core::answer::Input;
use roseshore_core::answer::lineage::{self, ExpectedLineage, LineageError, Stage, Stamp};
use roseshore_core::answer::timeout::{SilenceTimeout, TimeoutSettings};
use roseshore_core::prelude::*;
use world::{RANGES, REPLICAS, State, World};

#[test]
fn every_fault_at_every_step_ends_whole() {
    for fault in FAULTS {
        for step in STEPS {
            let case = format!("{} at {}", fault.name, step.name);
            let mut world = World::new(settings());
            if step.name == "before open" {
                (fault.apply)(&mut world);
                world.run_actions();
            } else {
                world.run_actions();
                assert!(run_until(&mut world, step), "{case}: the step was never reached");
                (fault.apply)(&mut world);
            }
            world.run_to_end();
            assert_whole(&world, &case);
        }
    }
}

#[test]
fn every_pair_of_faults_ends_whole() {
    for first in FAULTS {
        for step in STEPS.iter().skip(1) {
            for second in FAULTS {
                for again in SECOND_FAULT_STEPS {
                    let case = format!(
                        "{} at {}, then {} {}",
                        first.name, step.name, second.name, again.name
                    );
                    let mut world = World::new(settings());
                    world.run_actions();
                    run_until(&mut world, step);
                    (first.apply)(&mut world);
                    if run_until(&mut world, again) {
                        (second.apply)(&mut world);
                        world.run_to_end();
                    }
                    assert_whole(&world, &case);
                }
            }
        }
    }
}

struct RefusalCase {
    name: &'static str,
    before: Change,
    input: Option<Input>,
    verdict: Verdict,
    code: Code,
}

fn set_all(world: &mut World, range: usize, state: State) {
    world.engines[range].iter_mut().for_each(|e| e.state = state);
}

#[test]
fn a_refusal_says_truly_whether_it_ran() {
    let cases = [
        RefusalCase {
            name: "every first stage dead",
            before: |w| set_all(w, 0, State::Dead),
            input: None,
            verdict: Verdict::NotRun,
            code: Code::NoRoute,
        },
        RefusalCase {
            name: "every first stage full",
            before: |w| set_all(w, 0, State::Busy),
            input: None,
            verdict: Verdict::NotRun,
            code: Code::QueueFull,
        },
        RefusalCase {
            name: "every first stage holds another version",
            before: |w| set_all(w, 0, State::OtherVersion),
            input: None,
            verdict: Verdict::NotRun,
            code: Code::TargetMismatch,
        },
        RefusalCase {
            name: "every first stage frozen",
            before: |w| set_all(w, 0, State::Frozen),
            input: None,
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
        RefusalCase {
            name: "every last stage dead",
            before: |w| set_all(w, 2, State::Dead),
            input: None,
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
        RefusalCase {
            name: "caller left while opening",
            before: |_| {},
            input: Some(Input::CallerLeft),
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
        RefusalCase {
            name: "denied after a first attempt that was not reached",
            before: |w| {
                w.deny = true;
                set_all(w, 0, State::Dead);
            },
            input: None,
            verdict: Verdict::NotRun,
            code: Code::RetryBudget,
        },
        RefusalCase {
            name: "denied after a first attempt that was silent",
            before: |w| {
                w.deny = true;
                set_all(w, 0, State::Frozen);
            },
            input: None,
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
    ];
    for case in cases {
        let mut world = World::new(settings());
        (case.before)(&mut world);
        world.run_actions();
        if let Some(input) = case.input {
            world.feed(input);
        }
        world.run_to_end();
        let Some(Err(refusal)) = &world.end else {
            panic!("{}: {:?}", case.name, world.end);
        };
        assert_eq!((refusal.verdict, refusal.code), (case.verdict, case.code), "{}", case.name);
    }
}

/// All engines of one layer range fail at a given step.
struct Outage {
    name: &'static str,
    step: &'static str,
    /// Index into [`RANGES`].
    range: usize,
    /// How long the engines are dead; `None` if they do not come back.
    duration_ms: Option<u64>,
    /// Code of the refusal and its latest time after the failure, in milliseconds; `None` if the
    /// answer completes.
    refused: Option<(Code, u64)>,
}

/// Guards against refusing an answer that has begun while its targets are out of use for a short
/// time.
#[test]
fn an_answer_that_has_begun_waits_for_a_chain() {
    let cases = [
        Outage {
            name: "short outage",
            step: "middle token",
            range: 1,
            duration_ms: Some(400),
            refused: None,
        },
        Outage {
            name: "long outage",
            step: "first token",
            range: 2,
            duration_ms: Some(2_500),
            refused: None,
        },
        Outage {
            name: "permanent outage",
            step: "middle token",
            range: 1,
            duration_ms: None,
            refused: Some((Code::TargetLost, 3_500)),
        },
        Outage {
            name: "permanent outage before the answer began",
            step: "before open",
            range: 0,
            duration_ms: None,
            refused: Some((Code::NoRoute, 100)),
        },
    ];
    for case in cases {
        let mut world = World::new(settings());
        let step = STEPS.iter().find(|step| step.name == case.step).expect("a known step");
        if step.name != "before open" {
            world.run_actions();
            assert!(run_until(&mut world, step), "{}", case.name);
        }
        let start = world.now;
        set_all(&mut world, case.range, State::Dead);
        world.run_actions();
        let recovery = case.duration_ms.map(|ms| start + Duration::from_millis(ms));
        while world.end.is_none() {
            if recovery.is_some_and(|at| world.now >= at) {
                set_all(&mut world, case.range, State::Live);
                world.failed.clear();
            }
            world.step();
        }
        let Some((code, limit_ms)) = case.refused else {
            assert_whole(&world, case.name);
            continue;
        };
        let Some(Err(refusal)) = &world.end else { panic!("{}: {:?}", case.name, world.end) };
        assert_eq!(refusal.code, code, "{}", case.name);
        assert!(world.now <= start + Duration::from_millis(limit_ms), "{}", case.name);
    }
}

#[test]
fn an_answer_that_has_not_begun_waits_for_a_chain_that_is_due_back() {
    struct Case {
        name: &'static str,
        /// When the router says to ask again, in milliseconds.
        retry_ms: u64,
        /// How long the first stages are dead.
        outage_ms: u64,
        /// The latest time of the refusal in milliseconds; `None` if the answer completes.
        refused_by: Option<u64>,
    }
    let cases = [
        Case { name: "due back", retry_ms: 100, outage_ms: 400, refused_by: None },
        Case { name: "does not come", retry_ms: 100, outage_ms: 60_000, refused_by: Some(3_500) },
        Case { name: "not due", retry_ms: 1_000, outage_ms: 400, refused_by: Some(100) },
    ];
    for case in cases {
        let mut world = World::new(settings());
        world.chain_retry = Duration::from_millis(case.retry_ms);
        let start = world.now;
        set_all(&mut world, 0, State::Dead);
        world.run_actions();
        while world.end.is_none() {
            if world.now >= start + Duration::from_millis(case.outage_ms) {
                set_all(&mut world, 0, State::Live);
                world.failed.clear();
            }
            world.step();
        }
        let Some(limit) = case.refused_by else {
            assert_whole(&world, case.name);
            continue;
        };
        let Some(Err(refusal)) = &world.end else { panic!("{}: {:?}", case.name, world.end) };
        assert_eq!(refusal.code, Code::NoRoute, "{}", case.name);
        assert_eq!(refusal.verdict, Verdict::NotRun, "{}", case.name);
        assert!(world.now <= start + Duration::from_millis(limit), "{}", case.name);
    }
}

#[test]
fn a_deadline_ends_the_answer_at_once() {
    for step in STEPS.iter().skip(1) {
        let mut world = World::new(settings());
        world.run_actions();
        assert!(run_until(&mut world, step), "{}", step.name);
        world.now += Duration::from_mins(1);
        world.feed(Input::Tick);
        let Some(Err(refusal)) = &world.end else {
            panic!("{}: {:?}", step.name, world.end);
        };
        assert_eq!(refusal.code, Code::DeadlinePassed, "{}", step.name);
        assert_eq!(refusal.verdict, Verdict::MayHaveRun, "{}", step.name);
    }
}

#[test]
fn a_leaving_stage_hands_its_cache_over() {
    struct Case {
        name: &'static str,
        before: Change,
        warm: &'static [bool],
    }
    let cases = [
        Case { name: "cache moved", before: |_| {}, warm: &[false, true] },
        Case {
            name: "receiver dead",
            before: |w| w.engines[0][1].state = State::Dead,
            warm: &[false, false, false],
        },
        Case {
            name: "nowhere to go",
            before: |w| {
                for at in 1..REPLICAS {
                    let name = w.engines[0][at].name.clone();
                    w.feed(Input::Leaving(name));
                }
                w.engines[0].truncate(1);
            },
            warm: &[false],
        },
    ];
    for case in cases {
        let mut world = World::new(settings());
        world.run_actions();
        assert!(run_until(&mut world, &STEPS[4]));
        (case.before)(&mut world);
        let target = current(&world, 0);
        world.feed(Input::Leaving(target));
        world.run_to_end();
        assert_whole(&world, case.name);
        assert_eq!(world.warm, case.warm, "{}", case.name);
    }
}

#[test]
fn a_cut_stream_goes_on_with_the_caches_where_they_are() {
    let mut world = World::new(settings());
    world.run_actions();
    assert!(run_until(&mut world, &STEPS[4]));
    let before = world.route.clone();
    world.cut();
    world.run_to_end();
    assert_whole(&world, "cut");
    assert_eq!(world.warm, [false, true]);
    assert_eq!(world.route, before);
}

#[test]
fn a_cut_stream_reopens_within_the_token_timeout() {
    let mut world = World::new(settings());
    world.run_actions();
    assert!(run_until(&mut world, &STEPS[4]));
    let before = world.now;
    world.cut();
    set(&mut world, 0, State::Frozen);
    assert!(run_until(&mut world, &Step { name: "third route", reached: |w| w.epoch == 3 }));
    let took = world.now - before;
    assert!(took < TimeoutSettings::default().open, "{took:?}");
    world.run_to_end();
    assert_whole(&world, "frozen after the cut");
}

#[test]
fn only_the_stage_at_fault_is_replaced() {
    struct Case {
        name: &'static str,
        apply: Change,
        route: [&'static str; 3],
        /// Whether resuming is charged to the retry budget.
        charged: bool,
    }
    let cases = [
        Case {
            name: "frozen, found by a probe",
            apply: |w| set(w, 1, State::Frozen),
            route: ["e00", "e11", "e20"],
            charged: false,
        },
        Case {
            name: "two frozen at once",
            apply: |w| [1, 2].into_iter().for_each(|range| set(w, range, State::Frozen)),
            route: ["e00", "e11", "e21"],
            charged: false,
        },
        Case {
            name: "named by the engine",
            apply: |w| set(w, 2, State::Dead),
            route: ["e00", "e10", "e21"],
            charged: false,
        },
        Case {
            name: "restarted, found by a probe",
            apply: |w| restart(w, 1),
            route: ["e00", "e11", "e20"],
            charged: false,
        },
        Case {
            name: "ran another version",
            apply: |w| forge(w, |l| l[2].version.push('x')),
            route: ["e00", "e10", "e21"],
            charged: false,
        },
        Case {
            name: "silent though all answer probes",
            apply: |w| w.mute(),
            route: ["e01", "e11", "e21"],
            charged: true,
        },
    ];
    for case in cases {
        let mut world = World::new(settings());
        world.run_actions();
        assert!(run_until(&mut world, &STEPS[4]));
        (case.apply)(&mut world);
        world.run_to_end();
        assert_whole(&world, case.name);
        let route = world.route.iter().map(|s| s.target.as_str()).collect::<Vec<_>>();
        assert_eq!(route, case.route, "{}", case.name);
        assert_eq!(world.charged, case.charged, "{}", case.name);
    }
}

#[test]
fn a_silent_stage_is_given_up_once_probed_unless_a_token_came() {
    struct Case {
        name: &'static str,
        token: bool,
        epoch: Epoch,
    }
    let cases = [
        Case { name: "no token since", token: false, epoch: 2 },
        Case { name: "a token since", token: true, epoch: 1 },
    ];
    for case in cases {
        let mut world = World::new(settings());
        world.run_actions();
        assert!(run_until(&mut world, &STEPS[4]));
        set(&mut world, 1, State::Frozen);
        world.now = world.answer.next_tick();
        world.feed(Input::Tick);
        let results = std::mem::take(&mut world.queue);
        assert_eq!(results.len(), RANGES.len(), "{}: every stage is probed", case.name);
        set(&mut world, 1, State::Live);
        if case.token {
            let token = world.token(1, world.delivered.len() as u32);
            world.feed(Input::Line("own".to_owned(), 1, token));
        }
        for result in results {
            world.feed(result);
        }
        assert_eq!(world.epoch, case.epoch, "{}", case.name);
        world.run_to_end();
        assert_whole(&world, case.name);
    }
}

#[test]
fn time_that_the_caller_took_is_not_silence() {
    let mut world = World::new(settings());
    world.run_actions();
    assert!(run_until(&mut world, &STEPS[4]));
    world.now += Duration::from_secs(30);
    world.answer.restart_timeout(world.now);
    world.feed(Input::Tick);
    world.run_to_end();
    assert_whole(&world, "held up");
    assert_eq!(world.epoch, 1);
}

#[test]
fn the_timeout_follows_prediction_and_observation() {
    struct Case {
        name: &'static str,
        token_interval: u64,
        intervals: &'static [u64],
        doublings: u32,
        bound: std::ops::RangeInclusive<u64>,
    }
    let cases = [
        Case { name: "floor", token_interval: 5, intervals: &[], doublings: 0, bound: 200..=200 },
        Case {
            name: "prediction",
            token_interval: 100,
            intervals: &[],
            doublings: 0,
            bound: 400..=400,
        },
        Case {
            name: "slower than predicted",
            token_interval: 5,
            intervals: &[300; 40],
            doublings: 0,
            bound: 300..=450,
        },
        Case {
            name: "uneven",
            token_interval: 20,
            intervals: &[10, 90, 10, 90, 10, 90],
            doublings: 0,
            bound: 200..=260,
        },
        Case {
            name: "given up twice",
            token_interval: 5,
            intervals: &[],
            doublings: 2,
            bound: 800..=800,
        },
        Case {
            name: "ceiling",
            token_interval: 5,
            intervals: &[],
            doublings: 9,
            bound: 6400..=6400,
        },
    ];
    for case in cases {
        let mut timeout = SilenceTimeout::new(TimeoutSettings::default());
        timeout.set_prediction(Duration::ZERO, Duration::from_millis(case.token_interval));
        case.intervals.iter().for_each(|g| timeout.observe(Duration::from_millis(*g)));
        (0..case.doublings).for_each(|_| timeout.back_off());
        let bound = timeout.decode().as_millis() as u64;
        assert!(case.bound.contains(&bound), "{}: {bound} ms", case.name);
    }
}

/// Random stamps; the check must agree with a plain comparison of each stamp.
fn stamps() -> impl Strategy<Value = Vec<Stamp>> {
    let stamp = (0..4_u8, 0..3_u64, 0..13_u16, 0..13_u16, 1..3_u32, 0..2_u8).prop_map(
        |(target, incarnation, first, end, epoch, version)| Stamp {
            target: format!("e{target}0"),
            incarnation,
            layers: (first, end),
            epoch,
            version: format!("v{version}"),
        },
    );
    proptest::collection::vec(stamp, 0..5)
}

/// Uses a fixed seed, so that every run tests the same cases.
fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1024, ..config() })]

    #[test]
    fn only_the_routes_own_lineage_passes(forged in stamps(), swap in 0..3_usize, at in 0..3_usize) {
        let stage = |(at, layers): (usize, (Layer, Layer))| Stage {
            target: format!("e{at}0"), addr: ([127, 0, 0, 1], 1).into(), layers, incarnation: 1,
        };
        let stages = RANGES.into_iter().enumerate().map(stage).collect::<Vec<_>>();
        let expected = ExpectedLineage { stages: &stages, layers: 12, epoch: 2, version: "v1" };
        let valid = stages.iter().map(|s| Stamp {
            target: s.target.clone(), incarnation: 1, layers: s.layers, epoch: 2,
            version: "v1".to_owned(),
        }).collect::<Vec<_>>();
        prop_assert_eq!(lineage::check(&valid, &expected), Ok(()));
        prop_assert_eq!(lineage::check(&forged, &expected).is_ok(), forged == valid);
        let mut mixed = valid.clone();
        if let Some(stamp) = forged.first() {
            mixed[at] = stamp.clone();
        }
        mixed.swap(swap, at);
        let verdict: Result<(), LineageError> = lineage::check(&mixed, &expected);
        prop_assert_eq!(verdict.is_ok(), mixed == valid);
    }

    #[test]
    fn any_order_of_events_keeps_the_invariants(ops in proptest::collection::vec(op(), 0..60)) {
        let mut world = World::new(settings());
        world.run_actions();
        for op in ops {
            if world.end.is_some() {
                break;
            }
            op.apply(&mut world);
        }
        if world.end.is_none() {
            world.run_to_end();
        }
        // Events after the end change nothing.
        world.feed(Input::Tick);
        world.feed(Input::Opened(1));
    }
}
