//! What spare engines should hold: by loss, by demand, and never to and fro.

use proptest::prelude::*;
use roseshore_core::order::desired::Desired;
use roseshore_core::order::placement::{Placement, PlacementBounds};
use roseshore_core::order::reconciler::Observed;
use roseshore_core::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const SLOTS: u32 = 10;

/// A model of one part, so that its name says the part.
fn want(model: &str) -> Desired {
    Desired {
        model: model.into(),
        version: "1".into(),
        layers: (0, 8),
        adapters: BTreeSet::new(),
        bytes: 500,
        depth: 8,
        checks_fence: true,
    }
}

fn seen(model: Option<&str>, running: u32) -> Observed {
    Observed {
        model: model.map(Into::into),
        version: model.map(|_| "1".into()),
        layers: if model.is_some() { (0, 8) } else { (0, 0) },
        adapters: BTreeSet::new(),
        loading: false,
        serves: true,
        running,
        queue: 0,
        slots: SLOTS,
    }
}

/// Engines with what they hold, and demand that they share; loads take no time.
struct World {
    placement: Placement,
    fixed: BTreeMap<TargetId, Desired>,
    spares: BTreeMap<TargetId, bool>,
    holds: BTreeMap<TargetId, Option<String>>,
    lost: BTreeSet<TargetId>,
    demand: BTreeMap<String, u32>,
    now: Instant,
}

impl World {
    fn new(fixed: &[(&str, &str)], spares: &[(&str, &str)]) -> World {
        let holds = |(id, model): &(&str, &str)| {
            ((*id).to_owned(), Some((*model).to_owned()).filter(|m| !m.is_empty()))
        };
        World {
            placement: Placement::new(PlacementBounds::default()),
            fixed: fixed.iter().map(|(id, model)| ((*id).to_owned(), want(model))).collect(),
            spares: spares.iter().map(|(id, _)| ((*id).to_owned(), true)).collect(),
            holds: fixed.iter().chain(spares).map(holds).collect(),
            lost: BTreeSet::new(),
            demand: BTreeMap::new(),
            now: Instant::now(),
        }
    }

    fn live(&self, model: &str) -> u32 {
        let holders = self.holds.iter().filter(|(_, m)| m.as_deref() == Some(model));
        holders.filter(|(id, _)| !self.lost.contains(*id)).count() as u32
    }

    fn seen(&self) -> BTreeMap<TargetId, Observed> {
        let live = self.holds.iter().filter(|(id, _)| !self.lost.contains(*id));
        let share =
            |model: &str| self.demand.get(model).map_or(0, |d| d.div_ceil(self.live(model)));
        live.map(|(id, model)| {
            let running = model.as_deref().map_or(0, share);
            (id.clone(), seen(model.as_deref(), running))
        })
        .collect()
    }

    /// One second later; the spares that change with what they hold then.
    fn round(&mut self) -> Vec<(TargetId, String)> {
        self.now += Duration::from_secs(1);
        let seen = self.seen();
        let wants = self.placement.place(self.now, &self.fixed, &self.spares, &seen);
        let mut moves = Vec::new();
        for (id, want) in wants {
            let known = self.holds.get_mut(&id).unwrap();
            if known.as_deref() != Some(want.model.as_str()) && !self.lost.contains(&id) {
                *known = Some(want.model.clone());
                moves.push((id, want.model));
            }
        }
        moves
    }

    fn rounds(&mut self, count: usize) -> Vec<(TargetId, String)> {
        (0..count).flat_map(|_| self.round()).collect()
    }
}

struct Case {
    name: &'static str,
    spares: &'static [(&'static str, &'static str)],
    demand: &'static [(&'static str, u32)],
    lost: &'static [&'static str],
    /// Moves within a minute.
    moves: &'static [(&'static str, &'static str)],
}

/// Model `a` on two declared engines, `b` on one.
const FIXED: &[(&str, &str)] = &[("f1", "a"), ("f2", "a"), ("f3", "b")];

