//! Load of each target, as known to this daemon.
//!
//! A target's report is outdated by the time it is used, and every daemon of the data centre sees
//! the same one. It is corrected by what this daemon knows for certain: how many of its own
//! requests are in flight there, and how long steps took. [`LoadTable`] has one row per target and
//! hands out a [`Ticket`] for requests, which count as in flight until it is returned.

pub mod breaker;
pub mod in_flight;
mod report;
pub mod slowdown;

pub use report::{EngineState, LoadFigures, PollResult, ReportChange, ServiceState};

use crate::fleet::TargetKind;
use crate::prelude::*;
use breaker::CircuitBreaker;
use in_flight::InFlightHistory;
use report::{apply_engine, apply_service};
use rustc_hash::FxHashMap;
use slowdown::Slowdown;
use std::net::SocketAddr;

/// Index of a target's row.
pub type TargetIndex = u32;
/// Index of a data centre in the load table.
pub type DataCentreIndex = u16;

/// Age that a target's report is assumed to have when it is polled.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Age from which on a report says nothing about the queue.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// Weight of a new report in the running mean. Following outdated reports at once makes all daemons
/// move between the same targets together.
const REPORT_GAIN: f64 = 0.3;
/// With own requests in flight but no progress, a target's slowdown is at least the time since its
/// last progress divided by this.
const SILENCE_UNIT: Duration = Duration::from_millis(250);
/// Standard deviation of a step's time, relative to it. Steps of one answer are correlated, so the
/// value is larger than the deviation of a single step.
const RELATIVE_NOISE: f64 = 1.0;

/// Weight of a step that took longer than expected, relative to one that was faster.
const SLOW_STEP_WEIGHT: f64 = 0.1;

/// State of one target.
#[derive(Clone, Debug)]
pub struct Row {
    /// Id of the target.
    pub id: TargetId,
    /// The host that it runs on.
    pub host: HostId,
    /// Address on which the target listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreIndex,
    /// Whether it is an engine or a service replica.
    pub kind: TargetKind,
    /// The service source that it serves.
    pub serves: Option<String>,
    /// Model and layers that it holds; `None` until an engine has reported.
    pub engine: Option<EngineState>,
    /// Its incarnation; 0 before the first report.
    pub incarnation: Incarnation,
    /// Load figures of the latest report.
    pub figures: LoadFigures,
    /// Whether its report says that it takes no new work.
    pub draining: bool,
    /// Whether its host is being withdrawn.
    pub host_leaving: bool,
    /// Keeps the target out of use after failures.
    pub breaker: CircuitBreaker,
    /// Ratio of its observed times to its reported ones.
    pub slowdown: Slowdown,
    own_requests: InFlightHistory,
    last_progress: Option<Instant>,
    reported_at: Option<Instant>,
    other_requests: f64,
    generation: u32,
    declared: bool,
}

impl Row {
    /// Whether new work may be sent to the target now.
    pub fn usable(&self, now: Instant) -> bool {
        self.declared
            && !self.host_leaving
            && !self.draining
            && self.breaker.usable(now, self.own_requests.current())
    }

    /// Whether new work may be sent to the target by `until`, unless it fails again.
    pub fn usable_by(&self, until: Instant) -> bool {
        let closed = self.breaker.open_until().is_none_or(|end| end <= until);
        self.declared && !self.host_leaving && !self.draining && closed
    }

    /// Whether it has ever reported.
    pub fn reported(&self) -> bool {
        self.reported_at.is_some()
    }

    /// Number of this daemon's requests in flight at the target.
    pub fn own_requests(&self) -> u32 {
        self.own_requests.current()
    }

    /// Number of requests at the target: the latest report, corrected by this daemon's requests
    /// begun and ended since.
    pub fn depth(&self, now: Instant) -> f64 {
        let own = f64::from(self.own_requests.current());
        match self.reported_at {
            Some(seen) if now.saturating_duration_since(seen) < MAX_REPORT_AGE => {
                own + self.other_requests
            }
            _ => own,
        }
    }

