//! Reading one request of a caller, within bounds of size and time.
//!
//! The head goes through `httparse` into `tiny_http`'s own types, a chunked body through
//! `chunked_transfer`; what is done here is what `tiny_http`'s server leaves out: a bound on the
//! head, on the body, and on the time that both may take together.

use chunked_transfer::Decoder;
use roseshore_core::prelude::*;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::str::FromStr;
use tiny_http::{Header, Method};

/// The longest head, bytes.
const MAX_HEAD: usize = 16 << 10;
/// The most header lines.
const MAX_HEADERS: usize = 100;
/// The minor version of HTTP 1 from which on callers understand chunks.
const MINOR_WITH_CHUNKS: u8 = 1;
const REQUEST_LINE: &str = "the request line is not `METHOD /PATH HTTP/1.1`";
/// Headers that change what is done; each may be given once.
const CONTROL: &[&str] = &[
    "content-length",
    "transfer-encoding",
    "idempotency-key",
    "x-deadline-ms",
    "x-organisation",
    "x-priority",
    "x-request-id",
    "traceparent",
];

/// The bounds on what a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest body, bytes.
    pub body: usize,
    /// The time for one whole request.
    pub caller: Duration,
    /// The time that a kept connection may lie idle.
    pub idle: Duration,
}

/// A whole request.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// What follows the `?`.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte came.
    pub received: Instant,
    /// Whether nothing may follow on this connection.
    pub last: bool,
    /// Whether the caller understands chunks.
    pub chunks: bool,
    headers: Vec<Header>,
}

impl Request {
    /// A header's value, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|it| is(it, name))?;
        Some(header.value.as_str())
    }
}

fn is(header: &Header, name: &str) -> bool {
    header.field.as_str().as_str().eq_ignore_ascii_case(name)
}

/// Why there is no request.
#[derive(Debug)]
pub enum ReadEnd {
    /// The caller is gone, or idle for too long; nothing was asked.
    Closed,
    /// What came cannot be served; the connection must be closed after the refusal. The head is
    /// given where it could be read.
    Refused(Refusal, Option<Box<Request>>),
}

/// A connection whose reads end at a deadline.
#[derive(Debug)]
pub struct Timed {
    stream: TcpStream,
    deadline: Instant,
}

impl Read for Timed {
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

/// The reading side of a connection.
pub struct Reader {
    input: BufReader<Timed>,
    bounds: Bounds,
    fresh: bool,
}

impl Reader {
    /// Reads from a connection.
    pub fn new(stream: TcpStream, bounds: Bounds) -> Reader {
        let timed = Timed { stream, deadline: Instant::now() };
        Reader { input: BufReader::new(timed), bounds, fresh: true }
    }

    /// Reads the next whole request.
    ///
    /// # Errors
    /// When there is none, or none that can be served.
    pub fn request(&mut self) -> Result<Request, ReadEnd> {
        self.wait()?;
        let received = Instant::now();
        self.set_deadline(received + self.bounds.caller);
        let mut request = self.head(received).map_err(|it| ReadEnd::Refused(it, None))?;
        match self.body(&request) {
            Ok(body) => request.body = body,
            Err(refusal) => return Err(ReadEnd::Refused(refusal, Some(Box::new(request)))),
        }
        Ok(request)
    }

    fn set_deadline(&mut self, deadline: Instant) {
        self.input.get_mut().deadline = deadline;
    }

    /// Waits for the first byte. A new connection that stays silent is told so; one that was
    /// used before is just closed.
    fn wait(&mut self) -> Result<(), ReadEnd> {
        let fresh = std::mem::replace(&mut self.fresh, false);
        let limit = if fresh { self.bounds.caller } else { self.bounds.idle };
        self.set_deadline(Instant::now() + limit);
        match self.input.fill_buf() {
            Ok([]) => Err(ReadEnd::Closed),
            Ok(_) => Ok(()),
            Err(err) if fresh && err.kind() == ErrorKind::TimedOut => {
                Err(ReadEnd::Refused(slow(), None))
            }
            Err(_) => Err(ReadEnd::Closed),
        }
    }

    fn head(&mut self, received: Instant) -> Result<Request, Refusal> {
        let mut head = Vec::new();
        while head.len() < MAX_HEAD {
            let came = self.input.fill_buf().map_err(|err| broken(&err))?;
            if came.is_empty() {
                break;
            }
            let before = head.len();
            let taken = came.len().min(MAX_HEAD - before);
            head.extend_from_slice(&came[..taken]);
            // Only a line's end can tell more, so that a head sent byte by byte costs no more.
            let ended = head[before..].contains(&b'\n');
            let whole = if ended { parse(&head, received)? } else { None };
            if let Some((request, len)) = whole {
                self.input.consume(len - before);
                return Ok(request);
            }
            self.input.consume(taken);
        }
        Err(bad("the head ends early or exceeds 16 KiB; send a shorter one"))
    }

