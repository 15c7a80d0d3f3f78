//! When a host asks another for a copy of what it has read.

use roseshore_core::gateway::Copies;
use roseshore_core::gateway::copies::{COPY_TIME, Outcome};
use roseshore_core::prelude::*;

/// What happened to the copy that was asked for at first, and when the next may be asked for.
struct Case {
    name: &'static str,
    outcome: Outcome,
    /// After so many milliseconds another may be asked for, and not a little before.
    after: u64,
}

#[test]
fn one_copy_at_a_time_and_the_store_after_a_failure() {
    let cases = [
        Case { name: "it came", outcome: Outcome::Came, after: 0 },
        Case { name: "it failed", outcome: Outcome::Failed, after: 1_000 },
        Case { name: "turned away", outcome: Outcome::TurnedAway, after: 60 },
    ];
    for case in cases {
        let now = Instant::now();
        let mut copies = Copies::default();
        assert_eq!(copies.ask(now), Some(now + COPY_TIME), "{}", case.name);
        assert!(copies.under_way() && copies.ask(now).is_none(), "{}", case.name);
        copies.ended(case.outcome, now);
        let due = now + Duration::from_millis(case.after);
        if case.after > 0 {
            let before = now + Duration::from_millis(case.after - 1);
            assert_eq!(copies.ask(before), None, "{}", case.name);
        }
        assert!(copies.ask(due).is_some(), "{}", case.name);
    }
}

/// Copies that are asked for at these times (ms) and of these sizes, and whether they are given.
struct Gifts {
    name: &'static str,
    asked: &'static [(u64, usize, bool)],
}

#[test]
fn a_host_gives_so_much_in_a_moment() {
    let cases = [
        Gifts {
            name: "small ones until it is enough",
            asked: &[(0, 90_000, true), (1, 90_000, true), (2, 90_000, false), (3, 10_000, true)],
        },
        Gifts { name: "a large one first", asked: &[(0, 400_000, true), (10, 1_000, false)] },
        Gifts {
            name: "the next moment",
            asked: &[(0, 150_000, true), (199, 150_000, false), (200, 150_000, true)],
        },
    ];
    for case in cases {
        let begun = Instant::now();
        let mut copies = Copies::default();
        for (at, bytes, given) in case.asked {
            let now = begun + Duration::from_millis(*at);
            assert_eq!(copies.give(*bytes, now), *given, "{} at {at}", case.name);
        }
    }
}
