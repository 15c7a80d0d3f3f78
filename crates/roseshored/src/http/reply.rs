//! Writing to a caller: one whole response, or a stream of events that ends in the open.
//!
//! A stream that breaks ends in an event `error`, never in `[DONE]`, and never by just stopping:
//! [`Reply`] is owned by the connection's loop, which settles whatever a handler left unfinished,
//! a panic included.

use chunked_transfer::Encoder;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::TcpStream;
use tiny_http::StatusCode;

/// The end of a whole stream of events.
const DONE: &str = "[DONE]";

/// A header of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name, in lower case.
    pub name: &'static str,
    /// The value.
    pub value: String,
}

impl Field {
    /// A header; line breaks in its value are left out.
    pub fn new(name: &'static str, value: impl Into<String>) -> Field {
        let value: String = value.into();
        let value = value.chars().filter(|it| (' '..='~').contains(it)).collect();
        Field { name, value }
    }
}

/// A whole response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// Further headers.
    pub fields: Vec<Field>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response with a JSON body.
    pub fn json(status: u16, body: &serde_json::Value) -> Response {
        Response::new(status, "application/json", body.to_string().into_bytes())
    }

    /// A response with a body of any type.
    pub fn new(status: u16, content: impl Into<String>, body: Vec<u8>) -> Response {
        Response { status, content: content.into(), fields: Vec::new(), body }
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Response {
        self.fields.push(Field::new(name, value));
        self
    }
}

/// How far the answer to one request has got.
enum State {
    Unsent,
    Streaming(Stream),
    Sent,
}

/// The body of a stream of events; callers of `HTTP/1.0` get it without chunks, up to the close.
enum Stream {
    Chunked(Encoder<TcpStream>),
    Plain(TcpStream),
}

impl Stream {
    /// Passes a text on at once, in one write.
    fn write(&mut self, text: &str) -> io::Result<()> {
        match self {
            Stream::Chunked(encoder) => {
                encoder.write_all(text.as_bytes())?;
                encoder.flush()
            }
            Stream::Plain(stream) => stream.write_all(text.as_bytes()),
        }
    }
}

/// The answer to one request.
pub struct Reply {
    stream: TcpStream,
    state: State,
    bare: bool,
    chunks: bool,
    /// Whether the connection is closed after this answer.
    pub close: bool,
    /// Whether a write failed, so that the caller must be taken for gone.
    pub broken: bool,
}

impl Reply {
    /// The answer on a connection; `bare` leaves bodies out, as for `HEAD`.
    pub fn new(stream: TcpStream, bare: bool, chunks: bool, close: bool) -> Reply {
        let close = close || !chunks;
        Reply { stream, state: State::Unsent, bare, chunks, close, broken: false }
    }

    /// Whether nothing has been sent yet.
    pub fn unsent(&self) -> bool {
        matches!(self.state, State::Unsent)
    }

    /// Whether a stream is open.
    pub fn streaming(&self) -> bool {
        matches!(self.state, State::Streaming(_))
    }

    /// Sends a whole response, in one write where it is small.
    pub fn send(&mut self, response: &Response) {
        let mut head = self.head(response.status, &response.content, &response.fields);
        let _ = write!(head, "content-length: {}\r\n\r\n", response.body.len());
        let mut bytes = head.into_bytes();
        if !self.bare {
            bytes.extend_from_slice(&response.body);
        }
        self.state = State::Sent;
        let written = self.stream.write_all(&bytes);
        self.note(written);
    }

    /// Opens a stream of events with its first one.
    pub fn open(&mut self, fields: &[Field], first: &str) {
        let mut head = self.head(200, "text/event-stream", fields);
        head += "cache-control: no-store\r\n";
        if self.chunks {
            head += "transfer-encoding: chunked\r\n";
        }
        head += "\r\n";
        let opened = self.stream.write_all(head.as_bytes()).and_then(|()| self.begin());
        match opened {
            Ok(stream) => {
                self.state = State::Streaming(stream);
                self.event(first);
            }
            Err(err) => {
                self.state = State::Sent;
                self.note(Err(err));
            }
        }
    }

    fn begin(&self) -> io::Result<Stream> {
        let stream = self.stream.try_clone()?;
        Ok(if self.chunks { Stream::Chunked(Encoder::new(stream)) } else { Stream::Plain(stream) })
    }

    /// Sends one or more events, already in their form.
    pub fn event(&mut self, text: &str) {
        let State::Streaming(stream) = &mut self.state else { return };
        let written = if self.broken { Ok(()) } else { stream.write(text) };
        self.note(written);
    }

    /// Ends a stream as whole.
    pub fn done(&mut self) {
        self.event(&data(DONE));
        self.state = State::Sent;
    }

    /// Ends a stream as broken; no `[DONE]` follows.
    pub fn fail(&mut self, body: &serde_json::Value) {
        self.event(&format!("event: error\n{}", data(&body.to_string())));
        self.state = State::Sent;
        self.close = true;
    }

    fn note(&mut self, written: io::Result<()>) {
        if written.is_err() {
            self.broken = true;
            self.close = true;
        }
    }

    fn head(&self, status: u16, content: &str, fields: &[Field]) -> String {
        let reason = StatusCode(status).default_reason_phrase();
        let mut head = format!("HTTP/1.1 {status} {reason}\r\ncontent-type: {content}\r\n");
        for field in fields {
            let _ = write!(head, "{}: {}\r\n", field.name, field.value);
        }
        if self.close {
            head += "connection: close\r\n";
        }
        head
    }
}

/// One event with data.
pub fn data(text: &str) -> String {
    format!("data: {text}\n\n")
}
