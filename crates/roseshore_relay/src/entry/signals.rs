//! Signals: the stop that cuts nothing off, and the reload.

use super::{EntryHost, Role, note};
use crate::slab::Key;
use roseshore_core::gateway::{ConfigLease, RetryBudget};
use roseshore_core::prelude::*;
use std::sync::atomic::Ordering;

/// After the stop signal, callers may still be sent here for two missed probes, a second apart,
/// and a little more.
const LINGER: Duration = Duration::from_millis(2600);
/// Part of the grace that is kept for the end itself.
const LAST: Duration = Duration::from_millis(300);
/// How often the settings are looked at without a signal.
const REREAD: Duration = Duration::from_secs(2);

impl EntryHost {
    pub(super) fn obey_signals(&mut self) {
        if self.stop.load(Ordering::Relaxed) && self.stopping.is_none() {
            self.stopping = Some(self.now);
            note!(self, Draining, "in_flight={}", self.exchanges.len());
        }
        let asked = self.reload.swap(false, Ordering::Relaxed);
        let due = self.now.saturating_duration_since(self.reread_at) >= REREAD;
        if asked || due {
            self.reread_at = self.now;
            self.reload_settings(asked);
        }
    }

    fn reload_settings(&mut self, asked: bool) {
        let fresh = match (self.read_settings)() {
            Ok(fresh) => fresh,
            Err(err) => {
                note!(self, BadSettings, "kept=old why={err:?}");
                return;
            }
        };
        let changed =
            fresh.bounds != self.settings.bounds || fresh.store_addr != self.settings.store_addr;
        if changed || asked {
            note!(self, Reloaded, "signal={asked} changed={changed}");
        }
        if fresh.bounds != self.settings.bounds {
            let age = self.currency.age(self.now);
            self.currency = ConfigLease::new(fresh.bounds.revoke);
            if let Some(proven) = age.and_then(|age| self.now.checked_sub(age)) {
                self.currency.renew(proven);
            }
            self.allowances.clear();
        }
        self.settings.bounds = fresh.bounds;
        self.settings.store_addr = fresh.store_addr;
    }

    /// The allowance of a service.
    pub(super) fn allowance(&mut self, service: &str) -> &mut RetryBudget {
        let bounds = &self.settings.bounds;
        let fresh =
            || RetryBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        self.allowances.entry(service.to_owned()).or_insert_with(fresh)
    }

    /// What is left until this host ends, if it was told to.
    pub(super) fn grace_left(&self) -> Option<Duration> {
        let since = self.now.saturating_duration_since(self.stopping?);
        Some(self.settings.bounds.grace.saturating_sub(LAST).saturating_sub(since))
    }

    /// Whether the process is to end now, and how many requests that cuts off.
    pub(super) fn ended(&mut self) -> Option<usize> {
        let since = self.now.saturating_duration_since(self.stopping?);
        let left = self.exchanges.len();
        if self.grace_left() == Some(Duration::ZERO) {
            return Some(left);
        }
        if since < LINGER {
            return None;
        }
        let resting: Vec<Key> =
            self.roles.keys().copied().filter(|key| self.caller_rests(*key)).collect();
        for key in resting {
            self.close(key);
        }
        let busy = self.roles.values().any(|r| matches!(r, Role::Caller(_)));
        (left == 0 && !busy).then_some(0)
    }
}
