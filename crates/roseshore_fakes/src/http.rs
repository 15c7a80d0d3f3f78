//! A small HTTP server for the fakes.
//!
//! Each connection has its own thread, and a limited number of requests is handled at once. Request
//! and response bodies are JSON. [`LineWriter`] streams lines and flushes each of them to the socket:
//! both the chunk encoder and the buffer below it have to be flushed after every line.

mod connection;

use chunked_transfer::Encoder;
use serde::{Serialize, de::DeserializeOwned};
use socket2::SockRef;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tiny_http::{HTTPVersion, Header, Method, Response, StatusCode};

pub use connection::{Request, ResponseWriter};

/// The largest accepted request body, in bytes.
pub const MAX_BODY: u64 = 16 << 20;

/// The pause after a failed accept, and between two attempts to wake the acceptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(1);

/// Handles requests; every path has to reply or start a stream.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request on the thread of its connection, which it may block.
    fn handle(&self, request: Request);
}

/// A listening server.
pub struct Server {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on `bind` (port 0 for any free port) and handles at most `workers` requests at once.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(
        bind: SocketAddr,
        workers: usize,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(bind)?;
        // Accepted sockets inherit TCP_NODELAY. Without it a line may wait for the peer's ACK.
        SockRef::from(&listener).set_tcp_nodelay(true)?;
        let addr = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let (enter, leave) = flume::bounded(workers);
        let state = Arc::new(ServerState { stop: stop.clone(), handler, enter, leave });
        let acceptor = thread::spawn(move || accept_all(&listener, &state));
        Ok(Server { addr, stop, acceptor: Some(acceptor) })
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening: new connections are refused and running requests complete. A request on a
    /// kept-alive connection gets no reply.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let Some(acceptor) = self.acceptor.take() else { return };
        // A connection wakes the acceptor, which closes the listener when it ends.
        while !acceptor.is_finished() {
            let _ = TcpStream::connect(self.addr);
            thread::sleep(ACCEPT_RETRY);
        }
        let _ = acceptor.join();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// What the connections share.
struct ServerState {
    stop: Arc<AtomicBool>,
    handler: Arc<dyn Handler>,
    /// Holds one item for each request in progress; sending waits while it is full.
    enter: flume::Sender<()>,
    leave: flume::Receiver<()>,
}

impl ServerState {
    fn handle(&self, request: Request) {
        if self.stop.load(Ordering::SeqCst) {
            return;
        }
        let _ = self.enter.send(());
        self.handler.handle(request);
        let _ = self.leave.recv();
    }
}

fn accept_all(listener: &TcpListener, state: &Arc<ServerState>) {
    loop {
        let accepted = listener.accept();
        if state.stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok((stream, _)) = accepted else {
            thread::sleep(ACCEPT_RETRY);
            continue;
        };
        let state = state.clone();
        // Without a thread, the connection is closed, as by a host that is out of resources.
        let _ = thread::Builder::new().spawn(move || {
            // A client that disconnected is not an error of the fake.
            let _ = connection::serve(&stream, |request| state.handle(request));
        });
    }
}

/// The path of a request without its query string.
pub fn path(request: &Request) -> String {
    request.url().split('?').next().unwrap_or_default().to_owned()
}

/// A numeric query parameter of a request.
pub fn query(request: &Request, name: &str) -> Option<u64> {
    let (_, query) = request.url().split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// The value of a request header.
pub fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(str::to_owned)
}

/// Parses a request body as JSON.
///
/// # Errors
/// When the body does not parse as `T`; the text gives the reason.
pub fn read_json<T: DeserializeOwned>(request: &Request) -> Result<T, String> {
    serde_json::from_slice(request.body()).map_err(|e| e.to_string())
}

/// Replies with a JSON body.
pub fn reply_json<T: Serialize>(request: Request, status: u16, body: &T) {
    let body = serde_json::to_vec(body).unwrap_or_default();
    reply_bytes(request, status, "application/json", body, &[]);
}

/// Replies with a status and a plain text.
pub fn reply_text(request: Request, status: u16, text: &str) {
    reply_bytes(request, status, "text/plain", text.as_bytes().to_vec(), &[]);
}

/// Replies with a status, a plain text and a `Retry-After` header, rounded up to whole seconds.
pub fn reply_after(request: Request, status: u16, after: Duration, text: &str) {
    let seconds = after.as_millis().div_ceil(1000).to_string();
    let headers = [("Retry-After", seconds.as_str())];
    reply_bytes(request, status, "text/plain", text.as_bytes().to_vec(), &headers);
}

/// Replies with a body of any type and headers.
pub fn reply_bytes(
    request: Request,
    status: u16,
    content: &str,
    body: Vec<u8>,
    headers: &[(&str, &str)],
) {
    let mut response = Response::from_data(body).with_status_code(StatusCode(status));
    let content = [("Content-Type", content)];
    for (name, value) in content.iter().chain(headers) {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    let head = *request.method() == Method::Head;
    let mut out = request.into_writer();
    // A client that disconnected is not an error of the fake.
    let _ = response.raw_print(&mut out, HTTPVersion(1, 1), &[], head, None);
}

/// A response that is streamed line by line, each line flushed to the socket.
///
/// If it is dropped without [`LineWriter::end`], the response lacks its final chunk, so the client
/// sees a truncated body. The connection closes if the client sent `Connection: close`.
pub struct LineWriter {
    encoder: Encoder<ClosableWriter>,
    whole: bool,
}

impl LineWriter {
    /// Sends the head of a `200` response immediately.
    ///
    /// # Errors
    /// When the client disconnected.
    pub fn start(request: Request, content: &str) -> io::Result<LineWriter> {
        let mut out = request.into_writer();
        write!(out, "HTTP/1.1 200 OK\r\nContent-Type: {content}\r\n")?;
        write!(out, "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n")?;
        out.flush()?;
        Ok(LineWriter { encoder: Encoder::new(ClosableWriter { out, open: true }), whole: false })
    }

    /// Writes one line and its newline.
    ///
    /// # Errors
    /// When the client disconnected.
    pub fn line(&mut self, line: &[u8]) -> io::Result<()> {
        self.encoder.write_all(line)?;
        self.encoder.write_all(b"\n")?;
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }

    /// Ends the response with its final chunk.
    pub fn end(mut self) {
        self.whole = true;
    }
}

impl Drop for LineWriter {
    fn drop(&mut self) {
        self.encoder.get_mut().open = self.whole;
    }
}

/// A writer that discards all output once closed. The encoder writes its final chunk on drop, which
/// a truncated response must not have.
struct ClosableWriter {
    out: ResponseWriter,
    open: bool,
}

impl Write for ClosableWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.open { self.out.write(bytes) } else { Err(io::ErrorKind::BrokenPipe.into()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// Drops a request without a reply. The connection closes if the client sent `Connection: close`,
/// and otherwise stays open and silent.
pub fn drop_request(request: Request) {
    drop(request.into_writer());
}
