//! Why no target can be chosen, and when there is a way again.

use roseshore_core::gateway::{SelectionConditions, Unavailable};
use std::time::{Duration, Instant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A service without a target that can be chosen now.
struct Case {
    name: &'static str,
    /// When its targets' rests end, ms from now.
    rests: &'static [u64],
    limited: bool,
    /// Whether there is a way after a time, with limits heeded or not.
    way: fn(Duration, bool) -> bool,
    want: Unavailable,
}

const NOTHING: Case = Case {
    name: "layers that nobody holds",
    rests: &[],
    limited: false,
    way: |_, _| false,
    want: Unavailable::Other,
};

#[test]
fn a_refusal_gives_what_really_binds() {
    let cases = [
        NOTHING,
        Case { name: "layers are missing, another target rests", rests: &[900], ..NOTHING },
        Case {
            name: "layers are missing, others rest and are limited",
            rests: &[900],
            limited: true,
            ..NOTHING
        },
        Case {
            name: "the only target rests",
            rests: &[900],
            way: |at, _| at >= ms(900),
            want: Unavailable::BackingOff(ms(900)),
            ..NOTHING
        },
        Case {
            name: "two rest, the first is enough",
            rests: &[900, 300],
            way: |at, _| at >= ms(300),
            want: Unavailable::BackingOff(ms(300)),
            ..NOTHING
        },
        Case {
            name: "two rest, a path needs both",
            rests: &[300, 900],
            way: |at, _| at >= ms(900),
            want: Unavailable::BackingOff(ms(900)),
            ..NOTHING
        },
        Case {
            name: "the only target takes no more",
            limited: true,
            way: |_, limits| !limits,
            want: Unavailable::RateLimited,
            ..NOTHING
        },
        Case {
            name: "one rests, another takes no more",
            rests: &[900],
            limited: true,
            way: |at, limits| at >= ms(900) || !limits,
            want: Unavailable::BackingOff(ms(900)),
        },
        Case {
            name: "one rests without which nothing helps, and it takes no more",
            rests: &[900],
            limited: true,
            way: |at, limits| at >= ms(900) && !limits,
            want: Unavailable::BackingOff(ms(900)),
        },
        Case {
            name: "a target takes no more, and one rests that is not needed",
            rests: &[900],
            limited: true,
            way: |_, limits| !limits,
            want: Unavailable::RateLimited,
        },
    ];
    let now = Instant::now();
    for case in cases {
        let rests = case.rests.iter().map(|rest| now + ms(*rest)).collect();
        let way = |wish: SelectionConditions| (case.way)(wish.at - now, wish.enforce_limits);
        assert_eq!(Unavailable::of(rests, case.limited, now, way), case.want, "{}", case.name);
    }
}
