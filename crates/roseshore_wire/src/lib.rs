//! Messages between processes.
//!
//! [`engine`], [`platform`] and [`service`] are the JSON bodies of the published protocols of
//! external systems. [`admin`] and [`query`] are the JSON bodies of the operators' API. [`peer`]
//! has the messages between daemons, which [`frame`] encodes with `postcard`. [`http`] says which bytes
//! are an HTTP message at all.

pub mod admin;
pub mod engine;
pub mod frame;
pub mod http;
pub mod peer;
pub mod platform;
pub mod query;
pub mod service;
