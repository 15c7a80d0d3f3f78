//! Tests of whom a host asks for retries, and when.

use roseshore_core::gateway::peers::{RetryLoan, RetryLoanRequest};
use roseshore_core::gateway::quota::retry_budget::{Borrower, Pool};
use roseshore_core::gateway::{RetryBudget, RetryLoans};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SERVICE: u32 = 7;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

/// What a host with three lenders does at one moment.
struct Step {
    name: &'static str,
    at: u64,
    /// A reply that arrives: the number of the request, and the retries granted.
    reply: Option<(u64, u16)>,
    /// Sends that wait for a retry afterwards.
    waiting: u16,
    /// The lenders that are asked, with the numbers of the requests and the retries wanted.
    asked: &'static [(u8, u64, u16)],
}

#[test]
fn lenders_are_asked_until_there_is_enough() {
    let step = Step { name: "", at: 0, reply: None, waiting: 6, asked: &[] };
    let steps = [
        Step { name: "all at once", asked: &[(1, 1, 2), (2, 2, 2), (3, 3, 2)], ..step },
        Step { name: "in progress", at: 2, ..step },
        Step { name: "granted", at: 3, reply: Some((1, 2)), waiting: 4, ..step },
        Step { name: "none granted", at: 4, reply: Some((2, 0)), waiting: 4, ..step },
        Step { name: "repeated", at: 10, waiting: 4, asked: &[(3, 3, 2)], ..step },
        Step {
            name: "next round, silent lender",
            at: 40,
            waiting: 4,
            asked: &[(2, 4, 2), (1, 5, 1)],
            ..step
        },
        Step { name: "late reply", at: 41, reply: Some((3, 2)), waiting: 4, ..step },
        Step {
            name: "repeated while no one waits",
            at: 400,
            waiting: 0,
            asked: &[(2, 4, 2), (1, 5, 1)],
            ..step
        },
    ];
    let start = Instant::now();
    let lenders = [addr(1), addr(2), addr(3)];
    let mut loans = RetryLoans::new(0);
    for step in steps {
        let now = start + Duration::from_millis(step.at);
        if let Some((number, granted)) = step.reply {
            let in_time = loans.apply(&RetryLoan { number, service: SERVICE, granted });
            assert_eq!(in_time, step.name != "late reply", "{}", step.name);
        }
        let asked = loans.requests(SERVICE, step.waiting, &lenders, now);
        let request = |(lender, number, wanted): &(u8, u64, u16)| {
            (addr(*lender), RetryLoanRequest { number: *number, service: SERVICE, wanted: *wanted })
        };
        assert_eq!(asked, step.asked.iter().map(request).collect::<Vec<_>>(), "{}", step.name);
    }
}

#[test]
fn a_repeated_request_gets_the_earlier_reply() {
    let now = Instant::now();
    let window = Duration::from_secs(10);
    let started = now.checked_sub(2 * window).expect("the clock began before");
    let mut budget = RetryBudget::new(0.0, 100.0, window, started);
    budget.set_pool(1, Some(Pool { own_since: started, members: Vec::new(), lenders: 1 }), now);
    let mut lender = RetryLoans::new(0);
    let mut granted = |from: u8, number: u64| {
        let request = RetryLoanRequest { number, service: SERVICE, wanted: 40 };
        lender.answer(addr(from), &request, Borrower::Near, Some(&mut budget), now).granted
    };
    let answers = [(1, 1), (1, 1), (2, 1), (2, 2), (1, 1)].map(|(from, n)| granted(from, n));
    assert_eq!(answers, [40, 40, 35, 0, 40]);
    assert_eq!(budget.usage(now).lent, 75);
    let unknown = RetryLoanRequest { number: 3, service: SERVICE + 1, wanted: 40 };
    let loan = lender.answer(addr(1), &unknown, Borrower::Near, None, now);
    assert_eq!(loan.granted, 0, "a service that is not served here");
    assert!(lender.requests(SERVICE + 1, 0, &[addr(3)], now).is_empty(), "none is asked for it");
}
