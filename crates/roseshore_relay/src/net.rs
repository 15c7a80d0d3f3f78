//! Non-blocking sockets with their input and output buffers, over a readiness poll.

use crate::chunks::ChunkReader;
use crate::output::{Output, clear};
use crate::slab::{Key, Slab};
pub use mio::net::TcpStream;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use roseshore_core::gateway::memory::{Account, Body, Buffer, Holder};
use rustix::io::Errno;
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes per read.
const READ_SIZE: usize = 16 << 10;
/// Readiness events per poll.
const MAX_EVENTS: usize = 512;
/// Length of the accept queue: the new callers of one second at peak load.
const BACKLOG: i32 = 1024;
/// Bytes that may be buffered for a peer that does not read, bodies of requests left out; beyond
/// this the connection is treated as broken.
pub const MAX_OUTPUT: usize = 8 << 20;
/// Bytes read from a connection before the others get their turn.
const READ_TURN: usize = 64 << 10;
/// Bytes read from all connections in one turn, before they are consumed and accounted for.
const READ_ALL: usize = 1 << 20;
/// Received bytes that may wait to be consumed; beyond this the connection is not read.
pub const MAX_INPUT: usize = 1 << 20;

/// Starts outgoing connections.
pub trait Dial {
    /// Starts to open a connection without waiting until it is established.
    ///
    /// # Errors
    /// If the system refuses immediately.
    fn dial(&self, addr: SocketAddr) -> io::Result<TcpStream>;
}

/// Connects to the address itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectDial;

impl Dial for DirectDial {
    fn dial(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(addr)
    }
}

/// A listening socket or the datagram socket. Its discriminant determines its `mio` token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// HTTP connections of callers.
    Callers,
    /// Health probes of the load balancer.
    Probes,
    /// Scrapes of metrics.
    Metrics,
    /// Datagrams of other hosts.
    Peers,
    /// Other hosts that request a copy of the store data.
    Copies,
}

const ENDPOINTS: [Endpoint; 5] =
    [Endpoint::Callers, Endpoint::Probes, Endpoint::Metrics, Endpoint::Peers, Endpoint::Copies];

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The peer closed its sending side in order; behind a tunnel, the target did.
    Orderly,
    /// A reset, another error, too much unread output, or a tunnel that was cut.
    Broken,
}

/// A socket that needs attention after [`Net::poll`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketChange {
    /// An endpoint has connections to accept or datagrams to receive.
    Endpoint(Endpoint),
    /// A connection changed: its `input`, `connected` or `ended`.
    Socket(Key),
}

/// A connection.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Bytes received and not yet consumed.
    pub input: Buffer,
    output: Output,
    /// When bytes were last read.
    last_read: Instant,
    /// When bytes were last written, or began to wait for it.
    last_write: Instant,
    /// Whether the connection is established.
    pub connected: bool,
    /// Whether the other end accepted the connection, and reset it before this was noticed here.
    reset_at_once: bool,
    /// Output that waits until the host at the other end has opened its part of a tunnel; `None` for
    /// an open tunnel and for other connections.
    held: Option<Output>,
    /// Removes the framing of an open tunnel; `None` for other connections.
    chunks: Option<ChunkReader>,
    /// Whether input is left in the system's buffer, which slows the sender down.
    paused: bool,
    /// Whether it is among [`Net::unread`].
    unread: bool,
    /// Received bytes that may wait to be consumed.
    max_input: usize,
    /// Whether the connection takes no more output. What was received before can still be read.
    write_failed: bool,
    /// How the connection ended; `None` while it is open.
    pub ended: Option<Ended>,
    /// Where it was accepted; `None` for an outgoing connection.
    endpoint: Option<Endpoint>,
    closing: bool,
    /// Whether its sending side is closed once all output has been written.
    finishing: bool,
}

impl Socket {
    /// Bytes of output that the socket has not accepted yet.
    pub fn unwritten(&self) -> usize {
        self.output.len()
    }

    /// Memory that is charged for its output.
    pub fn output_charged(&self) -> usize {
        self.output.charged()
    }

    /// Takes in so many bytes of input before they are consumed.
    pub fn set_max_input(&mut self, bytes: usize) {
        self.max_input = bytes;
    }

