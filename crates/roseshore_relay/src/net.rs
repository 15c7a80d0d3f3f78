//! Sockets that are ready or not: buffers around them, nothing decided.

use crate::slab::{Key, Slab};
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes read at a time.
const READ: usize = 16 << 10;
/// Readiness events taken at a time.
const EVENTS: usize = 512;
/// Connections that may wait to be accepted; a burst of a second's new callers at the peak.
const BACKLOG: i32 = 1024;
/// Bytes that may wait for a peer which does not read.
const MAX_OUTPUT: usize = 8 << 20;

/// A listener's place among the readiness tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// Callers.
    Callers,
    /// The balancer's question.
    Probes,
    /// Metrics.
    Metrics,
    /// Other hosts' datagrams.
    Peers,
    /// Other hosts that ask for copies.
    Copies,
}

const DOORS: [Door; 5] = [Door::Callers, Door::Probes, Door::Metrics, Door::Peers, Door::Copies];

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// In order: the peer sends nothing more.
    Orderly,
    /// By a reset or another error.
    Broken,
}

/// What became of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A listener has connections to accept.
    Door(Door),
    /// Something changed at a socket: look at its input, at `connected` and at `ended`.
    Socket(Key),
}

/// A connection.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Bytes that came and were not taken yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// Whether the connection stands.
    pub connected: bool,
    /// How it ended, if it did.
    pub ended: Option<Ended>,
    closing: bool,
}

impl Socket {
    /// Whether all that was to be sent has left.
    pub fn flushed(&self) -> bool {
        self.written == self.output.len()
    }

    /// Whether it neither ended nor has said anything that was not taken.
    pub fn quiet(&self) -> bool {
        self.ended.is_none() && self.input.is_empty()
    }
}

/// The poll and its sockets.
#[derive(Debug)]
pub struct Net {
    poll: Poll,
    events: Events,
    sockets: Slab<Socket>,
    doors: Vec<(Door, TcpListener)>,
    datagrams: Option<UdpSocket>,
    most: usize,
    scratch: Vec<u8>,
}

impl Net {
    /// No sockets yet; at most `most` connections.
    ///
    /// # Errors
    /// When the system gives no readiness queue.
    pub fn new(most: usize) -> io::Result<Net> {
        let (poll, events) = (Poll::new()?, Events::with_capacity(EVENTS));
        let (sockets, doors, scratch) = (Slab::default(), Vec::new(), vec![0; READ]);
        Ok(Net { poll, events, sockets, doors, datagrams: None, most, scratch })
    }

    /// Listens.
    ///
    /// # Errors
    /// When the address cannot be had.
    pub fn listen(&mut self, door: Door, addr: SocketAddr) -> io::Result<SocketAddr> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(addr),
            socket2::Type::STREAM,
            Some(socket2::Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        let mut listener = TcpListener::from_std(socket.into());
        let token = Token(usize::MAX - door as usize);
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        let bound = listener.local_addr()?;
        self.doors.push((door, listener));
        Ok(bound)
    }

    /// Hears datagrams.
    ///
    /// # Errors
    /// When the address cannot be had.
    pub fn hear(&mut self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let mut socket = UdpSocket::bind(addr)?;
        let token = Token(usize::MAX - Door::Peers as usize);
        self.poll.registry().register(&mut socket, token, Interest::READABLE)?;
        let bound = socket.local_addr()?;
        self.datagrams = Some(socket);
        Ok(bound)
    }

    /// Takes a datagram that came.
    pub fn datagram(&mut self) -> Option<(SocketAddr, &[u8])> {
        let socket = self.datagrams.as_ref()?;
        loop {
            match socket.recv_from(&mut self.scratch) {
                Ok((count, from)) => return Some((from, &self.scratch[..count])),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return None,
                // An earlier datagram met a closed port; this one is read next.
                Err(_) => {}
            }
        }
    }

