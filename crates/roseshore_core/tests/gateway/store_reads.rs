//! Tests of when a host reads the store.

use roseshore_core::gateway::Bounds;
use roseshore_core::gateway::store_reads::{ReadPolicy, backoff, has_turn, startup_delay};
use roseshore_core::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How long the host of a rank waits, ms: for reports on the configuration and on the list, after
/// the first and the fifth failed call, and at an ordinary and at the first start.
struct Case {
    rank: usize,
    config: Option<u64>,
    list: Option<u64>,
    failed: (u64, u64),
    start: (u64, u64),
}

#[test]
fn the_first_host_reads_and_the_others_wait_for_its_reports() {
    let cases = [
        Case { rank: 0, config: None, list: None, failed: (150, 900), start: (80, 600) },
        Case {
            rank: 1,
            config: Some(1400),
            list: Some(1200),
            failed: (150, 900),
            start: (180, 1100),
        },
        Case {
            rank: 3,
            config: Some(2000),
            list: Some(1800),
            failed: (2500, 2500),
            start: (380, 2100),
        },
        Case {
            rank: 250,
            config: Some(2000),
            list: Some(1800),
            failed: (2500, 2500),
            start: (380, 2100),
        },
    ];
    for case in cases {
        let rank = case.rank;
        let policy = ReadPolicy::new(&Bounds::default());
        assert_eq!(policy.config_max_age(rank), case.config.map(ms), "{rank}");
        assert_eq!(policy.list_max_age(rank), case.list.map(ms), "{rank}");
        assert_eq!((backoff(0, rank), backoff(4, rank)), (ms(case.failed.0), ms(case.failed.1)));
        assert_eq!(
            (startup_delay(false, rank), startup_delay(true, rank)),
            (ms(case.start.0), ms(case.start.1))
        );
    }
}

/// Guards against calls to a store that is down growing with the number of hosts. With 295 hosts in
/// five data centres, each of which has its own order of hosts, and eight seconds of outage there
/// were 2,655 calls for each stream when every host tried every 0.9 s.
#[test]
fn few_hosts_call_a_store_that_is_down() {
    let mut calls = 0;
    for rank in (0..5).flat_map(|_| 0..59) {
        let mut at = Duration::ZERO;
        let mut failed = 0;
        while at < ms(8000) {
            calls += 1;
            at += backoff(failed, rank);
            failed += 1;
        }
    }
    assert!(calls <= 1320, "{calls}");
}

/// Bounds on a change of the configuration and on a leaving target, ms, and what follows: ages at
/// which followers read the configuration and the list, their wait for a copy, and when a host that
/// lacks a newer configuration is outdated.
struct Policy {
    bounds: (u64, u64),
    ages: (u64, u64),
    copy_wait: u64,
    outdated: u64,
}

#[test]
fn followers_read_later_under_wider_bounds_and_always_within_them() {
    let cases = [
        Policy { bounds: (2000, 2000), ages: (2000, 1800), copy_wait: 600, outdated: 700 },
        Policy { bounds: (3000, 3000), ages: (2000, 1800), copy_wait: 900, outdated: 1050 },
        Policy { bounds: (5000, 5000), ages: (2500, 2500), copy_wait: 1500, outdated: 1750 },
        Policy { bounds: (5000, 2000), ages: (2500, 1800), copy_wait: 1500, outdated: 1750 },
    ];
    for case in cases {
        let (config, drain) = (ms(case.bounds.0), ms(case.bounds.1));
        let policy = ReadPolicy::new(&Bounds { config, drain, ..Bounds::default() });
        let ages = (policy.config_max_age(9), policy.list_max_age(9));
        assert_eq!(ages, (Some(ms(case.ages.0)), Some(ms(case.ages.1))), "{:?}", case.bounds);
        assert_eq!(policy.copy_wait(9), ms(case.copy_wait), "{:?}", case.bounds);
        assert_eq!(policy.copy_wait(0), ms(500), "{:?}", case.bounds);
        assert_eq!(policy.outdated_after(), ms(case.outdated), "{:?}", case.bounds);
        assert_eq!(policy.unconfirmed_after(), ms(case.ages.1), "{:?}", case.bounds);
    }
}

#[test]
fn as_many_followers_have_their_turn_in_a_system_of_any_size() {
    for hosts in [0, 3, 8, 60, 985, 6000] {
        let draws = 10_000;
        let turns =
            (0..draws).filter(|n| has_turn(hosts, (f64::from(*n) + 0.5) / f64::from(draws)));
        let expected = (turns.count() * hosts) as f64 / f64::from(draws);
        assert!(expected <= 4.5 && expected >= 3.5_f64.min(hosts as f64), "{hosts}: {expected}");
    }
}
