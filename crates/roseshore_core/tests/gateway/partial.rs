//! When the bytes of a target are taken not to become an answer.

use roseshore_core::gateway::partial::PartialElement;
use roseshore_core::prelude::*;

/// Arrivals of an element's bytes: after how many milliseconds, and its length then.
struct Case {
    name: &'static str,
    arrivals: &'static [(u64, usize)],
    /// The arrival at which it is given up.
    given_up_at: Option<usize>,
}

/// Guards against bytes that come slowly and without end: the host read them until the caller's time
/// was over. A target that was frozen in the middle of a head or an event goes on.
#[test]
fn bytes_that_keep_arriving_without_an_end_are_given_up() {
    let cases = [
        Case { name: "nothing", arrivals: &[], given_up_at: None },
        Case { name: "a part at once", arrivals: &[(0, 100)], given_up_at: None },
        Case {
            name: "a few bytes at a time",
            arrivals: &[(0, 1), (250, 2), (500, 3), (750, 4), (1000, 5)],
            given_up_at: Some(4),
        },
        Case {
            name: "many within a moment",
            arrivals: &[(0, 1), (1, 2), (2, 3), (3, 4), (4, 5)],
            given_up_at: None,
        },
        Case {
            name: "frozen for long, then the rest in two pieces",
            arrivals: &[(0, 10), (5000, 20), (5001, 30)],
            given_up_at: None,
        },
        Case {
            name: "rare bytes",
            arrivals: &[(0, 1), (900, 2), (1800, 3), (2700, 4)],
            given_up_at: Some(3),
        },
        Case {
            name: "looked at again without new bytes",
            arrivals: &[(0, 10), (500, 10), (1000, 10), (1500, 10), (2000, 10)],
            given_up_at: None,
        },
    ];
    let start = Instant::now();
    for case in cases {
        let mut element = PartialElement::default();
        let given_up_at = case
            .arrivals
            .iter()
            .position(|(at, len)| element.record(*len, start + Duration::from_millis(*at)));
        assert_eq!(given_up_at, case.given_up_at, "{}", case.name);
    }
}
