//! Concurrency slots of a replica, and counts and cached results of its calls.

use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Execution counts of calls and lookups.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Total number of calls.
    pub total: u64,
    /// Total number of lookups.
    pub lookups: u64,
    /// Number of calls per idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Number of calls per request id.
    pub requests: BTreeMap<String, u64>,
}

/// The number of waiting and running calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) queue: u32,
    pub(super) running: u32,
}

/// Concurrency slots, granted first come, first served as far as thread scheduling allows.
pub(super) struct Slots {
    count: u32,
    load: Mutex<Load>,
    freed: Condvar,
}

/// An occupied slot, released on drop.
pub(super) struct Slot<'a> {
    slots: &'a Slots,
}

impl Slots {
    pub(super) fn new(count: u32) -> Slots {
        Slots { count: count.max(1), load: Mutex::default(), freed: Condvar::new() }
    }

    pub(super) fn take(&self) -> Slot<'_> {
        let mut load = self.load.lock();
        load.queue += 1;
        self.freed.wait_while(&mut load, |l| l.running >= self.count);
        load.queue -= 1;
        load.running += 1;
        Slot { slots: self }
    }

    pub(super) fn load(&self) -> Load {
        *self.load.lock()
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.slots.load.lock().running -= 1;
        self.slots.freed.notify_one();
    }
}

/// A cached result, locked while the call that computes it runs.
type CachedResult = Arc<Mutex<Option<Vec<u8>>>>;

/// Execution counts and cached results.
#[derive(Default)]
pub(super) struct CallLog {
    ran: Mutex<CallCounts>,
    results: Mutex<HashMap<String, CachedResult>>,
}

impl CallLog {
    pub(super) fn called(&self, key: Option<&str>, request: Option<&str>) {
        let mut ran = self.ran.lock();
        ran.total += 1;
        if let Some(key) = key {
            *ran.keys.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(request) = request {
            *ran.requests.entry(request.to_owned()).or_default() += 1;
        }
    }

    pub(super) fn looked_up(&self) {
        self.ran.lock().lookups += 1;
    }

    pub(super) fn ran(&self) -> CallCounts {
        self.ran.lock().clone()
    }

    /// Returns the first result of a key. Repeats of a key block while `run` computes its result.
    pub(super) fn once(&self, key: &str, run: impl FnOnce() -> Vec<u8>) -> CallResult {
        let slot = self.results.lock().entry(key.to_owned()).or_default().clone();
        let mut known = slot.lock();
        if let Some(result) = &*known {
            return CallResult { result: result.clone(), replayed: true };
        }
        let result = run();
        *known = Some(result.clone());
        CallResult { result, replayed: false }
    }
}

/// A result, and whether it comes from an earlier call.
pub(super) struct CallResult {
    pub(super) result: Vec<u8>,
    pub(super) replayed: bool,
}
