//! When what a busy host looks at may have come.

use roseshore_core::gateway::poll_timing::PollTiming;
use roseshore_core::prelude::*;

/// A look, in milliseconds after the one before.
struct Case {
    name: &'static str,
    began: u64,
    asked: u64,
    ended: u64,
    earliest: u64,
}

#[test]
fn a_request_is_as_old_as_the_time_in_which_nobody_looked() {
    let cases = [
        Case { name: "idle until it came", began: 1, asked: 100, ended: 80, earliest: 80 },
        Case { name: "busy for two seconds", began: 2_000, asked: 0, ended: 2_000, earliest: 0 },
        Case { name: "busy, then idle", began: 2_000, asked: 90, ended: 2_040, earliest: 2_040 },
        Case { name: "a short turn", began: 2, asked: 9, ended: 2, earliest: 0 },
        Case { name: "a late timer", began: 2, asked: 9, ended: 21, earliest: 21 },
        Case { name: "suspended in the wait", began: 2, asked: 98, ended: 6_100, earliest: 2 },
    ];
    let previous_end = Instant::now();
    let at = |ms: u64| previous_end + Duration::from_millis(ms);
    for case in cases {
        let look = PollTiming {
            previous_end,
            began: at(case.began),
            timeout: Duration::from_millis(case.asked),
            ended: at(case.ended),
        };
        assert_eq!(look.earliest_arrival(), at(case.earliest), "{}", case.name);
    }
}
