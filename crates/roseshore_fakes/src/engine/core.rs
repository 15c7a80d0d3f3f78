//! What all parts of one stand-in share.

use super::answers::Answers;
use super::cache::PrefixCache;
use super::faults::EngineFaults;
use super::kv::KvStore;
use super::link::{self, Directory};
use super::loader::HoldingCell;
use super::settings::{Death, EngineSettings};
use super::slots::Slots;
use super::stats::Counters;
use crate::fault::Faults;
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_wire::engine::Load;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// The longest sleep without a look at whether the work is still wanted.
const SLICE: Duration = Duration::from_millis(20);
/// The exit code of a process that the ending fault struck.
const DEATH_CODE: i32 = 9;

/// One stand-in's state.
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
    over: AtomicBool,
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
            over: AtomicBool::new(false),
            end: flume::bounded(1),
            settings,
        }
    }

    /// Gets one message when the stand-in ends.
    pub(super) fn ended(&self) -> flume::Receiver<()> {
        self.end.1.clone()
    }

    /// Whether it has ended.
    pub(super) fn over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Ends the stand-in: its streams break off and its sockets close.
    pub(super) fn end(&self) {
        if self.over.swap(true, Ordering::SeqCst) {
            return;
        }
        self.answers.shut_all();
        link::wake(self.hops);
        let _ = self.end.0.try_send(());
    }

    /// Lets the faults strike that are due before a step.
    pub(super) fn strike(&self, steps: u32) {
        let faults = self.faults.get();
        if faults.die_after.is_some_and(|after| steps >= after) {
            match self.settings.death {
                Death::Exit => std::process::exit(DEATH_CODE),
                Death::Close => self.end(),
            }
        }
        if faults.freeze_after.is_some_and(|after| steps >= after) {
            self.frozen.store(true, Ordering::SeqCst);
        }
        self.thaw();
    }

    /// Waits while the stand-in is frozen.
    pub(super) fn thaw(&self) {
        while self.is_frozen() && !self.over() {
            thread::sleep(SLICE);
        }
    }

    fn is_frozen(&self) -> bool {
        let faults = self.faults.get();
        if faults.freeze_after.is_none() {
            self.frozen.store(false, Ordering::SeqCst);
        }
        faults.freeze || self.frozen.load(Ordering::SeqCst)
    }

    /// Sleeps as long as work takes, or until it is not wanted any more.
    pub(super) fn work(&self, time: Duration, wanted: impl Fn() -> bool) {
        let mut left = time;
        while !left.is_zero() && wanted() && !self.over() {
            let slice = left.min(SLICE);
            thread::sleep(slice);
            left -= slice;
        }
    }

    /// The report, as old as its lag allows.
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
