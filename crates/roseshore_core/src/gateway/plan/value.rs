//! The value of a placement: the requests a second that it can serve.

use super::{EngineState, LayerRange, layer_capacities};
use crate::gateway::path::HOP_MS;
use crate::gateway::routes::EngineSpec;

/// Share of the KV capacity that is in use when a data centre is as busy as it should be.
const TARGET_UTILISATION: f64 = 0.8;
/// Exponent of the power mean over the layers' capacities, by which the layers with least capacity
/// decide. With a plain minimum, widening a layer would count for nothing as long as another has as
/// little capacity, so no single step towards an even placement would pay.
const MEAN_EXPONENT: i32 = 8;

/// The average work of one engine for each request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    /// Layers that a request runs there, as a share of the model's layers.
    pub(super) share: f64,
    /// Share of the requests whose path leads there.
    pub(super) visits: f64,
    /// The kind's factor on the time of decode steps.
    pub(super) step_factor: f64,
    /// The kind's factor on the time to read prompts.
    pub(super) prefill_factor: f64,
}

/// Requests a second that engines can serve, for the KV capacity `capacity` in tokens, the number
/// of engines that hold the first layers, and the work of each engine. As many requests run at once
/// as the capacity and the slots of the first engines permit. Each of them makes every step longer,
/// so more capacity is worth less on slow engines.
pub(super) fn throughput(
    spec: &EngineSpec,
    capacity: f64,
    first_holders: usize,
    work: impl Iterator<Item = Work>,
) -> f64 {
    let context = spec.mean_prompt + 0.5 * spec.mean_answer;
    let slots = first_holders as f64 * f64::from(spec.slots);
    let running = TARGET_UTILISATION * (capacity / context.max(1.0)).min(slots);
    let added = spec.per_seq_ms + spec.context_ms * context;
    let (mut token_ms, mut prefill_ms) = (0.0, 0.0);
    for part in work {
        let step = spec.step_ms + running * part.visits * added;
        token_ms += part.share * step * part.step_factor + part.visits * HOP_MS;
        prefill_ms += part.share * spec.mean_prompt / spec.prefill_per_ms * part.prefill_factor;
    }
    let duration_ms = prefill_ms + spec.mean_answer * token_ms;
    if duration_ms > 0.0 { 1000.0 * running / duration_ms } else { 0.0 }
}

/// An engine and the layers that it holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    /// The layers that it holds.
    pub(super) layers: Option<LayerRange>,
    memory_mb: f64,
    step_factor: f64,
    prefill_factor: f64,
}

impl Holder {
    fn new(spec: &EngineSpec, engine: &EngineState) -> Option<Holder> {
        let kind = spec.kind(Some(&engine.kind))?;
        let (memory_mb, step_factor, prefill_factor) =
            (kind.memory_mb, kind.step_factor, kind.prefill_factor);
        Some(Holder { layers: engine.layers, memory_mb, step_factor, prefill_factor })
    }
}

/// A placement with sums over all engines, so that a change of one engine is evaluated without
/// adding up all of them again.
#[derive(Clone, Debug)]
pub(super) struct Layout<'a> {
    spec: &'a EngineSpec,
    holders: Vec<Option<Holder>>,
    /// KV capacity of each layer over its holders, tokens.
    capacities: Vec<f64>,
    /// For each layer, the sum of the inverse capacities of all layers before it.
    inverse_sums: Vec<f64>,
}

impl<'a> Layout<'a> {
    pub(super) fn new(spec: &'a EngineSpec, engines: &[EngineState]) -> Layout<'a> {
        Layout {
            spec,
            holders: engines.iter().map(|e| Holder::new(spec, e)).collect(),
            capacities: layer_capacities(spec, engines, engines.len()),
            inverse_sums: vec![0.0; usize::from(spec.layers) + 1],
        }
    }

    /// Changes the layers that an engine holds.
    pub(super) fn set(&mut self, index: usize, layers: Option<LayerRange>) {
        let Some(mut holder) = self.holders[index] else { return };
        self.add(&holder, -1.0);
        holder.layers = layers;
        self.add(&holder, 1.0);
        self.holders[index] = Some(holder);
    }

    fn add(&mut self, holder: &Holder, sign: f64) {
        let Some((from, to)) = holder.layers else { return };
        let capacity = sign * self.capacity(holder);
        let to = usize::from(to).min(self.capacities.len());
        self.capacities[usize::from(from)..to].iter_mut().for_each(|r| *r += capacity);
    }

    /// KV capacity of an engine, tokens; at least 1, so that the layers of an engine without any
    /// count as held.
    fn capacity(&self, holder: &Holder) -> f64 {
        let width = holder.layers.map_or(0, |(from, to)| to - from);
        self.spec.kv_capacity(holder.memory_mb, width).max(1.0)
    }

    /// Requests a second that the placement can serve, when the holders of a layer share its
    /// requests by their capacity; 0 if a layer has no holder.
    pub(super) fn throughput(&mut self) -> f64 {
        let mut sum = 0.0;
        for (at, capacity) in self.capacities.iter().enumerate() {
            if *capacity < 1.0 {
                return 0.0;
            }
            let inverse = 1.0 / capacity;
            self.inverse_sums[at + 1] = self.inverse_sums[at] + inverse;
            sum += inverse.powi(MEAN_EXPONENT);
        }
        let mean =
            (sum / self.capacities.len().max(1) as f64).powf(-1.0 / f64::from(MEAN_EXPONENT));
        let work = self.holders.iter().flatten().filter_map(|h| self.work(h));
        throughput(self.spec, mean, self.first_holders(), work)
    }

    /// The number of engines that hold the first layer.
    fn first_holders(&self) -> usize {
        let first = |h: &&Holder| h.layers.is_some_and(|(from, to)| from == 0 && to > 0);
        self.holders.iter().flatten().filter(first).count()
    }

    /// Which layers are narrow: their capacity is less than this multiple of the smallest. The
    /// first layer is narrow too if the slots of its holders are exhausted before its capacity.
    pub(super) fn narrow(&self, multiple: f64) -> Vec<bool> {
        let smallest = self.capacities.iter().copied().fold(f64::INFINITY, f64::min);
        let mut narrow: Vec<bool> =
            self.capacities.iter().map(|r| *r < smallest * multiple).collect();
        let context = self.spec.mean_prompt + 0.5 * self.spec.mean_answer;
        let slot_capacity = self.first_holders() as f64 * f64::from(self.spec.slots) * context;
        if let Some(first) = narrow.first_mut().filter(|_| slot_capacity < smallest * multiple) {
            *first = true;
        }
        narrow
    }

    fn work(&self, holder: &Holder) -> Option<Work> {
        let (from, to) = holder.layers?;
        let inverse = self.inverse_sums[usize::from(to)] - self.inverse_sums[usize::from(from)];
        let shared = self.capacity(holder) * inverse;
        Some(Work {
            share: shared / f64::from(self.spec.layers),
            visits: shared / f64::from(to - from).max(1.0),
            step_factor: holder.step_factor,
            prefill_factor: holder.prefill_factor,
        })
    }
}
