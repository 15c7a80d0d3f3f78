//! Tests of which engines are polled for their pace, and when.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::paces::{EnginePace, PollRounds, PolledEngine};
use roseshore_core::gateway::peers::TargetLoad;
use roseshore_core::gateway::{Holding, TargetRecord, Targets};
use roseshore_core::prelude::*;
use std::collections::{HashMap, HashSet};

/// Engines of a data centre, how many of them matter, and the longest time in batches between two
/// polls of one that matters and of any other.
struct Case {
    engines: usize,
    matter: usize,
    longest: (usize, usize),
}

fn engines(case: &Case) -> Vec<PolledEngine> {
    let every = case.engines.checked_div(case.matter).unwrap_or(usize::MAX);
    let engine = |n: usize| PolledEngine {
        id: format!("e-{n:04}"),
        matters: every != usize::MAX && n.is_multiple_of(every) && n / every < case.matter,
    };
    (0..case.engines).rev().map(engine).collect()
}

/// Guards against a round over all engines, which took 5 s with 600 of them, while a pace is valid
/// for 3 s: slow engines in use counted as fast ones for two fifths of the time.
#[test]
fn engines_that_matter_are_polled_each_second_however_many_there_are() {
    let cases = [
        Case { engines: 40, matter: 10, longest: (5, 5) },
        Case { engines: 120, matter: 0, longest: (0, 5) },
        Case { engines: 600, matter: 30, longest: (5, 35) },
        Case { engines: 1200, matter: 60, longest: (5, 100) },
        Case { engines: 1200, matter: 300, longest: (13, usize::MAX) },
    ];
    for case in cases {
        let listed = engines(&case);
        let mut rounds = PollRounds::default();
        let mut polled: HashMap<TargetId, usize> = HashMap::new();
        let mut longest = (0, 0);
        for batch in 0..500 {
            let ids = rounds.next_batch(|| listed.clone());
            assert!(ids.len() <= 24, "{} engines: {}", case.engines, ids.len());
            for id in ids {
                let matters = listed.iter().any(|e| e.id == id && e.matters);
                let since = batch - polled.insert(id, batch).unwrap_or(0);
                let most = if matters { &mut longest.0 } else { &mut longest.1 };
                *most = since.max(*most);
            }
        }
        let text = format!("{} engines, {} matter: {longest:?}", case.engines, case.matter);
        assert!(longest.0 <= case.longest.0 && longest.1 <= case.longest.1, "{text}");
        let missed = listed.iter().filter(|e| !polled.contains_key(&e.id)).count();
        assert!(missed == 0 || case.longest.1 == usize::MAX, "{text}: {missed} never polled");
    }
}

/// Guards against reports of the slowest twelve alone: of a hundred slow engines the other hosts took
/// 88 for fast ones.
#[test]
fn other_hosts_learn_of_all_slow_engines_and_first_of_those_in_use() {
    let now = Instant::now();
    let mut targets = Targets::default();
    let mut loads = HashMap::new();
    for n in 0..100_u8 {
        let id = format!("e-{n}");
        targets.upsert(TargetRecord {
            id: id.clone(),
            life: 0,
            service: "models".to_owned(),
            addr: std::net::SocketAddr::from(([10, 0, 0, n], 8080)),
            data_centre: "north".to_owned(),
            slots: 192,
            draining: false,
            kind: Some("small".to_owned()),
            holding: Some(Holding { layers: (0, 12) }),
        });
        let hash = targets.hash(&id).expect("listed");
        targets.record_pace(hash, EnginePace::reported(2.0 + f64::from(n) / 50.0, now));
        if n < 4 {
            loads.insert(hash, TargetLoad { target: hash, own: 1, held: 0, down: false });
        }
    }
    targets.set_remote_loads(&loads, now);
    let mut told = HashSet::new();
    // A host gets some 22 heartbeats of its three speakers in the time for which a pace is valid.
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..22 {
        let reports = targets.pace_reports(12, random.random::<u32>() as usize, now);
        assert_eq!(reports.len(), 12);
        assert!(loads.keys().all(|used| reports.iter().any(|report| report.target == *used)));
        told.extend(reports.iter().map(|report| report.target));
    }
    assert!(told.len() >= 75, "{}", told.len());
}
