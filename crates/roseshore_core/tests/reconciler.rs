//! Tests of the reconciler: orders are level-triggered, keep a complete chain in service and stay
//! within the rate of the weight store.

use roseshore_core::order::desired::{Desired, desired};
use roseshore_core::order::reconciler::{
    Action, DueOrder, Observed, Reconciler, ReconcilerLimits, WeightStoreState, tiles,
};
use roseshore_core::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const STORE: WeightStoreState = WeightStoreState { rate: 100, backlog: 0 };

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

fn serving(version: &str, layers: (Layer, Layer)) -> Observed {
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
    Observed { loading: true, ..serving(version, layers) }
}

fn drained(version: &str, layers: (Layer, Layer), running: u32) -> Observed {
    Observed { serves: false, running, ..serving(version, layers) }
}

fn busy(version: &str, layers: (Layer, Layer)) -> Observed {
    Observed { running: 3, ..serving(version, layers) }
}

struct Case {
    name: &'static str,
    wants: Vec<(&'static str, Desired)>,
    observed: Vec<(&'static str, Observed)>,
    store: Option<WeightStoreState>,
    /// Orders issued at once, by target; `-` marks a drain.
    orders: &'static [&'static str],
    /// Orders issued once every daemon knows the observed state.
    after_propagation: &'static [&'static str],
    /// Orders issued after the drain timeout for answers in flight.
    after_drain: &'static [&'static str],
}

fn order_names(due: &[DueOrder]) -> Vec<String> {
    let mark = |due: &DueOrder| if matches!(due.action, Action::Drain(_)) { "-" } else { "" };
    due.iter().map(|d| format!("{}{}", mark(d), d.target)).collect()
}

const LOW: (Layer, Layer) = (0, 4);
const HIGH: (Layer, Layer) = (4, 8);

fn full_model(version: &str) -> Desired {
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
    change_cases().into_iter().chain(drain_cases()).chain(store_cases()).collect()
}

