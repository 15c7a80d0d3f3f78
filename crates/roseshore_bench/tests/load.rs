//! Tests of the arrival schedule and of how outcomes are counted.

use roseshore_bench::load::mixes::{MIXES, mix};
use roseshore_bench::load::schedule::{arrivals, part_at};
use roseshore_bench::load::tally::{Outcome, Tally, outcome};
use roseshore_harness::caller::ClientReply;
use std::time::Duration;

struct Run {
    name: &'static str,
    rate: f64,
    weights: &'static [f64],
    /// Expected number of arrivals in 100 s, and its tolerance.
    count: (usize, usize),
}

const RUNS: &[Run] = &[
    Run { name: "no rate", rate: 0.0, weights: &[1.0], count: (0, 0) },
    Run { name: "no parts", rate: 10.0, weights: &[], count: (0, 0) },
    Run { name: "no weight", rate: 10.0, weights: &[0.0, 0.0], count: (0, 0) },
    Run { name: "one part", rate: 10.0, weights: &[2.0], count: (1_000, 150) },
    Run {
        name: "two parts, one without weight",
        rate: 50.0,
        weights: &[0.0, 1.0],
        count: (5_000, 300),
    },
    Run { name: "ten to one", rate: 50.0, weights: &[10.0, 1.0], count: (5_000, 300) },
];

#[test]
fn arrivals_keep_their_rate_and_weights() {
    for run in RUNS {
        let all = arrivals(run.rate, Duration::from_secs(100), run.weights, 7);
        assert!(all.len().abs_diff(run.count.0) <= run.count.1, "{}: {}", run.name, all.len());
        assert!(all.windows(2).all(|pair| pair[0].at <= pair[1].at), "{}: in order", run.name);
        let whole: f64 = run.weights.iter().sum();
        for (part, weight) in run.weights.iter().enumerate() {
            let share = all.iter().filter(|due| due.part == part).count() as f64;
            let wanted = all.len() as f64 * weight / whole.max(f64::MIN_POSITIVE);
            assert!((share - wanted).abs() <= 300.0, "{}: part {part}", run.name);
        }
        assert_eq!(all, arrivals(run.rate, Duration::from_secs(100), run.weights, 7));
    }
}

#[test]
fn a_place_lies_in_the_part_that_covers_it() {
    for (place, part) in [(0.0, 0), (0.9, 0), (1.0, 2), (3.9, 2), (4.0, 2)] {
        assert_eq!(part_at(&[1.0, 0.0, 3.0], place), part, "{place}");
    }
}

struct Ending {
    name: &'static str,
    status: u16,
    verdict: Option<&'static str>,
    whole: bool,
    end: Outcome,
}

#[test]
fn ends_are_told_apart() {
    let refused = |text: &str| Outcome::Refused(text.to_owned());
    let cut = |text: &str| Outcome::Broken(text.to_owned());
    let cases = [
        Ending { name: "whole", status: 200, verdict: None, whole: true, end: Outcome::Whole },
        Ending {
            name: "whole, said so",
            status: 200,
            verdict: Some("answered"),
            whole: true,
            end: Outcome::Whole,
        },
        Ending { name: "not found", status: 404, verdict: None, whole: true, end: Outcome::Whole },
        Ending { name: "cut", status: 200, verdict: None, whole: false, end: cut("cut") },
        Ending { name: "no reply", status: 0, verdict: None, whole: false, end: cut("") },
        Ending {
            name: "refused",
            status: 429,
            verdict: Some("not_run"),
            whole: true,
            end: refused("not_run RS1"),
        },
        Ending {
            name: "refused within a stream",
            status: 200,
            verdict: Some("may_have_run"),
            whole: true,
            end: refused("may_have_run RS1"),
        },
        Ending {
            name: "an error without a verdict",
            status: 500,
            verdict: None,
            whole: true,
            end: refused("HTTP 500 RS1"),
        },
    ];
    for case in cases {
        let got = ClientReply {
            status: case.status,
            verdict: case.verdict.map(str::to_owned),
            code: Some("RS1".to_owned()),
            whole: case.whole,
            gaps: vec![Duration::from_millis(2); 3],
            ..ClientReply::default()
        };
        assert_eq!(outcome(&got), case.end, "{}", case.name);
        let mut tally = Tally::default();
        tally.add(&got, Duration::ZERO, true);
        tally.add(&got, Duration::ZERO, false);
        let good = u64::from(case.end == Outcome::Whole);
        let counts = (tally.sent, tally.good, tally.tokens, tally.total.count());
        assert_eq!(counts, (2, good, 4 * good, 2 * good), "{}", case.name);
    }
}

#[test]
fn every_name_is_a_mix() {
    for name in MIXES {
        assert!(mix(name).is_some_and(|mix| !mix.parts.is_empty()), "{name}");
    }
    assert!(mix("another").is_none());
}
