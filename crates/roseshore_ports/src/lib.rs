//! The traits between the decision logic, its drivers and external systems.
//!
//! [`outside`] has the traits for external systems, implemented by adapters over sockets and by
//! in-memory fakes. [`inside`] has the traits between the components of the daemon, so that each
//! can be replaced or tested alone. [`clock`] is the source of time, and [`entry`] is the interface
//! to the platform of an entry host.

pub mod clock;
pub mod entry;
pub mod inside;
pub mod outside;
