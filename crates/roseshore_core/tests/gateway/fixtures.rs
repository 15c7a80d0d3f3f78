//! An engine specification with figures like those of the users' engines.

use roseshore_core::gateway::{AcceleratorKind, EngineSpec};

/// A model of 80 layers on three kinds of accelerators.
pub(super) fn spec() -> EngineSpec {
    let kind = |name: &str, memory_mb: f64, step_factor: f64, prefill_factor: f64| {
        AcceleratorKind { name: name.to_owned(), memory_mb, step_factor, prefill_factor }
    };
    EngineSpec {
        slots: 192,
        layers: 80,
        layer_mb: 1750.0,
        kv_bytes: 918_000.0,
        step_ms: 1.02,
        per_seq_ms: 0.007_14,
        context_ms: 0.009_56 / 1000.0,
        prefill_per_ms: 105.0,
        event_tokens: 3.0,
        load_time: std::time::Duration::from_secs(14),
        mean_prompt: 774.0,
        mean_answer: 200.0,
        kinds: vec![
            kind("large", 72_000.0, 2.4, 3.2),
            kind("middle", 43_200.0, 5.6, 2.7),
            kind("small", 21_600.0, 16.0, 8.2),
        ],
    }
}
