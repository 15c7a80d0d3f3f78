//! The protocol of a model engine, JSON over HTTP.
//!
//! | call | body | reply |
//! |---|---|---|
//! | `GET /v1/load` | - | [`Load`] |
//! | `POST /v1/generate` to the first stage | [`Generate`] | a stream of lines, each an [`Output`] |
//! | `POST /v1/cancel` to any stage | [`Cancel`] | `200` once this stage runs nothing more for that answer up to that epoch |
//! | `POST /v1/kv/export` | [`KvExport`] | [`Kv`]; `404` if the stage no longer has the cache |
//! | `POST /v1/kv/import` | [`Kv`] | `200`; `409` if the stage has a newer epoch of the answer |
//! | `GET /v1/cache?from=SEQ` | - | [`CacheEvents`], which may be late and have gaps |
//! | `POST /v1/order` | [`Order`] | [`Holding`] after the order; `412` with [`Holding`] for an outdated fencing number |
//!
//! `POST /v1/generate` returns `409` with a [`Holding`] if the stage does not hold what the route
//! requires, and `503` with a `Retry-After` header if the queue is full. In both cases nothing ran.
//! The first stage passes activations along the route and gets the tokens back; the protocol
//! between engines is not specified here. The head of the stream is sent immediately, before the
//! prefill. A stream that does not end with [`Output::Done`] or [`Output::Lost`] was cut off.

use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

pub use roseshore_core::answer::lineage::{Stage, Stamp};

/// What an engine currently holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// Incarnation number of the engine.
    pub incarnation: Incarnation,
    /// The model whose layers are loaded; `None` if nothing is loaded.
    pub model: Option<ModelId>,
    /// The version of the weights.
    pub version: Option<VersionId>,
    /// The loaded layers, as `(start, end)`; `end` is not included.
    pub layers: (Layer, Layer),
    /// The loaded adapters.
    pub adapters: BTreeSet<AdapterId>,
    /// The phases it serves: `both`, `prefill` or `decode`.
    pub role: Role,
    /// The highest fencing number seen; `None` if the engine does not check fencing numbers.
    pub fence: Option<Fence>,
    /// Whether weights are being loaded. The previous ones are already gone then.
    pub loading: bool,
}

/// The phases that an engine serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// The load report of an engine. It may be out of date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// What the engine holds.
    pub holding: Holding,
    /// Waiting requests.
    pub queue: u32,
    /// Running answers.
    pub running: u32,
    /// Number of steps that can run at once; further steps wait.
    pub slots: u32,
    /// Duration of one step of one token through this stage, microseconds.
    pub step_us: u64,
    /// Prefill rate of this stage, tokens per second.
    pub prefill_rate: f64,
    /// Used KV cache, tokens.
    pub kv_used: u64,
    /// Size of the KV cache, tokens.
    pub kv_cap: u64,
    /// Size of the KV cache of one token, bytes.
    pub kv_bytes: u64,
    /// Whether the engine asks for no new work.
    pub leaving: bool,
}

/// Starts or resumes an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// Id of the answer, the same in all epochs.
    pub answer: RequestId,
    /// The epoch; each new route of the answer has a higher one.
    pub epoch: Epoch,
    /// The stages in order. The receiver is the first one.
    pub route: Vec<Stage>,
    /// The model that every stage must hold.
    pub model: ModelId,
    /// The version that every stage must hold.
    pub version: VersionId,
    /// The adapter that every stage must hold, if any.
    pub adapter: Option<AdapterId>,
    /// The tokens of the prompt.
    pub prompt: Vec<String>,
    /// The tokens already delivered by earlier epochs. The next position is the length of this
    /// list.
    pub done: Vec<String>,
    /// Whether every stage holds the KV cache of `prompt` and `done` for this answer, so that no
    /// prefill is needed. A stage without it ends the stream with [`Output::Lost`].
    pub warm: bool,
    /// Maximum tokens of the whole answer.
    pub max_tokens: u32,
    /// Priority, larger first.
    pub priority: u8,
    /// The trace context of the caller, as W3C `traceparent`.
    pub trace: Option<String>,
}

/// One line of an answer's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Output {
    /// A token.
    Token {
        /// Id of the answer.
        answer: RequestId,
        /// Epoch of the answer.
        epoch: Epoch,
        /// Position of the token in the answer.
        position: Position,
        /// Text of the token.
        text: String,
        /// The stages that computed it, in order.
        lineage: Vec<Stamp>,
    },
    /// The answer is complete.
    Done {
        /// Id of the answer.
        answer: RequestId,
        /// Epoch of the answer.
        epoch: Epoch,
        /// Tokens in the whole answer, including earlier epochs.
        count: u32,
        /// `stop` or `length`.
        reason: String,
        /// Prompt tokens that needed no prefill because they were in a prefix cache.
        cached: u32,
    },
    /// The answer cannot continue on this route.
    Lost {
        /// Id of the answer.
        answer: RequestId,
        /// Epoch of the answer.
        epoch: Epoch,
        /// The stage that failed, if known.
        stage: Option<TargetId>,
        /// What failed.
        reason: String,
    },
}

/// Cancels an answer on a stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cancel {
    /// Id of the answer.
    pub answer: RequestId,
    /// Cancels this epoch and all older ones.
    pub epoch: Epoch,
    /// Whether to keep the KV cache for an export or a resume.
    pub keep_kv: bool,
}

/// Requests the KV cache of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KvExport {
    /// Id of the answer.
    pub answer: RequestId,
}

/// The KV cache of one answer on one stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kv {
    /// Id of the answer.
    pub answer: RequestId,
    /// The last epoch that wrote to it.
    pub epoch: Epoch,
    /// The layers it covers, as `(start, end)`; `end` is not included.
    pub layers: (Layer, Layer),
    /// The version of the weights that computed it.
    pub version: VersionId,
    /// Number of tokens it covers, including the prompt.
    pub tokens: u64,
    /// Digest of the tokens it covers.
    pub digest: u64,
    /// Opaque content; base64 in the simulated engine.
    pub content: String,
}

/// Changes of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of the first event in `events`. A gap after the last one seen means that events were
    /// lost.
    pub first: u64,
    /// Number to request from next.
    pub next: u64,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A prefix has been cached.
    Stored {
        /// `xxh3` hash of the tokens, each followed by a zero byte.
        hash: u64,
        /// Number of tokens in the prefix.
        tokens: u32,
    },
    /// A prefix has been evicted.
    Evicted {
        /// Hash of the prefix, as in [`CacheEvent::Stored`].
        hash: u64,
    },
    /// The cache has been cleared.
    Cleared,
}

/// An order to an engine. It is level-triggered: it states what to hold, not what to change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fence: Fence,
    /// Id of the order, used to recognize duplicates.
    pub order: String,
    /// The model to hold; `None` to hold nothing.
    pub model: Option<ModelId>,
    /// The version to hold.
    pub version: Option<VersionId>,
    /// The layers to hold, as `(start, end)`; `end` is not included.
    pub layers: (Layer, Layer),
    /// The adapters to hold.
    pub adapters: BTreeSet<AdapterId>,
    /// The phases to serve.
    pub role: Role,
}
