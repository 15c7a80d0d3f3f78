//! The path of a request through the layers.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use roseshore_core::gateway::path::{Candidate, Path, PathRequest, choose};
use roseshore_core::prelude::*;

fn part(id: &str, local: bool, layers: (Layer, Layer), kv_free: f64) -> Candidate {
    Candidate {
        id: id.to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        local,
        data_centre: if local { "north".to_owned() } else { "south".to_owned() },
        layers,
        decode_ms: 0.02,
        prefill_ms: 0.0001,
        in_flight: 0.0,
        slots: 192.0,
        kv_free,
        kv_capacity: 1e6,
        healthy: true,
    }
}

fn need<'a>(avoided: &'a [TargetId], allowed_first: Option<&'a [TargetId]>) -> PathRequest<'a> {
    PathRequest {
        layers: 80,
        prompt_tokens: 800.0,
        answer_tokens: 200.0,
        data_centre: "north",
        avoided,
        excluded_first: &[],
        allowed_first,
    }
}

/// Each layer once and in order, no target twice.
fn sound(path: &Path) -> bool {
    let mut at = 0;
    let joined = path.hops.iter().all(|(.., hop)| {
        let fits = hop.layers.0 == at && hop.layers.1 > at;
        at = hop.layers.1;
        fits
    });
    let mut ids: Vec<_> = path.hops.iter().map(|(id, ..)| id).collect();
    ids.sort();
    ids.dedup();
    joined && at == 80 && ids.len() == path.hops.len()
}

struct Case {
    name: &'static str,
    parts: Vec<Candidate>,
    starts: Option<Vec<TargetId>>,
    /// The path's targets; empty for none.
    ids: &'static [&'static str],
}

fn unsound(mut part: Candidate) -> Candidate {
    part.healthy = false;
    part
}

#[test]
fn the_path_that_fits_best_is_taken() {
    let near = || vec![part("a", true, (0, 40), 9e5), part("b", true, (40, 80), 9e5)];
    let far = || vec![part("x", false, (0, 40), 9e5), part("y", false, (40, 80), 9e5)];
    let with = |mut parts: Vec<Candidate>, more: Vec<Candidate>| {
        parts.extend(more);
        parts
    };
    let cases = [
        Case { name: "near", parts: with(near(), far()), starts: None, ids: &["a", "b"] },
        Case {
            name: "near has a hole",
            parts: with(vec![part("a", true, (0, 39), 9e5), part("b", true, (40, 80), 9e5)], far()),
            starts: None,
            ids: &["x", "y"],
        },
        Case {
            name: "near is full",
            parts: with(vec![part("a", true, (0, 40), 9e5), part("b", true, (40, 80), 1e3)], far()),
            starts: None,
            ids: &["x", "y"],
        },
        Case {
            name: "near failed of late",
            parts: with(vec![unsound(near().remove(0)), near().remove(1)], far()),
            starts: None,
            ids: &["x", "y"],
        },
        Case {
            name: "no data centre has all layers: none crosses",
            parts: vec![part("a", true, (0, 40), 9e5), part("y", false, (40, 80), 9e5)],
            starts: None,
            ids: &[],
        },
        Case {
            name: "a part of what an engine holds",
            parts: vec![
                part("a", true, (0, 50), 9e5),
                part("b", true, (30, 80), 1e3),
                part("c", true, (50, 80), 9e5),
            ],
            starts: None,
            ids: &["a", "c"],
        },
        Case {
            name: "only one may be first",
            parts: with(near(), vec![part("c", true, (0, 40), 9e5)]),
            starts: Some(vec!["c".to_owned()]),
            ids: &["c", "b"],
        },
        Case { name: "nothing", parts: vec![], starts: None, ids: &[] },
    ];
    for case in cases {
        let mut random = SmallRng::seed_from_u64(7);
        let path = choose(&case.parts, &need(&[], case.starts.as_deref()), &mut random);
        let ids: Vec<&str> =
            path.iter().flat_map(|p| &p.hops).map(|(id, ..)| id.as_str()).collect();
        assert_eq!(ids, case.ids, "{}", case.name);
        assert!(path.is_none_or(|p| sound(&p)), "{}", case.name);
    }
}

proptest! {
    #[test]
    fn every_layer_runs_once_and_in_order(
        ranges in proptest::collection::vec((0_u16..79, 1_u16..60, any::<bool>(), 0_u32..1_000_000), 0..24),
        seed in any::<u64>(),
    ) {
        let parts: Vec<Candidate> = ranges
            .iter()
            .enumerate()
            .map(|(i, (from, width, near, free))| {
                let to = (from + width).min(80);
                part(&format!("t-{i}"), *near, (*from, to), f64::from(*free))
            })
            .collect();
        let mut random = SmallRng::seed_from_u64(seed);
        if let Some(path) = choose(&parts, &need(&[], None), &mut random) {
            prop_assert!(sound(&path), "{path:?}");
            for (id, _, hop) in &path.hops {
                let held = parts.iter().find(|p| p.id == *id).expect("a known part").layers;
                prop_assert!(held.0 <= hop.layers.0 && hop.layers.1 <= held.1);
            }
            let nears: Vec<bool> = path
                .hops
                .iter()
                .map(|(id, ..)| parts.iter().find(|p| p.id == *id).expect("known").local)
                .collect();
            prop_assert!(nears.iter().all(|n| *n == nears[0]), "a path crosses data centres");
        }
    }
}
