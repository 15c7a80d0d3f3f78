//! Admission control: which requests are admitted, which wait, and which are refused.
//!
//! A request passes three checks: its organisation's rate limit, whether it can meet its deadline,
//! and whether the service has a free slot. If no request is queued and a slot is free, it is
//! admitted at once. Otherwise it waits in its service's queue, where organisations are served in
//! proportion to their shares. A request that cannot be served in time is refused on arrival, so
//! that an overload costs refused callers little and admitted ones nothing. State is kept only for
//! organisations that are currently active.

pub mod bucket;
pub mod fair;
pub mod limit;
pub mod queue;
pub mod share;

use crate::prelude::*;
use bucket::Bucket;
use queue::{JoinResult, ServiceQueue};
use rustc_hash::FxHashMap;
use share::{Demand, DemandMeter, Demands, PeerDemand};

/// Index of an active organisation.
pub type OrgIndex = u32;
/// Id of a waiting request.
pub type WaiterId = u64;

/// Minimum `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum interval over which the retries of refused callers are spread.
const MIN_SPREAD: Duration = Duration::from_secs(2);
/// Maximum `Retry-After` of a refusal, before spreading.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of organisations in the summary sent to other daemons.
const MAX_DEMANDS: usize = 32;

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The organisation that sent the request.
    pub organisation: &'a str,
    /// The service it asks for.
    pub service: &'a str,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Priority from 0 to 9; a larger one goes first within the same organisation.
    pub priority: u8,
    /// Expected work, in the same unit for all requests of a service.
    pub cost: u32,
}

/// A concurrency slot held by an admitted request; returned once with [`Admission::release`].
#[derive(Debug, PartialEq)]
pub struct Slot {
    service: ServiceId,
    org: OrgIndex,
    cost: f64,
    begun: Instant,
}

/// Outcome of a request for admission.
#[derive(Debug, PartialEq)]
pub enum AdmitResult {
    /// The request is admitted.
    Admitted(Slot),
    /// The request waits in the queue.
    Queued(QueuedRequest),
    /// The request is refused.
    Refused(Refusal),
}

/// A request that waits in a service's queue.
#[derive(Debug, PartialEq)]
pub struct QueuedRequest {
    /// Id of the waiting request.
    pub waiter: WaiterId,
    /// Latest time until which it waits.
    pub until: Instant,
    /// A queued request that this one displaced, with its refusal.
    pub displaced: Option<WaitOutcome>,
}

/// The end of a wait.
#[derive(Debug, PartialEq)]
pub struct WaitOutcome {
    /// Id of the request that waited.
    pub waiter: WaiterId,
    /// Its slot, or the refusal.
    pub result: Result<Slot, Refusal>,
}

/// Capacity of a service, as its targets report it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Number of requests that all targets together serve at once.
    pub slots: f64,
    /// Number of requests at the targets now, from all daemons.
    pub busy: f64,
}

#[derive(Debug)]
struct Org {
    id: OrganisationId,
    limits: Organisation,
    bucket: Bucket,
    meter: DemandMeter,
    limit_part: f64,
    open_requests: u32,
}

/// Admission control of one daemon.
#[derive(Debug)]
pub struct Admission {
    indices: FxHashMap<OrganisationId, OrgIndex>,
    orgs: Vec<Option<Org>>,
    free_indices: Vec<OrgIndex>,
    queues: FxHashMap<ServiceId, ServiceQueue>,
    waiting: FxHashMap<WaiterId, ServiceId>,
    peer_demands: share::PeerDemands,
    daemons: usize,
    next_waiter: WaiterId,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            indices: FxHashMap::default(),
            orgs: Vec::new(),
            free_indices: Vec::new(),
            queues: FxHashMap::default(),
            waiting: FxHashMap::default(),
            peer_demands: share::PeerDemands::default(),
            daemons: 1,
            next_waiter: 0,
        }
    }
}

impl Admission {
    /// Applies a configuration; new limits take effect at once for active organisations.
    pub fn apply_fleet(&mut self, fleet: &Fleet) {
        for org in self.orgs.iter_mut().flatten() {
            if let Some(limits) = fleet.organisations.get(&org.id) {
                org.limits = limits.clone();
            }
        }
        self.queues.retain(|id, queue| fleet.services.contains_key(id) || !queue.idle());
    }

