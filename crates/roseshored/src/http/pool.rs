//! Threads for connections, made as they are needed and kept for a while.

use flume::{Receiver, RecvTimeoutError, Sender, TrySendError};
use roseshore_core::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// How long an idle thread waits for the next connection.
const IDLE: Duration = Duration::from_secs(10);
/// Enough for the frames of one handler.
const STACK: usize = 512 << 10;

/// A bounded pool that runs one function on what it is given.
pub struct Pool<T> {
    give: Sender<T>,
    take: Receiver<T>,
    threads: Arc<AtomicUsize>,
    bound: usize,
    work: Arc<dyn Fn(T) + Send + Sync>,
}

impl<T: Send + 'static> Pool<T> {
    /// A pool of at most `bound` threads.
    pub fn new(bound: usize, work: impl Fn(T) + Send + Sync + 'static) -> Pool<T> {
        let (give, take) = flume::bounded(0);
        Pool { give, take, threads: Arc::default(), bound, work: Arc::new(work) }
    }

    /// Threads alive now.
    pub fn threads(&self) -> usize {
        self.threads.load(Ordering::SeqCst)
    }

    /// Hands one thing to an idle thread or a new one.
    ///
    /// # Errors
    /// The thing itself, when every thread is busy and no more may be made.
    pub fn give(&self, item: T) -> Result<(), T> {
        match self.give.try_send(item) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(item) | TrySendError::Disconnected(item)) => self.spawn(item),
        }
    }

    fn spawn(&self, item: T) -> Result<(), T> {
        if self.threads() >= self.bound {
            // A thread that has just finished may not have come back to the channel yet.
            return self
                .give
                .send_timeout(item, SHORT)
                .map_err(flume::SendTimeoutError::into_inner);
        }
        self.threads.fetch_add(1, Ordering::SeqCst);
        let place = Place(self.threads.clone());
        let (take, work) = (self.take.clone(), self.work.clone());
        let (first, hand) = flume::bounded(1);
        let spawned = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(STACK)
            .spawn(move || run(place, &hand, &take, work.as_ref()));
        match spawned {
            Ok(_) => first.send(item).map_err(flume::SendError::into_inner),
            Err(_) => Err(item),
        }
    }
}

/// How long a connection waits for a thread when all are busy.
const SHORT: Duration = Duration::from_millis(2);

/// Counts a thread for as long as it lives.
struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn run<T>(_place: Place, first: &Receiver<T>, take: &Receiver<T>, work: &dyn Fn(T)) {
    let Ok(item) = first.recv() else { return };
    work(item);
    loop {
        match take.recv_timeout(IDLE) {
            Ok(item) => work(item),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        }
    }
}
