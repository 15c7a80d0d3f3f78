//! Tests of what is concluded from a refusal and from a silence: full, slow or dead.

use super::fixtures::spec;
use roseshore_core::gateway::progress::{
    self, PathState, Refusal, RetrySupply, Silence, TargetEvidence, give_up_after, may_retry_full,
};
use roseshore_core::gateway::targets::{Claim, LivenessFailure};
use roseshore_core::gateway::{Holding, RetryBudget, TargetRecord, Targets};
use roseshore_core::prelude::*;

/// Time without an event after which the callers of these tests leave.
const PATIENCE_MS: u64 = 2000;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

struct RefusalCase {
    name: &'static str,
    evidence: TargetEvidence,
    want: Refusal,
}

#[test]
fn a_refusing_target_is_full_if_its_load_says_so() {
    let base = TargetEvidence::default();
    let full = TargetEvidence { predicted: 0.94, ..base };
    let cases = [
        RefusalCase { name: "predicted nearly full", evidence: full, want: Refusal::Full },
        RefusalCase {
            name: "filled by other hosts since the send",
            evidence: TargetEvidence { predicted: 0.3, current: 0.8, ..base },
            want: Refusal::Full,
        },
        RefusalCase {
            name: "no slot free",
            evidence: TargetEvidence { predicted: 0.3, slots: 1.0, ..base },
            want: Refusal::Full,
        },
        RefusalCase {
            name: "its own report of 6 slots and a queue of 24",
            evidence: TargetEvidence { reported: 30.0 / 6.0, ..base },
            want: Refusal::Full,
        },
        RefusalCase {
            name: "sheds although it has room",
            evidence: TargetEvidence { predicted: 0.3, current: 0.3, slots: 0.2, ..base },
            want: Refusal::Failing,
        },
        RefusalCase { name: "nothing known", evidence: base, want: Refusal::Failing },
        RefusalCase {
            name: "full, and leaving or without its layers",
            evidence: TargetEvidence { unavailable: true, ..full },
            want: Refusal::Failing,
        },
        RefusalCase {
            name: "load that is no number",
            evidence: TargetEvidence { predicted: f64::NAN, current: f64::NAN, ..base },
            want: Refusal::Failing,
        },
    ];
    for case in cases {
        assert_eq!(progress::refusal(&case.evidence), case.want, "{}", case.name);
    }
}

struct SilenceCase {
    name: &'static str,
    silence: Silence,
    /// Times between which the send is given up, ms; `None` if it is waited for.
    want: Option<(u64, u64)>,
}

/// A send over quick targets of low load.
const QUICK: Silence = Silence {
    usual: Duration::from_secs(1),
    predicted: Duration::from_millis(80),
    slowdown: 1.0,
    observed: Duration::ZERO,
    elsewhere: Duration::from_millis(80),
    load: 0.4,
    path: PathState::Quiet,
    patience: Duration::from_millis(PATIENCE_MS),
};

fn check(case: &SilenceCase) {
    let got = give_up_after(&case.silence);
    let ok = match (got, case.want) {
        (Some(got), Some((from, to))) => ms(from) <= got && got <= ms(to),
        (got, want) => got.is_none() && want.is_none(),
    };
    assert!(ok, "{}: {got:?} is not {:?}", case.name, case.want);
}

