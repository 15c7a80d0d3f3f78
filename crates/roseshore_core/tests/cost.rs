//! The choice between moving KV caches and a new prefill.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore_core::answer::CacheMove;
use roseshore_core::answer::lineage::Stage;
use roseshore_core::cost::{CachedStage, MoveCostModel, Plan, plan};
use roseshore_core::prelude::*;

fn stage(target: &str, layers: (Layer, Layer), incarnation: Incarnation) -> Stage {
    Stage { target: target.to_owned(), addr: ([127, 0, 0, 1], 1).into(), layers, incarnation }
}

fn cached(target: &str, layers: (Layer, Layer), usable: bool) -> CachedStage {
    CachedStage { stage: stage(target, layers, 1), usable }
}

#[test]
fn the_sooner_way_is_taken() {
    struct Case {
        name: &'static str,
        old: [CachedStage; 2],
        new: [Stage; 2],
        tokens: u32,
        cold: u64,
        warm: Option<usize>,
    }
    let (a, b) = ((0, 6), (6, 12));
    let both = || [cached("a", a, true), cached("b", b, true)];
    let other = || [stage("a", a, 1), stage("c", b, 1)];
    let cases = [
        Case {
            name: "all in place",
            old: both(),
            new: [stage("a", a, 1), stage("b", b, 1)],
            tokens: 100_000,
            cold: 1,
            warm: Some(0),
        },
        Case {
            name: "short cache",
            old: both(),
            new: other(),
            tokens: 100,
            cold: 200,
            warm: Some(1),
        },
        Case {
            name: "long cache",
            old: both(),
            new: other(),
            tokens: 9_000,
            cold: 200,
            warm: None,
        },
        Case {
            name: "both moved, one after another",
            old: both(),
            new: [stage("d", a, 1), stage("c", b, 1)],
            tokens: 300,
            cold: 200,
            warm: None,
        },
        Case {
            name: "cache lost with its stage",
            old: [cached("a", a, true), cached("b", b, false)],
            new: other(),
            tokens: 10,
            cold: 10_000,
            warm: None,
        },
        Case {
            name: "cache gone with an earlier life",
            old: both(),
            new: [stage("a", a, 2), stage("b", b, 1)],
            tokens: 10,
            cold: 10_000,
            warm: None,
        },
        Case {
            name: "ranges cut elsewhere",
            old: both(),
            new: [stage("a", (0, 5), 1), stage("c", (5, 12), 1)],
            tokens: 10,
            cold: 10_000,
            warm: None,
        },
    ];
    for case in cases {
        let cold = Duration::from_millis(case.cold);
        let got = match plan(&case.old, &case.new, case.tokens, cold, &MoveCostModel::default()) {
            Plan::Warm(moves, _) => Some(moves.len()),
            Plan::Cold => None,
        };
        assert_eq!(got, case.warm, "{}", case.name);
    }
}

#[test]
fn predictions_follow_what_moves_took() {
    struct Case {
        name: &'static str,
        /// Moves observed: tokens of ten layers, and milliseconds.
        observed: &'static [(u32, u64)],
        predicted: &'static [(u32, u64)],
    }
    let cases = [
        Case {
            name: "short and long",
            observed: &[(100, 60), (2000, 250)],
            predicted: &[(10, 51), (1000, 150), (4000, 450)],
        },
        Case { name: "of one size", observed: &[(1000, 150)], predicted: &[(1000, 150)] },
        Case {
            name: "size is no matter",
            observed: &[(100, 40), (5000, 40)],
            predicted: &[(900, 40)],
        },
    ];
    for case in cases {
        let mut move_cost = MoveCostModel::default();
        for (tokens, took) in case.observed.iter().cycle().take(100) {
            move_cost.observe(*tokens, 10, Duration::from_millis(*took));
        }
        for (tokens, expected) in case.predicted {
            let got = move_cost.predict(*tokens, 10);
            let error = got.abs_diff(Duration::from_millis(*expected));
            assert!(error < Duration::from_millis(3), "{}: {tokens} tokens {got:?}", case.name);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Default::default()
    })]

    /// A warm plan gives every stage the cache of its own layers, and is never slower than a
    /// prefill.
    #[test]
    fn a_warm_plan_covers_every_stage(
        usable in proptest::collection::vec(any::<bool>(), 3),
        picks in proptest::collection::vec(0..2_usize, 3),
        incarnations in proptest::collection::vec(1..3_u64, 3),
        tokens in 0..5000_u32,
        cold in 0..500_u64,
    ) {
        let layers = |at: usize| (at as Layer * 4, at as Layer * 4 + 4);
        let old = (0..3).map(|i| cached(&format!("e{i}0"), layers(i), usable[i])).collect::<Vec<_>>();
        let new = (0..3)
            .map(|i| stage(&format!("e{i}{}", picks[i]), layers(i), incarnations[i]))
            .collect::<Vec<_>>();
        let cold = Duration::from_millis(cold);
        if let Plan::Warm(moves, time) = plan(&old, &new, tokens, cold, &MoveCostModel::default()) {
            prop_assert!(time < cold);
            for (i, to) in new.iter().enumerate() {
                prop_assert!(usable[i]);
                let moved = moves.contains(&CacheMove { from: old[i].stage.clone(), to: to.clone() });
                let stays = picks[i] == 0 && incarnations[i] == 1;
                prop_assert!(moved != stays);
            }
        }
    }
}
