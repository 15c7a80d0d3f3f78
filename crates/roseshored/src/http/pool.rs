//! Thread pool for connections; threads start on demand and exit when idle.

use flume::{Receiver, RecvTimeoutError, Sender, TrySendError};
use roseshore_core::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// How long an idle thread waits for the next connection before it exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size in bytes; enough for the call depth of a handler.
const STACK_BYTES: usize = 512 << 10;

/// A bounded pool that runs one function on each submitted item.
pub struct Pool<T> {
    sender: Sender<T>,
    receiver: Receiver<T>,
    threads: Arc<AtomicUsize>,
    max_threads: usize,
    work: Arc<dyn Fn(T) + Send + Sync>,
}

impl<T: Send + 'static> Pool<T> {
    /// Creates a pool of at most `max_threads` threads.
    pub fn new(max_threads: usize, work: impl Fn(T) + Send + Sync + 'static) -> Pool<T> {
        let (sender, receiver) = flume::bounded(0);
        Pool { sender, receiver, threads: Arc::default(), max_threads, work: Arc::new(work) }
    }

    /// Number of running threads.
    pub fn threads(&self) -> usize {
        self.threads.load(Ordering::SeqCst)
    }

    /// Passes an item to an idle thread or a new one.
    ///
    /// # Errors
    /// Returns the item if every thread is busy and no more may be started.
    pub fn submit(&self, item: T) -> Result<(), T> {
        match self.sender.try_send(item) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(item) | TrySendError::Disconnected(item)) => self.spawn(item),
        }
    }

    fn spawn(&self, item: T) -> Result<(), T> {
        if self.threads() >= self.max_threads {
            // A thread that has just finished may not wait on the channel again yet.
            return self
                .sender
                .send_timeout(item, HANDOFF_WAIT)
                .map_err(flume::SendTimeoutError::into_inner);
        }
        self.threads.fetch_add(1, Ordering::SeqCst);
        let slot = ThreadSlot(self.threads.clone());
        let (receiver, work) = (self.receiver.clone(), self.work.clone());
        let (first, first_receiver) = flume::bounded(1);
        let spawned = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || run(slot, &first_receiver, &receiver, work.as_ref()));
        match spawned {
            Ok(_) => first.send(item).map_err(flume::SendError::into_inner),
            Err(_) => Err(item),
        }
    }
}

/// How long a submit waits for a thread to become idle when all are busy.
const HANDOFF_WAIT: Duration = Duration::from_millis(2);

/// Counts one running thread; released when the thread ends, also by a panic.
struct ThreadSlot(Arc<AtomicUsize>);

impl Drop for ThreadSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn run<T>(_slot: ThreadSlot, first: &Receiver<T>, receiver: &Receiver<T>, work: &dyn Fn(T)) {
    let Ok(item) = first.recv() else { return };
    work(item);
    loop {
        match receiver.recv_timeout(IDLE_TIMEOUT) {
            Ok(item) => work(item),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        }
    }
}
