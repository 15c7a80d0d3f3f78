//! Threads for calls that a frozen target may hold up.
//!
//! A job goes to an idle thread, or to a new one while the bound allows. Beyond the bound a job is
//! handed back, so that the caller decides what that means; nothing queues behind a frozen target.

use flume::{Receiver, Sender, TrySendError};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A thread without work for this long ends.
const IDLE: Duration = Duration::from_secs(10);

/// Work for a pool.
pub(super) type Job = Box<dyn FnOnce() + Send>;

/// A bounded pool of threads.
pub(super) struct Pool {
    name: &'static str,
    bound: usize,
    threads: Arc<AtomicUsize>,
    jobs: (Sender<Job>, Receiver<Job>),
}

impl Pool {
    /// A pool of at most `bound` threads, none of them started yet.
    pub(super) fn new(name: &'static str, bound: usize) -> Pool {
        Pool { name, bound, threads: Arc::default(), jobs: flume::bounded(0) }
    }

    /// Runs a job; gives it back when every thread is busy.
    pub(super) fn run(&self, job: Job) -> Result<(), Job> {
        match self.jobs.0.try_send(job) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => self.start(job),
        }
    }

    fn start(&self, job: Job) -> Result<(), Job> {
        let threads = Arc::clone(&self.threads);
        if threads.fetch_add(1, Ordering::SeqCst) >= self.bound {
            threads.fetch_sub(1, Ordering::SeqCst);
            return Err(job);
        }
        let place = Place(threads);
        let jobs = self.jobs.1.clone();
        // The job travels through a channel of its own, so that it can be handed back on failure.
        let (give, take) = flume::bounded::<Job>(1);
        let work = move || {
            let _place = place;
            let first = take.recv_timeout(IDLE);
            let rest = std::iter::from_fn(|| jobs.recv_timeout(IDLE).ok());
            first.into_iter().chain(rest).for_each(|job| job());
        };
        let started = std::thread::Builder::new().name(self.name.to_owned()).spawn(work);
        match started {
            Ok(_) => give.send(job).map_err(|e| e.0),
            Err(_) => Err(job),
        }
    }
}

/// One thread's place in the bound, given back when it ends, by a panic too.
struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
