//! Which orders are given: level-triggered, whole chains kept, within the weight store's rate.

use roseshore_core::order::desired::{Desired, desired};
use roseshore_core::order::reconciler::{
    Action, DueOrder, Observed, Reconciler, ReconcilerLimits, Store, tiles,
};
use roseshore_core::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const STORE: Store = Store { rate: 100, backlog: 0 };

fn want(version: &str, layers: (Layer, Layer)) -> Desired {
    Desired {
        model: "m".into(),
        version: version.into(),
        layers,
        adapters: BTreeSet::default(),
        bytes: 500,
        depth: 8,
        checks_fence: true,
    }
}

fn holds(version: &str, layers: (Layer, Layer)) -> Observed {
    Observed {
        model: Some("m".into()),
        version: Some(version.into()),
        layers,
        adapters: BTreeSet::default(),
        loading: false,
        serves: true,
        running: 0,
        queue: 0,
        slots: 8,
    }
}

fn loading(version: &str, layers: (Layer, Layer)) -> Observed {
    Observed { loading: true, ..holds(version, layers) }
}

fn drained(version: &str, layers: (Layer, Layer), running: u32) -> Observed {
    Observed { serves: false, running, ..holds(version, layers) }
}

fn busy(version: &str, layers: (Layer, Layer)) -> Observed {
    Observed { running: 3, ..holds(version, layers) }
}

struct Case {
    name: &'static str,
    wants: Vec<(&'static str, Desired)>,
    seen: Vec<(&'static str, Observed)>,
    store: Option<Store>,
    /// Given at once; `-` marks those that only end new answers.
    orders: &'static [&'static str],
    /// Given when every daemon has heard what is seen.
    quiet: &'static [&'static str],
    /// Given when answers in flight have had their time.
    late: &'static [&'static str],
}

fn names(due: &[DueOrder]) -> Vec<String> {
    let mark = |due: &DueOrder| if matches!(due.step, Action::Drain(_)) { "-" } else { "" };
    due.iter().map(|d| format!("{}{}", mark(d), d.target)).collect()
}

const LOW: (Layer, Layer) = (0, 4);
const HIGH: (Layer, Layer) = (4, 8);

fn whole(version: &str) -> Desired {
    want(version, (0, 8))
}

fn two_chains() -> Vec<(&'static str, Desired)> {
    vec![
        ("a1", want("2", LOW)),
        ("a2", want("2", HIGH)),
        ("b1", want("2", LOW)),
        ("b2", want("2", HIGH)),
    ]
}

fn cases() -> Vec<Case> {
    changes().into_iter().chain(waits()).chain(stores()).collect()
}

