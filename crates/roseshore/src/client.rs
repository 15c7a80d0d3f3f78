//! Calls to entry hosts, with errors that tell whether a request may have been sent.

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

quick_error! {
    /// Why a call to an entry host failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// The connection was refused. Nothing was sent.
        Unreached(why: String) {
            display("not reached: {why}")
        }
        /// The request may have been sent, but no complete answer arrived.
        Lost(why: String) {
            display("no whole answer: {why}")
        }
    }
}

/// An HTTP answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Parses the JSON body of an answer with status 200.
    ///
    /// # Errors
    /// The host's refusal code and message, or why the answer could not be parsed.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, String> {
        if self.status != 200 {
            let problem: Result<roseshore_wire::admin::Problem, _> =
                serde_json::from_slice(&self.body);
            return Err(match problem {
                Ok(it) => format!("{}: {}", it.code, it.message),
                Err(_) => format!("answered with status {}", self.status),
            });
        }
        serde_json::from_slice(&self.body).map_err(|err| format!("answer not understood: {err}"))
    }
}

/// Client for entry hosts.
pub trait Client {
    /// Sends one request to one host: a `POST` if there is a body, else a `GET`.
    ///
    /// # Errors
    /// [`CallError::Unreached`] only if nothing was sent.
    fn call(
        &self,
        host: SocketAddr,
        path: &str,
        body: Option<String>,
        limit: Duration,
    ) -> Result<Answer, CallError>;
}

/// [`Client`] over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpClient;

impl Client for HttpClient {
    fn call(
        &self,
        host: SocketAddr,
        path: &str,
        body: Option<String>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let url = format!("http://{host}{path}");
        let request = match body {
            Some(body) => minreq::post(url).with_body(body),
            None => minreq::get(url),
        };
        let seconds = limit.as_secs_f64().ceil() as u64;
        // Following the redirect of a `POST` would send it twice.
        let request = request.with_follow_redirects(false).with_timeout(seconds.max(1));
        let answer = request.send().map_err(|err| call_error(&err))?;
        Ok(Answer { status: answer.status_code as u16, body: answer.into_bytes() })
    }
}

/// Only a refused connection guarantees that nothing was sent.
fn call_error(err: &minreq::Error) -> CallError {
    match err {
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallError::Unreached(io.to_string())
        }
        other => CallError::Lost(other.to_string()),
    }
}

/// Sends an idempotent request to the hosts in order, and returns the first valid answer.
///
/// # Errors
/// One line for each host, with the reason why it gave no valid answer.
pub fn first_answer<T: DeserializeOwned>(
    client: &dyn Client,
    hosts: &[SocketAddr],
    path: &str,
    body: Option<&String>,
    limit: Duration,
) -> Result<T, String> {
    let mut errors = Vec::new();
    for host in hosts {
        let answer = client.call(*host, path, body.cloned(), limit);
        match answer.map_err(|err| err.to_string()).and_then(|it| it.read()) {
            Ok(value) => return Ok(value),
            Err(why) => errors.push(format!("host `{host}`: {why}")),
        }
    }
    Err(errors.join("\n"))
}
