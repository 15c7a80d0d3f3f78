//! Ratios between the way through a daemon and the way without it, and against the bound.
//!
//! Everything that is compared is measured in the same run and in turns, so that what else the
//! machine does hits both sides alike.

pub mod bound;
pub mod direct;
pub mod rounds;
