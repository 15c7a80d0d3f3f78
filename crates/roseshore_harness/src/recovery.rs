//! Time from a fault to the next right token or answer, for each kind of fault.
//!
//! [`streams`] strikes stages under an answer, [`steady`] strikes processes under a steady run of
//! short requests and asks until when one of them was slow, [`control`] times what the platform
//! brings about: the log back, hosts leaving, a configuration in force. Every run is short; the
//! figures are those of one machine, so each row has beside it the time without a fault.

mod control;
mod steady;
mod streams;

use crate::fleets::{self, CARDS, Shape};
use crate::process::ProcessError;
use crate::world::{Plan, World};
use std::time::Duration;

/// One line of the table.
#[derive(Clone, Debug)]
pub struct Row {
    /// What was done to what.
    pub fault: String,
    /// What bounds the time.
    pub bound: &'static str,
    /// From the fault to the next right token or answer, one value a run.
    pub took: Vec<Duration>,
    /// The same without the fault, where that makes sense.
    pub plain: Option<Duration>,
}

impl Row {
    fn new(fault: impl Into<String>, bound: &'static str, took: Vec<Duration>) -> Row {
        Row { fault: fault.into(), bound, took, plain: None }
    }

    fn beside(mut self, plain: Duration) -> Row {
        self.plain = Some(plain);
        self
    }
}

/// The part that a run is of.
pub type Part = fn(usize) -> Result<Vec<Row>, ProcessError>;

/// Every part with the name by which it is asked for.
pub const PARTS: &[(&str, Part)] = &[
    ("streams", streams::run),
    ("targets", steady::targets),
    ("daemons", steady::daemons),
    ("log", control::log),
    ("leaving", control::leaving),
    ("config", control::config),
];

/// The table's head.
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

/// A world with a second replica of every lookup source in each data centre.
fn world(shape: Shape, daemons: usize) -> Result<World, ProcessError> {
    let mut fleet = fleets::fleet(shape);
    let seconds: Vec<_> = fleet
        .targets
        .iter()
        .filter(|(_, t)| t.serves.as_deref().is_some_and(|s| s.starts_with(CARDS)))
        .map(|(id, t)| (format!("{id}-b"), t.clone()))
        .collect();
    for (id, mut target) in seconds {
        target.host = format!("host-{id}");
        fleet.targets.insert(id, target);
    }
    World::serving(Plan { fleet, daemons, ..Plan::default() })
}
