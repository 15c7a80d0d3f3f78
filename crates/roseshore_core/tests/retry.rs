//! Retry budgets and waits between attempts.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore_core::prelude::*;
use roseshore_core::retry::{FIRST_WAIT, LONGEST_WAIT, RetryBudget, backoff};

/// Uses a fixed seed, so that every run tests the same cases.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

#[derive(Clone, Debug)]
enum Step {
    Success,
    Spend,
    Wait(u64),
    /// A call whose clock reading is older than the previous one.
    ClockBack(u64),
}

proptest! {
    #![proptest_config(config(500))]

    #[test]
    fn extra_attempts_are_bounded_by_successes_and_time(
        steps in prop::collection::vec(
            prop_oneof![
                1 => Just(Step::Success),
                3 => Just(Step::Spend),
                1 => (0_u64..2000).prop_map(Step::Wait),
                1 => (0_u64..2000).prop_map(Step::ClockBack),
            ],
            0..200,
        ),
        ratio in 0.0_f64..0.5,
        burst in 0.0_f64..10.0,
        min_rate in 0.0_f64..2.0,
    ) {
        let mut budget = RetryBudget::new(ratio, burst, min_rate);
        let t0 = Instant::now() + Duration::from_secs(1000);
        let (mut now, mut spent, mut earned) = (t0, 0.0, 0.0);
        for step in steps {
            match step {
                Step::Success => {
                    earned += 1.0;
                    budget.record_success();
                }
                Step::Spend => spent += f64::from(u8::from(budget.try_spend(now))),
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::ClockBack(ms) => {
                    let past = t0.max(now.checked_sub(Duration::from_millis(ms)).unwrap());
                    spent += f64::from(u8::from(budget.try_spend(past)));
                }
            }
            let passed = (now - t0).as_secs_f64();
            prop_assert!(spent <= burst + ratio * earned + min_rate * passed + 1e-6);
        }
    }

    #[test]
    fn waits_grow_and_stay_within_bounds(attempt in any::<u32>(), unit in 0.0_f64..1.0) {
        let wait = backoff(attempt, unit);
        prop_assert!(FIRST_WAIT / 2 <= wait && wait <= LONGEST_WAIT);
        prop_assert!(wait <= backoff(attempt.saturating_add(1), 1.0));
    }
}

#[test]
fn an_outage_ends_the_retries() {
    let mut budget = RetryBudget::new(0.1, 10.0, 0.0);
    let now = Instant::now();
    let allowed = (0..1000).filter(|_| budget.try_spend(now)).count();
    assert_eq!(allowed, 10);
    (0..10).for_each(|_| budget.record_success());
    assert!(budget.try_spend(now) && !budget.try_spend(now));
}

#[test]
fn a_quiet_service_may_retry_again() {
    let mut budget = RetryBudget::new(0.1, 1.0, 1.0);
    let now = Instant::now();
    assert!(budget.try_spend(now) && !budget.try_spend(now));
    assert!(budget.try_spend(now + Duration::from_secs(1)));
}
