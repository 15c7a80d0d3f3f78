//! Measures folding of the configuration at several sizes, up to the design size.
//!
//! Run with `cargo run --release -p roseshore_core --example config_bench`; it takes less than a
//! minute. Prints the median and the 99th percentile of single calls, in microseconds.

use roseshore_core::config::{Assembly, Decision, Outcome, Snapshot, State};
use roseshore_core::prelude::*;
use serde_json::{Value, json};

const ROUNDS: usize = 2000;

struct Size {
    name: &'static str,
    organisations: usize,
    targets: usize,
    models: usize,
}

const SIZES: &[Size] = &[
    Size { name: "today", organisations: 10, targets: 36, models: 2 },
    Size { name: "a tenth", organisations: 3_300, targets: 200, models: 3 },
    Size { name: "a third", organisations: 11_000, targets: 660, models: 8 },
    Size { name: "the target size", organisations: 33_000, targets: 2_000, models: 24 },
];

fn change(kind: &str, id: &str, base: Option<Offset>, content: Value) -> Value {
    json!({ "key": { "kind": kind, "id": id }, "base": base, "put": { kind: content } })
}

fn record(id: &str, made_at: Offset, changes: Vec<Value>) -> String {
    json!({ "format": 1, "id": id, "operator": "op", "made_at": made_at, "changes": changes })
        .to_string()
}

fn organisation(rate: usize) -> Value {
    json!({ "share": 1.5, "rate": rate as f64 + 0.25, "burst": 200.0 })
}

fn target(index: usize, models: usize, host: &str) -> Value {
    let half = u16::try_from(index / models % 2).unwrap_or_default() * 16;
    let addr = format!("10.{}.{}.1:8000", index / 250, index % 250);
    json!({ "kind": "engine", "host": host, "data_centre": "d0", "addr": addr,
        "model": format!("m{}", index % models), "layers": [half, half + 16], "accelerator": "l4" })
}

fn base(size: &Size) -> String {
    let mut all = vec![change("data_centre", "d0", None, json!({ "region": "r" }))];
    for index in 0..size.models {
        let model = json!({ "layers": 32, "version": "v1" });
        all.push(change("model", &format!("m{index}"), None, model));
    }
    for index in 0..size.organisations {
        all.push(change(
            "organisation",
            &format!("organisation-{index:05}"),
            None,
            organisation(9),
        ));
    }
    for index in 0..size.targets {
        let host = format!("host-{index}");
        all.push(change(
            "target",
            &format!("target-{index:04}"),
            None,
            target(index, size.models, &host),
        ));
    }
    record("base", 0, all)
}

/// Durations of single calls in microseconds, sorted.
struct Times(Vec<f64>);

impl Times {
    fn of(rounds: usize, mut call: impl FnMut(usize) -> Duration) -> Times {
        let mut all: Vec<f64> = (0..rounds).map(|round| call(round).as_secs_f64() * 1e6).collect();
        all.sort_by(f64::total_cmp);
        Times(all)
    }
}

impl std::fmt::Display for Times {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let at = |part: usize| self.0[(self.0.len() - 1) * part / 100];
        write!(f, "{:>10.1} {:>10.1}", at(50), at(99))
    }
}

/// Folds one record, checks whether it is accepted, and returns the duration.
fn fold(state: &mut State, data: &str, accepted: bool) -> Duration {
    let begun = Instant::now();
    let folded = state.fold(state.offset(), data);
    let took = begun.elapsed();
    let outcome = folded.expect("in order").outcome;
    assert_eq!(outcome == Outcome::Decided(Decision::Accepted), accepted, "{outcome:?}");
    took
}

/// Measures changes of one object of a kind, one per round.
fn changes(
    state: &mut State,
    kind: &str,
    id: &dyn Fn(usize) -> String,
    new: &dyn Fn(usize) -> Value,
) -> Times {
    let mut versions = std::collections::BTreeMap::new();
    Times::of(ROUNDS, |round| {
        let id = id(round);
        let base = versions.insert(id.clone(), state.offset()).unwrap_or(0);
        let data = record(
            &format!("{kind}-{round}"),
            state.offset(),
            vec![change(kind, &id, Some(base), new(round))],
        );
        fold(state, &data, true)
    })
}

fn measure(size: &Size) {
    let mut state = State::default();
    let first = fold(&mut state, &base(size), true);
    println!(
        "{}: {} organisations, {} targets, {} models",
        size.name, size.organisations, size.targets, size.models
    );
    println!("  {:<34}{:>10.1}", "everything in one command", first.as_secs_f64() * 1e6);
    let show = |what: &str, times: &Times| println!("  {what:<34}{times}");
    let organisations =
        |round: usize| format!("organisation-{:05}", round * 7 % size.organisations);
    show(
        "change of an organisation",
        &changes(&mut state, "organisation", &organisations, &organisation),
    );
    let targets = |round: usize| format!("target-{:04}", round * 7 % size.targets);
    let moved =
        |round: usize| target(round * 7 % size.targets, size.models, &format!("new-{round}"));
    show("change of a target", &changes(&mut state, "target", &targets, &moved));
    let model = |round: usize| json!({ "layers": 32, "version": format!("v{round}") });
    show(
        "change of a model",
        &changes(&mut state, "model", &|round| format!("m{}", round % size.models), &model),
    );
    show(
        "conflict",
        &Times::of(ROUNDS, |round| {
            let change = change("organisation", "organisation-00000", Some(0), organisation(round));
            let data = record(&format!("conflict-{round}"), state.offset(), vec![change]);
            fold(&mut state, &data, false)
        }),
    );
    show(
        "invalid",
        &Times::of(ROUNDS, |round| {
            let change =
                change("organisation", &format!("new-{round}"), None, json!({ "rate": 0.0 }));
            let data = record(&format!("invalid-{round}"), state.offset(), vec![change]);
            fold(&mut state, &data, false)
        }),
    );
    let timed = |call: &dyn Fn()| {
        Times::of(20, |_| {
            let begun = Instant::now();
            call();
            begun.elapsed()
        })
    };
    show("copy to publish", &timed(&|| drop(state.fleet().clone())));
    let parts = Snapshot::records(&state);
    show("snapshot made", &timed(&|| drop(Snapshot::records(&state))));
    show(
        "snapshot restored",
        &timed(&|| {
            let mut assembly = Assembly::default();
            let whole = parts.iter().any(|it| assembly.take(it).expect("good").is_some());
            assert!(whole, "a snapshot");
        }),
    );
    let bytes: usize = parts.iter().map(String::len).sum();
    println!("  {:<34}{:>10} bytes in {} records", "snapshot", bytes, parts.len());
}

fn main() {
    println!("  {:<34}{:>10} {:>10}", "microseconds", "median", "99th");
    SIZES.iter().for_each(measure);
}
