//! State of the targets and the choice among them.

use proptest::prelude::*;
use roseshore_core::gateway::peers::{TargetLoad, name_hash, target_hash};
use roseshore_core::gateway::targets::{
    Absence, Claim, LayersReport, LivenessFailure, RecordChange, Relay, Target,
};
use roseshore_core::gateway::{Holding, Position, TargetRecord, Targets};
use roseshore_core::prelude::*;
use std::collections::HashMap;

fn record(id: &str, centre: &str) -> TargetRecord {
    TargetRecord {
        id: id.to_owned(),
        life: 0,
        service: "plain".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: centre.to_owned(),
        slots: 6,
        draining: false,
        kind: None,
        holding: None,
    }
}

fn at(next: Offset) -> Position {
    Position { era: 0, next }
}

fn two() -> Targets {
    let mut targets = Targets::default();
    targets.upsert(record("a", "north"));
    targets.upsert(record("b", "south"));
    targets
}

fn claim(target: &str, kv_used: f64) -> Claim {
    Claim { target: target.to_owned(), kv_used }
}

fn chosen(targets: &Targets, near: &str, avoid: &[TargetId], now: Instant) -> Option<String> {
    targets.choose_plain("plain", near, avoid, now).map(|t| t.record.id.clone())
}

/// An event at target `a`, and the target chosen afterwards.
struct Case {
    name: &'static str,
    happens: fn(&mut Targets, Instant),
    chosen: &'static str,
}

