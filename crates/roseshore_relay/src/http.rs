//! HTTP/1.1 as bytes: heads in and out, and the framing of bodies.
//!
//! Nothing here holds a socket. A head is read from the front of a buffer once it is whole; a
//! [`BodyDecoder`] then takes the body off the same buffer as it comes and says when it is complete.

use quick_error::quick_error;
use roseshore_ports::entry::Field;
use std::io::Write;

/// Header fields that a head may hold.
const MAX_FIELDS: usize = 64;
/// Digits of a chunk's size.
const MAX_SIZE_LINE: usize = 64;

quick_error! {
    /// Why bytes are no message.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum HttpError {
        /// They break the protocol.
        Malformed { display("the bytes are no HTTP message") }
        /// The head is larger than allowed.
        HeadTooLarge { display("the head is too large") }
        /// The body's length is given twice or in two ways.
        Ambiguous { display("the length of the body is ambiguous") }
    }
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query as sent.
    pub path: String,
    /// The fields.
    pub fields: Vec<Field>,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection is to be kept.
    pub keep_alive: bool,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// The fields.
    pub fields: Vec<Field>,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may be used again.
    pub keep_alive: bool,
}

/// The first value of a field.
pub fn field<'a>(fields: &'a [Field], name: &str) -> Option<&'a str> {
    let found = fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(&found.1).ok().map(str::trim)
}

fn says(fields: &[Field], name: &str, word: &str) -> bool {
    let all = fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
    let values = all.filter_map(|(_, v)| std::str::from_utf8(v).ok());
    values.flat_map(|v| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
}

/// The body's length by its fields; `None` when none of them says.
fn framing(fields: &[Field]) -> Result<Option<Framing>, HttpError> {
    let mut lengths = fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(HttpError::Ambiguous);
    }
    let coded = fields.iter().any(|(n, _)| n.eq_ignore_ascii_case("transfer-encoding"));
    if coded {
        let chunked = field(fields, "transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let clear = length.is_none() && chunked;
        return if clear { Ok(Some(Framing::Chunked)) } else { Err(HttpError::Ambiguous) };
    }
    let Some((_, value)) = length else { return Ok(None) };
    let digits = std::str::from_utf8(value).ok().map(str::trim);
    let digits = digits.filter(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()));
    let number = digits.and_then(|d| d.parse().ok()).ok_or(HttpError::Malformed)?;
    Ok(Some(Framing::Length(number)))
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<Field> {
    headers.iter().map(|h| (h.name.to_owned(), h.value.to_vec())).collect()
}

/// Reads a request's head off the front of a buffer; `None` while it is not whole.
///
/// # Errors
/// When the bytes are no head, or more than `most` of them.
pub fn parse_request(buffer: &mut Vec<u8>, most: usize) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request.parse(buffer).map_err(|_| HttpError::Malformed)?;
    let httparse::Status::Complete(used) = parsed else {
        return if buffer.len() > most { Err(HttpError::HeadTooLarge) } else { Ok(None) };
    };
    if used > most {
        return Err(HttpError::HeadTooLarge);
    }
    let fields = owned(request.headers);
    let newer = request.version == Some(1);
    let keep_alive = if newer {
        !says(&fields, "connection", "close")
    } else {
        says(&fields, "connection", "keep-alive")
    };
    let framing = framing(&fields)?.unwrap_or(Framing::Length(0));
    let (Some(method), Some(path)) = (request.method, request.path) else {
        return Err(HttpError::Malformed);
    };
    let head = RequestHead {
        method: method.to_owned(),
        path: path.to_owned(),
        fields,
        framing,
        keep_alive,
    };
    buffer.drain(..used);
    Ok(Some(head))
}

