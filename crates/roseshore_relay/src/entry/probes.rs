//! Health probes of the load balancer, scrapes of metrics, and readiness.

use super::{EntryHost, Role, log_event};
use crate::http::{self, BodyFraming};
use crate::slab::Key;
use roseshore_core::prelude::*;

/// Maximum bytes of a probe's head.
const MAX_HEAD: usize = 8 << 10;
/// Interval at which samples of histograms are added up.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a host that cannot confirm its configuration is no longer ready: callers with
/// keys are then better served by other hosts. It allows for one more read, with its time-out, than
/// usual.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(3);

impl EntryHost {
    /// Answers probes and requests for metrics.
    pub(super) fn handle_probe(&mut self, key: Key) {
        let Some(socket) = self.net.get(key) else {
            // It was closed after its output had been written.
            self.roles.remove(&key);
            return;
        };
        let ended = socket.ended.is_some();
        let head = match socket.input.edit(|input| http::parse_request(input, MAX_HEAD)) {
            Ok(Some(head)) => head,
            Ok(None) if !ended => return,
            _ => return self.close(key),
        };
        let metrics = matches!(self.roles.get(&key), Some(Role::Metrics));
        let (status, body) = match &self.metrics_handle {
            Some(handle) if metrics => (200, handle.render()),
            _ if self.ready => (200, String::new()),
            _ => (503, String::new()),
        };
        let mut out = Vec::with_capacity(128 + body.len());
        let keep = head.keep_alive && !metrics;
        http::write_response(
            &mut out,
            status,
            http::reason(status),
            &[],
            BodyFraming::Length(body.len()),
            !keep,
        );
        out.extend_from_slice(body.as_bytes());
        self.net.send(key, &out);
        if !keep {
            self.close_flushed(key);
        }
    }

    /// Adds up the samples of histograms, which the recorder keeps one by one until then.
    pub(super) fn drain_metrics(&mut self) {
        let due = self.now.saturating_duration_since(self.metrics_drained) >= METRICS_INTERVAL;
        if let Some(handle) = self.metrics_handle.as_ref().filter(|_| due) {
            handle.run_upkeep();
            self.metrics_drained = self.now;
        }
    }

    /// Updates which newer configurations other hosts have.
    pub(super) fn update_outdated(&mut self) {
        let newest = self.peers.newest_config(self.now);
        self.newer_configs.update(self.config_version(), newest, self.now);
    }

    /// Whether the configuration in force is known to be old: another host has had a newer one for
    /// longer than a read takes.
    pub(super) fn config_outdated(&self) -> bool {
        let limit = self.store_sync.policy.outdated_after();
        let since = self.newer_configs.outdated_since();
        since.is_some_and(|at| self.now.saturating_duration_since(at) >= limit)
    }

    /// Whether the configuration in force is confirmed to be the newest.
    pub(super) fn config_current(&self) -> bool {
        self.config_lease.is_valid(self.now) && !self.config_outdated()
    }

    /// Updates whether this host is ready for callers, and whether API keys are honoured.
    pub(super) fn update_readiness(&mut self) {
        let age = self.config_lease.age(self.now);
        let known = self.snapshot.is_some() && !self.targets.is_empty();
        let fresh = age.is_some_and(|age| age < UNCONFIRMED_TIMEOUT);
        let ready = known && fresh && !self.config_outdated() && self.stopping_since.is_none();
        if ready != self.ready {
            self.ready = ready;
            let (age, stopping) = (millis(age), self.stopping_since.is_some());
            let version = self.config_version();
            log_event!(
                self,
                ReadyChanged,
                "ready={ready} config_version={version} config_age_ms={age} stopping={stopping} targets={}",
                self.targets.len()
            );
        }
        let suspended = !self.config_current();
        if suspended != self.keys_suspended {
            self.keys_suspended = suspended;
            let age = millis(age);
            if suspended {
                log_event!(self, KeysSuspended, "config_age_ms={age}");
            } else {
                log_event!(self, KeysHonoured, "config_age_ms={age}");
            }
        }
    }
}

/// Age of a proof in milliseconds for another host, rounded up so that the proof is not taken for
/// newer than it is.
pub(super) fn proof_age(age: Option<Duration>) -> Option<u64> {
    age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX).saturating_add(1))
}

/// Milliseconds for a log line; -1 for `None`.
pub(super) fn millis(time: Option<Duration>) -> i64 {
    time.map_or(-1, |t| t.as_millis() as i64)
}
