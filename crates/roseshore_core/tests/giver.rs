//! Which orders are given: level-triggered, whole chains kept, within the weight store's rate.

use roseshore_core::order::desired::{Desired, desired};
use roseshore_core::order::giver::{Giver, GiverBounds, Seen, Store, tiles};
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
        checks: true,
    }
}

fn holds(version: &str, layers: (Layer, Layer)) -> Seen {
    Seen {
        model: Some("m".into()),
        version: Some(version.into()),
        layers,
        adapters: BTreeSet::default(),
        loading: false,
    }
}

fn loading(version: &str, layers: (Layer, Layer)) -> Seen {
    Seen { loading: true, ..holds(version, layers) }
}

struct Case {
    name: &'static str,
    wants: Vec<(&'static str, Desired)>,
    seen: Vec<(&'static str, Seen)>,
    store: Option<Store>,
    orders: &'static [&'static str],
}

const LOW: (Layer, Layer) = (0, 4);
const HIGH: (Layer, Layer) = (4, 8);

fn two_chains() -> Vec<(&'static str, Desired)> {
    vec![
        ("a1", want("2", LOW)),
        ("a2", want("2", HIGH)),
        ("b1", want("2", LOW)),
        ("b2", want("2", HIGH)),
    ]
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "what fits is left alone",
            wants: vec![("a1", want("1", LOW))],
            seen: vec![("a1", holds("1", LOW))],
            store: Some(STORE),
            orders: &[],
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
            orders: &["a1", "a2"],
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
            orders: &["b1", "b2"],
        },
        Case {
            name: "a single chain goes out of service for its change",
            wants: vec![("a1", want("2", LOW)), ("a2", want("2", HIGH))],
            seen: vec![("a1", holds("1", LOW)), ("a2", holds("1", HIGH))],
            store: Some(STORE),
            orders: &["a1", "a2"],
        },
        Case {
            name: "a backlog at the weight store holds loads back",
            wants: vec![("a1", want("2", LOW))],
            seen: vec![("a1", holds("1", LOW))],
            store: Some(Store { rate: 100, backlog: 1_900 }),
            orders: &[],
        },
        Case {
            name: "an idle store takes one load larger than the horizon",
            wants: vec![("a1", want("2", LOW)), ("b1", want("2", LOW))],
            seen: vec![("a1", holds("1", LOW)), ("b1", holds("1", LOW))],
            store: Some(Store { rate: 1, backlog: 0 }),
            orders: &["a1"],
        },
        Case {
            name: "a store that does not answer gets no loads",
            wants: vec![("a1", want("2", LOW))],
            seen: vec![("a1", holds("1", LOW))],
            store: None,
            orders: &[],
        },
        Case {
            name: "a silent target is not ordered",
            wants: vec![("a1", want("2", LOW))],
            seen: vec![],
            store: Some(STORE),
            orders: &[],
        },
    ]
}

fn map<T: Clone>(rows: &[(&str, T)]) -> BTreeMap<TargetId, T> {
    rows.iter().map(|(id, value)| ((*id).to_owned(), value.clone())).collect()
}

#[test]
fn orders() {
    for case in cases() {
        let mut giver = Giver::new(GiverBounds::default());
        let due =
            giver.due(Instant::now(), &map(&case.wants), &map(&case.seen), case.store, |_| true);
        let ids: Vec<&str> = due.iter().map(|(id, _)| id.as_str()).collect();
        assert_eq!(ids, case.orders, "{}", case.name);
    }
}

#[test]
fn an_order_without_effect_is_repeated_with_growing_waits() {
    let mut giver = Giver::new(GiverBounds::default());
    let start = Instant::now();
    let wants = map(&[("a1", want("2", LOW))]);
    let seen = map(&[("a1", holds("1", LOW))]);
    let mut times = Vec::new();
    for second in 0..30 {
        let now = start + Duration::from_secs(second);
        if !giver.due(now, &wants, &seen, Some(STORE), |_| true).is_empty() {
            times.push(second);
        }
    }
    assert_eq!(times, [0, 2, 6, 14]);
}

#[test]
fn a_target_that_checks_nothing_waits_for_the_lease_to_settle() {
    let mut giver = Giver::new(GiverBounds::default());
    let unchecked = Desired { checks: false, ..want("2", LOW) };
    let wants = map(&[("a1", unchecked), ("b1", want("2", LOW))]);
    let seen = map(&[("a1", holds("1", LOW)), ("b1", holds("1", LOW))]);
    let due = giver.due(Instant::now(), &wants, &seen, Some(STORE), |checks| checks);
    assert_eq!(due.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(), ["b1"]);
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
