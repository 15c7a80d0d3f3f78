//! What this daemon knows of each target.
//!
//! A target's report is late and shared by every daemon of the data centre. It is corrected by what
//! this daemon alone knows for certain: how many of its own requests are in flight there, and how
//! long steps really took. [`Loads`] keeps one row per target and hands out [`Ticket`]s that count
//! as in flight until they are given back.

pub mod breaker;
pub mod in_flight;
mod report;
pub mod slowdown;

pub use report::{Change, Content, EngineState, Figures, ServiceState};

use crate::fleet::TargetKind;
use crate::prelude::*;
use breaker::Health;
use in_flight::History;
use report::{take_engine, take_service};
use rustc_hash::FxHashMap;
use slowdown::Pace;
use std::net::SocketAddr;

/// The place of a target's row.
pub type Index = u32;
/// The place of a data centre in a small table.
pub type Zone = u16;

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
    pub zone: Zone,
    /// What it is.
    pub kind: TargetKind,
    /// The service source it serves.
    pub serves: Option<String>,
    /// What it holds, for engines that reported.
    pub engine: Option<EngineState>,
    /// Its life; 0 before the first report.
    pub incarnation: Incarnation,
    /// The load figures reported last.
    pub figures: Figures,
    /// Whether its own report says that it is leaving.
    pub closing: bool,
    /// Whether its host is being taken away.
    pub leaving: bool,
    /// Whether its failures keep it out of use.
    pub health: Health,
    /// How its real times compare with its reports.
    pub pace: Pace,
    own: History,
    progress: Option<Instant>,
    seen: Option<Instant>,
    others: f64,
    life: u32,
    declared: bool,
}

impl Row {
    /// Whether new work may go there now.
    pub fn usable(&self, now: Instant) -> bool {
        self.declared && !self.leaving && !self.closing && self.health.usable(now, self.own.level())
    }

    /// Whether it has ever reported.
    pub fn reported(&self) -> bool {
        self.seen.is_some()
    }

    /// Own requests in flight there.
    pub fn own(&self) -> u32 {
        self.own.level()
    }

    /// Requests there, a late report corrected by the own ones begun and ended since.
    pub fn depth(&self, now: Instant) -> f64 {
        let own = f64::from(self.own.level());
        match self.seen {
            Some(seen) if now.saturating_duration_since(seen) < STALE => own + self.others,
            _ => own,
        }
    }

    /// How many times longer it takes than it reports, by own observation. Own requests in flight
    /// without any progress say so before the first of them has ended.
    pub fn factor(&self, now: Instant) -> f64 {
        let silence = match self.progress {
            Some(last) if self.own.level() > 0 => now.saturating_duration_since(last),
            _ => Duration::ZERO,
        };
        self.pace.factor(now).max(silence.as_secs_f64() / SILENCE.as_secs_f64())
    }

    /// Seconds of one step or call, by report and own observation, without queueing.
    pub fn step(&self, now: Instant) -> f64 {
        self.figures.step * self.factor(now)
    }
}

/// Work in flight at some targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ticket {
    /// Rows with the life of each.
    rows: Vec<(Index, u32)>,
}

/// Every target.
#[derive(Debug, Default)]
pub struct Loads {
    rows: Vec<Row>,
    free: Vec<Index>,
    names: FxHashMap<TargetId, Index>,
    zones: Vec<DataCentreId>,
}

impl Loads {
    /// Takes over the declared targets; what is known of those that stay is kept.
    pub fn declare(&mut self, fleet: &Fleet) {
        let gone = self.names.keys().filter(|id| !fleet.targets.contains_key(*id)).cloned();
        for id in gone.collect::<Vec<_>>() {
            self.forget(&id);
        }
        for (id, target) in &fleet.targets {
            self.put(id, target);
        }
    }

    /// The row of a target.
    pub fn find(&self, id: &str) -> Option<Index> {
        self.names.get(id).copied()
    }

    /// A row by its place.
    pub fn row(&self, index: Index) -> &Row {
        &self.rows[index as usize]
    }

