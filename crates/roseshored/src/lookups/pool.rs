//! A bounded pool of threads that wait for replicas.
//!
//! Threads are started on demand and never end. A job that finds neither an idle thread nor room in
//! the queue is rejected, so that overload is refused at once instead of queuing without bound.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// A unit of work for one thread.
pub(super) type Job = Box<dyn FnOnce() + Send>;

/// The threads and their job queue.
pub(super) struct Pool {
    max_threads: usize,
    threads: AtomicUsize,
    busy: Arc<AtomicUsize>,
    jobs: flume::Sender<Job>,
    queue: flume::Receiver<Job>,
}

impl Pool {
    pub(super) fn new(max_threads: usize) -> Pool {
        let (jobs, queue) = flume::bounded(max_threads);
        Pool { max_threads, threads: AtomicUsize::new(0), busy: Arc::default(), jobs, queue }
    }

    /// Queues a job; returns `false` and drops it when the queue is full.
    pub(super) fn submit(&self, job: Job) -> bool {
        // Counted before the job is queued, so that a thread about to take a job never looks idle.
        let busy = self.busy.fetch_add(1, Ordering::SeqCst);
        if busy >= self.threads.load(Ordering::SeqCst) {
            self.grow();
        }
        let queued = self.jobs.try_send(job).is_ok();
        if !queued {
            self.busy.fetch_sub(1, Ordering::SeqCst);
        }
        queued
    }

    fn grow(&self) {
        if self.threads.fetch_add(1, Ordering::SeqCst) >= self.max_threads {
            self.threads.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        let (queue, busy) = (self.queue.clone(), self.busy.clone());
        let started = thread::Builder::new().name("lookup".to_owned()).spawn(move || {
            while let Ok(job) = queue.recv() {
                job();
                busy.fetch_sub(1, Ordering::SeqCst);
            }
        });
        if started.is_err() {
            self.threads.fetch_sub(1, Ordering::SeqCst);
        }
    }
}
