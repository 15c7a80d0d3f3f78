//! Tests of the configuration fold: each record has one outcome, whatever order records arrive in.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore_core::config::*;
use roseshore_core::prelude::*;
use serde_json::{Value, json};

/// Change as `(kind, id, base, content)`; a null content deletes the object.
type Edit<'a> = (&'a str, &'a str, Option<Offset>, Value);

fn command(id: &str, made_at: Offset, edits: &[Edit<'_>]) -> String {
    let change = |(kind, id, base, content): &Edit<'_>| {
        let put = if content.is_null() { Value::Null } else { json!({ *kind: content }) };
        json!({ "key": { "kind": kind, "id": id }, "base": base, "put": put })
    };
    let changes: Vec<Value> = edits.iter().map(change).collect();
    let head = json!({ "format": 1, "id": id, "operator": format!("op-{id}"), "made_at": made_at });
    let mut all = head;
    all["changes"] = changes.into();
    all.to_string()
}

fn org(rate: f64) -> Value {
    json!({ "rate": rate })
}

fn engine(port: u16, layers: (u16, u16)) -> Value {
    json!({ "kind": "engine", "host": "h", "data_centre": "korangi", "model": "m",
        "addr": format!("127.0.0.1:{port}"), "layers": [layers.0, layers.1] })
}

fn replica(port: u16, serves: &str) -> Value {
    json!({ "kind": "service", "host": "h", "data_centre": "korangi", "serves": serves,
        "addr": format!("127.0.0.1:{port}") })
}

/// A data centre, a model over two engines and a lookup with two sources, as record 0.
fn base() -> String {
    command(
        "base",
        0,
        &[
            ("data_centre", "korangi", None, json!({ "region": "pk-south" })),
            ("model", "m", None, json!({ "layers": 8, "version": "v1" })),
            ("service", "notes", None, json!({ "kind": "model", "model": "m" })),
            ("service", "crates", None, json!({ "kind": "lookup", "sources": ["a", "b"] })),
            ("target", "e0", None, engine(1, (0, 4))),
            ("target", "e1", None, engine(2, (4, 8))),
            ("target", "r0", None, replica(3, "crates/a")),
        ],
    )
}

fn fold(records: &[String]) -> (State, Vec<FoldedRecord>) {
    let mut state = State::default();
    let folded = (0..).zip(records).filter_map(|(offset, it)| state.fold(offset, it)).collect();
    (state, folded)
}

fn outcome_text(folded: &FoldedRecord) -> String {
    match &folded.outcome {
        Outcome::Decided(Decision::Accepted) => "accepted".into(),
        Outcome::Decided(Decision::TooOld) => "too old".into(),
        Outcome::Decided(Decision::Rejected(reason)) => format!("rejected: {reason}"),
        Outcome::Repeated { first, same } => format!("repeat of {first}, same: {same}"),
        Outcome::Skipped { why } => format!("skipped: {why}"),
    }
}

/// Records after [`base`], and a part of the outcome of the last one.
struct OutcomeCase {
    name: &'static str,
    records: Vec<String>,
    last: &'static str,
}

