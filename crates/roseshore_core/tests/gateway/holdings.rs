//! Which layers a target is taken to hold, by the list and by reports.

use super::fixtures::spec;
use roseshore_core::gateway::PathRequest;
use roseshore_core::gateway::peers::name_hash;
use roseshore_core::gateway::quota::room::Share;
use roseshore_core::gateway::targets::{Holding, Target};
use roseshore_core::gateway::{TargetRecord, Targets};
use roseshore_core::prelude::*;

type Layers = (Layer, Layer);

fn listed(layers: Layers) -> TargetRecord {
    TargetRecord {
        id: "a".to_owned(),
        life: 0,
        service: "engines".to_owned(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "north".to_owned(),
        slots: 6,
        draining: false,
        kind: Some("small".to_owned()),
        holding: Some(Holding { layers }),
    }
}

/// Statements about a target's layers in order, and the layers it is taken to hold afterwards.
struct Case {
    name: &'static str,
    statements: &'static [Statement],
    holds: Layers,
}

enum Statement {
    /// The list states these layers.
    Listed(Layers),
    /// A host reports these layers; the report is valid for a second.
    Reported(Layers),
    /// Two seconds pass.
    Pause,
}

#[test]
fn the_latest_statement_of_layers_wins() {
    use Statement::{Listed, Pause, Reported};
    let cases = [
        Case { name: "the list", statements: &[Listed((0, 7))], holds: (0, 7) },
        Case { name: "a report", statements: &[Listed((0, 7)), Reported((3, 10))], holds: (3, 10) },
        Case {
            name: "the list after a report",
            statements: &[Listed((0, 7)), Reported((3, 10)), Listed((5, 10))],
            holds: (5, 10),
        },
        Case {
            name: "a report that arrived after the newer list",
            statements: &[Listed((0, 7)), Listed((5, 10)), Reported((3, 10)), Pause],
            holds: (5, 10),
        },
        Case {
            name: "a report that agrees with the list, after one that did not",
            statements: &[Listed((5, 10)), Reported((3, 10)), Reported((5, 10))],
            holds: (5, 10),
        },
        Case {
            name: "a report that has expired",
            statements: &[Listed((0, 7)), Reported((3, 10)), Pause],
            holds: (0, 7),
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut targets = Targets::default();
        for statement in case.statements {
            match *statement {
                Listed(layers) => {
                    targets.upsert(listed(layers));
                }
                Reported(layers) => {
                    let report = targets.next_report(name_hash("a"), layers);
                    targets.apply_report(name_hash("a"), report, now + Duration::from_secs(1));
                }
                Pause => {
                    now += Duration::from_secs(2);
                    targets.tick(now);
                }
            }
        }
        let holding = targets.get("a").and_then(Target::holding);
        assert_eq!(holding.map(|h| h.layers), Some(case.holds), "{}", case.name);
    }
}

#[test]
fn layers_given_up_take_memory_until_their_requests_end() {
    let now = Instant::now();
    let mut targets = Targets::default();
    let capacity = |targets: &Targets| {
        let need = PathRequest {
            layers: 80,
            prompt_tokens: 700.0,
            answer_tokens: 200.0,
            data_centre: "north",
            avoided: &[],
            excluded_first: &[],
            allowed_first: None,
        };
        let parts = targets.parts("engines", &spec(), &need, &Share::WHOLE, now);
        parts.first().map_or(0, |part| part.kv_capacity as u64)
    };
    targets.upsert(listed((70, 80)));
    let wide = capacity(&targets);
    targets.upsert(listed((75, 80)));
    targets.tick(now);
    assert!(capacity(&targets) <= wide, "the weights of ten layers are still in memory");
    targets.tick(now + Duration::from_secs(4));
    let narrow = capacity(&targets);
    assert!(narrow > wide, "{narrow} over {wide}");
    targets.upsert(listed((70, 80)));
    targets.upsert(listed((75, 80)));
    let report = targets.next_report(name_hash("a"), (75, 80));
    targets.apply_report(name_hash("a"), report, now + Duration::from_secs(5));
    assert_eq!(capacity(&targets), narrow, "its own report ends the clearing");
}
