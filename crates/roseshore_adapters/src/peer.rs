//! Communication with other daemons.
//!
//! [`TcpPeers`] sends requests over one TCP connection per peer, [`serve`] answers them, and
//! [`UdpSocket`] carries heartbeats. Requests and replies carry a number, so that many threads can
//! share a connection and a late reply is never matched to another request.

mod client;
mod server;
mod udp;

pub use client::{PeerLimits, TcpPeers};
pub use server::{Server, serve};
pub use udp::UdpSocket;

use serde::{Deserialize, Serialize};

/// A request or reply with the number that matches them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Numbered<T> {
    /// Number of the request, unique within a connection.
    pub number: u64,
    /// The request or reply itself.
    pub body: T,
}
