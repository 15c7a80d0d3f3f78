//! Tests of when a host reads the store.

use roseshore_core::gateway::store_reads::{backoff, config_max_age, list_max_age, startup_delay};
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
        assert_eq!(config_max_age(rank), case.config.map(ms), "{rank}");
        assert_eq!(list_max_age(rank), case.list.map(ms), "{rank}");
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
