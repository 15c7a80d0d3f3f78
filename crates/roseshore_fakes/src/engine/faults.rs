//! The faults of the fake engine.

use serde::{Deserialize, Serialize};

/// Faults that can be switched while an engine runs; the default is none.
///
/// Counts "after N" refer to the steps of one answer on this stage, so that a fault occurs at the
/// same place in every run. Faults of the stream take effect only on the first stage of a route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The engine ends before the step after N.
    pub die_after: Option<u32>,
    /// The engine stops responding before the step after N, with its sockets open.
    pub freeze_after: Option<u32>,
    /// The engine stops responding immediately, with its sockets open.
    pub freeze: bool,
    /// The delay of each token, in milliseconds.
    pub delay_ms: u64,
    /// Each token is sent twice.
    pub duplicate: bool,
    /// Each pair of tokens is sent in reverse order.
    pub reorder: bool,
    /// Each token is preceded by one of an older epoch.
    pub old_epoch: bool,
    /// Each token is preceded by one of another answer.
    pub crossed: bool,
    /// The token at this position is not sent.
    pub skip: Option<u32>,
    /// The line after N is malformed.
    pub garble_after: Option<u32>,
    /// The stage skips its first layer.
    pub wrong_lineage: bool,
    /// The stream is cut after N tokens.
    pub cut_after: Option<u32>,
    /// New work is refused with 503 and this `Retry-After`, in seconds.
    pub refuse: Option<u64>,
    /// The factor on the duration of steps; 0 counts as 1.
    pub slow: f64,
    /// The factor on the duration of prefill; 0 counts as 1.
    pub prefill_slow: f64,
    /// The additional age of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Cache events are lost as they occur.
    pub cache_gap: bool,
    /// An order takes effect but its reply is lost.
    pub lose_order: bool,
    /// Outdated fencing numbers are not refused.
    pub ignore_fence: bool,
    /// The KV cache cannot be exported.
    pub export_fails: bool,
    /// The KV cache cannot be imported.
    pub import_fails: bool,
}
