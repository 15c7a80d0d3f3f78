//! When a host asks another for a copy of what it has read.

use roseshore_core::gateway::Copies;
use roseshore_core::gateway::copies::COPY_TIME;
use roseshore_core::prelude::*;

/// What happened to the copy that was asked for at first, and when the next may be asked for.
struct Case {
    name: &'static str,
    came: bool,
    /// After so many milliseconds another may be asked for, and not a little before.
    after: u64,
}

#[test]
fn one_copy_at_a_time_and_the_store_after_a_failure() {
    let cases = [
        Case { name: "it came", came: true, after: 0 },
        Case { name: "it failed", came: false, after: 1_000 },
    ];
    for case in cases {
        let now = Instant::now();
        let mut copies = Copies::default();
        assert_eq!(copies.ask(now), Some(now + COPY_TIME), "{}", case.name);
        assert!(copies.under_way() && copies.ask(now).is_none(), "{}", case.name);
        copies.ended(case.came, now);
        let due = now + Duration::from_millis(case.after);
        if case.after > 0 {
            let before = now + Duration::from_millis(case.after - 1);
            assert_eq!(copies.ask(before), None, "{}", case.name);
        }
        assert!(copies.ask(due).is_some(), "{}", case.name);
    }
}