    /// Every declared target's place.
    pub fn declared(&self) -> impl Iterator<Item = Index> + '_ {
        self.names.values().copied()
    }

    /// The place of a data centre, given one if it is new.
    pub fn zone(&mut self, id: &str) -> Zone {
        if let Some(zone) = self.zones.iter().position(|z| z == id) {
            return zone as Zone;
        }
        self.zones.push(id.to_owned());
        (self.zones.len() - 1) as Zone
    }

    /// The data centres, by place.
    pub fn zones(&self) -> &[DataCentreId] {
        &self.zones
    }

    /// Takes a report polled at `seen`; an older one than known is ignored.
    pub fn report(&mut self, id: &str, seen: Instant, content: Content) -> Change {
        let Some(index) = self.find(id) else { return Change::Ignored };
        let row = &mut self.rows[index as usize];
        if row.seen.is_some_and(|known| seen <= known) {
            return Change::Ignored;
        }
        if content == Content::Silent {
            row.health.failed(seen);
            return Change::Figures;
        }
        let first = row.seen.is_none();
        row.seen = Some(seen);
        let change = match content {
            Content::Engine(state) => take_engine(row, seen, state),
            Content::Service(state) => take_service(row, seen, state),
            Content::Silent => Change::Figures,
        };
        let own = row.own.at(seen.checked_sub(REPORT_LAG).unwrap_or(seen));
        let others = (row.figures.depth - f64::from(own)).max(0.0);
        let part = if first { 1.0 } else { SMOOTH };
        row.others += part * (others - row.others);
        change
    }

    /// Counts one more request in flight at each of `chosen`.
    pub fn begin(&mut self, chosen: &[Index], now: Instant) -> Ticket {
        let rows = chosen.iter().map(|&index| {
            let row = &mut self.rows[index as usize];
            if row.own.level() == 0 {
                row.progress = Some(now);
            }
            row.own.change(now, 1);
            (index, row.life)
        });
        Ticket { rows: rows.collect() }
    }

    /// Gives a ticket back; rows that were taken over by other targets are left alone.
    pub fn end(&mut self, ticket: &Ticket, now: Instant) {
        for &(index, life) in &ticket.rows {
            let row = &mut self.rows[index as usize];
            if row.life == life {
                row.own.change(now, -1);
            }
        }
    }

    /// Puts a target out of use for a time that grows with every failure in a row.
    pub fn failed(&mut self, id: &str, now: Instant) {
        if let Some(index) = self.find(id) {
            self.rows[index as usize].health.failed(now);
        }
    }

    /// Learns from the time that one step or call of one target took.
    pub fn observed(&mut self, id: &str, took: Duration, now: Instant) {
        let Some(index) = self.find(id) else { return };
        self.paced(&[index], 0.0, took, now);
    }

    /// Learns from the time that one step over several targets took, of which `links` seconds are
    /// not theirs.
    pub fn paced(&mut self, chain: &[Index], links: f64, took: Duration, now: Instant) {
        let idle: f64 = links + chain.iter().map(|&i| self.known(i, now)).sum::<f64>();
        let expect = |&index: &Index| {
            let row = self.row(index);
            let load = row.depth(now) * self.known(index, now) / idle;
            row.figures.step * crowd(load, row.figures.slots)
        };
        let steps: Vec<f64> = chain.iter().map(expect).collect();
        let guess = |(&i, &s): (&Index, &f64)| s * self.row(i).pace.factor(now);
        let total = chain.iter().zip(&steps).map(guess).sum::<f64>();
        let error = took.as_secs_f64() - links - total;
        // Queueing makes steps longer and never shorter, and is accounted for elsewhere.
        let trust = if error > 0.0 { RISE } else { 1.0 };
        let spread = |(&i, &s): (&Index, &f64)| s * s * self.row(i).pace.variance(now);
        let noise = (NOISE * total).powi(2) / trust;
        let square = noise + chain.iter().zip(&steps).map(spread).sum::<f64>();
        for (&index, &step) in chain.iter().zip(&steps) {
            let row = &mut self.rows[index as usize];
            let gain = row.pace.variance(now) * step / square;
            row.pace.learn(now, error, gain, step);
            row.progress = Some(now);
            row.health.worked(now);
        }
    }

    /// Notes whether a target's host is being taken away.
    pub fn set_leaving(&mut self, index: Index, leaving: bool) {
        self.rows[index as usize].leaving = leaving;
    }

    /// Seconds of one step by what was learned from steps alone.
    fn known(&self, index: Index, now: Instant) -> f64 {
        let row = self.row(index);
        row.figures.step * row.pace.factor(now)
    }

    fn put(&mut self, id: &TargetId, target: &Target) {
        let zone = self.zone(&target.data_centre);
        if let Some(index) = self.find(id) {
            let row = &mut self.rows[index as usize];
            let same = row.addr == target.addr && row.kind == target.kind;
            if same {
                row.host.clone_from(&target.host);
                row.zone = zone;
                row.serves.clone_from(&target.serves);
                return;
            }
            self.forget(id);
        }
        let index = self.free.pop().unwrap_or(self.rows.len() as Index);
        let life = self.rows.get(index as usize).map_or(0, |row| row.life + 1);
        let row = Row {
            id: id.clone(),
            host: target.host.clone(),
            addr: target.addr,
            zone,
            kind: target.kind,
            serves: target.serves.clone(),
            engine: None,
            incarnation: 0,
            figures: Figures::UNKNOWN,
            closing: false,
            leaving: false,
            health: Health::default(),
            pace: Pace::default(),
            own: History::default(),
            progress: None,
            seen: None,
            others: 0.0,
            life,
            declared: true,
        };
        if index as usize == self.rows.len() {
            self.rows.push(row);
        } else {
            self.rows[index as usize] = row;
        }
        self.names.insert(id.clone(), index);
    }

    fn forget(&mut self, id: &str) {
        if let Some(index) = self.names.remove(id) {
            let row = &mut self.rows[index as usize];
            row.declared = false;
            row.engine = None;
            self.free.push(index);
        }
    }
}

/// How many times longer a unit takes with `depth` units on `slots` places.
pub fn crowd(depth: f64, slots: f64) -> f64 {
    (depth / slots).max(1.0)
}
