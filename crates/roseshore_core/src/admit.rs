//! Who is let in, when, and who is told to come back.
//!
//! An arrival passes three checks: its organisation's rate, whether it can make its deadline, and
//! whether there is a free place. Without a queue it is let in at once. Otherwise it waits in its
//! service's line, where organisations take turns by their shares. What cannot be served in time is
//! refused on arrival, so that an overload costs the refused little and the admitted nothing.
//! State is kept only for organisations that are active now.

pub mod bucket;
pub mod fair;
pub mod limit;
pub mod queue;
pub mod share;

use crate::prelude::*;
use bucket::Bucket;
use queue::{Joined, Line};
use rustc_hash::FxHashMap;
use share::{Demand, DemandMeter, Demands, PeerDemand};

/// The place of an active organisation.
pub type OrgIndex = u32;
/// A waiting request.
pub type Waiter = u64;

/// The least time after which a refused caller is asked to come back.
const SOONEST: Duration = Duration::from_secs(1);
/// The least stretch over which refused callers are spread.
const SPREAD: Duration = Duration::from_secs(2);
/// The longest time that is told, before spreading.
const LATEST: Duration = Duration::from_secs(30);
/// Organisations in a summary for other daemons.
const TOP: usize = 32;

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
pub struct Pass {
    service: ServiceId,
    org: OrgIndex,
    cost: f64,
    begun: Instant,
}

/// What becomes of an arrival.
#[derive(Debug, PartialEq)]
pub enum Entry {
    /// It is in.
    In(Pass),
    /// It waits until this time at most.
    Wait(Waits),
    /// It is refused.
    Out(Refusal),
}

/// A place in a line.
#[derive(Debug, PartialEq)]
pub struct Waits {
    /// Who waits.
    pub waiter: Waiter,
    /// When to give up at the latest.
    pub until: Instant,
    /// Another that was displaced by it.
    pub displaced: Option<Decision>,
}

/// The end of a wait.
#[derive(Debug, PartialEq)]
pub struct Decision {
    /// Who waited.
    pub waiter: Waiter,
    /// Its place, or why it gets none.
    pub end: Result<Pass, Refusal>,
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
    part: f64,
    inside: u32,
}

/// Admission at one daemon.
#[derive(Debug)]
pub struct Admission {
    names: FxHashMap<OrganisationId, OrgIndex>,
    orgs: Vec<Option<Org>>,
    free: Vec<OrgIndex>,
    lines: FxHashMap<ServiceId, Line>,
    waiting: FxHashMap<Waiter, ServiceId>,
    heard: share::PeerDemands,
    daemons: usize,
    next: Waiter,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            names: FxHashMap::default(),
            orgs: Vec::new(),
            free: Vec::new(),
            lines: FxHashMap::default(),
            waiting: FxHashMap::default(),
            heard: share::PeerDemands::default(),
            daemons: 1,
            next: 0,
        }
    }
}

impl Admission {
    /// Takes over a configuration: limits of active organisations change at once.
    pub fn declare(&mut self, fleet: &Fleet) {
        for org in self.orgs.iter_mut().flatten() {
            if let Some(limits) = fleet.organisations.get(&org.id) {
                org.limits = limits.clone();
            }
        }
        self.lines.retain(|id, line| fleet.services.contains_key(id) || !line.idle());
    }

    /// Decides on an arrival; `spread` in `0..1` is random and spreads out the refused.
    pub fn arrive(&mut self, fleet: &Fleet, who: &Arrival<'_>, now: Instant, spread: f64) -> Entry {
        let Some(index) = self.org(fleet, who.organisation, now) else {
            return Entry::Out(unknown_organisation(who.organisation));
        };
        if !fleet.services.contains_key(who.service) {
            return Entry::Out(unknown_service(who.service));
        }
        let Some(org) = self.orgs[index as usize].as_mut() else {
            return Entry::Out(unknown_organisation(who.organisation));
        };
        org.meter.count(now);
        let rate = org.limits.rate * org.part;
        let burst = org.limits.burst * org.part;
        if let Err(wait) = org.bucket.peek(now, rate, burst) {
            return Entry::Out(rate_limited(&org.id, wait, spread));
        }
        let share = org.limits.share;
        let line = match self.lines.get_mut(who.service) {
            Some(line) => line,
            None => self.lines.entry(who.service.to_owned()).or_default(),
        };
        let item = fair::Item {
            waiter: self.next,
            org: index,
            share,
            cost: f64::from(who.cost.max(1)),
            priority: who.priority,
            latest: who.deadline,
        };
        let joined = line.join(item, now);
        let refusal = match joined {
            Joined::In | Joined::Waits(..) => None,
            Joined::Late(wait) => Some(too_late(who.service, wait, spread)),
            Joined::Full(wait) => Some(queue_full(who.service, wait, spread)),
        };
        if let Some(refusal) = refusal {
            return Entry::Out(refusal);
        }
        org.bucket.take();
        org.inside += 1;
        let Joined::Waits(until, displaced) = joined else {
            let service = who.service.to_owned();
            return Entry::In(Pass { service, org: index, cost: item.cost, begun: now });
        };
        self.waiting.insert(item.waiter, who.service.to_owned());
        self.next += 1;
        let displaced = displaced.map(|other| self.displace(who.service, &other, spread));
        Entry::Wait(Waits { waiter: item.waiter, until, displaced })
    }

    fn displace(&mut self, service: &str, item: &fair::Item, spread: f64) -> Decision {
        self.waiting.remove(&item.waiter);
        self.outside(item.org);
        let line = self.lines.get(service);
        let wait = line.map_or(Duration::ZERO, |l| l.wait(item));
        Decision { waiter: item.waiter, end: Err(queue_full(service, wait, spread)) }
    }

