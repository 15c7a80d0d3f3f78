//! How much the targets of a service can take, for the limit of admission.

use super::ChainNeed;
use super::cost::{self, Job, Work};
use super::pool::holds;
use super::replica::Group;
use crate::admit::Capacity;
use crate::load::{Index, Loads, Row};
use std::time::Instant;

/// The capacity of the narrowest layer; `None` when some layer has no usable engine.
///
/// `life` is the time of such an answer on an idle chain, in seconds. Answers use a stage's slots
/// only for a part of it, so that a stage takes more answers than it has slots.
pub fn of_chains(loads: &Loads, need: &ChainNeed<'_>, life: f64, now: Instant) -> Option<Capacity> {
    let work = Work { prompt: need.prompt, expected: need.expected };
    let job = Job { work, part: 1.0, cached: 0, life };
    let mut layers = vec![Capacity { slots: 0.0, busy: 0.0 }; usize::from(need.layers)];
    let rows = loads.declared().map(|index| loads.row(index));
    for row in rows.filter(|row| holds(row, need)) {
        let Some(engine) = &row.engine else { continue };
        let (from, to) = engine.layers;
        let held = &mut layers[usize::from(from)..usize::from(to)];
        let idle = cost::stage(row, job, now).idle;
        let duty = if life > 0.0 { (idle / life).min(1.0) } else { 1.0 };
        for capacity in held {
            add(capacity, row, duty, now);
        }
    }
    let narrowest = layers.into_iter().min_by(|a, b| a.slots.total_cmp(&b.slots))?;
    (narrowest.slots > 0.0).then_some(narrowest)
}

/// The capacity of all replicas; `None` when none is usable.
pub fn of_replicas(loads: &Loads, group: &Group, now: Instant) -> Option<Capacity> {
    let mut capacity = Capacity { slots: 0.0, busy: 0.0 };
    group.rows().for_each(|index: Index| add(&mut capacity, loads.row(index), 1.0, now));
    (capacity.slots > 0.0).then_some(capacity)
}

fn add(capacity: &mut Capacity, row: &Row, duty: f64, now: Instant) {
    if row.reported() && row.usable(now) {
        capacity.slots += row.figures.slots / duty;
        capacity.busy += row.depth(now);
    }
}
