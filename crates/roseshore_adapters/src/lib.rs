//! Sockets behind the traits of `roseshore_ports::outside`.

pub mod call;
pub mod platform;
pub mod service;