    /// Ratio of observed to reported times. If own requests are in flight without progress, the
    /// target counts as slower before the first of them has ended.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let silence = match self.last_progress {
            Some(last) if self.own_requests.current() > 0 => now.saturating_duration_since(last),
            _ => Duration::ZERO,
        };
        self.slowdown.factor(now).max(silence.as_secs_f64() / SILENCE_UNIT.as_secs_f64())
    }

    /// Seconds of one step or call, from report and observation, without queueing.
    pub fn step(&self, now: Instant) -> f64 {
        self.figures.step * self.slowdown(now)
    }
}

/// Requests in flight at some targets; returned with [`LoadTable::end`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ticket {
    /// Rows, each with its generation.
    rows: Vec<(TargetIndex, u32)>,
}

/// Load of every target.
#[derive(Debug, Default)]
pub struct LoadTable {
    rows: Vec<Row>,
    free_indices: Vec<TargetIndex>,
    indices: FxHashMap<TargetId, TargetIndex>,
    data_centres: Vec<DataCentreId>,
}

impl LoadTable {
    /// Applies the declared targets; the state of those that remain is kept.
    pub fn apply_fleet(&mut self, fleet: &Fleet) {
        let gone = self.indices.keys().filter(|id| !fleet.targets.contains_key(*id)).cloned();
        for id in gone.collect::<Vec<_>>() {
            self.remove(&id);
        }
        for (id, target) in &fleet.targets {
            self.upsert(id, target);
        }
    }

    /// Index of a target's row.
    pub fn find(&self, id: &str) -> Option<TargetIndex> {
        self.indices.get(id).copied()
    }

    /// The row with this index.
    pub fn row(&self, index: TargetIndex) -> &Row {
        &self.rows[index as usize]
    }

