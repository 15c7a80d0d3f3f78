//! What this daemon knows of each target.
//!
//! A target's report is late and shared by every daemon of the data centre. It is corrected by what
//! this daemon alone knows for certain: how many of its own requests are in flight there, and how
//! long steps really took. [`LoadTable`] keeps one row per target and hands out [`Ticket`]s that count
//! as in flight until they are given back.

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

/// The place of a target's row.
pub type TargetIndex = u32;
/// The place of a data centre in a small table.
pub type DataCentreIndex = u16;

/// How far a target's report is assumed to lag behind the moment at which it was polled.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// A report of this age says nothing about queues any more.
const STALE: Duration = Duration::from_secs(10);

/// Part of a new report that is believed at once: late reports that are followed at once make all
/// daemons run to and fro together.
const SMOOTH: f64 = 0.3;
/// Without progress of any own request, a target counts as one time slower for each such span.
const SILENCE: Duration = Duration::from_millis(250);
/// Standard deviation of a step's time, as a part of it; steps of one answer are much alike, so
/// that this stands for several of them.
const NOISE: f64 = 1.0;

/// How much is learned from a step that took longer than expected, against one that was faster.
const RISE: f64 = 0.1;

/// One target.
#[derive(Clone, Debug)]
pub struct Row {
    /// The target.
    pub id: TargetId,
    /// Its machine.
    pub host: HostId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreIndex,
    /// What it is.
    pub kind: TargetKind,
    /// The service source it serves.
    pub serves: Option<String>,
    /// What it holds, for engines that reported.
    pub engine: Option<EngineState>,
    /// Its life; 0 before the first report.
    pub incarnation: Incarnation,
    /// The load figures reported last.
    pub figures: LoadFigures,
    /// Whether its own report says that it is leaving.
    pub draining: bool,
    /// Whether its host is being taken away.
    pub host_leaving: bool,
    /// Whether its failures keep it out of use.
    pub breaker: CircuitBreaker,
    /// How its real times compare with its reports.
    pub slowdown: Slowdown,
    own_requests: InFlightHistory,
    last_progress: Option<Instant>,
    reported_at: Option<Instant>,
    other_requests: f64,
    generation: u32,
    declared: bool,
}

impl Row {
    /// Whether new work may go there now.
    pub fn usable(&self, now: Instant) -> bool {
        self.declared
            && !self.host_leaving
            && !self.draining
            && self.breaker.usable(now, self.own_requests.current())
    }

    /// Whether it has ever reported.
    pub fn reported(&self) -> bool {
        self.reported_at.is_some()
    }

    /// Own requests in flight there.
    pub fn own_requests(&self) -> u32 {
        self.own_requests.current()
    }

    /// Requests there, a late report corrected by the own ones begun and ended since.
    pub fn depth(&self, now: Instant) -> f64 {
        let own = f64::from(self.own_requests.current());
        match self.reported_at {
            Some(seen) if now.saturating_duration_since(seen) < STALE => own + self.other_requests,
            _ => own,
        }
    }

    /// How many times longer it takes than it reports, by own observation. Own requests in flight
    /// without any progress say so before the first of them has ended.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let silence = match self.last_progress {
            Some(last) if self.own_requests.current() > 0 => now.saturating_duration_since(last),
            _ => Duration::ZERO,
        };
        self.slowdown.factor(now).max(silence.as_secs_f64() / SILENCE.as_secs_f64())
    }

    /// Seconds of one step or call, by report and own observation, without queueing.
    pub fn step(&self, now: Instant) -> f64 {
        self.figures.step * self.slowdown(now)
    }
}

/// Work in flight at some targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ticket {
    /// Rows with the life of each.
    rows: Vec<(TargetIndex, u32)>,
}

/// Every target.
#[derive(Debug, Default)]
pub struct LoadTable {
    rows: Vec<Row>,
    free: Vec<TargetIndex>,
    names: FxHashMap<TargetId, TargetIndex>,
    data_centres: Vec<DataCentreId>,
}

impl LoadTable {
    /// Takes over the declared targets; what is known of those that stay is kept.
    pub fn apply_fleet(&mut self, fleet: &Fleet) {
        let gone = self.names.keys().filter(|id| !fleet.targets.contains_key(*id)).cloned();
        for id in gone.collect::<Vec<_>>() {
            self.remove(&id);
        }
        for (id, target) in &fleet.targets {
            self.upsert(id, target);
        }
    }

    /// The row of a target.
    pub fn find(&self, id: &str) -> Option<TargetIndex> {
        self.names.get(id).copied()
    }

