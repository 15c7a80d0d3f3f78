//! Sends and receives [`Datagram`]s over UDP.

use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, Datagrams, ReceivedDatagram};
use roseshore_wire::frame::{self, MAX_DATAGRAM};
use roseshore_wire::peer::Datagram;
use std::io;
use std::net::{self, SocketAddr};

/// Lower bound of the socket's read timeout, since the socket does not accept a timeout of zero.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// A socket that sends and receives [`Datagram`]s.
pub struct UdpSocket {
    socket: net::UdpSocket,
    read_timeout: Mutex<Duration>,
}

impl UdpSocket {
    /// Binds a socket to `addr`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn bind(addr: SocketAddr) -> io::Result<UdpSocket> {
        let socket = net::UdpSocket::bind(addr)?;
        Ok(UdpSocket { socket, read_timeout: Mutex::new(Duration::ZERO) })
    }

    /// The address to which the socket is bound.
    ///
    /// # Errors
    /// If the address cannot be read.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn set_read_timeout(&self, limit: Duration) -> io::Result<()> {
        let mut read_timeout = self.read_timeout.lock();
        let limit = limit.max(MIN_READ_TIMEOUT);
        if *read_timeout != limit {
            self.socket.set_read_timeout(Some(limit))?;
            *read_timeout = limit;
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
        self.set_read_timeout(limit).ok()?;
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
