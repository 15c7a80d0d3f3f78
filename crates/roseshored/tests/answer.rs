//! The answer driver against fake engines over sockets: under faults of the stages, the answer is
//! compared token by token with the expected text.

#[path = "answer/bed.rs"]
mod bed;

use bed::{Caller, TEST_TIMEOUT, TOKENS, TestBed, expected};
use roseshore_core::prelude::*;
use roseshore_fakes::engine::EngineFaults;

const SHORT_STEP: Duration = Duration::from_micros(100);

struct StageLoss {
    name: &'static str,
    change: fn(&mut EngineFaults, u32),
}

const LOSSES: [StageLoss; 2] = [
    StageLoss { name: "dies", change: |f, steps| f.die_after = Some(steps) },
    StageLoss { name: "freezes", change: |f, steps| f.freeze_after = Some(steps) },
];

#[test]
fn a_stage_lost_at_any_step_keeps_the_answer_complete() {
    for loss in &LOSSES {
        for row in 0..3 {
            for step in [0, 1, TOKENS / 2, TOKENS - 1] {
                let name = format!("stage {row} {} after {step} steps", loss.name);
                let bed = TestBed::new(SHORT_STEP);
                bed.fault(row, 0, |f| (loss.change)(f, step));
                assert!(bed.run_to_completion(&name, &mut Caller::new()) > 0, "{name}");
            }
        }
    }
}

#[test]
fn a_second_loss_keeps_the_answer_complete() {
    for first in &LOSSES {
        for second in &LOSSES {
            for row in 0..3 {
                let name =
                    format!("stage {row} {}, then its replacement {}", first.name, second.name);
                let bed = TestBed::new(SHORT_STEP);
                bed.fault(row, 0, |f| (first.change)(f, 3));
                bed.fault(row, 1, |f| (second.change)(f, 2));
                assert!(bed.run_to_completion(&name, &mut Caller::new()) > 1, "{name}");
            }
        }
    }
}

#[test]
fn a_faulty_stream_keeps_the_answer_complete() {
    struct Case {
        name: &'static str,
        row: usize,
        change: fn(&mut EngineFaults),
    }
    let cases = [
        Case { name: "late tokens", row: 0, change: |f| f.delay_ms = 20 },
        Case { name: "each token twice", row: 0, change: |f| f.duplicate = true },
        Case { name: "token pairs swapped", row: 0, change: |f| f.reorder = true },
        Case { name: "tokens of an old epoch", row: 0, change: |f| f.old_epoch = true },
        Case { name: "tokens of another answer", row: 0, change: |f| f.crossed = true },
        Case { name: "a token left out", row: 0, change: |f| f.skip = Some(5) },
        Case { name: "a line that cannot be read", row: 0, change: |f| f.garble_after = Some(4) },
        Case { name: "the stream cut", row: 0, change: |f| f.cut_after = Some(4) },
        Case { name: "cut before the first token", row: 0, change: |f| f.cut_after = Some(0) },
        Case { name: "first stage skips a layer", row: 0, change: |f| f.wrong_lineage = true },
        Case { name: "last stage skips a layer", row: 2, change: |f| f.wrong_lineage = true },
        Case { name: "first stage full", row: 0, change: |f| f.refuse = Some(1) },
        Case { name: "last stage full", row: 2, change: |f| f.refuse = Some(1) },
        Case { name: "first stage frozen from the start", row: 0, change: |f| f.freeze = true },
        Case { name: "last stage frozen from the start", row: 2, change: |f| f.freeze = true },
    ];
    for case in cases {
        let bed = TestBed::new(SHORT_STEP);
        bed.fault(case.row, 0, case.change);
        bed.run_to_completion(case.name, &mut Caller::new());
    }
}

