//! What callers do: answers with and without streaming, lookups and plain calls.

use crate::process::ProcessError;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use ureq::http::Response;
use ureq::{Agent, Body};

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct ClientReply {
    /// The HTTP status; 0 when no reply came.
    pub status: u16,
    /// The verdict's name, for refusals.
    pub verdict: Option<String>,
    /// The refusal's code.
    pub code: Option<String>,
    /// When to come back.
    pub retry_after: Option<String>,
    /// The request's id.
    pub request: Option<String>,
    /// Whether it is a recorded answer.
    pub replayed: bool,
    /// The text of an answer, or the body.
    pub text: String,
    /// Whether a stream was closed by `[DONE]`, or a body came whole.
    pub whole: bool,
    /// From the call to the first token or byte of the body.
    pub first: Duration,
    /// From each token to the next.
    pub gaps: Vec<Duration>,
    /// From the call to the end.
    pub took: Duration,
}

impl ClientReply {
    /// The text without the blanks between tokens.
    pub fn joined(&self) -> String {
        self.text.split_whitespace().collect()
    }
}

/// Whose request it is and how it is to be treated.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions {
    /// The customer.
    pub organisation: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// Milliseconds until the answer must be whole.
    pub deadline: Option<u64>,
    /// Larger goes first.
    pub priority: Option<u8>,
    /// The request's id.
    pub request: Option<String>,
}

/// A question to a model.
#[derive(Clone, Debug)]
pub struct Chat<'a> {
    /// The service.
    pub service: &'a str,
    /// The prompt; one token a word.
    pub prompt: &'a str,
    /// The most tokens of the answer.
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

/// A caller with kept connections.
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
    /// A caller that gives up after `limit`.
    pub fn new(limit: Duration) -> Caller {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(limit))
            .max_idle_connections_per_host(64)
            .build();
        Caller { agent: config.into() }
    }

    /// Asks for a chat answer as a stream; `seen` is told of each token as it comes.
    pub fn stream(
        &self,
        to: SocketAddr,
        chat: &Chat<'_>,
        marks: &RequestOptions,
        mut seen: impl FnMut(usize),
    ) -> ClientReply {
        let begun = Instant::now();
        let request = marks.put(self.agent.post(format!("http://{to}/v1/chat/completions")));
        let mut got = match request.send_json(chat.body(true)) {
            Ok(reply) => read_stream(reply, begun, &mut seen),
            Err(err) => ClientReply { text: err.to_string(), ..ClientReply::default() },
        };
        got.took = begun.elapsed();
        got
    }

    /// Asks for a chat answer at once.
    pub fn answer(&self, to: SocketAddr, chat: &Chat<'_>, marks: &RequestOptions) -> ClientReply {
        let request = marks.put(self.agent.post(format!("http://{to}/v1/chat/completions")));
        let mut got = finish(Instant::now(), request.send_json(chat.body(false)));
        if got.status == 200 {
            let value: Value = serde_json::from_str(&got.text).unwrap_or_default();
            let text = value["choices"][0]["message"]["content"].as_str();
            got.text = text.map(str::to_owned).unwrap_or_default();
        }
        got
    }

    /// Looks a name up.
    pub fn lookup(
        &self,
        to: SocketAddr,
        service: &str,
        name: &str,
        marks: &RequestOptions,
    ) -> ClientReply {
        let request = marks.put(self.agent.get(format!("http://{to}/v1/lookup/{service}/{name}")));
        finish(Instant::now(), request.call())
    }

    /// Runs a plain call.
    pub fn call(
        &self,
        to: SocketAddr,
        service: &str,
        body: &str,
        marks: &RequestOptions,
    ) -> ClientReply {
        let request = marks.put(self.agent.post(format!("http://{to}/v1/call/{service}")));
        finish(Instant::now(), request.send(body))
    }

    /// Gets any path as JSON.
    ///
    /// # Errors
    /// When no reply comes, or none that can be read.
    pub fn get(&self, to: SocketAddr, path: &str) -> Result<Value, ProcessError> {
        let reply = self.agent.get(format!("http://{to}{path}")).call();
        json_of(reply)
    }

    /// Posts JSON to any path.
    ///
    /// # Errors
    /// When no reply comes, or none that can be read.
    pub fn post(
        &self,
        to: SocketAddr,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<Value, ProcessError> {
        json_of(self.agent.post(format!("http://{to}{path}")).send_json(body))
    }

    /// The value of a daemon's metric, by its name with labels; `None` when no reply comes or it has no such metric.
    pub fn metric(&self, daemon: SocketAddr, name: &str) -> Option<usize> {
        let page = self.get(daemon, "/metrics").ok()?;
        let mut lines = page.as_str()?.lines();
        lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// The status of a path; `None` when no reply comes.
    pub fn status(&self, to: SocketAddr, path: &str) -> Option<u16> {
        let reply = self.agent.get(format!("http://{to}{path}")).call().ok()?;
        Some(reply.status().as_u16())
    }
}

impl RequestOptions {
    /// RequestOptions of an organisation's request.
    pub fn of(organisation: &str) -> RequestOptions {
        RequestOptions { organisation: Some(organisation.to_owned()), ..RequestOptions::default() }
    }

    /// The same with an idempotency key.
    #[must_use]
    pub fn keyed(mut self, key: &str) -> RequestOptions {
        self.key = Some(key.to_owned());
        self
    }

    fn put<T>(&self, mut request: ureq::RequestBuilder<T>) -> ureq::RequestBuilder<T> {
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

fn finish(begun: Instant, reply: Result<Response<Body>, ureq::Error>) -> ClientReply {
    let mut got = match reply {
        Ok(mut reply) => {
            let mut got = head(&reply);
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

fn json_of(reply: Result<Response<Body>, ureq::Error>) -> Result<Value, ProcessError> {
    let mut reply = reply.map_err(|err| ProcessError::Call(err.to_string()))?;
    let text = reply.body_mut().read_to_string();
    let text = text.map_err(|err| ProcessError::Call(err.to_string()))?;
    serde_json::from_str(&text).or(Ok(Value::String(text)))
}

fn head(reply: &Response<Body>) -> ClientReply {
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

/// Reads server-sent events up to their end.
fn read_stream(reply: Response<Body>, begun: Instant, seen: &mut dyn FnMut(usize)) -> ClientReply {
    let mut got = head(&reply);
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
