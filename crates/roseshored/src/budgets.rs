//! Retry budgets of the services of one daemon.

use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_core::retry::RetryBudget;
use rustc_hash::FxHashMap;

/// Retry budgets of a daemon by service; a service starts with a full budget.
#[derive(Debug, Default)]
pub struct Budgets(Mutex<FxHashMap<ServiceId, RetryBudget>>);

impl Budgets {
    /// Charges one retry to a service's budget; returns false if the budget does not allow it.
    pub fn try_spend(&self, service: &ServiceId) -> bool {
        self.with(service, |budget| budget.try_spend(Instant::now()))
    }

    /// Records that a service has answered, which refills its budget a little.
    pub fn record_success(&self, service: &ServiceId) {
        self.with(service, RetryBudget::record_success);
    }

    fn with<T>(&self, service: &ServiceId, update: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.0.lock();
        if let Some(budget) = budgets.get_mut(service) {
            return update(budget);
        }
        update(budgets.entry(service.clone()).or_default())
    }
}
