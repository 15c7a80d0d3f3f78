//! The border towards the platform that an entry host runs on.
//!
//! Implementations spell and read; they hold no state, wait for nothing and choose nothing. The
//! readiness loop carries the bytes.

use quick_error::quick_error;
use roseshore_core::gateway::limits::AdvertisedLimit;
use roseshore_core::gateway::{Holding, Hop, Snapshot, TargetRecord};
use roseshore_core::ids::{Era, Incarnation};
use std::net::SocketAddr;
use std::time::Duration;

/// A header field as it stood on the wire.
pub type Field = (String, Vec<u8>);

quick_error! {
    /// Something that came over the wire and cannot be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum WireError {
        /// What it was and why.
        Bad(what: String) {
            display("{what}")
        }
    }
}

impl WireError {
    /// An error that says what cannot be read and why.
    pub fn new(what: impl Into<String>) -> WireError {
        WireError::Bad(what.into())
    }
}

quick_error! {
    /// Why a reply of the store brought nothing.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoreFault {
        /// The records asked for are gone; the newest of each key are to be read instead.
        Trimmed { display("the records asked for are gone") }
        /// The store refused the call, with this status; nothing was done.
        Refused(status: u16) { display("the store refused with {status}") }
        /// The reply cannot be read.
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

/// A small HTTP call of the daemon's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// The body; JSON if not empty.
    pub body: Vec<u8>,
}

impl CallRequest {
    /// A call without a body.
    pub fn get(path: String) -> CallRequest {
        CallRequest { method: "GET", path, body: Vec::new() }
    }

    /// A call with a JSON body.
    pub fn post(path: String, body: Vec<u8>) -> CallRequest {
        CallRequest { method: "POST", path, body }
    }
}

/// The whole reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReply {
    /// The status.
    pub status: u16,
    /// The header fields.
    pub fields: Vec<Field>,
    /// The body.
    pub body: Vec<u8>,
}

/// One record; without a value its key was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<Vec<u8>>,
}

/// Records in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadBatch {
    /// One past the last offset of the stream.
    pub end: u64,
    /// The records; `None` for one whose key cannot be read, so that it still counts as an offset.
    pub entries: Vec<Option<KeyedRecord>>,
}

/// A page of the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub entries: Vec<KeyedRecord>,
    /// The key to go on after, if there are more.
    pub next_key: Option<String>,
    /// One past the last offset when the page was made.
    pub end: u64,
}

/// What a caller says of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFields {
    /// The id of this attempt.
    pub attempt: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Its API key.
    pub api_key: Option<String>,
    /// The last event of a stream that it has.
    pub last_event: Option<u64>,
    /// The model.
    pub model: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The caller's guess of the answer's tokens.
    pub length_hint: Option<u32>,
}

/// What goes to a target beside the caller's own fields.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedFields<'a> {
    /// How long the caller still waits.
    pub remaining: Duration,
    /// The target that is meant; any other must not run the request.
    pub target: &'a str,
    /// The organisation that the key belongs to.
    pub organisation: Option<&'a str>,
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
    /// The path through the layers; empty for plain services.
    pub path: &'a [(SocketAddr, Hop)],
}

/// What a target says of its answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseFields {
    /// Proof that the request did not run.
    pub not_run: bool,
    /// The attempt that it answers.
    pub attempt: Option<String>,
    /// The target at fault, when another on the path was.
    pub faulty_target: Option<SocketAddr>,
    /// Requests running, requests waiting, slots.
    pub load: Option<(u32, u32, u32)>,
    /// Whether it bears the target's seal.
    pub sealed: bool,
    /// Whether the target says that it leaves; true for the rest of its life.
    pub leaving: bool,
    /// For how long the target wants nothing from this host, where it says so.
    pub retry_after: Option<Duration>,
    /// What it says of the requests that the target takes from all hosts together.
    pub limit: AdvertisedLimit,
}

/// What a target reports of itself, some time late.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The life that it speaks of; 0 where targets do not tell it.
    pub life: Incarnation,
    /// Orders taken in this life.
    pub orders_taken: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// The layers held.
    pub holding: Option<Holding>,
    /// How many times slower it runs than published; below 1 when faster.
    pub pace: f64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// KV cache in use, tokens times layers.
    pub kv_used: f64,
    /// KV cache in all, tokens times layers.
    pub kv_total: f64,
}

/// Everything that is spelled in the platform's own way.
pub trait EntryPlatform {
    /// Reads what a caller says.
    ///
    /// # Errors
    /// When a field that is needed is missing or wrong.
    fn read_request(&self, fields: &[Field]) -> Result<RequestFields, WireError>;
    /// The fields that go to a target.
    fn forwarded_headers(&self, fields: &[Field], carried: &ForwardedFields<'_>) -> Vec<Field>;
    /// Reads what a target says.
    fn read_response(&self, fields: &[Field]) -> ResponseFields;
    /// The fields of an answer that go to the caller.
    fn caller_headers(&self, fields: &[Field]) -> Vec<Field>;
    /// The era that the store names in its reply, if it does.
    fn era(&self, reply: &CallReply) -> Option<Era>;
    /// A read of a stream from an offset; waits for a record at most `wait`.
    fn read(&self, stream: Stream, from: u64, wait: Duration) -> CallRequest;
    /// Reads the reply to [`EntryPlatform::read`].
    ///
    /// # Errors
    /// When it brought no records, and why.
    fn read_reply(&self, reply: &CallReply) -> Result<ReadBatch, StoreFault>;
    /// A read of the newest record of each key, after the key `since`.
    fn read_latest(&self, stream: Stream, since: Option<&str>) -> CallRequest;
    /// Reads the reply to [`EntryPlatform::read_latest`].
    ///
    /// # Errors
    /// When it brought no records, and why.
    fn latest_reply(&self, reply: &CallReply) -> Result<Page, StoreFault>;
    /// A read of the records of blocked requests, after the key `since`; its reply is read by
    /// [`EntryPlatform::latest_reply`].
    fn read_blocked(&self, since: Option<&str>) -> CallRequest;
    /// Writes records of blocked requests; those without a value are dropped.
    fn write_blocked(&self, records: &[KeyedRecord]) -> CallRequest;
    /// Reads the reply to [`EntryPlatform::write_blocked`].
    ///
    /// # Errors
    /// When the records may not have been written, and why.
    fn write_reply(&self, reply: &CallReply) -> Result<(), StoreFault>;
    /// The key of the configuration in its stream.
    fn config_key(&self) -> &'static str;
    /// Reads a configuration.
    ///
    /// # Errors
    /// When it cannot be read.
    fn config(&self, value: &[u8]) -> Result<Snapshot, WireError>;
    /// Reads the record of a target.
    ///
    /// # Errors
    /// When it cannot be read.
    fn target(&self, id: &str, value: &[u8]) -> Result<TargetRecord, WireError>;
    /// Asks a target for its report.
    fn report(&self) -> CallRequest;
    /// Reads a report.
    ///
    /// # Errors
    /// When it cannot be read.
    fn report_reply(&self, reply: &CallReply) -> Result<Report, WireError>;
    /// Orders a target to hold these layers, if it has taken `expected` orders so far.
    fn assign_layers(&self, layers: (u16, u16), expected: u64) -> CallRequest;
    /// Orders the first target of a path to go on over another one.
    fn reroute(&self, attempt: &str, path: &[(SocketAddr, Hop)]) -> CallRequest;
}
