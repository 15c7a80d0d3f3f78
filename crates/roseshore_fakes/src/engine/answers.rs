//! The answers that a stage works on, and the epochs that it must refuse.
//!
//! Each epoch can be opened once. A newer epoch ends the older ones, and a cancel bars its epoch
//! and all earlier ones. Both shut down the sockets that the work waits on, so that it ends
//! immediately.

use parking_lot::{Condvar, Mutex};
use roseshore_core::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::net::{Shutdown, TcpStream};

/// The number of ended answers whose epochs are remembered.
const KEEP: usize = 4096;

/// The answers of one engine.
#[derive(Default)]
pub(super) struct Answers {
    inner: Mutex<Inner>,
    left: Condvar,
}

#[derive(Default)]
struct Inner {
    known: HashMap<RequestId, EpochState>,
    ended: VecDeque<RequestId>,
    running: HashMap<u64, Running>,
    tickets: u64,
}

#[derive(Default)]
struct EpochState {
    newest: Option<Epoch>,
    barred: Option<Epoch>,
}

struct Running {
    answer: RequestId,
    epoch: Epoch,
    sockets: Vec<TcpStream>,
}

impl Answers {
    /// Opens an epoch of an answer and returns a ticket for the work.
    ///
    /// # Errors
    /// When this epoch or a newer one was opened before, or the epoch was cancelled.
    pub(super) fn enter(&self, answer: &RequestId, epoch: Epoch) -> Result<u64, String> {
        let mut inner = self.inner.lock();
        let known = inner.known.entry(answer.clone()).or_default();
        if known.newest.is_some_and(|newest| newest >= epoch) {
            return Err("the epoch is not newer than one that was opened before".to_owned());
        }
        if known.barred.is_some_and(|barred| barred >= epoch) {
            return Err("the epoch was cancelled".to_owned());
        }
        known.newest = Some(epoch);
        inner.shut(|r| r.answer == *answer);
        inner.tickets += 1;
        let ticket = inner.tickets;
        let running = Running { answer: answer.clone(), epoch, sockets: Vec::new() };
        inner.running.insert(ticket, running);
        Ok(ticket)
    }

    /// Registers a socket that is shut down when the work has to end.
    pub(super) fn add_socket(&self, ticket: u64, socket: &TcpStream) {
        let mut inner = self.inner.lock();
        let Inner { known, running, .. } = &mut *inner;
        let (Some(running), Ok(socket)) = (running.get_mut(&ticket), socket.try_clone()) else {
            return;
        };
        // A cancel or a newer epoch may have arrived since the work was entered.
        if known.get(&running.answer).is_some_and(|k| k.ends(running.epoch).is_some()) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        running.sockets.push(socket);
    }

    /// Checks that the work has not been cancelled or superseded.
    ///
    /// # Errors
    /// The reason why the work has to end.
    pub(super) fn wanted(&self, answer: &RequestId, epoch: Epoch) -> Result<(), String> {
        let inner = self.inner.lock();
        let end = inner.known.get(answer).and_then(|known| known.ends(epoch));
        end.map_or(Ok(()), |why| Err(why.to_owned()))
    }

    /// The newest epoch that was opened or barred.
    pub(super) fn newest(&self, answer: &RequestId) -> Option<Epoch> {
        let inner = self.inner.lock();
        let known = inner.known.get(answer)?;
        known.newest.max(known.barred)
    }

    /// Removes the work of a ticket.
    pub(super) fn leave(&self, ticket: u64) {
        let mut inner = self.inner.lock();
        if let Some(running) = inner.running.remove(&ticket) {
            inner.ended.push_back(running.answer);
        }
        inner.forget();
        self.left.notify_all();
    }

    /// Bars an epoch and waits until none of its work runs any more, or until the deadline.
    pub(super) fn cancel(&self, answer: &RequestId, epoch: Epoch, until: Instant) -> bool {
        let mut inner = self.inner.lock();
        let known = inner.known.entry(answer.clone()).or_default();
        known.barred = known.barred.max(Some(epoch));
        inner.ended.push_back(answer.clone());
        let hit = |r: &Running| r.answer == *answer && r.epoch <= epoch;
        inner.shut(hit);
        while inner.running.values().any(hit) {
            if self.left.wait_until(&mut inner, until).timed_out() {
                return false;
            }
        }
        true
    }

    /// The number of tickets in use.
    pub(super) fn running(&self) -> u32 {
        self.inner.lock().running.len() as u32
    }

    /// Shuts down all sockets.
    pub(super) fn shut_all(&self) {
        self.inner.lock().shut(|_| true);
    }
}

impl EpochState {
    /// The reason why work of this epoch has to end, or `None` if it may go on.
    fn ends(&self, epoch: Epoch) -> Option<&'static str> {
        if self.newest.is_some_and(|newest| newest > epoch) {
            return Some("a newer epoch was opened");
        }
        let barred = self.barred.is_some_and(|barred| barred >= epoch);
        barred.then_some("the epoch was cancelled")
    }
}

impl Inner {
    fn shut(&self, hit: impl Fn(&Running) -> bool) {
        let sockets = self.running.values().filter(|r| hit(r)).flat_map(|r| &r.sockets);
        for socket in sockets {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn forget(&mut self) {
        while self.ended.len() > KEEP {
            let Some(oldest) = self.ended.pop_front() else { return };
            let in_use = self.running.values().any(|r| r.answer == oldest);
            if !in_use && !self.ended.contains(&oldest) {
                self.known.remove(&oldest);
            }
        }
    }
}