fn change_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a target in the desired state gets no order",
            wants: vec![("a1", want("1", LOW))],
            observed: vec![("a1", serving("1", LOW))],
            store: Some(STORE),
            orders: &[],
            after_propagation: &[],
            after_drain: &[],
        },
        Case {
            name: "one chain keeps serving while the other changes",
            wants: two_chains(),
            observed: vec![
                ("a1", serving("1", LOW)),
                ("a2", serving("1", HIGH)),
                ("b1", serving("1", LOW)),
                ("b2", serving("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &["-a1", "-a2"],
            after_propagation: &[],
            after_drain: &[],
        },
        Case {
            name: "the second chain waits for the first",
            wants: two_chains(),
            observed: vec![
                ("a1", loading("2", LOW)),
                ("a2", serving("2", HIGH)),
                ("b1", serving("1", LOW)),
                ("b2", serving("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &[],
            after_propagation: &[],
            after_drain: &[],
        },
        Case {
            name: "the second chain follows once the first is complete",
            wants: two_chains(),
            observed: vec![
                ("a1", serving("2", LOW)),
                ("a2", serving("2", HIGH)),
                ("b1", serving("1", LOW)),
                ("b2", serving("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &[],
            after_propagation: &["b1", "b2"],
            after_drain: &[],
        },
        Case {
            name: "a single chain goes out of service for its change",
            wants: vec![("a1", want("2", LOW)), ("a2", want("2", HIGH))],
            observed: vec![("a1", serving("1", LOW)), ("a2", serving("1", HIGH))],
            store: Some(STORE),
            orders: &["a1", "a2"],
            after_propagation: &[],
            after_drain: &[],
        },
    ]
}

fn drain_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a drained chain waits for its answers, and the other chain for it",
            wants: two_chains(),
            observed: vec![
                ("a1", drained("1", LOW, 3)),
                ("a2", drained("1", HIGH, 0)),
                ("b1", serving("1", LOW)),
                ("b2", serving("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &[],
            after_propagation: &["a2"],
            after_drain: &["a1"],
        },
        Case {
            name: "the replaced chain waits for its answers",
            wants: two_chains(),
            observed: vec![
                ("a1", serving("2", LOW)),
                ("a2", serving("2", HIGH)),
                ("b1", busy("1", LOW)),
                ("b2", serving("1", HIGH)),
            ],
            store: Some(STORE),
            orders: &[],
            after_propagation: &["b2"],
            after_drain: &["b1"],
        },
        Case {
            name: "a single chain that is never idle changes after the drain timeout",
            wants: vec![("a1", want("2", LOW)), ("a2", want("2", HIGH))],
            observed: vec![("a1", busy("1", LOW)), ("a2", busy("1", HIGH))],
            store: Some(STORE),
            orders: &[],
            after_propagation: &[],
            after_drain: &["a1", "a2"],
        },
        Case {
            name: "half of the chains change first",
            wants: ["a1", "b1", "c1", "d1", "e1"].map(|id| (id, full_model("2"))).into(),
            observed: ["a1", "b1", "c1", "d1", "e1"].map(|id| (id, serving("1", (0, 8)))).into(),
            store: Some(WeightStoreState { rate: 1_000, backlog: 0 }),
            orders: &["-a1", "-b1"],
            after_propagation: &[],
            after_drain: &[],
        },
        Case {
            name: "a drained target in the desired state takes answers again",
            wants: vec![("a1", want("1", LOW)), ("a2", want("1", HIGH))],
            observed: vec![("a1", drained("1", LOW, 3)), ("a2", serving("1", HIGH))],
            store: None,
            orders: &["a1"],
            after_propagation: &[],
            after_drain: &[],
        },
    ]
}

fn store_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a backlog at the weight store delays loads",
            wants: vec![("a1", want("2", LOW))],
            observed: vec![("a1", serving("1", LOW))],
            store: Some(WeightStoreState { rate: 100, backlog: 1_900 }),
            orders: &[],
            after_propagation: &[],
            after_drain: &[],
        },
        Case {
            name: "an idle store accepts one load above the backlog limit",
            wants: vec![("a1", want("2", LOW)), ("b1", want("2", LOW))],
            observed: vec![("a1", serving("1", LOW)), ("b1", serving("1", LOW))],
            store: Some(WeightStoreState { rate: 1, backlog: 0 }),
            orders: &["a1"],
            after_propagation: &["b1"],
            after_drain: &[],
        },
        Case {
            name: "a store that does not answer gets no loads",
            wants: vec![("a1", want("2", LOW))],
            observed: vec![("a1", serving("1", LOW))],
            store: None,
            orders: &[],
            after_propagation: &[],
            after_drain: &[],
        },
        Case {
            name: "a target without reports gets no order",
            wants: vec![("a1", want("2", LOW))],
            observed: vec![],
            store: Some(STORE),
            orders: &[],
            after_propagation: &[],
            after_drain: &[],
        },
    ]
}

fn map<T: Clone>(rows: &[(&str, T)]) -> BTreeMap<TargetId, T> {
    rows.iter().map(|(id, value)| ((*id).to_owned(), value.clone())).collect()
}

#[test]
fn orders() {
    // The long delay between repeats makes each order appear only once.
    let long = Duration::from_hours(1);
    let bounds =
        ReconcilerLimits { retry_after: long, max_backoff: long, ..ReconcilerLimits::default() };
    for case in cases() {
        let mut reconciler = Reconciler::new(bounds);
        let start = Instant::now();
        let (wants, observed) = (map(&case.wants), map(&case.observed));
        let mut at = |after| {
            order_names(&reconciler.due(start + after, &wants, &observed, case.store, |_| true))
        };
        assert_eq!(at(Duration::ZERO), case.orders, "{}", case.name);
        assert_eq!(
            at(bounds.propagation),
            case.after_propagation,
            "{}: after the propagation delay",
            case.name
        );
        assert_eq!(
            at(bounds.drain_timeout),
            case.after_drain,
            "{}: after the drain timeout",
            case.name
        );
    }
}

#[test]
fn an_order_without_effect_is_repeated_with_backoff() {
    let mut reconciler = Reconciler::new(ReconcilerLimits::default());
    let start = Instant::now();
    let wants = map(&[("a1", want("2", LOW))]);
    let observed = map(&[("a1", serving("1", LOW))]);
    let mut times = Vec::new();
    for second in 0..30 {
        let now = start + Duration::from_secs(second);
        if !reconciler.due(now, &wants, &observed, Some(STORE), |_| true).is_empty() {
            times.push(second);
        }
    }
    assert_eq!(times, [0, 2, 6, 14]);
}

#[test]
fn a_target_that_checks_no_fence_waits_for_the_lease_to_settle() {
    let mut reconciler = Reconciler::new(ReconcilerLimits::default());
    let unfenced = Desired { checks_fence: false, ..want("2", LOW) };
    let wants = map(&[("a1", unfenced), ("b1", want("2", LOW))]);
    let observed = map(&[("a1", serving("1", LOW)), ("b1", serving("1", LOW))]);
    let due =
        reconciler.due(Instant::now(), &wants, &observed, Some(STORE), |checks_fence| checks_fence);
    assert_eq!(order_names(&due), ["b1"]);
}

struct TileCase {
    name: &'static str,
    ranges: &'static [(Layer, Layer)],
    complete: bool,
}

const TILE_CASES: &[TileCase] = &[
    TileCase { name: "complete", ranges: &[(0, 4), (4, 8)], complete: true },
    TileCase { name: "gap", ranges: &[(0, 3), (4, 8)], complete: false },
    TileCase { name: "overlap only", ranges: &[(0, 5), (4, 8)], complete: false },
    TileCase {
        name: "one way among overlaps",
        ranges: &[(0, 5), (0, 4), (4, 8), (5, 7)],
        complete: true,
    },
    TileCase { name: "no ranges", ranges: &[], complete: false },
];

#[test]
fn ranges_tile_without_gap_or_overlap() {
    for case in TILE_CASES {
        assert_eq!(tiles(case.ranges.iter().copied(), 8), case.complete, "{}", case.name);
    }
}

#[test]
fn the_desired_state_covers_the_own_data_centre_only() {
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