const CASES: &[Case] = &[
    Case { name: "no demand, no move", spares: &[("s1", "")], demand: &[], lost: &[], moves: &[] },
    Case {
        name: "a part in demand gets a free spare",
        spares: &[("s1", ""), ("s2", "")],
        demand: &[("a", 20), ("b", 2)],
        lost: &[],
        moves: &[("s1", "a")],
    },
    Case {
        name: "more demand gets more, at its pace",
        spares: &[("s1", ""), ("s2", ""), ("s3", "")],
        demand: &[("b", 60)],
        lost: &[],
        moves: &[("s1", "b"), ("s2", "b")],
    },
    Case {
        name: "the part in most demand goes first",
        spares: &[("s1", "")],
        demand: &[("a", 20), ("b", 30)],
        lost: &[],
        moves: &[("s1", "b")],
    },
    Case {
        name: "a lost part gets a spare before one in demand",
        spares: &[("s1", "")],
        demand: &[("a", 40)],
        lost: &["f3"],
        moves: &[("s1", "b")],
    },
    Case {
        name: "one of two lost is no lost part",
        spares: &[("s1", "")],
        demand: &[("a", 2)],
        lost: &["f1"],
        moves: &[],
    },
    Case {
        name: "a spare leaves an idle part",
        spares: &[("s1", "a")],
        demand: &[("a", 4), ("b", 10)],
        lost: &[],
        moves: &[("s1", "b")],
    },
    Case {
        name: "a spare stays where it is needed",
        spares: &[("s1", "a")],
        demand: &[("a", 15), ("b", 10)],
        lost: &[],
        moves: &[],
    },
    Case {
        name: "the last engine of a part stays",
        spares: &[("s1", "b")],
        demand: &[("a", 40)],
        lost: &["f3"],
        moves: &[],
    },
    Case {
        name: "a lost spare is not counted on",
        spares: &[("s1", ""), ("s2", "")],
        demand: &[("a", 20)],
        lost: &["s1"],
        moves: &[("s2", "a")],
    },
];

#[test]
fn placements() {
    for case in CASES {
        let mut world = World::new(FIXED, case.spares);
        world.demand = case.demand.iter().map(|(m, d)| ((*m).to_owned(), *d)).collect();
        world.lost = case.lost.iter().map(|id| (*id).to_owned()).collect();
        let moves = world.rounds(60);
        let moves: Vec<_> = moves.iter().map(|(id, m)| (id.as_str(), m.as_str())).collect();
        assert_eq!(moves, case.moves, "{}", case.name);
    }
}

#[test]
fn a_short_burst_moves_nothing() {
    let mut world = World::new(FIXED, &[("s1", "")]);
    for _ in 0..20 {
        world.demand.insert("a".into(), 40);
        assert_eq!(world.rounds(8), []);
        world.demand.insert("a".into(), 4);
        assert_eq!(world.rounds(2), []);
    }
}

#[test]
fn help_on_its_way_counts_before_more_is_sent() {
    let mut world = World::new(FIXED, &[("s1", ""), ("s2", "")]);
    world.demand.insert("b".into(), 60);
    let mut placed = 0;
    for _ in 0..120 {
        world.now += Duration::from_secs(1);
        // The first spare is told, and its load does not come to an end.
        let mut seen = world.seen();
        seen.get_mut("s1").unwrap().loading = placed > 0;
        placed = world.placement.place(world.now, &world.fixed, &world.spares, &seen).len();
    }
    assert_eq!(placed, 1);
}

#[test]
fn a_new_holder_of_the_lease_goes_on_from_what_spares_hold() {
    let mut world = World::new(FIXED, &[("s1", ""), ("s2", "a")]);
    world.demand.insert("a".into(), 30);
    assert_eq!(world.rounds(60), [("s1".to_owned(), "a".to_owned())]);
    world.placement = Placement::new(PlacementBounds::default());
    assert_eq!(world.rounds(60), []);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Any demand, any losses: no move takes the last engine of a part, moves by demand keep their
    /// pace, and under constant demand they come to an end.
    #[test]
    fn moves_are_few_and_break_nothing(
        holds in prop::collection::vec(0_usize..4, 1..6),
        phases in prop::collection::vec((prop::array::uniform2(0_u32..60), 0_u8..8), 1..6),
    ) {
        let names = ["", "a", "b", "c"];
        let ids: Vec<String> = (0..holds.len()).map(|n| format!("s{n}")).collect();
        let spares: Vec<_> = ids.iter().zip(&holds).map(|(id, m)| (id.as_str(), names[*m])).collect();
        let mut world = World::new(FIXED, &spares);
        for ([a, b], lost) in phases {
            world.demand = [("a".to_owned(), a), ("b".to_owned(), b)].into();
            let struck = FIXED.iter().enumerate().filter(|(at, _)| lost & (1 << at) != 0);
            world.lost = struck.map(|(_, (id, _))| (*id).to_owned()).collect();
            let mut times: Vec<Instant> = Vec::new();
            for second in 0..250 {
                let before = ["a", "b"].map(|m| world.live(m));
                let moves = world.round();
                prop_assert!(moves.len() <= 1, "one at a time: {moves:?}");
                for (at, model) in ["a", "b"].into_iter().enumerate() {
                    prop_assert!(before[at] == 0 || world.live(model) > 0, "{model} broke");
                }
                let settled = second > 20 + 30 * holds.len();
                prop_assert!(!settled || moves.is_empty(), "still moving: {moves:?}");
                times.extend(moves.iter().filter(|(_, m)| before[usize::from(m == "b")] > 0).map(|_| world.now));
            }
            for pair in times.windows(2) {
                prop_assert!(pair[1] - pair[0] >= Duration::from_secs(30), "too soon");
            }
        }
    }
}
