//! Signals: the graceful shutdown, and the reload of settings.

use super::{EntryHost, Role, log_event};
use crate::slab::Key;
use roseshore_core::gateway::hashes::name_hash;
use roseshore_core::gateway::{Bounds, ConfigLease, RetryBudget};
use roseshore_core::prelude::*;
use std::sync::atomic::Ordering;

/// Time after the stop signal during which the load balancer may still send callers here: until two
/// probes, one second apart, have failed, and a margin.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2600);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(300);
/// Interval at which the settings are read without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

impl EntryHost {
    /// Starts the shutdown or reloads the settings if a signal asked for it; also reloads them
    /// periodically.
    pub(super) fn handle_signals(&mut self) {
        if self.stop.load(Ordering::Relaxed) && self.stopping_since.is_none() {
            self.stopping_since = Some(self.now);
            self.recheck_waiting();
            log_event!(self, Draining, "in_flight={}", self.exchanges.len());
        }
        let requested = self.reload.swap(false, Ordering::Relaxed);
        let due = self.now.saturating_duration_since(self.settings_read) >= RELOAD_INTERVAL;
        if requested || due {
            self.settings_read = self.now;
            self.reload_settings(requested);
        }
    }

    /// Reads the settings again and applies those that can change at run time.
    fn reload_settings(&mut self, requested: bool) {
        let fresh = match (self.read_settings)() {
            Ok(fresh) => fresh,
            Err(err) => {
                log_event!(self, BadSettings, "kept=old why={err:?}");
                return;
            }
        };
        let changed =
            fresh.bounds != self.settings.bounds || fresh.store_addr != self.settings.store_addr;
        if changed || requested {
            log_event!(self, Reloaded, "signal={requested} changed={changed}");
        }
        if fresh.bounds != self.settings.bounds {
            let age = self.config_lease.age(self.now);
            self.config_lease = ConfigLease::new(fresh.bounds.revoke);
            if let Some(proven) = age.and_then(|age| self.now.checked_sub(age)) {
                self.config_lease.renew(proven);
            }
            let Bounds { retry_ratio, retry_slack, retry_window, .. } = fresh.bounds;
            for budget in self.retry_budgets.values_mut() {
                budget.set_bound(retry_ratio, retry_slack, retry_window);
            }
            self.store_sync.set_bounds(&fresh.bounds);
        }
        self.settings.bounds = fresh.bounds;
        self.settings.store_addr = fresh.store_addr;
    }

    /// The retry budget of a service.
    pub(super) fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        let (bounds, peers) = (&self.settings.bounds, &self.peers);
        let fresh = || {
            let (ratio, slack) = (bounds.retry_ratio, bounds.retry_slack);
            let mut budget = RetryBudget::new(ratio, slack, bounds.retry_window, peers.started());
            let pool = peers.retry_pool(name_hash(service), self.now);
            budget.set_pool(peers.sharing_hosts(self.now), pool, self.now);
            budget
        };
        self.retry_budgets.entry(service.to_owned()).or_insert_with(fresh)
    }

    /// Time left until this host has to exit; `None` if it is not shutting down.
    pub(super) fn grace_left(&self) -> Option<Duration> {
        let since = self.now.saturating_duration_since(self.stopping_since?);
        Some(self.settings.bounds.grace.saturating_sub(EXIT_RESERVE).saturating_sub(since))
    }

    /// The number of requests that are cut off if the process is to exit now; `None` if it is to go
    /// on.
    pub(super) fn shutdown_complete(&mut self) -> Option<usize> {
        let since = self.now.saturating_duration_since(self.stopping_since?);
        let left = self.exchanges.len();
        if self.grace_left() == Some(Duration::ZERO) {
            return Some(left);
        }
        if since < MIN_DRAIN_TIME {
            return None;
        }
        let idle: Vec<Key> =
            self.roles.keys().copied().filter(|key| self.caller_idle(*key)).collect();
        for key in idle {
            self.close_caller(key, "stopping");
        }
        let busy =
            self.roles.values().any(|r| matches!(r, Role::Caller(_))) || self.tunnels_in_use();
        (left == 0 && !busy).then_some(0)
    }

    /// Records the requests that the exit of this process cuts.
    pub(super) fn record_exit(&mut self) {
        for key in self.exchanges.keys() {
            self.mark_may_have_run(key);
            self.record_cut(key, Code::Draining, "this host exits");
        }
    }
}
