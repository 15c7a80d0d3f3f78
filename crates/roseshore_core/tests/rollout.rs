//! Tests of the version chosen for new answers while targets change to another one.

use proptest::prelude::*;
use roseshore_core::order::rollout::{LoadedRange, LoadedRanges, Rollout};
use roseshore_core::prelude::*;

const DEPTH: Layer = 8;

/// Parses loaded ranges: each word is a version with the prefix `n` for the own data centre or `f`
/// for another one; a version in parentheses lacks its last layers.
fn loaded(held: &str, complete: bool) -> LoadedRanges {
    let range = |word: &str| {
        let (local, version) = (word.starts_with('n'), &word[1..]);
        let whole = version.trim_matches(['(', ')']);
        let end = if whole == version { DEPTH } else { DEPTH / 2 };
        LoadedRange { version: whole.to_owned(), layers: (0, end), local }
    };
    LoadedRanges { ranges: held.split_whitespace().map(range).collect(), complete }
}

struct Step {
    declared: &'static str,
    held: &'static str,
    version: &'static str,
}

struct Case {
    name: &'static str,
    complete: bool,
    steps: &'static [Step],
}

const fn step(declared: &'static str, held: &'static str, version: &'static str) -> Step {
    Step { declared, held, version }
}

const CASES: &[Case] = &[
    Case {
        name: "the old version serves until a chain of the new one is complete",
        complete: true,
        steps: &[
            step("1", "n1 n1", "1"),
            step("2", "n1 n1", "1"),
            step("2", "n1 n(2)", "1"),
            step("2", "n1 n2", "2"),
        ],
    },
    Case {
        name: "no return to the old version, even when no chain of the new one is left",
        complete: true,
        steps: &[
            step("1", "n1", "1"),
            step("2", "n1 n2", "2"),
            step("2", "n1", "2"),
            step("2", "n1 f1", "2"),
        ],
    },
    Case {
        name: "the old version is used when it is declared again",
        complete: true,
        steps: &[step("1", "n1", "1"), step("2", "n1 n2", "2"), step("1", "n1 n2", "1")],
    },
    Case {
        name: "a second change overtakes the first",
        complete: true,
        steps: &[
            step("1", "n1 n1", "1"),
            step("2", "n1 n(2)", "1"),
            step("3", "n1 n2", "1"),
            step("3", "n2 n3", "3"),
        ],
    },
    Case {
        name: "a new version in another data centre does not attract all answers",
        complete: true,
        steps: &[
            step("1", "n1 f1", "1"),
            step("2", "n1 f2", "1"),
            step("2", "n(1) f2", "2"),
            step("2", "n1 f2", "2"),
        ],
    },
    Case {
        name: "the old version elsewhere when no chain is complete here",
        complete: true,
        steps: &[step("1", "n1 f1", "1"), step("2", "n(1) f1", "1")],
    },
    Case {
        name: "a daemon that starts during the change takes the version that serves",
        complete: true,
        steps: &[step("2", "n1 n(2)", "1"), step("2", "n1 n2", "2")],
    },
    Case {
        name: "a daemon without reports from every target waits",
        complete: false,
        steps: &[step("2", "n1", "2"), step("2", "n1 n2", "2"), step("2", "n1", "2")],
    },
    Case {
        name: "no version serves",
        complete: true,
        steps: &[
            step("1", "", "1"),
            step("2", "n1", "1"),
            step("2", "", "2"),
            step("2", "n1", "1"),
        ],
    },
];

#[test]
fn versions() {
    for case in CASES {
        let mut rollout = Rollout::default();
        for (at, step) in case.steps.iter().enumerate() {
            let loaded_ranges = || loaded(step.held, case.complete);
            let choice = rollout.choose(&"m".into(), &step.declared.into(), DEPTH, loaded_ranges);
            assert_eq!(choice.version, step.version, "{}: step {at}", case.name);
        }
    }
}

proptest! {
    /// For any sequence of served and declared versions: once the declared version was used, it
    /// stays in use, and a replaced version is used again only when it is declared again.
    #[test]
    fn a_replaced_version_returns_only_when_declared(
        steps in prop::collection::vec((0_u8..4, prop::collection::vec((0_u8..4, any::<bool>()), 0..4), any::<bool>()), 1..40)
    ) {
        let mut rollout = Rollout::default();
        let mut declared = 0;
        let mut last: Option<VersionId> = None;
        let mut used = false;
        for (at, (pick, held, complete)) in steps.into_iter().enumerate() {
            let before = declared;
            declared = if at % 4 == 0 { pick } else { declared };
            used &= declared == before;
            let words: Vec<String> =
                held.iter().map(|(v, near)| format!("{}{v}", if *near { 'n' } else { 'f' })).collect();
            let loaded_ranges = || loaded(&words.join(" "), complete);
            let wanted = declared.to_string();
            let choice = rollout.choose(&"m".into(), &wanted, DEPTH, loaded_ranges);
            let whole = held.iter().any(|(v, _)| v.to_string() == choice.version);
            prop_assert!(choice.version == wanted || whole, "{choice:?} has no complete chain");
            prop_assert!(!used || choice.version == wanted, "{choice:?} after {wanted}");
            if whole {
                let same = last.as_ref() == Some(&choice.version);
                prop_assert!(last.is_none() || same || choice.version == wanted, "{choice:?}");
                used |= choice.version == wanted;
                last = Some(choice.version);
            }
        }
    }
}
