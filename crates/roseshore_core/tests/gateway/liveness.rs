//! Tests of when a liveness check counts as unanswered.

use roseshore_core::gateway::liveness::{
    CHECK_TIMEOUT, CheckCounts, CheckReason, LARGE_TRANSFER, LinkState, MAX_TRANSFER_WAIT,
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
    reasons.into_iter().for_each(|reason| counts.record(reason));
    assert_eq!(counts.summary().as_deref(), Some("request=1 reported=2"));
}
