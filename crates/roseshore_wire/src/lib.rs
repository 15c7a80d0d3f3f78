//! Messages between processes.
//!
//! [`engine`], [`platform`] and [`service`] are the JSON bodies of the published protocols of
//! external systems. [`admin`] and [`query`] are the JSON bodies of the operators' API. [`peer`]
//! has the messages between daemons, which [`frame`] encodes with `postcard`.

pub mod admin;
pub mod engine;
pub mod frame;
pub mod peer;
pub mod platform;
pub mod query;
pub mod service;
