//! Tests of the choice of a path through the layers.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use roseshore_core::gateway::path::{Candidate, Path, PathRequest, choose};
use roseshore_core::prelude::*;

fn candidate(id: &str, local: bool, layers: (Layer, Layer), kv_free: f64) -> Candidate {
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
        slot_room: f64::INFINITY,
        kv_free,
        kv_room: f64::INFINITY,
        kv_capacity: 1e6,
        healthy: true,
    }
}

fn request<'a>(avoided: &'a [TargetId], allowed_first: Option<&'a [TargetId]>) -> PathRequest<'a> {
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

/// Whether each layer runs once and in order, and no target occurs twice.
fn valid(path: &Path) -> bool {
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
    candidates: Vec<Candidate>,
    starts: Option<Vec<TargetId>>,
    /// The targets of the path; empty if there is none.
    ids: &'static [&'static str],
}

fn unhealthy(mut candidate: Candidate) -> Candidate {
    candidate.healthy = false;
    candidate
}

#[test]
fn the_most_suitable_path_is_taken() {
    let local = || vec![candidate("a", true, (0, 40), 9e5), candidate("b", true, (40, 80), 9e5)];
    let remote = || vec![candidate("x", false, (0, 40), 9e5), candidate("y", false, (40, 80), 9e5)];
    let with = |mut candidates: Vec<Candidate>, more: Vec<Candidate>| {
        candidates.extend(more);
        candidates
    };
    let cases = [
        Case { name: "local", candidates: with(local(), remote()), starts: None, ids: &["a", "b"] },
        Case {
            name: "local with a gap",
            candidates: with(
                vec![candidate("a", true, (0, 39), 9e5), candidate("b", true, (40, 80), 9e5)],
                remote(),
            ),
            starts: None,
            ids: &["x", "y"],
        },
        Case {
            name: "local is full",
            candidates: with(
                vec![candidate("a", true, (0, 40), 9e5), candidate("b", true, (40, 80), 1e3)],
                remote(),
            ),
            starts: None,
            ids: &["x", "y"],
        },
        Case {
            name: "local failed recently",
            candidates: with(vec![unhealthy(local().remove(0)), local().remove(1)], remote()),
            starts: None,
            ids: &["x", "y"],
        },
        Case {
            name: "no data centre has all layers, and no path crosses data centres",
            candidates: vec![
                candidate("a", true, (0, 40), 9e5),
                candidate("y", false, (40, 80), 9e5),
            ],
            starts: None,
            ids: &[],
        },
        Case {
            name: "a segment of what an engine holds",
            candidates: vec![
                candidate("a", true, (0, 50), 9e5),
                candidate("b", true, (30, 80), 1e3),
                candidate("c", true, (50, 80), 9e5),
            ],
            starts: None,
            ids: &["a", "c"],
        },
        Case {
            name: "only one may be first",
            candidates: with(local(), vec![candidate("c", true, (0, 40), 9e5)]),
            starts: Some(vec!["c".to_owned()]),
            ids: &["c", "b"],
        },
        Case { name: "nothing", candidates: vec![], starts: None, ids: &[] },
    ];
    for case in cases {
        let mut random = SmallRng::seed_from_u64(7);
        let path = choose(&case.candidates, &request(&[], case.starts.as_deref()), &mut random);
        let ids: Vec<&str> =
            path.iter().flat_map(|p| &p.hops).map(|(id, ..)| id.as_str()).collect();
        assert_eq!(ids, case.ids, "{}", case.name);
        assert!(path.is_none_or(|p| valid(&p)), "{}", case.name);
    }
}

proptest! {
    #[test]
    fn every_layer_runs_once_and_in_order(
        ranges in proptest::collection::vec((0_u16..79, 1_u16..60, any::<bool>(), 0_u32..1_000_000), 0..24),
        seed in any::<u64>(),
    ) {
        let candidates: Vec<Candidate> = ranges
            .iter()
            .enumerate()
            .map(|(i, (from, width, local, free))| {
                let to = (from + width).min(80);
                candidate(&format!("t-{i}"), *local, (*from, to), f64::from(*free))
            })
            .collect();
        let mut random = SmallRng::seed_from_u64(seed);
        if let Some(path) = choose(&candidates, &request(&[], None), &mut random) {
            prop_assert!(valid(&path), "{path:?}");
            for (id, _, hop) in &path.hops {
                let held = candidates.iter().find(|c| c.id == *id).expect("a known candidate").layers;
                prop_assert!(held.0 <= hop.layers.0 && hop.layers.1 <= held.1);
            }
            let locals: Vec<bool> = path
                .hops
                .iter()
                .map(|(id, ..)| candidates.iter().find(|c| c.id == *id).expect("known").local)
                .collect();
            prop_assert!(locals.iter().all(|n| *n == locals[0]), "a path crosses data centres");
        }
    }
}
