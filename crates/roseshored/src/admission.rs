//! The driver of admission.
//!
//! A request without a queue passes under one short lock. One that has to wait gets a channel of its
//! own, on which its admission or refusal comes; its thread sleeps until then, or until its deadline
//! can no longer be made. It has no thread of its own: limits are renewed by whoever comes first after
//! [`TICK`].

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

/// How often limits are renewed.
const TICK: Duration = Duration::from_millis(250);
/// When a caller should come back to a host that has no configuration yet.
const NO_CONFIGURATION: Duration = Duration::from_secs(2);

/// Says the capacity of the targets of a service.
pub trait CapacitySource: Send + Sync {
    /// The capacity by the newest reports; `None` when no target reported.
    fn capacity(&self, service: &ServiceId) -> Option<Capacity>;
}

/// Admission for the services of the configuration in force.
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
    ticked: Instant,
}

impl AdmissionDriver {
    /// Admission for the services of the configuration in force.
    pub fn new(
        fleets: Arc<dyn ConfigSource>,
        members: Arc<dyn Members>,
        capacities: Arc<dyn CapacitySource>,
    ) -> AdmissionDriver {
        let state = State {
            admission: Admission::default(),
            waiters: FxHashMap::default(),
            offset: None,
            ticked: Instant::now(),
        };
        let driver =
            AdmissionDriver { fleets, members, capacities, state: Arc::new(Mutex::new(state)) };
        driver.renew(Instant::now());
        driver
    }

    /// What this daemon tells the others about its demand.
    pub fn demands(&self) -> Demands {
        self.state.lock().admission.demands(Instant::now())
    }

    /// Takes another daemon's demand.
    pub fn record_peer_demand(&self, host: &HostId, demands: &Demands) {
        self.state.lock().admission.record_peer_demand(host, demands, Instant::now());
    }

    /// Renews limits, when it is time; other parts are asked without the lock.
    fn renew_at_times(&self, now: Instant) {
        let mut state = self.state.lock();
        let due = now.saturating_duration_since(state.ticked) >= TICK;
        if due {
            state.ticked = now;
        }
        drop(state);
        if due {
            self.renew(now);
        }
    }

    /// Requests of a service inside and waiting.
    pub fn counts(&self, service: &str) -> (usize, usize) {
        self.state.lock().admission.counts(service)
    }

    /// Renews the limits by the daemons and the capacity that there is now.
    pub fn renew(&self, now: Instant) {
        let daemons = self.members.all().len();
        let mut state = self.state.lock();
        state.admission.tick(daemons, now);
        let services: Vec<ServiceId> = state.admission.services().cloned().collect();
        drop(state);
        for service in services {
            let Some(capacity) = self.capacities.capacity(&service) else { continue };
            let mut state = self.state.lock();
            state.admission.update_limit(&service, capacity);
            let turns = state.admission.admit_waiting(&service, now, rand::random());
            state.tell(turns);
            report(&service, state.admission.counts(&service));
        }
    }

    fn permit(&self, pass: Slot) -> Permit {
        let shared = Arc::clone(&self.state);
        Permit::new(move || {
            let mut state = shared.lock();
            let turns = state.admission.release(pass, Instant::now(), rand::random());
            state.tell(turns);
        })
    }

    fn arrive(&self, fleet: &Fleet, offset: Offset, ask: &RequestInfo) -> Arrived {
        let who = Arrival {
            organisation: &ask.organisation,
            service: &ask.service,
            deadline: ask.deadline,
            priority: ask.priority,
            cost: ask.cost,
        };
        let mut state = self.state.lock();
        if state.offset != Some(offset) {
            state.admission.apply_fleet(fleet);
            state.offset = Some(offset);
        }
        match state.admission.arrive(fleet, &who, Instant::now(), rand::random()) {
            AdmitResult::Admitted(pass) => Arrived::Ended(Ok(pass)),
            AdmitResult::Refused(refusal) => Arrived::Ended(Err(refusal)),
            AdmitResult::Queued(waits) => {
                let (turn, waiting) = flume::bounded(1);
                state.waiters.insert(waits.waiter, turn);
                state.tell(waits.displaced);
                Arrived::Waits(Waiting { waiter: waits.waiter, until: waits.until, turn: waiting })
            }
        }
    }

    fn wait(&self, waiting: Waiting) -> Result<Slot, Refusal> {
        if let Ok(end) = waiting.turn.recv_deadline(waiting.until) {
            return end;
        }
        let mut state = self.state.lock();
        if let Some(refusal) = state.admission.give_up(waiting.waiter, rand::random()) {
            state.waiters.remove(&waiting.waiter);
            return Err(refusal);
        }
        drop(state);
        // Its turn came at the same moment and stands in the channel.
        waiting.turn.try_recv().unwrap_or_else(|_| Err(lost_turn()))
    }
}

enum Arrived {
    Ended(Result<Slot, Refusal>),
    Waits(Waiting),
}

struct Waiting {
    waiter: WaiterId,
    until: Instant,
    turn: Receiver<Result<Slot, Refusal>>,
}

impl State {
    fn tell(&mut self, turns: impl IntoIterator<Item = WaitOutcome>) {
        for turn in turns {
            if let Some(waiter) = self.waiters.remove(&turn.waiter) {
                // The receiver lives until it has its turn or has given up under the lock.
                let _ = waiter.send(turn.result);
            }
        }
    }
}

impl AdmissionControl for AdmissionDriver {
    fn admit(&self, ask: &RequestInfo) -> Result<Permit, Refusal> {
        let Some(force) = self.fleets.current() else { return Err(no_configuration()) };
        self.renew_at_times(Instant::now());
        let end = match self.arrive(&force.fleet, force.offset, ask) {
            Arrived::Ended(end) => end,
            Arrived::Waits(waiting) => self.wait(waiting),
        };
        if let Err(refusal) = &end {
            let code = refusal.code.to_string();
            metrics::counter!("roseshore_admission_refusals_total", "code" => code).increment(1);
        }
        end.map(|pass| self.permit(pass))
    }
}

fn report(service: &ServiceId, counts: (usize, usize)) {
    let (inside, waiting) = counts;
    metrics::gauge!("roseshore_admission_inside", "service" => service.clone()).set(inside as f64);
    metrics::gauge!("roseshore_admission_waiting", "service" => service.clone())
        .set(waiting as f64);
}

fn no_configuration() -> Refusal {
    let text = "this host has no configuration yet; come back later, or ask another host";
    Refusal::not_run(Code::NoConfiguration, text).after(NO_CONFIGURATION)
}

fn lost_turn() -> Refusal {
    Refusal::not_run(Code::Internal, "a turn in the queue was lost; ask again").after(TICK)
}
