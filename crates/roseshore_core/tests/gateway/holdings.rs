//! Which layers a target is taken to hold, by the list and by what hosts learned.

use super::fixtures::spec;
use roseshore_core::gateway::PathRequest;
use roseshore_core::gateway::peers::name_hash;
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

/// What is heard of a target, one after the other, and what it is taken to hold then.
struct Case {
    name: &'static str,
    words: &'static [Word],
    holds: Layers,
}

enum Word {
    /// The list says this.
    Listed(Layers),
    /// A host learned this; it is believed for a second.
    Learned(Layers),
    /// Two seconds pass.
    Pause,
}

#[test]
fn the_newest_word_on_a_targets_layers_counts() {
    use Word::{Learned, Listed, Pause};
    let cases = [
        Case { name: "the list", words: &[Listed((0, 7))], holds: (0, 7) },
        Case { name: "a report", words: &[Listed((0, 7)), Learned((3, 10))], holds: (3, 10) },
        Case {
            name: "the list after a report",
            words: &[Listed((0, 7)), Learned((3, 10)), Listed((5, 10))],
            holds: (5, 10),
        },
        Case {
            name: "a word that came after the newer list",
            words: &[Listed((0, 7)), Listed((5, 10)), Learned((3, 10)), Pause],
            holds: (5, 10),
        },
        Case {
            name: "a report that says what the list says, after one that did not",
            words: &[Listed((5, 10)), Learned((3, 10)), Learned((5, 10))],
            holds: (5, 10),
        },
        Case {
            name: "a report that is said no longer",
            words: &[Listed((0, 7)), Learned((3, 10)), Pause],
            holds: (0, 7),
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut targets = Targets::default();
        for word in case.words {
            match *word {
                Listed(layers) => {
                    targets.upsert(listed(layers));
                }
                Learned(layers) => {
                    let word = targets.next_report(name_hash("a"), layers);
                    targets.apply_report(name_hash("a"), word, now + Duration::from_secs(1));
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
fn layers_that_are_given_up_take_room_until_what_passes_through_is_done() {
    let now = Instant::now();
    let mut targets = Targets::default();
    let room = |targets: &Targets| {
        let need = PathRequest {
            layers: 80,
            prompt_tokens: 700.0,
            answer_tokens: 200.0,
            data_centre: "north",
            avoided: &[],
            excluded_first: &[],
            allowed_first: None,
        };
        let parts = targets.parts("engines", &spec(), &need, now);
        parts.first().map_or(0, |part| part.kv_capacity as u64)
    };
    targets.upsert(listed((70, 80)));
    let wide = room(&targets);
    targets.upsert(listed((75, 80)));
    targets.tick(now);
    assert!(room(&targets) <= wide, "the weights of ten layers are there");
    targets.tick(now + Duration::from_secs(4));
    let narrow = room(&targets);
    assert!(narrow > wide, "{narrow} over {wide}");
    targets.upsert(listed((70, 80)));
    targets.upsert(listed((75, 80)));
    let word = targets.next_report(name_hash("a"), (75, 80));
    targets.apply_report(name_hash("a"), word, now + Duration::from_secs(5));
    assert_eq!(room(&targets), narrow, "its own report says that it is done");
}
