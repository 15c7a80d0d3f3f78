//! Least-squares fit of a line.

use super::format_short;
use std::fmt;

/// A cost measured at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// In the unit of [`Series::size`](super::Series::size).
    pub size: f64,
    /// In the unit of [`Series::cost`](super::Series::cost).
    pub cost: f64,
}

/// `base + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The cost at size 0.
    pub base: f64,
    /// Increase of the cost per unit of size.
    pub slope: f64,
    /// Root mean square of the residuals, as a fraction of the absolute mean cost.
    pub error: f64,
}

impl Line {
    /// The cost that the line gives for a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (base, slope) = (format_short(self.base), format_short(self.slope));
        write!(f, "{base} + {slope}·n, ±{:.0}%", self.error * 100.0)
    }
}

/// Fits a line by least squares; `None` unless at least two sizes differ.
pub fn fit(points: &[Point]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (size, cost) = (mean(|p| p.size), mean(|p| p.cost));
    let spread: f64 = points.iter().map(|p| (p.size - size).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let shared: f64 = points.iter().map(|p| (p.size - size) * (p.cost - cost)).sum();
    let slope = shared / spread;
    let mut line = Line { base: cost - slope * size, slope, error: 0.0 };
    let squares: f64 = points.iter().map(|p| (p.cost - line.at(p.size)).powi(2)).sum();
    if cost != 0.0 {
        line.error = (squares / count).sqrt() / cost.abs();
    }
    Some(line)
}
