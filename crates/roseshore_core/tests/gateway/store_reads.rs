//! When a host asks the store.

use roseshore_core::gateway::store_reads::{backoff, config_max_age, list_max_age, startup_delay};
use roseshore_core::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How long the host at a place waits: for the word of others on the configuration and on the list,
/// after a first and a fifth failed call, and at its start.
struct Case {
    place: usize,
    config: Option<u64>,
    list: Option<u64>,
    failed: (u64, u64),
    start: (u64, u64),
}

#[test]
fn the_first_read_and_the_others_wait_for_their_word() {
    let cases = [
        Case { place: 0, config: None, list: None, failed: (150, 900), start: (80, 600) },
        Case {
            place: 1,
            config: Some(1400),
            list: Some(1200),
            failed: (150, 900),
            start: (180, 1100),
        },
        Case {
            place: 3,
            config: Some(2000),
            list: Some(1800),
            failed: (2500, 2500),
            start: (380, 2100),
        },
        Case {
            place: 250,
            config: Some(2000),
            list: Some(1800),
            failed: (2500, 2500),
            start: (380, 2100),
        },
    ];
    for case in cases {
        let place = case.place;
        assert_eq!(config_max_age(place), case.config.map(ms), "{place}");
        assert_eq!(list_max_age(place), case.list.map(ms), "{place}");
        assert_eq!((backoff(0, place), backoff(4, place)), (ms(case.failed.0), ms(case.failed.1)));
        assert_eq!(
            (startup_delay(false, place), startup_delay(true, place)),
            (ms(case.start.0), ms(case.start.1))
        );
    }
}

/// Calls to a store that is down for eight seconds, by 295 hosts in five data centres whose first
/// one each is known: 2,655 a stream with each trying every 0.9 s.
#[test]
fn few_hosts_call_a_store_that_is_away() {
    let mut calls = 0;
    for place in (0..5).flat_map(|_| 0..59) {
        let mut at = Duration::ZERO;
        let mut failed = 0;
        while at < ms(8000) {
            calls += 1;
            at += backoff(failed, place);
            failed += 1;
        }
    }
    assert!(calls <= 1320, "{calls}");
}
