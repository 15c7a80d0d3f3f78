//! Measures the time from a fault to the next correct token or answer, for each kind of fault.
//!
//! [`streams`] injects faults into stages during an answer, [`steady`] injects faults into processes
//! under a steady load of short requests and measures until when a request is slow, and [`control`]
//! measures events of the platform: the log's return, hosts that leave, a configuration that takes
//! effect. Every run is short and on one host, so each row also gives the time without a fault.

mod control;
mod steady;
mod streams;

use crate::fleets::{self, CARDS, Shape};
use crate::process::ProcessError;
use crate::world::{Plan, World};
use std::time::Duration;

/// One row of the result table.
#[derive(Clone, Debug)]
pub struct Row {
    /// The fault and the process it was injected into.
    pub fault: String,
    /// The mechanism that bounds the recovery time.
    pub bound: &'static str,
    /// Time from the fault to the next correct token or answer, one value per run.
    pub took: Vec<Duration>,
    /// The time without a fault; `None` if there is nothing to compare.
    pub plain: Option<Duration>,
}

impl Row {
    fn new(fault: impl Into<String>, bound: &'static str, took: Vec<Duration>) -> Row {
        Row { fault: fault.into(), bound, took, plain: None }
    }

    fn with_plain(mut self, plain: Duration) -> Row {
        self.plain = Some(plain);
        self
    }
}

/// A group of measurements; takes the number of runs per fault.
pub type Part = fn(usize) -> Result<Vec<Row>, ProcessError>;

/// All parts with their names on the command line.
pub const PARTS: &[(&str, Part)] = &[
    ("streams", streams::run),
    ("targets", steady::targets),
    ("daemons", steady::daemons),
    ("log", control::log),
    ("leaving", control::leaving),
    ("config", control::config),
];

/// Header of the result table, in Markdown.
pub const HEAD: &str = "| Fault | Runs | Min | Median | Max | Without | Bounded by |\n\
                        |---|---|---|---|---|---|---|";

impl std::fmt::Display for Row {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut took = self.took.clone();
        took.sort();
        let at = |i: usize| took.get(i).map_or("none".to_owned(), |t| millis(*t));
        let last = took.len().saturating_sub(1);
        let (min, median, max) = (at(0), at(took.len() / 2), at(last));
        let plain = self.plain.map_or("–".to_owned(), millis);
        let Row { fault, bound, .. } = self;
        write!(f, "| {fault} | {} | {min} | {median} | {max} | {plain} | {bound} |", took.len())
    }
}

fn millis(time: Duration) -> String {
    format!("{:.0} ms", time.as_secs_f64() * 1e3)
}

fn median(mut all: Vec<Duration>) -> Duration {
    all.sort();
    all.get(all.len() / 2).copied().unwrap_or_default()
}

/// Starts a fleet of the given shape with a second replica of every lookup source in each data centre.
fn world(shape: Shape, daemons: usize) -> Result<World, ProcessError> {
    let mut fleet = fleets::fleet(shape);
    let replicas: Vec<_> = fleet
        .targets
        .iter()
        .filter(|(_, t)| t.serves.as_deref().is_some_and(|s| s.starts_with(CARDS)))
        .map(|(id, t)| (format!("{id}-b"), t.clone()))
        .collect();
    for (id, mut target) in replicas {
        target.host = format!("host-{id}");
        fleet.targets.insert(id, target);
    }
    World::serving(Plan { fleet, daemons, ..Plan::default() })
}
