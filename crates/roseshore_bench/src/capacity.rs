//! Resource costs of a daemon's parts, measured at several sizes and extrapolated to a planned size.
//!
//! A [`Series`] holds one cost at several sizes and is fitted with a line. The line's values at the
//! size planned for two years from now are in the column `worked out` of `docs/CAPACITY.md`.

pub mod daemons;
pub mod fit;
pub mod relay;
pub mod states;
pub mod usage;

use fit::{Line, Point, fit};
use std::fmt;

/// Organisations at the planned size.
pub const ORGANISATIONS: f64 = 33_000.0;
/// Daemons at the planned size.
pub const DAEMONS: f64 = 390.0;
/// Data centres at the planned size.
pub const DATA_CENTRES: f64 = 22.0;
/// Daemons in one data centre at the planned size.
pub const DAEMONS_PER_CENTRE: f64 = 18.0;
/// Targets at the planned size if each replica is one target.
pub const REPLICAS: f64 = 2_000.0;
/// Targets at the planned size if each accelerator is one target.
pub const ACCELERATORS: f64 = 8_100.0;

/// One cost, measured at several sizes.
#[derive(Clone, Debug)]
pub struct Series {
    /// The measured part of the daemon.
    pub role: &'static str,
    /// The measured quantity, with its unit.
    pub cost: &'static str,
    /// The unit of the size, such as organisations.
    pub size: &'static str,
    /// The measured points.
    pub points: Vec<Point>,
    /// Sizes at which the line is evaluated.
    pub goals: Vec<f64>,
}

impl Series {
    /// The fitted line; `None` unless at least two sizes differ.
    pub fn line(&self) -> Option<Line> {
        fit(&self.points)
    }
}

/// Formats the series as a row of the table in `docs/CAPACITY.md`.
impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points = self
            .points
            .iter()
            .map(|p| format!("{}: {}", format_short(p.size), format_short(p.cost)));
        let points: Vec<String> = points.collect();
        let (line, goals) = match self.line() {
            Some(line) => {
                let goals = self.goals.iter().map(|&goal| {
                    let value = line.at(goal);
                    format!("{}: {}", format_short(goal), format_short(value))
                });
                (line.to_string(), goals.collect::<Vec<_>>().join(", "))
            }
            None => ("none".to_owned(), "none".to_owned()),
        };
        let Series { role, cost, size, .. } = self;
        write!(f, "| {role} | {cost} by {size} | {} | {line} | {goals} |", points.join(", "))
    }
}

/// Formats a number with about three significant digits; numbers from 100 and integers are printed
/// without decimals.
pub(crate) fn format_short(value: f64) -> String {
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
