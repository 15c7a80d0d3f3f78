//! What follows from an entry that is missing in the list of targets.

use roseshore_core::gateway::Outage;
use roseshore_core::gateway::targets::Absence;
use roseshore_core::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What has happened by 10 s, and what a missing entry means then: how long it may still come back
/// by a read of the store, and by another host's copy.
struct Case {
    name: &'static str,
    happens: fn(&mut Outage, Instant),
    read: Option<u64>,
    copied: Option<u64>,
}

#[test]
fn only_an_outage_for_all_excuses_a_missing_entry() {
    let cases = [
        Case { name: "nothing", happens: |_, _| (), read: None, copied: None },
        Case {
            name: "the store is away",
            happens: |o, at| {
                o.confirm(Some(at + ms(7_000)));
                assert!(o.failed(at + ms(7_500)) && !o.failed(at + ms(8_000)));
            },
            read: Some(1_900),
            copied: None,
        },
        Case {
            name: "it turned this host away long ago, and others confirm the list",
            happens: |o, at| {
                o.failed(at + ms(1_000));
                o.confirm(Some(at + ms(9_500)));
            },
            read: None,
            copied: None,
        },
        Case {
            name: "it was away and is back",
            happens: |o, at| {
                o.failed(at + ms(5_000));
                let back = o.served(at + ms(9_000)).expect("it was away");
                assert!(back.for_all && back.since == at + ms(5_000));
                assert_eq!(o.served(at + ms(9_100)), None);
            },
            read: Some(900),
            copied: Some(900),
        },
        Case {
            name: "it was away for this host alone and is back",
            happens: |o, at| {
                o.failed(at + ms(5_000));
                o.confirm(Some(at + ms(8_900)));
                assert!(!o.served(at + ms(9_000)).expect("it was away").for_all);
            },
            read: None,
            copied: None,
        },
        Case {
            name: "it was away and is back for long",
            happens: |o, at| {
                o.failed(at + ms(2_000));
                o.served(at + ms(8_000));
            },
            read: None,
            copied: None,
        },
        Case {
            name: "another host tells of an outage that is over",
            happens: |o, at| o.told(ms(700), at + ms(9_900)),
            read: Some(600),
            copied: Some(600),
        },
        Case {
            name: "another host tells of more than there can be",
            happens: |o, at| o.told(ms(60_000), at + ms(10_000)),
            read: Some(1_900),
            copied: Some(1_900),
        },
    ];
    for case in cases {
        let begun = Instant::now();
        let now = begun + ms(10_000);
        let mut outage = Outage::default();
        (case.happens)(&mut outage, begun);
        let meant =
            |left: Option<u64>| left.map_or(Absence::Left, |left| Absence::Lapsed(now + ms(left)));
        assert_eq!(outage.absence(now), meant(case.read), "{}, read", case.name);
        assert_eq!(outage.copied_absence(now), meant(case.copied), "{}, copied", case.name);
        assert_eq!(outage.lapse_left(now), ms(case.read.unwrap_or(0)), "{}, told", case.name);
    }
}
