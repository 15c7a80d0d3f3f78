//! The interface to the platform that an entry host runs on.
//!
//! Implementations only encode and decode: they are stateless, never block and make no decisions.
//! The event loop of the entry host does the I/O.

use quick_error::quick_error;
use roseshore_core::gateway::quota::limits::AdvertisedLimit;
use roseshore_core::gateway::{Holding, Hop, Snapshot, TargetRecord};
use roseshore_core::ids::{Era, Incarnation, PromptPartId};
use std::net::SocketAddr;
use std::time::Duration;

/// A header field as received: its name, and its value as raw bytes.
pub type Field = (String, Vec<u8>);

quick_error! {
    /// Received data that cannot be decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum WireError {
        /// What cannot be decoded, and why.
        Bad(what: String) {
            display("{what}")
        }
    }
}

impl WireError {
    /// Creates an error from a description of what cannot be decoded and why.
    pub fn new(what: impl Into<String>) -> WireError {
        WireError::Bad(what.into())
    }
}

quick_error! {
    /// Why a reply of the store has no records.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoreFault {
        /// The requested offset has been trimmed. The latest record of each key has to be read
        /// instead.
        Trimmed { display("the records asked for are gone") }
        /// The store refused the call with this HTTP status and did not carry it out.
        Refused(status: u16) { display("the store refused with {status}") }
        /// The reply cannot be decoded.
        Unreadable(what: String) { display("the store's reply cannot be read: {what}") }
    }
}

/// A stream of keyed records in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stream {
    /// The operator's configuration.
    Config,
    /// The list of targets.
    Targets,
}

/// An HTTP request that the daemon itself makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// The body, sent as `application/json` unless empty; records to append are binary.
    pub body: Vec<u8>,
}

impl CallRequest {
    /// Creates a `GET` request, which has no body.
    pub fn get(path: String) -> CallRequest {
        CallRequest { method: "GET", path, body: Vec::new() }
    }

    /// Creates a `POST` request with this body.
    pub fn post(path: String, body: Vec<u8>) -> CallRequest {
        CallRequest { method: "POST", path, body }
    }
}

/// The complete reply to a [`CallRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// The HTTP status.
    pub status: u16,
    /// The header fields.
    pub fields: Vec<Field>,
    /// The body.
    pub body: Vec<u8>,
}

/// A record of the store: a key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; `None` if the key has been deleted.
    pub value: Option<Vec<u8>>,
}

/// Consecutive records of a stream, in order of offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadBatch {
    /// One past the last offset of the whole stream.
    pub end: u64,
    /// The records. A malformed record is `None`, because it still takes up an offset.
    pub entries: Vec<Option<KeyedRecord>>,
}

/// A page of the latest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The records, in order of the page.
    pub entries: Vec<KeyedRecord>,
    /// The key after which the next page starts; `None` on the last page.
    pub next_key: Option<String>,
    /// One past the last offset of the stream when the page was made.
    pub end: u64,
}

/// The header fields of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFields {
    /// Id of this attempt; never empty.
    pub attempt: String,
    /// How long the caller waits for the answer, if it says so.
    pub deadline: Option<Duration>,
    /// The API key.
    pub api_key: Option<String>,
    /// Id of the last event of a stream that the caller has received.
    pub last_event: Option<u64>,
    /// The requested model.
    pub model: Option<String>,
    /// Tokens in the prompt; 0 if unknown.
    pub prompt_tokens: u32,
    /// Maximum tokens in the answer; 0 if unknown.
    pub max_tokens: u32,
    /// The parts of the prompt, in order; empty if unknown. The last one belongs to this request or
    /// its session, the others are shared between requests.
    pub prompt_parts: Vec<PromptPartId>,
    /// The caller's estimate of the tokens in the answer.
    pub length_hint: Option<u32>,
}

/// The fields that this host adds to a request to a target.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedFields<'a> {
    /// Time left until the deadline of the caller.
    pub remaining: Duration,
    /// Id of the intended target. A target with another id must not run the request.
    pub target: &'a str,
    /// The organisation that the caller's API key belongs to.
    pub organisation: Option<&'a str>,
    /// Id of the event after which a stream resumes.
    pub last_event: Option<u64>,
    /// The targets and the layers each one runs, in order; empty for plain services.
    pub path: &'a [(SocketAddr, Hop)],
    /// Urgency among the requests of the service, from 0, the first, to 9; `None` if they do not
    /// differ.
    pub urgency: Option<u8>,
}

