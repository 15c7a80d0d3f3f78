//! Rendezvous hashing.
//!
//! Every daemon gives each candidate a weight for a subject and the heaviest does the work. A join
//! or a leave moves only the subjects of the one that came or went.

use super::Member;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a host for a subject; equal on every daemon.
pub fn weight(subject: &str, host: &str) -> u64 {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    xxh3_64_with_seed(host.as_bytes(), seed)
}

/// Candidates in order of weight, the heaviest first.
pub fn ranked(subject: &str, mut members: Vec<Member>) -> Vec<Member> {
    members.sort_by_cached_key(|m| (std::cmp::Reverse(weight(subject, &m.host)), m.host.clone()));
    members
}
