//! Synchronizes the blocked requests with their records in the store.
//!
//! The host that reads the store on behalf of the others also reads these records, and writes those
//! that are missing.

use super::calls::{CallFault, Purpose, STORE_TIMEOUT};
use super::{EntryHost, log_event};
use roseshore_core::gateway::Fingerprint;
use roseshore_core::gateway::fatal::{FatalRecord, RecordDiff};
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_ports::entry::{CallReply, KeyedRecord as Record, StoreFault};
use roseshore_wire::frame::{self, MAX_DATAGRAM};

/// Interval between reads. All hosts have to know of a blocked request within three seconds, of
/// which this takes two. It adds half a call per second to the two per second that the intervals of
/// the other streams amount to.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Progress of reading the records, which come in pages.
#[derive(Debug, Default)]
pub(super) struct BlockedRecords {
    due: Option<Instant>,
    /// Whether a call is in flight.
    in_flight: bool,
    /// The last key of the previous page.
    last_key: Option<String>,
    /// The blocked requests that have a record in the store.
    recorded: Vec<Fingerprint>,
}

impl EntryHost {
    /// Starts to read the records when that is due, if this host reads the store for the others.
    pub(super) fn sync_blocked(&mut self) {
        let now = self.now;
        let early = self.blocked_records.due.is_some_and(|due| now < due);
        if self.blocked_records.in_flight
            || early
            || self.stopping_since.is_some()
            || self.store_sync.outage.is_down()
        {
            return;
        }
        if self.snapshot.is_none() || self.peers.read_rank(now) > 0 {
            return;
        }
        self.blocked_records.due = Some(now + READ_INTERVAL);
        self.blocked_records.recorded.clear();
        self.blocked_records.last_key = None;
        self.read_blocked();
    }

    /// Makes a read due, as the set of blocked requests has changed.
    pub(super) fn blocked_changed(&mut self) {
        self.blocked_records.due = None;
    }

    /// Reads the next page of records.
    fn read_blocked(&mut self) {
        self.blocked_records.in_flight = true;
        let request = self.platform.read_blocked(self.blocked_records.last_key.as_deref());
        self.call(Purpose::ReadBlocked, self.settings.store_addr, &request, STORE_TIMEOUT);
    }

    /// Handles the reply to a read of a page of records.
    pub(super) fn blocked_page_received(&mut self, reply: Result<CallReply, CallFault>) {
        let Some(reply) = self.blocked_reply(reply) else { return };
        let page = match self.platform.latest_reply(&reply) {
            Ok(page) => page,
            Err(fault) => return self.blocked_refused(&fault),
        };
        for Record { key, value } in page.entries {
            self.apply_blocked_record(&key, &value.unwrap_or_default());
        }
        self.blocked_records.last_key = page.next_key;
        if self.blocked_records.last_key.is_some() {
            return self.read_blocked();
        }
        self.write_blocked();
    }

    /// Applies a record of a blocked request.
    fn apply_blocked_record(&mut self, key: &str, value: &[u8]) {
        let Ok(fingerprint) = key.parse::<Fingerprint>() else {
            return log_event!(
                self,
                BlockedFailed,
                "key={key:?} why=\"the key is not a fingerprint\""
            );
        };
        match frame::decode::<FatalRecord>(value) {
            Ok(record) => {
                self.blocked_records.recorded.push(fingerprint);
                let report = record.aged(self.wall_ms());
                self.apply_fatal_report(&report, "record");
            }
            // It may have been written by another version, which still needs it.
            Err(err) => log_event!(self, BlockedFailed, "key={key} why={:?}", err.to_string()),
        }
    }

    /// Writes missing records and deletes those of requests that are no longer blocked.
    fn write_blocked(&mut self) {
        let wall = self.wall_ms();
        let RecordDiff { missing, outdated } =
            self.fatal.record_diff(&self.blocked_records.recorded, wall, self.now);
        if missing.is_empty() && outdated.is_empty() {
            return;
        }
        let dropped = outdated.iter().map(|f| Record { key: f.to_string(), value: None });
        let mut records: Vec<Record> = dropped.collect();
        for record in &missing {
            let key = record.note.fingerprint.to_string();
            match frame::encode(record, MAX_DATAGRAM) {
                Ok(value) => records.push(Record { key, value: Some(value) }),
                Err(err) => log_event!(self, BlockedFailed, "key={key} why={:?}", err.to_string()),
            }
        }
        log_event!(self, BlockedWritten, "written={} dropped={}", missing.len(), outdated.len());
        self.blocked_records.in_flight = true;
        let request = self.platform.write_blocked(&records);
        self.call(Purpose::WriteBlocked, self.settings.store_addr, &request, STORE_TIMEOUT);
    }

    /// Handles the reply to a write. If it failed, the next read finds the records missing and
    /// writes them again.
    pub(super) fn blocked_write_done(&mut self, reply: Result<CallReply, CallFault>) {
        let Some(reply) = self.blocked_reply(reply) else { return };
        if let Err(fault) = self.platform.write_reply(&reply) {
            self.blocked_refused(&fault);
        }
    }

    /// Returns the reply of a call; logs a fault and schedules the next read.
    fn blocked_reply(&mut self, reply: Result<CallReply, CallFault>) -> Option<CallReply> {
        self.blocked_records.in_flight = false;
        metrics::counter!("roseshore_store_calls_total").increment(1);
        match reply {
            Ok(reply) => Some(reply),
            Err(fault) => {
                self.blocked_records.due = Some(self.now + READ_INTERVAL);
                log_event!(self, BlockedFailed, "why=\"{fault:?}\"");
                None
            }
        }
    }

    fn blocked_refused(&mut self, fault: &StoreFault) {
        self.blocked_records.due = Some(self.now + READ_INTERVAL);
        log_event!(self, BlockedFailed, "why={:?}", fault.to_string());
    }

    /// Wall-clock time in Unix milliseconds.
    fn wall_ms(&self) -> u64 {
        wall::millis(self.clock.wall())
    }
}