/// The header fields of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseFields {
    /// Whether the target states that the request did not run.
    pub not_run: bool,
    /// Id of the attempt that this is the response to.
    pub attempt: Option<String>,
    /// Address of the target that failed, if it is another one on the path.
    pub faulty_target: Option<SocketAddr>,
    /// Running requests, waiting requests and slots.
    pub load: Option<(u32, u32, u32)>,
    /// Whether the response carries the target's seal field.
    pub sealed: bool,
    /// Whether the target announces that it is leaving. Once true, it stays true for this
    /// incarnation.
    pub leaving: bool,
    /// How long this host must not send to the target, if it says so.
    pub retry_after: Option<Duration>,
    /// The rate limit of the target for all hosts together.
    pub limit: AdvertisedLimit,
}

/// A target's report about itself. It may be out of date.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Incarnation of the target, 0 if it reports none.
    pub life: Incarnation,
    /// Orders accepted in this incarnation.
    pub orders_taken: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The layers the target holds; `None` if it holds none.
    pub holding: Option<Holding>,
    /// Step time relative to the published one: above 1 is slower, below 1 is faster.
    pub pace: f64,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Used KV cache, in tokens times layers.
    pub kv_used: f64,
    /// Size of the KV cache, in tokens times layers.
    pub kv_total: f64,
}

/// Encodes and decodes everything that has a platform-specific form.
pub trait EntryPlatform {
    /// Parses the header fields of a caller's request.
    ///
    /// # Errors
    /// If a required field is missing or invalid.
    fn read_request(&self, fields: &[Field]) -> Result<RequestFields, WireError>;
    /// Returns the header fields of the request to a target.
    fn forwarded_headers(&self, fields: &[Field], added: &ForwardedFields<'_>) -> Vec<Field>;
    /// Parses the header fields of a target's response.
    fn read_response(&self, fields: &[Field]) -> ResponseFields;
    /// Returns the header fields of a response that are forwarded to the caller.
    fn caller_headers(&self, fields: &[Field]) -> Vec<Field>;
    /// Returns the era of a reply of the store, if the reply has one.
    fn era(&self, reply: &CallReply) -> Option<Era>;
    /// Requests the records of a stream from offset `from` on. The store waits up to `wait` for the
    /// first one.
    fn read(&self, stream: Stream, from: u64, wait: Duration) -> CallRequest;
    /// Decodes the reply to [`EntryPlatform::read`].
    ///
    /// # Errors
    /// If the reply has no records; the fault says why.
    fn read_reply(&self, reply: &CallReply) -> Result<ReadBatch, StoreFault>;
    /// Requests a page of the latest record of each key, after the key `since`.
    fn read_latest(&self, stream: Stream, since: Option<&str>) -> CallRequest;
    /// Decodes the reply to [`EntryPlatform::read_latest`].
    ///
    /// # Errors
    /// If the reply has no records; the fault says why.
    fn latest_reply(&self, reply: &CallReply) -> Result<Page, StoreFault>;
    /// Requests a page of the hosts' own records, after the key `since`. The reply is decoded by
    /// [`EntryPlatform::latest_reply`].
    fn read_own(&self, since: Option<&str>) -> CallRequest;
    /// Requests that records of the hosts' own are appended. A record without a value deletes its
    /// key.
    fn write_own(&self, records: &[KeyedRecord]) -> CallRequest;
    /// Decodes the reply to [`EntryPlatform::write_own`].
    ///
    /// # Errors
    /// If the records may not have been written; the fault says why.
    fn write_reply(&self, reply: &CallReply) -> Result<(), StoreFault>;
    /// Returns the key of the configuration in [`Stream::Config`].
    fn config_key(&self) -> &'static str;
    /// Decodes a configuration.
    ///
    /// # Errors
    /// If it is malformed.
    fn config(&self, value: &[u8]) -> Result<Snapshot, WireError>;
    /// Decodes the record of a target.
    ///
    /// # Errors
    /// If it is malformed.
    fn target(&self, id: &str, value: &[u8]) -> Result<TargetRecord, WireError>;
    /// Requests the report of a target.
    fn report(&self) -> CallRequest;
    /// Decodes a report.
    ///
    /// # Errors
    /// If the request failed or the report is malformed.
    fn report_reply(&self, reply: &CallReply) -> Result<Report, WireError>;
    /// Orders a target to hold the layers from the first number up to, but excluding, the second.
    /// The order applies only if the target has accepted `expected` orders so far.
    fn assign_layers(&self, layers: (u16, u16), expected: u64) -> CallRequest;
    /// Orders the first target of a path to continue an attempt over another path.
    fn reroute(&self, attempt: &str, path: &[(SocketAddr, Hop)]) -> CallRequest;
}
