//! HTTP server for callers: accepts connections, reads requests, and ends each request exactly once.
//!
//! Types of `tiny_http` are used for heads and `chunked_transfer` for bodies, but not the server of
//! `tiny_http`: a single header (`content-length: 1000000000000000`) aborts the whole process, and it
//! does not limit connections, the size of heads, or time. See `docs/design/front.md` for the tests.

pub mod exchange;
mod in_flight;
pub mod pool;
pub mod read;
pub mod reply;

use crate::context::ServerContext;
use crate::event;
use crate::settings::Settings;
use exchange::{Exchange, RequestHandler};
use in_flight::InFlight;
use parking_lot::Mutex;
use pool::Pool;
use read::{Limits, ReadError, Reader, Request};
use roseshore_core::gateway::memory::{Account, MemoryLimits};
use roseshore_core::prelude::*;
use rustc_hash::FxHashMap;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};

/// How often the acceptor checks whether it has to stop.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay before the next accept after an error, such as when the process is out of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Maximum number of connections that are being rejected at the same time.
const MAX_REJECTING: usize = 64;
/// Time limit for reading the request of a connection that is rejected, and for writing to it.
const REJECT_LIMIT: Duration = Duration::from_millis(200);
/// How long the server reads on from a caller that was refused; see [`linger`].
const LINGER_TIME: Duration = Duration::from_millis(500);
/// How many bytes the server reads on from a caller that was refused; see [`linger`].
const LINGER_BYTES: usize = 4 << 20;
/// Length of the kernel's queue of connections to accept.
const BACKLOG: i32 = 1024;

/// State shared by all connections.
struct ServerState {
    context: ServerContext,
    handler: &'static dyn RequestHandler,
    limits: Limits,
    account: Account,
    write_limit: Duration,
    in_flight: InFlight,
    closing: AtomicBool,
    next_id: AtomicU64,
    connections: Mutex<FxHashMap<u64, TcpStream>>,
}

/// The running HTTP server for callers.
pub struct HttpServer {
    addr: SocketAddr,
    state: Arc<ServerState>,
    acceptor: JoinHandle<()>,
}

impl HttpServer {
    /// Starts to listen and to serve.
    ///
    /// # Errors
    /// Fails when the address cannot be bound or the acceptor thread cannot be spawned.
    pub fn start(
        settings: &Settings,
        context: ServerContext,
        handler: &'static dyn RequestHandler,
    ) -> io::Result<HttpServer> {
        let listener = listen(settings.listen)?;
        let addr = listener.local_addr()?;
        let limits = Limits {
            body: settings.max_body,
            memory: MemoryLimits::new(Some(settings.memory)),
            request: settings.read_timeout,
            idle: settings.idle_timeout,
        };
        let state = Arc::new(ServerState {
            context,
            handler,
            limits,
            account: Account::default(),
            write_limit: settings.write_timeout,
            in_flight: InFlight::new(settings.max_requests),
            closing: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let acceptor = Acceptor::new(listener, state.clone(), settings.max_connections);
        let acceptor =
            thread::Builder::new().name("accept".to_owned()).spawn(move || acceptor.run())?;
        Ok(HttpServer { addr, state, acceptor })
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of requests in progress, except status requests.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.count()
    }

    /// Waits until no request is in progress; returns false if `limit` ran out first.
    pub fn wait(&self, limit: Duration) -> bool {
        self.state.in_flight.wait(limit)
    }

    /// Stops accepting connections and closes idle ones.
    pub fn stop(self) {
        self.state.closing.store(true, Ordering::SeqCst);
        if self.acceptor.join().is_err() {
            event!(Event::ThreadLost, "thread=accept");
        }
        for stream in self.state.connections.lock().values() {
            let _ = stream.shutdown(Shutdown::Read);
        }
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    // `accept` returns at every time-out, so that the acceptor can stop without a wake-up connection.
    socket.set_read_timeout(Some(ACCEPT_TIMEOUT))?;
    Ok(socket.into())
}

/// Accepts connections and passes them to the thread pools.
struct Acceptor {
    listener: TcpListener,
    state: Arc<ServerState>,
    pool: Pool<TcpStream>,
    rejecting: Pool<TcpStream>,
}

impl Acceptor {
    fn new(listener: TcpListener, state: Arc<ServerState>, connections: usize) -> Acceptor {
        let (serving, refusing) = (state.clone(), state.clone());
        let pool = Pool::new(connections, move |stream| serving.serve(stream));
        let rejecting = Pool::new(MAX_REJECTING, move |stream| refusing.reject(stream));
        Acceptor { listener, state, pool, rejecting }
    }

    fn run(&self) {
        while !self.state.closing.load(Ordering::SeqCst) {
            self.accept();
        }
        // Connections that are already in the kernel's queue still get a refusal.
        let _ = self.listener.set_nonblocking(true);
        while let Ok((stream, _)) = self.listener.accept() {
            let _ = stream.set_nonblocking(false);
            self.state.reject(stream);
        }
    }

    fn accept(&self) {
        match self.listener.accept() {
            Ok((stream, _)) => {
                metrics::gauge!("roseshore_connection_threads").set(self.pool.threads() as f64);
                let Err(stream) = self.pool.submit(stream) else { return };
                metrics::counter!("roseshore_connections_refused_total").increment(1);
                // With too many connections being rejected already, this one is just closed. Nothing
                // has been read from it, so none of its requests ran.
                let _ = self.rejecting.submit(stream);
            }
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => thread::sleep(ACCEPT_RETRY),
        }
    }
}

impl ServerState {
    /// Serves the requests of one connection until it is closed.
    fn serve(&self, stream: TcpStream) {
        let Ok(registered) = self.register(&stream) else { return };
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy, self.limits, self.account.clone());
        loop {
            match reader.request() {
                Err(ReadError::Closed) => break,
                Err(ReadError::Refused(refusal, head)) => {
                    self.refuse(&stream, head.as_deref(), refusal);
                    linger(&stream);
                    break;
                }
                Ok(request) => {
                    if self.answer(&stream, &request) {
                        break;
                    }
                }
            }
        }
        drop(registered);
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn register(&self, stream: &TcpStream) -> io::Result<OpenConnection<'_>> {
        // The listener's read time-out is inherited, but the reader sets its own before each read.
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.write_limit))?;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.connections.lock().insert(id, stream.try_clone()?);
        if self.closing.load(Ordering::SeqCst) {
            let _ = stream.shutdown(Shutdown::Read);
        }
        Ok(OpenConnection { state: self, id })
    }

