//! Tests of when refused callers should try again.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::Shortage;
use roseshore_core::prelude::*;

/// The moments of refusals, ms, and after what time the last caller should try again.
struct Case {
    name: &'static str,
    at_ms: &'static [u64],
    back_ms: u64,
}

#[test]
fn callers_come_back_later_the_longer_capacity_has_been_short() {
    let cases = [
        Case { name: "the first refusal", at_ms: &[0], back_ms: 2_400 },
        Case { name: "one second of refusals", at_ms: &[0, 500, 1_000], back_ms: 3_400 },
        Case { name: "a long shortage", at_ms: &[0, 1_900, 3_800, 5_000], back_ms: 7_400 },
        Case { name: "the longest time", at_ms: &[0, 2_000, 4_000, 6_000, 8_000], back_ms: 9_000 },
        Case { name: "another shortage", at_ms: &[0, 1_000, 3_100], back_ms: 2_400 },
    ];
    for case in cases {
        let start = Instant::now();
        let mut shortage = Shortage::default();
        let refused = |at: &u64| shortage.record_refusal(start + Duration::from_millis(*at));
        let back = case.at_ms.iter().map(refused).last();
        assert_eq!(back, Some(Duration::from_millis(case.back_ms)), "{}", case.name);
    }
}

/// Callers who try again once, at a service that lacks a quarter of its capacity for `short_s`
/// seconds.
struct Load {
    short_s: f64,
    /// Share of the returning callers that are refused again if each is told 2.4 s.
    before: f64,
    /// The same with times that grow with the shortage.
    after: f64,
}

/// Simulates fifty callers a second, of whom 37 can be served during the shortage. Callers are
/// served in the order in which they come, and each refused one comes back once. Returns the share
/// of those who came back that were refused again.
fn refused_again(short_s: f64, mut back: impl FnMut(Instant) -> Duration) -> f64 {
    let mut random = SmallRng::seed_from_u64(7);
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut returning: Vec<u64> = Vec::new();
    let (mut came, mut again) = (0.0_f64, 0.0);
    let mut capacity = 0.0;
    for ms in 0..120_000_u64 {
        let short = (ms as f64) < short_s * 1000.0;
        capacity = f64::min(capacity + if short { 0.037 } else { 0.2 }, 3.0);
        let due = returning.iter().filter(|due| **due == ms).count();
        let fresh = usize::from(random.random::<f64>() < 0.05);
        for caller in 0..due + fresh {
            came += f64::from(u8::from(caller < due));
            if capacity >= 1.0 {
                capacity -= 1.0;
            } else if caller < due {
                again += 1.0;
            } else {
                let wait = back(at(ms));
                let spread = 0.75 + 0.5 * random.random::<f64>();
                returning.push(ms + wait.mul_f64(spread).as_millis() as u64);
            }
        }
    }
    again / came.max(1.0)
}

#[test]
fn fewer_returning_callers_are_refused_again() {
    let cases = [
        Load { short_s: 4.0, before: 0.11, after: 0.13 },
        Load { short_s: 10.0, before: 0.35, after: 0.15 },
        Load { short_s: 20.0, before: 0.42, after: 0.23 },
    ];
    for case in cases {
        let mut shortage = Shortage::default();
        let before = refused_again(case.short_s, |_| Duration::from_millis(2_400));
        let after = refused_again(case.short_s, |now| shortage.record_refusal(now));
        println!("{} s: {before:.2} before, {after:.2} after", case.short_s);
        assert!((before - case.before).abs() < 0.02, "{} s: {before:.2}", case.short_s);
        assert!((after - case.after).abs() < 0.02, "{} s: {after:.2}", case.short_s);
    }
}