fn changes() -> Vec<Case> {
    vec![
        Case {
            name: "what fits is left alone",
            wants: vec![("a1", want("1", LOW))],
            seen: vec![("a1", holds("1", LOW))],
            store: Some(STORE),
            orders: &[],
            quiet: &[],
            late: &[],
        },
        Case {
            name: "one chain stays whole while the other changes",
            wants: two_chains(),
            seen: vec![
                ("a1", holds("1", LOW)),
                ("a2", holds("1", HIGH)),
                ("b1", holds("1", LOW)),
                ("b2", holds("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &["-a1", "-a2"],
            quiet: &[],
            late: &[],
        },
        Case {
            name: "the second chain waits for the first",
            wants: two_chains(),
            seen: vec![
                ("a1", loading("2", LOW)),
                ("a2", holds("2", HIGH)),
                ("b1", holds("1", LOW)),
                ("b2", holds("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &[],
            quiet: &[],
            late: &[],
        },
        Case {
            name: "the second chain follows once the first is whole",
            wants: two_chains(),
            seen: vec![
                ("a1", holds("2", LOW)),
                ("a2", holds("2", HIGH)),
                ("b1", holds("1", LOW)),
                ("b2", holds("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &[],
            quiet: &["b1", "b2"],
            late: &[],
        },
        Case {
            name: "a single chain goes out of service for its change",
            wants: vec![("a1", want("2", LOW)), ("a2", want("2", HIGH))],
            seen: vec![("a1", holds("1", LOW)), ("a2", holds("1", HIGH))],
            store: Some(STORE),
            orders: &["a1", "a2"],
            quiet: &[],
            late: &[],
        },
    ]
}

fn waits() -> Vec<Case> {
    vec![
        Case {
            name: "a drained chain waits for its answers, and the other chain for it",
            wants: two_chains(),
            seen: vec![
                ("a1", drained("1", LOW, 3)),
                ("a2", drained("1", HIGH, 0)),
                ("b1", holds("1", LOW)),
                ("b2", holds("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &[],
            quiet: &["a2"],
            late: &["a1"],
        },
        Case {
            name: "the replaced chain waits for its answers",
            wants: two_chains(),
            seen: vec![
                ("a1", holds("2", LOW)),
                ("a2", holds("2", HIGH)),
                ("b1", busy("1", LOW)),
                ("b2", holds("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &[],
            quiet: &["b2"],
            late: &["b1"],
        },
        Case {
            name: "a single chain that is never idle changes in the end",
            wants: vec![("a1", want("2", LOW)), ("a2", want("2", HIGH))],
            seen: vec![("a1", busy("1", LOW)), ("a2", busy("1", HIGH))],
            store: Some(STORE),
            orders: &[],
            quiet: &[],
            late: &["a1", "a2"],
        },
        Case {
            name: "half of the chains change first",
            wants: ["a1", "b1", "c1", "d1", "e1"].map(|id| (id, whole("2"))).into(),
            seen: ["a1", "b1", "c1", "d1", "e1"].map(|id| (id, holds("1", (0, 8)))).into(),
            store: Some(Store { rate: 1_000, backlog: 0 }),
            orders: &["-a1", "-b1"],
            quiet: &[],
            late: &[],
        },
        Case {
            name: "a drained target that is to stay as it is takes answers again",
            wants: vec![("a1", want("1", LOW)), ("a2", want("1", HIGH))],
            seen: vec![("a1", drained("1", LOW, 3)), ("a2", holds("1", HIGH))],
            store: None,
            orders: &["a1"],
            quiet: &[],
            late: &[],
        },
    ]
}

fn stores() -> Vec<Case> {
    vec![
        Case {
            name: "a backlog at the weight store holds loads back",
            wants: vec![("a1", want("2", LOW))],
            seen: vec![("a1", holds("1", LOW))],
            store: Some(Store { rate: 100, backlog: 1_900 }),
            orders: &[],
            quiet: &[],
            late: &[],
        },
        Case {
            name: "an idle store takes one load larger than the horizon",
            wants: vec![("a1", want("2", LOW)), ("b1", want("2", LOW))],
            seen: vec![("a1", holds("1", LOW)), ("b1", holds("1", LOW))],
            store: Some(Store { rate: 1, backlog: 0 }),
            orders: &["a1"],
            quiet: &["b1"],
            late: &[],
        },
        Case {
            name: "a store that does not answer gets no loads",
            wants: vec![("a1", want("2", LOW))],
            seen: vec![("a1", holds("1", LOW))],
            store: None,
            orders: &[],
            quiet: &[],
            late: &[],
        },
        Case {
            name: "a silent target is not ordered",
            wants: vec![("a1", want("2", LOW))],
            seen: vec![],
            store: Some(STORE),
            orders: &[],
            quiet: &[],
            late: &[],
        },
    ]
}

fn map<T: Clone>(rows: &[(&str, T)]) -> BTreeMap<TargetId, T> {
    rows.iter().map(|(id, value)| ((*id).to_owned(), value.clone())).collect()
}

#[test]
fn orders() {
    // Repeats are left out: each order is given once here.
    let far = Duration::from_hours(1);
    let bounds =
        ReconcilerLimits { retry_after: far, max_backoff: far, ..ReconcilerLimits::default() };
    for case in cases() {
        let mut reconciler = Reconciler::new(bounds);
        let start = Instant::now();
        let (wants, seen) = (map(&case.wants), map(&case.seen));
        let mut at =
            |after| names(&reconciler.due(start + after, &wants, &seen, case.store, |_| true));
        assert_eq!(at(Duration::ZERO), case.orders, "{}", case.name);
        assert_eq!(at(bounds.propagation), case.quiet, "{}: quiet", case.name);
        assert_eq!(at(bounds.drain_timeout), case.late, "{}: late", case.name);
    }
}

#[test]
fn an_order_without_effect_is_repeated_with_growing_waits() {
    let mut reconciler = Reconciler::new(ReconcilerLimits::default());
    let start = Instant::now();
    let wants = map(&[("a1", want("2", LOW))]);
    let seen = map(&[("a1", holds("1", LOW))]);
    let mut times = Vec::new();
    for second in 0..30 {
        let now = start + Duration::from_secs(second);
        if !reconciler.due(now, &wants, &seen, Some(STORE), |_| true).is_empty() {
            times.push(second);
        }
    }
    assert_eq!(times, [0, 2, 6, 14]);
}

#[test]
fn a_target_that_checks_nothing_waits_for_the_lease_to_settle() {
    let mut reconciler = Reconciler::new(ReconcilerLimits::default());
    let unchecked = Desired { checks_fence: false, ..want("2", LOW) };
    let wants = map(&[("a1", unchecked), ("b1", want("2", LOW))]);
    let seen = map(&[("a1", holds("1", LOW)), ("b1", holds("1", LOW))]);
    let due =
        reconciler.due(Instant::now(), &wants, &seen, Some(STORE), |checks_fence| checks_fence);
    assert_eq!(names(&due), ["b1"]);
}

struct Tiles {
    name: &'static str,
    ranges: &'static [(Layer, Layer)],
    whole: bool,
}

const TILES: &[Tiles] = &[
    Tiles { name: "whole", ranges: &[(0, 4), (4, 8)], whole: true },
    Tiles { name: "hole", ranges: &[(0, 3), (4, 8)], whole: false },
    Tiles { name: "overlap only", ranges: &[(0, 5), (4, 8)], whole: false },
    Tiles {
        name: "one way among overlaps",
        ranges: &[(0, 5), (0, 4), (4, 8), (5, 7)],
        whole: true,
    },
    Tiles { name: "nothing", ranges: &[], whole: false },
];

#[test]
fn ranges_tile_without_hole_or_overlap() {
    for case in TILES {
        assert_eq!(tiles(case.ranges.iter().copied(), 8), case.whole, "{}", case.name);
    }
}

#[test]
fn a_fleet_says_what_its_own_data_centre_should_hold() {
    let mut fleet = Fleet::default();
    let model =
        Model { layers: 8, version: "3".into(), adapters: ["x".into()].into(), layer_bytes: 10 };
    fleet.models.insert("m".into(), model);
    for (id, data_centre, model) in
        [("a1", "north", Some("m")), ("a2", "south", Some("m")), ("a3", "north", None)]
    {
        let target = Target {
            kind: roseshore_core::fleet::TargetKind::Engine,
            host: id.into(),
            data_centre: data_centre.into(),
            addr: ([127, 0, 0, 1], 1).into(),
            serves: None,
            model: model.map(Into::into),
            layers: Some(LOW),
            accelerator: None,
            checks_fence: true,
        };
        fleet.targets.insert(id.into(), target);
    }
    let wants = desired(&fleet, &"north".into());
    let ids: Vec<&String> = wants.keys().collect();
    assert_eq!(ids, ["a1"]);
    assert_eq!((wants["a1"].bytes, wants["a1"].version.as_str()), (40, "3"));
}
