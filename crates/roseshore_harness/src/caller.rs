//! An HTTP client for daemons: chat answers with and without streaming, lookups and plain calls.

use crate::process::ProcessError;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use ureq::http::Response;
use ureq::{Agent, Body};

/// The outcome of one request as the client sees it.
#[derive(Clone, Debug, Default)]
pub struct ClientReply {
    /// The HTTP status; 0 if no response arrived.
    pub status: u16,
    /// The verdict of a refusal, from `x-verdict` or the error event of a stream.
    pub verdict: Option<String>,
    /// The code of a refusal, from `x-code` or the error event of a stream.
    pub code: Option<String>,
    /// The `retry-after` header as received.
    pub retry_after: Option<String>,
    /// The `x-request-id` header of the response.
    pub request: Option<String>,
    /// Whether the response replays the recorded answer of its idempotency key.
    pub replayed: bool,
    /// The text of a chat answer, the body of any other response, or the transport error.
    pub text: String,
    /// Whether the stream ended with `[DONE]`, or the body was read completely.
    pub whole: bool,
    /// Time from the call to the first token of a stream, or to the response headers.
    pub first: Duration,
    /// Time between consecutive tokens of a stream.
    pub gaps: Vec<Duration>,
    /// Time from the call to the end of the response.
    pub took: Duration,
}

impl ClientReply {
    /// The text with all white space removed, for comparison with an expected answer.
    pub fn joined(&self) -> String {
        self.text.split_whitespace().collect()
    }
}

/// Optional request headers: sender, idempotency, deadline, priority and id.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions {
    /// The organisation that sends the request (`x-organisation`).
    pub organisation: Option<String>,
    /// The idempotency key (`idempotency-key`).
    pub key: Option<String>,
    /// Milliseconds until the answer must be complete (`x-deadline-ms`).
    pub deadline: Option<u64>,
    /// Priority; larger values are served first (`x-priority`).
    pub priority: Option<u8>,
    /// A request id chosen by the client (`x-request-id`).
    pub request: Option<String>,
}

/// A chat request to a model service.
#[derive(Clone, Debug)]
pub struct Chat<'a> {
    /// Id of the model service.
    pub service: &'a str,
    /// The prompt; each word is one token.
    pub prompt: &'a str,
    /// Maximum number of tokens in the answer.
    pub tokens: u32,
}

impl Chat<'_> {
    fn body(&self, stream: bool) -> Value {
        json!({
            "model": self.service,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.tokens,
            "stream": stream,
        })
    }
}

/// An HTTP client that reuses connections.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
}

impl Default for Caller {
    fn default() -> Caller {
        Caller::new(Duration::from_mins(1))
    }
}

