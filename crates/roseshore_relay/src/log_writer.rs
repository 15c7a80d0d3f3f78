//! Structured log lines on standard output, bounded and never waited for.
//!
//! A line is `milliseconds-since-start EVENT key=value ...`. Lines are kept in a small buffer and
//! written only while the pipe takes them at once. Lines beyond a rate, or for which the buffer has
//! no room, are counted and told of later.

use roseshore_core::event::{Event, Level};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::fmt::{Arguments, Write};
use std::time::{Duration, Instant};

/// Bytes that may wait for the pipe.
const BUFFER: usize = 128 << 10;
/// Bytes written at a time: what a pipe that is ready takes without waiting.
const WRITE: usize = 4096;
/// Lines a second; five for each request that a host is sized for.
const RATE: f64 = 250.0;
/// Lines that may come at once.
const BURST: f64 = 500.0;

/// The lines that wait to be written.
#[derive(Debug)]
pub struct Journal {
    begun: Instant,
    buffer: Vec<u8>,
    dropped: u64,
    credit: f64,
    refilled: Instant,
    quiet: bool,
}

impl Journal {
    /// An empty journal of a process that began at `now`; a quiet one keeps nothing.
    pub fn new(now: Instant, quiet: bool) -> Journal {
        let (buffer, dropped, credit) = (Vec::new(), 0, BURST);
        Journal { begun: now, buffer, dropped, credit, refilled: now, quiet }
    }

    /// Adds a line.
    pub fn line(&mut self, now: Instant, event: Event, text: Arguments<'_>) {
        if self.quiet {
            return;
        }
        let since = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.credit = (self.credit + since * RATE).min(BURST);
        let small = matches!(event.level(), Level::Info | Level::Debug);
        if self.buffer.len() >= BUFFER || (self.credit < 1.0 && small) {
            self.dropped += 1;
            return;
        }
        self.credit -= 1.0;
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            self.write(now, Event::LinesDropped, format_args!("lines={dropped}"));
        }
        self.write(now, event, text);
    }

    fn write(&mut self, now: Instant, event: Event, text: Arguments<'_>) {
        let at = now.saturating_duration_since(self.begun).as_millis();
        let mut line = String::with_capacity(160);
        // Writing to a string cannot fail.
        let _ = writeln!(line, "{at} {event} {text}");
        self.buffer.extend_from_slice(line.as_bytes());
    }

    /// Writes what the pipe takes without waiting.
    pub fn flush(&mut self) {
        while !self.buffer.is_empty() {
            let out = rustix::stdio::stdout();
            let mut ready = [PollFd::new(&out, PollFlags::OUT)];
            let now = Timespec { tv_sec: 0, tv_nsec: 0 };
            let writable = poll(&mut ready, Some(&now)).is_ok_and(|n| n > 0)
                && ready[0].revents().contains(PollFlags::OUT);
            if !writable {
                return;
            }
            let count = self.buffer.len().min(WRITE);
            match rustix::io::write(out, &self.buffer[..count]) {
                Ok(written) => drop(self.buffer.drain(..written)),
                Err(_) => return,
            }
        }
    }

    /// Writes what is left, for the end of the process; gives up after `most`.
    pub fn close(&mut self, most: Duration) {
        let until = Instant::now() + most;
        while !self.buffer.is_empty() && Instant::now() < until {
            self.flush();
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}
