//! Checks that the tests named by the matrix of proofs exist, and tests the parser of the matrix.

use roseshore_bench::proofs::{self, Proof, RowResult, TestName};
use std::path::Path;

#[test]
fn every_cell_names_a_test_that_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let rows = proofs::read(&root.join("docs/proofs")).expect("the pages can be read");
    assert!(!rows.is_empty(), "the matrix is empty");
    let crates = root.join("crates");
    let faults: Vec<String> = rows.iter().flat_map(|row| proofs::problems(row, &crates)).collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn the_list_of_what_is_not_proved_is_whole() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let page = std::fs::read_to_string(docs.join("PROOFS.md")).expect("the page can be read");
    let (_, list) = page.split_once("## Not proved").expect("the page has the list");
    let listed: Vec<&str> = list.lines().filter(|line| line.starts_with("| P")).skip(1).collect();
    let rows = proofs::read(&docs.join("proofs")).expect("the pages can be read");
    assert_eq!(listed, proofs::gaps(&rows), "paste what `proofs --gaps` prints");
}

struct Case {
    name: &'static str,
    cell: &'static str,
    tests: Option<usize>,
    output: &'static str,
    seen: RowResult,
}

const CASES: &[Case] = &[
    Case {
        name: "a test that passed",
        cell: "`a/b::c`",
        tests: Some(1),
        output: "== crate a\nRunning tests/b.rs (x)\ntest c ... ok",
        seen: RowResult::Passed,
    },
    Case {
        name: "a case of a test in a module",
        cell: "`a/b::c[stage dies, once]`",
        tests: Some(1),
        output: "== crate a\nRunning tests/b.rs (x)\ntest m::c ... ok",
        seen: RowResult::Passed,
    },
    Case {
        name: "one of two failed",
        cell: "`a/b::c` and `a/b::d`",
        tests: Some(2),
        output: "== crate a\nRunning tests/b.rs (x)\ntest c ... ok\ntest d ... FAILED",
        seen: RowResult::Failed,
    },
    Case {
        name: "the same file and function of another crate does not count",
        cell: "`a/b::c`",
        tests: Some(1),
        output: "== crate z\nRunning tests/b.rs (x)\ntest c ... ok",
        seen: RowResult::NotRun,
    },
    Case {
        name: "an ignored test did not run",
        cell: "`a/b::c`",
        tests: Some(1),
        output: "== crate a\nRunning tests/b.rs (x)\ntest c ... ignored",
        seen: RowResult::NotRun,
    },
    Case {
        name: "no proof",
        cell: "not proved: later",
        tests: None,
        output: "",
        seen: RowResult::NotProved,
    },
    Case {
        name: "prose is no proof",
        cell: "surely",
        tests: None,
        output: "",
        seen: RowResult::NotProved,
    },
];

#[test]
fn cells_are_read_and_joined_with_a_run() {
    for case in CASES {
        let rows = proofs::rows("page", &format!("| P1 | fault | step | {} |", case.cell));
        let [row] = &rows[..] else { panic!("{}: one row", case.name) };
        let tests = match &row.proof {
            Proof::Tests(names) => Some(names.len()),
            _ => None,
        };
        assert_eq!(tests, case.tests, "{}", case.name);
        let seen = proofs::row_result(row, &proofs::results(case.output));
        assert_eq!(seen, case.seen, "{}", case.name);
    }
}

#[test]
fn names_that_do_not_exist_are_reported() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let here = "roseshore_bench/proofs::names_that_do_not_exist_are_reported";
    let table = [
        (here.to_owned(), 0),
        (format!("{here}[a test that passed]"), 0),
        (format!("{here}[{}{}]", "no such ", "case at all"), 1),
        ("roseshore_bench/proofs::nothing".to_owned(), 1),
        ("roseshore_bench/nowhere::nothing".to_owned(), 1),
    ];
    for (name, faults) in table {
        assert!(TestName::parse(&name).is_some(), "{name}");
        let rows = proofs::rows("page", &format!("| P2 | f | s | `{name}` |"));
        assert_eq!(proofs::problems(&rows[0], &crates).len(), faults, "{name}");
    }
}
