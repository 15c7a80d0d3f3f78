//! Which answers a stage works on, and what it must not work on any more.
//!
//! An epoch is opened once. A newer epoch ends the older ones, and a cancel bars its epoch and all
//! before it. Both shut the sockets that the work waits on, so that it ends at once.

use parking_lot::{Condvar, Mutex};
use roseshore_core::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::net::{Shutdown, TcpStream};

/// Ended answers whose epochs are remembered.
const KEEP: usize = 4096;

/// The answers of one engine.
#[derive(Default)]
pub(super) struct Answers {
    inner: Mutex<Inner>,
    left: Condvar,
}

#[derive(Default)]
struct Inner {
    known: HashMap<RequestId, Known>,
    ended: VecDeque<RequestId>,
    running: HashMap<u64, Running>,
    tickets: u64,
}

#[derive(Default)]
struct Known {
    newest: Option<Epoch>,
    barred: Option<Epoch>,
}

struct Running {
    answer: RequestId,
    epoch: Epoch,
    sockets: Vec<TcpStream>,
}

impl Answers {
    /// Opens an epoch of an answer.
    ///
    /// # Errors
    /// When this epoch or a newer one was opened before, or it was cancelled.
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

    /// Adds a socket that is shut when the work is to end.
    pub(super) fn hold(&self, ticket: u64, socket: &TcpStream) {
        let mut inner = self.inner.lock();
        let Inner { known, running, .. } = &mut *inner;
        let (Some(running), Ok(socket)) = (running.get_mut(&ticket), socket.try_clone()) else {
            return;
        };
        // A cancel or a newer epoch may have come since the work was entered.
        if known.get(&running.answer).is_some_and(|k| k.ends(running.epoch).is_some()) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        running.sockets.push(socket);
    }

    /// Whether the work is still wanted.
    ///
    /// # Errors
    /// Why it is not.
    pub(super) fn wanted(&self, answer: &RequestId, epoch: Epoch) -> Result<(), String> {
        let inner = self.inner.lock();
        let end = inner.known.get(answer).and_then(|known| known.ends(epoch));
        end.map_or(Ok(()), |why| Err(why.to_owned()))
    }

    /// The newest epoch opened or barred.
    pub(super) fn newest(&self, answer: &RequestId) -> Option<Epoch> {
        let inner = self.inner.lock();
        let known = inner.known.get(answer)?;
        known.newest.max(known.barred)
    }

    /// Ends a piece of work.
    pub(super) fn leave(&self, ticket: u64) {
        let mut inner = self.inner.lock();
        if let Some(running) = inner.running.remove(&ticket) {
            inner.ended.push_back(running.answer);
        }
        inner.forget();
        self.left.notify_all();
    }

    /// Bars an epoch and waits until nothing of it runs any more, or until the time is up.
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

    /// Pieces of work under way.
    pub(super) fn running(&self) -> u32 {
        self.inner.lock().running.len() as u32
    }

    /// Shuts every socket.
    pub(super) fn shut_all(&self) {
        self.inner.lock().shut(|_| true);
    }
}

impl Known {
    /// Why work of this epoch is not wanted any more.
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
