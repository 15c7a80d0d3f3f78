//! The pace of a chain: averaged over gaps, without the wait for the first token.

use roseshore_core::answer::interval::IntervalMeter;
use roseshore_core::prelude::*;

struct Case {
    name: &'static str,
    /// When tokens come, milliseconds; `None` is a reset.
    tokens: Vec<Option<u64>>,
    paces: Vec<u64>,
}

fn even(from: u64, step: u64, count: u64) -> Vec<Option<u64>> {
    (0..count).map(|i| Some(from + i * step)).collect()
}

#[test]
fn paces() {
    let cases = [
        Case { name: "too few tokens", tokens: even(500, 4, 8), paces: vec![] },
        Case { name: "the first wait does not count", tokens: even(500, 4, 9), paces: vec![4] },
        Case { name: "told again and again", tokens: even(0, 4, 17), paces: vec![4, 4] },
        Case {
            name: "a new route begins anew",
            tokens: [even(0, 4, 5), vec![None], even(900, 6, 9)].concat(),
            paces: vec![6],
        },
        Case {
            name: "a change of pace shows",
            tokens: [even(0, 4, 9), even(40, 8, 8)].concat(),
            paces: vec![4, 8],
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut meter = IntervalMeter::default();
        let mut paces = Vec::new();
        for token in case.tokens {
            match token {
                Some(at) => paces.extend(meter.record_token(start + Duration::from_millis(at))),
                None => meter.reset(),
            }
        }
        let paces: Vec<u64> = paces.iter().map(|p| p.as_millis() as u64).collect();
        assert_eq!(paces, case.paces, "{}", case.name);
    }
}
