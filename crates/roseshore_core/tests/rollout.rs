//! The version for new answers while targets change.

use proptest::prelude::*;
use roseshore_core::order::rollout::{LoadedRange, LoadedRanges, Rollout};
use roseshore_core::prelude::*;

const DEPTH: Layer = 8;

/// What is held: versions by name, `n` before it for the own data centre, `f` for another; a name
/// in brackets lacks its last layers.
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
    heard: bool,
    steps: &'static [Step],
}

const fn step(declared: &'static str, held: &'static str, version: &'static str) -> Step {
    Step { declared, held, version }
}

const CASES: &[Case] = &[
    Case {
        name: "the old version serves until a chain of the new one is whole",
        heard: true,
        steps: &[
            step("1", "n1 n1", "1"),
            step("2", "n1 n1", "1"),
            step("2", "n1 n(2)", "1"),
            step("2", "n1 n2", "2"),
        ],
    },
    Case {
        name: "never back, even when no chain of the new version is left",
        heard: true,
        steps: &[
            step("1", "n1", "1"),
            step("2", "n1 n2", "2"),
            step("2", "n1", "2"),
            step("2", "n1 f1", "2"),
        ],
    },
    Case {
        name: "back when it is declared again",
        heard: true,
        steps: &[step("1", "n1", "1"), step("2", "n1 n2", "2"), step("1", "n1 n2", "1")],
    },
    Case {
        name: "a second change overtakes the first",
        heard: true,
        steps: &[
            step("1", "n1 n1", "1"),
            step("2", "n1 n(2)", "1"),
            step("3", "n1 n2", "1"),
            step("3", "n2 n3", "3"),
        ],
    },
    Case {
        name: "another data centre's new version does not draw all work there",
        heard: true,
        steps: &[
            step("1", "n1 f1", "1"),
            step("2", "n1 f2", "1"),
            step("2", "n(1) f2", "2"),
            step("2", "n1 f2", "2"),
        ],
    },
    Case {
        name: "the old version elsewhere when none is whole here",
        heard: true,
        steps: &[step("1", "n1 f1", "1"), step("2", "n(1) f1", "1")],
    },
    Case {
        name: "a daemon that starts meanwhile takes what serves",
        heard: true,
        steps: &[step("2", "n1 n(2)", "1"), step("2", "n1 n2", "2")],
    },
    Case {
        name: "a daemon that has not heard of every target yet waits",
        heard: false,
        steps: &[step("2", "n1", "2"), step("2", "n1 n2", "2"), step("2", "n1", "2")],
    },
    Case {
        name: "nothing serves",
        heard: true,
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
            let look = || loaded(step.held, case.heard);
            let choice = rollout.choose(&"m".into(), &step.declared.into(), DEPTH, look);
            assert_eq!(choice.version, step.version, "{}: step {at}", case.name);
        }
    }
}

proptest! {
    /// Whatever serves and is declared when: once the declared version was used, it stays, and
    /// a version that was left comes back only when it is declared.
    #[test]
    fn a_version_never_comes_back_undeclared(
        steps in prop::collection::vec((0_u8..4, prop::collection::vec((0_u8..4, any::<bool>()), 0..4), any::<bool>()), 1..40)
    ) {
        let mut rollout = Rollout::default();
        let mut declared = 0;
        let mut last: Option<VersionId> = None;
        let mut used = false;
        for (at, (pick, held, heard)) in steps.into_iter().enumerate() {
            let before = declared;
            declared = if at % 4 == 0 { pick } else { declared };
            used &= declared == before;
            let words: Vec<String> =
                held.iter().map(|(v, near)| format!("{}{v}", if *near { 'n' } else { 'f' })).collect();
            let look = || loaded(&words.join(" "), heard);
            let wanted = declared.to_string();
            let choice = rollout.choose(&"m".into(), &wanted, DEPTH, look);
            let whole = held.iter().any(|(v, _)| v.to_string() == choice.version);
            prop_assert!(choice.version == wanted || whole, "{choice:?} serves nowhere");
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
