//! Tests of how many sends may be retries.

use roseshore_core::gateway::hashes::target_hash;
use roseshore_core::gateway::quota::pending_retries::PendingCopy;
use roseshore_core::gateway::quota::retry_budget::{Borrower, Pool};
use roseshore_core::gateway::{PendingRetries, RetryBudget};
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);
/// Time for which retries count: the window, and the time until a lent one arrives.
const COUNTED: Duration = Duration::from_millis(10_200);

/// The budget of a host that has run for long and lends from a pool of its own.
fn budget(ratio: f64, slack: f64, hosts: usize, now: Instant) -> RetryBudget {
    let started = now.checked_sub(COUNTED).expect("the clock began before");
    let mut budget = RetryBudget::new(ratio, slack, WINDOW, started);
    budget.set_pool(hosts, Some(alone(started)), now);
    budget
}

/// The pool of a host that has been its own only lender since then.
fn alone(own_since: Instant) -> Pool {
    Pool { own_since, members: Vec::new(), lenders: 1 }
}

/// Makes as many retries as the budget allows.
fn spend(budget: &mut RetryBudget, now: Instant) -> usize {
    (0..1000).take_while(|_| budget.try_retry(now)).count()
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn hosts_that_all_retry_at_once_stay_within_the_bound() {
    const HOSTS: usize = 8;
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 200.0;
    let start = Instant::now();
    let long_ago = start.checked_sub(COUNTED).expect("the clock began before");
    let mut hosts: Vec<RetryBudget> =
        (0..HOSTS).map(|_| budget(RATIO, SLACK, HOSTS, start)).collect();
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for step in 0..90 {
        let now = start + ms(step * 100);
        for host in &mut hosts {
            host.set_pool(HOSTS, Some(alone(long_ago)), now);
            host.record_request(now);
            requests += 1;
            // Far more attempts than the bound permits.
            retries += (0..5).filter(|_| host.try_retry(now)).count() as u32;
        }
    }
    let bound = RATIO * f64::from(requests) + SLACK;
    assert!(f64::from(retries) <= bound, "{retries} of {bound}");
    assert!(f64::from(retries) >= 0.5 * bound, "{retries} of {bound}: most of it can be used");
}

#[test]
fn counts_expire_after_the_window() {
    let start = Instant::now();
    let long_ago = start.checked_sub(COUNTED).expect("the clock began before");
    let mut host = budget(0.0, 10.0, 1, start);
    assert_eq!(spend(&mut host, start), 8);
    for step in 1..=20 {
        let now = start + ms(500 * step);
        host.set_pool(1, Some(alone(long_ago)), now);
        assert!(!host.try_retry(now), "after {:?}", now - start);
    }
    let later = start + ms(10_300);
    host.set_pool(1, Some(alone(long_ago)), later);
    assert_eq!(spend(&mut host, later), 8);
}

#[test]
fn a_host_that_hears_from_no_other_keeps_to_its_share() {
    let now = Instant::now();
    let mut host = budget(0.0, 160.0, 8, now);
    assert_eq!(spend(&mut host, now), 16);
    // Its own requests are the only ones it knows of, and still it gets no more than its share.
    let mut busy = budget(0.0, 160.0, 8, now);
    (0..50).for_each(|_| busy.record_request(now));
    assert_eq!(spend(&mut busy, now), 16);
}

/// Guards against equal shares of the budget. Sixty-four hosts, some with five times the requests
/// of others, lose streams in proportion to their requests at the same moment. Of 384 streams only
/// 272 could continue if all hosts had the same share; with shares by requests all of them can.
#[test]
fn a_host_with_more_requests_may_retry_more() {
    const HOSTS: u32 = 64;
    let now = Instant::now();
    let requests = |host: u32| if host.is_multiple_of(4) { 75 } else { 15 };
    let all: u32 = (0..HOSTS).map(requests).sum();
    let (mut wanted, mut retried) = (0, 0);
    for host in 0..HOSTS {
        let own = requests(host);
        let mut budget = budget(0.2, 312.0, HOSTS as usize, now);
        (0..own).for_each(|_| budget.record_request(now));
        let lost = own / 4 - own / 20;
        wanted += lost;
        retried += (0..lost).filter(|_| budget.try_retry(now)).count() as u32;
    }
    let bound = 0.2 * f64::from(all) + 312.0;
    assert!(f64::from(retried) <= 0.8 * bound, "{retried} of {bound}");
    assert_eq!((wanted, retried), (384, 384));
}

/// Retries that a lender of a budget of 100 has left, and what it lends.
struct Loan {
    name: &'static str,
    /// Retries that it made itself before.
    made: usize,
    /// Retries that it has borrowed from others.
    borrowed: u16,
    borrower: Borrower,
    wanted: u16,
    granted: u16,
}

#[test]
fn a_lender_keeps_its_own_part_and_half_of_the_pool_from_other_lenders() {
    let case = Loan {
        name: "all",
        made: 0,
        borrowed: 0,
        borrower: Borrower::Near,
        wanted: 100,
        granted: 75,
    };
    let cases = [
        Loan { name: "few", wanted: 5, granted: 5, ..case },
        Loan { name: "other lender", borrower: Borrower::NearLender, granted: 37, ..case },
        Loan { name: "other data centre", borrower: Borrower::Remote, granted: 37, ..case },
        Loan { name: "some made", made: 50, granted: 34, ..case },
        Loan { name: "all made", made: 100, granted: 0, ..case },
        Loan { name: "borrowed passed on", made: 100, borrowed: 7, granted: 7, ..case },
        Loan {
            name: "borrowed not passed to lenders",
            made: 100,
            borrowed: 7,
            borrower: Borrower::Remote,
            granted: 0,
            ..case
        },
        case,
    ];
    let now = Instant::now();
    for case in cases {
        let mut lender = budget(0.0, 100.0, 1, now);
        let made = (0..case.made).filter(|_| lender.try_retry(now)).count();
        lender.borrow(case.borrowed, now);
        assert_eq!(lender.lend(case.wanted, case.borrower, now), case.granted, "{}", case.name);
        // What it lends counts as its own.
        let passed_on = if case.borrower == Borrower::Near { case.borrowed } else { 0 };
        let counted = made + usize::from(case.granted - passed_on.min(case.granted));
        let usage = lender.usage(now);
        assert_eq!(usage.made + usage.lent, counted, "{}", case.name);
    }
}

#[test]
fn borrowed_retries_are_used_last_and_expire() {
    let now = Instant::now();
    let mut host = budget(0.0, 10.0, 1, now);
    host.borrow(3, now);
    assert_eq!(spend(&mut host, now), 8 + 3);
    assert_eq!(host.usage(now).made, 8, "borrowed retries are counted by their lender");
    host.borrow(3, now);
    assert!(host.has_retry(now));
    assert!(!host.has_retry(now + ms(300)), "they expire");
}

/// How long a host has held shares, and how many retries of a budget of 1,000 it may make then.
struct Held {
    name: &'static str,
    /// Time since the host started.
    running: Duration,
    /// Time since it became the lender of its own pool, and of another host of two.
    lending: Option<Duration>,
    /// Time since its pool was last confirmed.
    confirmed: Duration,
    made: usize,
}

#[test]
fn a_share_that_changes_hands_is_not_used_twice_in_a_window() {
    let long = Duration::from_secs(30);
    let case =
        Held { name: "all", running: long, lending: Some(long), confirmed: ms(0), made: 798 };
    let cases = [
        // Of 420, a tenth is local; of 840, nine tenths are pooled.
        Held { name: "no lender", lending: None, made: 42, ..case },
        Held { name: "a lender for half a window", lending: Some(COUNTED / 2), made: 96, ..case },
        Held { name: "a lender for a window", lending: Some(COUNTED), ..case },
        Held { name: "no pool was confirmed", confirmed: ms(1100), made: 42, ..case },
        Held { name: "started", running: ms(0), lending: Some(ms(0)), made: 19, ..case },
        Held {
            name: "started half a window ago",
            running: COUNTED / 2 + ms(1),
            lending: Some(COUNTED / 2 + ms(1)),
            made: 57,
            ..case
        },
        case,
    ];
    let begun = Instant::now();
    let now = begun + long;
    for case in cases {
        let ago = |time: Duration| begun + long.saturating_sub(time);
        let pool = |lending| {
            let since = ago(lending);
            Pool { own_since: since, members: vec![(since, 0)], lenders: 1 }
        };
        let mut host = RetryBudget::new(0.0, 1000.0, WINDOW, ago(case.running));
        host.set_pool(2, case.lending.map(pool), ago(case.confirmed));
        assert_eq!(spend(&mut host, now), case.made, "{}", case.name);
    }
}

/// Guards against a reload of the settings that forgets the retries of the window.
#[test]
fn a_changed_bound_still_counts_what_was_retried() {
    let now = Instant::now();
    let mut host = budget(0.0, 10.0, 1, now);
    assert_eq!(spend(&mut host, now), 8);
    host.set_bound(0.0, 20.0, WINDOW);
    assert_eq!(spend(&mut host, now), 16 - 8);
    host.set_bound(0.0, 5.0, WINDOW);
    assert_eq!(spend(&mut host, now), 0);
}

/// Retries to targets that are stopped, and how many may be made when the window has passed.
struct Stopped {
    name: &'static str,
    /// For how long the targets are stopped.
    lasts: Duration,
    /// Retries that the host borrows for it; it makes them before its own share counts.
    borrowed: u16,
    /// Whether the first retries still count then.
    counts: bool,
}

const STOPPED: [Stopped; 4] = [
    Stopped { name: "not stopped", lasts: ms(0), borrowed: 0, counts: false },
    Stopped { name: "stopped for a moment", lasts: ms(1300), borrowed: 0, counts: true },
    Stopped { name: "borrowed, not stopped", lasts: ms(0), borrowed: 40, counts: false },
    Stopped { name: "borrowed, stopped", lasts: ms(1300), borrowed: 40, counts: true },
];

/// Makes retries whose targets read them once they go on, and reports to the
/// budget like a host until the end. Returns how many were made at the start.
fn send_to_stopped(host: &mut RetryBudget, case: &Stopped, start: Instant, end: Instant) -> usize {
    let mut pending = PendingRetries::default();
    let made = spend(host, start);
    for number in 0..made {
        let copy = PendingCopy {
            connection: number,
            target: "t".to_owned(),
            incarnation: target_hash("t", 1),
            sent: start,
        };
        pending.record((number, "request"), &"models".to_owned(), vec![copy], start);
    }
    let steps = (end - start).as_millis() as u64 / 100;
    for now in (0..steps).map(|step| start + ms(100 * step)) {
        for (_, retry) in pending.postpone(|_| now >= start + case.lasts, now) {
            host.postpone(retry, now);
        }
    }
    assert_eq!(pending.take_late().len(), if case.counts { made } else { 0 }, "{}", case.name);
    made
}

/// Guards against forgetting retries before stopped targets have taken them.
#[test]
fn retries_that_arrive_late_stay_within_the_bound() {
    const SLACK: f64 = 200.0;
    for case in STOPPED {
        let start = Instant::now();
        let long_ago = start.checked_sub(COUNTED).expect("an earlier time");
        let own_slack = if case.borrowed > 0 { 0.0 } else { SLACK };
        let mut host = budget(0.0, own_slack, 1, start);
        host.borrow(case.borrowed, start);
        let again = start + COUNTED + ms(1);
        assert!(again < start + ms(1300) + WINDOW, "late ones arrive within one window");
        let first = send_to_stopped(&mut host, &case, start, again);
        assert!(first >= 40, "{}: {first}", case.name);
        host.set_pool(1, Some(alone(long_ago)), again);
        host.borrow(case.borrowed, again);
        let second = spend(&mut host, again);
        assert_eq!(second, if case.counts { 0 } else { first }, "{}", case.name);
        if case.counts {
            let last = start + case.lasts + COUNTED + ms(101);
            host.set_pool(1, Some(alone(long_ago)), last);
            host.borrow(case.borrowed, last);
            assert_eq!(spend(&mut host, last), first, "{}: a window later", case.name);
        }
    }
}
