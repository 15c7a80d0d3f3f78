//! Which layers a target is taken to hold, by the list and by reports.

use super::fixtures::spec;
use roseshore_core::gateway::PathRequest;
use roseshore_core::gateway::peers::name_hash;
use roseshore_core::gateway::quota::room::Share;
use roseshore_core::gateway::targets::{Holding, Target};
use roseshore_core::gateway::{
    EngineSpec, RequestLimits, ServiceSpec, Snapshot, TargetRecord, Targets,
};
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

/// Records and reports under models of some numbers of layers, in order, and what is used at last.
struct ModelCase {
    name: &'static str,
    steps: &'static [Step],
    /// The layers with which the target is used; `None` if it is not.
    used: Option<Layers>,
    /// How often its record was found to be foreign.
    foreign: usize,
}

enum Step {
    /// A configuration with a model of so many layers.
    Model(Layer),
    Listed(Layers),
    Reported(Layers),
}

/// Guards against layers from outside that the model does not have: an entry of another program is
/// no target, and neither a request, a check nor an order may go to its address.
#[test]
fn a_target_with_layers_outside_the_model_is_not_used() {
    use Step::{Listed, Model, Reported};
    let cases = [
        ModelCase {
            name: "a record of the model",
            steps: &[Model(80), Listed((70, 80))],
            used: Some((70, 80)),
            foreign: 0,
        },
        ModelCase {
            name: "a record behind the model",
            steps: &[Model(80), Listed((88, 96))],
            used: None,
            foreign: 1,
        },
        ModelCase {
            name: "a record that ends behind the model",
            steps: &[Model(80), Listed((70, 81))],
            used: None,
            foreign: 1,
        },
        ModelCase {
            name: "the same record twice",
            steps: &[Model(80), Listed((88, 96)), Listed((88, 96))],
            used: None,
            foreign: 1,
        },
        ModelCase {
            name: "the list before the configuration",
            steps: &[Listed((88, 96)), Model(80)],
            used: None,
            foreign: 1,
        },
        ModelCase {
            name: "a configuration with a larger model follows",
            steps: &[Model(80), Listed((88, 96)), Model(96)],
            used: Some((88, 96)),
            foreign: 1,
        },
        ModelCase {
            name: "a configuration with a smaller model follows",
            steps: &[Model(96), Listed((88, 96)), Model(80)],
            used: None,
            foreign: 1,
        },
        ModelCase {
            name: "a valid record follows",
            steps: &[Model(80), Listed((88, 96)), Listed((72, 80))],
            used: Some((72, 80)),
            foreign: 1,
        },
        ModelCase {
            name: "a report behind the model",
            steps: &[Model(80), Listed((70, 80)), Reported((88, 96))],
            used: Some((70, 80)),
            foreign: 0,
        },
        ModelCase {
            name: "a report of an invalid record",
            steps: &[Model(80), Listed((88, 96)), Reported((70, 80))],
            used: None,
            foreign: 1,
        },
        ModelCase {
            name: "a report that a smaller model does not fit",
            steps: &[Model(96), Listed((70, 80)), Reported((90, 96)), Model(80)],
            used: Some((70, 80)),
            foreign: 0,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let (mut targets, mut foreign) = (Targets::default(), 0);
        for step in case.steps {
            match *step {
                Model(layers) => targets.set_models(&model(layers)),
                Listed(layers) => {
                    targets.upsert(listed(layers));
                }
                Reported(layers) => {
                    let report = targets.next_report(name_hash("a"), layers);
                    targets.apply_report(name_hash("a"), report, now + Duration::from_secs(1));
                }
            }
            foreign += targets.take_foreign().len();
        }
        let target = targets.get("a").expect("the list holds it");
        let held = target.holding().map(|h| h.layers);
        assert_eq!(held.filter(|_| target.accepts_work(now)), case.used, "{}", case.name);
        assert_eq!(foreign, case.foreign, "{}", case.name);
        let used = usize::from(case.used.is_some());
        assert_eq!(targets.of_service("engines").count(), used, "{}", case.name);
        assert_eq!(targets.unseen(now).len(), used, "{}", case.name);
        assert_eq!(targets.id_at(target.record.addr).is_some(), used > 0, "{}", case.name);
        assert_eq!(targets.listed_records().len(), 1, "{}: hosts compare the list", case.name);
    }
}

/// A configuration with a model of so many layers.
fn model(layers: Layer) -> Snapshot {
    let engine = Some(EngineSpec { layers, ..spec() });
    let service = ServiceSpec { name: "engines".to_owned(), max_connections: None, engine };
    Snapshot::new(1, Vec::new(), vec![service], Vec::new(), RequestLimits::default())
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
