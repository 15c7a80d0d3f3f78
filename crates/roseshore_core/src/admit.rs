//! Who is let in, when, and who is told to come back.
//!
//! An arrival passes three checks: its organisation's rate, whether it can make its deadline, and
//! whether there is a free place. Without a queue it is let in at once. Otherwise it waits in its
//! service's queue, where organisations take turns by their shares. What cannot be served in time is
//! refused on arrival, so that an overload costs the refused little and the admitted nothing.
//! State is kept only for organisations that are active now.

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

/// The place of an active organisation.
pub type OrgIndex = u32;
/// A waiting request.
pub type WaiterId = u64;

/// The least time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The least stretch over which refused callers are spread.
const MIN_SPREAD: Duration = Duration::from_secs(2);
/// The longest time that is told, before spreading.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Organisations in a summary for other daemons.
const MAX_DEMANDS: usize = 32;

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The customer.
    pub organisation: &'a str,
    /// The service.
    pub service: &'a str,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// Larger goes first within its organisation, 0 to 9.
    pub priority: u8,
    /// Its expected work.
    pub cost: u32,
}

/// A place inside, to be given back once.
#[derive(Debug, PartialEq)]
pub struct Slot {
    service: ServiceId,
    org: OrgIndex,
    cost: f64,
    begun: Instant,
}

/// What becomes of an arrival.
#[derive(Debug, PartialEq)]
pub enum AdmitResult {
    /// It is in.
    Admitted(Slot),
    /// It waits until this time at most.
    Queued(QueuedRequest),
    /// It is refused.
    Refused(Refusal),
}

/// A place in a queue.
#[derive(Debug, PartialEq)]
pub struct QueuedRequest {
    /// Who waits.
    pub waiter: WaiterId,
    /// When to give up at the latest.
    pub until: Instant,
    /// Another that was displaced by it.
    pub displaced: Option<WaitOutcome>,
}

/// The end of a wait.
#[derive(Debug, PartialEq)]
pub struct WaitOutcome {
    /// Who waited.
    pub waiter: WaiterId,
    /// Its place, or why it gets none.
    pub result: Result<Slot, Refusal>,
}

/// The capacity of a service, as the targets report it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests that all its targets serve at once.
    pub slots: f64,
    /// Requests there now, of all daemons.
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