#[test]
fn a_silent_send_is_given_up_by_what_its_targets_show() {
    let quick = QUICK;
    let moving = Silence { path: PathState::Moving, ..quick };
    let suspect = Silence { path: PathState::Suspect, ..quick };
    let unanswerable = Silence { observed: ms(1500), elsewhere: ms(1500), ..quick };
    let cases = [
        SilenceCase {
            name: "hangs: accepts, never answers, passes its checks",
            silence: quick,
            want: Some((1000, 1000)),
        },
        SilenceCase {
            name: "a check failed, however slow its targets",
            silence: Silence { observed: ms(900), slowdown: 3.0, ..suspect },
            want: Some((1000, 1000)),
        },
        SilenceCase {
            name: "a check failed, and the caller leaves soon",
            silence: Silence { observed: ms(1500), elsewhere: ms(1500), ..suspect },
            want: Some((1000, 1000)),
        },
        SilenceCase {
            name: "one request is stuck while others of low load progress",
            silence: moving,
            want: Some((1000, 1000)),
        },
        SilenceCase {
            name: "three times slower, others progress",
            silence: Silence { predicted: ms(200), slowdown: 3.0, ..moving },
            want: Some((1500, PATIENCE_MS - 200)),
        },
        SilenceCase {
            name: "others took as long, none progresses now",
            silence: Silence { observed: ms(800), elsewhere: ms(800), ..quick },
            want: Some((1100, PATIENCE_MS - 800)),
        },
        SilenceCase {
            name: "a large prompt",
            silence: Silence { predicted: ms(900), elsewhere: ms(900), ..quick },
            want: Some((1050, PATIENCE_MS - 900)),
        },
        SilenceCase {
            name: "the caller would leave before an answer from elsewhere, others progress",
            silence: Silence { path: PathState::Moving, ..unanswerable },
            want: None,
        },
        SilenceCase {
            name: "the same without progress",
            silence: unanswerable,
            want: Some((1000, 1000)),
        },
        SilenceCase {
            name: "a patient caller",
            silence: Silence {
                observed: ms(1000),
                elsewhere: ms(1000),
                patience: ms(4800),
                ..moving
            },
            want: Some((3000, 3000)),
        },
        SilenceCase {
            name: "a pace that is no number",
            silence: Silence { slowdown: f64::NAN, ..moving },
            want: Some((1000, 1000)),
        },
        SilenceCase {
            name: "an absurd pace and prediction",
            silence: Silence {
                slowdown: f64::MAX,
                predicted: ms(1 << 40),
                elsewhere: ms(1 << 40),
                ..moving
            },
            want: None,
        },
    ];
    cases.iter().for_each(check);
}

#[test]
fn a_silent_send_over_crowded_targets_is_waited_for_longer() {
    let quick = QUICK;
    let moving = Silence { path: PathState::Moving, ..quick };
    let suspect = Silence { path: PathState::Suspect, ..quick };
    let cases = [
        SilenceCase {
            name: "crowded, others progress",
            silence: Silence { load: 0.9, ..moving },
            want: Some((1500, PATIENCE_MS - 80)),
        },
        SilenceCase {
            name: "crowded and quiet, as beside an engine that hangs",
            silence: Silence { load: 0.9, ..quick },
            want: Some((1000, 1500)),
        },
        SilenceCase {
            name: "crowded, and a check failed",
            silence: Silence { load: 0.9, ..suspect },
            want: Some((1000, 1000)),
        },
    ];
    cases.iter().for_each(check);
}

#[test]
fn nothing_is_tried_whose_answer_finds_no_caller() {
    struct Case {
        silent: u64,
        elsewhere: u64,
        want: bool,
    }
    let silence = QUICK;
    let cases = [
        Case { silent: 1000, elsewhere: 100, want: true },
        Case { silent: 1700, elsewhere: 100, want: true },
        Case { silent: 1700, elsewhere: 400, want: false },
        Case { silent: 2100, elsewhere: 0, want: false },
    ];
    for Case { silent, elsewhere, want } in cases {
        assert_eq!(silence.arrives_in_time(ms(silent), ms(elsewhere)), want, "{silent}");
    }
}

#[test]
fn callers_wait_for_the_longest_of_three_times() {
    struct Case {
        objective: u64,
        gap: Option<u64>,
        want: u64,
    }
    let cases = [
        Case { objective: 400, gap: None, want: 2000 },
        Case { objective: 1200, gap: Some(250), want: 4800 },
        Case { objective: 100, gap: Some(400), want: 3200 },
    ];
    for Case { objective, gap, want } in cases {
        assert_eq!(progress::patience(ms(objective), gap.map(ms)), ms(want), "{objective}");
    }
    assert!(progress::patience(Duration::MAX, Some(Duration::MAX)) == Duration::MAX);
}

struct RetryCase {
    name: &'static str,
    started: bool,
    supply: RetrySupply,
    want: bool,
}