    fn body(&mut self, request: &Request) -> Result<Vec<u8>, Refusal> {
        let bound = self.bounds.body;
        match length(request)? {
            Length::Bytes(0) => Ok(Vec::new()),
            Length::Bytes(len) if len > bound as u64 => Err(too_large(bound)),
            Length::Bytes(len) => {
                self.go_on(request)?;
                let mut body = vec![0; len as usize];
                self.input.read_exact(&mut body).map_err(|err| broken(&err))?;
                Ok(body)
            }
            Length::Chunks => {
                self.go_on(request)?;
                let mut body = Vec::new();
                let mut input = Decoder::new(&mut self.input).take(bound as u64 + 1);
                input.read_to_end(&mut body).map_err(|err| broken(&err))?;
                if body.len() > bound { Err(too_large(bound)) } else { Ok(body) }
            }
        }
    }

    /// Tells a caller that asked to go on with its body.
    fn go_on(&mut self, request: &Request) -> Result<(), Refusal> {
        match request.header("expect") {
            None => Ok(()),
            Some(value) if value.eq_ignore_ascii_case("100-continue") => {
                let mut stream = &self.input.get_ref().stream;
                stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").map_err(|err| broken(&err))
            }
            Some(_) => Err(bad_header("`expect` may only be `100-continue`")),
        }
    }
}

/// Parses a head that may not be whole yet; a whole one comes with its length.
fn parse(head: &[u8], received: Instant) -> Result<Option<(Request, usize)>, Refusal> {
    if head.starts_with(b"\r") || head.starts_with(b"\n") {
        return Err(bad(REQUEST_LINE));
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(head).map_err(malformed)? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(len) => Ok(Some((request(&parsed, received)?, len))),
    }
}

fn malformed(err: httparse::Error) -> Refusal {
    match err {
        httparse::Error::Version => bad("only `HTTP/1.1` and `HTTP/1.0` are spoken here"),
        httparse::Error::TooManyHeaders => {
            bad(format!("more than {MAX_HEADERS} headers; send fewer"))
        }
        httparse::Error::HeaderName | httparse::Error::HeaderValue => {
            bad_header("a header is not `NAME: VALUE` on one line")
        }
        _ => bad(REQUEST_LINE),
    }
}

fn request(parsed: &httparse::Request<'_, '_>, received: Instant) -> Result<Request, Refusal> {
    let method = parsed.method.and_then(|it| Method::from_str(it).ok());
    let target = parsed.path.filter(|it| it.starts_with('/'));
    let (Some(method), Some(target)) = (method, target) else { return Err(bad(REQUEST_LINE)) };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let chunks = parsed.version == Some(MINOR_WITH_CHUNKS);
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        body: Vec::new(),
        received,
        last: !chunks,
        chunks,
        headers: parsed.headers.iter().map(header).collect::<Result<_, _>>()?,
    };
    no_doubles(&request.headers)?;
    note_connection(&mut request);
    Ok(request)
}

fn header(parsed: &httparse::Header<'_>) -> Result<Header, Refusal> {
    let ascii = Header::from_bytes(parsed.name, parsed.value);
    ascii.map_err(|()| bad_header("a header's value is not ASCII"))
}

fn no_doubles(headers: &[Header]) -> Result<(), Refusal> {
    for name in CONTROL {
        if headers.iter().filter(|it| is(it, name)).count() > 1 {
            return Err(bad_header(format!("`{name}` is given twice; send it once")));
        }
    }
    Ok(())
}

fn note_connection(request: &mut Request) {
    let value = request.header("connection").unwrap_or_default().to_ascii_lowercase();
    if value.contains("close") {
        request.last = true;
    } else if value.contains("keep-alive") {
        request.last = false;
    }
}

enum Length {
    Bytes(u64),
    Chunks,
}

/// A length in both forms is refused: whoever forwards the request may have read the other one.
fn length(request: &Request) -> Result<Length, Refusal> {
    let encoding = request.header("transfer-encoding");
    let bytes = request.header("content-length");
    match (encoding, bytes) {
        (None, None) => Ok(Length::Bytes(0)),
        (None, Some(text)) if text.bytes().all(|it| it.is_ascii_digit()) => {
            text.parse().map(Length::Bytes).map_err(|_| bad_header("`content-length` is too large"))
        }
        (None, Some(_)) => Err(bad_header("`content-length` is not a whole number")),
        (Some(text), None) if text.eq_ignore_ascii_case("chunked") => Ok(Length::Chunks),
        (Some(_), None) => Err(bad_header("`transfer-encoding` may only be `chunked`")),
        (Some(_), Some(_)) => {
            Err(bad_header("`content-length` and `transfer-encoding` exclude each other"))
        }
    }
}

fn broken(err: &io::Error) -> Refusal {
    if err.kind() == ErrorKind::TimedOut {
        return slow();
    }
    bad("the request ends early or is not well-formed")
}

fn slow() -> Refusal {
    Refusal::not_run(Code::SlowCaller, "the request was not sent whole in time; send it again")
}

fn too_large(bound: usize) -> Refusal {
    let text = format!("the body exceeds {bound} bytes; send less, or raise `--body-bytes`");
    Refusal::not_run(Code::BodyTooLarge, text)
}

fn bad(text: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::BadRequest, text)
}

fn bad_header(text: impl Into<String>) -> Refusal {
    Refusal::not_run(Code::BadHeader, text)
}
