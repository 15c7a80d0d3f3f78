//! Which streams a host accepts while it shuts down.

use roseshore_core::gateway::leaving::TokenPace;
use roseshore_core::prelude::*;

/// A stream, and how much of the grace period must be left for it.
struct Case {
    name: &'static str,
    guess: f64,
    bound: f64,
    /// Remaining milliseconds in which it is accepted, and in which it is refused.
    accepted: u64,
    refused: u64,
}

#[test]
fn a_stream_is_accepted_if_it_is_expected_to_end() {
    let mut pace = TokenPace::default();
    for _ in 0..200 {
        pace.record_stream(100.0, Duration::from_secs(1));
    }
    pace.record_stream(0.0, Duration::from_mins(1));
    let cases = [
        Case { name: "short", guess: 50.0, bound: 579.0, accepted: 1_700, refused: 1_500 },
        Case { name: "usual", guess: 171.0, bound: 579.0, accepted: 5_600, refused: 5_400 },
        Case { name: "bounded", guess: 171.0, bound: 90.0, accepted: 1_500, refused: 1_400 },
        Case { name: "no bound", guess: 200.0, bound: 0.0, accepted: 6_500, refused: 6_300 },
    ];
    for case in cases {
        let within = |ms: u64| pace.ends_within(case.guess, case.bound, Duration::from_millis(ms));
        assert!(within(case.accepted), "{}", case.name);
        assert!(!within(case.refused), "{}", case.name);
    }
}
