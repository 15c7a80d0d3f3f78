//! Keeps the store's records of blocked requests.
//!
//! The host that reads the store for the others reads these, too, and writes what they lack.

use super::calls::{CallFault, Purpose, STORE_TIME};
use super::{EntryHost, note};
use roseshore_core::gateway::Fingerprint;
use roseshore_core::gateway::fatal::{FatalRecord, RecordDiff};
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_ports::entry::{CallReply, Entry as Record, StoreFault};
use roseshore_wire::frame::{self, MAX_DATAGRAM};

/// Between reads. Two of three seconds in which all hosts have to know of a blocked request; half a
/// call a second stands beside two for the other streams, by the times between their reads.
const EVERY: Duration = Duration::from_secs(2);

/// The records as far as they were read in this round.
#[derive(Debug, Default)]
pub(super) struct Blocked {
    due: Option<Instant>,
    busy: bool,
    /// The last key of the page before.
    since: Option<String>,
    recorded: Vec<Fingerprint>,
}

impl EntryHost {
    /// Reads the records when that is due, if this host reads for the others.
    pub(super) fn follow_blocked(&mut self) {
        let now = self.now;
        let early = self.blocked.due.is_some_and(|due| now < due);
        if self.blocked.busy || early || self.stopping.is_some() || self.following.outage.is_down()
        {
            return;
        }
        if self.snapshot.is_none() || self.peers.read_rank(now) > 0 {
            return;
        }
        self.blocked.due = Some(now + EVERY);
        self.blocked.recorded.clear();
        self.blocked.since = None;
        self.ask_blocked();
    }

    /// What is blocked has changed: the records are looked at soon.
    pub(super) fn blocked_changed(&mut self) {
        self.blocked.due = None;
    }

    fn ask_blocked(&mut self) {
        self.blocked.busy = true;
        let request = self.platform.blocked(self.blocked.since.as_deref());
        self.call(Purpose::Blocked, self.settings.store_addr, &request, STORE_TIME);
    }

    /// A page of the records came, or did not.
    pub(super) fn blocked_came(&mut self, reply: Result<CallReply, CallFault>) {
        let Some(reply) = self.blocked_reply(reply) else { return };
        let page = match self.platform.newest_reply(&reply) {
            Ok(page) => page,
            Err(fault) => return self.blocked_refused(&fault),
        };
        for Record { key, value } in page.entries {
            self.take_blocked(&key, &value.unwrap_or_default());
        }
        self.blocked.since = page.more;
        if self.blocked.since.is_some() {
            return self.ask_blocked();
        }
        self.keep_blocked();
    }

    fn take_blocked(&mut self, key: &str, value: &[u8]) {
        let Ok(fingerprint) = key.parse::<Fingerprint>() else {
            return note!(self, BlockedFailed, "key={key:?} why=\"no fingerprint\"");
        };
        match frame::decode::<FatalRecord>(value) {
            Ok(record) => {
                self.blocked.recorded.push(fingerprint);
                let word = record.aged(self.wall_ms());
                self.hear_fatal(&word, "record");
            }
            // It may be another version's, which still needs it.
            Err(err) => note!(self, BlockedFailed, "key={key} why={:?}", err.to_string()),
        }
    }

    /// Writes records that are missing, and drops those of requests that are blocked no longer.
    fn keep_blocked(&mut self) {
        let wall = self.wall_ms();
        let RecordDiff { missing, outdated } =
            self.fatal.record_diff(&self.blocked.recorded, wall, self.now);
        if missing.is_empty() && outdated.is_empty() {
            return;
        }
        let dropped = outdated.iter().map(|f| Record { key: f.to_string(), value: None });
        let mut records: Vec<Record> = dropped.collect();
        for record in &missing {
            let key = record.note.fingerprint.to_string();
            match frame::encode(record, MAX_DATAGRAM) {
                Ok(value) => records.push(Record { key, value: Some(value) }),
                Err(err) => note!(self, BlockedFailed, "key={key} why={:?}", err.to_string()),
            }
        }
        note!(self, BlockedWritten, "written={} dropped={}", missing.len(), outdated.len());
        self.blocked.busy = true;
        let request = self.platform.put_blocked(&records);
        self.call(Purpose::PutBlocked, self.settings.store_addr, &request, STORE_TIME);
    }

    /// Records were written, or may not have been; the next round looks again.
    pub(super) fn blocked_written(&mut self, reply: Result<CallReply, CallFault>) {
        let Some(reply) = self.blocked_reply(reply) else { return };
        if let Err(fault) = self.platform.put_reply(&reply) {
            self.blocked_refused(&fault);
        }
    }

    fn blocked_reply(&mut self, reply: Result<CallReply, CallFault>) -> Option<CallReply> {
        self.blocked.busy = false;
        metrics::counter!("roseshore_store_calls_total").increment(1);
        match reply {
            Ok(reply) => Some(reply),
            Err(fault) => {
                self.blocked.due = Some(self.now + EVERY);
                note!(self, BlockedFailed, "why=\"{fault:?}\"");
                None
            }
        }
    }

    fn blocked_refused(&mut self, fault: &StoreFault) {
        self.blocked.due = Some(self.now + EVERY);
        note!(self, BlockedFailed, "why={:?}", fault.to_string());
    }

    /// The time of day, Unix milliseconds.
    fn wall_ms(&self) -> u64 {
        wall::millis(self.clock.wall())
    }
}