    /// Indices of all declared targets.
    pub fn declared(&self) -> impl Iterator<Item = TargetIndex> + '_ {
        self.indices.values().copied()
    }

    /// Index of a data centre; a new one gets the next free index.
    pub fn data_centre_index(&mut self, id: &str) -> DataCentreIndex {
        if let Some(index) = self.data_centres.iter().position(|known| known == id) {
            return index as DataCentreIndex;
        }
        self.data_centres.push(id.to_owned());
        (self.data_centres.len() - 1) as DataCentreIndex
    }

    /// Ids of the data centres, by index.
    pub fn data_centres(&self) -> &[DataCentreId] {
        &self.data_centres
    }

    /// Applies a report polled at `seen`; a report older than the latest one is ignored.
    pub fn report(&mut self, id: &str, seen: Instant, result: PollResult) -> ReportChange {
        let Some(index) = self.find(id) else { return ReportChange::Ignored };
        let row = &mut self.rows[index as usize];
        if row.reported_at.is_some_and(|known| seen <= known) {
            return ReportChange::Ignored;
        }
        if result == PollResult::Silent {
            row.breaker.record_failure(seen);
            return ReportChange::LoadOnly;
        }
        let first = row.reported_at.is_none();
        row.reported_at = Some(seen);
        let change = match result {
            PollResult::Engine(state) => apply_engine(row, seen, state),
            PollResult::Service(state) => apply_service(row, seen, state),
            PollResult::Silent => ReportChange::LoadOnly,
        };
        let own = row.own_requests.at_time(seen.checked_sub(REPORT_LAG).unwrap_or(seen));
        let others = (row.figures.depth - f64::from(own)).max(0.0);
        let weight = if first { 1.0 } else { REPORT_GAIN };
        row.other_requests += weight * (others - row.other_requests);
        change
    }

    /// Counts one more request in flight at each of `chosen`.
    pub fn begin(&mut self, chosen: &[TargetIndex], now: Instant) -> Ticket {
        let rows = chosen.iter().map(|&index| {
            let row = &mut self.rows[index as usize];
            if row.own_requests.current() == 0 {
                row.last_progress = Some(now);
            }
            row.own_requests.change(now, 1);
            (index, row.generation)
        });
        Ticket { rows: rows.collect() }
    }

    /// Returns a ticket; rows that have been reused for other targets are left alone.
    pub fn end(&mut self, ticket: &Ticket, now: Instant) {
        for &(index, generation) in &ticket.rows {
            let row = &mut self.rows[index as usize];
            if row.generation == generation {
                row.own_requests.change(now, -1);
            }
        }
    }

    /// Takes a target out of use for a time that grows with each consecutive failure.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        if let Some(index) = self.find(id) {
            self.rows[index as usize].breaker.record_failure(now);
        }
    }

    /// Updates the slowdown with the time of one step or call of a single target.
    pub fn record_step(&mut self, id: &str, took: Duration, now: Instant) {
        let Some(index) = self.find(id) else { return };
        self.record_chain_step(&[index], 0.0, took, now);
    }

    /// Updates the slowdowns with the time of one step over several targets, of which `links`
    /// seconds were spent on the network.
    pub fn record_chain_step(
        &mut self,
        chain: &[TargetIndex],
        links: f64,
        took: Duration,
        now: Instant,
    ) {
        let idle: f64 = links + chain.iter().map(|&i| self.learned_step(i, now)).sum::<f64>();
        let expect = |&index: &TargetIndex| {
            let row = self.row(index);
            let load = row.depth(now) * self.learned_step(index, now) / idle;
            row.figures.step * queueing_factor(load, row.figures.slots)
        };
        let steps: Vec<f64> = chain.iter().map(expect).collect();
        let predict = |(&i, &s): (&TargetIndex, &f64)| s * self.row(i).slowdown.factor(now);
        let total = chain.iter().zip(&steps).map(predict).sum::<f64>();
        let error = took.as_secs_f64() - links - total;
        // Queueing can only lengthen a step and is accounted for separately, so a long step is weak
        // evidence of a slow target.
        let weight = if error > 0.0 { SLOW_STEP_WEIGHT } else { 1.0 };
        let step_variance =
            |(&i, &s): (&TargetIndex, &f64)| s * s * self.row(i).slowdown.variance(now);
        let noise = (RELATIVE_NOISE * total).powi(2) / weight;
        let total_variance = noise + chain.iter().zip(&steps).map(step_variance).sum::<f64>();
        for (&index, &step) in chain.iter().zip(&steps) {
            let row = &mut self.rows[index as usize];
            let gain = row.slowdown.variance(now) * step / total_variance;
            row.slowdown.learn(now, error, gain, step);
            row.last_progress = Some(now);
            row.breaker.record_success(now);
        }
    }

    /// Sets whether a target's host is being withdrawn.
    pub fn set_host_leaving(&mut self, index: TargetIndex, leaving: bool) {
        self.rows[index as usize].host_leaving = leaving;
    }

    /// Seconds of one step from the learned slowdown alone, without regard to silence.
    fn learned_step(&self, index: TargetIndex, now: Instant) -> f64 {
        let row = self.row(index);
        row.figures.step * row.slowdown.factor(now)
    }

    fn upsert(&mut self, id: &TargetId, target: &Target) {
        let data_centre = self.data_centre_index(&target.data_centre);
        if let Some(index) = self.find(id) {
            let row = &mut self.rows[index as usize];
            let same = row.addr == target.addr && row.kind == target.kind;
            if same {
                row.host.clone_from(&target.host);
                row.data_centre = data_centre;
                row.serves.clone_from(&target.serves);
                return;
            }
            self.remove(id);
        }
        let index = self.free_indices.pop().unwrap_or(self.rows.len() as TargetIndex);
        let generation = self.rows.get(index as usize).map_or(0, |row| row.generation + 1);
        let row = Row {
            id: id.clone(),
            host: target.host.clone(),
            addr: target.addr,
            data_centre,
            kind: target.kind,
            serves: target.serves.clone(),
            engine: None,
            incarnation: 0,
            figures: LoadFigures::UNKNOWN,
            draining: false,
            host_leaving: false,
            breaker: CircuitBreaker::default(),
            slowdown: Slowdown::default(),
            own_requests: InFlightHistory::default(),
            last_progress: None,
            reported_at: None,
            other_requests: 0.0,
            generation,
            declared: true,
        };
        if index as usize == self.rows.len() {
            self.rows.push(row);
        } else {
            self.rows[index as usize] = row;
        }
        self.indices.insert(id.clone(), index);
    }

    fn remove(&mut self, id: &str) {
        if let Some(index) = self.indices.remove(id) {
            let row = &mut self.rows[index as usize];
            row.declared = false;
            row.engine = None;
            self.free_indices.push(index);
        }
    }
}

/// Factor by which queueing lengthens a step when `depth` requests share `slots` slots.
pub fn queueing_factor(depth: f64, slots: f64) -> f64 {
    (depth / slots).max(1.0)
}
