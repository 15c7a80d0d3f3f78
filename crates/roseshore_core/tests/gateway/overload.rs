//! Hosts that get more new callers than they have time for, simulated in virtual time.

use roseshore_core::gateway::Overload;
use roseshore_core::prelude::*;
use std::collections::VecDeque;

/// Callers that arrive at a host, each with one request.
struct Case {
    name: &'static str,
    /// Processor time that a request takes.
    work: Duration,
    /// Callers per second in the quiet seconds, and in those of the rush.
    quiet: u32,
    rush: u32,
    /// Bounds on the callers that are turned away in the rush and after it.
    turned_away: (u32, u32),
}

const QUIET: Duration = Duration::from_secs(4);
const RUSH: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(4);
/// Time after the start of the rush from which callers have to be served as before.
const CONTACT: Duration = Duration::from_secs(3);
/// Time within which a request that was read has to be served.
const IN_TIME: Duration = Duration::from_millis(500);

struct Outcome {
    /// Callers that were turned away during the rush, and after it.
    turned_away: (u32, u32),
    /// Requests read from `CONTACT` on during the rush, and those served in time among them.
    read: u32,
    in_time: u32,
    /// Longest time without a caller that was taken.
    longest_gap: Duration,
}

/// Plays a host that serves requests one after the other.
fn play(case: &Case, limited: bool) -> Outcome {
    let start = Instant::now();
    let mut overload = Overload::default();
    let mut outcome =
        Outcome { turned_away: (0, 0), read: 0, in_time: 0, longest_gap: Duration::ZERO };
    let mut queue: VecDeque<Instant> = VecDeque::new();
    let (mut now, mut next, mut taken) = (start, start, start);
    while now < start + QUIET + RUSH + AFTER {
        let since = now - start;
        let in_rush = since >= QUIET && since < QUIET + RUSH;
        let began = now;
        while next <= now {
            let rush = next - start >= QUIET && next - start < QUIET + RUSH;
            next += Duration::from_secs(1) / if rush { case.rush } else { case.quiet };
            if !limited || overload.take_caller(now) {
                outcome.longest_gap = outcome.longest_gap.max(now - taken);
                taken = now;
                queue.push_back(now);
            } else if in_rush {
                outcome.turned_away.0 += 1;
            } else {
                outcome.turned_away.1 += 1;
            }
        }
        let Some(arrived) = queue.pop_front() else {
            now = next;
            overload.record(Duration::ZERO, now - began);
            continue;
        };
        now += case.work;
        overload.record(case.work, Duration::ZERO);
        if in_rush && arrived >= start + QUIET + CONTACT {
            outcome.read += 1;
            outcome.in_time += u32::from(now - arrived <= IN_TIME);
        }
    }
    outcome
}

#[test]
fn a_host_that_gets_most_new_callers_serves_those_that_it_takes() {
    let work = Duration::from_millis;
    let cases = [
        Case { name: "time enough", work: work(10), quiet: 20, rush: 60, turned_away: (0, 0) },
        Case { name: "four times", work: work(10), quiet: 30, rush: 400, turned_away: (3000, 200) },
        Case { name: "long requests", work: work(40), quiet: 10, rush: 90, turned_away: (720, 40) },
    ];
    for case in cases {
        let before = play(&case, false);
        let after = play(&case, true);
        let share = |o: &Outcome| f64::from(o.in_time) / f64::from(o.read.max(1));
        println!(
            "{}: in time {:.2} before, {:.2} after; turned away {:?}; longest gap {:?}",
            case.name,
            share(&before),
            share(&after),
            after.turned_away,
            after.longest_gap
        );
        assert!(share(&after) >= 0.75, "{}: {:.2} in time", case.name, share(&after));
        assert!(after.turned_away.0 <= case.turned_away.0, "{}", case.name);
        assert!(after.turned_away.1 <= case.turned_away.1, "{}", case.name);
        assert!(after.longest_gap < CONTACT, "{}: {:?}", case.name, after.longest_gap);
    }
}

#[test]
fn a_host_that_was_paused_takes_callers_at_once() {
    let millis = Duration::from_millis;
    for pause in [millis(600), millis(2_000), millis(60_000)] {
        let mut overload = Overload::default();
        let start = Instant::now();
        for _ in 0..100 {
            overload.record(millis(1), millis(9));
        }
        overload.record(pause, Duration::ZERO);
        let now = start + pause;
        for caller in 0..10 {
            assert!(overload.take_caller(now), "caller {caller} after a pause of {pause:?}");
        }
    }
}