    /// When bytes were last read from it; at first, when it was opened.
    pub fn last_read(&self) -> Instant {
        self.last_read
    }

    /// When bytes were last written to it, or began to wait for that; at first, when it was opened.
    pub fn last_write(&self) -> Instant {
        self.last_write
    }

    /// Address of the other end; `None` if it is not connected.
    pub fn peer_addr(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }

    /// Whether the other end has accepted the connection, though it may have ended since.
    pub fn was_accepted(&self) -> bool {
        self.connected || self.reset_at_once
    }

    /// Whether what is sent reaches the target: the connection is established, and so is the part of
    /// a tunnel behind it.
    pub fn established(&self) -> bool {
        self.connected && self.held.is_none()
    }

    /// Whether it is a tunnel that is not open yet.
    pub fn tunnel_pending(&self) -> bool {
        self.held.is_some()
    }

    /// Whether the peer has ended the connection in order, which completes a response without a
    /// length.
    pub fn ended_orderly(&self) -> bool {
        self.ended == Some(Ended::Orderly)
    }

    /// Whether all output has been written to the socket.
    pub fn flushed(&self) -> bool {
        self.unwritten() == 0
    }

    /// Whether more input may be taken in.
    fn may_read(&self) -> bool {
        !self.paused && self.ended.is_none() && self.input.len() < self.max_input
    }

    /// Whether the connection is open and has no unconsumed input, so that it can be reused.
    pub fn reusable(&self) -> bool {
        self.ended.is_none() && self.input.is_empty()
    }
}

/// The readiness poll with its listeners, datagram socket and connections.
pub struct Net {
    poll: Poll,
    dial: Box<dyn Dial>,
    events: Events,
    sockets: Slab<Socket>,
    listeners: Vec<(Endpoint, TcpListener)>,
    datagrams: Option<UdpSocket>,
    max_connections: usize,
    /// Bytes received over all connections so far.
    received: u64,
    /// Connections that may have more input in the system's buffer, for which no event follows.
    unread: Vec<Key>,
    /// Connections that input was read from since the last [`Net::wait`].
    filled: Vec<Key>,
    scratch: Vec<u8>,
    account: Account,
    /// Open connections that were accepted at each endpoint.
    accepted: [usize; ENDPOINTS.len()],
    /// Connections that were closed at once, as there was no room for them.
    refused: usize,
    /// The time of this turn.
    now: Instant,
}

impl Net {
    /// A poll without sockets, for at most `max_connections` connections; outgoing ones are opened
    /// by `dial`.
    ///
    /// # Errors
    /// If the system cannot create a readiness queue.
    pub fn new(max_connections: usize, dial: Box<dyn Dial>) -> io::Result<Net> {
        let (poll, events) = (Poll::new()?, Events::with_capacity(MAX_EVENTS));
        let (sockets, listeners, scratch) = (Slab::default(), Vec::new(), vec![0; READ_SIZE]);
        let (datagrams, received) = (None, 0);
        Ok(Net {
            poll,
            dial,
            events,
            sockets,
            listeners,
            datagrams,
            max_connections,
            received,
            unread: Vec::new(),
            filled: Vec::new(),
            scratch,
            account: Account::default(),
            accepted: [0; ENDPOINTS.len()],
            refused: 0,
            now: Instant::now(),
        })
    }

    /// The account that input and output are charged to.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Sets the time of this turn, by which [`Socket::last_read`] and [`Socket::last_write`] go.
    pub fn set_now(&mut self, now: Instant) {
        self.now = now;
    }

    /// Frees the memory that empty buffers keep.
    pub fn free_empty(&mut self) {
        for key in self.sockets.keys() {
            let Some(socket) = self.sockets.get_mut(key) else { continue };
            if socket.input.is_empty() {
                drop(socket.input.take());
            }
            socket.output.free_empty();
        }
    }

