//! The faults of the stand-in.

use serde::{Deserialize, Serialize};

/// Faults that are switched while a stand-in runs; the default is none.
///
/// Counts "after N" are of one answer's steps on this stage, so that a case strikes at the same
/// place every time. Faults of the stream show only on the first stage of a route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The engine ends before the step after N.
    pub die_after: Option<u32>,
    /// The engine stops answering before the step after N, with its sockets open.
    pub freeze_after: Option<u32>,
    /// The engine stops answering now, with its sockets open.
    pub freeze: bool,
    /// Each token is sent this much late, milliseconds.
    pub delay_ms: u64,
    /// Each token is sent twice.
    pub duplicate: bool,
    /// Each pair of tokens is sent the wrong way round.
    pub reorder: bool,
    /// Before each token one of an older epoch is sent.
    pub old_epoch: bool,
    /// Before each token one of another answer is sent.
    pub crossed: bool,
    /// The token of this position is not sent.
    pub skip: Option<u32>,
    /// The line after N cannot be read.
    pub garble_after: Option<u32>,
    /// The stage leaves out its first layer.
    pub wrong_lineage: bool,
    /// The stream breaks off after N tokens.
    pub cut_after: Option<u32>,
    /// New work is refused with 503 and this `Retry-After`, seconds.
    pub refuse: Option<u64>,
    /// Steps take this many times as long; 0 counts as 1.
    pub slow: f64,
    /// Prefill takes this many times as long; 0 counts as 1.
    pub prefill_slow: f64,
    /// Load reports are older by this, milliseconds.
    pub load_lag_ms: u64,
    /// Cache events are lost as they occur.
    pub cache_gap: bool,
    /// An order takes effect and its reply is lost.
    pub lose_order: bool,
    /// Old fencing numbers are not refused.
    pub ignore_fence: bool,
    /// The KV cache cannot be exported.
    pub export_fails: bool,
    /// The KV cache cannot be imported.
    pub import_fails: bool,
}
