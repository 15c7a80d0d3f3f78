//! The state of the log service, without I/O.

use roseshore_core::prelude::*;
use roseshore_wire::platform::{Record, Records, Trimmed};
use std::collections::{HashMap, VecDeque};

/// The retention of a stream; the oldest records are dropped first.
#[derive(Clone, Debug, Default)]
pub struct Retention {
    /// The maximum number of records.
    pub count: Option<usize>,
    /// The maximum age of a record.
    pub age: Option<Duration>,
}

#[derive(Debug, Default)]
struct Stream {
    oldest: Offset,
    records: VecDeque<Record>,
}

impl Stream {
    fn end(&self) -> Offset {
        self.oldest + self.records.len() as Offset
    }

    fn drop_first(&mut self, count: usize) {
        let count = count.min(self.records.len());
        self.records.drain(..count);
        self.oldest += count as Offset;
    }
}

/// All streams and the rate limit on appends.
#[derive(Debug)]
pub struct LogState {
    streams: HashMap<String, Stream>,
    keep: Retention,
    bucket: TokenBucket,
    appends: u64,
}

/// A token bucket for appends; its burst is a tenth of a second's worth.
#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    seen: Instant,
}

impl TokenBucket {
    fn take(&mut self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.seen).as_secs_f64();
        self.seen = self.seen.max(now);
        self.tokens = (self.tokens + since * self.rate).min((self.rate / 10.0).max(1.0));
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

impl LogState {
    /// Creates a log without streams that accepts `rate` appends per second.
    pub fn new(rate: f64, keep: Retention, now: Instant) -> LogState {
        let bucket = TokenBucket { rate, tokens: (rate / 10.0).max(1.0), seen: now };
        LogState { streams: HashMap::new(), keep, bucket, appends: 0 }
    }

    /// Appends all records and returns the offset of the first, or `None` above the rate limit.
    pub fn append(
        &mut self,
        stream: &str,
        records: Vec<String>,
        now: Instant,
        time_ms: u64,
    ) -> Option<Offset> {
        if !self.bucket.take(now) {
            return None;
        }
        self.appends += 1;
        let known = self.streams.entry(stream.to_owned()).or_default();
        let first = known.end();
        // The system clock may step back, but the times within a stream must not decrease.
        let time_ms = known.records.back().map_or(time_ms, |r| r.time_ms.max(time_ms));
        for (offset, data) in (first..).zip(records) {
            known.records.push_back(Record { offset, time_ms, data });
        }
        if let Some(count) = self.keep.count {
            let over = known.records.len().saturating_sub(count);
            known.drop_first(over);
        }
        Some(first)
    }

    /// Reads at most `max` records, starting at offset `from`.
    ///
    /// # Errors
    /// When the record at `from` has been dropped.
    pub fn read(
        &mut self,
        stream: &str,
        from: Offset,
        max: usize,
        time_ms: u64,
    ) -> Result<Records, Trimmed> {
        self.expire(stream, time_ms);
        let Some(known) = self.streams.get(stream) else {
            return Ok(Records { records: Vec::new(), end: 0, oldest: 0 });
        };
        let (oldest, end) = (known.oldest, known.end());
        if from < oldest {
            return Err(Trimmed { oldest, end });
        }
        let skip = (from - oldest) as usize;
        let records = known.records.iter().skip(skip).take(max).cloned().collect();
        Ok(Records { records, end, oldest })
    }

    /// Drops all but the newest `count` records of every stream.
    pub fn trim_to(&mut self, count: usize) {
        for known in self.streams.values_mut() {
            let over = known.records.len().saturating_sub(count);
            known.drop_first(over);
        }
    }

    /// The number of accepted appends.
    pub fn appends(&self) -> u64 {
        self.appends
    }

    fn expire(&mut self, stream: &str, time_ms: u64) {
        let Some(age) = self.keep.age else { return };
        let Some(known) = self.streams.get_mut(stream) else { return };
        let limit = time_ms.saturating_sub(age.as_millis() as u64);
        let old = known.records.iter().take_while(|r| r.time_ms < limit).count();
        known.drop_first(old);
    }
}
