//! The balancer's question, and metrics.

use super::{EntryHost, Role, note};
use crate::http::{self, BodyFraming};
use crate::slab::Key;
use roseshore_core::prelude::*;

/// Bytes of a probe's head.
const MAX_HEAD: usize = 8 << 10;
/// Without a proof that the configuration is current for so long, callers with keys are better
/// served elsewhere: one read and its timeout beyond the usual.
const DOUBT: Duration = Duration::from_secs(3);

/// A neighbour's newer configuration is read within some milliseconds where the store answers; the
/// operators' bound is two seconds.
const OUTDATED: Duration = Duration::from_millis(700);

impl EntryHost {
    /// Answers probes and requests for metrics.
    pub(super) fn pump_probe(&mut self, key: Key) {
        let Some(socket) = self.net.get(key) else {
            // It was closed when its last bytes had left.
            self.roles.remove(&key);
            return;
        };
        let ended = socket.ended.is_some();
        let head = match http::parse_request(&mut socket.input, MAX_HEAD) {
            Ok(Some(head)) => head,
            Ok(None) if !ended => return,
            _ => return self.close(key),
        };
        let metrics = matches!(self.roles.get(&key), Some(Role::Metrics));
        let (status, body) = match &self.rendered {
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
            self.finish_socket(key);
        }
    }

    /// Notes whether a neighbour has a newer configuration.
    pub(super) fn judge_age(&mut self) {
        let known = self.config_version();
        let newer = self.peers.newest_config(self.now) > known;
        self.outdated = if newer { self.outdated.or(Some(self.now)) } else { None };
    }

    /// Whether the configuration at hand is known to be old: a neighbour has had a newer one for
    /// longer than it takes to read it.
    pub(super) fn outdated(&self) -> bool {
        self.outdated.is_some_and(|at| self.now.saturating_duration_since(at) >= OUTDATED)
    }

    /// Whether the configuration may be taken for the newest.
    pub(super) fn current(&self) -> bool {
        self.currency.is_valid(self.now) && !self.outdated()
    }

    /// Decides whether callers should come here.
    pub(super) fn judge_ready(&mut self) {
        let age = self.currency.age(self.now);
        let known = self.snapshot.is_some() && !self.targets.is_empty();
        let fresh = age.is_some_and(|age| age < DOUBT);
        let ready = known && fresh && !self.outdated() && self.stopping.is_none();
        if ready != self.ready {
            self.ready = ready;
            let (age, stopping) = (millis(age), self.stopping.is_some());
            let version = self.config_version();
            note!(
                self,
                ReadyChanged,
                "ready={ready} config_version={version} config_age_ms={age} stopping={stopping} targets={}",
                self.targets.len()
            );
        }
        let suspended = !self.current();
        if suspended != self.suspended {
            self.suspended = suspended;
            let age = millis(age);
            if suspended {
                note!(self, KeysSuspended, "config_age_ms={age}");
            } else {
                note!(self, KeysHonoured, "config_age_ms={age}");
            }
        }
    }
}

/// Milliseconds for a log line; -1 when there is no time.
pub(super) fn millis(time: Option<Duration>) -> i64 {
    time.map_or(-1, |t| t.as_millis() as i64)
}