    /// Sends a datagram; it may be lost.
    pub fn send_datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        let Some(socket) = &self.datagrams else { return };
        if socket.send_to(bytes, to).is_err() {
            metrics::counter!("roseshore_datagrams_unsent_total").increment(1);
        }
    }

    /// Waits for notices, at most so long.
    ///
    /// # Errors
    /// When the readiness queue fails.
    pub fn wait(&mut self, most: Duration, notices: &mut Vec<Notice>) -> io::Result<()> {
        match self.poll.poll(&mut self.events, Some(most)) {
            Err(err) if err.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let mut ready = Vec::with_capacity(16);
        for event in &self.events {
            let number = event.token().0;
            if let Some(door) = DOORS.iter().find(|d| usize::MAX - **d as usize == number) {
                notices.push(Notice::Door(*door));
            } else {
                let key = Key::from_number(number);
                ready.push((key, event.is_writable(), event.is_read_closed()));
            }
        }
        for (key, writable, closed) in ready {
            self.progress(key, writable, closed);
            notices.push(Notice::Socket(key));
        }
        Ok(())
    }

    /// Takes a new connection; `None` when none waits or the bound is reached.
    pub fn accept(&mut self, door: Door) -> Option<Key> {
        loop {
            let (_, listener) = self.doors.iter().find(|(d, _)| *d == door)?;
            let (stream, _) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) if err.kind() == ErrorKind::ConnectionAborted => continue,
                Err(_) => return None,
            };
            if self.sockets.len() >= self.most {
                metrics::counter!("roseshore_connections_refused_total").increment(1);
                continue;
            }
            if let Ok(key) = self.add(stream, true) {
                return Some(key);
            }
        }
    }

    /// Opens a connection; it is not up yet.
    ///
    /// # Errors
    /// When the system refuses at once or the bound is reached.
    pub fn connect(&mut self, addr: SocketAddr) -> io::Result<Key> {
        if self.sockets.len() >= self.most {
            return Err(io::Error::other("too many connections"));
        }
        self.add(TcpStream::connect(addr)?, false)
    }

    fn add(&mut self, stream: TcpStream, connected: bool) -> io::Result<Key> {
        let socket = Socket {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            connected,
            ended: None,
            closing: false,
        };
        let key = self.sockets.add(socket);
        let token = Token(key.to_number());
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Some(socket) = self.sockets.get_mut(key) {
            // Events are small; the option is missing on no system we run on.
            let _ = socket.stream.set_nodelay(true);
            if let Err(err) = self.poll.registry().register(&mut socket.stream, token, interest) {
                self.sockets.remove(key);
                return Err(err);
            }
        }
        Ok(key)
    }

    /// A socket.
    pub fn get(&mut self, key: Key) -> Option<&mut Socket> {
        self.sockets.get_mut(key)
    }

    /// Sends bytes, now or as soon as the peer takes them.
    pub fn send(&mut self, key: Key, bytes: &[u8]) {
        let Some(socket) = self.sockets.get_mut(key) else { return };
        if socket.output.len() - socket.written + bytes.len() > MAX_OUTPUT {
            socket.ended = Some(Ended::Broken);
            return;
        }
        socket.output.extend_from_slice(bytes);
        if socket.connected {
            flush(socket);
        }
    }

    /// Closes when all that was to be sent has left.
    pub fn finish(&mut self, key: Key) {
        let Some(socket) = self.sockets.get_mut(key) else { return };
        socket.closing = true;
        if socket.flushed() || socket.ended.is_some() {
            self.close(key);
        }
    }

    /// Closes at once.
    pub fn close(&mut self, key: Key) {
        if let Some(mut socket) = self.sockets.remove(key) {
            // The descriptor is closed next, which takes it out of the queue in any case.
            let _ = self.poll.registry().deregister(&mut socket.stream);
        }
    }

    fn progress(&mut self, key: Key, writable: bool, closed: bool) {
        let Some(socket) = self.sockets.get_mut(key) else { return };
        if !socket.connected && writable {
            match socket.stream.take_error() {
                Ok(None) if socket.stream.peer_addr().is_ok() => socket.connected = true,
                Ok(None) => {}
                _ => socket.ended = Some(Ended::Broken),
            }
        }
        if socket.connected {
            flush(socket);
            read(socket, &mut self.scratch, closed);
        }
        if socket.closing && (socket.flushed() || socket.ended == Some(Ended::Broken)) {
            self.close(key);
        }
    }
}

fn flush(socket: &mut Socket) {
    while socket.written < socket.output.len() {
        match socket.stream.write(&socket.output[socket.written..]) {
            Ok(0) => break,
            Ok(count) => socket.written += count,
            Err(err) if err.kind() == ErrorKind::WouldBlock => return,
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => {
                socket.ended = Some(Ended::Broken);
                return;
            }
        }
    }
    socket.output.clear();
    socket.written = 0;
}

/// Reads what is there. After a short read nothing is left, and the next byte brings a new notice;
/// but the peer's end that is already known of (`closed`) brings none.
fn read(socket: &mut Socket, scratch: &mut [u8], closed: bool) {
    while socket.ended.is_none() {
        match socket.stream.read(scratch) {
            Ok(0) => socket.ended = Some(Ended::Orderly),
            Ok(count) => {
                socket.input.extend_from_slice(&scratch[..count]);
                if count < scratch.len() && !closed {
                    return;
                }
            }
            Err(err) if err.kind() == ErrorKind::WouldBlock => return,
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => socket.ended = Some(Ended::Broken),
        }
    }
}
