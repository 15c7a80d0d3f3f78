//! An address that refuses connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

/// A loopback address that refuses connections as long as this value lives.
///
/// The address is the local side of an open connection: nothing listens on it, and no other process
/// can bind it. The port of a closed listener is not enough, since the operating system may assign
/// it again.
pub struct ClosedPort {
    addr: SocketAddr,
    _listener: TcpListener,
    _connection: TcpStream,
}

impl ClosedPort {
    /// Reserves a loopback address.
    ///
    /// # Errors
    /// When the operating system assigns no port.
    pub fn start() -> io::Result<ClosedPort> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let connection = TcpStream::connect(listener.local_addr()?)?;
        let addr = connection.local_addr()?;
        Ok(ClosedPort { addr, _listener: listener, _connection: connection })
    }

    /// The address that refuses connections.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}
