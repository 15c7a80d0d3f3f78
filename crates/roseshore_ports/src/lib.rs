//! The traits at the border between decisions, their drivers and the outside.
//!
//! [`outside`] is what the daemon needs of the world; adapters over sockets and fakes in memory
//! implement it. [`inside`] is what the parts of the daemon need of each other, so that each can
//! be replaced or tested alone. [`clock`] is where time comes from, and [`entry`] is the border towards the platform of an entry host.

pub mod clock;
pub mod entry;
pub mod inside;
pub mod outside;
