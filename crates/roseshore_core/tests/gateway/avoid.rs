//! Tests of which targets a request is not sent to again, and for how long.

use roseshore_core::gateway::AvoidedTargets;
use std::time::{Duration, Instant};

struct Case {
    name: &'static str,
    /// Targets and for how long each is avoided, ms; `None` for the rest of the request.
    added: Vec<(&'static str, Option<u64>)>,
    /// The targets avoided after so many ms.
    then: Vec<(u64, Vec<&'static str>)>,
}

#[test]
fn a_target_is_avoided_for_its_time() {
    let cases = [
        Case { name: "nothing", added: vec![], then: vec![(0, vec![])] },
        Case {
            name: "failed",
            added: vec![("a", None)],
            then: vec![(0, vec!["a"]), (3_600_000, vec!["a"])],
        },
        Case {
            name: "no capacity",
            added: vec![("a", Some(250))],
            then: vec![(0, vec!["a"]), (249, vec!["a"]), (250, vec![])],
        },
        Case {
            name: "one of each",
            added: vec![("a", Some(250)), ("b", None)],
            then: vec![(0, vec!["a", "b"]), (300, vec!["b"])],
        },
        Case {
            name: "no capacity, then failed",
            added: vec![("a", Some(250)), ("a", None)],
            then: vec![(300, vec!["a"])],
        },
    ];
    let start = Instant::now();
    for case in cases {
        let mut avoid = AvoidedTargets::default();
        for (target, ms) in case.added {
            avoid.add(target.to_owned(), ms.map(|ms| start + Duration::from_millis(ms)));
        }
        for (ms, want) in case.then {
            let got = avoid.list(start + Duration::from_millis(ms));
            assert_eq!(got, want, "{} after {ms} ms", case.name);
        }
    }
}

#[test]
fn a_target_behind_a_lost_link_is_used_again() {
    let now = Instant::now();
    let mut avoid = AvoidedTargets::default();
    for (target, until) in [("a", None), ("b", None), ("a", Some(now + Duration::from_secs(9)))] {
        avoid.add(target.to_owned(), until);
    }
    avoid.remove("a");
    assert_eq!(avoid.list(now), ["b"]);
}