    /// Opens a TCP listener and returns its address, with the port that the system chose for port
    /// 0.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn listen(&mut self, endpoint: Endpoint, addr: SocketAddr) -> io::Result<SocketAddr> {
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
        let token = Token(usize::MAX - endpoint as usize);
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        let bound = listener.local_addr()?;
        self.listeners.push((endpoint, listener));
        Ok(bound)
    }

    /// Closes a listener. Connections that have not been accepted are reset.
    pub fn close_listener(&mut self, endpoint: Endpoint) {
        for (_, mut listener) in self.listeners.extract_if(.., |(e, _)| *e == endpoint) {
            // An error is harmless: closing the descriptor, which follows, also deregisters it.
            let _ = self.poll.registry().deregister(&mut listener);
        }
    }

    /// Whether a listener is open.
    pub fn listens(&self, endpoint: Endpoint) -> bool {
        self.listeners.iter().any(|(e, _)| *e == endpoint)
    }

    /// Opens the UDP socket and returns its address, with the port that the system chose for port
    /// 0.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn bind_datagrams(&mut self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let mut socket = UdpSocket::bind(addr)?;
        let token = Token(usize::MAX - Endpoint::Peers as usize);
        self.poll.registry().register(&mut socket, token, Interest::READABLE)?;
        let bound = socket.local_addr()?;
        self.datagrams = Some(socket);
        Ok(bound)
    }

    /// The next received datagram and its sender; `None` when there is none.
    pub fn receive_datagram(&mut self) -> Option<(SocketAddr, &[u8])> {
        let socket = self.datagrams.as_ref()?;
        loop {
            match socket.recv_from(&mut self.scratch) {
                Ok((count, from)) => return Some((from, &self.scratch[..count])),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return None,
                // The system reports that an earlier datagram hit a closed port. Received datagrams
                // are still queued.
                Err(_) => {}
            }
        }
    }

    /// Sends a datagram, without a guarantee of delivery.
    pub fn send_datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        let Some(socket) = &self.datagrams else { return };
        if socket.send_to(bytes, to).is_err() {
            metrics::counter!("roseshore_datagrams_unsent_total").increment(1);
        }
    }

    /// Waits for readiness for at most `timeout`; not at all if there is input that was left for the
    /// next turn. Returns the longest time that it was to wait.
    ///
    /// # Errors
    /// If the readiness queue fails.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Duration> {
        for key in std::mem::take(&mut self.filled) {
            if let Some(socket) = self.sockets.get_mut(key).filter(|s| s.input.is_empty()) {
                socket.input.edit(clear);
            }
        }
        let may_read = |key: &Key| self.sockets.get(*key).is_some_and(Socket::may_read);
        let timeout = if self.unread.iter().any(may_read) { Duration::ZERO } else { timeout };
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Err(err) if err.kind() == ErrorKind::Interrupted => self.events.clear(),
            other => other?,
        }
        Ok(timeout)
    }

    /// Does the I/O that is pending since the last [`Net::wait`], and appends the sockets that
    /// changed to `changes`.
    pub fn process_ready(&mut self, changes: &mut Vec<SocketChange>) {
        let mut ready = Vec::with_capacity(16);
        // Those that were left by the last turn come first.
        for key in std::mem::take(&mut self.unread) {
            let Some(socket) = self.sockets.get_mut(key) else { continue };
            if socket.may_read() {
                socket.unread = false;
                // The peer may have closed its sending side already.
                ready.push((key, false, true));
            } else {
                self.unread.push(key);
            }
        }
        for event in &self.events {
            let number = event.token().0;
            if let Some(endpoint) = ENDPOINTS.iter().find(|e| usize::MAX - **e as usize == number) {
                changes.push(SocketChange::Endpoint(*endpoint));
            } else {
                let key = Key::from_number(number);
                ready.push((key, event.is_writable(), event.is_read_closed()));
            }
        }
        let each = (READ_ALL / ready.len().max(1)).clamp(READ_SIZE, READ_TURN);
        let mut left = READ_ALL;
        for (key, writable, read_closed) in ready {
            let before = self.received;
            self.handle_ready(key, writable, read_closed, each.min(left));
            left = left.saturating_sub((self.received - before) as usize);
            changes.push(SocketChange::Socket(key));
        }
    }

    /// Accepts a connection; `None` when none is pending. Connections beyond the maximum are closed
    /// and counted.
    pub fn accept(&mut self, endpoint: Endpoint) -> Option<Key> {
        loop {
            let (_, listener) = self.listeners.iter().find(|(e, _)| *e == endpoint)?;
            let (stream, _) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) if err.kind() == ErrorKind::ConnectionAborted => continue,
                Err(_) => return None,
            };
            if self.sockets.len() >= self.max_connections {
                self.refused += 1;
                continue;
            }
            let holders = match endpoint {
                Endpoint::Callers => (Holder::Receiving, Holder::Unread),
                _ => (Holder::Relayed, Holder::Relayed),
            };
            let Ok(key) = self.add(stream, true, holders) else { continue };
            if let Some(socket) = self.sockets.get_mut(key) {
                socket.endpoint = Some(endpoint);
                self.accepted[endpoint as usize] += 1;
            }
            return Some(key);
        }
    }

    /// Closes a connection that was just accepted, for want of room.
    pub fn refuse(&mut self, key: Key) {
        self.close(key);
        self.refused += 1;
    }

    /// The number of open connections that were accepted at an endpoint.
    pub fn accepted(&self, endpoint: Endpoint) -> usize {
        self.accepted[endpoint as usize]
    }

    /// The number of connections, and how many there may be.
    pub fn connections(&self) -> (usize, usize) {
        (self.sockets.len(), self.max_connections)
    }

    /// Connections that were closed at once since the last call, for want of room.
    pub fn take_refused(&mut self) -> usize {
        std::mem::take(&mut self.refused)
    }

    /// Starts to open a connection; [`Socket::connected`] tells when it is established.
    ///
    /// # Errors
    /// If the system refuses immediately, or the maximum number of connections is reached.
    pub fn connect(&mut self, addr: SocketAddr) -> io::Result<Key> {
        if self.sockets.len() >= self.max_connections {
            return Err(io::Error::new(ErrorKind::QuotaExceeded, "too many connections"));
        }
        self.add(self.dial.dial(addr)?, false, (Holder::Relayed, Holder::Relayed))
    }

    /// Like [`Net::connect`], to another host that is asked by `request` to open a tunnel. Other
    /// output is held until [`Net::tunnel_opened`].
    ///
    /// # Errors
    /// As [`Net::connect`].
    pub fn connect_tunnel(&mut self, host: SocketAddr, request: &[u8]) -> io::Result<Key> {
        let key = self.connect(host)?;
        self.send(key, request);
        if let Some(socket) = self.sockets.get_mut(key) {
            socket.held = Some(Output::new(&self.account, Holder::Relayed));
        }
        Ok(key)
    }

    /// Sends the output that was held until a tunnel is open, and reads its input from here on as
    /// chunks.
    pub fn tunnel_opened(&mut self, key: Key) {
        let Some(socket) = self.sockets.get_mut(key) else { return };
        socket.chunks = Some(ChunkReader::default());
        let received = socket.input.take();
        receive(socket, &received);
        if socket.ended == Some(Ended::Orderly) {
            socket.ended = Some(end_of_stream(socket));
        }
        if let Some(held) = socket.held.take() {
            socket.output.append(held);
            flush(socket, self.now);
        }
    }

    /// Stops reading from a connection.
    pub fn pause(&mut self, key: Key) {
        if let Some(socket) = self.sockets.get_mut(key) {
            socket.paused = true;
        }
    }

    /// Reads from a paused connection again. Returns whether it was paused.
    pub fn resume(&mut self, key: Key) -> bool {
        let Some(socket) = self.sockets.get_mut(key).filter(|socket| socket.paused) else {
            return false;
        };
        socket.paused = false;
        self.read_turn(key, true, READ_TURN);
        true
    }

    /// Takes in what has arrived on a connection since it was last polled.
    pub fn read_arrived(&mut self, key: Key) {
        if self.sockets.get(key).is_some_and(|socket| socket.connected) {
            self.read_turn(key, false, READ_TURN);
        }
    }

    /// Reads up to about so many bytes, and notes whether there may be more.
    fn read_turn(&mut self, key: Key, read_closed: bool, limit: usize) {
        let Some(socket) = self.sockets.get_mut(key) else { return };
        let before = socket.input.len();
        let drained = read(socket, &mut self.scratch, read_closed, limit);
        let count = socket.input.len() - before;
        self.received += count as u64;
        if count > 0 {
            socket.last_read = self.now;
            self.filled.push(key);
        }
        if !drained && !socket.unread {
            socket.unread = true;
            self.unread.push(key);
        }
        if socket.closing {
            socket.input.edit(Vec::clear);
        }
    }

    /// Adds a connection whose input and output are charged to these holders.
    fn add(
        &mut self,
        stream: TcpStream,
        connected: bool,
        (input, output): (Holder, Holder),
    ) -> io::Result<Key> {
        let socket = Socket {
            stream,
            input: self.account.buffer(input),
            output: Output::new(&self.account, output),
            last_read: self.now,
            last_write: self.now,
            connected,
            reset_at_once: false,
            held: None,
            chunks: None,
            paused: false,
            unread: false,
            max_input: MAX_INPUT,
            write_failed: false,
            ended: None,
            endpoint: None,
            closing: false,
            finishing: false,
        };
        let key = self.sockets.add(socket);
        let token = Token(key.to_number());
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Some(socket) = self.sockets.get_mut(key) {
            // Events are small and must not wait for more output. All supported systems have the
            // option.
            let _ = socket.stream.set_nodelay(true);
            if let Err(err) = self.poll.registry().register(&mut socket.stream, token, interest) {
                self.sockets.remove(key);
                return Err(err);
            }
        }
        Ok(key)
    }

    /// Bytes received over all connections so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns a connection to look at.
    pub fn peek(&self, key: Key) -> Option<&Socket> {
        self.sockets.get(key)
    }

    /// A connection; `None` once it was closed.
    pub fn get(&mut self, key: Key) -> Option<&mut Socket> {
        self.sockets.get_mut(key)
    }

    /// Queues bytes and writes as many as the socket accepts now.
    pub fn send(&mut self, key: Key, bytes: &[u8]) {
        self.send_all(key, bytes.len(), |output| output.push(bytes));
    }

    /// Like [`Net::send`], with a head and a body that is handed over.
    pub fn send_whole(&mut self, key: Key, head: &[u8], body: Body) {
        self.send_all(key, head.len() + body.len(), |output| {
            output.push(head);
            output.push_body(&Arc::new(body));
        });
    }

    /// Like [`Net::send`], with a head and a body that others hold as well.
    pub fn send_body(&mut self, key: Key, head: &[u8], body: &Arc<Body>) {
        self.send_all(key, head.len(), |output| {
            output.push(head);
            output.push_body(body);
        });
    }

    /// Queues output, so many bytes of it for this connection alone.
    fn send_all(&mut self, key: Key, bytes: usize, push: impl FnOnce(&mut Output)) {
        let Some(socket) = self.sockets.get_mut(key).filter(|socket| !socket.write_failed) else {
            return;
        };
        let held = socket.held.as_ref().map_or(0, Output::len);
        if bytes > MAX_OUTPUT.saturating_sub(socket.unwritten() + held) {
            socket.ended = Some(Ended::Broken);
            return;
        }
        if let Some(held) = &mut socket.held {
            return push(held);
        }
        if socket.flushed() {
            socket.last_write = self.now;
        }
        push(&mut socket.output);
        if socket.connected {
            flush(socket, self.now);
        }
    }

    /// Closes the sending side of the connection once all output has been written.
    pub fn finish_output(&mut self, key: Key) {
        let Some(socket) = self.sockets.get_mut(key) else { return };
        socket.finishing = true;
        flush(socket, self.now);
    }

    /// Closes the connection once all output has been written, or now if it has ended.
    pub fn close_flushed(&mut self, key: Key) {
        let Some(socket) = self.sockets.get_mut(key) else { return };
        socket.closing = true;
        if socket.flushed() || socket.ended.is_some() {
            self.close(key);
        }
    }

    /// Closes the connection now and discards its output.
    pub fn close(&mut self, key: Key) {
        if let Some(mut socket) = self.sockets.remove(key) {
            if let Some(endpoint) = socket.endpoint {
                self.accepted[endpoint as usize] -= 1;
            }
            // An error is harmless: closing the descriptor, which follows, also deregisters it.
            let _ = self.poll.registry().deregister(&mut socket.stream);
        }
    }

    /// Closes the connection now with a reset, so that bytes that have not reached the other end's
    /// system are not delivered later.
    pub fn abort(&mut self, key: Key) {
        if let Some(socket) = self.sockets.get_mut(key) {
            // A connection that has ended takes no options, and delivers nothing.
            let _ = socket2::SockRef::from(&socket.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(key);
    }

    fn handle_ready(&mut self, key: Key, writable: bool, read_closed: bool, limit: usize) {
        let Some(socket) = self.sockets.get_mut(key) else { return };
        if !socket.connected && writable {
            match socket.stream.take_error() {
                Ok(None) if socket.stream.peer_addr().is_ok() => socket.connected = true,
                Ok(None) => {}
                Ok(Some(err)) | Err(err) => {
                    // A port that nobody listens on refuses a connection instead.
                    socket.reset_at_once = err.kind() == ErrorKind::ConnectionReset;
                    socket.ended = Some(Ended::Broken);
                }
            }
        }
        if socket.connected {
            flush(socket, self.now);
            let read_closed = read_closed || socket.write_failed;
            self.read_turn(key, read_closed, limit);
        }
        let Some(socket) = self.sockets.get_mut(key) else { return };
        if socket.closing && (socket.flushed() || socket.ended == Some(Ended::Broken)) {
            self.close(key);
        }
    }
}

/// Whether a connection failed since this host has no room for one, rather than by its address.
pub fn is_exhausted(err: &io::Error) -> bool {
    const LACKING: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    err.kind() == ErrorKind::QuotaExceeded
        || Errno::from_io_error(err).is_some_and(|errno| LACKING.contains(&errno))
}

fn flush(socket: &mut Socket, now: Instant) {
    let before = socket.output.len();
    let written = socket.output.write_to(&mut socket.stream);
    if socket.output.len() < before {
        socket.last_write = now;
    }
    socket.write_failed |= written.is_err();
    if socket.finishing && socket.flushed() {
        socket.finishing = false;
        // The other end may have closed the connection, which leaves nothing to close.
        let _ = socket.stream.shutdown(Shutdown::Write);
    }
}

/// Takes in received bytes, without the framing of a tunnel.
fn receive(socket: &mut Socket, bytes: &[u8]) {
    let Socket { chunks, input, .. } = socket;
    input.edit(|input| match chunks {
        Some(chunks) => chunks.read(bytes, input),
        None => input.extend_from_slice(bytes),
    });
    if socket.chunks.as_ref().is_some_and(ChunkReader::ended) {
        socket.ended = Some(Ended::Orderly);
    }
}

/// How a connection ended whose peer has closed its sending side. A tunnel that ends before the
/// target's connection is broken, and so is a connection that was reset: the write that failed may
/// have taken the system's report of it.
fn end_of_stream(socket: &Socket) -> Ended {
    match &socket.chunks {
        _ if socket.write_failed => Ended::Broken,
        Some(chunks) if !chunks.ended() => Ended::Broken,
        _ => Ended::Orderly,
    }
}

/// Reads available bytes, up to `limit` and what the unconsumed input allows. Returns whether nothing
/// is left. Readiness is edge-triggered: after a short read nothing is left, and the next byte brings
/// a new event. If the peer has already closed its sending side (`read_closed`), no further event
/// follows, so reading goes on until the end of the stream.
fn read(socket: &mut Socket, scratch: &mut [u8], read_closed: bool, limit: usize) -> bool {
    let mut received = 0;
    while socket.may_read() && received < limit {
        match socket.stream.read(scratch) {
            Ok(0) => socket.ended = Some(end_of_stream(socket)),
            Ok(count) => {
                receive(socket, &scratch[..count]);
                received += count;
                if count < scratch.len() && !read_closed {
                    return true;
                }
            }
            Err(err) if err.kind() == ErrorKind::WouldBlock => return true,
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => socket.ended = Some(Ended::Broken),
        }
    }
    socket.ended.is_some()
}
