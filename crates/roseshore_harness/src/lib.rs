//! A small system of separate processes, started and broken.
//!
//! For the demo, the load tool and tests of failures: [`process`] starts one program and sends it
//! signals, [`world`] starts a platform, targets and daemons for a declared fleet, [`caller`] speaks to
//! daemons as callers do, [`fleets`] has small declared fleets, and [`recovery`] measures the time
//! from a fault to the next right answer. It starts processes, and so is no part of the product.

pub mod caller;
pub mod demo;
pub mod fleets;
pub mod process;
pub mod recovery;
pub mod relay;
pub mod world;
