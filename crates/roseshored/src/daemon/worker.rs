//! Background threads that do not belong to a request.

use crate::event;
use roseshore_core::prelude::*;
use std::io;
use std::thread::{self, JoinHandle};

/// A background thread that ends when its stop channel is closed.
pub(super) struct Worker {
    name: &'static str,
    stop_tx: flume::Sender<()>,
    thread: JoinHandle<()>,
}

impl Worker {
    pub(super) fn start(
        name: &'static str,
        run: impl FnOnce(&flume::Receiver<()>) + Send + 'static,
    ) -> io::Result<Worker> {
        let (stop_tx, stop) = flume::bounded(0);
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || run(&stop))?;
        Ok(Worker { name, stop_tx, thread })
    }

    pub(super) fn stop(self) {
        drop(self.stop_tx);
        if self.thread.join().is_err() {
            event!(Event::ThreadLost, "thread={}", self.name);
        }
    }
}