#[test]
fn the_state_of_a_target_decides_whether_it_gets_work() {
    let cases = [
        Case { name: "nothing", happens: |_, _| (), chosen: "a" },
        Case {
            name: "it drains",
            happens: |t, _| {
                t.upsert(TargetRecord { draining: true, ..record("a", "north") });
            },
            chosen: "b",
        },
        Case {
            name: "it left",
            happens: |t, _| assert!(t.remove("a", Absence::Left)),
            chosen: "b",
        },
        Case {
            name: "its entry lapsed",
            happens: |t, now| assert!(t.remove("a", Absence::Lapsed(now))),
            chosen: "a",
        },
        Case {
            name: "another target has its address",
            happens: |t, _| t.mark_replaced("a"),
            chosen: "b",
        },
        Case {
            name: "a request failed",
            happens: |t, now| assert!(t.record_failure("a", now)),
            chosen: "b",
        },
        Case {
            name: "it fails its liveness check",
            happens: |t, _| assert!(t.liveness_failed("a", LivenessFailure::Silent)),
            chosen: "b",
        },
        Case {
            name: "it passes its liveness check again",
            happens: |t, now| {
                t.liveness_failed("a", LivenessFailure::Reset);
                t.liveness_passed("a", now);
            },
            chosen: "a",
        },
        Case {
            name: "it fails the liveness check of another host",
            happens: |t, now| {
                let load =
                    TargetLoad { target: name_hash("a"), down: true, ..TargetLoad::default() };
                t.set_remote_loads(&HashMap::from([(name_hash("a"), load)]), now);
            },
            chosen: "b",
        },
        Case {
            name: "it is busy",
            happens: |t, now| (0..4).for_each(|_| t.reserve(&claim("a", 0.0), now)),
            chosen: "b",
        },
        Case {
            name: "other hosts keep it busy",
            happens: |t, now| {
                let load = TargetLoad { target: name_hash("a"), own: 4, ..TargetLoad::default() };
                t.set_remote_loads(&HashMap::from([(name_hash("a"), load)]), now);
            },
            chosen: "b",
        },
        Case {
            name: "it reports that it is busy",
            happens: |t, now| t.record_load("a", 6, 2, now),
            chosen: "b",
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut targets = two();
        (case.happens)(&mut targets, now);
        let found = chosen(&targets, "north", &[], now);
        assert_eq!(found.as_deref(), Some(case.chosen), "{}", case.name);
    }
}

#[test]
fn when_all_have_failed_the_least_loaded_still_gets_work() {
    let now = Instant::now();
    let mut targets = two();
    targets.record_failure("a", now);
    targets.record_failure("b", now);
    assert_eq!(chosen(&targets, "north", &[], now).as_deref(), Some("a"));
    assert_eq!(chosen(&targets, "north", &["a".to_owned()], now).as_deref(), Some("b"));
    assert_eq!(chosen(&targets, "north", &["a".to_owned(), "b".to_owned()], now), None);
}

/// How both targets failed their liveness checks, and which of them is tried nevertheless.
struct DeadCase {
    a: LivenessFailure,
    b: LivenessFailure,
    tried: Option<&'static str>,
}

#[test]
fn nothing_is_sent_to_silent_targets() {
    let cases = [
        DeadCase { a: LivenessFailure::Reset, b: LivenessFailure::Reset, tried: Some("a") },
        DeadCase { a: LivenessFailure::Silent, b: LivenessFailure::Reset, tried: Some("b") },
        DeadCase { a: LivenessFailure::Silent, b: LivenessFailure::Silent, tried: None },
    ];
    for case in cases {
        let now = Instant::now();
        let mut targets = two();
        assert!(targets.liveness_failed("a", case.a) && targets.liveness_failed("b", case.b));
        assert_eq!(chosen(&targets, "north", &[], now).as_deref(), case.tried, "{:?}", case.a);
        targets.liveness_passed("b", now);
        assert_eq!(chosen(&targets, "north", &[], now).as_deref(), Some("b"));
    }
}

/// What a host sees of a target that another host reports to fail its checks; in milliseconds.
struct ReportCase {
    name: &'static str,
    /// When the target was last seen alive here: by a check that began then, or by data.
    check: Option<u64>,
    progress: Option<u64>,
    /// Whether it fails a check of this host in the end.
    fails: bool,
    down: bool,
}

/// Guards against the loss of sound targets by the report of a host that has lost its own links.
#[test]
fn a_report_holds_until_this_host_reaches_the_target() {
    const REPORTED: u64 = 100;
    let case = ReportCase { name: "", check: None, progress: None, fails: false, down: true };
    let cases = [
        ReportCase { name: "nothing is known", ..case },
        ReportCase { name: "an earlier check passed", check: Some(99), ..case },
        ReportCase { name: "a later check passed", check: Some(100), down: false, ..case },
        ReportCase { name: "data arrived before", progress: Some(99), ..case },
        ReportCase { name: "data arrived after", progress: Some(101), down: false, ..case },
        ReportCase { name: "it then fails here", check: Some(101), fails: true, ..case },
    ];
    for case in cases {
        let began = Instant::now();
        let at = |ms| began + Duration::from_millis(ms);
        let mut targets = two();
        let id: TargetId = "a".to_owned();
        let see = |before: bool, targets: &mut Targets| {
            let due = |ms: &u64| (*ms < REPORTED) == before;
            if let Some(ms) = case.check.filter(due) {
                targets.liveness_passed(&id, at(ms));
            }
            if let Some(ms) = case.progress.filter(due) {
                targets.record_progress([&id].into_iter(), false, at(ms));
            }
        };
        see(true, &mut targets);
        let load = TargetLoad { target: name_hash("a"), down: true, ..TargetLoad::default() };
        let loads = HashMap::from([(load.target, load)]);
        let changes = targets.set_remote_loads(&loads, at(REPORTED));
        assert_eq!(changes.down, std::slice::from_ref(&id), "{}", case.name);
        see(false, &mut targets);
        if case.fails {
            targets.liveness_failed(&id, LivenessFailure::Silent);
        }
        let expected = if case.down { "b" } else { "a" };
        assert_eq!(
            chosen(&targets, "north", &[], at(200)).as_deref(),
            Some(expected),
            "{}",
            case.name
        );
        assert_eq!(targets.refuted().is_empty(), case.down, "{}", case.name);
        assert_eq!(targets.set_remote_loads(&HashMap::new(), at(300)).back, [id], "{}", case.name);
    }
}

#[test]
fn a_lapsed_entry_that_does_not_come_back_is_removed() {
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let mut targets = two();
    targets.remove("a", Absence::Lapsed(at(1900)));
    targets.remove("b", Absence::Lapsed(at(1900)));
    targets.upsert(record("b", "south"));
    assert!(targets.tick(at(1800)).is_empty());
    assert_eq!(targets.tick(at(1950)), ["a".to_owned()]);
    assert_eq!(chosen(&targets, "north", &[], at(1950)).as_deref(), Some("b"));
}

#[test]
fn a_digest_tells_lists_apart() {
    let now = Instant::now();
    let (mut left, mut right) = (two(), Targets::default());
    right.upsert(record("b", "south"));
    right.upsert(record("a", "north"));
    assert_eq!(left.list_version(at(5)).digest, right.list_version(at(9)).digest);
    left.upsert(TargetRecord { draining: true, ..record("a", "north") });
    assert_ne!(left.list_version(at(5)).digest, right.list_version(at(9)).digest);
    right.mark_replaced("a");
    right.record_failure("b", now);
    let mut same = two();
    same.upsert(record("a", "north"));
    assert_eq!(
        same.list_version(at(0)).digest,
        right.list_version(at(0)).digest,
        "this host's view is not part of the digest"
    );
}

/// One change to the target list.
#[derive(Clone, Debug)]
enum ListChange {
    Upsert(u8, bool, Option<(Layer, Layer)>),
    Remove(u8, bool),
    Replace(Vec<u8>, bool),
    Elapse(u64),
}

fn change() -> impl Strategy<Value = ListChange> {
    let range = (0..40u16, 1..40u16).prop_map(|(from, width)| (from, from + width));
    prop_oneof![
        (0..9u8, any::<bool>(), proptest::option::of(range))
            .prop_map(|(id, draining, range)| ListChange::Upsert(id, draining, range)),
        (0..9u8, any::<bool>()).prop_map(|(id, left)| ListChange::Remove(id, left)),
        (proptest::collection::vec(0..9u8, 0..9), any::<bool>())
            .prop_map(|(ids, left)| ListChange::Replace(ids, left)),
        (1..3000u64).prop_map(ListChange::Elapse),
    ]
}

fn numbered(id: u8) -> TargetRecord {
    record(&format!("t-{id}"), "north")
}

proptest! {
    /// The incrementally updated digest and index equal those computed from scratch, so hosts that
    /// read the same entries in different orders agree on their lists.
    #[test]
    fn digest_and_index_follow_every_change(changes in proptest::collection::vec(change(), 1..60)) {
        let mut now = Instant::now();
        let mut targets = Targets::default();
        for change in changes {
            let until = now + Duration::from_millis(1900);
            let absence = |left| if left { Absence::Left } else { Absence::Lapsed(until) };
            match change {
                ListChange::Upsert(id, draining, layers) => {
                    let holding = layers.map(|layers| Holding { layers });
                    targets.upsert(TargetRecord { draining, holding, ..numbered(id) });
                }
                ListChange::Remove(id, left) => {
                    targets.remove(&format!("t-{id}"), absence(left));
                }
                ListChange::Replace(ids, left) => {
                    targets.replace_list(ids.into_iter().map(numbered).collect(), absence(left));
                }
                ListChange::Elapse(ms) => {
                    now += Duration::from_millis(ms);
                    targets.tick(now);
                }
            }
            let mut rebuilt = Targets::default();
            for record in targets.listed_records() {
                rebuilt.upsert(record);
            }
            prop_assert_eq!(targets.list_version(at(0)), rebuilt.list_version(at(0)));
            for id in (0..9).map(|id| numbered(id).id) {
                let known = targets.get(&id).map(|t| &t.record.id);
                prop_assert_eq!(targets.id_of(name_hash(&id)), known);
            }
        }
    }
}

/// State of target `a` in its first incarnation.
struct IncarnationCase {
    name: &'static str,
    known: fn(&mut Targets, Instant),
}

#[test]
fn state_of_a_target_ends_with_its_incarnation() {
    let holds = |targets: &Targets| targets.get("a").and_then(Target::holding);
    let with_life = |life: u64| TargetRecord { life, ..record("a", "north") };
    let first = target_hash("a", 100);
    let cases = [
        IncarnationCase {
            name: "a request failed",
            known: |t, now| assert!(t.record_failure("a", now)),
        },
        IncarnationCase {
            name: "it fails its liveness check",
            known: |t, _| assert!(t.liveness_failed("a", LivenessFailure::Silent)),
        },
        IncarnationCase {
            name: "another target has its address",
            known: |t, _| t.mark_replaced("a"),
        },
        IncarnationCase {
            name: "it reported its load",
            known: |t, now| t.record_load("a", 6, 9, now),
        },
        IncarnationCase {
            name: "it reported layers",
            known: |t, now| {
                let report = LayersReport { number: 1, layers: (3, 9), listed: (0, 0) };
                t.apply_report(target_hash("a", 100), report, now + Duration::from_secs(4));
            },
        },
        IncarnationCase {
            name: "other hosts reported their load",
            known: |t, now| {
                let target = target_hash("a", 100);
                let load = TargetLoad { target, own: 4, held: 7, down: true };
                t.set_remote_loads(&HashMap::from([(target, load)]), now);
            },
        },
        IncarnationCase {
            name: "its entry lapsed",
            known: |t, now| assert!(t.remove("a", Absence::Lapsed(now))),
        },
    ];
    // The clock of the second incarnation may be ahead or behind: the list's order decides.
    for (case, second) in cases.iter().flat_map(|case| [(case, 170), (case, 30)]) {
        let now = Instant::now();
        let mut targets = two();
        targets.upsert(with_life(100));
        (case.known)(&mut targets, now);
        assert_eq!(targets.upsert(with_life(second)), RecordChange::Restarted, "{}", case.name);
        assert_eq!(chosen(&targets, "north", &[], now).as_deref(), Some("a"), "{}", case.name);
        assert_eq!(holds(&targets), None, "{}", case.name);
        assert!(targets.tick(now + Duration::from_secs(9)).is_empty(), "{}", case.name);
        assert_eq!(
            targets.upsert(with_life(second)),
            RecordChange::Unchanged,
            "the same incarnation twice"
        );
        // A report about the former incarnation arrives late.
        let load = TargetLoad { target: first, own: 9, held: 9, down: true };
        targets.set_remote_loads(&HashMap::from([(first, load)]), now);
        let report = LayersReport { number: 9, layers: (3, 9), listed: (0, 0) };
        assert!(
            !targets.apply_report(first, report, now + Duration::from_secs(4)),
            "{}",
            case.name
        );
        assert_eq!(chosen(&targets, "north", &[], now).as_deref(), Some("a"), "{}", case.name);
        assert_eq!(targets.id_of(first), None, "{}", case.name);
    }
}

#[test]
fn requests_to_a_former_incarnation_are_still_released() {
    let mut targets = two();
    let claim = claim("a", 500.0);
    let now = Instant::now();
    targets.reserve(&claim, now);
    targets.upsert(TargetRecord { life: 7, ..record("a", "north") });
    let own_load = |targets: &Targets| targets.get("a").map(|t| (t.in_flight, t.kv_used));
    assert_eq!(own_load(&targets), Some((1, 500.0)));
    targets.release(&claim, now, now);
    assert_eq!(own_load(&targets), Some((0, 0.0)));
}

/// Hosts that find out different things at the same moment, and forward every report that is new.
/// Without an order among reports, they would forward them forever.
#[test]
fn contradicting_reports_converge() {
    const HOSTS: usize = 5;
    let now = Instant::now();
    let until = now + Duration::from_secs(4);
    let target = name_hash("a");
    let listed = TargetRecord { holding: Some(Holding { layers: (0, 9) }), ..record("a", "north") };
    let mut hosts: Vec<Targets> = (0..HOSTS).map(|_| Targets::default()).collect();
    let mut queue = std::collections::VecDeque::new();
    for (n, host) in hosts.iter_mut().enumerate() {
        host.upsert(listed.clone());
        // No layers, or one of two ranges.
        let report = host.next_report(target, [(0, 0), (0, 5), (3, 9)][n % 3]);
        assert!(host.apply_report(target, report, until));
        queue.push_back((n, report));
    }
    let mut forwarded = 0;
    while let Some((from, report)) = queue.pop_front() {
        for to in (0..HOSTS).filter(|to| *to != from) {
            if hosts[to].apply_report(target, report, until) {
                forwarded += 1;
                queue.push_back((to, report));
            }
        }
        assert!(forwarded <= HOSTS * 3, "reports are forwarded forever");
    }
    let holds = |host: &Targets| host.get("a").and_then(Target::holding);
    assert!(hosts.iter().all(|host| holds(host) == holds(&hosts[0])), "all hosts agree");
    // A newer list record ends the report, and the old report does not come back.
    hosts[0].upsert(TargetRecord { holding: Some(Holding { layers: (1, 7) }), ..listed });
    let old = LayersReport { number: 1, layers: (3, 9), listed: (0, 9) };
    assert!(!hosts[0].apply_report(target, old, until));
    assert_eq!(holds(&hosts[0]), Some(Holding { layers: (1, 7) }));
    // A host that read the list only once accepts the next report like one that read every change.
    let report = hosts[0].next_report(target, (1, 4));
    let listed = TargetRecord { holding: Some(Holding { layers: (1, 7) }), ..record("a", "north") };
    let mut late = Targets::default();
    late.upsert(listed);
    assert!(late.apply_report(target, report, until));
}

#[test]
fn lists_with_different_incarnations_differ() {
    let (mut left, right) = (two(), two());
    left.upsert(TargetRecord { life: 7, ..record("a", "north") });
    assert_ne!(left.list_version(at(5)).digest, right.list_version(at(5)).digest);
}

#[test]
fn a_stalled_path_suspects_targets_without_progress() {
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let mut targets = two();
    targets.upsert(record("c", "north"));
    let ids: Vec<TargetId> = ["a", "b", "c"].map(str::to_owned).to_vec();
    targets.record_progress(ids.iter(), false, at(100));
    targets.record_progress([ids[1].clone()].iter(), false, at(300));
    assert_eq!(targets.suspects(&ids, at(100)), ["a".to_owned(), "c".to_owned()]);
    targets.liveness_failed("a", LivenessFailure::Silent);
    targets.record_progress([ids[0].clone()].iter(), false, at(320));
    assert!(targets.dead().is_empty(), "a target that makes progress is alive");
}

/// Guards against a target whose answers are bad and that counts as sound again as soon as another
/// host is found to reach it.
#[test]
fn another_host_that_reaches_a_target_does_not_excuse_what_the_target_sent() {
    for (own, in_use) in [(false, true), (true, false)] {
        let now = Instant::now();
        let mut targets = two();
        if own {
            targets.record_own_failure("a", now);
        }
        targets.record_failure("a", now);
        targets.liveness_failed("a", LivenessFailure::Silent);
        let host = "10.0.0.9:7".parse().expect("an address");
        targets.record_relay(target_hash("a", 0), Relay { host, near: true, confirmed: now });
        let healthy = targets.get("a").is_some_and(|target| target.is_healthy(now));
        assert_eq!(healthy, in_use, "by what it sent: {own}");
    }
}
