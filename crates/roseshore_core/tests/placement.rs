//! Tests of the placement of spare engines: they take over lost and loaded shards and do not
//! oscillate.

use proptest::prelude::*;
use roseshore_core::order::desired::Desired;
use roseshore_core::order::placement::{Placement, PlacementBounds};
use roseshore_core::order::reconciler::Observed;
use roseshore_core::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const SLOTS: u32 = 10;

/// Desired state of a model with a single shard, so that the model's name identifies the shard.
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

fn observed(model: Option<&str>, running: u32) -> Observed {
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

/// Engines with their loaded models, and demand that they share; loads take no time.
struct Simulation {
    placement: Placement,
    declared: BTreeMap<TargetId, Desired>,
    spares: BTreeMap<TargetId, bool>,
    loaded: BTreeMap<TargetId, Option<String>>,
    lost: BTreeSet<TargetId>,
    demand: BTreeMap<String, u32>,
    now: Instant,
}

impl Simulation {
    fn new(declared: &[(&str, &str)], spares: &[(&str, &str)]) -> Simulation {
        let loaded = |(id, model): &(&str, &str)| {
            ((*id).to_owned(), Some((*model).to_owned()).filter(|m| !m.is_empty()))
        };
        Simulation {
            placement: Placement::new(PlacementBounds::default()),
            declared: declared.iter().map(|(id, model)| ((*id).to_owned(), want(model))).collect(),
            spares: spares.iter().map(|(id, _)| ((*id).to_owned(), true)).collect(),
            loaded: declared.iter().chain(spares).map(loaded).collect(),
            lost: BTreeSet::new(),
            demand: BTreeMap::new(),
            now: Instant::now(),
        }
    }

    fn live_holders(&self, model: &str) -> u32 {
        let holders = self.loaded.iter().filter(|(_, m)| m.as_deref() == Some(model));
        holders.filter(|(id, _)| !self.lost.contains(*id)).count() as u32
    }

    fn observed(&self) -> BTreeMap<TargetId, Observed> {
        let live = self.loaded.iter().filter(|(id, _)| !self.lost.contains(*id));
        let share = |model: &str| {
            self.demand.get(model).map_or(0, |d| d.div_ceil(self.live_holders(model)))
        };
        live.map(|(id, model)| {
            let running = model.as_deref().map_or(0, share);
            (id.clone(), observed(model.as_deref(), running))
        })
        .collect()
    }

    /// Advances by one second; returns the spares that change and their new models.
    fn round(&mut self) -> Vec<(TargetId, String)> {
        self.now += Duration::from_secs(1);
        let observed = self.observed();
        let wants = self.placement.place(self.now, &self.declared, &self.spares, &observed);
        let mut moves = Vec::new();
        for (id, want) in wants {
            let loaded = self.loaded.get_mut(&id).unwrap();
            if loaded.as_deref() != Some(want.model.as_str()) && !self.lost.contains(&id) {
                *loaded = Some(want.model.clone());
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
    /// Moves within one minute.
    moves: &'static [(&'static str, &'static str)],
}

/// Model `a` on two declared engines, `b` on one.
const DECLARED: &[(&str, &str)] = &[("f1", "a"), ("f2", "a"), ("f3", "b")];

const CASES: &[Case] = &[
    Case { name: "no demand, no move", spares: &[("s1", "")], demand: &[], lost: &[], moves: &[] },
    Case {
        name: "a loaded shard gets a free spare",
        spares: &[("s1", ""), ("s2", "")],
        demand: &[("a", 20), ("b", 2)],
        lost: &[],
        moves: &[("s1", "a")],
    },
    Case {
        name: "higher load gets more spares, one per interval",
        spares: &[("s1", ""), ("s2", ""), ("s3", "")],
        demand: &[("b", 60)],
        lost: &[],
        moves: &[("s1", "b"), ("s2", "b")],
    },
    Case {
        name: "the most loaded shard goes first",
        spares: &[("s1", "")],
        demand: &[("a", 20), ("b", 30)],
        lost: &[],
        moves: &[("s1", "b")],
    },
    Case {
        name: "a lost shard gets a spare before a loaded one",
        spares: &[("s1", "")],
        demand: &[("a", 40)],
        lost: &["f3"],
        moves: &[("s1", "b")],
    },
    Case {
        name: "a shard with one of two engines lost is not lost",
        spares: &[("s1", "")],
        demand: &[("a", 2)],
        lost: &["f1"],
        moves: &[],
    },
    Case {
        name: "a spare leaves an idle shard",
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
        name: "the last engine of a shard stays",
        spares: &[("s1", "b")],
        demand: &[("a", 40)],
        lost: &["f3"],
        moves: &[],
    },
    Case {
        name: "a lost spare is not used",
        spares: &[("s1", ""), ("s2", "")],
        demand: &[("a", 20)],
        lost: &["s1"],
        moves: &[("s2", "a")],
    },
];

#[test]
fn placements() {
    for case in CASES {
        let mut sim = Simulation::new(DECLARED, case.spares);
        sim.demand = case.demand.iter().map(|(m, d)| ((*m).to_owned(), *d)).collect();
        sim.lost = case.lost.iter().map(|id| (*id).to_owned()).collect();
        let moves = sim.rounds(60);
        let moves: Vec<_> = moves.iter().map(|(id, m)| (id.as_str(), m.as_str())).collect();
        assert_eq!(moves, case.moves, "{}", case.name);
    }
}

#[test]
fn a_short_burst_moves_nothing() {
    let mut sim = Simulation::new(DECLARED, &[("s1", "")]);
    for _ in 0..20 {
        sim.demand.insert("a".into(), 40);
        assert_eq!(sim.rounds(8), []);
        sim.demand.insert("a".into(), 4);
        assert_eq!(sim.rounds(2), []);
    }
}

#[test]
fn no_second_spare_while_the_first_is_loading() {
    let mut sim = Simulation::new(DECLARED, &[("s1", ""), ("s2", "")]);
    sim.demand.insert("b".into(), 60);
    let mut placed = 0;
    for _ in 0..120 {
        sim.now += Duration::from_secs(1);
        // The load of the first spare never finishes.
        let mut observed = sim.observed();
        observed.get_mut("s1").unwrap().loading = placed > 0;
        placed = sim.placement.place(sim.now, &sim.declared, &sim.spares, &observed).len();
    }
    assert_eq!(placed, 1);
}

#[test]
fn a_new_lease_holder_adopts_what_spares_hold() {
    let mut sim = Simulation::new(DECLARED, &[("s1", ""), ("s2", "a")]);
    sim.demand.insert("a".into(), 30);
    assert_eq!(sim.rounds(60), [("s1".to_owned(), "a".to_owned())]);
    sim.placement = Placement::new(PlacementBounds::default());
    assert_eq!(sim.rounds(60), []);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// For any demand and losses: no move takes the last engine of a shard, moves because of load
    /// keep their minimum interval, and under constant demand moves stop.
    #[test]
    fn moves_are_few_and_keep_every_shard_served(
        loaded in prop::collection::vec(0_usize..4, 1..6),
        phases in prop::collection::vec((prop::array::uniform2(0_u32..60), 0_u8..8), 1..6),
    ) {
        let names = ["", "a", "b", "c"];
        let ids: Vec<String> = (0..loaded.len()).map(|n| format!("s{n}")).collect();
        let spares: Vec<_> = ids.iter().zip(&loaded).map(|(id, m)| (id.as_str(), names[*m])).collect();
        let mut sim = Simulation::new(DECLARED, &spares);
        for ([a, b], lost) in phases {
            sim.demand = [("a".to_owned(), a), ("b".to_owned(), b)].into();
            let lost_engines = DECLARED.iter().enumerate().filter(|(at, _)| lost & (1 << at) != 0);
            sim.lost = lost_engines.map(|(_, (id, _))| (*id).to_owned()).collect();
            let mut times: Vec<Instant> = Vec::new();
            for second in 0..250 {
                let before = ["a", "b"].map(|m| sim.live_holders(m));
                let moves = sim.round();
                prop_assert!(moves.len() <= 1, "more than one move at a time: {moves:?}");
                for (at, model) in ["a", "b"].into_iter().enumerate() {
                    prop_assert!(before[at] == 0 || sim.live_holders(model) > 0, "{model} lost its last engine");
                }
                let settled = second > 20 + 30 * loaded.len();
                prop_assert!(!settled || moves.is_empty(), "still moving: {moves:?}");
                times.extend(moves.iter().filter(|(_, m)| before[usize::from(m == "b")] > 0).map(|_| sim.now));
            }
            for pair in times.windows(2) {
                prop_assert!(pair[1] - pair[0] >= Duration::from_secs(30), "moves too close together");
            }
        }
    }
}
