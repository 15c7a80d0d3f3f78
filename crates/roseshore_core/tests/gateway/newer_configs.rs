//! Tests of since when a host lacks configurations that others have.

use roseshore_core::gateway::NewerConfigs;
use roseshore_core::prelude::*;

/// Versions in force here and newest elsewhere, by time (ms), and since when the host is outdated at
/// the end.
struct Case {
    name: &'static str,
    seen: &'static [(u64, u64, u64)],
    since: Option<u64>,
}

#[test]
fn each_version_has_its_own_time() {
    let cases = [
        Case { name: "none is newer", seen: &[(0, 4, 4), (100, 4, 3)], since: None },
        Case { name: "one is", seen: &[(0, 4, 4), (100, 4, 5), (900, 4, 5)], since: Some(100) },
        Case { name: "it arrived", seen: &[(100, 4, 5), (300, 5, 5)], since: None },
        Case {
            name: "always one behind, each version soon",
            seen: &[(0, 4, 5), (400, 5, 6), (800, 6, 7), (1200, 7, 8)],
            since: Some(1200),
        },
        Case {
            name: "the next one was heard of before this one arrived",
            seen: &[(0, 4, 5), (300, 4, 6), (500, 5, 6), (900, 5, 6)],
            since: Some(300),
        },
        Case {
            name: "the only host that had it is gone",
            seen: &[(0, 4, 6), (500, 4, 5), (700, 4, 4)],
            since: None,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut newer = NewerConfigs::default();
        for (at, known, newest) in case.seen {
            newer.update(*known, *newest, start + Duration::from_millis(*at));
        }
        let since = case.since.map(|at| start + Duration::from_millis(at));
        assert_eq!(newer.outdated_since(), since, "{}", case.name);
    }
}

#[test]
fn a_long_series_of_versions_is_never_counted_as_younger_than_it_is() {
    let start = Instant::now();
    let at = |n: u64| start + Duration::from_millis(10 * n);
    let mut newer = NewerConfigs::default();
    (1..100).for_each(|n| newer.update(0, n, at(n)));
    for known in 0..98 {
        newer.update(known, 99, at(100));
        let since = newer.outdated_since().expect("newer ones are known");
        assert!(since <= at(known + 1), "{known}");
    }
}
