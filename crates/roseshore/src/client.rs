//! The way to the entry hosts, and what a failure on it proves.

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

quick_error! {
    /// Why an entry host gave no answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// Nothing was sent.
        Unreached(why: String) {
            display("not reached: {why}")
        }
        /// Something was sent, and no whole answer came.
        Lost(why: String) {
            display("no whole answer: {why}")
        }
    }
}

/// An HTTP answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The body of a good answer, read.
    ///
    /// # Errors
    /// The host's message, or what is wrong with its answer.
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

/// Calls entry hosts.
pub trait Client {
    /// Calls one host once.
    ///
    /// # Errors
    /// By what the failure proves.
    fn call(
        &self,
        host: SocketAddr,
        path: &str,
        body: Option<String>,
        limit: Duration,
    ) -> Result<Answer, CallError>;
}

/// Calls over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct Http;

impl Client for Http {
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
        // A redirected POST would be a second send.
        let request = request.with_follow_redirects(false).with_timeout(seconds.max(1));
        let answer = request.send().map_err(|err| fault(&err))?;
        Ok(Answer { status: answer.status_code as u16, body: answer.into_bytes() })
    }
}

/// Only a refused connection proves that nothing was sent.
fn fault(err: &minreq::Error) -> CallError {
    match err {
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallError::Unreached(io.to_string())
        }
        other => CallError::Lost(other.to_string()),
    }
}

/// The answer of the first host that gives one to a harmless question.
///
/// # Errors
/// One line for each host that gave none.
pub fn first<T: DeserializeOwned>(
    client: &dyn Client,
    hosts: &[SocketAddr],
    path: &str,
    body: Option<&String>,
    limit: Duration,
) -> Result<T, String> {
    let mut faults = Vec::new();
    for host in hosts {
        let answer = client.call(*host, path, body.cloned(), limit);
        match answer.map_err(|err| err.to_string()).and_then(|it| it.read()) {
            Ok(value) => return Ok(value),
            Err(why) => faults.push(format!("host `{host}`: {why}")),
        }
    }
    Err(faults.join("\n"))
}
