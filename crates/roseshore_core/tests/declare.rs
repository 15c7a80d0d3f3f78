//! Tests of TOML declarations: which are accepted, where faults are reported, and the differences.

use roseshore_core::declare::{Source, diff, parse};
use roseshore_core::prelude::*;
use std::collections::BTreeMap;

fn source(name: &str, text: &str) -> Source {
    Source { name: name.into(), text: text.into() }
}

const GOOD: &str = r#"
[data_centre.korangi]
region = "pk-south"
[model.m]
layers = 8
version = "v1"
[service.notes]
kind = "model"
model = "m"
[organisation.mirrors]
rate = 50.0
"#;

#[test]
fn faults_are_reported_with_their_location() {
    struct Case {
        name: &'static str,
        more: &'static str,
        want: &'static str,
    }
    let cases = [
        Case { name: "no TOML", more: "[model", want: "b.toml:1:7: " },
        Case {
            name: "an unknown field",
            more: "[organisation.o]\nshade = 2.0",
            want: "b.toml:2:1: unknown field `shade`",
        },
        Case {
            name: "an unknown table",
            more: "[organization.o]",
            want: "b.toml:1:2: unknown field `organization`",
        },
        Case {
            name: "a wrong type",
            more: "[organisation.o]\n  rate = \"many\"",
            want: "b.toml:2:10: invalid type",
        },
        Case {
            name: "a wrong kind",
            more: "[service.s]\nkind = \"modle\"",
            want: "b.toml:2:8: unknown variant `modle`",
        },
        Case {
            name: "declared in two files",
            more: "\n[model.m]\nlayers = 9\nversion = \"v2\"",
            want: "b.toml:2:8: model `m` is declared already at a.toml:4",
        },
        Case {
            name: "an undeclared model",
            more: "[service.s]\nkind = \"model\"\nmodel = \"q\"",
            want: "b.toml:1:10: service `s`: model `q` is not declared",
        },
        Case {
            name: "a gap in a chain",
            more: "[[chain]]\nname = \"c\"\nmodel = \"m\"\ndata_centre = \"korangi\"\nstages = [\n { host = \"h\", addr = \"127.0.0.1:1\", layers = [0, 3] },\n { host = \"h\", addr = \"127.0.0.1:2\", layers = [4, 8] },\n]",
            want: "b.toml:7:2: this stage begins at layer 4, the one before ends at 3",
        },
        Case {
            name: "a chain that ends early",
            more: "[[chain]]\nname = \"c\"\nmodel = \"m\"\ndata_centre = \"korangi\"\nstages = [\n { host = \"h\", addr = \"127.0.0.1:1\", layers = [0, 7] },\n]",
            want: "b.toml:6:2: the chain ends at layer 7, but model `m` has 8",
        },
        Case {
            name: "a gap between targets",
            more: "[target.t]\nkind = \"engine\"\nhost = \"h\"\ndata_centre = \"korangi\"\naddr = \"127.0.0.1:1\"\nmodel = \"m\"\nlayers = [0, 7]",
            want: "a.toml:4:8: model `m`: no target holds layers 7..8",
        },
        Case {
            name: "two stages at one address",
            more: "[[chain]]\nname = \"c\"\nmodel = \"m\"\ndata_centre = \"korangi\"\nstages = [\n { host = \"h\", addr = \"127.0.0.1:1\", layers = [0, 4] },\n { host = \"h\", addr = \"127.0.0.1:1\", layers = [4, 8] },\n]",
            want: "b.toml:6:2: target `c-0`: another target has the address",
        },
        Case {
            name: "a process of an unknown service",
            more: "[[process]]\nname = \"p\"\nhost = \"h\"\ndata_centre = \"korangi\"\naddr = \"127.0.0.1:1\"\nserves = [\"nothing\"]",
            want: "b.toml:6:11: target `p`: service `nothing` is not declared",
        },
    ];
    for case in cases {
        let diagnostics = parse(&[source("a.toml", GOOD), source("b.toml", case.more)]);
        let reported: Vec<String> =
            diagnostics.expect_err(case.name).iter().map(ToString::to_string).collect();
        assert!(reported.iter().any(|it| it.starts_with(case.want)), "{}: {reported:?}", case.name);
    }
}

#[test]
fn both_fleets_have_the_specified_size() {
    struct Case {
        name: &'static str,
        lookup: &'static str,
        replicas: usize,
        once: &'static [&'static str],
    }
    let cases = [
        Case { name: "indus", lookup: "packages/", replicas: 9, once: &["publish-note"] },
        Case {
            name: "kingston",
            lookup: "certificates/",
            replicas: 3,
            once: &["reviews", "verdicts"],
        },
    ];
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fleets");
    for case in cases {
        let file = format!("{}.toml", case.name);
        let text = std::fs::read_to_string(root.join(&file)).expect("the file");
        let fleet = parse(&[source(&file, &text)]).expect(case.name);
        let engines = fleet.targets.values().filter(|it| it.model.is_some()).count();
        let serving =
            |it: &&Target| it.serves.as_ref().is_some_and(|it| it.starts_with(case.lookup));
        let (counts, want) =
            ((fleet.data_centres.len(), engines, fleet.organisations.len()), (3, 30, 10));
        assert_eq!(counts, want, "{}", case.name);
        assert_eq!(fleet.targets.values().filter(serving).count(), case.replicas, "{}", case.name);
        let once: Vec<_> =
            fleet.services.iter().filter(|it| !it.1.idempotent).map(|it| it.0.as_str()).collect();
        assert_eq!(once, case.once, "{}", case.name);
    }
}

#[test]
fn differences_are_the_changes_of_a_command() {
    struct Case {
        name: &'static str,
        from: String,
        to: String,
        prune: bool,
        lines: &'static [&'static str],
        undeclared: usize,
    }
    let good = || GOOD.to_owned();
    let case = |name, from, to, prune, lines, undeclared| Case {
        name,
        from,
        to,
        prune,
        lines,
        undeclared,
    };
    let cases = [
        case("no change", good(), good(), true, &[], 0),
        case(
            "all objects new",
            String::new(),
            GOOD.replace("[organisation.mirrors]\nrate = 50.0", ""),
            false,
            &["+ data_centre `korangi`", "+ model `m`", "+ service `notes`"],
            0,
        ),
        case(
            "one field",
            good(),
            GOOD.replace("50.0", "60.0"),
            false,
            &["~ organisation `mirrors`", "    rate: 50.0 -> 60.0"],
            0,
        ),
        case(
            "an object not declared",
            good(),
            GOOD.replace("[organisation.mirrors]\nrate = 50.0", ""),
            false,
            &[],
            1,
        ),
        case(
            "an object pruned",
            good(),
            GOOD.replace("[organisation.mirrors]\nrate = 50.0", ""),
            true,
            &["- organisation `mirrors`"],
            0,
        ),
    ];
    for case in cases {
        let before = parse(&[source("from", &case.from)]).expect(case.name);
        let after = parse(&[source("to", &case.to)]).expect(case.name);
        let in_force: BTreeMap<_, _> =
            before.objects().into_iter().map(|(key, it)| (key, (7, it))).collect();
        let diff = diff(&in_force, &after, case.prune);
        assert_eq!(diff.lines, case.lines, "{}", case.name);
        assert_eq!(diff.undeclared.len(), case.undeclared, "{}", case.name);
        assert!(
            diff.changes.iter().all(|it| it.base == in_force.get(&it.key).map(|_| 7)),
            "{}",
            case.name
        );
    }
}
