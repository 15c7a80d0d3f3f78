//! Synchronizes what all hosts have to keep with records of their own in the store: the blocked
//! requests, and the number of hosts.
//!
//! The host that reads the store on behalf of the others also reads these records, and writes those
//! that are missing. The first host of each data centre reads the number of hosts, in case it does
//! not hear the others.

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
/// Interval between reads by the first host of a data centre that does not read for the others.
const COUNT_INTERVAL: Duration = Duration::from_mins(10);
/// Key of the number of hosts, which is written in decimal so that all versions can read it. Other
/// keys are fingerprints of blocked requests.
const HOSTS_KEY: &str = "hosts";

/// Progress of reading the records, which come in pages.
#[derive(Debug, Default)]
pub(super) struct OwnRecords {
    /// When the records were last read, or could not be read.
    read_at: Option<Instant>,
    /// When the number of hosts was last read.
    counted_at: Option<Instant>,
    /// The number of hosts that was read; 0 for none.
    hosts: u16,
    /// Whether a call is in flight.
    in_flight: bool,
    /// The last key of the previous page.
    last_key: Option<String>,
    /// The blocked requests that have a record in the store.
    recorded: Vec<Fingerprint>,
}

impl EntryHost {
    /// Starts to read the records when that is due, if this host reads the store for the others or
    /// is the first of its data centre.
    pub(super) fn sync_own_records(&mut self) {
        let now = self.now;
        let within = |at: Option<Instant>, interval: Duration| {
            at.is_some_and(|at| now.saturating_duration_since(at) < interval)
        };
        if self.own_records.in_flight
            || within(self.own_records.read_at, READ_INTERVAL)
            || self.stopping_since.is_some()
            || self.store_sync.outage.is_down()
        {
            return;
        }
        let counted = within(self.own_records.counted_at, COUNT_INTERVAL);
        let counts = !counted && self.peers.rank_in_centre(now) == 0;
        if self.snapshot.is_none() || !(counts || self.peers.read_rank(now) == 0) {
            return;
        }
        self.own_records.read_at = Some(now);
        self.own_records.recorded.clear();
        self.own_records.hosts = 0;
        self.own_records.last_key = None;
        self.read_own();
    }

    /// Makes a read due, as the set of blocked requests has changed.
    pub(super) fn own_records_changed(&mut self) {
        self.own_records.read_at = None;
    }

    /// Reads the next page of records.
    fn read_own(&mut self) {
        self.own_records.in_flight = true;
        let request = self.platform.read_own(self.own_records.last_key.as_deref());
        self.call(Purpose::ReadOwn, self.settings.store_addr, &request, STORE_TIMEOUT);
    }

    /// Handles the reply to a read of a page of records.
    pub(super) fn own_page_received(&mut self, reply: Result<CallReply, CallFault>) {
        let Some(reply) = self.own_reply(reply) else { return };
        let page = match self.platform.latest_reply(&reply) {
            Ok(page) => page,
            Err(fault) => return self.own_call_refused(&fault),
        };
        for Record { key, value } in page.entries {
            self.apply_own_record(&key, &value.unwrap_or_default());
        }
        self.own_records.last_key = page.next_key;
        if self.own_records.last_key.is_some() {
            return self.read_own();
        }
        self.own_records.counted_at = Some(self.now);
        self.peers.set_recorded_hosts(self.own_records.hosts);
        if self.peers.read_rank(self.now) == 0 {
            self.write_own();
        }
    }

    fn apply_own_record(&mut self, key: &str, value: &[u8]) {
        if key != HOSTS_KEY {
            return self.apply_blocked_record(key, value);
        }
        let hosts = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
        if let Some(hosts) = hosts {
            self.own_records.hosts = hosts;
        } else {
            log_event!(self, OwnRecordsFailed, "key={key} why=\"the value is no number\"");
        }
    }

    /// Applies a record of a blocked request.
    fn apply_blocked_record(&mut self, key: &str, value: &[u8]) {
        let Ok(fingerprint) = key.parse::<Fingerprint>() else {
            return log_event!(
                self,
                OwnRecordsFailed,
                "key={key:?} why=\"the key is not a fingerprint\""
            );
        };
        match frame::decode::<FatalRecord>(value) {
            Ok(record) => {
                self.own_records.recorded.push(fingerprint);
                let report = record.aged(self.wall_ms());
                self.apply_fatal_report(&report, "record");
            }
            // It may have been written by another version, which still needs it.
            Err(err) => log_event!(self, OwnRecordsFailed, "key={key} why={:?}", err.to_string()),
        }
    }

    /// Writes missing records, and deletes those of requests that are no longer blocked.
    fn write_own(&mut self) {
        let wall = self.wall_ms();
        let RecordDiff { missing, outdated } =
            self.fatal.record_diff(&self.own_records.recorded, wall, self.now);
        let hosts = self.peers.hosts_to_record(self.now);
        let mut records: Vec<Record> =
            outdated.iter().map(|f| Record { key: f.to_string(), value: None }).collect();
        for record in &missing {
            let key = record.note.fingerprint.to_string();
            match frame::encode(record, MAX_DATAGRAM) {
                Ok(value) => records.push(Record { key, value: Some(value) }),
                Err(err) => {
                    log_event!(self, OwnRecordsFailed, "key={key} why={:?}", err.to_string());
                }
            }
        }
        let number = hosts.map(|hosts| hosts.to_string().into_bytes());
        records
            .extend(number.map(|value| Record { key: HOSTS_KEY.to_owned(), value: Some(value) }));
        if records.is_empty() {
            return;
        }
        log_event!(
            self,
            OwnRecordsWritten,
            "written={} dropped={} hosts={} recorded_hosts={}",
            missing.len(),
            outdated.len(),
            hosts.map_or("-".to_owned(), |hosts| hosts.to_string()),
            self.own_records.hosts,
        );
        self.own_records.in_flight = true;
        let request = self.platform.write_own(&records);
        self.call(Purpose::WriteOwn, self.settings.store_addr, &request, STORE_TIMEOUT);
    }

    /// Handles the reply to a write. If it failed, the next read finds the records missing and
    /// writes them again.
    pub(super) fn own_write_done(&mut self, reply: Result<CallReply, CallFault>) {
        let Some(reply) = self.own_reply(reply) else { return };
        if let Err(fault) = self.platform.write_reply(&reply) {
            self.own_call_refused(&fault);
        }
    }

    /// Returns the reply of a call; logs a fault and schedules the next read.
    fn own_reply(&mut self, reply: Result<CallReply, CallFault>) -> Option<CallReply> {
        self.own_records.in_flight = false;
        metrics::counter!("roseshore_store_calls_total").increment(1);
        match reply {
            Ok(reply) => Some(reply),
            Err(fault) => {
                self.own_records.read_at = Some(self.now);
                log_event!(self, OwnRecordsFailed, "why=\"{fault:?}\"");
                None
            }
        }
    }

    fn own_call_refused(&mut self, fault: &StoreFault) {
        self.own_records.read_at = Some(self.now);
        log_event!(self, OwnRecordsFailed, "why={:?}", fault.to_string());
    }

    /// Wall-clock time in Unix milliseconds.
    fn wall_ms(&self) -> u64 {
        wall::millis(self.clock.wall())
    }
}