    /// Decides on a request. `spread` is a random number in `0..1` that spreads the retries of
    /// refused callers.
    pub fn arrive(
        &mut self,
        fleet: &Fleet,
        arrival: &Arrival<'_>,
        now: Instant,
        spread: f64,
    ) -> AdmitResult {
        let Some(index) = self.org_index(fleet, arrival.organisation, now) else {
            return AdmitResult::Refused(unknown_organisation(arrival.organisation));
        };
        if !fleet.services.contains_key(arrival.service) {
            return AdmitResult::Refused(unknown_service(arrival.service));
        }
        let Some(org) = self.orgs[index as usize].as_mut() else {
            return AdmitResult::Refused(unknown_organisation(arrival.organisation));
        };
        org.meter.count(now);
        let rate = org.limits.rate * org.limit_part;
        let burst = org.limits.burst * org.limit_part;
        if let Err(wait) = org.bucket.peek(now, rate, burst) {
            return AdmitResult::Refused(rate_limited(&org.id, wait, spread));
        }
        let share = org.limits.share;
        let queue = match self.queues.get_mut(arrival.service) {
            Some(queue) => queue,
            None => self.queues.entry(arrival.service.to_owned()).or_default(),
        };
        let item = fair::Item {
            waiter: self.next_waiter,
            org: index,
            share,
            cost: f64::from(arrival.cost.max(1)),
            priority: arrival.priority,
            latest: arrival.deadline,
        };
        let joined = queue.join(item, now);
        let refusal = match joined {
            JoinResult::Admitted | JoinResult::Queued(..) => None,
            JoinResult::TooLate(wait) => Some(too_late(arrival.service, wait, spread)),
            JoinResult::Full(wait) => Some(queue_full(arrival.service, wait, spread)),
        };
        if let Some(refusal) = refusal {
            return AdmitResult::Refused(refusal);
        }
        org.bucket.take();
        org.open_requests += 1;
        let JoinResult::Queued(until, displaced) = joined else {
            let service = arrival.service.to_owned();
            return AdmitResult::Admitted(Slot {
                service,
                org: index,
                cost: item.cost,
                begun: now,
            });
        };
        self.waiting.insert(item.waiter, arrival.service.to_owned());
        self.next_waiter += 1;
        let displaced = displaced.map(|other| self.displace(arrival.service, &other, spread));
        AdmitResult::Queued(QueuedRequest { waiter: item.waiter, until, displaced })
    }

    fn displace(&mut self, service: &str, item: &fair::Item, spread: f64) -> WaitOutcome {
        self.waiting.remove(&item.waiter);
        self.close_request(item.org);
        let queue = self.queues.get(service);
        let wait = queue.map_or(Duration::ZERO, |queue| queue.predicted_wait(item));
        WaitOutcome { waiter: item.waiter, result: Err(queue_full(service, wait, spread)) }
    }

    /// Returns a slot; the result lists the waiting requests that are now admitted or refused.
    pub fn release(&mut self, slot: Slot, now: Instant, spread: f64) -> Vec<WaitOutcome> {
        self.close_request(slot.org);
        if let Some(queue) = self.queues.get_mut(&slot.service) {
            queue.release(slot.org, slot.cost, now.saturating_duration_since(slot.begun));
        }
        self.admit_waiting(&slot.service, now, spread)
    }

    /// Ends a wait whose time is up; `None` if the request has already left the queue.
    pub fn give_up(&mut self, waiter: WaiterId, spread: f64) -> Option<Refusal> {
        let service = self.waiting.remove(&waiter)?;
        let queue = self.queues.get_mut(&service)?;
        let item = queue.remove(waiter)?;
        let wait = queue.predicted_wait(&item);
        self.close_request(item.org);
        Some(too_late(&service, wait, spread))
    }

