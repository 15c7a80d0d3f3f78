//! Tests of the throughput bound.

use roseshore_bench::figures::bound::{Stage, Work, throughput_bound};
use roseshore_core::prelude::*;

const LAYERS: Layer = 8;

/// An engine with steps of `step` milliseconds that prefills 1,000 tokens per second.
fn stage(layers: (Layer, Layer), step: u64, slots: u32) -> Stage {
    Stage { layers, step: Duration::from_millis(step), slots, prefill: 1_000.0 }
}

struct Case {
    name: &'static str,
    stages: Vec<Stage>,
    prompt: u32,
    bound: f64,
}

#[test]
fn the_slowest_layer_bounds_all() {
    let cases = [
        Case { name: "nobody", stages: vec![], prompt: 0, bound: 0.0 },
        Case { name: "a hole", stages: vec![stage((0, 4), 1, 1)], prompt: 0, bound: 0.0 },
        Case { name: "one engine", stages: vec![stage((0, 8), 10, 4)], prompt: 0, bound: 40.0 },
        Case {
            name: "prefill takes its time in the slot",
            stages: vec![stage((0, 8), 10, 4)],
            prompt: 100,
            bound: 20.0,
        },
        Case {
            name: "the slower of two stages",
            stages: vec![stage((0, 4), 10, 4), stage((4, 8), 20, 4)],
            prompt: 0,
            bound: 20.0,
        },
        Case {
            name: "unlike engines add up",
            stages: vec![stage((0, 8), 10, 4), stage((0, 4), 20, 4), stage((4, 8), 40, 4)],
            prompt: 0,
            bound: 50.0,
        },
        Case {
            name: "ranges that overlap",
            stages: vec![stage((0, 6), 10, 1), stage((2, 8), 10, 1)],
            prompt: 0,
            bound: 10.0,
        },
    ];
    for case in cases {
        let found =
            throughput_bound(&case.stages, LAYERS, Work { prompt: case.prompt, tokens: 10 });
        assert!((found - case.bound).abs() < 1e-9, "{}: {found}", case.name);
    }
}
