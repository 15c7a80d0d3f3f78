//! Reads a stream of the log up to its current end.

use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallError, CallResult, Log};
use roseshore_wire::platform::Record;

/// Maximum number of records in one read.
const MAX_RECORDS: usize = 512;

/// The result of one read.
pub(crate) enum Batch<'a> {
    /// Records in order, starting at the requested offset.
    Records(&'a [Record]),
    /// Records before this offset have been trimmed.
    Trimmed(Offset),
}

/// Reads from an offset up to the current end; `take` handles each batch and returns the next offset.
///
/// # Errors
/// Fails when the log does not answer or `take` fails.
pub(crate) fn read_to_end(
    log: &dyn Log,
    stream: &str,
    mut from: Offset,
    mut take: impl FnMut(Batch<'_>) -> CallResult<Offset>,
) -> CallResult<()> {
    loop {
        match log.read(stream, from, MAX_RECORDS, Duration::ZERO) {
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