/// Admission at one daemon.
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
    /// Takes over a configuration: limits of active organisations change at once.
    pub fn apply_fleet(&mut self, fleet: &Fleet) {
        for org in self.orgs.iter_mut().flatten() {
            if let Some(limits) = fleet.organisations.get(&org.id) {
                org.limits = limits.clone();
            }
        }
        self.queues.retain(|id, queue| fleet.services.contains_key(id) || !queue.idle());
    }

    /// Decides on an arrival; `spread` in `0..1` is random and spreads out the refused.
    pub fn arrive(
        &mut self,
        fleet: &Fleet,
        who: &Arrival<'_>,
        now: Instant,
        spread: f64,
    ) -> AdmitResult {
        let Some(index) = self.org_index(fleet, who.organisation, now) else {
            return AdmitResult::Refused(unknown_organisation(who.organisation));
        };
        if !fleet.services.contains_key(who.service) {
            return AdmitResult::Refused(unknown_service(who.service));
        }
        let Some(org) = self.orgs[index as usize].as_mut() else {
            return AdmitResult::Refused(unknown_organisation(who.organisation));
        };
        org.meter.count(now);
        let rate = org.limits.rate * org.limit_part;
        let burst = org.limits.burst * org.limit_part;
        if let Err(wait) = org.bucket.peek(now, rate, burst) {
            return AdmitResult::Refused(rate_limited(&org.id, wait, spread));
        }
        let share = org.limits.share;
        let queue = match self.queues.get_mut(who.service) {
            Some(queue) => queue,
            None => self.queues.entry(who.service.to_owned()).or_default(),
        };
        let item = fair::Item {
            waiter: self.next_waiter,
            org: index,
            share,
            cost: f64::from(who.cost.max(1)),
            priority: who.priority,
            latest: who.deadline,
        };
        let joined = queue.join(item, now);
        let refusal = match joined {
            JoinResult::Admitted | JoinResult::Queued(..) => None,
            JoinResult::TooLate(wait) => Some(too_late(who.service, wait, spread)),
            JoinResult::Full(wait) => Some(queue_full(who.service, wait, spread)),
        };
        if let Some(refusal) = refusal {
            return AdmitResult::Refused(refusal);
        }
        org.bucket.take();
        org.open_requests += 1;
        let JoinResult::Queued(until, displaced) = joined else {
            let service = who.service.to_owned();
            return AdmitResult::Admitted(Slot {
                service,
                org: index,
                cost: item.cost,
                begun: now,
            });
        };
        self.waiting.insert(item.waiter, who.service.to_owned());
        self.next_waiter += 1;
        let displaced = displaced.map(|other| self.displace(who.service, &other, spread));
        AdmitResult::Queued(QueuedRequest { waiter: item.waiter, until, displaced })
    }

    fn displace(&mut self, service: &str, item: &fair::Item, spread: f64) -> WaitOutcome {
        self.waiting.remove(&item.waiter);
        self.request_left(item.org);
        let queue = self.queues.get(service);
        let wait = queue.map_or(Duration::ZERO, |queue| queue.predicted_wait(item));
        WaitOutcome { waiter: item.waiter, result: Err(queue_full(service, wait, spread)) }
    }

    /// Takes a place back and says who may come in now.
    pub fn release(&mut self, pass: Slot, now: Instant, spread: f64) -> Vec<WaitOutcome> {
        self.request_left(pass.org);
        if let Some(queue) = self.queues.get_mut(&pass.service) {
            queue.release(pass.org, pass.cost, now.saturating_duration_since(pass.begun));
        }
        self.admit_waiting(&pass.service, now, spread)
    }

    /// A waiting request's time is up; `None` when its turn has come already.
    pub fn give_up(&mut self, waiter: WaiterId, spread: f64) -> Option<Refusal> {
        let service = self.waiting.remove(&waiter)?;
        let queue = self.queues.get_mut(&service)?;
        let item = queue.remove(waiter)?;
        let wait = queue.predicted_wait(&item);
        self.request_left(item.org);
        Some(too_late(&service, wait, spread))
    }

    /// Lets in whom the limit of a service allows.
    pub fn admit_waiting(&mut self, service: &str, now: Instant, spread: f64) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        while let Some(item) = self.queues.get_mut(service).and_then(ServiceQueue::call_next) {
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
        self.request_left(item.org);
        let queue = self.queues.get_mut(service);
        let wait = queue.map_or(Duration::ZERO, |queue| {
            queue.cancel_turn(item.org);
            queue.predicted_wait(item)
        });
        Err(too_late(service, wait, spread))
    }

    /// The services that have a line now.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.queues.keys()
    }

    /// Fits a service's limit to the capacity that its targets report.
    pub fn update_limit(&mut self, service: &str, capacity: Capacity) {
        let daemons = self.daemons as f64;
        if let Some(queue) = self.queues.get_mut(service) {
            queue.update_limit(capacity, daemons);
        }
    }

    /// Renews the parts of the limits and forgets organisations that are no longer active.
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
            if idle && org.bucket.full(now, rate, burst) {
                self.indices.remove(&org.id);
                self.orgs[index] = None;
                self.free_indices.push(index as OrgIndex);
            }
        }
    }

    /// What this daemon tells the others about its demand, the largest first.
    pub fn demands(&self, now: Instant) -> Demands {
        let demand =
            |org: &Org| Demand { organisation: org.id.clone(), rate: org.meter.rate(now) as f32 };
        let mut all: Vec<Demand> = self.orgs.iter().flatten().map(demand).collect();
        all.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        all.truncate(MAX_DEMANDS);
        Demands { organisations: all }
    }

    /// Takes another daemon's demand.
    pub fn record_peer_demand(&mut self, host: &HostId, demands: &Demands, now: Instant) {
        self.peer_demands.insert(host.clone(), PeerDemand::new(demands, now));
    }

    /// Organisations that state is kept for.
    pub fn active(&self) -> usize {
        self.indices.len()
    }

    /// Requests of a service inside and waiting.
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

    fn request_left(&mut self, org: OrgIndex) {
        if let Some(org) = self.orgs[org as usize].as_mut() {
            org.open_requests -= 1;
        }
    }
}

/// When a refused caller should come back: not before `wait`, and not all together.
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
