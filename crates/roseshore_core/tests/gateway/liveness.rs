//! Tests of when a target is checked for life, and when a check counts as unanswered.

use roseshore_core::gateway::liveness::{
    CHECK_TIMEOUT, CheckCounts, CheckDuty, CheckReason, Doubt, LARGE_TRANSFER, LinkChecks,
    LinkState, MAX_TRANSFER_WAIT,
};
use std::time::{Duration, Instant};

/// What happens around a check that begins at 1,000 ms.
struct Case {
    name: &'static str,
    /// When parts of a message were received, and its size.
    transfers: &'static [u64],
    bytes: usize,
    /// Start of a check that was answered.
    answered: Option<u64>,
    /// Start of the first unanswered check in a row with this one.
    first: u64,
    /// When the check counts as unanswered.
    timeout: u64,
}

/// Guards against the loss of begun streams when a host took live targets for dead because their
/// answers waited behind a configuration on its link.
#[test]
fn checks_wait_for_large_transfers() {
    const START: u64 = 1_000;
    let usual = START + CHECK_TIMEOUT.as_millis() as u64;
    let longest = START + MAX_TRANSFER_WAIT.as_millis() as u64;
    let case = Case {
        name: "idle",
        transfers: &[],
        bytes: LARGE_TRANSFER,
        answered: None,
        first: START,
        timeout: usual,
    };
    let cases = [
        Case { name: "transfer before the check", transfers: &[990], ..case },
        Case { name: "transfer", transfers: &[990, 1_100], timeout: 1_145, ..case },
        Case {
            name: "long transfer, later check",
            transfers: &[1_240],
            first: 770,
            timeout: usual,
            ..case
        },
        Case { name: "small message", transfers: &[1_100], bytes: LARGE_TRANSFER - 1, ..case },
        Case { name: "long transfer", transfers: &[1_100, 1_240], timeout: longest, ..case },
        Case {
            name: "check answered before",
            transfers: &[1_100],
            answered: Some(999),
            timeout: 1_145,
            ..case
        },
        Case { name: "later check answered", transfers: &[1_100], answered: Some(1_000), ..case },
        Case {
            name: "answered during a row of checks",
            transfers: &[1_100],
            answered: Some(960),
            first: 955,
            ..case
        },
        case,
    ];
    let origin = Instant::now();
    let at = |ms| origin + Duration::from_millis(ms);
    for case in cases {
        let mut link = LinkState::default();
        for part in case.transfers {
            link.record_transfer(case.bytes, at(*part));
        }
        if let Some(started) = case.answered {
            link.record_answer(at(started));
            link.record_answer(at(0));
        }
        assert_eq!(
            link.check_timeout(at(case.first), at(START)),
            at(case.timeout),
            "{}",
            case.name
        );
    }
}

#[test]
fn counts_name_only_reasons_that_occurred() {
    let mut counts = CheckCounts::default();
    assert_eq!(counts.summary(), None);
    let reasons = [CheckReason::Reported, CheckReason::Request, CheckReason::Reported];
    for reason in reasons {
        counts.record(reason);
    }
    assert_eq!(counts.summary().as_deref(), Some("request=1 reported=2"));
}

/// What a host knows of a target at 20,000 ms; reports and checks began at the named times.
#[derive(Clone, Copy)]
struct DueCase {
    name: &'static str,
    reported: Option<u64>,
    failing: bool,
    relayed: bool,
    used: bool,
    speaks: bool,
    alive: Option<u64>,
    last: Option<u64>,
    due: bool,
}

#[test]
fn a_target_in_doubt_is_checked_by_those_who_need_to_know() {
    const NOW: u64 = 20_000;
    let case = DueCase {
        name: "",
        reported: Some(NOW),
        failing: false,
        relayed: false,
        used: false,
        speaks: false,
        alive: None,
        last: None,
        due: false,
    };
    let failing = DueCase { failing: true, ..case };
    let cases = [
        DueCase { name: "new report, no use", ..case },
        DueCase { name: "new report, used", used: true, due: true, ..case },
        DueCase { name: "new report, a speaker", speaks: true, due: true, ..case },
        DueCase { name: "checked before", used: true, last: Some(NOW - 1), due: true, ..case },
        DueCase { name: "data since the report", used: true, alive: Some(NOW), ..case },
        DueCase { name: "its turn has come", reported: Some(NOW - 10_000), due: true, ..case },
        DueCase {
            name: "after its turn",
            reported: Some(NOW - 10_000),
            last: Some(NOW - 5_000),
            ..case
        },
        DueCase {
            name: "a speaker looks each second",
            reported: Some(NOW - 10_000),
            speaks: true,
            last: Some(NOW - 1_000),
            due: true,
            ..case
        },
        DueCase {
            name: "a user waits as long again",
            reported: Some(NOW - 10_000),
            used: true,
            last: Some(NOW - 4_000),
            ..case
        },
        DueCase {
            name: "a user at last",
            reported: Some(NOW - 10_000),
            used: true,
            last: Some(NOW - 6_000),
            due: true,
            ..case
        },
        DueCase { name: "fails here alone", reported: None, last: Some(NOW - 400), ..failing },
        DueCase {
            name: "fails here alone, later",
            reported: None,
            last: Some(NOW - 500),
            due: true,
            ..failing
        },
        DueCase { name: "no doubt", reported: None, ..case },
        DueCase {
            name: "another host reaches it",
            relayed: true,
            reported: None,
            last: Some(NOW - 900),
            ..failing
        },
        DueCase {
            name: "another host reaches it, later",
            relayed: true,
            last: Some(NOW - 1_000),
            due: true,
            ..failing
        },
    ];
    let origin = Instant::now();
    let at = |ms| origin + Duration::from_millis(ms);
    for case in cases {
        let addr = ([10, 0, 0, 1], 1).into();
        let duty = CheckDuty { speaks: case.speaks, hosts: 40, addr };
        let doubt = Doubt {
            target: 7,
            reported: case.reported.map(at),
            failing: case.failing,
            relayed: case.relayed,
            used: case.used,
            alive: case.alive.map(at),
        };
        assert_eq!(duty.is_due(&doubt, case.last.map(at), at(NOW)), case.due, "{}", case.name);
    }
}

/// Guards against a host that checks all targets of its data centre each second as long as another
/// host reaches one of them for it.
#[test]
fn checks_of_a_doubtful_link_are_bounded() {
    let start = Instant::now();
    let mut checks = LinkChecks::default();
    let taken = |checks: &mut LinkChecks, ms| checks.take(20, start + Duration::from_millis(ms));
    assert_eq!([0, 100, 999, 1_000].map(|ms| taken(&mut checks, ms)), [20, 12, 0, 20]);
}
