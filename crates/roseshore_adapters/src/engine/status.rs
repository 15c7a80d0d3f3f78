//! What an HTTP status proves.

use roseshore_core::retry;
use roseshore_ports::outside::{CallError, CallResult};

/// What came back.
pub(super) struct Reply {
    /// The status.
    pub(super) status: u16,
    /// The `Retry-After` header.
    pub(super) after: Option<String>,
    /// The whole body.
    pub(super) body: Vec<u8>,
}

impl Reply {
    /// The body of a `200`.
    ///
    /// # Errors
    /// [`CallError::Refused`] for statuses by which an engine says that it did nothing;
    /// [`CallError::Garbled`] for those that the protocol does not know, a redirect among them;
    /// [`CallError::Lost`] for a failure in the engine.
    pub(super) fn accept(self) -> CallResult<Vec<u8>> {
        match self.status {
            200 => Ok(self.body),
            400 | 404 | 409 | 412 | 413 | 429 | 503 => Err(self.refused()),
            500..=599 => Err(CallError::Lost(format!("status {}", self.status))),
            _ => Err(CallError::Garbled(format!("status {}", self.status))),
        }
    }

    fn refused(self) -> CallError {
        let after = self.after.and_then(|text| retry::parse_retry_after(&text));
        let body = String::from_utf8_lossy(&self.body).into_owned();
        CallError::Refused(self.status, after, body)
    }
}
