//! Runs a small system of separate processes and injects faults into it.
//!
//! Used by the demo, the load tool and the fault tests: [`process`] starts one program and sends it
//! signals, [`world`] starts a platform, targets and daemons for a declared fleet, [`caller`] is a
//! client of the daemons, [`fleets`] builds small declared fleets, [`relay`] is a TCP relay that can be
//! cut, and [`recovery`] measures the time from a fault to the next correct answer. The crate starts
//! processes and is therefore not part of the product.

pub mod caller;
pub mod demo;
pub mod fleets;
pub mod process;
pub mod recovery;
pub mod relay;
pub mod world;