#[test]
fn the_rest_of_a_retry_budget_is_for_begun_streams() {
    let lender = RetrySupply { allowed: 80.0, left: 60.0, lends: true, denied: None };
    let spent = RetrySupply { left: 5.0, ..lender };
    let borrower = RetrySupply { allowed: 1.2, left: 0.2, lends: false, denied: None };
    let denied = RetrySupply { denied: Some(ms(100)), ..borrower };
    let case = |name, started, supply, want| RetryCase { name, started, supply, want };
    let cases = [
        case("a lender with enough", false, lender, true),
        case("a lender with little", false, spent, false),
        case("a begun stream of that lender", true, spent, true),
        case("a host that borrows", false, borrower, true),
        case("a host that was lent nothing", false, denied, false),
        case("a begun stream of that host", true, denied, true),
        case("lent again", false, RetrySupply { denied: Some(ms(2000)), ..denied }, true),
    ];
    for RetryCase { name, started, supply, want } in cases {
        assert_eq!(may_retry_full(started, &supply), want, "{name}");
    }
}

#[test]
fn a_denial_is_remembered_by_the_budget() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(0.1, 0.0, ms(10_000), start);
    budget.set_pool(8, None, start);
    assert!(may_retry_full(false, &budget.supply(start)));
    budget.record_denial(start);
    assert!(!may_retry_full(false, &budget.supply(start + ms(100))));
    assert!(may_retry_full(false, &budget.supply(start + progress::DENIAL_VALIDITY)));
}

/// An engine that holds the first 20 layers.
fn engine() -> Targets {
    let mut targets = Targets::default();
    targets.upsert(TargetRecord {
        id: "a".to_owned(),
        life: 0,
        service: "model".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "north".to_owned(),
        slots: 10,
        draining: false,
        kind: Some("large".to_owned()),
        holding: Some(Holding { layers: (0, 20) }),
    });
    targets
}

#[test]
fn the_load_of_an_engine_is_evidence_of_what_it_refuses() {
    struct Case {
        name: &'static str,
        happens: fn(&mut Targets, Instant),
        takes_slot: bool,
        want: Refusal,
    }
    fn fill(targets: &mut Targets, part: f64, now: Instant) {
        let tokens = 1000.0;
        let capacity = tokens / targets.kv_fill("a", &spec(), tokens).expect("an engine");
        targets.reserve(&Claim { target: "a".to_owned(), kv_used: part * capacity }, now);
    }
    let cases = [
        Case { name: "empty", happens: |_, _| (), takes_slot: true, want: Refusal::Failing },
        Case {
            name: "cache in use",
            happens: |t, now| fill(t, 0.9, now),
            takes_slot: false,
            want: Refusal::Full,
        },
        Case {
            name: "cache in use, and dead",
            happens: |t, now| {
                fill(t, 0.9, now);
                t.liveness_failed("a", LivenessFailure::Silent);
            },
            takes_slot: false,
            want: Refusal::Failing,
        },
        Case {
            name: "busy by its own report",
            happens: |t, now| t.record_load("a", 8, 4, now),
            takes_slot: true,
            want: Refusal::Full,
        },
        Case {
            name: "slots that the request does not take",
            happens: |t, now| t.record_load("a", 8, 4, now),
            takes_slot: false,
            want: Refusal::Failing,
        },
        Case {
            name: "busy a while ago",
            happens: |t, now| t.record_load("a", 8, 4, now.checked_sub(ms(900)).unwrap_or(now)),
            takes_slot: true,
            want: Refusal::Failing,
        },
    ];
    let now = Instant::now();
    for case in cases {
        let mut targets = engine();
        (case.happens)(&mut targets, now);
        let evidence = targets.evidence("a", Some(&spec()), 0.0, case.takes_slot, now);
        assert_eq!(progress::refusal(&evidence), case.want, "{}", case.name);
    }
}

#[test]
fn the_longest_recent_first_event_counts() {
    let start = Instant::now();
    let path = ["a".to_owned()];
    let mut targets = engine();
    assert_eq!(targets.longest_first_event(&path, start), Duration::ZERO);
    targets.record_first_event(path.iter(), ms(800), start);
    targets.record_first_event(path.iter(), ms(90), start + ms(500));
    assert_eq!(targets.longest_first_event(&path, start + ms(500)), ms(800));
    targets.record_first_event(path.iter(), ms(70), start + ms(4000));
    assert_eq!(targets.longest_first_event(&path, start + ms(4000)), ms(70));
    assert_eq!(targets.longest_first_event(&path, start + ms(9000)), Duration::ZERO);
}

#[test]
fn a_full_target_stays_in_use() {
    let now = Instant::now();
    let mut targets = engine();
    targets.record_full("a", now);
    assert_eq!(targets.out_of_use("a", now), None);
    assert_eq!(targets.quarantine_end("a"), None);
}
