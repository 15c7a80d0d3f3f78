//! An answer under every fault at every step, and under any order of events.

#[path = "answer/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore_core::answer::lineage::{self, Broken, Stage, Stamp, Wanted};
use roseshore_core::answer::pace::{Pace, PaceRules};
use roseshore_core::answer::{Failure, Health, Input, Line, Rules};
use roseshore_core::prelude::*;
use world::{RANGES, REPLICAS, State, TOTAL, World};

type Change = fn(&mut World);

struct Fault {
    name: &'static str,
    apply: Change,
}

struct Step {
    name: &'static str,
    reached: fn(&World) -> bool,
}

fn set(world: &mut World, range: usize, state: State) {
    let name = current(world, range);
    world.engine_mut(&name).state = state;
}

fn current(world: &World, range: usize) -> TargetId {
    world.route.get(range).map_or(format!("e{range}0"), |s| s.target.clone())
}

fn restart(world: &mut World, range: usize) {
    let name = current(world, range);
    world.engine_mut(&name).life += 1;
}

/// A token of the current route, changed.
fn forge(world: &mut World, change: fn(&mut Vec<Stamp>)) {
    let position = world.delivered.len() as u32;
    let Line::Token { mut lineage, .. } = world.token(world.epoch, position) else {
        return;
    };
    if lineage.is_empty() {
        return;
    }
    change(&mut lineage);
    let text = "forged".to_owned();
    world.push_line(world.epoch, Line::Token { position, text, lineage });
}

fn line(world: &mut World, answer: &str, epoch: Epoch, line: Line) {
    world.queue.push_back(Input::Line(answer.to_owned(), epoch, line));
}

fn done(count: u32) -> Line {
    Line::Done { count, reason: "stop".to_owned(), cached: 0 }
}

const FAULTS: &[Fault] = &[
    Fault { name: "first stage dies", apply: |w| set(w, 0, State::Dead) },
    Fault { name: "middle stage dies", apply: |w| set(w, 1, State::Dead) },
    Fault { name: "last stage dies", apply: |w| set(w, 2, State::Dead) },
    Fault { name: "first stage freezes", apply: |w| set(w, 0, State::Frozen) },
    Fault { name: "middle stage freezes", apply: |w| set(w, 1, State::Frozen) },
    Fault { name: "last stage freezes", apply: |w| set(w, 2, State::Frozen) },
    Fault { name: "first stage full", apply: |w| set(w, 0, State::Busy) },
    Fault { name: "first stage holds another version", apply: |w| set(w, 0, State::Other) },
    Fault { name: "first stage restarts", apply: |w| restart(w, 0) },
    Fault { name: "middle stage restarts", apply: |w| restart(w, 1) },
    Fault { name: "stream cut", apply: World::cut },
    Fault {
        name: "lost, stage unknown",
        apply: |w| w.push_line(w.epoch, Line::Lost { stage: None }),
    },
    Fault { name: "layer skipped", apply: |w| forge(w, |l| drop(l.pop())) },
    Fault { name: "layer run twice", apply: |w| forge(w, |l| l[1].layers.0 -= 1) },
    Fault { name: "stages out of order", apply: |w| forge(w, |l| l.swap(0, 1)) },
    Fault { name: "another target ran", apply: |w| forge(w, |l| l[1].target.push('x')) },
    Fault { name: "another life ran", apply: |w| forge(w, |l| l[1].incarnation += 1) },
    Fault { name: "another version ran", apply: |w| forge(w, |l| l[2].version.push('x')) },
    Fault { name: "stamp of an old epoch", apply: |w| forge(w, |l| l[0].epoch = 0) },
    Fault {
        name: "token of an old epoch",
        apply: |w| forge_line(w, "own", w.epoch.wrapping_sub(1)),
    },
    Fault { name: "token of another answer", apply: |w| forge_line(w, "other", w.epoch) },
    Fault { name: "end of another answer", apply: |w| line(w, "other", w.epoch, done(0)) },
    Fault {
        name: "end of an old epoch",
        apply: |w| line(w, "own", w.epoch.wrapping_sub(1), done(0)),
    },
    Fault { name: "end with a hole", apply: |w| line(w, "own", w.epoch, done(TOTAL + 5)) },
    Fault {
        name: "end before what was delivered",
        apply: |w| {
            if let Some(count) = w.delivered.len().checked_sub(1) {
                line(w, "own", w.epoch, done(count as u32));
            }
        },
    },
    Fault {
        name: "token too far ahead",
        apply: |w| w.push_line(w.epoch, w.token(w.epoch, TOTAL + 40)),
    },
    Fault {
        name: "token delivered before",
        apply: |w| {
            if let Some(position) = w.delivered.len().checked_sub(1) {
                let mut token = w.token(w.epoch, position as u32);
                if let Line::Token { text, .. } = &mut token {
                    "again".clone_into(text);
                }
                w.push_line(w.epoch, token);
            }
        },
    },
    Fault {
        name: "first stage leaves",
        apply: |w| {
            let target = current(w, 0);
            w.queue.push_back(Input::Leaving(target));
        },
    },
];

