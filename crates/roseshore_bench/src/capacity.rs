//! What the parts of a daemon cost by size, measured here and carried on to the target size.
//!
//! A [`Series`] holds one cost at several sizes. A line is fitted through it, and the line's value
//! at the size of two years from now is what `docs/CAPACITY.md` calls worked out.

pub mod daemons;
pub mod fit;
pub mod relay;
pub mod states;
pub mod usage;

use fit::{Line, Point, fit};
use std::fmt;

/// Organisations at the target size.
pub const ORGANISATIONS: f64 = 33_000.0;
/// Daemons at the target size.
pub const DAEMONS: f64 = 390.0;
/// Data centres at the target size.
pub const CENTRES: f64 = 22.0;
/// Daemons of one data centre at the target size.
pub const NEAR: f64 = 18.0;
/// Targets if each replica is one.
pub const REPLICAS: f64 = 2_000.0;
/// Targets if each accelerator is one.
pub const ACCELERATORS: f64 = 8_100.0;

/// One cost at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// The part of the daemon.
    pub role: &'static str,
    /// What is counted, with its unit.
    pub cost: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// The measured points.
    pub points: Vec<Point>,
    /// The sizes to carry it on to.
    pub goals: Vec<f64>,
}

impl Series {
    /// The line through the points; `None` when all sizes are alike.
    pub fn line(&self) -> Option<Line> {
        fit(&self.points)
    }
}

/// One row of the table in `docs/CAPACITY.md`.
impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points = self.points.iter().map(|p| format!("{}: {}", short(p.size), short(p.cost)));
        let points: Vec<String> = points.collect();
        let (line, goals) = match self.line() {
            Some(line) => {
                let goals = self.goals.iter().map(|&goal| {
                    let value = line.at(goal);
                    format!("{}: {}", short(goal), short(value))
                });
                (line.to_string(), goals.collect::<Vec<_>>().join(", "))
            }
            None => ("none".to_owned(), "none".to_owned()),
        };
        let Series { role, cost, size, .. } = self;
        write!(f, "| {role} | {cost} by {size} | {} | {line} | {goals} |", points.join(", "))
    }
}

/// Three figures of a number.
pub(crate) fn short(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || value.fract() == 0.0 {
        format!("{value:.0}")
    } else if size >= 10.0 {
        format!("{value:.1}")
    } else if size >= 0.1 {
        format!("{value:.2}")
    } else {
        format!("{value:.2e}")
    }
}
