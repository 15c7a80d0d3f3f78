//! A small HTTP server for the fakes, based on `tiny_http`.
//!
//! A dispatcher hands each request to a worker thread. Workers are started on demand up to a limit
//! and live as long as the server. Request and response bodies are JSON. [`LineWriter`] streams
//! lines and flushes each of them to the socket. `tiny_http` alone does not: both the chunk encoder
//! and the buffer below it have to be flushed after every line.

use chunked_transfer::Encoder;
use serde::{Serialize, de::DeserializeOwned};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tiny_http::{Header, Response, StatusCode};

pub use tiny_http::Request;

/// The largest accepted request body, in bytes.
pub const MAX_BODY: u64 = 16 << 20;

/// The longest wait for the listener to close.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// Handles requests; every path has to reply or start a stream.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request on a worker thread, which it may block.
    fn handle(&self, request: Request);
}

/// A listening server.
pub struct Server {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    http: Option<Arc<tiny_http::Server>>,
    dispatcher: Option<JoinHandle<()>>,
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
        let http = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let http = Arc::new(http);
        let stop = Arc::new(AtomicBool::new(false));
        let pool = Pool::new(workers, handler);
        let dispatcher = thread::spawn({
            let (http, stop) = (http.clone(), stop.clone());
            move || dispatch(&http, &stop, &pool)
        });
        Ok(Server { addr, stop, http: Some(http), dispatcher: Some(dispatcher) })
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening: new connections are refused and running requests complete. A request on a
    /// kept-alive connection gets no reply.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(http) = self.http.take() {
            http.unblock();
        }
        if let Some(dispatcher) = self.dispatcher.take() {
            let _ = dispatcher.join();
            self.wait_closed();
        }
    }

    /// Waits until the listener is closed. The accepting thread closes it some time after the
    /// server is dropped; until then a client could still connect and would get no reply.
    fn wait_closed(&self) {
        let until = Instant::now() + CLOSE_LIMIT;
        while TcpStream::connect(self.addr).is_ok() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn dispatch(http: &tiny_http::Server, stop: &AtomicBool, pool: &Pool) {
    while !stop.load(Ordering::SeqCst) {
        if let Ok(request) = http.recv() {
            pool.submit(request);
        }
    }
}

struct Pool {
    max: usize,
    count: AtomicUsize,
    busy: Arc<AtomicUsize>,
    handler: Arc<dyn Handler>,
    queue: (flume::Sender<Request>, flume::Receiver<Request>),
}

impl Pool {
    fn new(max: usize, handler: Arc<dyn Handler>) -> Pool {
        let queue = flume::bounded(max);
        Pool { max, count: AtomicUsize::new(0), busy: Arc::default(), handler, queue }
    }

    // Only the dispatcher calls this. Counting before the hand-over ensures that a worker which is
    // about to receive a request is not taken for an idle one.
    fn submit(&self, request: Request) {
        let busy = self.busy.fetch_add(1, Ordering::SeqCst);
        if busy >= self.count.load(Ordering::SeqCst) && busy < self.max {
            self.count.fetch_add(1, Ordering::SeqCst);
            self.spawn();
        }
        let _ = self.queue.0.send(request);
    }

    fn spawn(&self) {
        let (queue, handler, busy) =
            (self.queue.1.clone(), self.handler.clone(), self.busy.clone());
        thread::spawn(move || {
            while let Ok(request) = queue.recv() {
                handler.handle(request);
                busy.fetch_sub(1, Ordering::SeqCst);
            }
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
    let found =
        request.headers().iter().find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str().to_owned())
}

/// Reads a request body as raw bytes, up to [`MAX_BODY`].
///
/// # Errors
/// When the body is truncated.
pub fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    request.as_reader().take(MAX_BODY).read_to_end(&mut body)?;
    Ok(body)
}

/// Reads a request body as JSON.
///
/// # Errors
/// When the body is truncated or does not parse as `T`; the text gives the reason.
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    let body = read_body(request).map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
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
    // A client that disconnected is not an error of the fake.
    let _ = request.respond(response);
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
    out: Box<dyn Write + Send>,
    open: bool,
}

// The buffer below belongs to the connection and outlives the response: without a flush, what the
// encoder wrote on drop would stay there as long as the connection is kept alive.
impl Drop for ClosableWriter {
    fn drop(&mut self) {
        if self.open {
            let _ = self.out.flush();
        }
    }
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
