//! What a stand-in has done, for tests to look at.

use parking_lot::Mutex;
use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Answers opened as first stage.
    pub opened: u64,
    /// Steps run.
    pub steps: u64,
    /// Orders taken.
    pub orders: u64,
    /// Loads that the orders set off.
    pub loads: u64,
    /// Cancels taken.
    pub cancels: u64,
    /// Whether it asks for no new work.
    pub leaving: bool,
    /// Answers opened after it asked for no new work.
    pub late_opened: u64,
    /// Time from the asking to the last answer opened after it, milliseconds.
    pub late_ms: u64,
    /// The trace of the answer opened last.
    pub trace: Option<String>,
}

/// Counts that are shared between threads.
#[derive(Default)]
pub(super) struct Counters {
    inner: Mutex<(Stats, Option<Instant>)>,
}

impl Counters {
    pub(super) fn get(&self) -> Stats {
        self.inner.lock().0.clone()
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut Stats)) {
        change(&mut self.inner.lock().0);
    }

    pub(super) fn leave(&self) {
        let mut inner = self.inner.lock();
        inner.0.leaving = true;
        inner.1.get_or_insert_with(Instant::now);
    }

    pub(super) fn opened(&self, trace: Option<String>) {
        let mut inner = self.inner.lock();
        let left = inner.1;
        let stats = &mut inner.0;
        stats.opened += 1;
        stats.trace = trace;
        if let Some(left) = left {
            stats.late_opened += 1;
            stats.late_ms = left.elapsed().as_millis() as u64;
        }
    }
}
