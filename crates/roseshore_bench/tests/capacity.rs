//! Tests of the line fit and of reading processor time.

use roseshore_bench::capacity::fit::{Line, Point, fit};
use roseshore_bench::capacity::usage::ticks;

struct Fitted {
    name: &'static str,
    points: &'static [(f64, f64)],
    line: Option<Line>,
}

const FITTED: &[Fitted] = &[
    Fitted { name: "no points", points: &[], line: None },
    Fitted { name: "one point", points: &[(1.0, 2.0)], line: None },
    Fitted { name: "one size", points: &[(1.0, 2.0), (1.0, 3.0)], line: None },
    Fitted {
        name: "a line",
        points: &[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0), (3.0, 7.0)],
        line: Some(Line { base: 1.0, slope: 2.0, error: 0.0 }),
    },
    Fitted {
        name: "a constant",
        points: &[(1.0, 4.0), (2.0, 4.0)],
        line: Some(Line { base: 4.0, slope: 0.0, error: 0.0 }),
    },
    Fitted {
        name: "residuals of 1 around a mean of 10",
        points: &[(0.0, 11.0), (0.0, 9.0), (4.0, 11.0), (4.0, 9.0)],
        line: Some(Line { base: 10.0, slope: 0.0, error: 0.1 }),
    },
    Fitted {
        name: "a curve leaves residuals",
        points: &[(0.0, 0.0), (1.0, 1.0), (2.0, 4.0)],
        line: Some(Line { base: -1.0 / 3.0, slope: 2.0, error: 0.282_842_712_474_619 }),
    },
];

#[test]
fn a_line_is_fitted_by_least_squares() {
    for case in FITTED {
        let points: Vec<Point> =
            case.points.iter().map(|&(size, cost)| Point { size, cost }).collect();
        let found = fit(&points);
        assert_eq!(found.is_some(), case.line.is_some(), "{}", case.name);
        let (Some(found), Some(line)) = (found, case.line) else { continue };
        let parts = |l: Line| [l.base, l.slope, l.error];
        for (a, b) in parts(found).into_iter().zip(parts(line)) {
            assert!((a - b).abs() < 1e-12, "{}: {found:?}", case.name);
        }
    }
}

struct Stat {
    name: &'static str,
    text: &'static str,
    ticks: f64,
}

const STATS: &[Stat] = &[
    Stat { name: "nothing", text: "", ticks: 0.0 },
    Stat { name: "cut", text: "1 (x) S 1 1", ticks: 0.0 },
    Stat {
        name: "user and system time",
        text: "7 (roseshored) S 1 7 7 0 -1 4194304 900 0 0 0 30 12 5 6 20 0 40 0 1",
        ticks: 42.0,
    },
    Stat {
        name: "a name with blanks and a bracket",
        text: "7 (a ) b) S 1 7 7 0 -1 4194304 900 0 0 0 1 2 5 6 20 0 40 0 1",
        ticks: 3.0,
    },
];

#[test]
fn processor_time_is_read() {
    for case in STATS {
        assert!((ticks(case.text) - case.ticks).abs() < 1e-12, "{}", case.name);
    }
}
