//! Threads that are not bound to a request.

use crate::event;
use roseshore_core::prelude::*;
use std::io;
use std::thread::{self, JoinHandle};

/// A thread that ends when its channel is closed.
pub(super) struct Worker {
    name: &'static str,
    stop: flume::Sender<()>,
    thread: JoinHandle<()>,
}

impl Worker {
    pub(super) fn start(
        name: &'static str,
        run: impl FnOnce(&flume::Receiver<()>) + Send + 'static,
    ) -> io::Result<Worker> {
        let (stop, stopped) = flume::bounded(0);
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || run(&stopped))?;
        Ok(Worker { name, stop, thread })
    }

    pub(super) fn end(self) {
        drop(self.stop);
        if self.thread.join().is_err() {
            event!(Event::ThreadLost, "thread={}", self.name);
        }
    }
}
