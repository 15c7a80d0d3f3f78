//! Signals: the graceful shutdown, and the reload of settings.

use super::{EntryHost, Role, log_event};
use crate::net::Endpoint;
use roseshore_core::gateway::hashes::name_hash;
use roseshore_core::gateway::shutdown::{Shutdown, Stage};
use roseshore_core::gateway::{Bounds, ConfigLease, RetryBudget};
use roseshore_core::prelude::*;
use std::sync::atomic::Ordering;

/// Interval at which the settings are read without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

impl EntryHost {
    /// Starts the shutdown or reloads the settings if a signal asked for it; also reloads them
    /// periodically.
    pub(super) fn handle_signals(&mut self) {
        if self.stop.load(Ordering::Relaxed) && self.stopping_since.is_none() {
            // A process that was held up may have got the signal when that began.
            self.stopping_since = Some(self.earliest_arrival);
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

    /// The shutdown in progress.
    fn shutdown(&self) -> Option<Shutdown> {
        Some(Shutdown { since: self.stopping_since?, grace: self.settings.bounds.grace })
    }

    /// Time left until this host has to exit; `None` if it is not shutting down.
    pub(super) fn grace_left(&self) -> Option<Duration> {
        Some(self.shutdown()?.time_left(self.now))
    }

    /// Advances a shutdown. Returns the number of answers that were cut off if the process is to exit
    /// now; `None` if it is to go on.
    pub(super) fn advance_shutdown(&mut self) -> Option<usize> {
        let stage = self.shutdown()?.stage(self.now);
        if stage == Stage::Draining {
            return None;
        }
        if stage >= Stage::Ending {
            self.end_exchanges();
        }
        if self.net.listens(Endpoint::Callers) {
            self.accept_connections(Endpoint::Callers);
            self.net.close_listener(Endpoint::Callers);
            log_event!(self, CallersNotAccepted, "in_flight={}", self.exchanges.len());
        }
        self.close_idle_callers();
        let unfinished = |role: &Role| matches!(role, Role::Caller(_) | Role::Closing);
        let busy = self.roles.values().any(unfinished) || self.tunnels_in_use();
        let done = self.exchanges.is_empty() && !busy;
        (done || stage == Stage::Over).then_some(self.answers_cut)
    }

    /// Ends all requests before the exit of this process: with a response where no answer has begun.
    fn end_exchanges(&mut self) {
        for key in self.exchanges.keys() {
            let begun = self.exchanges.get(key).is_some_and(|e| e.delivery.started);
            self.answers_cut += usize::from(begun);
            self.drop_standbys(key);
            self.end_without(key, Code::Draining, "this host exits");
        }
    }
}
