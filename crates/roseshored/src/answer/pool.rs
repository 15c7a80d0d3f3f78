//! Thread pool for calls that a frozen target may block.
//!
//! A job runs on an idle thread, or on a new one while the limit allows. Beyond the limit the job is
//! handed back and the caller decides what to do; no job queues behind a frozen target.

use flume::{Receiver, Sender, TrySendError};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A thread without work for this long exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A unit of work.
pub(super) type Job = Box<dyn FnOnce() + Send>;

/// A bounded pool of threads.
pub(super) struct Pool {
    name: &'static str,
    max_threads: usize,
    threads: Arc<AtomicUsize>,
    jobs: (Sender<Job>, Receiver<Job>),
}

impl Pool {
    /// Creates a pool of at most `max_threads` threads; threads start on demand.
    pub(super) fn new(name: &'static str, max_threads: usize) -> Pool {
        Pool { name, max_threads, threads: Arc::default(), jobs: flume::bounded(0) }
    }

    /// Runs a job, or returns it if every thread is busy and no more may be started.
    pub(super) fn run(&self, job: Job) -> Result<(), Job> {
        match self.jobs.0.try_send(job) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => self.start(job),
        }
    }

    fn start(&self, job: Job) -> Result<(), Job> {
        let threads = Arc::clone(&self.threads);
        if threads.fetch_add(1, Ordering::SeqCst) >= self.max_threads {
            threads.fetch_sub(1, Ordering::SeqCst);
            return Err(job);
        }
        let slot = ThreadSlot(threads);
        let jobs = self.jobs.1.clone();
        // The job is passed through a channel so that it can be handed back if the spawn fails.
        let (sender, receiver) = flume::bounded::<Job>(1);
        let work = move || {
            let _slot = slot;
            let first = receiver.recv_timeout(IDLE_TIMEOUT);
            let rest = std::iter::from_fn(|| jobs.recv_timeout(IDLE_TIMEOUT).ok());
            first.into_iter().chain(rest).for_each(|job| job());
        };
        let started = std::thread::Builder::new().name(self.name.to_owned()).spawn(work);
        match started {
            Ok(_) => sender.send(job).map_err(|e| e.0),
            Err(_) => Err(job),
        }
    }
}

/// Counts one running thread; released when the thread ends, also by a panic.
struct ThreadSlot(Arc<AtomicUsize>);

impl Drop for ThreadSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
