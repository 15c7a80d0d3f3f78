//! One connection of the server: requests in, responses out, one after the other.
//!
//! Each connection has its own thread. The server of `tiny_http` has a pool instead, and may leave a
//! connection to a thread that is about to serve another one: its requests are not read before some
//! connection closes, however many threads could be started. Only the types of `tiny_http` are used.

use super::MAX_BODY;
use chunked_transfer::Decoder;
use flume::Sender;
use std::io::{self, BufRead, BufReader, BufWriter, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::str::FromStr;
use tiny_http::{Header, Method};

/// The longest head of a request, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// The most headers of a request.
const MAX_HEADERS: usize = 100;

/// A request with its whole body.
///
/// The next request of its connection is read once this one, or the writer made from it, is dropped.
pub struct Request {
    method: Method,
    url: String,
    headers: Vec<Header>,
    body: Vec<u8>,
    out: ResponseWriter,
}

impl Request {
    /// The method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// The path with its query string.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// The value of a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Gives up the request for a writer of the raw response.
    pub fn into_writer(self) -> ResponseWriter {
        self.out
    }
}

/// Writes a response; the rest of it is flushed on drop.
pub struct ResponseWriter {
    out: BufWriter<TcpStream>,
    // Dropped after the writer, which tells the connection that the response has ended.
    _ended: Sender<()>,
}

impl Write for ResponseWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.out.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// Passes the requests of a connection to `handle`, until one of them asks for its end or the client
/// closes it.
///
/// # Errors
/// When the connection breaks or a request is malformed.
pub(super) fn serve(stream: &TcpStream, handle: impl Fn(Request)) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some((method, url, headers)) = read_head(&mut input)? {
        let body = read_body(&mut input, &headers)?;
        let close = find(&headers, "connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
        let (ended, response_end) = flume::bounded(0);
        let out = ResponseWriter { out: BufWriter::new(stream.try_clone()?), _ended: ended };
        handle(Request { method, url, headers, body, out });
        // Nothing is ever sent: the end is the disconnect.
        let _ = response_end.recv();
        if close {
            break;
        }
    }
    stream.shutdown(Shutdown::Both)
}

type Head = (Method, String, Vec<Header>);

/// The head of the next request; `None` if the client closed the connection before it.
fn read_head(input: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let left = (MAX_HEAD - head.len()) as u64;
        if input.by_ref().take(left).read_until(b'\n', &mut head)? == 0 {
            return if head.is_empty() { Ok(None) } else { Err(malformed()) };
        }
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(&head).map_err(|_| malformed())?;
    let method = parsed.method.and_then(|it| Method::from_str(it).ok()).ok_or_else(malformed)?;
    let url = parsed.path.ok_or_else(malformed)?.to_owned();
    let header = |it: &httparse::Header<'_>| Header::from_bytes(it.name, it.value);
    let headers = parsed.headers.iter().map(header).collect::<Result<_, _>>();
    Ok(Some((method, url, headers.map_err(|()| malformed())?)))
}

fn read_body(input: &mut BufReader<TcpStream>, headers: &[Header]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some() {
        Decoder::new(input).take(MAX_BODY).read_to_end(&mut body)?;
        return Ok(body);
    }
    let length = find(headers, "content-length").map_or(Ok(0), str::parse::<u64>);
    let length = length.map_err(|_| malformed())?;
    if length > MAX_BODY {
        return Err(malformed());
    }
    body.resize(length as usize, 0);
    input.read_exact(&mut body)?;
    Ok(body)
}

fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|it| it.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|it| it.value.as_str())
}

fn malformed() -> io::Error {
    ErrorKind::InvalidData.into()
}
