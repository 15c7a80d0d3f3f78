//! Evaluates replies of the store, and failed calls, before the records are read: whether the store
//! is available, whether it was restored from an older copy, and whether its configuration can be
//! the newest.

use super::super::calls::CallFault;
use super::super::probes::millis;
use super::super::{EntryHost, log_event};
use rand::RngExt;
use roseshore_core::gateway::outage::Recovery;
use roseshore_core::gateway::position::ReplyEra;
use roseshore_core::gateway::store_reads;
use roseshore_core::prelude::*;
use roseshore_ports::entry::{CallReply, StoreFault, Stream};

impl EntryHost {
    /// Returns the reply of a call if its records can be used, and records the outcome of the call.
    pub(super) fn store_replied(
        &mut self,
        stream: Stream,
        asked: Option<Era>,
        reply: Result<CallReply, CallFault>,
    ) -> Option<CallReply> {
        self.store_sync.stream(stream).in_flight = false;
        metrics::counter!("roseshore_store_calls_total").increment(1);
        match reply {
            Ok(reply) => self.is_current_era(stream, asked, &reply).then_some(reply),
            Err(fault) => {
                self.store_failed(stream, &format!("{fault:?}"));
                None
            }
        }
    }

    /// Whether a reply belongs to the store's current era, and so does its request if that names an
    /// offset or continues after a page. Any other reply, whatever its status, is not
    /// used, and the stream is read again.
    fn is_current_era(&mut self, stream: Stream, asked: Option<Era>, reply: &CallReply) -> bool {
        let known = self.store_sync.era;
        let reported = self.platform.era(reply);
        match ReplyEra::of(known, asked, reported, self.store_sync.is_untouched()) {
            ReplyEra::Known => true,
            ReplyEra::First(era) => {
                self.store_sync.enter_era(era);
                true
            }
            ReplyEra::Later(era) => {
                self.store_restored(stream, era);
                self.sync_stream(stream);
                false
            }
            ReplyEra::Stale => {
                let text =
                    format!("stream={stream:?} era={reported:?} asked={asked:?} known={known}");
                log_event!(self, ReplyDropped, "{text}");
                let rank = self.peers.read_rank(self.now);
                self.store_sync.stream(stream).due = Some(self.now + store_reads::backoff(0, rank));
                false
            }
        }
    }

    /// Handles a new era of the store: it was restored from an older copy, and is read from the
    /// start.
    fn store_restored(&mut self, stream: Stream, era: Era) {
        let (before, version) = (self.store_sync.era, self.config_version());
        let list = self.store_sync.list.unwrap_or_default();
        let text = format!(
            "stream={stream:?} era={era} before={before} config_version={version} list_next={list}"
        );
        log_event!(self, StoreWentBack, "{text}");
        self.store_sync.enter_era(era);
        self.store_sync.outage.record_rollback(self.now);
        self.own_records_changed();
    }

    /// Records whether the store, whose newest configuration has this version, holds an older one
    /// than is in force. The store has then lost the operator's last change, and a read proves
    /// nothing until the change is written again.
    pub(super) fn update_store_behind(&mut self, newest: Option<u64>) {
        let version = self.config_version();
        let behind = newest.unwrap_or(0) < version;
        if behind && !self.store_sync.store_behind {
            let stored = newest.unwrap_or(0);
            log_event!(
                self,
                ConfigSkipped,
                "kept_version={version} stored_version={stored} why=older"
            );
        }
        self.store_sync.store_behind = behind;
    }

    /// Records that the configuration in force was the newest at this time, unless the store holds
    /// an older one.
    pub(in crate::entry) fn confirm_config(&mut self, at: Instant) {
        if !self.store_sync.store_behind {
            self.config_lease.renew(at);
        }
    }

    /// Handles a reply that reports or shows a failure.
    pub(super) fn store_refused(&mut self, stream: Stream, fault: &StoreFault) {
        self.store_failed(stream, &fault.to_string());
    }

    /// Schedules the next call after a failed one, with a delay that grows with the failures in a
    /// row.
    fn store_failed(&mut self, stream: Stream, why: &str) {
        let now = self.now;
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        let rank = self.peers.read_rank(now);
        let progress = self.store_sync.stream(stream);
        let wait = store_reads::backoff(progress.failures, rank);
        progress.failures += 1;
        progress.due = Some(now + wait.mul_f64(jitter));
        if self.store_sync.outage.record_failure(now) {
            let age = millis(self.config_lease.age(now));
            log_event!(self, LogLost, "stream={stream:?} why={why:?} config_age_ms={age}");
        }
    }

    /// Records that the store answered a call, which ends an outage.
    pub(super) fn store_available(&mut self, stream: Stream) {
        let now = self.now;
        for progress in [&mut self.store_sync.config, &mut self.store_sync.targets] {
            progress.failures = 0;
        }
        self.store_sync.stream(stream).due = None;
        if let Some(Recovery { since, all_hosts }) = self.store_sync.outage.record_success(now) {
            let outage = now.saturating_duration_since(since).as_millis();
            self.store_sync.targets.due = None;
            log_event!(self, LogBack, "stream={stream:?} out_ms={outage} for_all={all_hosts}");
        }
    }
}
