//! What became of the requests of a run.

use hdrhistogram::Histogram;
use roseshore_harness::caller::ClientReply;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The longest time that is told apart, microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Percentiles that are shown.
const SHOWN: [f64; 3] = [0.50, 0.95, 0.99];

/// Times, kept by a histogram of microseconds.
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
    /// Takes one.
    pub fn add(&mut self, time: Duration) {
        self.all.saturating_record((time.as_micros() as u64).max(1));
    }

    /// Takes all of another.
    pub fn join(&mut self, other: &Times) {
        self.all += &other.all;
    }

    /// The time at a part of all, milliseconds; 0 without any.
    pub fn at(&self, part: f64) -> f64 {
        if self.all.is_empty() { 0.0 } else { self.all.value_at_quantile(part) as f64 / 1e3 }
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.all.len()
    }
}

/// The 50th, 95th and 99th percentile, milliseconds.
impl fmt::Display for Times {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = SHOWN.map(|part| format!("{:.2}", self.at(part)));
        f.write_str(&shown.join(" / "))
    }
}

/// How a request ended, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Whole.
    Whole,
    /// Refused in words, with verdict and code.
    Refused(String),
    /// Cut short or without a reply, and what is known of why.
    Broken(String),
}

/// How what a caller got is to be counted.
pub fn end(got: &ClientReply) -> End {
    if let Some(verdict) = &got.verdict
        && verdict != "answered"
    {
        return End::Refused(format!("{verdict} {}", got.code.as_deref().unwrap_or("-")));
    }
    match got.status {
        // 404: a name that no source has is an answer.
        200 | 404 if got.whole => End::Whole,
        0 => End::Broken(got.text.clone()),
        200 => End::Broken("cut".to_owned()),
        status => End::Refused(format!("HTTP {status} {}", got.code.as_deref().unwrap_or("-"))),
    }
}

/// The counts of one part of a mix.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// To the first token or byte.
    pub first: Times,
    /// Between tokens.
    pub between: Times,
    /// To the end of whole answers.
    pub total: Times,
    /// To the end of refusals.
    pub refusal: Times,
    /// From when a request was due to when a thread was free to send it.
    pub late: Times,
    /// Whole answers that ended in the time that counts.
    pub good: u64,
    /// Their tokens.
    pub tokens: u64,
    /// Ends other than whole ones.
    pub ends: BTreeMap<End, u64>,
}

impl Tally {
    /// Takes a request that was begun `late` after it was due; `counts` when it ended in the time
    /// that goodput is counted in.
    pub fn add(&mut self, got: &ClientReply, late: Duration, counts: bool) {
        self.sent += 1;
        self.late.add(late);
        let end = end(got);
        if end != End::Whole {
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

    /// Takes all of another.
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
