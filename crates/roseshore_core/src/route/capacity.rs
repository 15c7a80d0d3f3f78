//! Capacity of a service's targets, from which admission derives its concurrency limit.

use super::ChainRequest;
use super::cost::{self, StageWork, Work};
use super::pool::can_serve;
use super::replica::ReplicaGroup;
use crate::admit::Capacity;
use crate::load::{LoadTable, Row, TargetIndex};
use std::time::Instant;

/// Capacity of the layer with the fewest slots; `None` when some layer has no usable engine.
///
/// `idle_time` is the time in seconds of such an answer on an idle chain. An answer occupies a
/// stage's slots for only a fraction of it, so a stage serves more answers than it has slots.
pub fn chain_capacity(
    loads: &LoadTable,
    request: &ChainRequest<'_>,
    idle_time: f64,
    now: Instant,
) -> Option<Capacity> {
    let work = Work { prompt: request.prompt, expected: request.expected };
    let stage_work = StageWork { work, layer_share: 1.0, cached: 0, idle_time };
    let mut layers = vec![Capacity { slots: 0.0, busy: 0.0 }; usize::from(request.layers)];
    let rows = loads.declared().map(|index| loads.row(index));
    for row in rows.filter(|row| can_serve(row, request)) {
        let Some(engine) = &row.engine else { continue };
        let (from, to) = engine.layers;
        let held = &mut layers[usize::from(from)..usize::from(to)];
        let idle = cost::predict_stage(row, stage_work, now).idle_secs;
        let duty = if idle_time > 0.0 { (idle / idle_time).min(1.0) } else { 1.0 };
        for capacity in held {
            add(capacity, row, duty, now);
        }
    }
    let narrowest = layers.into_iter().min_by(|a, b| a.slots.total_cmp(&b.slots))?;
    (narrowest.slots > 0.0).then_some(narrowest)
}

/// Capacity of all replicas together; `None` when none is usable.
pub fn replica_capacity(loads: &LoadTable, group: &ReplicaGroup, now: Instant) -> Option<Capacity> {
    let mut capacity = Capacity { slots: 0.0, busy: 0.0 };
    group.rows().for_each(|index: TargetIndex| add(&mut capacity, loads.row(index), 1.0, now));
    (capacity.slots > 0.0).then_some(capacity)
}

fn add(capacity: &mut Capacity, row: &Row, duty: f64, now: Instant) {
    if row.reported() && row.usable(now) {
        capacity.slots += row.figures.slots / duty;
        capacity.busy += row.depth(now);
    }
}
