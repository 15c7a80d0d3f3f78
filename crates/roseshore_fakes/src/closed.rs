//! A system that does not listen.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

/// An address on which connections are refused for as long as this lives.
///
/// It is that of a connection's near side: nobody listens there, and nobody else can begin to. The
/// port of a listener that was closed would not do, since the system may give it out again.
pub struct Closed {
    addr: SocketAddr,
    _listener: TcpListener,
    _connection: TcpStream,
}

impl Closed {
    /// Takes such an address on loopback.
    ///
    /// # Errors
    /// When the system gives no port.
    pub fn start() -> io::Result<Closed> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let connection = TcpStream::connect(listener.local_addr()?)?;
        let addr = connection.local_addr()?;
        Ok(Closed { addr, _listener: listener, _connection: connection })
    }

    /// Where it does not listen.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}
