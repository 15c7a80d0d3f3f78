//! Reads requests from a connection, within limits of size and time.
//!
//! The head is parsed by `httparse` into `tiny_http`'s types, a chunked body is decoded by
//! `chunked_transfer`. This module adds what `tiny_http`'s server lacks: limits on the size of the head
//! and of the body, and on the time for both together.

use chunked_transfer::Decoder;
use roseshore_core::gateway::memory::{Account, Buffer, Holder, MemoryLimits};
use roseshore_core::prelude::*;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::str::FromStr;
use tiny_http::{Header, Method};

/// Longest head, in bytes.
const MAX_HEAD: usize = 16 << 10;
/// Bytes of a body that are read at once.
const READ_SIZE: usize = 8 << 10;
/// Maximum number of headers.
const MAX_HEADERS: usize = 100;
/// Minor version of HTTP/1 that supports chunked bodies.
const CHUNKED_MINOR: u8 = 1;
const BAD_REQUEST_LINE: &str = "the request line is not `METHOD /PATH HTTP/1.1`";
/// Headers that determine how a request is handled; each may occur only once.
const UNIQUE_HEADERS: &[&str] = &[
    "content-length",
    "transfer-encoding",
    "idempotency-key",
    "x-deadline-ms",
    "x-organisation",
    "x-priority",
    "x-request-id",
    "traceparent",
];

/// Limits on a caller's requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest body, in bytes.
    pub body: usize,
    /// Memory that all bodies may take.
    pub memory: MemoryLimits,
    /// Time for one whole request, from its first byte.
    pub request: Duration,
    /// How long a connection may be idle between two requests.
    pub idle: Duration,
}

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, without the `?`.
    pub query: String,
    /// The body.
    pub body: Buffer,
    /// When the first byte arrived.
    pub received: Instant,
    /// Whether the connection is closed after this request.
    pub close: bool,
    /// Whether the caller supports chunked bodies (HTTP/1.1).
    pub chunked: bool,
    headers: Vec<Header>,
}

impl Request {
    /// The value of a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|it| has_name(it, name))?;
        Some(header.value.as_str())
    }
}

fn has_name(header: &Header, name: &str) -> bool {
    header.field.as_str().as_str().eq_ignore_ascii_case(name)
}

/// Why no request was read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection was closed or idle for too long; no request was started.
    Closed,
    /// The request cannot be served; the connection must be closed after the refusal. Includes the head
    /// if it could be read.
    Refused(Refusal, Option<Box<Request>>),
}

/// A connection whose reads time out at a deadline.
#[derive(Debug)]
pub struct DeadlineStream {
    stream: TcpStream,
    deadline: Instant,
}

impl Read for DeadlineStream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        match self.stream.read(buf) {
            Err(err) if err.kind() == ErrorKind::WouldBlock => Err(ErrorKind::TimedOut.into()),
            other => other,
        }
    }
}

/// Reads the requests of one connection.
pub struct Reader {
    input: BufReader<DeadlineStream>,
    limits: Limits,
    account: Account,
    first: bool,
}

impl Reader {
    /// Creates a reader of a new connection, whose bodies are charged to `account`.
    pub fn new(stream: TcpStream, limits: Limits, account: Account) -> Reader {
        let stream = DeadlineStream { stream, deadline: Instant::now() };
        Reader { input: BufReader::new(stream), limits, account, first: true }
    }

    /// Reads the next request with its body.
    ///
    /// # Errors
    /// Fails when there is no request or it cannot be served.
    pub fn request(&mut self) -> Result<Request, ReadError> {
        self.wait()?;
        let received = Instant::now();
        self.set_deadline(received + self.limits.request);
        let mut request = self.head(received).map_err(|it| ReadError::Refused(it, None))?;
        if let Err(refusal) = self.body(&mut request) {
            return Err(ReadError::Refused(refusal, Some(Box::new(request))));
        }
        Ok(request)
    }

    fn set_deadline(&mut self, deadline: Instant) {
        self.input.get_mut().deadline = deadline;
    }

