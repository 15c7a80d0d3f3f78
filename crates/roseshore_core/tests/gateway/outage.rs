//! What follows from an entry that is missing in the list of targets.

use roseshore_core::gateway::StoreOutage;
use roseshore_core::gateway::targets::Absence;
use roseshore_core::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What has happened by 10 s, and what a missing entry means then: how long it may still come back.
struct Case {
    name: &'static str,
    happens: fn(&mut StoreOutage, Instant),
    lapse: Option<u64>,
}

#[test]
fn only_an_outage_for_all_excuses_a_missing_entry() {
    let cases = [
        Case { name: "nothing", happens: |_, _| (), lapse: None },
        Case {
            name: "the store is away",
            happens: |o, at| {
                o.record_confirmation(Some(at + ms(7_000)));
                assert!(o.record_failure(at + ms(7_500)) && !o.record_failure(at + ms(8_000)));
            },
            lapse: Some(1_900),
        },
        Case {
            name: "it turned this host away long ago, and others confirm the list",
            happens: |o, at| {
                o.record_failure(at + ms(1_000));
                o.record_confirmation(Some(at + ms(9_500)));
            },
            lapse: None,
        },
        Case {
            name: "it was away and is back",
            happens: |o, at| {
                o.record_failure(at + ms(5_000));
                let back = o.record_success(at + ms(9_000)).expect("it was away");
                assert!(back.all_hosts && back.since == at + ms(5_000));
                assert_eq!(o.record_success(at + ms(9_100)), None);
            },
            lapse: Some(900),
        },
        Case {
            name: "it was away for this host alone and is back",
            happens: |o, at| {
                o.record_failure(at + ms(5_000));
                o.record_confirmation(Some(at + ms(8_900)));
                assert!(!o.record_success(at + ms(9_000)).expect("it was away").all_hosts);
            },
            lapse: None,
        },
        Case {
            name: "it was away and is back for long",
            happens: |o, at| {
                o.record_failure(at + ms(2_000));
                o.record_success(at + ms(8_000));
            },
            lapse: None,
        },
        Case {
            name: "this host was cut off, and a copy comes",
            happens: |o, at| {
                o.record_failure(at + ms(3_000));
                o.record_confirmation(Some(at + ms(2_900)));
                o.receive_copy(at + ms(9_600));
                o.record_confirmation(Some(at + ms(9_700)));
            },
            lapse: Some(1_500),
        },
        Case {
            name: "it was turned away alone, and a copy comes",
            happens: |o, at| {
                o.record_failure(at + ms(3_000));
                o.record_confirmation(Some(at + ms(9_000)));
                o.receive_copy(at + ms(9_600));
            },
            lapse: None,
        },
        Case {
            name: "another host tells of an outage that is over",
            happens: |o, at| o.receive_grace(ms(700), at + ms(9_900)),
            lapse: Some(600),
        },
        Case {
            name: "another host tells of more than there can be",
            happens: |o, at| o.receive_grace(ms(60_000), at + ms(10_000)),
            lapse: Some(1_900),
        },
    ];
    for case in cases {
        let begun = Instant::now();
        let now = begun + ms(10_000);
        let mut outage = StoreOutage::default();
        (case.happens)(&mut outage, begun);
        let meant = case.lapse.map_or(Absence::Left, |left| Absence::Lapsed(now + ms(left)));
        assert_eq!(outage.absence(now), meant, "{}", case.name);
        assert_eq!(outage.grace_left(now), ms(case.lapse.unwrap_or(0)), "{}, told", case.name);
    }
}
