//! Datagrams over UDP.

use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, Datagrams, ReceivedDatagram};
use roseshore_wire::frame::{self, MAX_DATAGRAM};
use roseshore_wire::peer::Datagram;
use std::io;
use std::net::{self, SocketAddr};

/// The shortest wait the socket is given; zero would mean for ever.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// A socket that sends and receives [`Datagram`]s.
pub struct UdpSocket {
    socket: net::UdpSocket,
    wait: Mutex<Duration>,
}

impl UdpSocket {
    /// Listens on `addr`.
    ///
    /// # Errors
    /// When the address cannot be had.
    pub fn bind(addr: SocketAddr) -> io::Result<UdpSocket> {
        let socket = net::UdpSocket::bind(addr)?;
        Ok(UdpSocket { socket, wait: Mutex::new(Duration::ZERO) })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// When the socket does not say.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn set_wait(&self, limit: Duration) -> io::Result<()> {
        let mut wait = self.wait.lock();
        let limit = limit.max(SHORTEST_WAIT);
        if *wait != limit {
            self.socket.set_read_timeout(Some(limit))?;
            *wait = limit;
        }
        Ok(())
    }
}

impl Datagrams for UdpSocket {
    fn send(&self, to: SocketAddr, datagram: &Datagram) -> CallResult<()> {
        let unreached = |e: &dyn std::fmt::Display| CallError::Unreached(e.to_string());
        let bytes = frame::encode(datagram, MAX_DATAGRAM).map_err(|e| unreached(&e))?;
        self.socket.send_to(&bytes, to).map_err(|e| unreached(&e))?;
        metrics::counter!("roseshore_datagram_bytes_total", "way" => "out")
            .increment(bytes.len() as u64);
        Ok(())
    }

    fn receive(&self, limit: Duration) -> Option<ReceivedDatagram> {
        self.set_wait(limit).ok()?;
        let mut bytes = [0; MAX_DATAGRAM + 1];
        let (len, from) = self.socket.recv_from(&mut bytes).ok()?;
        metrics::counter!("roseshore_datagram_bytes_total", "way" => "in").increment(len as u64);
        if len <= MAX_DATAGRAM
            && let Ok(datagram) = frame::decode(&bytes[..len])
        {
            return Some(ReceivedDatagram { from, datagram });
        }
        metrics::counter!("roseshore_datagrams_ignored_total", "why" => "garbled").increment(1);
        None
    }
}
