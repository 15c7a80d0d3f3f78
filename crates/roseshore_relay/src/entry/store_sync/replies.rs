//! What a reply of the store, or its absence, proves before its records are looked at: that the store is there,
//! whether it is the same as before, and whether its configuration may be taken for the newest.

use super::super::calls::CallFault;
use super::super::probes::millis;
use super::super::{EntryHost, note};
use rand::RngExt;
use roseshore_core::gateway::outage::Recovery;
use roseshore_core::gateway::position::ReplyEra;
use roseshore_core::gateway::store_reads;
use roseshore_core::prelude::*;
use roseshore_ports::entry::{CallReply, StoreFault, Stream};

impl EntryHost {
    pub(super) fn store_replied(
        &mut self,
        stream: Stream,
        asked: Option<Era>,
        reply: Result<CallReply, CallFault>,
    ) -> Option<CallReply> {
        self.following.stream(stream).busy = false;
        metrics::counter!("roseshore_store_calls_total").increment(1);
        match reply {
            Ok(reply) => self.of_this_era(stream, asked, &reply).then_some(reply),
            Err(fault) => {
                self.store_failed(stream, &format!("{fault:?}"));
                None
            }
        }
    }

    /// Whether a reply is of the store's era, and so was its question where that names an offset or goes on after
    /// a page. Another reply says nothing of what was asked for, whatever its status, and the stream is read anew.
    fn of_this_era(&mut self, stream: Stream, asked: Option<Era>, reply: &CallReply) -> bool {
        let known = self.following.era;
        let told = self.platform.era(reply);
        match ReplyEra::of(known, asked, told, self.following.untouched()) {
            ReplyEra::Known => true,
            ReplyEra::First(era) => {
                self.following.enter_era(era);
                true
            }
            ReplyEra::Later(era) => {
                self.store_went_back(stream, era);
                self.follow_one(stream);
                false
            }
            ReplyEra::Stale => {
                let text = format!("stream={stream:?} era={told:?} asked={asked:?} known={known}");
                note!(self, ReplyDropped, "{text}");
                let place = self.peers.read_rank(self.now);
                self.following.stream(stream).due = Some(self.now + store_reads::backoff(0, place));
                false
            }
        }
    }

    fn store_went_back(&mut self, stream: Stream, era: Era) {
        let (before, version) = (self.following.era, self.config_version());
        let list = self.following.list.unwrap_or_default();
        let text = format!(
            "stream={stream:?} era={era} before={before} config_version={version} list_next={list}"
        );
        note!(self, StoreWentBack, "{text}");
        self.following.enter_era(era);
        self.following.outage.record_rollback(self.now);
        self.blocked_changed();
    }

    /// Whether the store, whose newest configuration has this version, holds an older one than is in force: the
    /// operator's last word is lost there, and the store proves nothing until it has come again.
    pub(super) fn judge_behind(&mut self, newest: Option<u64>) {
        let version = self.config_version();
        let behind = newest.unwrap_or(0) < version;
        if behind && !self.following.config_behind {
            let stored = newest.unwrap_or(0);
            note!(self, ConfigSkipped, "kept_version={version} stored_version={stored} why=older");
        }
        self.following.config_behind = behind;
    }

    /// The configuration in force was the newest at this time, if the store holds it at all.
    pub(super) fn prove_config(&mut self, at: Instant) {
        if !self.following.config_behind {
            self.currency.renew(at);
        }
    }

    pub(super) fn store_refused(&mut self, stream: Stream, fault: &StoreFault) {
        self.store_failed(stream, &fault.to_string());
    }

    fn store_failed(&mut self, stream: Stream, why: &str) {
        let now = self.now;
        let spread = 0.75 + 0.5 * self.random.random::<f64>();
        let place = self.peers.read_rank(now);
        let follow = self.following.stream(stream);
        let wait = store_reads::backoff(follow.fails, place);
        follow.fails += 1;
        follow.due = Some(now + wait.mul_f64(spread));
        if self.following.outage.record_failure(now) {
            let age = millis(self.currency.age(now));
            note!(self, LogLost, "stream={stream:?} why={why:?} config_age_ms={age}");
        }
    }

    pub(super) fn store_served(&mut self, stream: Stream) {
        let now = self.now;
        for follow in [&mut self.following.config, &mut self.following.targets] {
            follow.fails = 0;
        }
        self.following.stream(stream).due = None;
        if let Some(Recovery { since, all_hosts }) = self.following.outage.record_success(now) {
            let out = now.saturating_duration_since(since).as_millis();
            self.following.targets.due = None;
            note!(self, LogBack, "stream={stream:?} out_ms={out} for_all={all_hosts}");
        }
    }
}
