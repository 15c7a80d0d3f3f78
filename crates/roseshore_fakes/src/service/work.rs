//! The work of a replica: slots, a queue, and what ran.

use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// How often calls ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// Calls in all.
    pub total: u64,
    /// Lookups in all.
    pub lookups: u64,
    /// Calls by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Calls by request id.
    pub requests: BTreeMap<String, u64>,
}

/// Calls waiting and being worked on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) queue: u32,
    pub(super) running: u32,
}

/// Slots, first come first served as far as the threads are.
pub(super) struct Slots {
    count: u32,
    load: Mutex<Load>,
    freed: Condvar,
}

/// A taken slot; given back when dropped.
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

/// A remembered result; locked while the call that makes it runs.
type Known = Arc<Mutex<Option<Vec<u8>>>>;

/// Counts of what ran, and remembered results.
#[derive(Default)]
pub(super) struct Book {
    ran: Mutex<Ran>,
    results: Mutex<HashMap<String, Known>>,
}

impl Book {
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

    pub(super) fn ran(&self) -> Ran {
        self.ran.lock().clone()
    }

    /// The first result of a key. A key being worked on blocks its repeats until `run` has ended.
    pub(super) fn once(&self, key: &str, run: impl FnOnce() -> Vec<u8>) -> Remembered {
        let slot = self.results.lock().entry(key.to_owned()).or_default().clone();
        let mut known = slot.lock();
        if let Some(result) = &*known {
            return Remembered { result: result.clone(), replayed: true };
        }
        let result = run();
        *known = Some(result.clone());
        Remembered { result, replayed: false }
    }
}

/// A result, and whether it is an earlier call's.
pub(super) struct Remembered {
    pub(super) result: Vec<u8>,
    pub(super) replayed: bool,
}