#[test]
fn a_leaving_stage_hands_over() {
    struct Case {
        name: &'static str,
        change: fn(&TestBed),
        rerouted: bool,
    }
    let cases = [
        Case { name: "cache moved", change: |_| {}, rerouted: true },
        Case {
            name: "cache moved because prefill is very slow",
            change: |b| (1..3).for_each(|at| b.fault(1, at, |f| f.prefill_slow = 1e7)),
            rerouted: true,
        },
        Case {
            name: "export fails",
            change: |b| b.fault(1, 0, |f| f.export_fails = true),
            rerouted: true,
        },
        Case {
            name: "import fails",
            change: |b| b.fault(1, 1, |f| f.import_fails = true),
            rerouted: true,
        },
        Case {
            name: "receiver frozen",
            change: |b| b.fault(1, 1, |f| f.freeze = true),
            rerouted: true,
        },
        Case {
            name: "no other target",
            change: |b| {
                let names = ["e11".to_owned(), "e12".to_owned()];
                b.router.state.lock().failed.extend(names);
            },
            rerouted: false,
        },
    ];
    for case in cases {
        let bed = TestBed::new(Duration::from_millis(20));
        (case.change)(&bed);
        let router = bed.router.clone();
        let mut caller = Caller::with(move |position| {
            if position == 2 {
                router.state.lock().leaving.insert("e10".to_owned());
            }
            Ok(())
        });
        let reroutes = bed.run_to_completion(case.name, &mut caller);
        assert_eq!(reroutes > 0, case.rerouted, "{}", case.name);
    }
}

#[test]
fn a_refusal_reports_whether_the_request_ran() {
    struct Case {
        name: &'static str,
        caller: fn() -> Caller,
        change: fn(&TestBed),
        verdict: Verdict,
        code: Code,
    }
    let cases = [
        Case {
            name: "every first stage full",
            caller: Caller::new,
            change: |b| (0..3).for_each(|at| b.fault(0, at, |f| f.refuse = Some(7))),
            verdict: Verdict::NotRun,
            code: Code::QueueFull,
        },
        Case {
            name: "claim lost before dispatch",
            caller: || Caller { deny: Some(0), ..Caller::new() },
            change: |_| {},
            verdict: Verdict::NotRun,
            code: Code::KeyInProgress,
        },
        Case {
            name: "claim lost before a re-route",
            caller: || Caller { deny: Some(1), ..Caller::new() },
            change: |b| b.fault(0, 0, |f| f.die_after = Some(2)),
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
        Case {
            name: "deadline in the middle",
            caller: || Caller { time_limit: Duration::from_millis(1500), ..Caller::new() },
            change: |b| (0..3).for_each(|at| b.fault(1, at, |f| f.slow = 100_000.0)),
            verdict: Verdict::MayHaveRun,
            code: Code::DeadlinePassed,
        },
        Case {
            name: "caller left",
            caller: || Caller::leaving_at(3),
            change: |_| {},
            verdict: Verdict::MayHaveRun,
            code: Code::TargetLost,
        },
    ];
    for case in cases {
        let bed = TestBed::new(SHORT_STEP);
        (case.change)(&bed);
        let mut caller = (case.caller)();
        let refusal = bed.run(&mut caller).expect_err(case.name);
        assert_eq!((refusal.verdict, refusal.code), (case.verdict, case.code), "{}", case.name);
        let count = caller.tokens.len();
        assert!(count < TOKENS as usize, "{}", case.name);
        assert_eq!(caller.tokens, expected()[..count], "{}", case.name);
    }
}

#[test]
fn every_stage_is_cancelled_when_the_caller_leaves() {
    let bed = TestBed::new(SHORT_STEP);
    bed.run(&mut Caller::leaving_at(3)).expect_err("the caller left");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while bed.cancels(0) != [1, 1, 1] {
        assert!(Instant::now() < deadline, "{:?}", bed.cancels(0));
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_slow_caller_does_not_time_out_the_chain() {
    let bed = TestBed::new(SHORT_STEP);
    let mut caller = Caller::with(|position| {
        if position % 4 == 1 {
            std::thread::sleep(Duration::from_millis(400));
        }
        Ok(())
    });
    assert_eq!(bed.run_to_completion("slow caller", &mut caller), 0);
}

#[test]
fn the_router_gets_the_step_time_of_the_running_chain() {
    let bed = TestBed::new(SHORT_STEP);
    let timed_chain = || bed.router.state.lock().timed.last().cloned();
    // On a busy machine the caller may be delayed, and the step time is not recorded then.
    while timed_chain().is_none() {
        bed.run_to_completion("first chain", &mut Caller::new());
    }
    assert_eq!(timed_chain().expect("a recorded chain"), ["e00", "e10", "e20"]);
    bed.fault(1, 0, |f| f.die_after = Some(0));
    while timed_chain().is_some_and(|chain| chain[1] == "e10") {
        bed.run_to_completion("second chain", &mut Caller::new());
    }
    // The first stage may have been replaced along with the one that died.
    assert_eq!(timed_chain().expect("a recorded chain")[1], "e11");
}
