//! Tests of what an entry that is missing from the list of targets means.

use roseshore_core::gateway::StoreOutage;
use roseshore_core::gateway::targets::Absence;
use roseshore_core::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Events until 10 s, and for how long after that a missing entry may still be listed again, ms;
/// `None` if it means that the target left.
struct Case {
    name: &'static str,
    events: fn(&mut StoreOutage, Instant),
    grace: Option<u64>,
}

#[test]
fn only_an_outage_for_all_hosts_excuses_a_missing_entry() {
    let cases = [
        Case { name: "nothing", events: |_, _| (), grace: None },
        Case {
            name: "the store is down",
            events: |o, at| {
                o.record_confirmation(Some(at + ms(7_000)));
                assert!(o.record_failure(at + ms(7_500)) && !o.record_failure(at + ms(8_000)));
            },
            grace: Some(1_900),
        },
        Case {
            name: "the store has long been down for this host, and others confirm the list",
            events: |o, at| {
                o.record_failure(at + ms(1_000));
                o.record_confirmation(Some(at + ms(9_500)));
            },
            grace: None,
        },
        Case {
            name: "the store was down and is back",
            events: |o, at| {
                o.record_failure(at + ms(5_000));
                let back = o.record_success(at + ms(9_000)).expect("it was down");
                assert!(back.all_hosts && back.since == at + ms(5_000));
                assert_eq!(o.record_success(at + ms(9_100)), None);
            },
            grace: Some(900),
        },
        Case {
            name: "the store was down for this host alone and is back",
            events: |o, at| {
                o.record_failure(at + ms(5_000));
                o.record_confirmation(Some(at + ms(8_900)));
                assert!(!o.record_success(at + ms(9_000)).expect("it was down").all_hosts);
            },
            grace: None,
        },
        Case {
            name: "the store was down and has long been back",
            events: |o, at| {
                o.record_failure(at + ms(2_000));
                o.record_success(at + ms(8_000));
            },
            grace: None,
        },
        Case {
            name: "this host was cut off, and a copy comes",
            events: |o, at| {
                o.record_failure(at + ms(3_000));
                o.record_confirmation(Some(at + ms(2_900)));
                o.receive_copy(at + ms(9_600));
                o.record_confirmation(Some(at + ms(9_700)));
            },
            grace: Some(1_500),
        },
        Case {
            name: "the store is down for this host alone, and a copy comes",
            events: |o, at| {
                o.record_failure(at + ms(3_000));
                o.record_confirmation(Some(at + ms(9_000)));
                o.receive_copy(at + ms(9_600));
            },
            grace: None,
        },
        Case {
            name: "another host reports an outage that is over",
            events: |o, at| o.receive_grace(ms(700), at + ms(9_900)),
            grace: Some(600),
        },
        Case {
            name: "another host reports a longer grace than there can be",
            events: |o, at| o.receive_grace(ms(60_000), at + ms(10_000)),
            grace: Some(1_900),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let now = start + ms(10_000);
        let mut outage = StoreOutage::default();
        (case.events)(&mut outage, start);
        let want = case.grace.map_or(Absence::Left, |left| Absence::Lapsed(now + ms(left)));
        assert_eq!(outage.absence(now), want, "{}", case.name);
        assert_eq!(outage.grace_left(now), ms(case.grace.unwrap_or(0)), "{}, reported", case.name);
    }
}
