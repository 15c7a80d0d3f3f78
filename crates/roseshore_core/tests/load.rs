//! The load table: corrections of late reports, circuit breakers, detection of slow targets.

use proptest::prelude::*;
use roseshore_core::fleet::TargetKind;
use roseshore_core::load::breaker::CircuitBreaker;
use roseshore_core::load::in_flight::InFlightHistory;
use roseshore_core::load::{LoadTable, PollResult, ReportChange, ServiceState, TargetIndex};
use roseshore_core::prelude::*;

fn target() -> Target {
    Target {
        kind: TargetKind::Service,
        host: "h".into(),
        data_centre: "d".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        serves: Some("s".into()),
        model: None,
        layers: None,
        accelerator: None,
        checks_fence: false,
    }
}

fn loads(ids: &[&str]) -> LoadTable {
    let targets = ids.iter().map(|id| ((*id).to_owned(), target())).collect();
    let mut loads = LoadTable::default();
    loads.apply_fleet(&Fleet { targets, ..Fleet::default() });
    loads
}

fn state(incarnation: Incarnation, running: u32, draining: bool) -> PollResult {
    let call = Duration::from_millis(2);
    PollResult::Service(ServiceState { incarnation, queue: 0, running, slots: 4, call, draining })
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn late_reports_are_corrected_by_own_requests() {
    struct Case {
        name: &'static str,
        /// Times at which own requests begin (a positive number) or end (a negative one).
        own: &'static [(u64, i32)],
        reported: u32,
        depth: f64,
    }
    let cases = [
        Case { name: "nothing own", own: &[], reported: 5, depth: 5.0 },
        Case { name: "own in the report", own: &[(0, 3)], reported: 5, depth: 5.0 },
        Case { name: "begun since", own: &[(900, 3)], reported: 5, depth: 8.0 },
        Case { name: "ended since", own: &[(0, 3), (900, -3)], reported: 5, depth: 2.0 },
        Case { name: "never below own", own: &[(0, 9)], reported: 1, depth: 9.0 },
    ];
    for case in cases {
        let start = Instant::now();
        let mut loads = loads(&["t"]);
        let row = loads.find("t").unwrap();
        let mut tickets = Vec::new();
        for &(at, change) in case.own {
            let now = start + ms(at);
            for _ in 0..change {
                tickets.push(loads.begin(&[row], now));
            }
            for _ in change..0 {
                loads.end(&tickets.pop().unwrap(), now);
            }
        }
        let seen = start + ms(1000);
        loads.report("t", seen, state(1, case.reported, false));
        let depth = loads.row(row).depth(seen + ms(10));
        assert!((depth - case.depth).abs() < 1e-9, "{}: {depth}", case.name);
    }
}

#[test]
fn reports_change_what_is_known() {
    struct Case {
        name: &'static str,
        reports: [(u64, bool); 2],
        last: ReportChange,
        usable: bool,
    }
    let case = |name, reports, last, usable| Case { name, reports, last, usable };
    let cases = [
        case("leaving", [(0, false), (9, true)], ReportChange::Capabilities, false),
        case("no longer leaving", [(0, true), (9, false)], ReportChange::Capabilities, true),
        case("figures only", [(0, false), (9, false)], ReportChange::LoadOnly, true),
        case("an older one", [(9, false), (0, true)], ReportChange::Ignored, true),
        case("a repeat", [(9, false), (9, true)], ReportChange::Ignored, true),
    ];
    for case in cases {
        let start = Instant::now();
        let mut loads = loads(&["t"]);
        let mut report = |(at, draining)| loads.report("t", start + ms(at), state(1, 0, draining));
        assert_eq!(case.reports.map(&mut report)[1], case.last, "{}", case.name);
        let row = loads.find("t").unwrap();
        assert_eq!(loads.row(row).usable(start + ms(20)), case.usable, "{}", case.name);
    }
}

#[derive(Clone, Copy)]
enum Step {
    Fail(u64),
    Work(u64),
    Report(u64),
}

#[test]
fn failures_keep_a_target_out() {
    use Step::*;
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        at: u64,
        own: u32,
        usable: bool,
    }
    let case = |name, steps, at, own, usable| Case { name, steps, at, own, usable };
    let cases = [
        case("at once", &[Fail(0)][..], 0, 0, false),
        case("half open", &[Fail(0)], 260, 0, true),
        case("one probe at a time", &[Fail(0)], 260, 1, false),
        case("a probe worked", &[Fail(0), Work(260)], 261, 5, true),
        case("an old answer proves nothing", &[Fail(0), Work(100)], 260, 1, false),
        case("a report after the quarantine", &[Fail(0), Report(260)], 261, 5, true),
        case("a report within it", &[Fail(0), Report(100)], 101, 0, false),
        case("the second is longer", &[Fail(0), Work(260), Fail(270)], 530, 0, false),
        case("the second ends", &[Fail(0), Work(260), Fail(270)], 780, 0, true),
        case("several of one fault count once", &[Fail(0), Fail(1), Fail(2)], 260, 0, true),
    ];
    for case in cases {
        let start = Instant::now();
        let mut breaker = CircuitBreaker::default();
        for step in case.steps {
            match *step {
                Fail(at) => breaker.record_failure(start + ms(at)),
                Work(at) => breaker.record_success(start + ms(at)),
                Report(at) => breaker.record_report(start + ms(at)),
            }
        }
        assert_eq!(breaker.usable(start + ms(case.at), case.own), case.usable, "{}", case.name);
    }
}

