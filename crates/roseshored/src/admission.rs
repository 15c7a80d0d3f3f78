//! Admission control for the requests of this daemon.
//!
//! A request that need not queue is admitted under one short lock. One that queues blocks its thread
//! on a channel of its own until it is admitted or refused, or until its deadline cannot be met any
//! more. There is no background thread: the first request after [`LIMIT_REFRESH`] updates the limits.

use flume::{Receiver, Sender};
use parking_lot::Mutex;
use roseshore_core::admit::share::Demands;
use roseshore_core::admit::{
    Admission, AdmitResult, Arrival, Capacity, Slot, WaitOutcome, WaiterId,
};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{AdmissionControl, ConfigSource, Members, Permit, RequestInfo};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// How often limits are updated.
const LIMIT_REFRESH: Duration = Duration::from_millis(250);
/// Retry delay given to a caller of a host that has no configuration yet.
const NO_CONFIG_RETRY: Duration = Duration::from_secs(2);

/// Source of the capacity of a service's targets.
pub trait CapacitySource: Send + Sync {
    /// The capacity according to the newest load reports; `None` if no target has reported.
    fn capacity(&self, service: &ServiceId) -> Option<Capacity>;
}

/// Admits requests to the services of the current configuration.
pub struct AdmissionDriver {
    fleets: Arc<dyn ConfigSource>,
    members: Arc<dyn Members>,
    capacities: Arc<dyn CapacitySource>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    waiters: FxHashMap<WaiterId, Sender<Result<Slot, Refusal>>>,
    offset: Option<Offset>,
    refreshed: Instant,
}

impl AdmissionDriver {
    /// Creates a driver with limits according to the current members and capacities.
    pub fn new(
        fleets: Arc<dyn ConfigSource>,
        members: Arc<dyn Members>,
        capacities: Arc<dyn CapacitySource>,
    ) -> AdmissionDriver {
        let state = State {
            admission: Admission::default(),
            waiters: FxHashMap::default(),
            offset: None,
            refreshed: Instant::now(),
        };
        let driver =
            AdmissionDriver { fleets, members, capacities, state: Arc::new(Mutex::new(state)) };
        driver.refresh_limits(Instant::now());
        driver
    }

    /// This daemon's demand by service and organisation, to be sent to the other daemons.
    pub fn demands(&self) -> Demands {
        self.state.lock().admission.demands(Instant::now())
    }

    /// Records the demand that another daemon has sent.
    pub fn record_peer_demand(&self, host: &HostId, demands: &Demands) {
        self.state.lock().admission.record_peer_demand(host, demands, Instant::now());
    }

    /// Updates the limits if [`LIMIT_REFRESH`] has passed since the last update.
    fn refresh_if_due(&self, now: Instant) {
        let mut state = self.state.lock();
        let due = now.saturating_duration_since(state.refreshed) >= LIMIT_REFRESH;
        if due {
            state.refreshed = now;
        }
        drop(state);
        if due {
            self.refresh_limits(now);
        }
    }

    /// The number of admitted requests of a service and of those waiting.
    pub fn counts(&self, service: &str) -> (usize, usize) {
        self.state.lock().admission.counts(service)
    }

    /// Updates the limits according to the current number of daemons and the capacity of targets.
    /// Capacities are queried without holding the lock.
    pub fn refresh_limits(&self, now: Instant) {
        let daemons = self.members.all().len();
        let mut state = self.state.lock();
        state.admission.tick(daemons, now);
        let services: Vec<ServiceId> = state.admission.services().cloned().collect();
        drop(state);
        for service in services {
            let Some(capacity) = self.capacities.capacity(&service) else { continue };
            let mut state = self.state.lock();
            state.admission.update_limit(&service, capacity);
            let outcomes = state.admission.admit_waiting(&service, now, rand::random());
            state.notify(outcomes);
            export_counts(&service, state.admission.counts(&service));
        }
    }

