//! HTTP/1.1 parsing and serialization: message heads, and the framing of bodies.
//!
//! Nothing here owns a socket. A head is parsed from the front of a buffer once it is complete; a
//! [`BodyDecoder`] then consumes the body from the same buffer as it arrives.

use quick_error::quick_error;
use roseshore_ports::entry::Field;
use roseshore_wire::http::{ResponseKind, chunk_size, is_trailer_field, response_kind, trim};
use std::io::Write;

/// Maximum number of header fields in a head.
const MAX_FIELDS: usize = 64;
/// Maximum bytes of a line in a chunked body: a chunk size with its extensions, or a trailer field.
const MAX_CHUNK_LINE: usize = 1 << 10;
/// Maximum bytes of all trailer fields.
const MAX_TRAILERS: usize = 16 << 10;

quick_error! {
    /// Why bytes are not a valid HTTP message.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum HttpError {
        /// The bytes violate the protocol.
        Malformed { display("the bytes are no HTTP message") }
        /// The head exceeds the maximum size.
        HeadTooLarge { display("the head is too large") }
        /// Two `Content-Length` or `Transfer-Encoding` fields, a `Transfer-Encoding` other than `chunked`
        /// or beside a `Content-Length`. Guessing the length would allow request smuggling.
        Ambiguous { display("the length of the body is ambiguous") }
    }
}

/// How the end of a received body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked and ends with the last chunk and its trailer.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, such as `POST`.
    pub method: String,
    /// Path and query as received.
    pub path: String,
    /// The fields.
    pub fields: Vec<Field>,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the client wants the connection to stay open.
    pub keep_alive: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase; may be empty.
    pub reason: String,
    /// The fields.
    pub fields: Vec<Field>,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may be reused for another request.
    pub keep_alive: bool,
}

/// The trimmed value of the first header field with this name (case-insensitive), if it is UTF-8.
pub fn field<'a>(fields: &'a [Field], name: &str) -> Option<&'a str> {
    let found = fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(&found.1).ok().map(trim)
}

fn has_token(fields: &[Field], name: &str, token: &str) -> bool {
    let all = fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
    let values = all.filter_map(|(_, v)| std::str::from_utf8(v).ok());
    values.flat_map(|v| v.split(',')).any(|w| trim(w).eq_ignore_ascii_case(token))
}

/// Body framing according to the header fields; `None` if no field determines it.
fn framing(fields: &[Field]) -> Result<Option<Framing>, HttpError> {
    let mut lengths = fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(HttpError::Ambiguous);
    }
    let codings =
        fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case("transfer-encoding")).count();
    if codings > 0 {
        let chunked = field(fields, "transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let valid = length.is_none() && chunked && codings == 1;
        return if valid { Ok(Some(Framing::Chunked)) } else { Err(HttpError::Ambiguous) };
    }
    let Some((_, value)) = length else { return Ok(None) };
    let digits = std::str::from_utf8(value).ok().map(trim);
    let digits = digits.filter(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()));
    let number = digits.and_then(|d| d.parse().ok()).ok_or(HttpError::Malformed)?;
    Ok(Some(Framing::Length(number)))
}

