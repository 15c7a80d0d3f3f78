//! The mean token interval of a chain, without the wait for the first token.

use roseshore_core::answer::interval::IntervalMeter;
use roseshore_core::prelude::*;

struct Case {
    name: &'static str,
    /// Arrival times of tokens in milliseconds; `None` is a reset.
    tokens: Vec<Option<u64>>,
    intervals: Vec<u64>,
}

fn even(from: u64, step: u64, count: u64) -> Vec<Option<u64>> {
    (0..count).map(|i| Some(from + i * step)).collect()
}

#[test]
fn token_intervals() {
    let cases = [
        Case { name: "too few tokens", tokens: even(500, 4, 8), intervals: vec![] },
        Case { name: "the first wait does not count", tokens: even(500, 4, 9), intervals: vec![4] },
        Case { name: "told again and again", tokens: even(0, 4, 17), intervals: vec![4, 4] },
        Case {
            name: "a new route begins anew",
            tokens: [even(0, 4, 5), vec![None], even(900, 6, 9)].concat(),
            intervals: vec![6],
        },
        Case {
            name: "a change of pace shows",
            tokens: [even(0, 4, 9), even(40, 8, 8)].concat(),
            intervals: vec![4, 8],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut meter = IntervalMeter::default();
        let mut intervals = Vec::new();
        for token in case.tokens {
            match token {
                Some(at) => intervals.extend(meter.record_token(start + Duration::from_millis(at))),
                None => meter.reset(),
            }
        }
        let intervals: Vec<u64> =
            intervals.iter().map(|interval| interval.as_millis() as u64).collect();
        assert_eq!(intervals, case.intervals, "{}", case.name);
    }
}
