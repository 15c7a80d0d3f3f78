//! Reads a stream of the log on to its end.

use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, Log};
use roseshore_wire::platform::Record;

/// The most records read at once.
const RECORDS: usize = 512;

/// What a reading met.
pub(crate) enum Batch<'a> {
    /// Records, in order and from where the reader stands.
    Records(&'a [Record]),
    /// What comes before this offset is no longer kept.
    Trimmed(Offset),
}

/// Reads from an offset to the end as it is now; `take` returns where the reader stands then.
///
/// # Errors
/// When the log does not answer, and those of `take`.
pub(crate) fn read_to_end(
    log: &dyn Log,
    stream: &str,
    mut from: Offset,
    mut take: impl FnMut(Batch<'_>) -> CallResult<Offset>,
) -> CallResult<()> {
    loop {
        match log.read(stream, from, RECORDS, Duration::ZERO) {
            Ok(read) => {
                from = take(Batch::Records(&read.records))?;
                if read.records.is_empty() || from >= read.end {
                    return Ok(());
                }
            }
            Err(CallError::Trimmed(oldest, _)) => from = take(Batch::Trimmed(oldest))?,
            Err(err) => return Err(err),
        }
    }
}