impl Caller {
    /// Creates a client whose requests time out after `limit`.
    pub fn new(limit: Duration) -> Caller {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(limit))
            .max_idle_connections_per_host(64)
            .build();
        Caller { agent: config.into() }
    }

    /// Requests a streamed chat answer; `seen` is called with the token count after each token.
    pub fn stream(
        &self,
        to: SocketAddr,
        chat: &Chat<'_>,
        marks: &RequestOptions,
        mut seen: impl FnMut(usize),
    ) -> ClientReply {
        let begun = Instant::now();
        let request = marks.apply_to(self.agent.post(format!("http://{to}/v1/chat/completions")));
        let mut got = match request.send_json(chat.body(true)) {
            Ok(reply) => read_stream(reply, begun, &mut seen),
            Err(err) => ClientReply { text: err.to_string(), ..ClientReply::default() },
        };
        got.took = begun.elapsed();
        got
    }

    /// Requests a chat answer without streaming.
    pub fn answer(&self, to: SocketAddr, chat: &Chat<'_>, marks: &RequestOptions) -> ClientReply {
        let request = marks.apply_to(self.agent.post(format!("http://{to}/v1/chat/completions")));
        let mut got = read_reply(Instant::now(), request.send_json(chat.body(false)));
        if got.status == 200 {
            let value: Value = serde_json::from_str(&got.text).unwrap_or_default();
            let text = value["choices"][0]["message"]["content"].as_str();
            got.text = text.map(str::to_owned).unwrap_or_default();
        }
        got
    }

    /// Looks up a name in a lookup service.
    pub fn lookup(
        &self,
        to: SocketAddr,
        service: &str,
        name: &str,
        marks: &RequestOptions,
    ) -> ClientReply {
        let request =
            marks.apply_to(self.agent.get(format!("http://{to}/v1/lookup/{service}/{name}")));
        read_reply(Instant::now(), request.call())
    }

    /// Calls a plain service.
    pub fn call(
        &self,
        to: SocketAddr,
        service: &str,
        body: &str,
        marks: &RequestOptions,
    ) -> ClientReply {
        let request = marks.apply_to(self.agent.post(format!("http://{to}/v1/call/{service}")));
        read_reply(Instant::now(), request.send(body))
    }

    /// Sends a GET request; a body that is not JSON is returned as a string.
    ///
    /// # Errors
    /// If no response arrives or its body cannot be read. An HTTP error status is no error.
    pub fn get(&self, to: SocketAddr, path: &str) -> Result<Value, ProcessError> {
        let reply = self.agent.get(format!("http://{to}{path}")).call();
        parse_json(reply)
    }

    /// Posts JSON; a response body that is not JSON is returned as a string.
    ///
    /// # Errors
    /// If no response arrives or its body cannot be read. An HTTP error status is no error.
    pub fn post(
        &self,
        to: SocketAddr,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<Value, ProcessError> {
        parse_json(self.agent.post(format!("http://{to}{path}")).send_json(body))
    }

    /// The value of a daemon's metric, by its name with labels; `None` if the daemon does not respond
    /// or has no such metric.
    pub fn metric(&self, daemon: SocketAddr, name: &str) -> Option<usize> {
        let page = self.get(daemon, "/metrics").ok()?;
        let mut lines = page.as_str()?.lines();
        lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// The HTTP status of a GET request; `None` if no response arrives.
    pub fn status(&self, to: SocketAddr, path: &str) -> Option<u16> {
        let reply = self.agent.get(format!("http://{to}{path}")).call().ok()?;
        Some(reply.status().as_u16())
    }
}

impl RequestOptions {
    /// Options for a request from the given organisation, all others unset.
    pub fn of(organisation: &str) -> RequestOptions {
        RequestOptions { organisation: Some(organisation.to_owned()), ..RequestOptions::default() }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn keyed(mut self, key: &str) -> RequestOptions {
        self.key = Some(key.to_owned());
        self
    }

    fn apply_to<T>(&self, mut request: ureq::RequestBuilder<T>) -> ureq::RequestBuilder<T> {
        let texts = [
            ("x-organisation", self.organisation.clone()),
            ("idempotency-key", self.key.clone()),
            ("x-deadline-ms", self.deadline.map(|d| d.to_string())),
            ("x-priority", self.priority.map(|p| p.to_string())),
            ("x-request-id", self.request.clone()),
        ];
        for (name, value) in texts {
            if let Some(value) = value {
                request = request.header(name, value);
            }
        }
        request
    }
}

fn read_reply(begun: Instant, reply: Result<Response<Body>, ureq::Error>) -> ClientReply {
    let mut got = match reply {
        Ok(mut reply) => {
            let mut got = from_headers(&reply);
            got.first = begun.elapsed();
            match reply.body_mut().read_to_string() {
                Ok(text) => {
                    got.text = text;
                    got.whole = true;
                }
                Err(err) => got.text = err.to_string(),
            }
            got
        }
        Err(err) => ClientReply { text: err.to_string(), ..ClientReply::default() },
    };
    got.took = begun.elapsed();
    got
}

fn parse_json(reply: Result<Response<Body>, ureq::Error>) -> Result<Value, ProcessError> {
    let mut reply = reply.map_err(|err| ProcessError::Call(err.to_string()))?;
    let text = reply.body_mut().read_to_string();
    let text = text.map_err(|err| ProcessError::Call(err.to_string()))?;
    serde_json::from_str(&text).or(Ok(Value::String(text)))
}

fn from_headers(reply: &Response<Body>) -> ClientReply {
    let text = |name: &str| {
        let value = reply.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    ClientReply {
        status: reply.status().as_u16(),
        verdict: text("x-verdict"),
        code: text("x-code"),
        retry_after: text("retry-after"),
        request: text("x-request-id"),
        replayed: text("idempotency-replayed").is_some(),
        ..ClientReply::default()
    }
}

/// Reads server-sent events until the stream ends or breaks off.
fn read_stream(reply: Response<Body>, begun: Instant, seen: &mut dyn FnMut(usize)) -> ClientReply {
    let mut got = from_headers(&reply);
    let lines = BufReader::new(reply.into_body().into_reader()).lines();
    let mut last = begun;
    let mut count = 0;
    for line in lines {
        let Ok(line) = line else { break };
        let Some(data) = line.strip_prefix("data: ") else {
            if got.status != 200 {
                got.text.push_str(&line);
            }
            continue;
        };
        if data == "[DONE]" {
            got.whole = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(verdict) = value["error"]["verdict"].as_str() {
            got.verdict = Some(verdict.to_owned());
            got.code = value["error"]["code"].as_str().map(str::to_owned);
        }
        let Some(token) = value["choices"][0]["delta"]["content"].as_str() else { continue };
        if token.is_empty() {
            continue;
        }
        let now = Instant::now();
        if count == 0 {
            got.first = now - begun;
        } else {
            got.gaps.push(now - last);
        }
        last = now;
        got.text.push_str(token);
        count += 1;
        seen(count);
    }
    got
}
