//! A bounded pool of threads that wait for replicas.
//!
//! Threads are started as needed and stay. A job that finds neither an idle thread nor room in the
//! queue is handed back, so that a flood is refused at once and does not pile up.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// What a thread does.
pub(super) type Job = Box<dyn FnOnce() + Send>;

/// The threads and their queue.
pub(super) struct Pool {
    max: usize,
    threads: AtomicUsize,
    busy: Arc<AtomicUsize>,
    jobs: flume::Sender<Job>,
    queue: flume::Receiver<Job>,
}

impl Pool {
    pub(super) fn new(max: usize) -> Pool {
        let (jobs, queue) = flume::bounded(max);
        Pool { max, threads: AtomicUsize::new(0), busy: Arc::default(), jobs, queue }
    }

    /// Hands a job to a thread; `false` when there is no room.
    pub(super) fn give(&self, job: Job) -> bool {
        // Counted before the hand-over, so that a thread about to take a job never looks idle.
        let busy = self.busy.fetch_add(1, Ordering::SeqCst);
        if busy >= self.threads.load(Ordering::SeqCst) {
            self.grow();
        }
        let given = self.jobs.try_send(job).is_ok();
        if !given {
            self.busy.fetch_sub(1, Ordering::SeqCst);
        }
        given
    }

    fn grow(&self) {
        if self.threads.fetch_add(1, Ordering::SeqCst) >= self.max {
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