    fn permit(&self, slot: Slot) -> Permit {
        let shared = Arc::clone(&self.state);
        Permit::new(move || {
            let mut state = shared.lock();
            let outcomes = state.admission.release(slot, Instant::now(), rand::random());
            state.notify(outcomes);
        })
    }

    fn arrive(&self, fleet: &Fleet, offset: Offset, info: &RequestInfo) -> ArrivalResult {
        let arrival = Arrival {
            organisation: &info.organisation,
            service: &info.service,
            deadline: info.deadline,
            priority: info.priority,
            cost: info.cost,
        };
        let mut state = self.state.lock();
        if state.offset != Some(offset) {
            state.admission.apply_fleet(fleet);
            state.offset = Some(offset);
        }
        match state.admission.arrive(fleet, &arrival, Instant::now(), rand::random()) {
            AdmitResult::Admitted(slot) => ArrivalResult::Decided(Ok(slot)),
            AdmitResult::Refused(refusal) => ArrivalResult::Decided(Err(refusal)),
            AdmitResult::Queued(queued) => {
                let (sender, receiver) = flume::bounded(1);
                state.waiters.insert(queued.waiter, sender);
                state.notify(queued.displaced);
                ArrivalResult::Queued(Waiter {
                    id: queued.waiter,
                    until: queued.until,
                    result: receiver,
                })
            }
        }
    }

    fn wait(&self, waiter: Waiter) -> Result<Slot, Refusal> {
        if let Ok(result) = waiter.result.recv_deadline(waiter.until) {
            return result;
        }
        let mut state = self.state.lock();
        if let Some(refusal) = state.admission.give_up(waiter.id, rand::random()) {
            state.waiters.remove(&waiter.id);
            return Err(refusal);
        }
        drop(state);
        // It was admitted or refused at the same moment; the result is in the channel.
        waiter.result.try_recv().unwrap_or_else(|_| Err(lost_result()))
    }
}

enum ArrivalResult {
    Decided(Result<Slot, Refusal>),
    Queued(Waiter),
}

/// A queued request; it is refused if it has no result at `until`.
struct Waiter {
    id: WaiterId,
    until: Instant,
    result: Receiver<Result<Slot, Refusal>>,
}

impl State {
    fn notify(&mut self, outcomes: impl IntoIterator<Item = WaitOutcome>) {
        for outcome in outcomes {
            if let Some(waiter) = self.waiters.remove(&outcome.waiter) {
                // The receiver is kept until it has its result or has given up under the lock.
                let _ = waiter.send(outcome.result);
            }
        }
    }
}

impl AdmissionControl for AdmissionDriver {
    fn admit(&self, info: &RequestInfo) -> Result<Permit, Refusal> {
        let Some(current) = self.fleets.current() else { return Err(no_configuration()) };
        self.refresh_if_due(Instant::now());
        let result = match self.arrive(&current.fleet, current.offset, info) {
            ArrivalResult::Decided(result) => result,
            ArrivalResult::Queued(waiter) => self.wait(waiter),
        };
        if let Err(refusal) = &result {
            let code = refusal.code.to_string();
            metrics::counter!("roseshore_admission_refusals_total", "code" => code).increment(1);
        }
        result.map(|slot| self.permit(slot))
    }
}

fn export_counts(service: &ServiceId, counts: (usize, usize)) {
    let (admitted, waiting) = counts;
    metrics::gauge!("roseshore_admission_inside", "service" => service.clone())
        .set(admitted as f64);
    metrics::gauge!("roseshore_admission_waiting", "service" => service.clone())
        .set(waiting as f64);
}

fn no_configuration() -> Refusal {
    let text = "this host has no configuration yet; come back later, or ask another host";
    Refusal::not_run(Code::NoConfiguration, text).after(NO_CONFIG_RETRY)
}

fn lost_result() -> Refusal {
    Refusal::not_run(Code::Internal, "a turn in the queue was lost; ask again").after(LIMIT_REFRESH)
}
