//! The state that all parts of one engine share.

use super::answers::Answers;
use super::cache::PrefixCache;
use super::faults::EngineFaults;
use super::kv::KvStore;
use super::link::{self, Directory};
use super::loader::HoldingCell;
use super::settings::{EngineSettings, ExitMode};
use super::slots::Slots;
use super::stats::Counters;
use crate::fault::Faults;
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_wire::engine::Load;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// The longest sleep between two checks whether the work is still wanted.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The exit code of a process that a fault ended.
const FAULT_EXIT_CODE: i32 = 9;

/// The shared state of one engine.
pub(super) struct Core {
    pub(super) settings: EngineSettings,
    pub(super) hops: SocketAddr,
    pub(super) faults: Faults<EngineFaults>,
    pub(super) stats: Counters,
    pub(super) holding: HoldingCell,
    pub(super) answers: Answers,
    pub(super) slots: Slots,
    pub(super) cache: PrefixCache,
    pub(super) kv: KvStore,
    pub(super) directory: Directory,
    report: Mutex<Option<Report>>,
    frozen: AtomicBool,
    has_ended: AtomicBool,
    end: (flume::Sender<()>, flume::Receiver<()>),
}

struct Report {
    made: Instant,
    load: Load,
}

impl Core {
    pub(super) fn new(settings: EngineSettings, hops: SocketAddr) -> Core {
        Core {
            hops,
            faults: Faults::default(),
            stats: Counters::default(),
            holding: HoldingCell::new(&settings),
            answers: Answers::default(),
            slots: Slots::new(settings.slots),
            cache: PrefixCache::new(&settings),
            kv: KvStore::new(settings.kv_cap),
            directory: Directory::default(),
            report: Mutex::default(),
            frozen: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            end: flume::bounded(1),
            settings,
        }
    }

    /// Receives one message when the engine ends.
    pub(super) fn ended(&self) -> flume::Receiver<()> {
        self.end.1.clone()
    }

    /// Whether the engine has ended.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Ends the engine: its streams are cut and its sockets close.
    pub(super) fn end(&self) {
        if self.has_ended.swap(true, Ordering::SeqCst) {
            return;
        }
        self.answers.shut_all();
        link::wake(self.hops);
        let _ = self.end.0.try_send(());
    }

    /// Triggers the faults that are due before a step.
    pub(super) fn trigger_faults(&self, steps: u32) {
        let faults = self.faults.get();
        if faults.die_after.is_some_and(|after| steps >= after) {
            match self.settings.exit_mode {
                ExitMode::Exit => std::process::exit(FAULT_EXIT_CODE),
                ExitMode::Close => self.end(),
            }
        }
        if faults.freeze_after.is_some_and(|after| steps >= after) {
            self.frozen.store(true, Ordering::SeqCst);
        }
        self.wait_while_frozen();
    }

    /// Blocks while the engine is frozen.
    pub(super) fn wait_while_frozen(&self) {
        while self.is_frozen() && !self.has_ended() {
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn is_frozen(&self) -> bool {
        let faults = self.faults.get();
        if faults.freeze_after.is_none() {
            self.frozen.store(false, Ordering::SeqCst);
        }
        faults.freeze || self.frozen.load(Ordering::SeqCst)
    }

    /// Sleeps for the duration of the work, or until it is no longer wanted.
    pub(super) fn work(&self, time: Duration, wanted: impl Fn() -> bool) {
        let mut left = time;
        while !left.is_zero() && wanted() && !self.has_ended() {
            let slice = left.min(CHECK_INTERVAL);
            thread::sleep(slice);
            left -= slice;
        }
    }

    /// The load report, which may be cached for as long as the lag allows.
    pub(super) fn load(&self) -> Load {
        let lag = self.settings.load_lag + Duration::from_millis(self.faults.get().load_lag_ms);
        let mut report = self.report.lock();
        match &*report {
            Some(report) if report.made.elapsed() < lag => report.load.clone(),
            _ => {
                let load = self.measure();
                *report = Some(Report { made: Instant::now(), load: load.clone() });
                load
            }
        }
    }

    fn measure(&self) -> Load {
        let settings = &self.settings;
        Load {
            holding: self.holding.get(),
            queue: self.slots.waiting(),
            running: self.answers.running(),
            slots: settings.slots,
            step_us: settings.step.as_micros() as u64,
            prefill_rate: settings.prefill_rate,
            kv_used: self.kv.used(),
            kv_cap: settings.kv_cap,
            kv_bytes: settings.kv_bytes,
            leaving: self.stats.get().leaving,
        }
    }
}