fn forge_line(world: &mut World, answer: &str, epoch: Epoch) {
    let position = world.delivered.len() as u32;
    let mut token = world.token(world.epoch, position);
    if let Line::Token { text, .. } = &mut token {
        "forged".clone_into(text);
    }
    line(world, answer, epoch, token);
}

const STEPS: &[Step] = &[
    Step { name: "before open", reached: |_| true },
    Step { name: "opening", reached: |w| w.epoch == 1 },
    Step { name: "prefill", reached: |w| w.epoch == 1 && w.queue.is_empty() },
    Step { name: "first token", reached: |w| w.delivered.len() == 1 },
    Step { name: "middle token", reached: |w| w.delivered.len() == TOTAL as usize / 2 },
    Step { name: "last token", reached: |w| w.delivered.len() == TOTAL as usize },
];

/// When a second fault comes: once the answer has taken to another route.
const AGAIN: &[Step] = &[
    Step { name: "at the next open", reached: |w| w.epoch >= 2 },
    Step { name: "in the next prefill", reached: |w| w.epoch >= 2 && w.queue.is_empty() },
    Step {
        name: "after the next token",
        reached: |w| w.epoch >= 2 && w.delivered.last().is_some_and(|t| !t.ends_with("/1")),
    },
];

fn rules() -> Rules {
    Rules { window: 16, attempts: 6, ..Rules::default() }
}

/// Runs until a step is reached; false when the answer ended before.
fn run_until(world: &mut World, step: &Step) -> bool {
    while world.end.is_none() {
        if (step.reached)(world) {
            return true;
        }
        world.step();
    }
    false
}

fn assert_whole(world: &World, case: &str) {
    assert!(matches!(world.end, Some(Ok(_))), "{case}: {:?}", world.end);
    assert_eq!(world.delivered.len() as u32, TOTAL, "{case}");
}

