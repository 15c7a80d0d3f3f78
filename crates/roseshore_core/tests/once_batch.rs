//! When records are appended, after the log was over its rate and after it was out.

use roseshore_core::once::batch::{AppendResult, Batch};
use roseshore_core::once::record::Record;
use std::time::{Duration, Instant};

struct Case {
    name: &'static str,
    how: AppendResult,
    /// The longest time from one failed append to the next.
    retry: Duration,
    /// Whether the next record after the first taken one goes at once.
    prompt: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "over the rate",
        how: AppendResult::RateLimited,
        retry: Duration::from_millis(500),
        prompt: false,
    },
    Case {
        name: "out",
        how: AppendResult::Unreachable,
        retry: Duration::from_millis(250),
        prompt: true,
    },
    Case {
        name: "replies lost",
        how: AppendResult::Unconfirmed,
        retry: Duration::from_millis(250),
        prompt: true,
    },
];

/// When records are next taken, from `from` on.
fn next(batch: &mut Batch, from: Instant) -> Duration {
    (0..1000)
        .map(Duration::from_millis)
        .find(|&wait| !batch.take(from + wait).is_empty())
        .expect("records are taken within a second")
}

#[test]
fn an_outage_leaves_no_pace_behind() {
    for Case { name, how, retry, prompt } in CASES {
        let mut batch = Batch::new(8);
        let mut now = Instant::now();
        batch.push(&Record::mark(1));
        let mut longest = Duration::ZERO;
        for _ in 0..12 {
            let wait = next(&mut batch, now);
            longest = longest.max(wait);
            now += wait;
            batch.on_append(*how, now);
        }
        assert_eq!(longest, *retry, "{name}");
        now += next(&mut batch, now);
        batch.on_append(AppendResult::Done, now);
        batch.push(&Record::mark(2));
        let wait = next(&mut batch, now);
        assert_eq!(wait <= Duration::from_millis(5), *prompt, "{name}: {wait:?}");
    }
}