/// Reads an answer's head off the front of a buffer; `None` while it is not whole.
///
/// # Errors
/// When the bytes are no head, or more than `most` of them.
pub fn parse_response(
    buffer: &mut Vec<u8>,
    most: usize,
) -> Result<Option<ResponseHead>, HttpError> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut answer = httparse::Response::new(&mut headers);
        let parsed = answer.parse(buffer).map_err(|_| HttpError::Malformed)?;
        let httparse::Status::Complete(used) = parsed else {
            return if buffer.len() > most { Err(HttpError::HeadTooLarge) } else { Ok(None) };
        };
        let fields = owned(answer.headers);
        let status = answer.code.ok_or(HttpError::Malformed)?;
        let reason = answer.reason.unwrap_or("").to_owned();
        let newer = answer.version == Some(1);
        buffer.drain(..used);
        if (100..200).contains(&status) {
            continue;
        }
        let none = status == 204 || status == 304;
        let framing = framing(&fields)?.unwrap_or(Framing::UntilClose);
        let framing = if none { Framing::Length(0) } else { framing };
        let close = says(&fields, "connection", "close");
        let keep_alive = newer && !close && framing != Framing::UntilClose;
        return Ok(Some(ResponseHead { status, reason, fields, framing, keep_alive }));
    }
}

/// What is left of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Takes a body off a buffer.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// A decoder at the body's start.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Whether the body is complete.
    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether an orderly end of the connection completes the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Moves what belongs to the body from `input` to `body`.
    ///
    /// # Errors
    /// When the framing is broken.
    pub fn decode(&mut self, input: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<(), HttpError> {
        loop {
            match self.state {
                State::Done => return Ok(()),
                State::UntilClose => {
                    body.append(input);
                    return Ok(());
                }
                State::Length(left) => {
                    let left = take_bytes(left, input, body);
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                    if left > 0 {
                        return Ok(());
                    }
                }
                State::ChunkData(left) => {
                    let left = take_bytes(left, input, body);
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                    if left > 0 {
                        return Ok(());
                    }
                }
                State::ChunkSize => {
                    let Some(line) = take_line(input)? else { return Ok(()) };
                    let size = chunk_size(&line).ok_or(HttpError::Malformed)?;
                    self.state = if size == 0 { State::Trailer } else { State::ChunkData(size) };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(input)? else { return Ok(()) };
                    if !line.is_empty() {
                        return Err(HttpError::Malformed);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer => {
                    let Some(line) = take_line(input)? else { return Ok(()) };
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }
}

fn take_bytes(left: u64, input: &mut Vec<u8>, body: &mut Vec<u8>) -> u64 {
    let count = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
    body.extend(input.drain(..count));
    left - count as u64
}

fn take_line(input: &mut Vec<u8>) -> Result<Option<Vec<u8>>, HttpError> {
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        return if input.len() > MAX_SIZE_LINE { Err(HttpError::Malformed) } else { Ok(None) };
    };
    let mut line: Vec<u8> = input.drain(..=end).collect();
    line.pop();
    if line.pop_if(|b| *b == b'\r').is_none() {
        return Err(HttpError::Malformed);
    }
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    let digits = text.split(';').next()?.trim();
    let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
    plain.then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// Writes the head of a request.
pub fn write_request(out: &mut Vec<u8>, method: &str, path: &str, fields: &[Field], body: usize) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "{method} {path} HTTP/1.1\r\n");
    put_fields(out, fields);
    if body > 0 || method != "GET" {
        let _ = write!(out, "Content-Length: {body}\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// How an answer's body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// At once, with its length.
    Length(usize),
    /// In chunks.
    Chunked,
}

/// Writes the head of an answer.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    reason: &str,
    fields: &[Field],
    sent: BodyFraming,
    close: bool,
) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
    put_fields(out, fields);
    let _ = match sent {
        BodyFraming::Length(length) => write!(out, "Content-Length: {length}\r\n"),
        BodyFraming::Chunked => write!(out, "Transfer-Encoding: chunked\r\n"),
    };
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

fn put_fields(out: &mut Vec<u8>, fields: &[Field]) {
    for (name, value) in fields {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
}

/// Writes one chunk of a body.
pub fn write_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    // Writing to a vector cannot fail.
    let _ = write!(out, "{:x}\r\n", bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The usual reason phrase of a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
