//! The times of appends after rate limiting and after an outage of the log.

use roseshore_core::once::batch::{AppendResult, Batch};
use roseshore_core::once::record::Record;
use std::time::{Duration, Instant};

struct Case {
    name: &'static str,
    result: AppendResult,
    /// The expected longest time from one failed append to the next.
    max_wait: Duration,
    /// Whether, after the first successful append, the next record is appended at once.
    next_at_once: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "rate limited",
        result: AppendResult::RateLimited,
        max_wait: Duration::from_millis(500),
        next_at_once: false,
    },
    Case {
        name: "unavailable",
        result: AppendResult::Unreachable,
        max_wait: Duration::from_millis(250),
        next_at_once: true,
    },
    Case {
        name: "replies lost",
        result: AppendResult::Unconfirmed,
        max_wait: Duration::from_millis(250),
        next_at_once: true,
    },
];

/// How long after `from` records are next taken.
fn next_take(batch: &mut Batch, from: Instant) -> Duration {
    (0..1000)
        .map(Duration::from_millis)
        .find(|&wait| !batch.take(from + wait).is_empty())
        .expect("records are taken within a second")
}

#[test]
fn an_outage_does_not_slow_later_appends() {
    for Case { name, result, max_wait, next_at_once } in CASES {
        let mut batch = Batch::new(8);
        let mut now = Instant::now();
        batch.push(&Record::mark(1));
        let mut longest_wait = Duration::ZERO;
        for _ in 0..12 {
            let wait = next_take(&mut batch, now);
            longest_wait = longest_wait.max(wait);
            now += wait;
            batch.on_append(*result, now);
        }
        assert_eq!(longest_wait, *max_wait, "{name}");
        now += next_take(&mut batch, now);
        batch.on_append(AppendResult::Done, now);
        batch.push(&Record::mark(2));
        let wait = next_take(&mut batch, now);
        assert_eq!(wait <= Duration::from_millis(5), *next_at_once, "{name}: {wait:?}");
    }
}
