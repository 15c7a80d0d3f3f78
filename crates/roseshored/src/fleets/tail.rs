//! The newest records, kept for peers that are a little behind.

use roseshore_core::prelude::*;
use roseshore_wire::platform::Record;
use std::collections::BTreeMap;

const MAX_RECORDS: usize = 1024;
const MAX_BYTES: usize = 4 << 20;

/// Records by offset, bounded in number and bytes; the oldest are dropped first.
#[derive(Default)]
pub(super) struct RecordTail {
    records: BTreeMap<Offset, Record>,
    bytes: usize,
}

impl RecordTail {
    /// Keeps one record.
    pub(super) fn take(&mut self, record: &Record) {
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

    /// The records from an offset on, without holes and before `end`.
    pub(super) fn run(&self, from: Offset, end: Offset) -> Vec<&Record> {
        let run = self.records.range(from..end.max(from)).zip(from..);
        run.take_while(|((offset, _), due)| **offset == *due).map(|((_, it), _)| it).collect()
    }
}
