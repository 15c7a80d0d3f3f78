//! Tests of when a better placement is worth its orders.

use roseshore_core::gateway::plan::pressure::{EngineUsage, Pressure, peak_utilisation};

struct Case {
    name: &'static str,
    engines: Vec<EngineUsage>,
    share: f64,
}

fn engine(layers: (u16, u16), capacity: f64, used: f64) -> EngineUsage {
    EngineUsage { layers, capacity, used }
}

#[test]
fn the_fullest_layer_counts() {
    let cases = [
        Case { name: "none", engines: vec![], share: 0.0 },
        Case { name: "one", engines: vec![engine((0, 10), 1000.0, 400.0)], share: 0.4 },
        Case {
            name: "a wide one and a full narrow one",
            engines: vec![engine((0, 8), 1600.0, 400.0), engine((8, 10), 100.0, 90.0)],
            share: 0.9,
        },
        Case {
            name: "two that share their layers",
            engines: vec![engine((0, 10), 1000.0, 800.0), engine((0, 10), 1000.0, 0.0)],
            share: 0.4,
        },
        Case {
            name: "two that share some",
            engines: vec![engine((0, 10), 1000.0, 800.0), engine((5, 10), 500.0, 0.0)],
            share: 0.8,
        },
    ];
    for case in cases {
        let share = peak_utilisation(10, case.engines.into_iter());
        assert!((share - case.share).abs() < 1e-9, "{}: {share}", case.name);
    }
}

/// Measurements 200 ms apart as values and how often each comes, engines under an order, and
/// whether a step is taken.
struct Load {
    name: &'static str,
    shares: &'static [(f64, usize)],
    unsettled: usize,
    step: bool,
}

#[test]
fn steps_are_taken_under_lasting_load_and_a_few_at_a_time() {
    let cases = [
        Load { name: "idle", shares: &[(0.3, 50)], unsettled: 0, step: false },
        Load {
            name: "a burst of half a second",
            shares: &[(0.3, 50), (1.0, 2)],
            unsettled: 0,
            step: false,
        },
        Load {
            name: "a burst of two seconds",
            shares: &[(0.4, 50), (1.0, 10)],
            unsettled: 0,
            step: true,
        },
        Load { name: "full", shares: &[(2.0, 50)], unsettled: 4, step: true },
        Load {
            name: "full, and orders are under way",
            shares: &[(2.0, 50)],
            unsettled: 5,
            step: false,
        },
        Load { name: "no longer full", shares: &[(2.0, 50), (0.5, 10)], unsettled: 0, step: false },
    ];
    for case in cases {
        let mut pressure = Pressure::default();
        for (share, times) in case.shares {
            (0..*times).for_each(|_| pressure.record(*share));
        }
        assert_eq!(pressure.allows_step(case.unsettled), case.step, "{}", case.name);
    }
}
