//! Tests of when something that a busy host polls may have arrived.

use roseshore_core::gateway::poll_timing::PollTiming;
use roseshore_core::prelude::*;

/// A poll; times in ms after the end of the poll before.
struct Case {
    name: &'static str,
    began: u64,
    timeout: u64,
    ended: u64,
    earliest: u64,
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
        },
        Case { name: "busy for two seconds", began: 2_000, timeout: 0, ended: 2_000, earliest: 0 },
        Case { name: "busy, then idle", began: 2_000, timeout: 90, ended: 2_040, earliest: 2_040 },
        Case { name: "a short poll", began: 2, timeout: 9, ended: 2, earliest: 0 },
        Case { name: "a late timer", began: 2, timeout: 9, ended: 21, earliest: 21 },
        Case { name: "suspended while waiting", began: 2, timeout: 98, ended: 6_100, earliest: 2 },
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
    }
}
