//! Concurrency slots for steps: a limited number run at once, and the others wait by priority,
//! larger first.
//!
//! This emulates continuous batching: every step of every answer acquires a slot of its own, so a
//! new answer joins between two steps of the others.

use parking_lot::Mutex;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The slots of one engine.
pub(super) struct Slots {
    inner: Mutex<Inner>,
}

struct Inner {
    free: u32,
    arrivals: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), flume::Sender<()>>,
}

impl Slots {
    pub(super) fn new(count: u32) -> Slots {
        let inner = Inner { free: count.max(1), arrivals: 0, waiting: BTreeMap::new() };
        Slots { inner: Mutex::new(inner) }
    }

    /// Waits for a slot, which is released when the result is dropped.
    pub(super) fn take(&self, priority: u8) -> Slot<'_> {
        if let Some(turn) = self.queue(priority) {
            let _ = turn.recv();
        }
        Slot { slots: self }
    }

    /// The number of waiting steps.
    pub(super) fn waiting(&self) -> u32 {
        self.inner.lock().waiting.len() as u32
    }

    fn queue(&self, priority: u8) -> Option<flume::Receiver<()>> {
        let mut inner = self.inner.lock();
        if inner.free > 0 {
            inner.free -= 1;
            return None;
        }
        let (sender, turn) = flume::bounded(1);
        inner.arrivals += 1;
        let place = (Reverse(priority), inner.arrivals);
        inner.waiting.insert(place, sender);
        Some(turn)
    }

    fn release(&self) {
        let mut inner = self.inner.lock();
        match inner.waiting.pop_first() {
            Some((_, next)) => drop(next.send(())),
            None => inner.free += 1,
        }
    }
}

/// An occupied slot, released on drop.
pub(super) struct Slot<'a> {
    slots: &'a Slots,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.slots.release();
    }
}

#[cfg(test)]
mod tests;
