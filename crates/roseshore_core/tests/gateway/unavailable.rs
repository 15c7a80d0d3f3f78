//! Tests of the reason why no target can be chosen, and of when one can be again.

use roseshore_core::gateway::{SelectionConditions, Unavailable};
use std::time::{Duration, Instant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A service without a target that can be chosen now.
struct Case {
    name: &'static str,
    /// When the back-offs of its targets end, ms from now.
    backoff_ends: &'static [u64],
    limited: bool,
    /// Whether a target can be chosen after a time, with limits enforced or not.
    selectable: fn(Duration, bool) -> bool,
    want: Unavailable,
}

const NOTHING: Case = Case {
    name: "layers that no engine holds",
    backoff_ends: &[],
    limited: false,
    selectable: |_, _| false,
    want: Unavailable::Other,
};

#[test]
fn a_refusal_gives_the_reason_that_really_binds() {
    let cases = [
        NOTHING,
        Case {
            name: "layers are missing, another target backs off",
            backoff_ends: &[900],
            ..NOTHING
        },
        Case {
            name: "layers are missing, others back off and are limited",
            backoff_ends: &[900],
            limited: true,
            ..NOTHING
        },
        Case {
            name: "the only target backs off",
            backoff_ends: &[900],
            selectable: |at, _| at >= ms(900),
            want: Unavailable::BackingOff(ms(900)),
            ..NOTHING
        },
        Case {
            name: "two back off, the first is enough",
            backoff_ends: &[900, 300],
            selectable: |at, _| at >= ms(300),
            want: Unavailable::BackingOff(ms(300)),
            ..NOTHING
        },
        Case {
            name: "two back off, a path needs both",
            backoff_ends: &[300, 900],
            selectable: |at, _| at >= ms(900),
            want: Unavailable::BackingOff(ms(900)),
            ..NOTHING
        },
        Case {
            name: "the only target is at its limit",
            limited: true,
            selectable: |_, enforce_limits| !enforce_limits,
            want: Unavailable::RateLimited,
            ..NOTHING
        },
        Case {
            name: "one backs off, another is at its limit",
            backoff_ends: &[900],
            limited: true,
            selectable: |at, enforce_limits| at >= ms(900) || !enforce_limits,
            want: Unavailable::BackingOff(ms(900)),
        },
        Case {
            name: "one backs off that is needed, and it is at its limit",
            backoff_ends: &[900],
            limited: true,
            selectable: |at, enforce_limits| at >= ms(900) && !enforce_limits,
            want: Unavailable::BackingOff(ms(900)),
        },
        Case {
            name: "a target is at its limit, and one backs off that is not needed",
            backoff_ends: &[900],
            limited: true,
            selectable: |_, enforce_limits| !enforce_limits,
            want: Unavailable::RateLimited,
        },
    ];
    let now = Instant::now();
    for case in cases {
        let backoff_ends = case.backoff_ends.iter().map(|end| now + ms(*end)).collect();
        let selectable = |conditions: SelectionConditions| {
            (case.selectable)(conditions.at - now, conditions.enforce_limits)
        };
        assert_eq!(
            Unavailable::of(backoff_ends, case.limited, now, selectable),
            case.want,
            "{}",
            case.name
        );
    }
}