    /// Waits for the first byte. A new connection that sends nothing is refused as slow; one that has
    /// been used before is closed without a response.
    fn wait(&mut self) -> Result<(), ReadError> {
        let first = std::mem::replace(&mut self.first, false);
        let limit = if first { self.limits.request } else { self.limits.idle };
        self.set_deadline(Instant::now() + limit);
        match self.input.fill_buf() {
            Ok([]) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(err) if first && err.kind() == ErrorKind::TimedOut => {
                Err(ReadError::Refused(too_slow(), None))
            }
            Err(_) => Err(ReadError::Closed),
        }
    }

    fn head(&mut self, received: Instant) -> Result<Request, Refusal> {
        let mut head = Vec::new();
        while head.len() < MAX_HEAD {
            let received_bytes = self.input.fill_buf().map_err(|err| read_refusal(&err))?;
            if received_bytes.is_empty() {
                break;
            }
            let before = head.len();
            let taken = received_bytes.len().min(MAX_HEAD - before);
            head.extend_from_slice(&received_bytes[..taken]);
            // The head is parsed again only after a line end, so that a head sent byte by byte costs
            // no more than one sent at once.
            let line_ended = head[before..].contains(&b'\n');
            let body = || self.account.buffer(Holder::Receiving);
            let parsed = if line_ended { parse(&head, received, body)? } else { None };
            if let Some((request, len)) = parsed {
                self.input.consume(len - before);
                return Ok(request);
            }
            self.input.consume(taken);
        }
        Err(bad_request("the head ends early or exceeds 16 KiB; send a shorter one"))
    }

    fn body(&mut self, request: &mut Request) -> Result<(), Refusal> {
        let Limits { body: max, memory, .. } = self.limits;
        match body_length(request)? {
            BodyLength::Bytes(0) => Ok(()),
            BodyLength::Bytes(len) if len > max as u64 => Err(too_large(max)),
            BodyLength::Bytes(len) if !memory.can_take(&self.account, 0, len as usize) => {
                Err(no_memory())
            }
            BodyLength::Bytes(len) => {
                self.send_continue(request)?;
                let input = (&mut self.input).take(len);
                read_body(input, &mut request.body, memory, &self.account)?;
                let whole = request.body.len() as u64 == len;
                if whole { Ok(()) } else { Err(read_refusal(&ErrorKind::UnexpectedEof.into())) }
            }
            BodyLength::Chunked => {
                self.send_continue(request)?;
                let input = Decoder::new(&mut self.input).take(max as u64 + 1);
                read_body(input, &mut request.body, memory, &self.account)?;
                if request.body.len() > max { Err(too_large(max)) } else { Ok(()) }
            }
        }
    }

    /// Sends `100 Continue` to a caller that waits for it before it sends the body.
    fn send_continue(&mut self, request: &Request) -> Result<(), Refusal> {
        match request.header("expect") {
            None => Ok(()),
            Some(value) if value.eq_ignore_ascii_case("100-continue") => {
                let mut stream = &self.input.get_ref().stream;
                stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(|err| read_refusal(&err))
            }
            Some(_) => Err(bad_header("`expect` may only be `100-continue`")),
        }
    }
}

/// Reads a body up to its end, unless all bodies together take too much memory.
fn read_body(
    mut input: impl Read,
    body: &mut Buffer,
    limits: MemoryLimits,
    account: &Account,
) -> Result<(), Refusal> {
    let mut chunk = [0; READ_SIZE];
    loop {
        let count = match input.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(count) => count,
            Err(err) if err.kind() == ErrorKind::Interrupted => continue,
            Err(err) => return Err(read_refusal(&err)),
        };
        if !limits.can_take(account, body.len(), count) {
            return Err(no_memory());
        }
        body.edit(|body| body.extend_from_slice(&chunk[..count]));
    }
}

/// Parses a head; returns the request and the head's length, or `None` if the head is incomplete.
fn parse(
    head: &[u8],
    received: Instant,
    body: impl FnOnce() -> Buffer,
) -> Result<Option<(Request, usize)>, Refusal> {
    if head.starts_with(b"\r") || head.starts_with(b"\n") {
        return Err(bad_request(BAD_REQUEST_LINE));
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(head).map_err(malformed)? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(len) => Ok(Some((request(&parsed, received, body())?, len))),
    }
}

