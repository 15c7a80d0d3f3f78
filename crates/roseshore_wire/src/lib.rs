//! The messages that cross a process border.
//!
//! [`engine`], [`platform`] and [`service`] are the JSON bodies of the outside systems' published
//! protocols; [`admin`] and [`query`] those of the operators' interface; [`peer`] holds what our
//! daemons say to each other, coded with `postcard`.

pub mod admin;
pub mod engine;
pub mod frame;
pub mod peer;
pub mod platform;
pub mod query;
pub mod service;
