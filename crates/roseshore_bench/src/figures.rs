//! Compares requests through a daemon with direct requests to targets and with the throughput bound.
//!
//! Compared paths are measured alternately in the same run, so that other load on the machine
//! affects them equally.

pub mod bound;
pub mod direct;
pub mod rounds;
