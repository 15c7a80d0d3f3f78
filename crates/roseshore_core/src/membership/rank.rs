//! Rendezvous hashing.
//!
//! Every daemon gives each candidate a weight for a subject and the heaviest does the work. A join
//! or a leave moves only the subjects of the one that came or went.

use super::Member;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The order of hosts for one subject.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    seed: u64,
}

impl Order {
    /// The order for a subject.
    pub fn new(subject: &str) -> Order {
        Order { seed: xxh3_64_with_seed(subject.as_bytes(), 0) }
    }

    /// The weight of a host; equal on every daemon, the heaviest is first.
    pub fn weight(self, host: &str) -> u64 {
        xxh3_64_with_seed(host.as_bytes(), self.seed)
    }
}

/// The weight of a host for a subject.
pub fn weight(subject: &str, host: &str) -> u64 {
    Order::new(subject).weight(host)
}

/// Candidates in order of weight, the heaviest first.
pub fn ranked(subject: &str, mut members: Vec<Member>) -> Vec<Member> {
    let order = Order::new(subject);
    members.sort_by_cached_key(|m| (Reverse(order.weight(&m.host)), m.host.clone()));
    members
}
