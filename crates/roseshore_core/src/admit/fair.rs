//! Start-time fair queueing between organisations, weighted by their shares.
//!
//! An organisation's next request has a virtual start time, which advances by cost divided by share
//! each time one of its requests is dequeued; the smallest start time goes next. Within an
//! organisation, each level of priority counts like one second of waiting, which also bounds how
//! long a request of low priority can be overtaken. Priorities have no effect between
//! organisations: otherwise a flood could be marked urgent to overtake everyone else.

use super::{OrgIndex, WaiterId};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Waiting time that one level of priority is worth.
const PRIORITY_HEAD_START: Duration = Duration::from_secs(1);
/// The highest priority.
const MAX_PRIORITY: u8 = 9;
/// Virtual time of one unit of cost at share 1; integers keep the order exact.
const TAG_SCALE: f64 = 1e6;
/// Lower bound on a share.
const MIN_SHARE: f64 = 1e-3;

type Tag = u64;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    /// Id of the waiting request.
    pub waiter: WaiterId,
    /// The organisation that it belongs to.
    pub org: OrgIndex,
    /// The organisation's share.
    pub share: f64,
    /// Expected work.
    pub cost: f64,
    /// Priority from 0 to 9; a larger one goes first within the same organisation.
    pub priority: u8,
    /// Latest useful time to start the request.
    pub latest: Instant,
}

#[derive(Debug, Default)]
struct Flow {
    tag: Tag,
    share: f64,
    cost: f64,
    items: BTreeMap<(Instant, WaiterId), Item>,
}

/// The queue of one service.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: FxHashMap<OrgIndex, Flow>,
    ready: BTreeSet<(Tag, OrgIndex)>,
    positions: FxHashMap<WaiterId, (OrgIndex, Instant)>,
    virtual_time: Tag,
    shares: f64,
}

impl FairQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Adds a request that arrived at `now`.
    pub fn push(&mut self, item: Item, now: Instant) {
        let flow = self.flows.entry(item.org).or_default();
        if flow.items.is_empty() {
            flow.tag = flow.tag.max(self.virtual_time);
            flow.share = item.share.max(MIN_SHARE);
            self.shares += flow.share;
            self.ready.insert((flow.tag, item.org));
        }
        let key = sort_time(&item, now);
        flow.items.insert((key, item.waiter), item);
        flow.cost += item.cost;
        self.positions.insert(item.waiter, (item.org, key));
    }

    /// Removes the next request, considering only organisations whose first request is `allowed`.
    pub fn pop(&mut self, allowed: impl Fn(&Item) -> bool) -> Option<Item> {
        let is_allowed = |&&(_, org): &&(Tag, OrgIndex)| self.head(org).is_some_and(&allowed);
        let &(tag, org) = self.ready.iter().find(is_allowed)?;
        let (key, _) = self.flows.get(&org)?.items.first_key_value()?;
        let waiter = key.1;
        self.virtual_time = self.virtual_time.max(tag);
        let item = self.remove(waiter)?;
        let flow = self.flows.get_mut(&org)?;
        let advance = (item.cost / flow.share * TAG_SCALE) as Tag;
        if !flow.items.is_empty() {
            self.ready.remove(&(flow.tag, org));
            self.ready.insert((flow.tag + advance, org));
        }
        flow.tag += advance;
        if self.is_empty() {
            // The queue is empty, so past usage no longer counts.
            self.flows.clear();
            self.shares = 0.0;
        }
        Some(item)
    }

    fn head(&self, org: OrgIndex) -> Option<&Item> {
        let (_, item) = self.flows.get(&org)?.items.first_key_value()?;
        Some(item)
    }

    /// Removes a request that gives up or is displaced.
    pub fn remove(&mut self, waiter: WaiterId) -> Option<Item> {
        let (org, key) = self.positions.remove(&waiter)?;
        let flow = self.flows.get_mut(&org)?;
        let item = flow.items.remove(&(key, waiter))?;
        flow.cost -= item.cost;
        if flow.items.is_empty() {
            self.ready.remove(&(flow.tag, org));
            self.shares -= flow.share;
        }
        Some(item)
    }

    /// Work, in units of cost and weighted by shares, to be done before a request that arrives now
    /// gets its turn.
    pub fn work_ahead(&self, item: &Item, now: Instant) -> f64 {
        let before = (sort_time(item, now), WaiterId::MAX);
        let cost = |flow: &Flow| flow.items.range(..before).map(|(_, other)| other.cost).sum();
        self.scale_by_share(item, self.flows.get(&item.org).map_or(0.0, cost))
    }

    /// Work, in units of cost and weighted by shares, to be done before all waiting requests of an
    /// item's organisation have had their turn.
    pub fn org_work(&self, item: &Item) -> f64 {
        self.scale_by_share(item, self.flows.get(&item.org).map_or(0.0, |flow| flow.cost))
    }

    /// The last request in an organisation's queue.
    pub fn last(&self, org: OrgIndex) -> Option<WaiterId> {
        self.flows.get(&org)?.items.last_key_value().map(|(key, _)| key.1)
    }

    /// Work that all organisations together do while this one does `cost`.
    fn scale_by_share(&self, item: &Item, cost: f64) -> f64 {
        let share = item.share.max(MIN_SHARE);
        let waits = self.flows.get(&item.org).is_some_and(|flow| !flow.items.is_empty());
        let shares = if waits { self.shares } else { self.shares + share };
        cost * shares.max(share) / share
    }

    /// The last request of the organisation with the most waiting work relative to its share;
    /// `None` if that is `org` itself or no more than `org` has.
    pub fn largest_backlog(&self, org: OrgIndex) -> Option<WaiterId> {
        let load = |flow: &Flow| flow.cost / flow.share;
        let busiest = self.flows.iter().filter(|(_, f)| !f.items.is_empty());
        let (&most, flow) = busiest.max_by(|a, b| load(a.1).total_cmp(&load(b.1)))?;
        let own = self.flows.get(&org).filter(|f| !f.items.is_empty()).map_or(0.0, load);
        if most == org || own >= load(flow) {
            return None;
        }
        flow.items.last_key_value().map(|(key, _)| key.1)
    }
}

/// Sort key of a request that arrives at `now`: lower priority counts as later arrival.
fn sort_time(item: &Item, now: Instant) -> Instant {
    now + PRIORITY_HEAD_START * u32::from(MAX_PRIORITY - item.priority.min(MAX_PRIORITY))
}
