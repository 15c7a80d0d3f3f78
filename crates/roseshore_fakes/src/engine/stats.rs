//! Counters of a fake engine, for tests.

use parking_lot::Mutex;
use roseshore_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Answers opened as first stage.
    pub opened: u64,
    /// Steps run.
    pub steps: u64,
    /// Orders received.
    pub orders: u64,
    /// Loads started by orders.
    pub loads: u64,
    /// Cancel requests received.
    pub cancels: u64,
    /// Whether the engine asks for no new work.
    pub leaving: bool,
    /// Answers opened after the engine asked for no new work.
    pub late_opened: u64,
    /// The time between asking for no new work and the last answer opened after that, in
    /// milliseconds.
    pub late_ms: u64,
    /// The trace of the most recently opened answer.
    pub trace: Option<String>,
}

/// Counters shared between threads.
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
