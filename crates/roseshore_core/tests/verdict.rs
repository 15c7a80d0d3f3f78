//! A verdict only becomes less certain on the way out.

use roseshore_core::prelude::*;

struct Case {
    name: &'static str,
    first: Verdict,
    second: Verdict,
    joined: Verdict,
}

const CASES: &[Case] = &[
    Case {
        name: "two certain refusals stay certain",
        first: Verdict::NotRun,
        second: Verdict::NotRun,
        joined: Verdict::NotRun,
    },
    Case {
        name: "an unknown is never turned into not run",
        first: Verdict::MayHaveRun,
        second: Verdict::NotRun,
        joined: Verdict::MayHaveRun,
    },
    Case {
        name: "a later unknown spoils a certain refusal",
        first: Verdict::NotRun,
        second: Verdict::MayHaveRun,
        joined: Verdict::MayHaveRun,
    },
];

#[test]
fn joins() {
    for case in CASES {
        assert_eq!(case.first.join(case.second), case.joined, "{}", case.name);
        assert_eq!(case.second.join(case.first), case.joined, "{} (swapped)", case.name);
    }
}

#[test]
fn only_harmless_attempts_are_repeated() {
    assert!(Verdict::NotRun.may_retry(false));
    assert!(Verdict::MayHaveRun.may_retry(true));
    assert!(!Verdict::MayHaveRun.may_retry(false));
    assert!(!Verdict::Answered.may_retry(true));
}
