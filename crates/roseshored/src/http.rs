//! Callers' connections: accepting them, reading requests, and giving each exactly one end.
//!
//! `tiny_http` lends its types for heads and its kin `chunked_transfer` the bodies, but its server
//! is not used: one header (`content-length: 1000000000000000`) ends the whole process, and it has
//! no bound on connections, heads or time. `docs/design/front.md` has the runs.

pub mod exchange;
pub mod pool;
pub mod read;
pub mod reply;
mod work;

use crate::context::ServerContext;
use crate::event;
use crate::settings::Settings;
use exchange::{Exchange, RequestHandler};
use parking_lot::Mutex;
use pool::Pool;
use read::{Bounds, ReadEnd, Reader, Request};
use roseshore_core::prelude::*;
use rustc_hash::FxHashMap;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use work::Work;

/// How often the acceptor looks whether it is to end.
const TICK: Duration = Duration::from_millis(100);
/// How long the acceptor rests when the process is out of descriptors.
const REST: Duration = Duration::from_millis(20);
/// Connections that wait to be told that there is no room.
const TURNED_AWAY: usize = 64;
/// How long a connection that is turned away may take to send its head.
const AWAY_LIMIT: Duration = Duration::from_millis(200);
/// How long, and how much, is read from a caller that was refused, so that the refusal reaches it.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 4 << 20;
/// Connections that the kernel keeps for the acceptor.
const BACKLOG: i32 = 1024;

/// What all connections share.
struct Shared {
    context: ServerContext,
    behind: &'static dyn RequestHandler,
    bounds: Bounds,
    write: Duration,
    work: Work,
    closing: AtomicBool,
    next: AtomicU64,
    open: Mutex<FxHashMap<u64, TcpStream>>,
}

/// The callers' side of a running daemon.
pub struct HttpServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
    acceptor: JoinHandle<()>,
}

impl HttpServer {
    /// Listens and serves.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub fn start(
        settings: &Settings,
        context: ServerContext,
        behind: &'static dyn RequestHandler,
    ) -> io::Result<HttpServer> {
        let listener = listen(settings.listen)?;
        let addr = listener.local_addr()?;
        let bounds = Bounds {
            body: settings.body_bytes,
            caller: settings.read_timeout,
            idle: settings.idle_timeout,
        };
        let shared = Arc::new(Shared {
            context,
            behind,
            bounds,
            write: settings.write_timeout,
            work: Work::new(settings.requests),
            closing: AtomicBool::new(false),
            next: AtomicU64::new(0),
            open: Mutex::default(),
        });
        let acceptor = Acceptor::new(listener, shared.clone(), settings.connections);
        let acceptor =
            thread::Builder::new().name("accept".to_owned()).spawn(move || acceptor.run())?;
        Ok(HttpServer { addr, shared, acceptor })
    }

    /// Where callers are heard.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Requests in work.
    pub fn in_flight(&self) -> usize {
        self.shared.work.count()
    }

    /// Waits until nothing is in work; false when `limit` ran out first.
    pub fn wait(&self, limit: Duration) -> bool {
        self.shared.work.wait(limit)
    }

    /// Accepts nothing more and closes idle connections.
    pub fn stop(self) {
        self.shared.closing.store(true, Ordering::SeqCst);
        if self.acceptor.join().is_err() {
            event!(Event::ThreadLost, "thread=accept");
        }
        for stream in self.shared.open.lock().values() {
            let _ = stream.shutdown(Shutdown::Read);
        }
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    // `accept` returns at every tick, so that the acceptor ends without a connection to itself.
    socket.set_read_timeout(Some(TICK))?;
    Ok(socket.into())
}

/// Takes connections and hands them to threads.
struct Acceptor {
    listener: TcpListener,
    shared: Arc<Shared>,
    pool: Pool<TcpStream>,
    away: Pool<TcpStream>,
}

impl Acceptor {
    fn new(listener: TcpListener, shared: Arc<Shared>, connections: usize) -> Acceptor {
        let (serving, turning) = (shared.clone(), shared.clone());
        let pool = Pool::new(connections, move |stream| serving.serve(stream));
        let away = Pool::new(TURNED_AWAY, move |stream| turning.turn_away(stream));
        Acceptor { listener, shared, pool, away }
    }

