//! Rendezvous hashing.
//!
//! Every daemon computes the same weight for a candidate and a subject, and the candidate with the
//! highest weight does the work. When a daemon joins or leaves, only its own subjects move.

use super::Member;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Order of hosts for one subject.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    seed: u64,
}

impl Order {
    /// Creates the order for a subject.
    pub fn new(subject: &str) -> Order {
        Order { seed: xxh3_64_with_seed(subject.as_bytes(), 0) }
    }

    /// Returns the weight of a host, equal on every daemon; the highest weight comes first.
    pub fn weight(self, host: &str) -> u64 {
        xxh3_64_with_seed(host.as_bytes(), self.seed)
    }
}

/// Returns the weight of a host for a subject.
pub fn weight(subject: &str, host: &str) -> u64 {
    Order::new(subject).weight(host)
}

/// Sorts candidates by weight for a subject, the highest first.
pub fn ranked(subject: &str, mut members: Vec<Member>) -> Vec<Member> {
    let order = Order::new(subject);
    members.sort_by_cached_key(|m| (Reverse(order.weight(&m.host)), m.host.clone()));
    members
}