#[test]
fn a_new_incarnation_is_used_at_once() {
    let start = Instant::now();
    let mut loads = loads(&["t"]);
    let row = loads.find("t").unwrap();
    loads.report("t", start, state(1, 0, false));
    loads.record_failure("t", start + ms(1));
    loads.report("t", start + ms(2), state(1, 0, false));
    assert!(!loads.row(row).usable(start + ms(3)));
    loads.report("t", start + ms(4), state(2, 0, false));
    assert!(loads.row(row).usable(start + ms(5)));
}

#[test]
fn the_slow_target_is_found_among_changing_chains() {
    let start = Instant::now();
    let ids = ["a", "b", "c", "d", "e", "f"];
    let mut loads = loads(&ids);
    let rows: Vec<TargetIndex> = ids.iter().map(|id| loads.find(id).unwrap()).collect();
    for id in ids {
        loads.report(id, start, state(1, 0, false));
    }
    for round in 0..400_usize {
        let now = start + ms(round as u64 * 10);
        let chain = [rows[round % 2], rows[2 + round / 2 % 2], rows[4 + round / 4 % 2]];
        let slow = chain.contains(&rows[2]);
        loads.record_chain_step(&chain, 0.0, ms(if slow { 24 } else { 6 }), now);
    }
    let slowdown = |row: TargetIndex| loads.row(row).slowdown(start + ms(4000));
    assert!(slowdown(rows[2]) > 7.0, "{}", slowdown(rows[2]));
    for &row in rows.iter().filter(|&&row| row != rows[2]) {
        assert!(slowdown(row) < 2.5, "{}", slowdown(row));
    }
    let later = start + Duration::from_mins(5);
    assert!((loads.row(rows[2]).slowdown(later) - 1.0).abs() < 1e-9, "it is tried again");
}

#[test]
fn silence_counts_as_slowness() {
    let start = Instant::now();
    let mut loads = loads(&["t"]);
    let row = loads.find("t").unwrap();
    loads.report("t", start, state(1, 0, false));
    let slowdown = |loads: &LoadTable, at: u64| loads.row(row).slowdown(start + ms(at));
    let ticket = loads.begin(&[row], start);
    assert!(slowdown(&loads, 200) <= 1.0 && slowdown(&loads, 2500) >= 10.0);
    loads.record_step("t", ms(2), start + ms(2500));
    assert!(slowdown(&loads, 2600) < 1.5, "progress");
    loads.end(&ticket, start + ms(2600));
    assert!(slowdown(&loads, 9000) < 1.5, "nothing in flight");
}

#[test]
fn a_ticket_of_a_replaced_target_changes_nothing() {
    let now = Instant::now();
    let mut loads = loads(&["t"]);
    let ticket = loads.begin(&[loads.find("t").unwrap()], now);
    loads.apply_fleet(&Fleet::default());
    let targets = [("u".to_owned(), target())].into();
    loads.apply_fleet(&Fleet { targets, ..Fleet::default() });
    let row = loads.find("u").unwrap();
    let other = loads.begin(&[row], now);
    loads.end(&ticket, now);
    assert_eq!(loads.row(row).own_requests(), 1);
    loads.end(&other, now);
    assert_eq!(loads.row(row).own_requests(), 0);
}

proptest! {
    /// The history agrees with a full record, to an eighth of a second.
    #[test]
    fn history_matches_a_full_record(steps in prop::collection::vec((0..300_u64, any::<bool>()), 1..60)) {
        let start = Instant::now();
        let (mut history, mut record, mut now, mut current) = (InFlightHistory::default(), vec![], 0, 0_u32);
        for (gap, up) in steps {
            now += gap;
            current = if up { current + 1 } else { current.saturating_sub(1) };
            history.change(start + ms(now), if up { 1 } else { -1 });
            record.push((now, current));
        }
        let at = |time: u64| record.iter().rev().find(|(t, _)| *t <= time).map_or(0, |(_, l)| *l);
        for back in (0..1800.min(now)).step_by(25) {
            let time = now - back;
            let near: Vec<u32> = (time.saturating_sub(126)..=time + 126).map(at).collect();
            let got = history.at_time(start + ms(time));
            prop_assert!(near.contains(&got), "{back} ms back: {got} not in {near:?}");
        }
    }
}
