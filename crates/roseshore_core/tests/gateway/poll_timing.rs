//! Tests of when something that a busy host polls may have arrived.

use roseshore_core::gateway::poll_timing::{PollTiming, max_wait};
use roseshore_core::prelude::*;

/// A poll; times in ms after the end of the poll before.
struct Case {
    name: &'static str,
    began: u64,
    timeout: u64,
    ended: u64,
    earliest: u64,
    late: bool,
}

#[test]
fn a_request_may_have_arrived_at_any_time_since_the_last_poll() {
    let cases = [
        Case {
            name: "idle until something arrived",
            began: 1,
            timeout: 100,
            ended: 80,
            earliest: 80,
            late: false,
        },
        Case {
            name: "busy for two seconds",
            began: 2_000,
            timeout: 0,
            ended: 2_000,
            earliest: 0,
            late: false,
        },
        Case {
            name: "busy, then idle",
            began: 2_000,
            timeout: 90,
            ended: 2_040,
            earliest: 2_040,
            late: false,
        },
        Case { name: "a short poll", began: 2, timeout: 9, ended: 2, earliest: 0, late: false },
        Case { name: "a late timer", began: 2, timeout: 9, ended: 21, earliest: 21, late: true },
        Case {
            name: "held up a little",
            began: 2,
            timeout: 9,
            ended: 16,
            earliest: 16,
            late: true,
        },
        Case { name: "a timer", began: 2, timeout: 9, ended: 15, earliest: 15, late: false },
        Case {
            name: "interrupted in a poll that does not wait",
            began: 120,
            timeout: 0,
            ended: 130,
            earliest: 0,
            late: true,
        },
        Case {
            name: "suspended while waiting",
            began: 2,
            timeout: 98,
            ended: 6_100,
            earliest: 2,
            late: true,
        },
    ];
    let previous_end = Instant::now();
    let at = |ms: u64| previous_end + Duration::from_millis(ms);
    for case in cases {
        let timing = PollTiming {
            previous_end,
            began: at(case.began),
            timeout: Duration::from_millis(case.timeout),
            ended: at(case.ended),
        };
        assert_eq!(timing.earliest_arrival(), at(case.earliest), "{}", case.name);
        assert_eq!(timing.is_late(), case.late, "{}", case.name);
    }
}

#[test]
fn a_poll_after_a_busy_turn_does_not_wait() {
    let previous_end = Instant::now();
    let at = |us: u64| previous_end + Duration::from_micros(us);
    let cases = [(0, 100), (900, 99), (1_000, 0), (250_000, 0)];
    for (began, wait_ms) in cases {
        let wait = max_wait(previous_end, at(began), at(100_000));
        assert_eq!(wait.as_millis(), wait_ms, "began {began} us after the turn");
    }
}
