//! The links to the other daemons.
//!
//! [`TcpPeers`] asks over one connection per pair, [`serve`] answers, [`UdpSocket`] carries
//! heartbeats. Questions and replies carry a number, so that any number of threads share a
//! connection and a late reply never reaches another question.

mod client;
mod server;
mod udp;

pub use client::{Limits, TcpPeers};
pub use server::{Server, serve};
pub use udp::UdpSocket;

use serde::{Deserialize, Serialize};

/// A message with the number of its question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Numbered<T> {
    /// The number, unique on one connection.
    pub number: u64,
    /// The question or reply.
    pub body: T,
}
