//! Writes responses to callers: one whole response, or a stream of server-sent events.
//!
//! A stream that fails ends with an event `error`, never with `[DONE]` and never silently: [`Reply`] is
//! owned by the request's exchange, which ends whatever a handler left unfinished, even by a panic.

use chunked_transfer::Encoder;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::TcpStream;
use tiny_http::StatusCode;

/// Data of the last event of a complete stream.
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
    /// Creates a header; characters of the value other than printable ASCII are removed, so that it cannot
    /// break the head.
    pub fn new(name: &'static str, value: impl Into<String>) -> Field {
        let value: String = value.into();
        let value = value.chars().filter(|it| (' '..='~').contains(it)).collect();
        Field { name, value }
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// Additional headers.
    pub fields: Vec<Field>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: &serde_json::Value) -> Response {
        Response::new(status, "application/json", body.to_string().into_bytes())
    }

    /// Creates a response with a body of any type.
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

/// Progress of the response to one request.
enum ReplyState {
    Unsent,
    Streaming(EventStream),
    Sent,
}

/// The body of an event stream; callers of HTTP/1.0 get it unchunked, ended by the close.
enum EventStream {
    Chunked(Encoder<TcpStream>),
    Plain(TcpStream),
}

impl EventStream {
    /// Sends a text at once, in a single write.
    fn write(&mut self, text: &str) -> io::Result<()> {
        match self {
            EventStream::Chunked(encoder) => {
                encoder.write_all(text.as_bytes())?;
                encoder.flush()
            }
            EventStream::Plain(stream) => stream.write_all(text.as_bytes()),
        }
    }
}

/// Writes the response to one request.
pub struct Reply {
    stream: TcpStream,
    state: ReplyState,
    head_only: bool,
    chunked: bool,
    /// Whether the connection is closed after this response.
    pub close: bool,
    /// Whether a write has failed, so that the caller is assumed to be gone.
    pub disconnected: bool,
}

impl Reply {
    /// Creates a reply on a connection; `head_only` omits the body, as for `HEAD`. Without support of
    /// `chunked` bodies the connection is always closed at the end.
    pub fn new(stream: TcpStream, head_only: bool, chunked: bool, close: bool) -> Reply {
        let close = close || !chunked;
        Reply { stream, state: ReplyState::Unsent, head_only, chunked, close, disconnected: false }
    }

    /// Whether nothing has been sent yet.
    pub fn unsent(&self) -> bool {
        matches!(self.state, ReplyState::Unsent)
    }

    /// Whether an event stream is open.
    pub fn streaming(&self) -> bool {
        matches!(self.state, ReplyState::Streaming(_))
    }

    /// Sends a whole response; head and body are written together.
    pub fn send(&mut self, response: &Response) {
        let mut head = self.head(response.status, &response.content, &response.fields);
        let _ = write!(head, "content-length: {}\r\n\r\n", response.body.len());
        let mut bytes = head.into_bytes();
        if !self.head_only {
            bytes.extend_from_slice(&response.body);
        }
        self.state = ReplyState::Sent;
        let written = self.stream.write_all(&bytes);
        self.check_write(written);
    }

    /// Opens an event stream and sends its first event.
    pub fn open(&mut self, fields: &[Field], first: &str) {
        let mut head = self.head(200, "text/event-stream", fields);
        head += "cache-control: no-store\r\n";
        if self.chunked {
            head += "transfer-encoding: chunked\r\n";
        }
        head += "\r\n";
        let opened = self.stream.write_all(head.as_bytes()).and_then(|()| self.start_stream());
        match opened {
            Ok(stream) => {
                self.state = ReplyState::Streaming(stream);
                self.event(first);
            }
            Err(err) => {
                self.state = ReplyState::Sent;
                self.check_write(Err(err));
            }
        }
    }

    fn start_stream(&self) -> io::Result<EventStream> {
        let stream = self.stream.try_clone()?;
        Ok(if self.chunked {
            EventStream::Chunked(Encoder::new(stream))
        } else {
            EventStream::Plain(stream)
        })
    }

    /// Sends one or more events that are already formatted.
    pub fn event(&mut self, text: &str) {
        let ReplyState::Streaming(stream) = &mut self.state else { return };
        let written = if self.disconnected { Ok(()) } else { stream.write(text) };
        self.check_write(written);
    }

    /// Ends a stream that is complete.
    pub fn done(&mut self) {
        self.event(&data(DONE));
        self.state = ReplyState::Sent;
    }

    /// Ends a stream with an event `error`; no `[DONE]` follows.
    pub fn fail(&mut self, body: &serde_json::Value) {
        self.event(&format!("event: error\n{}", data(&body.to_string())));
        self.state = ReplyState::Sent;
        self.close = true;
    }

    fn check_write(&mut self, written: io::Result<()>) {
        if written.is_err() {
            self.disconnected = true;
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

/// Formats one event with data.
pub fn data(text: &str) -> String {
    format!("data: {text}\n\n")
}