    /// Takes a place back and says who may come in now.
    pub fn leave(&mut self, pass: Pass, now: Instant, spread: f64) -> Vec<Decision> {
        self.outside(pass.org);
        if let Some(line) = self.lines.get_mut(&pass.service) {
            line.left(pass.org, pass.cost, now.saturating_duration_since(pass.begun));
        }
        self.advance(&pass.service, now, spread)
    }

    /// A waiting request's time is up; `None` when its turn has come already.
    pub fn give_up(&mut self, waiter: Waiter, spread: f64) -> Option<Refusal> {
        let service = self.waiting.remove(&waiter)?;
        let line = self.lines.get_mut(&service)?;
        let item = line.remove(waiter)?;
        let wait = line.wait(&item);
        self.outside(item.org);
        Some(too_late(&service, wait, spread))
    }

    /// Lets in whom the limit of a service allows.
    pub fn advance(&mut self, service: &str, now: Instant, spread: f64) -> Vec<Decision> {
        let mut turns = Vec::new();
        while let Some(item) = self.lines.get_mut(service).and_then(Line::call_next) {
            self.waiting.remove(&item.waiter);
            let end = self.seat(service, &item, now, spread);
            turns.push(Decision { waiter: item.waiter, end });
        }
        turns
    }

    fn seat(
        &mut self,
        service: &str,
        item: &fair::Item,
        now: Instant,
        spread: f64,
    ) -> Result<Pass, Refusal> {
        if now <= item.latest {
            let service = service.to_owned();
            return Ok(Pass { service, org: item.org, cost: item.cost, begun: now });
        }
        self.outside(item.org);
        let line = self.lines.get_mut(service);
        let wait = line.map_or(Duration::ZERO, |line| {
            line.cancelled(item.org);
            line.wait(item)
        });
        Err(too_late(service, wait, spread))
    }

    /// The services that have a line now.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.lines.keys()
    }

    /// Fits a service's limit to the capacity that its targets report.
    pub fn fit(&mut self, service: &str, capacity: Capacity) {
        let daemons = self.daemons as f64;
        if let Some(line) = self.lines.get_mut(service) {
            line.fit(capacity, daemons);
        }
    }

    /// Renews the parts of the limits and forgets organisations that are no longer active.
    pub fn tick(&mut self, daemons: usize, now: Instant) {
        self.daemons = daemons.max(1);
        self.heard.retain(|_, heard| heard.fresh(now));
        for index in 0..self.orgs.len() {
            let Some(org) = self.orgs[index].as_mut() else { continue };
            let own = org.meter.rate(now);
            org.part = share::part(own, &org.id, &self.heard, self.daemons);
            let rate = org.limits.rate * org.part;
            let burst = org.limits.burst * org.part;
            let idle = org.inside == 0 && org.meter.idle(now);
            if idle && org.bucket.full(now, rate, burst) {
                self.names.remove(&org.id);
                self.orgs[index] = None;
                self.free.push(index as OrgIndex);
            }
        }
    }

    /// What this daemon tells the others about its demand, the largest first.
    pub fn demands(&self, now: Instant) -> Demands {
        let demand =
            |org: &Org| Demand { organisation: org.id.clone(), rate: org.meter.rate(now) as f32 };
        let mut all: Vec<Demand> = self.orgs.iter().flatten().map(demand).collect();
        all.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        all.truncate(TOP);
        Demands { organisations: all }
    }

    /// Takes another daemon's demand.
    pub fn heard(&mut self, host: &HostId, demands: &Demands, now: Instant) {
        self.heard.insert(host.clone(), PeerDemand::new(demands, now));
    }

    /// Organisations that state is kept for.
    pub fn active(&self) -> usize {
        self.names.len()
    }

    /// Requests of a service inside and waiting.
    pub fn counts(&self, service: &str) -> (usize, usize) {
        self.lines.get(service).map_or((0, 0), Line::counts)
    }

    fn org(&mut self, fleet: &Fleet, id: &str, now: Instant) -> Option<OrgIndex> {
        if let Some(&index) = self.names.get(id) {
            return Some(index);
        }
        let limits = fleet.organisations.get(id)?.clone();
        let part = share::part(0.0, id, &self.heard, self.daemons);
        let bucket = Bucket::full_of(limits.burst * part, now);
        let meter = DemandMeter::new(now);
        let org = Org { id: id.to_owned(), limits, bucket, meter, part, inside: 0 };
        let index = self.free.pop().unwrap_or(self.orgs.len() as OrgIndex);
        if index as usize == self.orgs.len() {
            self.orgs.push(None);
        }
        self.orgs[index as usize] = Some(org);
        self.names.insert(id.to_owned(), index);
        Some(index)
    }

    fn outside(&mut self, org: OrgIndex) {
        if let Some(org) = self.orgs[org as usize].as_mut() {
            org.inside -= 1;
        }
    }
}

/// When a refused caller should come back: not before `wait`, and not all together.
fn come_back(wait: Duration, spread: f64) -> Duration {
    let base = wait.clamp(SOONEST, LATEST);
    base + base.max(SPREAD).mul_f64(spread.clamp(0.0, 1.0))
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
    Refusal::not_run(Code::RateLimited, text).after(come_back(wait, spread))
}

fn too_late(service: &str, wait: Duration, spread: f64) -> Refusal {
    let text = format!(
        "service `{service}` cannot answer by the deadline; come back later, or allow more time"
    );
    Refusal::not_run(Code::TooLate, text).after(come_back(wait, spread))
}

fn queue_full(service: &str, wait: Duration, spread: f64) -> Refusal {
    let text = format!("the queue of service `{service}` is full; come back later");
    Refusal::not_run(Code::QueueFull, text).after(come_back(wait, spread))
}