#[test]
fn every_fault_at_every_step_ends_whole() {
    for fault in FAULTS {
        for step in STEPS {
            let case = format!("{} at {}", fault.name, step.name);
            let mut world = World::new(rules());
            if step.name == "before open" {
                (fault.apply)(&mut world);
                world.act();
            } else {
                world.act();
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
                for again in AGAIN {
                    let case = format!(
                        "{} at {}, then {} {}",
                        first.name, step.name, second.name, again.name
                    );
                    let mut world = World::new(rules());
                    world.act();
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

struct Verdicts {
    name: &'static str,
    before: Change,
    input: Option<Input>,
    verdict: Verdict,
    code: Code,
}

fn all(world: &mut World, range: usize, state: State) {
    world.engines[range].iter_mut().for_each(|e| e.state = state);
}

#[test]
fn a_refusal_says_truly_whether_it_ran() {
    let cases = [
        Verdicts {
            name: "every first stage dead",
            before: |w| all(w, 0, State::Dead),
            input: None,
            verdict: Verdict::NotRun,
            code: Code::NoRoute,
        },
        Verdicts {
            name: "every first stage full",
            before: |w| all(w, 0, State::Busy),
            input: None,
            verdict: Verdict::NotRun,
            code: Code::QueueFull,
        },
        Verdicts {
            name: "every first stage holds another version",
            before: |w| all(w, 0, State::Other),
            input: None,
            verdict: Verdict::NotRun,
            code: Code::TargetMismatch,
        },
        Verdicts {
            name: "every first stage frozen",
            before: |w| all(w, 0, State::Frozen),
            input: None,
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
        Verdicts {
            name: "every last stage dead",
            before: |w| all(w, 2, State::Dead),
            input: None,
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
        Verdicts {
            name: "caller left while opening",
            before: |_| {},
            input: Some(Input::CallerLeft),
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
        Verdicts {
            name: "denied after a first attempt that was not reached",
            before: |w| {
                w.deny = true;
                all(w, 0, State::Dead);
            },
            input: None,
            verdict: Verdict::NotRun,
            code: Code::RetryBudget,
        },
        Verdicts {
            name: "denied after a first attempt that was silent",
            before: |w| {
                w.deny = true;
                all(w, 0, State::Frozen);
            },
            input: None,
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
    ];
    for case in cases {
        let mut world = World::new(rules());
        (case.before)(&mut world);
        world.act();
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

#[test]
fn a_deadline_ends_the_answer_at_once() {
    for step in STEPS.iter().skip(1) {
        let mut world = World::new(rules());
        world.act();
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
        let mut world = World::new(rules());
        world.act();
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
    let mut world = World::new(rules());
    world.act();
    assert!(run_until(&mut world, &STEPS[4]));
    let before = world.route.clone();
    world.cut();
    world.run_to_end();
    assert_whole(&world, "cut");
    assert_eq!(world.warm, [false, true]);
    assert_eq!(world.route, before);
}

#[test]
fn a_cut_stream_waits_no_longer_for_its_old_head_than_for_a_token() {
    let mut world = World::new(rules());
    world.act();
    assert!(run_until(&mut world, &STEPS[4]));
    let before = world.now;
    world.cut();
    set(&mut world, 0, State::Frozen);
    assert!(run_until(&mut world, &Step { name: "third route", reached: |w| w.epoch == 3 }));
    let took = world.now - before;
    assert!(took < PaceRules::default().open, "{took:?}");
    world.run_to_end();
    assert_whole(&world, "frozen after the cut");
}

#[test]
fn only_the_stage_at_fault_is_replaced() {
    struct Case {
        name: &'static str,
        apply: Change,
        route: [&'static str; 3],
        /// Whether going on is paid for from the retry budget.
        paid: bool,
    }
    let cases = [
        Case {
            name: "frozen, found by a probe",
            apply: |w| set(w, 1, State::Frozen),
            route: ["e00", "e11", "e20"],
            paid: false,
        },
        Case {
            name: "two frozen at once",
            apply: |w| [1, 2].into_iter().for_each(|range| set(w, range, State::Frozen)),
            route: ["e00", "e11", "e21"],
            paid: false,
        },
        Case {
            name: "named by the engine",
            apply: |w| set(w, 2, State::Dead),
            route: ["e00", "e10", "e21"],
            paid: false,
        },
        Case {
            name: "restarted, found by a probe",
            apply: |w| restart(w, 1),
            route: ["e00", "e11", "e20"],
            paid: false,
        },
        Case {
            name: "ran another version",
            apply: |w| forge(w, |l| l[2].version.push('x')),
            route: ["e00", "e10", "e21"],
            paid: false,
        },
        Case {
            name: "silent though all answer probes",
            apply: |w| w.mute(),
            route: ["e01", "e11", "e21"],
            paid: true,
        },
    ];
    for case in cases {
        let mut world = World::new(rules());
        world.act();
        assert!(run_until(&mut world, &STEPS[4]));
        (case.apply)(&mut world);
        world.run_to_end();
        assert_whole(&world, case.name);
        let route = world.route.iter().map(|s| s.target.as_str()).collect::<Vec<_>>();
        assert_eq!(route, case.route, "{}", case.name);
        assert_eq!(world.paid, case.paid, "{}", case.name);
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
        let mut world = World::new(rules());
        world.act();
        assert!(run_until(&mut world, &STEPS[4]));
        set(&mut world, 1, State::Frozen);
        world.now = world.answer.wake();
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
    let mut world = World::new(rules());
    world.act();
    assert!(run_until(&mut world, &STEPS[4]));
    world.now += Duration::from_secs(30);
    world.answer.rearm(world.now);
    world.feed(Input::Tick);
    world.run_to_end();
    assert_whole(&world, "held up");
    assert_eq!(world.epoch, 1);
}

#[test]
fn silence_is_bounded_by_prediction_and_by_what_was_seen() {
    struct Case {
        name: &'static str,
        between: u64,
        gaps: &'static [u64],
        doublings: u32,
        bound: std::ops::RangeInclusive<u64>,
    }
    let cases = [
        Case { name: "floor", between: 5, gaps: &[], doublings: 0, bound: 200..=200 },
        Case { name: "prediction", between: 100, gaps: &[], doublings: 0, bound: 400..=400 },
        Case {
            name: "slower than predicted",
            between: 5,
            gaps: &[300; 40],
            doublings: 0,
            bound: 300..=450,
        },
        Case {
            name: "uneven",
            between: 20,
            gaps: &[10, 90, 10, 90, 10, 90],
            doublings: 0,
            bound: 200..=260,
        },
        Case { name: "given up twice", between: 5, gaps: &[], doublings: 2, bound: 800..=800 },
        Case { name: "ceiling", between: 5, gaps: &[], doublings: 9, bound: 6400..=6400 },
    ];
    for case in cases {
        let mut pace = Pace::new(PaceRules::default());
        pace.predict(Duration::ZERO, Duration::from_millis(case.between));
        case.gaps.iter().for_each(|g| pace.observe(Duration::from_millis(*g)));
        (0..case.doublings).for_each(|_| pace.slow_down());
        let bound = pace.decode().as_millis() as u64;
        assert!(case.bound.contains(&bound), "{}: {bound} ms", case.name);
    }
}

/// Any mixture of stamps; the check must agree with a plain comparison, layer by layer.
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

/// The same cases in every run.
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
        let want = Wanted { stages: &stages, layers: 12, epoch: 2, version: "v1" };
        let right = stages.iter().map(|s| Stamp {
            target: s.target.clone(), incarnation: 1, layers: s.layers, epoch: 2,
            version: "v1".to_owned(),
        }).collect::<Vec<_>>();
        prop_assert_eq!(lineage::check(&right, &want), Ok(()));
        prop_assert_eq!(lineage::check(&forged, &want).is_ok(), forged == right);
        let mut mixed = right.clone();
        if let Some(stamp) = forged.first() {
            mixed[at] = stamp.clone();
        }
        mixed.swap(swap, at);
        let verdict: Result<(), Broken> = lineage::check(&mixed, &want);
        prop_assert_eq!(verdict.is_ok(), mixed == right);
    }

    #[test]
    fn any_order_of_events_keeps_the_promises(ops in proptest::collection::vec(op(), 0..60)) {
        let mut world = World::new(rules());
        world.act();
        for op in ops {
            if world.end.is_some() {
                break;
            }
            op.apply(&mut world);
        }
        if world.end.is_none() {
            world.run_to_end();
        }
        // Whatever comes after the end changes nothing.
        world.feed(Input::Tick);
        world.feed(Input::Opened(1));
    }
}

/// Something that the world does to an answer.
#[derive(Clone, Debug)]
enum Op {
    Step(u8),
    Pump(u8),
    Fault(usize),
    State(usize, usize, State),
    Restart(usize, usize),
    Swap(usize, usize),
    Repeat(usize),
    Drop(usize),
    Opened(Epoch),
    Unopened(Epoch),
    Moved(Epoch, bool),
    Probed(Epoch, usize, u8),
    Ended(Epoch),
    Wait(u16),
    CallerLeft,
}

fn op() -> impl Strategy<Value = Op> {
    let state = prop_oneof![
        Just(State::Live),
        Just(State::Dead),
        Just(State::Frozen),
        Just(State::Busy),
        Just(State::Other)
    ];
    prop_oneof![
        8 => (1..4_u8).prop_map(Op::Step),
        4 => (1..6_u8).prop_map(Op::Pump),
        2 => (0..FAULTS.len()).prop_map(Op::Fault),
        2 => (0..3_usize, 0..REPLICAS, state).prop_map(|(r, a, s)| Op::State(r, a, s)),
        1 => (0..3_usize, 0..REPLICAS).prop_map(|(r, a)| Op::Restart(r, a)),
        2 => (0..8_usize, 0..8_usize).prop_map(|(a, b)| Op::Swap(a, b)),
        2 => (0..8_usize).prop_map(Op::Repeat),
        2 => (0..8_usize).prop_map(Op::Drop),
        1 => (0..4_u32).prop_map(Op::Opened),
        1 => (0..4_u32).prop_map(Op::Unopened),
        1 => (0..4_u32, any::<bool>()).prop_map(|(e, done)| Op::Moved(e, done)),
        1 => (0..4_u32, 0..3_usize, 0..4_u8).prop_map(|(e, r, h)| Op::Probed(e, r, h)),
        1 => (0..4_u32).prop_map(Op::Ended),
        2 => (0..700_u16).prop_map(Op::Wait),
        1 => Just(Op::CallerLeft),
    ]
}

impl Op {
    fn apply(self, world: &mut World) {
        let len = world.queue.len();
        match self {
            Op::Step(times) => (0..times).for_each(|_| {
                if world.end.is_none() {
                    world.step();
                }
            }),
            Op::Pump(times) => (0..times).for_each(|_| world.pump()),
            Op::Fault(at) if world.epoch > 0 => (FAULTS[at].apply)(world),
            Op::State(range, at, state) => world.engines[range][at].state = state,
            Op::Restart(range, at) => world.engines[range][at].life += 1,
            Op::Swap(a, b) if a < len && b < len => world.queue.swap(a, b),
            Op::Repeat(at) if at < len => world.queue.push_back(world.queue[at].clone()),
            Op::Drop(at) if at < len => drop(world.queue.remove(at)),
            Op::Opened(epoch) => world.feed(Input::Opened(epoch)),
            // An engine that has begun never says that it was not reached.
            Op::Unopened(epoch) => world.feed(Input::Unopened(epoch, Failure::Lost)),
            Op::Moved(epoch, done) => world.feed(Input::Moved(epoch, done)),
            Op::Probed(epoch, range, health) => {
                let target = current(world, range);
                let health = match health {
                    0 => Health::Dead,
                    1 => Health::Silent,
                    life => Health::Alive(u64::from(life)),
                };
                world.feed(Input::Probed(epoch, target, health));
            }
            Op::Ended(epoch) => world.feed(Input::Ended(epoch, None)),
            Op::Wait(ms) => {
                world.now += Duration::from_millis(u64::from(ms));
                world.feed(Input::Tick);
            }
            Op::CallerLeft => world.feed(Input::CallerLeft),
            _ => {}
        }
    }
}
