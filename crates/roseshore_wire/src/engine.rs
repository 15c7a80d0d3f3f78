//! The protocol of a model engine, JSON over HTTP.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `GET /v1/load` | - | [`Load`] |
//! | `POST /v1/generate` to the first stage | [`Generate`] | a stream of lines, each an [`Output`] |
//! | `POST /v1/cancel` to any stage | [`Cancel`] | `200` once nothing more of that answer and epoch will run here |
//! | `POST /v1/kv/export` | [`KvExport`] | [`Kv`], `404` if the cache is gone |
//! | `POST /v1/kv/import` | [`Kv`] | `200`, `409` if an own newer epoch exists |
//! | `GET /v1/cache?from=SEQ` | - | [`CacheEvents`], late and with gaps |
//! | `POST /v1/order` | [`Order`] | [`Holding`] now in force; `412` with [`Holding`] for an old fencing number |
//!
//! `POST /v1/generate` answers `409` with a [`Holding`] when the stage does not hold what the route
//! says; nothing ran then. `503` with a `Retry-After` header when the queue is full; nothing ran.
//! The first stage hands activations on along the route and gets the tokens back; between engines
//! is their own affair. The stream's head is sent at once, before the prefill. A stream without
//! [`Output::Done`] or [`Output::Lost`] at its end was cut.

use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

pub use roseshore_core::answer::lineage::{Stage, Stamp};

/// What an engine holds now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// The number of the engine's life.
    pub incarnation: Incarnation,
    /// The model whose layers are loaded, if any.
    pub model: Option<ModelId>,
    /// The version of the weights.
    pub version: Option<VersionId>,
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
    /// The adapters loaded.
    pub adapters: BTreeSet<AdapterId>,
    /// What stages it serves: `both`, `prefill`, `decode`.
    pub role: Role,
    /// The highest fencing number seen, if the engine looks at it.
    pub fence: Option<Fence>,
    /// Whether a load is under way; the old holding is gone already then.
    pub loading: bool,
}

/// What an engine's accelerator is used for.
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

/// An engine's report, as old as its lag says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// What it holds.
    pub holding: Holding,
    /// Requests waiting.
    pub queue: u32,
    /// Answers being worked on.
    pub running: u32,
    /// Steps that run at once before a step has to wait.
    pub slots: u32,
    /// Time of one step of one token through this stage, microseconds.
    pub step_us: u64,
    /// Prefill rate of this stage, tokens a second.
    pub prefill_rate: f64,
    /// KV cache in use, tokens.
    pub kv_used: u64,
    /// KV cache in all, tokens.
    pub kv_cap: u64,
    /// Bytes of KV cache of one token.
    pub kv_bytes: u64,
    /// Whether the engine asks for no new work.
    pub leaving: bool,
}

/// Opens or resumes an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// The answer's id, equal over all epochs.
    pub answer: RequestId,
    /// The number of this route.
    pub epoch: Epoch,
    /// The stages in order; the receiver is the first.
    pub route: Vec<Stage>,
    /// The model version that every stage must hold.
    pub model: ModelId,
    /// See `model`.
    pub version: VersionId,
    /// The adapter that every stage must hold.
    pub adapter: Option<AdapterId>,
    /// The prompt's tokens.
    pub prompt: Vec<String>,
    /// Tokens that were delivered already, by earlier epochs; the next position is its length.
    pub done: Vec<String>,
    /// Whether every stage holds the KV cache of `prompt` and `done` for this answer, so that no
    /// prefill is needed; a stage that does not ends the stream with [`Output::Lost`].
    pub warm: bool,
    /// How many tokens the whole answer may have.
    pub max_tokens: u32,
    /// Larger goes first.
    pub priority: u8,
    /// The caller's trace, as W3C `traceparent`.
    pub trace: Option<String>,
}

/// One line of an answer's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Output {
    /// One token.
    Token {
        /// Which answer.
        answer: RequestId,
        /// Which route.
        epoch: Epoch,
        /// Which place.
        position: Position,
        /// The text.
        text: String,
        /// What ran, in order.
        lineage: Vec<Stamp>,
    },
    /// The answer is whole.
    Done {
        /// Which answer.
        answer: RequestId,
        /// Which route.
        epoch: Epoch,
        /// Tokens in the whole answer, earlier epochs included.
        count: u32,
        /// `stop` or `length`.
        reason: String,
        /// Prompt tokens that a prefix cache saved from prefill.
        cached: u32,
    },
    /// The answer cannot go on over this route.
    Lost {
        /// Which answer.
        answer: RequestId,
        /// Which route.
        epoch: Epoch,
        /// The stage that failed, if known.
        stage: Option<TargetId>,
        /// Why.
        reason: String,
    },
}

/// Ends an answer's work on a stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cancel {
    /// Which answer.
    pub answer: RequestId,
    /// This epoch and every older one.
    pub epoch: Epoch,
    /// Whether to keep the KV cache for an export or a resume.
    pub keep_kv: bool,
}

/// Asks for an answer's KV cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KvExport {
    /// Which answer.
    pub answer: RequestId,
}

/// The KV cache of one answer on one stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kv {
    /// Which answer.
    pub answer: RequestId,
    /// The epoch that wrote it last.
    pub epoch: Epoch,
    /// The layers it is of.
    pub layers: (Layer, Layer),
    /// The weights it was made with.
    pub version: VersionId,
    /// Tokens it covers, prompt included.
    pub tokens: u64,
    /// A digest of the tokens it covers.
    pub digest: u64,
    /// Opaque content, base64 in the stand-in.
    pub content: String,
}

/// What entered and left an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number of the first event here; a gap to the last one seen means lost events.
    pub first: u64,
    /// The number to ask from next.
    pub next: u64,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// The prefix with this hash of its tokens, and this length, is cached.
    Stored {
        /// `xxh3` over the tokens, each followed by a zero byte.
        hash: u64,
        /// Tokens in the prefix.
        tokens: u32,
    },
    /// It was dropped.
    Evicted {
        /// See [`CacheEvent::Stored`].
        hash: u64,
    },
    /// Everything was dropped.
    Cleared,
}

/// An order to an engine; level-triggered: it says what to hold, not what to change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the giver's lease.
    pub fence: Fence,
    /// An id with which a repeat is recognized.
    pub order: String,
    /// What to hold.
    pub model: Option<ModelId>,
    /// See `model`.
    pub version: Option<VersionId>,
    /// See `model`.
    pub layers: (Layer, Layer),
    /// See `model`.
    pub adapters: BTreeSet<AdapterId>,
    /// See `model`.
    pub role: Role,
}
