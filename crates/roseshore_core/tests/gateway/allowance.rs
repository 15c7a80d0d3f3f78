//! How many sends may be repeated.

use roseshore_core::gateway::Allowance;
use roseshore_core::gateway::allowance::Counted;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn hosts_that_all_repeat_at_once_stay_within_the_bound() {
    const HOSTS: usize = 8;
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 200.0;
    let start = Instant::now();
    let mut hosts: Vec<Allowance> =
        (0..HOSTS).map(|_| Allowance::new(RATIO, SLACK, WINDOW)).collect();
    let (mut requests, mut repeats) = (0_u32, 0_u32);
    for step in 0..90 {
        let now = start + ms(step * 100);
        // Each hears of the others with every fourth step.
        if step % 4 == 0 {
            let all: Vec<Counted> = hosts.iter_mut().map(|h| h.counted(now)).collect();
            for (i, host) in hosts.iter_mut().enumerate() {
                let others = all.iter().enumerate().filter(|(j, _)| *j != i);
                let sum = others.fold(Counted::default(), |sum, (_, c)| Counted {
                    requests: sum.requests + c.requests,
                    repeats: sum.repeats + c.repeats,
                });
                host.others(sum, HOSTS);
            }
        }
        for host in &mut hosts {
            host.request(now);
            requests += 1;
            // Far more wants than the bound.
            repeats += (0..5).filter(|_| host.repeat(now)).count() as u32;
        }
    }
    let bound = RATIO * f64::from(requests) + SLACK;
    assert!(f64::from(repeats) <= bound, "{repeats} of {bound}");
    assert!(f64::from(repeats) >= 0.5 * bound, "{repeats} of {bound}: most of it can be used");
}

#[test]
fn what_was_counted_is_forgotten_after_the_window() {
    let start = Instant::now();
    let mut host = Allowance::new(0.0, 10.0, WINDOW);
    let spent = (0..100).filter(|_| host.repeat(start)).count();
    assert_eq!(spent, 8);
    assert!(!host.repeat(start + ms(9_000)));
    assert!(host.repeat(start + ms(10_500)));
}

#[test]
fn a_host_that_hears_nobody_keeps_to_its_part() {
    let now = Instant::now();
    let mut host = Allowance::new(0.0, 160.0, WINDOW);
    host.others(Counted::default(), 8);
    let spent = (0..100).filter(|_| host.repeat(now)).count();
    assert_eq!(spent, 16);
}