    /// A row by its place.
    pub fn row(&self, index: TargetIndex) -> &Row {
        &self.rows[index as usize]
    }

    /// Every declared target's place.
    pub fn declared(&self) -> impl Iterator<Item = TargetIndex> + '_ {
        self.names.values().copied()
    }

    /// The place of a data centre, given one if it is new.
    pub fn data_centre_index(&mut self, id: &str) -> DataCentreIndex {
        if let Some(zone) = self.data_centres.iter().position(|z| z == id) {
            return zone as DataCentreIndex;
        }
        self.data_centres.push(id.to_owned());
        (self.data_centres.len() - 1) as DataCentreIndex
    }

    /// The data centres, by place.
    pub fn data_centres(&self) -> &[DataCentreId] {
        &self.data_centres
    }

    /// Takes a report polled at `seen`; an older one than known is ignored.
    pub fn report(&mut self, id: &str, seen: Instant, content: PollResult) -> ReportChange {
        let Some(index) = self.find(id) else { return ReportChange::Ignored };
        let row = &mut self.rows[index as usize];
        if row.reported_at.is_some_and(|known| seen <= known) {
            return ReportChange::Ignored;
        }
        if content == PollResult::Silent {
            row.breaker.record_failure(seen);
            return ReportChange::LoadOnly;
        }
        let first = row.reported_at.is_none();
        row.reported_at = Some(seen);
        let change = match content {
            PollResult::Engine(state) => apply_engine(row, seen, state),
            PollResult::Service(state) => apply_service(row, seen, state),
            PollResult::Silent => ReportChange::LoadOnly,
        };
        let own = row.own_requests.at_time(seen.checked_sub(REPORT_LAG).unwrap_or(seen));
        let others = (row.figures.depth - f64::from(own)).max(0.0);
        let part = if first { 1.0 } else { SMOOTH };
        row.other_requests += part * (others - row.other_requests);
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

    /// Gives a ticket back; rows that were taken over by other targets are left alone.
    pub fn end(&mut self, ticket: &Ticket, now: Instant) {
        for &(index, generation) in &ticket.rows {
            let row = &mut self.rows[index as usize];
            if row.generation == generation {
                row.own_requests.change(now, -1);
            }
        }
    }

    /// Puts a target out of use for a time that grows with every failure in a row.
    pub fn record_failure(&mut self, id: &str, now: Instant) {
        if let Some(index) = self.find(id) {
            self.rows[index as usize].breaker.record_failure(now);
        }
    }

    /// Learns from the time that one step or call of one target took.
    pub fn record_step(&mut self, id: &str, took: Duration, now: Instant) {
        let Some(index) = self.find(id) else { return };
        self.record_chain_step(&[index], 0.0, took, now);
    }

    /// Learns from the time that one step over several targets took, of which `links` seconds are
    /// not theirs.
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
        let guess = |(&i, &s): (&TargetIndex, &f64)| s * self.row(i).slowdown.factor(now);
        let total = chain.iter().zip(&steps).map(guess).sum::<f64>();
        let error = took.as_secs_f64() - links - total;
        // Queueing makes steps longer and never shorter, and is accounted for elsewhere.
        let trust = if error > 0.0 { RISE } else { 1.0 };
        let spread = |(&i, &s): (&TargetIndex, &f64)| s * s * self.row(i).slowdown.variance(now);
        let noise = (NOISE * total).powi(2) / trust;
        let square = noise + chain.iter().zip(&steps).map(spread).sum::<f64>();
        for (&index, &step) in chain.iter().zip(&steps) {
            let row = &mut self.rows[index as usize];
            let gain = row.slowdown.variance(now) * step / square;
            row.slowdown.learn(now, error, gain, step);
            row.last_progress = Some(now);
            row.breaker.record_success(now);
        }
    }

    /// Notes whether a target's host is being taken away.
    pub fn set_leaving(&mut self, index: TargetIndex, leaving: bool) {
        self.rows[index as usize].host_leaving = leaving;
    }

    /// Seconds of one step by what was learned from steps alone.
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
        let index = self.free.pop().unwrap_or(self.rows.len() as TargetIndex);
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
        self.names.insert(id.clone(), index);
    }

    fn remove(&mut self, id: &str) {
        if let Some(index) = self.names.remove(id) {
            let row = &mut self.rows[index as usize];
            row.declared = false;
            row.engine = None;
            self.free.push(index);
        }
    }
}

/// How many times longer a unit takes with `depth` units on `slots` places.
pub fn queueing_factor(depth: f64, slots: f64) -> f64 {
    (depth / slots).max(1.0)
}
