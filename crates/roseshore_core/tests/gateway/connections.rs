//! How the connections of a host are divided.

use roseshore_core::gateway::connections::ConnectionLimits;
use roseshore_core::gateway::memory::Candidate;
use roseshore_core::prelude::*;

/// Connections that a host may have, and what each may take of them.
struct Case {
    max: usize,
    with_callers: usize,
    with_sends: usize,
    probes: usize,
    tunnels: usize,
}

const CASES: [Case; 3] = [
    Case { max: 80, with_callers: 60, with_sends: 75, probes: 8, tunnels: 13 },
    Case { max: 3880, with_callers: 2910, with_sends: 3638, probes: 121, tunnels: 512 },
    Case { max: 65_000, with_callers: 48_750, with_sends: 60_938, probes: 2031, tunnels: 512 },
];

#[test]
fn callers_leave_connections_to_others() {
    for case in CASES {
        let limits = ConnectionLimits::new(case.max);
        assert_eq!(limits.with_callers(), case.with_callers, "{}", case.max);
        assert_eq!(limits.with_sends(), case.with_sends, "{}", case.max);
        assert_eq!(limits.probes(), case.probes, "{}", case.max);
        assert_eq!(limits.tunnels(), case.tunnels, "{}", case.max);
    }
}

#[test]
fn those_that_never_sent_a_request_are_closed_first() {
    let start = Instant::now();
    let callers = |ages: &[u64]| {
        let caller = |age: &u64| Candidate {
            key: *age,
            bytes: 0,
            active: start + Duration::from_secs(*age),
        };
        ages.iter().map(caller).collect::<Vec<_>>()
    };
    // One in 32 of those that callers may have is closed at once.
    let limits = ConnectionLimits::new(128);
    assert_eq!(limits.closed(callers(&[7, 5, 9, 6]), callers(&[1, 2])), [5, 6, 7]);
    assert_eq!(limits.closed(callers(&[5]), callers(&[1, 2])), [5]);
    assert_eq!(limits.closed(vec![], callers(&[4, 1, 2, 3])), [1, 2, 3]);
    assert_eq!(limits.closed(vec![], callers(&[])), [] as [u64; 0]);
}
