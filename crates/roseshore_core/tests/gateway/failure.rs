//! What follows a failed send.

use roseshore_core::gateway::failure::{Blame, End, Fault, MOST_SENDS, Next, Standing, next};
use roseshore_core::prelude::*;

struct Case {
    name: &'static str,
    fault: Fault,
    idempotent: bool,
    begun: bool,
    sends: u32,
    refused: u32,
    left_ms: u64,
    next: Next,
}

const fn case(name: &'static str, fault: Fault, idempotent: bool, next: Next) -> Case {
    Case { name, fault, idempotent, begun: false, sends: 1, refused: 0, left_ms: 500, next }
}

#[test]
fn only_what_cannot_run_twice_is_sent_again() {
    let end = Next::End;
    let cases = [
        case("not sent, once only", Fault::NotSent, false, Next::Again),
        case("refused, once only", Fault::Refused, false, Next::Again),
        case("lost, once only", Fault::Lost, false, end(End::Unknown)),
        case("garbled, once only", Fault::Garbled, false, end(End::Unknown)),
        case("cut, once only", Fault::Cut, false, end(End::Unknown)),
        case("silent, once only", Fault::Silent, false, end(End::Unknown)),
        case("failed, once only", Fault::Failed, false, end(End::Unknown)),
        case("lost, may be repeated", Fault::Lost, true, Next::Again),
        case("silent, may be repeated", Fault::Silent, true, Next::Again),
        Case { sends: MOST_SENDS, ..case("last send lost", Fault::Lost, true, end(End::Unknown)) },
        Case { sends: MOST_SENDS, ..case("last refused", Fault::Refused, true, end(End::NotRun)) },
        Case { left_ms: 10, ..case("no time, refused", Fault::Refused, true, end(End::NotRun)) },
        Case { left_ms: 10, ..case("no time, lost", Fault::Lost, true, end(End::Unknown)) },
        Case { begun: true, ..case("begun, cut", Fault::Cut, true, Next::Again) },
        Case { begun: true, ..case("begun, once only", Fault::Cut, false, end(End::Break)) },
        Case {
            begun: true,
            sends: MOST_SENDS,
            refused: 3,
            ..case("begun, refused three times", Fault::Refused, true, Next::Again)
        },
        Case {
            begun: true,
            sends: MOST_SENDS + 3,
            refused: 3,
            ..case("begun, refused and cut too often", Fault::Cut, true, end(End::Break))
        },
        Case {
            sends: MOST_SENDS,
            refused: 3,
            ..case("not begun, refused three times", Fault::Refused, true, end(End::NotRun))
        },
        Case { begun: true, left_ms: 0, ..case("begun, late", Fault::Cut, true, end(End::Break)) },
    ];
    for case in cases {
        let standing = Standing {
            idempotent: case.idempotent,
            begun: case.begun,
            verdict: case.fault.verdict(),
            sends: case.sends,
            refused: case.refused,
            left: Duration::from_millis(case.left_ms),
            least: Duration::from_millis(60),
        };
        assert_eq!(next(&standing), case.next, "{}", case.name);
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
