//! The newest records, kept for peers that are slightly behind.

use roseshore_core::prelude::*;
use roseshore_wire::platform::Record;
use std::collections::BTreeMap;

/// Most records kept.
const MAX_RECORDS: usize = 1024;
/// Most bytes of record data kept.
const MAX_BYTES: usize = 4 << 20;

/// Records by offset, bounded in number and bytes; the oldest are dropped first.
#[derive(Default)]
pub(super) struct RecordTail {
    records: BTreeMap<Offset, Record>,
    bytes: usize,
}

impl RecordTail {
    /// Adds one record, unless one with its offset is present.
    pub(super) fn add(&mut self, record: &Record) {
        if self.records.contains_key(&record.offset) {
            return;
        }
        self.bytes += record.data.len();
        self.records.insert(record.offset, record.clone());
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some((_, old)) = self.records.pop_first() else { return };
            self.bytes -= old.data.len();
        }
    }

    /// The records from `from` up to the first gap or `end`.
    pub(super) fn contiguous(&self, from: Offset, end: Offset) -> Vec<&Record> {
        let records = self.records.range(from..end.max(from)).zip(from..);
        records
            .take_while(|((offset, _), expected)| **offset == *expected)
            .map(|((_, it), _)| it)
            .collect()
    }
}