fn malformed(err: httparse::Error) -> Refusal {
    match err {
        httparse::Error::Version => bad_request("only `HTTP/1.1` and `HTTP/1.0` are spoken here"),
        httparse::Error::TooManyHeaders => {
            bad_request(format!("more than {MAX_HEADERS} headers; send fewer"))
        }
        httparse::Error::HeaderName | httparse::Error::HeaderValue => {
            bad_header("a header is not `NAME: VALUE` on one line")
        }
        _ => bad_request(BAD_REQUEST_LINE),
    }
}

fn request(
    parsed: &httparse::Request<'_, '_>,
    received: Instant,
    body: Buffer,
) -> Result<Request, Refusal> {
    let method = parsed.method.and_then(|it| Method::from_str(it).ok());
    let target = parsed.path.filter(|it| it.starts_with('/'));
    let (Some(method), Some(target)) = (method, target) else {
        return Err(bad_request(BAD_REQUEST_LINE));
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let chunked = parsed.version == Some(CHUNKED_MINOR);
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        body,
        received,
        close: !chunked,
        chunked,
        headers: parsed.headers.iter().map(header).collect::<Result<_, _>>()?,
    };
    reject_duplicates(&request.headers)?;
    apply_connection(&mut request);
    Ok(request)
}

fn header(parsed: &httparse::Header<'_>) -> Result<Header, Refusal> {
    let ascii = Header::from_bytes(parsed.name, parsed.value);
    ascii.map_err(|()| bad_header("a header's value is not ASCII"))
}

fn reject_duplicates(headers: &[Header]) -> Result<(), Refusal> {
    for name in UNIQUE_HEADERS {
        if headers.iter().filter(|it| has_name(it, name)).count() > 1 {
            return Err(bad_header(format!("`{name}` is given twice; send it once")));
        }
    }
    Ok(())
}

fn apply_connection(request: &mut Request) {
    let value = request.header("connection").unwrap_or_default().to_ascii_lowercase();
    if value.contains("close") {
        request.close = true;
    } else if value.contains("keep-alive") {
        request.close = false;
    }
}

/// The framing of a body.
enum BodyLength {
    Bytes(u64),
    Chunked,
}

/// Reads the framing headers. A request with both of them is refused, because a proxy in front may
/// have used the other one (request smuggling).
fn body_length(request: &Request) -> Result<BodyLength, Refusal> {
    let encoding = request.header("transfer-encoding");
    let bytes = request.header("content-length");
    match (encoding, bytes) {
        (None, None) => Ok(BodyLength::Bytes(0)),
        (None, Some(text)) if text.bytes().all(|it| it.is_ascii_digit()) => text
            .parse()
            .map(BodyLength::Bytes)
            .map_err(|_| bad_header("`content-length` is too large")),
        (None, Some(_)) => Err(bad_header("`content-length` is not a whole number")),
        (Some(text), None) if text.eq_ignore_ascii_case("chunked") => Ok(BodyLength::Chunked),
        (Some(_), None) => Err(bad_header("`transfer-encoding` may only be `chunked`")),
        (Some(_), Some(_)) => {
            Err(bad_header("`content-length` and `transfer-encoding` exclude each other"))
        }
    }
}

fn read_refusal(err: &io::Error) -> Refusal {
    if err.kind() == ErrorKind::TimedOut {
        return too_slow();
    }
    bad_request("the request ends early or is not well-formed")
}

fn too_slow() -> Refusal {
    Refusal::not_run(Code::SlowCaller, "the request was not sent whole in time; send it again")
}

fn too_large(max: usize) -> Refusal {
    let text = format!("the body exceeds {max} bytes; send less, or raise `--body-bytes`");
    Refusal::not_run(Code::BodyTooLarge, text)
}

fn no_memory() -> Refusal {
    let text = "this host has no memory for the request; come back, or raise `--memory-mb`";
    Refusal::not_run(Code::MemoryFull, text)
}

fn bad_request(text: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::BadRequest, text)
}

fn bad_header(text: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::BadHeader, text)
}
