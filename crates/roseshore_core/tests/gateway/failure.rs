//! Tests of the next step after a failed send.

use roseshore_core::gateway::failure::{
    Blame, FailureReply, Fault, MAX_SENDS, NextStep, RetryState, next_step,
};
use roseshore_core::prelude::*;

struct Case {
    name: &'static str,
    fault: Fault,
    idempotent: bool,
    begun: bool,
    sends: u32,
    refused: u32,
    left_ms: u64,
    next: NextStep,
}

const fn case(name: &'static str, fault: Fault, idempotent: bool, next: NextStep) -> Case {
    Case { name, fault, idempotent, begun: false, sends: 1, refused: 0, left_ms: 500, next }
}

#[test]
fn only_what_cannot_run_twice_is_sent_again() {
    let end = NextStep::Fail;
    let cases = [
        case("not sent, not repeatable", Fault::NotSent, false, NextStep::Retry),
        case("refused, not repeatable", Fault::Refused, false, NextStep::Retry),
        case("lost, not repeatable", Fault::Lost, false, end(FailureReply::Unknown)),
        case("garbled, not repeatable", Fault::Garbled, false, end(FailureReply::Unknown)),
        case("cut, not repeatable", Fault::Cut, false, end(FailureReply::Unknown)),
        case("silent, not repeatable", Fault::Silent, false, end(FailureReply::Unknown)),
        case("failed, not repeatable", Fault::Failed, false, end(FailureReply::Unknown)),
        case("lost, repeatable", Fault::Lost, true, NextStep::Retry),
        case("silent, repeatable", Fault::Silent, true, NextStep::Retry),
        Case {
            sends: MAX_SENDS,
            ..case("last send lost", Fault::Lost, true, end(FailureReply::Unknown))
        },
        Case {
            sends: MAX_SENDS,
            ..case("last refused", Fault::Refused, true, end(FailureReply::NotRun))
        },
        Case {
            left_ms: 10,
            ..case("no time, refused", Fault::Refused, true, end(FailureReply::NotRun))
        },
        Case {
            left_ms: 10,
            ..case("no time, lost", Fault::Lost, true, end(FailureReply::Unknown))
        },
        Case { begun: true, ..case("begun, cut", Fault::Cut, true, NextStep::Retry) },
        Case {
            begun: true,
            ..case("begun, not repeatable", Fault::Cut, false, end(FailureReply::Abort))
        },
        Case {
            begun: true,
            sends: MAX_SENDS,
            refused: 3,
            ..case("begun, refused three times", Fault::Refused, true, NextStep::Retry)
        },
        Case {
            begun: true,
            sends: MAX_SENDS + 3,
            refused: 3,
            ..case("begun, refused and cut too often", Fault::Cut, true, end(FailureReply::Abort))
        },
        Case {
            sends: MAX_SENDS,
            refused: 3,
            ..case(
                "not begun, refused three times",
                Fault::Refused,
                true,
                end(FailureReply::NotRun),
            )
        },
        Case {
            begun: true,
            left_ms: 0,
            ..case("begun, late", Fault::Cut, true, end(FailureReply::Abort))
        },
    ];
    for case in cases {
        let standing = RetryState {
            idempotent: case.idempotent,
            head_sent: case.begun,
            verdict: case.fault.verdict(),
            sends: case.sends,
            refused: case.refused,
            remaining: Duration::from_millis(case.left_ms),
            min_remaining: Duration::from_millis(60),
        };
        assert_eq!(next_step(&standing), case.next, "{}", case.name);
    }
}

struct BlameCase {
    name: &'static str,
    fault: Fault,
    hops: usize,
    blame: Blame,
}

const fn blame_case(name: &'static str, fault: Fault, hops: usize, blame: Blame) -> BlameCase {
    BlameCase { name, fault, hops, blame }
}

#[test]
fn the_first_engine_is_not_blamed_for_the_end_of_a_later_one() {
    let cases = [
        blame_case("plain service, lost", Fault::Lost, 0, Blame::Failed),
        blame_case("one engine, cut", Fault::Cut, 1, Blame::Failed),
        blame_case("two engines, cut", Fault::Cut, 2, Blame::Unknown),
        blame_case("two engines, lost", Fault::Lost, 2, Blame::Unknown),
        blame_case("two engines, refused", Fault::Refused, 2, Blame::Busy),
        blame_case("plain service, refused", Fault::Refused, 0, Blame::Busy),
        blame_case("two engines, not sent", Fault::NotSent, 2, Blame::Failed),
        blame_case("two engines, garbled", Fault::Garbled, 2, Blame::Failed),
        blame_case("two engines, silent", Fault::Silent, 2, Blame::Failed),
        blame_case("two engines, failed", Fault::Failed, 2, Blame::Failed),
    ];
    for case in cases {
        assert_eq!(case.fault.blame(case.hops), case.blame, "{}", case.name);
    }
}
