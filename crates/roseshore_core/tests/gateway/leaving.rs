//! Which streams a leaving host still takes.

use roseshore_core::gateway::leaving::TokenPace;
use roseshore_core::prelude::*;

/// A stream, and how much of the grace must be left for it.
struct Case {
    name: &'static str,
    guess: f64,
    bound: f64,
    /// Milliseconds in which it is expected to end, and in which it is not.
    taken: u64,
    refused: u64,
}

#[test]
fn a_stream_is_taken_if_it_may_be_expected_to_end() {
    let mut pace = TokenPace::default();
    for _ in 0..200 {
        pace.record_stream(100.0, Duration::from_secs(1));
    }
    pace.record_stream(0.0, Duration::from_mins(1));
    let cases = [
        Case { name: "short", guess: 50.0, bound: 579.0, taken: 1_700, refused: 1_500 },
        Case { name: "usual", guess: 171.0, bound: 579.0, taken: 5_600, refused: 5_400 },
        Case { name: "bounded", guess: 171.0, bound: 90.0, taken: 1_500, refused: 1_400 },
        Case { name: "no bound", guess: 200.0, bound: 0.0, taken: 6_500, refused: 6_300 },
    ];
    for case in cases {
        let within = |ms: u64| pace.ends_within(case.guess, case.bound, Duration::from_millis(ms));
        assert!(within(case.taken), "{}", case.name);
        assert!(!within(case.refused), "{}", case.name);
    }
}