    fn run(&self) {
        while !self.shared.closing.load(Ordering::SeqCst) {
            self.accept();
        }
        // Whoever the kernel has accepted by now still gets an answer.
        let _ = self.listener.set_nonblocking(true);
        while let Ok((stream, _)) = self.listener.accept() {
            let _ = stream.set_nonblocking(false);
            self.shared.turn_away(stream);
        }
    }

    fn accept(&self) {
        match self.listener.accept() {
            Ok((stream, _)) => {
                metrics::gauge!("roseshore_connection_threads").set(self.pool.threads() as f64);
                let Err(stream) = self.pool.give(stream) else { return };
                metrics::counter!("roseshore_connections_refused_total").increment(1);
                // With this many being turned away already, the connection is just closed: it
                // has not been read, so nothing of it ran.
                let _ = self.away.give(stream);
            }
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => thread::sleep(REST),
        }
    }
}

impl Shared {
    /// Serves one connection until it is closed.
    fn serve(&self, stream: TcpStream) {
        let Ok(kept) = self.keep(&stream) else { return };
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy, self.bounds);
        loop {
            match reader.request() {
                Err(ReadEnd::Closed) => break,
                Err(ReadEnd::Refused(refusal, head)) => {
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
        drop(kept);
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn keep(&self, stream: &TcpStream) -> io::Result<Kept<'_>> {
        // The listener's tick is inherited; the reader sets its own limit before each read.
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.write))?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.open.lock().insert(id, stream.try_clone()?);
        if self.closing.load(Ordering::SeqCst) {
            let _ = stream.shutdown(Shutdown::Read);
        }
        Ok(Kept { shared: self, id })
    }

    /// Gives one request its end; returns whether the connection is to be closed.
    fn answer(&self, stream: &TcpStream, request: &Request) -> bool {
        let Ok(copy) = stream.try_clone() else { return true };
        let last = request.last || self.closing.load(Ordering::SeqCst);
        let mut exchange = Exchange::new(&self.context, self.behind, copy, Some(request), last);
        if self.behind.is_status(request) {
            exchange.run(request);
        } else {
            match self.work.enter() {
                Some(_place) => exchange.run(request),
                None => exchange.refuse(full()),
            }
        }
        exchange.closes()
    }

    fn refuse(&self, stream: &TcpStream, head: Option<&Request>, refusal: Refusal) {
        if let Ok(copy) = stream.try_clone() {
            Exchange::new(&self.context, self.behind, copy, head, true).refuse(refusal);
        }
    }

    /// Tells a connection for which there is no room what became of its request: nothing.
    fn turn_away(&self, stream: TcpStream) {
        let _ = stream.set_write_timeout(Some(AWAY_LIMIT));
        let Ok(copy) = stream.try_clone() else { return };
        let limits = Bounds { caller: AWAY_LIMIT, ..self.bounds };
        let head = match Reader::new(copy, limits).request() {
            Ok(request) => Some(Box::new(request)),
            Err(ReadEnd::Refused(_, head)) => head,
            Err(ReadEnd::Closed) => return,
        };
        self.refuse(&stream, head.as_deref(), full());
        linger(&stream);
    }
}

fn full() -> Refusal {
    let text = "this host has no room for another request; come back, or raise `--requests`";
    Refusal::not_run(Code::QueueFull, text)
}

/// Reads on for a while after a refusal: a close with unread bytes would reset the connection, and
/// the caller would lose the refusal.
fn linger(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let end = Instant::now() + LINGER;
    let mut rest = [0; 4096];
    let mut bytes = 0;
    let mut input = stream;
    while bytes < LINGER_BYTES {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return;
        }
        match input.read(&mut rest) {
            Ok(0) | Err(_) => return,
            Ok(len) => bytes += len,
        }
    }
}

/// A connection that can be closed from outside while it is idle.
struct Kept<'a> {
    shared: &'a Shared,
    id: u64,
}

impl Drop for Kept<'_> {
    fn drop(&mut self) {
        self.shared.open.lock().remove(&self.id);
    }
}
