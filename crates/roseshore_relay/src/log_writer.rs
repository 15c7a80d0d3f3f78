//! Writes structured log lines to standard output without blocking.
//!
//! A line is `milliseconds-since-start EVENT key=value ...`. Lines are buffered and written only
//! while the pipe is writable. Lines beyond the rate limit, or for which the buffer has no room,
//! are dropped and counted; the next line is preceded by an event with their number.

use roseshore_core::event::{Event, Level};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::fmt::{Arguments, Write};
use std::time::{Duration, Instant};

/// Bytes that may be buffered; lines are dropped beyond this.
const MAX_BUFFER: usize = 128 << 10;
/// Bytes per write: a pipe that polls as writable accepts this many without blocking.
const WRITE_SIZE: usize = 4096;
/// Sustained lines per second: five for each request that a host is sized for.
const LINES_PER_SECOND: f64 = 250.0;
/// Lines that may be logged at once after a quiet period.
const BURST_LINES: f64 = 500.0;

/// Buffers log lines and applies a token-bucket rate limit.
#[derive(Debug)]
pub struct LogWriter {
    started: Instant,
    buffer: Vec<u8>,
    dropped: u64,
    credit: f64,
    refilled: Instant,
    quiet: bool,
}

impl LogWriter {
    /// A writer for a process that started at `now`. With `quiet` all lines are discarded.
    pub fn new(now: Instant, quiet: bool) -> LogWriter {
        let (buffer, dropped, credit) = (Vec::new(), 0, BURST_LINES);
        LogWriter { started: now, buffer, dropped, credit, refilled: now, quiet }
    }

    /// Buffers a line. Info and debug lines are rate limited; warnings and errors are dropped only
    /// while the buffer is full.
    pub fn log(&mut self, now: Instant, event: Event, text: Arguments<'_>) {
        if self.quiet {
            return;
        }
        let since = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.credit = (self.credit + since * LINES_PER_SECOND).min(BURST_LINES);
        let limited = matches!(event.level(), Level::Info | Level::Debug);
        if self.buffer.len() >= MAX_BUFFER || (self.credit < 1.0 && limited) {
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
        let at = now.saturating_duration_since(self.started).as_millis();
        let mut line = String::with_capacity(160);
        // Writing to a string cannot fail.
        let _ = writeln!(line, "{at} {event} {text}");
        self.buffer.extend_from_slice(line.as_bytes());
    }

    /// Writes buffered lines for as long as that does not block.
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
            let count = self.buffer.len().min(WRITE_SIZE);
            match rustix::io::write(out, &self.buffer[..count]) {
                Ok(written) => drop(self.buffer.drain(..written)),
                Err(_) => return,
            }
        }
    }

    /// Writes the remaining lines before the process exits; gives up after `timeout`.
    pub fn close(&mut self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while !self.buffer.is_empty() && Instant::now() < deadline {
            self.flush();
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}
