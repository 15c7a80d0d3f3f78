//! Compares the catalogues in the docs with the code, in both directions.

use roseshore_core::code::Code;
use roseshore_core::event::Event;
use std::collections::BTreeSet;
use std::path::Path;

struct Case {
    name: &'static str,
    page: &'static str,
    prefix: &'static str,
    rows: Vec<String>,
    numbers: Vec<u16>,
}

fn cases() -> Vec<Case> {
    let code_row = |c: &Code| format!("| `{c}` | `{c:?}` | {} | {} |", c.status(), c.summary());
    let event_row = |e: &Event| format!("| `{e}` | `{e:?}` | {:?} | {} |", e.level(), e.summary());
    vec![
        Case {
            name: "codes",
            page: "CODES.md",
            prefix: "| `RS",
            rows: Code::ALL.iter().map(code_row).collect(),
            numbers: Code::ALL.iter().map(|c| c.number()).collect(),
        },
        Case {
            name: "events",
            page: "EVENTS.md",
            prefix: "| `E",
            rows: Event::ALL.iter().map(event_row).collect(),
            numbers: Event::ALL.iter().map(|e| e.number()).collect(),
        },
    ]
}

#[test]
fn pages_match_the_code() {
    for case in cases() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(case.page);
        let page = std::fs::read_to_string(path).expect("the page exists");
        let found: Vec<&str> = page.lines().filter(|l| l.starts_with(case.prefix)).collect();
        assert_eq!(found, case.rows, "{}", case.name);
    }
}

#[test]
fn numbers_are_unique_and_rise() {
    for case in cases() {
        let sorted: BTreeSet<u16> = case.numbers.iter().copied().collect();
        assert_eq!(sorted.into_iter().collect::<Vec<_>>(), case.numbers, "{}", case.name);
    }
}