fn copy_fields(headers: &[httparse::Header<'_>]) -> Vec<Field> {
    headers.iter().map(|h| (h.name.to_owned(), h.value.to_vec())).collect()
}

/// Removes a request head from the front of a buffer; `None` while it is incomplete.
///
/// # Errors
/// If the bytes are not a request head, the head exceeds `max_size` bytes, or the body length is
/// ambiguous.
pub fn parse_request(
    buffer: &mut Vec<u8>,
    max_size: usize,
) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request.parse(buffer).map_err(|_| HttpError::Malformed)?;
    let httparse::Status::Complete(used) = parsed else {
        return if buffer.len() > max_size { Err(HttpError::HeadTooLarge) } else { Ok(None) };
    };
    if used > max_size {
        return Err(HttpError::HeadTooLarge);
    }
    let fields = copy_fields(request.headers);
    let http11 = request.version == Some(1);
    let keep_alive = if http11 {
        !has_token(&fields, "connection", "close")
    } else {
        has_token(&fields, "connection", "keep-alive")
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

/// Removes a response head from the front of a buffer; `None` while it is incomplete. Interim
/// responses (1xx) before it are removed together with it, and count as a part of it.
///
/// # Errors
/// If the bytes are not a response head, the head exceeds `max_size` bytes, or the body length is
/// ambiguous.
pub fn parse_response(
    buffer: &mut Vec<u8>,
    max_size: usize,
) -> Result<Option<ResponseHead>, HttpError> {
    let mut begin = 0;
    loop {
        if buffer.get(begin).is_some_and(|byte| b"\r\n".contains(byte)) {
            // The library skips empty lines, as servers do before a request.
            return Err(HttpError::Malformed);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&buffer[begin..]).map_err(|_| HttpError::Malformed)?;
        let httparse::Status::Complete(used) = parsed else {
            return if buffer.len() > max_size { Err(HttpError::HeadTooLarge) } else { Ok(None) };
        };
        begin += used;
        if begin > max_size {
            return Err(HttpError::HeadTooLarge);
        }
        let status = response.code.ok_or(HttpError::Malformed)?;
        match response_kind(status).ok_or(HttpError::Malformed)? {
            ResponseKind::Interim => continue,
            ResponseKind::Final => {}
        }
        let fields = copy_fields(response.headers);
        let reason = response.reason.unwrap_or("").to_owned();
        let http11 = response.version == Some(1);
        buffer.drain(..begin);
        let bodiless = status == 204 || status == 304;
        let framing = framing(&fields)?.unwrap_or(Framing::UntilClose);
        let framing = if bodiless { Framing::Length(0) } else { framing };
        let close = has_token(&fields, "connection", "close");
        let keep_alive = http11 && !close && framing != Framing::UntilClose;
        return Ok(Some(ResponseHead { status, reason, fields, framing, keep_alive }));
    }
}

/// The next element expected in a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecoderState {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// With the size of the trailer fields so far.
    Trailer(usize),
    UntilClose,
    Done,
}

/// Incremental decoder of a body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// A decoder positioned at the start of a body.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => DecoderState::Done,
            Framing::Length(length) => DecoderState::Length(length),
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::UntilClose => DecoderState::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Whether the body is complete.
    pub fn done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Whether the body is complete when the peer closes the connection in order.
    pub fn ends_with_connection(&self) -> bool {
        self.state == DecoderState::UntilClose
    }

    /// Moves decoded body bytes from `input` to `body`, up to the end of the body.
    ///
    /// # Errors
    /// If the framing is malformed.
    pub fn decode(&mut self, input: &mut Vec<u8>, body: &mut impl Write) -> Result<(), HttpError> {
        if self.state == DecoderState::UntilClose {
            // Writing to memory cannot fail.
            let _ = body.write_all(input);
            input.clear();
            return Ok(());
        }
        let mut rest = input.as_slice();
        let decoded = self.decode_elements(&mut rest, body);
        let used = input.len() - rest.len();
        input.drain(..used);
        decoded
    }

    /// Decodes the elements that are complete, and removes them from the front of `rest`.
    fn decode_elements(
        &mut self,
        rest: &mut &[u8],
        body: &mut impl Write,
    ) -> Result<(), HttpError> {
        loop {
            self.state = match self.state {
                DecoderState::Done | DecoderState::UntilClose => return Ok(()),
                DecoderState::Length(left) => match take_bytes(left, rest, body) {
                    0 => DecoderState::Done,
                    left => {
                        self.state = DecoderState::Length(left);
                        return Ok(());
                    }
                },
                DecoderState::ChunkData(left) => match take_bytes(left, rest, body) {
                    0 => DecoderState::ChunkEnd,
                    left => {
                        self.state = DecoderState::ChunkData(left);
                        return Ok(());
                    }
                },
                DecoderState::ChunkSize => {
                    let Some(line) = take_line(rest)? else { return Ok(()) };
                    match chunk_size(line).ok_or(HttpError::Malformed)? {
                        0 => DecoderState::Trailer(0),
                        size => DecoderState::ChunkData(size),
                    }
                }
                DecoderState::ChunkEnd => {
                    let Some(line) = take_line(rest)? else { return Ok(()) };
                    if !line.is_empty() {
                        return Err(HttpError::Malformed);
                    }
                    DecoderState::ChunkSize
                }
                DecoderState::Trailer(size) => {
                    let Some(line) = take_line(rest)? else { return Ok(()) };
                    let size = size + line.len();
                    if size > MAX_TRAILERS {
                        return Err(HttpError::HeadTooLarge);
                    }
                    match line {
                        [] => DecoderState::Done,
                        field if is_trailer_field(field) => DecoderState::Trailer(size),
                        _ => return Err(HttpError::Malformed),
                    }
                }
            }
        }
    }
}

/// Moves up to `left` bytes; returns how many are missing.
fn take_bytes(left: u64, rest: &mut &[u8], body: &mut impl Write) -> u64 {
    let count = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
    let (taken, after) = rest.split_at(count);
    // Writing to memory cannot fail.
    let _ = body.write_all(taken);
    *rest = after;
    left - count as u64
}

/// Removes a line from the front, without its end; `None` while it is incomplete.
fn take_line<'a>(rest: &mut &'a [u8]) -> Result<Option<&'a [u8]>, HttpError> {
    let searched = &rest[..rest.len().min(MAX_CHUNK_LINE)];
    let Some(end) = searched.iter().position(|b| *b == b'\n') else {
        return if rest.len() > MAX_CHUNK_LINE { Err(HttpError::Malformed) } else { Ok(None) };
    };
    let line = rest[..end].strip_suffix(b"\r").ok_or(HttpError::Malformed)?;
    *rest = &rest[end + 1..];
    Ok(Some(line))
}

/// Appends a request head to `out`. `body` is the body's length in bytes; `Content-Length` is left
/// out for a `GET` without a body.
pub fn write_request(out: &mut Vec<u8>, method: &str, path: &str, fields: &[Field], body: usize) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "{method} {path} HTTP/1.1\r\n");
    put_fields(out, fields);
    if body > 0 || method != "GET" {
        let _ = write!(out, "Content-Length: {body}\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// How the body of an outgoing response is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// With a `Content-Length` of this many bytes.
    Length(usize),
    /// Chunked.
    Chunked,
}

/// Appends a response head to `out`.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    reason: &str,
    fields: &[Field],
    framing: BodyFraming,
    close: bool,
) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
    put_fields(out, fields);
    let _ = match framing {
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

/// Appends one chunk of a body to `out`; nothing if `bytes` is empty, since an empty chunk would
/// end the body.
pub fn write_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    // Writing to a vector cannot fail.
    let _ = write!(out, "{:x}\r\n", bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// Ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The reason phrase of a status code that this host sends.
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