    /// Serves one request; returns whether the connection has to be closed.
    fn answer(&self, stream: &TcpStream, request: &Request) -> bool {
        let Ok(copy) = stream.try_clone() else { return true };
        let close = request.close || self.closing.load(Ordering::SeqCst);
        let mut exchange = Exchange::new(&self.context, self.handler, copy, Some(request), close);
        if self.handler.is_status(request) {
            exchange.run(request);
        } else {
            match self.in_flight.enter() {
                Some(_guard) => exchange.run(request),
                None => exchange.refuse(overloaded()),
            }
        }
        exchange.must_close()
    }

    fn refuse(&self, stream: &TcpStream, head: Option<&Request>, refusal: Refusal) {
        if let Ok(copy) = stream.try_clone() {
            Exchange::new(&self.context, self.handler, copy, head, true).refuse(refusal);
        }
    }

    /// Reads one request from a connection for which there is no thread, and refuses it.
    fn reject(&self, stream: TcpStream) {
        let _ = stream.set_write_timeout(Some(REJECT_LIMIT));
        let Ok(copy) = stream.try_clone() else { return };
        let limits = Limits { request: REJECT_LIMIT, ..self.limits };
        let head = match Reader::new(copy, limits, self.account.clone()).request() {
            Ok(request) => Some(Box::new(request)),
            Err(ReadError::Refused(_, head)) => head,
            Err(ReadError::Closed) => return,
        };
        self.refuse(&stream, head.as_deref(), overloaded());
        linger(&stream);
    }
}

fn overloaded() -> Refusal {
    let text = "this host has no room for another request; come back, or raise `--requests`";
    Refusal::not_run(Code::QueueFull, text)
}

/// Reads on for a while after a refusal. Closing a socket with unread bytes resets the connection, and
/// the caller might lose the refusal.
fn linger(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let end = Instant::now() + LINGER_TIME;
    let mut buffer = [0; 4096];
    let mut bytes = 0;
    let mut input = stream;
    while bytes < LINGER_BYTES {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return;
        }
        match input.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(len) => bytes += len,
        }
    }
}

/// A registered connection, which [`HttpServer::stop`] can close while it is idle.
struct OpenConnection<'a> {
    state: &'a ServerState,
    id: u64,
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.state.connections.lock().remove(&self.id);
    }
}