    /// Admits waiting requests while the service's limit allows.
    pub fn admit_waiting(&mut self, service: &str, now: Instant, spread: f64) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        while let Some(item) = self.queues.get_mut(service).and_then(ServiceQueue::dequeue) {
            self.waiting.remove(&item.waiter);
            let result = self.admit_waiter(service, &item, now, spread);
            outcomes.push(WaitOutcome { waiter: item.waiter, result });
        }
        outcomes
    }

    fn admit_waiter(
        &mut self,
        service: &str,
        item: &fair::Item,
        now: Instant,
        spread: f64,
    ) -> Result<Slot, Refusal> {
        if now <= item.latest {
            let service = service.to_owned();
            return Ok(Slot { service, org: item.org, cost: item.cost, begun: now });
        }
        self.close_request(item.org);
        let queue = self.queues.get_mut(service);
        let wait = queue.map_or(Duration::ZERO, |queue| {
            queue.cancel(item.org);
            queue.predicted_wait(item)
        });
        Err(too_late(service, wait, spread))
    }

    /// Services that have a queue.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.queues.keys()
    }

    /// Adjusts a service's concurrency limit to the capacity that its targets report.
    pub fn update_limit(&mut self, service: &str, capacity: Capacity) {
        let daemons = self.daemons as f64;
        if let Some(queue) = self.queues.get_mut(service) {
            queue.update_limit(capacity, daemons);
        }
    }

    /// Recomputes this daemon's part of each limit and removes organisations that are no longer
    /// active.
    pub fn tick(&mut self, daemons: usize, now: Instant) {
        self.daemons = daemons.max(1);
        self.peer_demands.retain(|_, demand| demand.is_fresh(now));
        for index in 0..self.orgs.len() {
            let Some(org) = self.orgs[index].as_mut() else { continue };
            let own = org.meter.rate(now);
            org.limit_part = share::limit_part(own, &org.id, &self.peer_demands, self.daemons);
            let rate = org.limits.rate * org.limit_part;
            let burst = org.limits.burst * org.limit_part;
            let idle = org.open_requests == 0 && org.meter.idle(now);
            if idle && org.bucket.is_full(now, rate, burst) {
                self.indices.remove(&org.id);
                self.orgs[index] = None;
                self.free_indices.push(index as OrgIndex);
            }
        }
    }

    /// This daemon's demand as reported to the others, the largest first.
    pub fn demands(&self, now: Instant) -> Demands {
        let demand =
            |org: &Org| Demand { organisation: org.id.clone(), rate: org.meter.rate(now) as f32 };
        let mut all: Vec<Demand> = self.orgs.iter().flatten().map(demand).collect();
        all.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        all.truncate(MAX_DEMANDS);
        Demands { organisations: all }
    }

    /// Records the demand that another daemon reported.
    pub fn record_peer_demand(&mut self, host: &HostId, demands: &Demands, now: Instant) {
        self.peer_demands.insert(host.clone(), PeerDemand::new(demands, now));
    }

    /// Number of organisations for which state is kept.
    pub fn active(&self) -> usize {
        self.indices.len()
    }

    /// Number of a service's requests in flight and waiting.
    pub fn counts(&self, service: &str) -> (usize, usize) {
        self.queues.get(service).map_or((0, 0), ServiceQueue::counts)
    }

    fn org_index(&mut self, fleet: &Fleet, id: &str, now: Instant) -> Option<OrgIndex> {
        if let Some(&index) = self.indices.get(id) {
            return Some(index);
        }
        let limits = fleet.organisations.get(id)?.clone();
        let limit_part = share::limit_part(0.0, id, &self.peer_demands, self.daemons);
        let bucket = Bucket::full_of(limits.burst * limit_part, now);
        let meter = DemandMeter::new(now);
        let org = Org { id: id.to_owned(), limits, bucket, meter, limit_part, open_requests: 0 };
        let index = self.free_indices.pop().unwrap_or(self.orgs.len() as OrgIndex);
        if index as usize == self.orgs.len() {
            self.orgs.push(None);
        }
        self.orgs[index as usize] = Some(org);
        self.indices.insert(id.to_owned(), index);
        Some(index)
    }

    fn close_request(&mut self, org: OrgIndex) {
        if let Some(org) = self.orgs[org as usize].as_mut() {
            org.open_requests -= 1;
        }
    }
}

/// `Retry-After` of a refusal: at least `wait`, and spread so that refused callers do not all
/// return together.
fn retry_after(wait: Duration, spread: f64) -> Duration {
    let base = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    base + base.max(MIN_SPREAD).mul_f64(spread.clamp(0.0, 1.0))
}

fn unknown_organisation(id: &str) -> Refusal {
    let text = format!("no organisation `{id}` is declared; declare it under `[organisations]`");
    Refusal::not_run(Code::UnknownOrganisation, text)
}

fn unknown_service(id: &str) -> Refusal {
    let text = format!("no service `{id}` is declared; declare it under `[services]`");
    Refusal::not_run(Code::UnknownService, text)
}

fn rate_limited(id: &str, wait: Duration, spread: f64) -> Refusal {
    let text = format!(
        "organisation `{id}` is over its rate; come back later, or raise its `rate` and `burst`"
    );
    Refusal::not_run(Code::RateLimited, text).after(retry_after(wait, spread))
}

fn too_late(service: &str, wait: Duration, spread: f64) -> Refusal {
    let text = format!(
        "service `{service}` cannot answer by the deadline; come back later, or allow more time"
    );
    Refusal::not_run(Code::TooLate, text).after(retry_after(wait, spread))
}

fn queue_full(service: &str, wait: Duration, spread: f64) -> Refusal {
    let text = format!("the queue of service `{service}` is full; come back later");
    Refusal::not_run(Code::QueueFull, text).after(retry_after(wait, spread))
}
