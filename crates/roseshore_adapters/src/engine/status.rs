//! Maps the HTTP status of an engine's reply to a result.

use roseshore_core::retry;
use roseshore_ports::outside::{CallError, CallResult};

/// A complete reply of an engine.
pub(super) struct Reply {
    pub(super) status: u16,
    /// The value of the `Retry-After` header, not yet parsed.
    pub(super) retry_after: Option<String>,
    pub(super) body: Vec<u8>,
}

impl Reply {
    /// Returns the body if the status is `200`.
    ///
    /// # Errors
    /// [`CallError::Refused`] for statuses that mean that the engine did not carry out the call;
    /// [`CallError::Lost`] for other `5xx` statuses, since the engine failed while handling it;
    /// [`CallError::Garbled`] for statuses that the protocol does not define, including redirects.
    pub(super) fn into_body(self) -> CallResult<Vec<u8>> {
        match self.status {
            200 => Ok(self.body),
            400 | 404 | 409 | 412 | 413 | 429 | 503 => Err(self.into_refusal()),
            500..=599 => Err(CallError::Lost(format!("status {}", self.status))),
            _ => Err(CallError::Garbled(format!("status {}", self.status))),
        }
    }

    fn into_refusal(self) -> CallError {
        let retry_after = self.retry_after.and_then(|text| retry::parse_retry_after(&text));
        let body = String::from_utf8_lossy(&self.body).into_owned();
        CallError::Refused(self.status, retry_after, body)
    }
}
