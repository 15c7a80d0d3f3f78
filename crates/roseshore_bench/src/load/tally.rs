//! Counts the outcomes and latencies of a run's requests.

use hdrhistogram::Histogram;
use roseshore_harness::caller::ClientReply;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Upper bound of the histogram, microseconds; longer times are recorded as this value.
const MAX_MICROS: u64 = 60_000_000;
/// Quantiles that [`Times`] prints.
const QUANTILES: [f64; 3] = [0.50, 0.95, 0.99];

/// A histogram of durations with microsecond buckets.
#[derive(Clone, Debug)]
pub struct Times {
    all: Histogram<u64>,
}

impl Default for Times {
    fn default() -> Times {
        let all = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are in order");
        Times { all }
    }
}

impl Times {
    /// Records one duration; anything under 1 µs counts as 1 µs.
    pub fn add(&mut self, time: Duration) {
        self.all.saturating_record((time.as_micros() as u64).max(1));
    }

    /// Adds all samples of `other`.
    pub fn join(&mut self, other: &Times) {
        self.all += &other.all;
    }

    /// The value at a quantile from 0 to 1, milliseconds; 0 without samples.
    pub fn at(&self, part: f64) -> f64 {
        if self.all.is_empty() { 0.0 } else { self.all.value_at_quantile(part) as f64 / 1e3 }
    }

    /// Number of samples.
    pub fn count(&self) -> u64 {
        self.all.len()
    }
}

/// Prints the 50th, 95th and 99th percentiles, milliseconds.
impl fmt::Display for Times {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = QUANTILES.map(|part| format!("{:.2}", self.at(part)));
        f.write_str(&shown.join(" / "))
    }
}

/// The outcome of a request, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete response.
    Whole,
    /// An explicit refusal: its verdict or HTTP status, and its code.
    Refused(String),
    /// A truncated or missing response, with the cause as far as it is known.
    Broken(String),
}

/// Classifies what a caller received. A verdict other than `answered` is a refusal whatever the
/// HTTP status is.
pub fn outcome(got: &ClientReply) -> Outcome {
    if let Some(verdict) = &got.verdict
        && verdict != "answered"
    {
        return Outcome::Refused(format!("{verdict} {}", got.code.as_deref().unwrap_or("-")));
    }
    match got.status {
        // A lookup of a name that no source has is answered with 404.
        200 | 404 if got.whole => Outcome::Whole,
        0 => Outcome::Broken(got.text.clone()),
        200 => Outcome::Broken("cut".to_owned()),
        status => Outcome::Refused(format!("HTTP {status} {}", got.code.as_deref().unwrap_or("-"))),
    }
}

/// Counts and latencies of one part of a mix. Latencies include the request's delay in `late`.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests sent, whatever their outcome.
    pub sent: u64,
    /// Latency to the first token or byte of complete responses.
    pub first: Times,
    /// Intervals between consecutive tokens of complete responses.
    pub between: Times,
    /// Latency to the end of complete responses.
    pub total: Times,
    /// Latency to the end of requests that were refused, truncated or not answered.
    pub refusal: Times,
    /// Delay from a request's scheduled arrival to when a worker sent it.
    pub late: Times,
    /// Complete responses that ended within the measurement window.
    pub good: u64,
    /// Tokens of the responses in `good`.
    pub tokens: u64,
    /// Number of requests by outcome, without complete responses.
    pub ends: BTreeMap<Outcome, u64>,
}

impl Tally {
    /// Records a request that was sent `late` after its scheduled arrival; `counts` is true if it
    /// ended within the measurement window.
    pub fn add(&mut self, got: &ClientReply, late: Duration, counts: bool) {
        self.sent += 1;
        self.late.add(late);
        let end = outcome(got);
        if end != Outcome::Whole {
            self.refusal.add(late + got.took);
            *self.ends.entry(end).or_default() += 1;
            return;
        }
        self.first.add(late + got.first);
        self.total.add(late + got.took);
        got.gaps.iter().for_each(|&gap| self.between.add(gap));
        if counts {
            self.good += 1;
            self.tokens += got.gaps.len() as u64 + 1;
        }
    }

    /// Adds all counts and samples of `other`.
    pub fn join(&mut self, other: &Tally) {
        self.sent += other.sent;
        self.first.join(&other.first);
        self.between.join(&other.between);
        self.total.join(&other.total);
        self.refusal.join(&other.refusal);
        self.late.join(&other.late);
        self.good += other.good;
        self.tokens += other.tokens;
        for (end, count) in &other.ends {
            *self.ends.entry(end.clone()).or_default() += count;
        }
    }
}
