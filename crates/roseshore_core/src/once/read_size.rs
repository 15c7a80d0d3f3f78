//! How many records a daemon asks the log for at once.
//!
//! Records hold whole answers, so a read of many of them takes as long as megabytes need over the
//! link and in the log. A read that is too large for its time limit fails each time it is repeated,
//! and a daemon that depends on it never catches up. So reads begin small, grow while they are
//! fast, and shrink when they are slow or fail.

use crate::prelude::*;

/// Maximum number of records in one read; about 11 MB with the longest answers.
const MAX_RECORDS: usize = 128;
/// Number of records in the first read.
const FIRST_RECORDS: usize = 16;
/// Time within which a read is fast.
const FAST: Duration = Duration::from_millis(125);
/// Time beyond which a read is slow. Two such reads end before failing reads count as a fault of the
/// log.
const SLOW: Duration = Duration::from_millis(250);

/// The number of records in the next read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSize(usize);

impl Default for ReadSize {
    fn default() -> ReadSize {
        ReadSize(FIRST_RECORDS)
    }
}

impl ReadSize {
    /// The number of records to ask for.
    pub fn records(self) -> usize {
        self.0
    }

    /// Records how long a read took, `None` if it failed.
    pub fn record(&mut self, took: Option<Duration>) {
        self.0 = match took {
            Some(took) if took <= FAST => (self.0 * 2).min(MAX_RECORDS),
            Some(took) if took <= SLOW => self.0,
            _ => (self.0 / 2).max(1),
        };
    }
}
