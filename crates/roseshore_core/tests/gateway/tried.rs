//! Tests of how many targets a request counts as sent to.

use roseshore_core::gateway::TriedTargets;

enum Step {
    Sent(&'static str),
    NotSent(&'static str),
}
use Step::{NotSent, Sent};

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    count: usize,
}

#[test]
fn a_target_that_was_reached_counts_although_a_later_send_did_not_reach_it() {
    let cases = [
        Case { name: "nothing", steps: vec![], count: 0 },
        Case { name: "one", steps: vec![Sent("a")], count: 1 },
        Case { name: "twice to one", steps: vec![Sent("a"), Sent("a")], count: 1 },
        Case { name: "two", steps: vec![Sent("a"), Sent("b"), Sent("a")], count: 2 },
        Case { name: "not reached", steps: vec![Sent("a"), NotSent("a")], count: 0 },
        Case {
            name: "reached, then not",
            steps: vec![Sent("a"), Sent("a"), NotSent("a")],
            count: 1,
        },
        Case {
            name: "another was not reached",
            steps: vec![Sent("a"), Sent("b"), NotSent("b")],
            count: 1,
        },
    ];
    for case in cases {
        let mut tried = TriedTargets::default();
        for step in case.steps {
            match step {
                Sent(id) => tried.record(&id.to_owned()),
                NotSent(id) => tried.withdraw(&id.to_owned()),
            }
        }
        assert_eq!(tried.count(), case.count, "{}", case.name);
    }
}