// One case a line.
#[rustfmt::skip]
fn outcome_cases() -> Vec<OutcomeCase> {
    let one = |name, edits: &[Edit<'_>], last| OutcomeCase {
        name,
        records: vec![command("c", 1, edits)],
        last,
    };
    let many = |name, records, last| OutcomeCase { name, records, last };
    let put = |id, base, rate| command(id, 1, &[("organisation", "o", base, org(rate))]);
    let raw = |text: &str| vec![text.to_owned()];
    vec![
        one("a new object", &[("organisation", "o", None, org(1.0))], "accepted"),
        many("concurrent creations", vec![put("x", None, 1.0), put("y", None, 2.0)], "organisation `o` is version 1, not absent as you saw it: `op-x` changed it with command `x`",),
        many("concurrent changes", vec![put("x", None, 1.0), put("y", Some(1), 2.0), put("z", Some(1), 3.0)], "version 2, not version 1 as you saw it: `op-y` changed it with command `y`",),
        many("a change of a deleted object", vec![put("x", None, 1.0), command("d", 1, &[("organisation", "o", Some(1), Value::Null)]), put("y", Some(1), 2.0)], "organisation `o` is absent, not version 1 as you saw it: `op-d`",),
        many("a recreated object has another version", vec![put("x", None, 1.0), command("d", 1, &[("organisation", "o", Some(1), Value::Null)]), put("n", None, 1.0), put("y", Some(1), 2.0)], "version 3, not version 1",),
        many("one conflict rejects every change", vec![put("x", None, 1.0), command("y", 1, &[("organisation", "p", None, org(1.0)), ("organisation", "o", None, org(1.0))]), command("z", 1, &[("organisation", "p", None, org(1.0))])], "accepted",),
        many("the same command again", vec![put("x", None, 1.0), put("x", None, 1.0)], "repeat of 1, same: true",),
        many("the same id with another content", vec![put("x", None, 1.0), put("x", Some(1), 2.0)], "repeat of 1, same: false",),
        many("a rejected command again", vec![put("x", Some(9), 1.0), put("x", Some(9), 1.0)], "repeat of 1",),
        many("another format", raw(r#"{"format":2,"id":"x","shape":[]}"#), "skipped: format 2 is not known",),
        many("no JSON", raw("{nonsense"), "skipped: no command"),
        many("an unknown field", raw(r#"{"format":1,"id":"x","operator":"o","made_at":0,"changes":[],"more":1}"#), "skipped: unreadable command",),
        many("made after its own offset", vec![command("x", 9, &[("organisation", "o", None, org(1.0))])], "skipped: made at 9",),
        one("no change", &[], "a command has 1 to"),
        one("one object twice", &[("organisation", "o", None, org(1.0)), ("organisation", "o", None, org(2.0))], "changed twice",),
        one("deleting nothing", &[("organisation", "o", None, Value::Null)], "nothing to delete"),
        one("a name with a slash", &[("organisation", "a/b", None, org(1.0))], "`a/b` is not a name",),
        one("no rate", &[("organisation", "o", None, org(0.0))], "`rate` must be"),
        one("a model in use", &[("model", "m", Some(0), Value::Null)], "service `notes` still refers to model `m`",),
        one("a model with its users", &[("service", "notes", Some(0), Value::Null), ("target", "e0", Some(0), Value::Null), ("target", "e1", Some(0), Value::Null), ("model", "m", Some(0), Value::Null)], "accepted",),
        one("a data centre in use", &[("data_centre", "korangi", Some(0), Value::Null)], "still refers to",),
        one("a link to an undeclared data centre", &[("data_centre", "clifton", None, json!({"region": "r", "links": {"x": 1.0}}))], "data_centre `x` is not declared",),
        one("a service without its model", &[("service", "s", None, json!({"kind": "model", "model": "q"}))], "model `q` is not declared; declare it",),
        one("a lookup that may run once", &[("service", "s", None, json!({"kind": "lookup", "idempotent": false}))], "a lookup is idempotent",),
        one("a source that is still served", &[("service", "crates", Some(0), json!({"kind": "lookup", "sources": ["b"]}))], "target `r0` no longer fits: service `crates` has no source `a`",),
        one("a gap in the layers", &[("target", "e1", Some(0), Value::Null)], "no target holds layers 4..8",),
        one("a gap after a smaller range", &[("target", "e0", Some(0), engine(1, (0, 3)))], "no target holds layers 3..4",),
        one("layers past the end", &[("target", "e2", None, engine(9, (4, 9)))], "holds layers 4..9, but the model has 8",),
        one("a smaller model", &[("model", "m", Some(0), json!({"layers": 7, "version": "v1"}))], "but the model has 7",),
        one("empty layers", &[("target", "e2", None, engine(9, (4, 4)))], "4..4 is empty"),
        one("overlapping engines", &[("target", "e2", None, engine(9, (2, 8)))], "accepted"),
        one("two engines at one address", &[("target", "e2", None, engine(1, (0, 4)))], "another target has the address",),
        one("an engine at the address of a replica", &[("target", "e2", None, engine(3, (0, 4)))], "another target has the address",),
        one("two sources in one process", &[("target", "r1", None, replica(3, "crates/b"))], "accepted",),
        one("one source twice in one process", &[("target", "r1", None, replica(3, "crates/a"))], "another target has",),
        one("addresses swapped", &[("target", "e0", Some(0), engine(2, (0, 4))), ("target", "e1", Some(0), engine(1, (4, 8)))], "accepted",),
        one("no port", &[("target", "e2", None, engine(0, (0, 4)))], "is not an address to connect to",),
    ]
}

#[test]
fn every_record_has_its_outcome() {
    for case in outcome_cases() {
        let mut records = vec![base()];
        records.extend(case.records);
        let (state, folded) = fold(&records);
        let got = outcome_text(folded.last().expect("folded"));
        assert!(got.contains(case.last), "{}: {got}", case.name);
        if got.starts_with("rejected") || got.starts_with("skipped") {
            let (before, _) = fold(&records[..records.len() - 1]);
            assert_eq!(state.fleet(), before.fleet(), "{}: nothing may change", case.name);
        }
    }
}

#[test]
fn a_duplicate_past_the_window_has_no_effect() {
    struct Case {
        name: &'static str,
        offset: Offset,
        want: &'static str,
    }
    let create = |id: &str| command(id, 0, &[("organisation", id, None, org(1.0))]);
    let delete = command("d", 0, &[("organisation", "x", Some(0), Value::Null)]);
    let cases = [
        Case { name: "the last remembered offset", offset: WINDOW, want: "repeat of 0" },
        Case { name: "one offset later", offset: WINDOW + 1, want: "too old" },
        Case { name: "long after", offset: WINDOW * 2, want: "too old" },
    ];
    for case in cases {
        let mut records = vec![create("x"), delete.clone()];
        records.resize(case.offset as usize, "noise".into());
        records.push(create("x"));
        let (state, folded) = fold(&records);
        assert!(
            outcome_text(folded.last().expect("folded")).starts_with(case.want),
            "{}",
            case.name
        );
        assert!(state.fleet().organisations.is_empty(), "{}", case.name);
    }
}

/// Records that change the same few objects, with duplicates, unknown formats and invalid records.
fn records() -> impl Strategy<Value = Vec<String>> {
    let object = || (0..4u8, proptest::option::of(0..24u64), 0..5u8);
    let one = (0..30u8, proptest::collection::vec(object(), 1..3), 0..12u8).prop_map(
        |(id, edits, odd)| {
            let names: Vec<String> = edits.iter().map(|it| format!("o{}", it.0)).collect();
            let edit = |((_, base, rate), name): (&(u8, Option<u64>, u8), &'_ String)| {
                let content = if *rate == 0 { Value::Null } else { org(f64::from(*rate) / 3.0) };
                (name.clone(), *base, content)
            };
            let edits: Vec<_> = edits.iter().zip(&names).map(edit).collect();
            let edits: Vec<Edit<'_>> = edits
                .iter()
                .map(|(id, base, it)| ("organisation", id.as_str(), *base, it.clone()))
                .collect();
            match odd {
                0 => "noise".into(),
                1 => r#"{"format":7}"#.into(),
                _ => command(&format!("c{id}"), 0, &edits),
            }
        },
    );
    proptest::collection::vec(one, 1..40)
}

/// Record or snapshot that reaches a daemon; the number is its offset.
#[derive(Clone, Debug)]
enum Arrival {
    Record(usize),
    Snapshot(usize),
}

fn arrivals() -> impl Strategy<Value = (Vec<String>, Vec<Arrival>)> {
    records().prop_flat_map(|records| {
        let len = records.len();
        let arrival = prop_oneof![
            8 => (0..len).prop_map(Arrival::Record),
            1 => (0..=len).prop_map(Arrival::Snapshot),
        ];
        (Just(records), proptest::collection::vec(arrival, 0..120))
    })
}

fn assembled(state: &State) -> Snapshot {
    let mut assembly = Assembly::default();
    let parts = Snapshot::records(state);
    let found = parts.iter().rev().find_map(|it| assembly.take(it).expect("a good part"));
    found.expect("a whole snapshot")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(7), failure_persistence: None,
        ..ProptestConfig::default() })]

    #[test]
    fn any_arrival_order_gives_the_same_state((records, arrivals) in arrivals()) {
        let in_order: Vec<State> = (0..=records.len()).map(|end| fold(&records[..end]).0).collect();
        let mut follower = Follower::default();
        let mut last = 0;
        for arrival in arrivals.into_iter().chain((0..records.len()).rev().map(Arrival::Record)) {
            match arrival {
                Arrival::Record(at) => drop(follower.take(at as Offset, &records[at])),
                Arrival::Snapshot(at) => drop(follower.restore(&assembled(&in_order[at]))),
            }
            let state = follower.state();
            prop_assert!(state.offset() >= last, "the offset decreased");
            last = state.offset();
            prop_assert_eq!(state, &in_order[last as usize]);
            prop_assert_eq!(state.digest(), in_order[last as usize].digest());
        }
        prop_assert_eq!(last, records.len() as Offset);
    }

    #[test]
    fn one_winner_for_each_version_and_one_effect_for_each_id(records in records()) {
        let (_, folded) = fold(&records);
        let mut won = std::collections::BTreeMap::new();
        let mut ids = std::collections::BTreeSet::new();
        for it in folded {
            let Ok(command) = serde_json::from_str::<Command>(&records[it.offset as usize]) else { continue };
            match it.outcome {
                Outcome::Decided(Decision::Accepted) => {
                    prop_assert!(ids.insert(command.id.clone()), "two effects");
                    for change in &command.changes {
                        let (version, _) = won.get(&change.key).cloned().unwrap_or_default();
                        prop_assert_eq!(change.base, version, "a lost update");
                        let now = change.put.as_ref().map(|_| it.offset);
                        won.insert(change.key.clone(), (now, Some(command.id.clone())));
                    }
                }
                Outcome::Decided(Decision::Rejected(Reason::Conflict { key, base, version, winner })) => {
                    ids.insert(command.id);
                    let (stands, by) = won.get(&key).cloned().unwrap_or_default();
                    prop_assert_ne!(base, stands);
                    prop_assert_eq!(version, stands);
                    prop_assert_eq!(winner.map(|it| it.command), by);
                }
                Outcome::Repeated { .. } => prop_assert!(ids.contains(&command.id)),
                _ => drop(ids.insert(command.id)),
            }
        }
    }
}

#[test]
fn snapshots_are_checked() {
    struct Case {
        name: &'static str,
        data: String,
        want: &'static str,
    }
    let (state, _) = fold(&[base()]);
    let part = Snapshot::records(&state).remove(0);
    let cases = [
        Case { name: "whole", data: part.clone(), want: "Ok(true)" },
        Case {
            name: "another layer count",
            data: part.replace("\\\"layers\\\":8", "\\\"layers\\\":9"),
            want: "Digest",
        },
        Case {
            name: "another version",
            data: part.replace("\\\"version\\\":0", "\\\"version\\\":1"),
            want: "Digest",
        },
        Case {
            name: "another offset",
            data: part.replacen("\"offset\":1", "\"offset\":2", 1),
            want: "Digest",
        },
        Case {
            name: "malformed content",
            data: part.replacen("\\\"objects\\\"", "", 1),
            want: "Unreadable",
        },
        Case {
            name: "another format",
            data: part.replacen("\"format\":1", "\"format\":2", 1),
            want: "Format(2)",
        },
        Case {
            name: "a part index out of range",
            data: part.replacen("\"index\":0", "\"index\":1", 1),
            want: "Unreadable",
        },
    ];
    for case in cases {
        let got = Assembly::default().take(&case.data).map(|it| it.is_some());
        assert!(format!("{got:?}").contains(case.want), "{}: {got:?}", case.name);
    }
}

#[test]
fn parts_of_several_snapshots_may_mix() {
    let edits: Vec<String> = (0..4000).map(|it| format!("organisation-{it}")).collect();
    let edits: Vec<Edit<'_>> =
        edits.iter().map(|it| ("organisation", it.as_str(), None, org(0.1))).collect();
    let records = [
        base(),
        command("many", 1, &edits),
        command("more", 1, &[("organisation", "x", None, org(1.0))]),
    ];
    let (old, new) = (fold(&records[..2]).0, fold(&records).0);
    let (first, second) = (Snapshot::records(&old), Snapshot::records(&new));
    assert!(first.len() > 2, "large enough to be cut");
    assert_eq!(
        Tail::read(second.last().expect("parts")).map(|it| it.parts),
        Some(second.len() as u32)
    );
    assert_eq!(Tail::read(&first[0]), None);
    let mut assembly = Assembly::default();
    let mixed = first.iter().zip(second.iter().rev()).flat_map(|(a, b)| [a, b, a]);
    let whole: Vec<Snapshot> = mixed.filter_map(|it| assembly.take(it).expect("good")).collect();
    assert!(whole.iter().any(|it| *it.state() == old) && whole.iter().any(|it| *it.state() == new));
}
