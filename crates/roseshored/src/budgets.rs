//! What the services of one daemon may spend on extra attempts.

use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_core::retry::RetryBudget;
use rustc_hash::FxHashMap;

/// The retry budgets of a daemon, by service; a service that is new here has a full one.
#[derive(Debug, Default)]
pub struct Budgets(Mutex<FxHashMap<ServiceId, RetryBudget>>);

impl Budgets {
    /// Whether a service may make one more attempt now; if so, it is paid for.
    pub fn try_spend(&self, service: &ServiceId) -> bool {
        self.with(service, |budget| budget.try_spend(Instant::now()))
    }

    /// A service has answered.
    pub fn record_success(&self, service: &ServiceId) {
        self.with(service, RetryBudget::record_success);
    }

    fn with<T>(&self, service: &ServiceId, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.0.lock();
        if let Some(budget) = budgets.get_mut(service) {
            return change(budget);
        }
        change(budgets.entry(service.clone()).or_default())
    }
}
